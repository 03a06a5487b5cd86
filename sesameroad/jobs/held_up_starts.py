"""Starts without an answer that outlast the lease of their endpoint."""

import dataclasses

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs


@dataclasses.dataclass(slots=True, frozen=True)
class _HeldUpStart:
    """A start that may still be carried out.

    Attributes:
        leased: Endpoint to which it was sent.
        token: Fencing token of the start.
        until: Time at which its run has ended, if there was any.
    """

    leased: leased_endpoint.LeasedEndpoint
    token: int
    until: float


class HeldUpStarts:
    """Tasks that start nowhere else while a former start may be carried out.

    Neither a stop nor the end of the lease prevents a start that arrives after
    its endpoint has started again. Only the raised token does, once the new
    incarnation has seen it.
    """

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        # By task.
        self._starts: dict[str, _HeldUpStart] = {}

    def add(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Blocks the task of a run whose lease has expired without a report.

        The last moment at which the start may be carried out begins a lease.
        """
        until = run.held_up_until + leased.lease.longest_s
        self._starts[run.task] = _HeldUpStart(leased, run.token, until)

    def remove_fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """Removes the starts that an endpoint refuses since it saw a token."""
        for task, start in list(self._starts.items()):
            if (
                start.leased.endpoint.id == leased.endpoint.id
                and start.token < token
            ):
                del self._starts[task]

    def remove_expired(self, now: float) -> None:
        """Removes the starts whose runs have ended, if there were any."""
        for task, start in list(self._starts.items()):
            if now >= start.until:
                del self._starts[task]

    def blocks(self, task: str) -> bool:
        """Returns whether a start of a task may still be carried out."""
        return task in self._starts

    def blocks_key(self, key: str) -> bool:
        """Returns whether any task of a caller's job is blocked."""
        return any(task.startswith(f"{key}.") for task in self._starts)

    def blocks_any(self, active: active_job.ActiveJob) -> bool:
        """Returns whether any waiting task of a job is blocked."""
        return bool(self._starts) and any(
            active.job.task(index) in self._starts for index in active.waiting
        )

    def outlast(self, active: active_job.ActiveJob) -> bool:
        """Returns whether a job can't end in time because of blocked tasks.

        An endpoint that answers is about to see the raised token.
        """
        if not self._starts:
            return False
        job = active.job
        latest_start = min(job.expires_at, job.deadline_at) - job.estimate_s
        starts = (self._starts.get(job.task(i)) for i in active.waiting)
        return any(
            start is not None
            and start.leased.silent_since is not None
            and start.until > latest_start
            for start in starts
        )
