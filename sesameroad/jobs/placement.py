"""Selects an endpoint for a task."""

from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.model import jobs

# Cost factor of an endpoint without the preferred label, which is far from the
# data.
_DISTANCE_PENALTY = 2.0
# Added cost of an endpoint on which a task of the same job has failed; it is
# used only if no other endpoint fits.
_AVOIDED_PENALTY = 10.0
# An endpoint counts as slow above this multiple of the median slowness.
_SLOW_RATIO = 1.6
# Weight of leftover cores relative to slowness: a tight fit leaves room for
# large tasks elsewhere, but matters less than a fast endpoint.
_WASTE_WEIGHT = 0.3
# Avoids a division by zero for tasks that declare no cores.
_MIN_CORES = 0.001


class Candidates:
    """Endpoints that accept new runs, evaluated for one placement pass."""

    __slots__ = ("_largest_cores", "_now", "_available", "_median_slowness")

    def __init__(
        self, pool: Iterable[leased_endpoint.LeasedEndpoint], now: float
    ) -> None:
        """Creates the candidates.

        Args:
            pool: All leased endpoints.
            now: Current monotonic time.
        """
        pool = list(pool)
        self._now = now
        self._median_slowness = _median([leased.slowness for leased in pool])
        self._available = [
            leased for leased in pool if leased.accepts_runs(now)
        ]
        self._largest_cores = self._max_free_cores()

    def room(self, job: jobs.Job) -> int:
        """Returns how many tasks of a job fit, judged by cores only."""
        cores = max(job.need.cores, _MIN_CORES)
        return sum(int(leased.free.cores / cores) for leased in self._available)

    def run_added(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """Updates the free cores after a run was placed on an endpoint."""
        del leased  # Any endpoint may now have the most free cores.
        self._largest_cores = self._max_free_cores()

    def choose(
        self, active: active_job.ActiveJob
    ) -> leased_endpoint.LeasedEndpoint | None:
        """Returns the best endpoint that fits a task of a job, or None.

        A slow endpoint is skipped if it would make the job late while another
        endpoint could still finish it in time.
        """
        if active.job.need.cores > self._largest_cores:
            return None
        best = None
        best_cost = float("inf")
        for leased in self._available:
            cost = self._cost(active, leased)
            if cost < best_cost:
                best, best_cost = leased, cost
        return best

    def _max_free_cores(self) -> float:
        return max(
            (leased.free.cores for leased in self._available), default=0.0
        )

    def _cost(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
    ) -> float:
        """Returns the cost of an endpoint for a task; infinite if unfit."""
        job = active.job
        endpoint = leased.endpoint
        free = leased.free
        if (
            job.service not in endpoint.kinds
            or not job.need.fits(free)
            or (
                job.required_label and job.required_label not in endpoint.labels
            )
            or (
                job.per_endpoint
                and leased.count_runs(job.key) >= job.per_endpoint
            )
        ):
            return float("inf")
        slowness = leased.slowness
        if (
            slowness > _SLOW_RATIO * self._median_slowness
            and _finishes_too_late(job, slowness, self._now)
        ):
            return float("inf")
        cost = slowness / self._median_slowness
        if endpoint.id in active.avoided:
            cost += _AVOIDED_PENALTY
        if job.preferred_label and job.preferred_label not in endpoint.labels:
            cost *= _DISTANCE_PENALTY
        if endpoint.offer.cores:
            left = (free.cores - job.need.cores) / endpoint.offer.cores
            cost += _WASTE_WEIGHT * left
        return cost


def _median(ratios: list[float]) -> float:
    return sorted(ratios)[len(ratios) // 2] if ratios else 1.0


def _finishes_too_late(job: jobs.Job, slowness: float, now: float) -> bool:
    """Returns whether a run at this slowness misses the job's time limit.

    The limit is the objective while it can still be met, and the expiry after.
    """
    end = now + job.estimate_s * slowness
    if now + job.estimate_s <= job.objective_at:
        return end > job.objective_at
    return end > job.expires_at
