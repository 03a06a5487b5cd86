"""Chooses the endpoint of a task."""

from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.model import job as jobs

# An endpoint away from the data counts as slower by this ratio.
_DISTANCE_PENALTY = 2.0
# An endpoint on which a task of the same job failed is the last choice.
_AVOIDED_PENALTY = 10.0
# An endpoint that takes this much longer than the median counts as slow.
_SLOW_RATIO = 1.6
# Weight of the cores left unused beside the speed of an endpoint: a tight fit
# keeps wide gaps for large tasks, but is worth less than a fast endpoint.
_WASTE_WEIGHT = 0.3
# Least need that is divided by: a task may need no cores at all.
_MIN_CORES = 0.001


class Candidates:
    """Endpoints that may get new runs, as they are in one pass."""

    __slots__ = ("_largest_cores", "_now", "_open", "_usual")

    def __init__(
        self, held: Iterable[leased_endpoint.LeasedEndpoint], now: float
    ) -> None:
        """Creates the candidates.

        Args:
            held: Endpoints of the data centre.
            now: Time.
        """
        held = list(held)
        self._now = now
        self._usual = _median([leased.slowness for leased in held])
        self._open = [leased for leased in held if leased.open(now)]
        self._largest_cores = self._measure()

    def room(self, job: jobs.Job) -> int:
        """Returns how many tasks of a job fit, as far as cores tell."""
        cores = max(job.need.cores, _MIN_CORES)
        return sum(int(leased.free.cores / cores) for leased in self._open)

    def taken(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """Notes that a run was placed at an endpoint."""
        del leased  # The largest gap may be at any of them.
        self._largest_cores = self._measure()

    def choose(
        self, active: active_job.ActiveJob
    ) -> leased_endpoint.LeasedEndpoint | None:
        """Returns the best endpoint with room for a task of a job, or None.

        An endpoint that is slow is left out for a job that it would make late
        while the others may still run it in time.
        """
        if active.job.need.cores > self._largest_cores:
            return None
        best = None
        best_cost = float("inf")
        for leased in self._open:
            cost = self._cost(active, leased)
            if cost < best_cost:
                best, best_cost = leased, cost
        return best

    def _measure(self) -> float:
        return max((leased.free.cores for leased in self._open), default=0.0)

    def _cost(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
    ) -> float:
        """Returns how bad an endpoint is for a task; infinite if it may not run."""
        job = active.job
        endpoint = leased.endpoint
        free = leased.free
        if (
            job.service not in endpoint.kinds
            or not job.need.fits(free)
            or (
                job.required_label and job.required_label not in endpoint.labels
            )
            or (job.per_endpoint and leased.count(job.key) >= job.per_endpoint)
        ):
            return float("inf")
        slowness = leased.slowness
        if slowness > _SLOW_RATIO * self._usual and _is_spoilt(
            job, slowness, self._now
        ):
            return float("inf")
        cost = slowness / self._usual
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


def _is_spoilt(job: jobs.Job, slowness: float, now: float) -> bool:
    """Returns whether a run at this speed ends too late to be of use."""
    end = now + job.estimate_s * slowness
    if now + job.estimate_s <= job.objective_at:
        return end > job.objective_at
    return end > job.expires_at
