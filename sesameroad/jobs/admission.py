"""Refuses jobs that cannot finish before their response is worthless."""

from collections.abc import Iterator
import math

from sesameroad.jobs import active_job
from sesameroad.jobs import backlog as backlog_module
from sesameroad.leasing import endpoint_pool
from sesameroad.model import outcomes

# Lower bound of the retry delay given to refused callers: bursts last for
# seconds, and an earlier retry would meet the same queue.
_MIN_RETRY_S = 1.0
_MAX_RETRY_S = 10.0
# Factor by which queued work takes longer than its core-seconds suggest. A task
# must fit on one endpoint, and fragmentation leaves about a quarter of the
# cores unused.
_FRAGMENTATION = 1.3
# Number of times that a job waits for the event loop of its leader: when it
# arrives, when it starts and when its last task ends.
_LOOP_TURNS = 3
# Delay of the event loop from which a leader is short of processor time, in
# seconds. The turns of a job then take the 0.06 s that are left of its objective
# beside the run time.
_SHORTAGE_S = 0.02


class Admission:
    """Estimates queueing delays from the declared work ahead of a job.

    Only work that the backlog places first counts as ahead. Counting less
    urgent work too would refuse urgent jobs during a flood of other work.

    While the leader is short of processor time, jobs that it would finish late
    are refused as well. Each task costs it the same processor time, and those
    that end late would make the others late, too.

    Attributes:
        loop_delay_s: Mean delay of the event loop of this process.
    """

    __slots__ = ("_backlog", "_pool", "loop_delay_s")

    def __init__(
        self,
        *,
        backlog: backlog_module.Backlog,
        pool: endpoint_pool.EndpointPool,
    ) -> None:
        self._backlog = backlog
        self._pool = pool
        self.loop_delay_s = 0.0

    @property
    def is_short_of_processor(self) -> bool:
        """Whether this process has too little processor time for its jobs."""
        return self.loop_delay_s > _SHORTAGE_S

    @property
    def wait_s(self) -> float:
        """Expected wait of a new job that is placed after all others."""
        ahead = sum(active.waiting_core_seconds for active in self._backlog)
        return self._wait_s(ahead, self._pool.expected_cores)

    def refusal(
        self, active: active_job.ActiveJob, now: float
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a job that has not started, or None."""
        ahead = self._backlog.core_seconds_before(active, now)
        return self._refusal(active, ahead, self._pool.expected_cores, now)

    def refusals(
        self, now: float
    ) -> Iterator[tuple[active_job.ActiveJob, outcomes.NotRun]]:
        """Yields the waiting jobs that must be refused, with their refusals.

        Jobs that may have started are not refused, nor are parts of a job of
        which another part may have started, as that would waste the other part.
        """
        cores = self._pool.expected_cores
        ahead = 0.0
        for active in self._backlog.ordered(now):
            if not (active.started or active.moved or active.job.committed):
                refusal = self._refusal(active, ahead, cores, now)
                if refusal is not None:
                    yield active, refusal
                    continue
            ahead += active.waiting_core_seconds

    def _refusal(
        self,
        active: active_job.ActiveJob,
        ahead: float,
        cores: float,
        now: float,
    ) -> outcomes.NotRun | None:
        job = active.job
        if not len(self._pool):
            return outcomes.NotRun(
                outcomes.Cause.NO_ENDPOINT, "no endpoint is known", _MIN_RETRY_S
            )
        wait_s = self._wait_s(ahead, cores)
        ends_at = now + wait_s + job.estimate_s
        if self.is_short_of_processor and ends_at > job.objective_at:
            return outcomes.NotRun(
                outcomes.Cause.OVERLOAD,
                "its leader is short of processor time",
                _MIN_RETRY_S,
            )
        if ends_at <= min(job.expires_at, job.deadline_at):
            return None
        detail = "no endpoint responds"
        if wait_s < math.inf:
            detail = f"expected to wait {wait_s:.2f} s, longer than is of use"
        return outcomes.NotRun(
            outcomes.Cause.OVERLOAD,
            detail,
            max(_MIN_RETRY_S, min(wait_s, _MAX_RETRY_S)),
        )

    def _wait_s(self, ahead: float, cores: float) -> float:
        """Returns the time that the endpoints need for an amount of work."""
        if cores <= 0:
            return math.inf
        processing_s = _LOOP_TURNS * self.loop_delay_s
        return ahead * _FRAGMENTATION / cores + processing_s
