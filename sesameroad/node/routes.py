"""Ways to stewards: the one in this process, and those of peers."""

from sesameroad import errors
from sesameroad.jobs import scheduler as schedulers
from sesameroad.model import clock as clocks
from sesameroad.model import job as jobs
from sesameroad.model import outcome as outcomes
from sesameroad.peering import link as links
from sesameroad.peering import message as messages

# Time beyond the deadline of a job in which its steward still answers.
_ANSWER_GRACE_S = 1.0


class LocalOrigin:
    """This instance, as the home of its callers' jobs."""

    __slots__ = ("_id",)

    def __init__(self, instance_id: str) -> None:
        self._id = instance_id

    @property
    def id(self) -> str:
        """Instance id."""
        return self._id

    @property
    def live(self) -> bool:
        """Always true: caller and steward are in one process."""
        return True


class PeerOrigin:
    """A peer that offered jobs on a stream."""

    __slots__ = ("_link",)

    def __init__(self, link: links.Link) -> None:
        self._link = link

    @property
    def id(self) -> str:
        """Instance id."""
        return self._link.hello.instance_id

    @property
    def live(self) -> bool:
        """Whether the stream is open and the peer was heard in time."""
        return self._link.live


class LocalRoute:
    """The steward in this process."""

    __slots__ = ("_origin", "_scheduler")

    def __init__(
        self, scheduler: schedulers.Scheduler, origin: LocalOrigin
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
        """Ends a job."""
        self._scheduler.cancel(name, self._origin.id)


class PeerRoute:
    """A steward that a stream leads to."""

    __slots__ = ("_clock", "_data_centre", "_link")

    def __init__(
        self, link: links.Link, data_centre: str, *, clock: clocks.Clock
    ) -> None:
        self._link = link
        self._data_centre = data_centre
        self._clock = clock

    async def submit(
        self, job: jobs.Job, *, moved: bool, lent: bool
    ) -> outcomes.Outcome:
        """Runs a job there.

        Raises:
            PeerNotSentError: If the steward did not get the job.
            PeerError: If it may have got the job, and no answer came.
        """
        left_s = job.deadline_at - self._clock.monotonic()
        reply = await self._link.ask(
            lambda number: messages.JobOffer(
                number, self._data_centre, job, moved, lent
            ),
            timeout_s=max(0.0, left_s) + _ANSWER_GRACE_S,
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
        """Ends a job there; if the stream is broken, the steward ends it."""
        try:
            self._link.send(messages.JobCancel(name))
        except errors.PeerNotSentError:
            return
