"""Starts without an answer that may be carried out by a restarted endpoint."""

from collections.abc import Iterable
import dataclasses

from sesameroad.jobs import active_job
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs
from sesameroad.model import held_up
from sesameroad.model import jobs


@dataclasses.dataclass(slots=True)
class _HeldUpStart:
    """A start that may still be carried out.

    Attributes:
        endpoint: Id of the endpoint to which it was sent.
        task: Task that it would run.
        token: Fencing token of the start, -1 if another leader has sent it.
        until: Time at which its run has ended, if there was any.
        patient_until: Time until which a job waits for the endpoint to answer.
    """

    endpoint: str
    task: str
    token: int
    until: float
    patient_until: float = 0.0


class HeldUpStarts:
    """Tasks that start nowhere else while a former start may be carried out.

    Neither a stop nor the end of the lease prevents a start that arrives after
    its endpoint has started again. Only the raised token does, once the new
    incarnation has seen it. So a start is kept until it can no longer come. It
    blocks its task from the time at which the endpoint is silent or has started
    again until it has reported with the raised token. While the endpoint
    answers, the stop or the token that it has seen bars the start.
    """

    __slots__ = ("_blocking", "_starts")

    def __init__(self) -> None:
        # By endpoint, then by task.
        self._starts: dict[str, dict[str, _HeldUpStart]] = {}
        # Those that block their task, by task, then by endpoint.
        self._blocking: dict[str, dict[str, _HeldUpStart]] = {}

    def add_barred(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Adds the start of a run that the present incarnation will not begin.

        It has answered the stop or has seen a higher token.
        """
        self._add(leased, run)

    def add(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Blocks the task of a run whose lease has expired without a report."""
        self._block(self._add(leased, run))

    def _add(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> _HeldUpStart:
        # The last moment at which the start may be carried out begins a lease.
        until = run.held_up_until + leased.lease.longest_s
        return self._record(
            _HeldUpStart(leased.endpoint.id, run.task, run.token, until)
        )

    def _record(self, start: _HeldUpStart) -> _HeldUpStart:
        starts = self._starts.setdefault(start.endpoint, {})
        former = starts.get(start.task)
        if former is not None:
            start.until = max(start.until, former.until)
            start.token = max(start.token, former.token)
        starts[start.task] = start
        if start.endpoint in self._blocking.get(start.task, ()):
            self._block(start)
        return start

    def starts_of(
        self, active: active_job.ActiveJob, now: float
    ) -> tuple[held_up.HeldUpStart, ...]:
        """Returns the starts of the tasks of a job that may still come."""
        indices = {
            active.job.task(index): index for index in active.job.indices
        }
        return tuple(
            held_up.HeldUpStart(indices[task], name, start.until - now)
            for name, starts in self._starts.items()
            for task, start in starts.items()
            if task in indices and now < start.until
        )

    def adopt(
        self,
        job: jobs.Job,
        starts: Iterable[held_up.HeldUpStart],
        now: float,
    ) -> None:
        """Adds starts of the tasks of a job that another leader has sent.

        Any report of their endpoint to this leader bars them, as its token is
        higher than theirs.
        """
        for start in starts:
            self._block(
                self._record(
                    _HeldUpStart(
                        start.endpoint,
                        job.task(start.index),
                        token=-1,
                        until=now + start.left_s,
                    )
                )
            )

    def block(
        self, leased: leased_endpoint.LeasedEndpoint, now: float
    ) -> list[str]:
        """Blocks the tasks of an endpoint that is silent or has started again.

        Returns:
            The tasks, some of which may have another run.
        """
        starts = self._starts.get(leased.endpoint.id, {})
        for start in starts.values():
            start.patient_until = now + leased.lease.longest_s
            self._block(start)
        return list(starts)

    def _block(self, start: _HeldUpStart) -> None:
        self._blocking.setdefault(start.task, {})[start.endpoint] = start

    def _unblock(self, start: _HeldUpStart) -> None:
        blocking = self._blocking.get(start.task, {})
        if blocking.get(start.endpoint) is start:
            del blocking[start.endpoint]
            if not blocking:
                del self._blocking[start.task]

    def record_fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """Frees the tasks whose starts an endpoint refuses by a token.

        The starts are kept, as its next incarnation does not know the token.
        """
        if not self._blocking:
            return
        for start in self._starts.get(leased.endpoint.id, {}).values():
            if start.token < token:
                self._unblock(start)

    def remove_expired(self, now: float) -> None:
        """Removes the starts whose runs have ended, if there were any."""
        for name, starts in list(self._starts.items()):
            for task, start in list(starts.items()):
                if now >= start.until:
                    del starts[task]
                    self._unblock(start)
            if not starts:
                del self._starts[name]

    def tasks_at(self, leased: leased_endpoint.LeasedEndpoint) -> Iterable[str]:
        """Returns the tasks that a start to an endpoint may begin later."""
        return self._starts.get(leased.endpoint.id, {}).keys()

    def blocks(self, task: str) -> bool:
        """Returns whether a start of a task may still be carried out."""
        return task in self._blocking

    def blocks_key(self, key: str) -> bool:
        """Returns whether any task of a caller's job is blocked."""
        return any(task.startswith(f"{key}.") for task in self._blocking)

    def blocks_any(self, active: active_job.ActiveJob) -> bool:
        """Returns whether any waiting task of a job is blocked."""
        return bool(self._blocking) and any(
            active.job.task(index) in self._blocking for index in active.waiting
        )

    def outlast(
        self,
        active: active_job.ActiveJob,
        pool: endpoint_pool.EndpointPool,
        now: float,
    ) -> bool:
        """Returns whether a job can't end in time because of blocked tasks.

        An endpoint that answers is about to see the raised token. One that has
        just become silent may answer again within a lease.
        """
        if not self._blocking:
            return False
        job = active.job
        latest_start = min(job.expires_at, job.deadline_at) - job.estimate_s
        return any(
            now >= start.patient_until
            and start.until > latest_start
            and (
                (leased := pool.find(start.endpoint)) is None
                or leased.silent_since is not None
            )
            for index in active.waiting
            for start in self._blocking.get(job.task(index), {}).values()
        )
