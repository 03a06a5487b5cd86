"""Routes for jobs: to a leader in this process or to one on a peer."""

from sesameroad import errors
from sesameroad.jobs import held_up_notices as held_up_notices_module
from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.model import clocks
from sesameroad.model import jobs
from sesameroad.model import outcomes
from sesameroad.peering import links
from sesameroad.peering import messages

# Time after the deadline of a job in which its leader may still answer.
_ANSWER_GRACE_S = 1.0


class LocalOrigin:
    """This instance, as the origin of the jobs of its callers."""

    __slots__ = ("_id",)

    def __init__(self, instance_id: str) -> None:
        self._id = instance_id

    @property
    def id(self) -> str:
        """Instance id."""
        return self._id

    @property
    def live(self) -> bool:
        """Always true: origin and leader are the same process."""
        return True

    @property
    def silent_s(self) -> float:
        """Always 0: origin and leader are the same process."""
        return 0.0


class PeerOrigin:
    """A peer that offers jobs over its stream."""

    __slots__ = ("_link",)

    def __init__(self, link: links.Link) -> None:
        self._link = link

    @property
    def id(self) -> str:
        """Instance id."""
        return self._link.hello.instance_id

    @property
    def live(self) -> bool:
        """Whether the stream is open and the peer was heard in time.

        The longer timeout of an idle link does not count: the runs of a lost
        origin must end before its callers send their jobs again.
        """
        return self._link.heard_recently

    @property
    def silent_s(self) -> float:
        """Time since the peer was last heard, in seconds."""
        return self._link.silent_s


class LocalRoute:
    """Route to the leader in this process."""

    __slots__ = ("_origin", "_scheduler")

    def __init__(
        self, scheduler: scheduler_module.Scheduler, origin: LocalOrigin
    ) -> None:
        self._scheduler = scheduler
        self._origin = origin

    async def submit(
        self, job: jobs.Job, *, moved: bool, lent: bool
    ) -> outcomes.Outcome:
        """Runs a job."""
        return await self._scheduler.submit(
            job, self._origin, moved=moved, lent=lent
        )

    def cancel(self, name: str) -> None:
        """Cancels a job."""
        self._scheduler.cancel(name, self._origin.id)


class PeerRoute:
    """Route to a leader on a peer."""

    __slots__ = ("_clock", "_data_centre", "_held_up_notices", "_link")

    def __init__(
        self,
        link: links.Link,
        data_centre: str,
        *,
        clock: clocks.Clock,
        held_up_notices: held_up_notices_module.HeldUpNotices,
    ) -> None:
        self._held_up_notices = held_up_notices
        self._link = link
        self._data_centre = data_centre
        self._clock = clock

    async def submit(
        self, job: jobs.Job, *, moved: bool, lent: bool
    ) -> outcomes.Outcome:
        """Runs a job on the peer.

        Raises:
            PeerNotSentError: If the job was not sent.
            PeerError: If the job may have been received, but no answer came.
        """
        known = self._held_up_notices.notice_of(job.key)
        if known is not None:
            # The leader must know these starts before it places the job.
            self._link.send(known)
        remaining_s = job.deadline_at - self._clock.monotonic()
        reply = await self._link.ask(
            lambda number: messages.JobOffer(
                number, self._data_centre, job, moved, lent
            ),
            timeout_s=max(0.0, remaining_s) + _ANSWER_GRACE_S,
        )
        match reply:
            case messages.RelayReply():
                return reply.outcome
            case _:
                raise errors.PeerError(
                    "unexpected answer to a job",
                    step="offer job",
                    peer=self._link.hello.instance_id,
                )

    def cancel(self, name: str) -> None:
        """Cancels a job; if the stream is broken, the leader ends it itself.

        So a stream on which the cancel can't be queued is closed.
        """
        try:
            self._link.send(messages.JobCancel(name))
        except errors.PeerNotSentError:
            self._link.close("a cancel could not be sent")
