"""Decides whether a job starts with the capacity that it would get now.

Addresses bursts in which jobs start with some of their tasks, and the rest
waits behind newer jobs until nothing of the work is of use.
"""

from collections.abc import Iterable
import math

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs

# A job that needs more than this fraction (one divided by this number) of all
# cores may start in waves, as the platform's rules expect of it.
_WAVE_SHARE = 4
# Time, in seconds, for which a forecast is used. Runs of 50 ms make an older
# one too pessimistic by half of their tasks.
_FORECAST_S = 0.02
# Progress from which it predicts the end of a run better than the declared run
# time does.
_MIN_PERCENT = 10
# Remaining run time of a run that has exceeded its estimate, as a fraction of
# that: the mean excess of run times that are 40% off.
_OVERDUE_RATIO = 0.3


class WholeStarts:
    """Forecasts the cores that running tasks free.

    A job may start if its tasks fit now, or if those that don't can be expected
    to start within the slack that its objective leaves. Once that is missed, the
    slack is what is left until the response is of no use.
    """

    __slots__ = ("_capacity", "_ends", "_forecast_at", "_pool")

    def __init__(self, pool: Iterable[leased_endpoint.LeasedEndpoint]) -> None:
        """Creates the rule.

        Args:
            pool: Endpoints of the leader.
        """
        self._pool = pool
        self._forecast_at = -math.inf
        # Expected ends of runs with their cores, by time.
        self._ends: list[tuple[float, float]] = []
        self._capacity = 0.0

    def may_start(
        self,
        active: active_job.ActiveJob,
        *,
        room: int,
        cores_ahead: float,
        now: float,
    ) -> bool:
        """Returns whether a job may start some of its tasks.

        Args:
            active: A job that has not started.
            room: Number of its tasks that can start now.
            cores_ahead: Cores of the waiting tasks that are placed before it.
            now: Current monotonic time.
        """
        wanted = len(active.waiting)
        if room >= wanted:
            return True
        if not room:
            return False
        self._update(now)
        cores = active.job.need.cores
        if wanted * cores > self._capacity / _WAVE_SHARE:
            wanted = max(1, int(self._capacity / _WAVE_SHARE / cores))
            if room >= wanted:
                return True
        missing = cores_ahead + (wanted - room) * cores
        return self._is_freed(missing, by=now + _slack_s(active, now))

    def _is_freed(self, cores: float, *, by: float) -> bool:
        freed = 0.0
        for end, run_cores in self._ends:
            if end > by:
                return False
            freed += run_cores
            if freed >= cores:
                return True
        return False

    def _update(self, now: float) -> None:
        if now - self._forecast_at < _FORECAST_S:
            return
        self._forecast_at = now
        self._capacity = 0.0
        ends = []
        for leased in self._pool:
            if leased.accepts_runs(now):
                self._capacity += leased.endpoint.offer.cores
                for run in leased.runs.values():
                    ends.append((_expected_end(leased, run, now), run.cores))
        ends.sort()
        self._ends = ends


def is_of_use(active: active_job.ActiveJob, now: float) -> bool:
    """Returns whether tasks that start now can end while of use."""
    job = active.job
    return now + job.estimate_s < min(job.expires_at, job.deadline_at)


def _slack_s(active: active_job.ActiveJob, now: float) -> float:
    job = active.job
    if active.latest_start >= now:
        return active.latest_start - now
    return min(job.expires_at, job.deadline_at) - job.estimate_s - now


def _expected_end(
    leased: leased_endpoint.LeasedEndpoint, run: runs.Run, now: float
) -> float:
    estimate_s = run.estimate_s * leased.slowness
    if not run.sent_at:
        return now + estimate_s
    if run.percent >= _MIN_PERCENT:
        estimate_s = (run.progressed_at - run.sent_at) * 100 / run.percent
    return max(run.sent_at + estimate_s, now + _OVERDUE_RATIO * run.estimate_s)
