"""Chooses the endpoint of a task."""

from collections.abc import Iterable

from sesameroad.jobs import active as actives
from sesameroad.leasing import holding as holdings
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


def median_slowness(candidates: Iterable[holdings.Holding]) -> float:
    """Returns the usual run time relative to the declared one."""
    ratios = sorted(holding.slowness for holding in candidates)
    return ratios[len(ratios) // 2] if ratios else 1.0


def choose(
    active: actives.Active,
    candidates: Iterable[holdings.Holding],
    now: float,
    *,
    usual: float = 1.0,
) -> holdings.Holding | None:
    """Returns the best endpoint with room for a task of a job, or None.

    An endpoint that is slow is left out for a job that it would make late while
    the others may still run it in time.

    Args:
        active: The job.
        candidates: Endpoints of the data centre.
        now: Time.
        usual: Median of their run times relative to the declared ones.
    """
    best = None
    best_cost = float("inf")
    job = active.job
    for holding in candidates:
        if not holding.open(now):
            continue
        endpoint = holding.endpoint
        if job.service not in endpoint.kinds:
            continue
        free = holding.free
        if not job.need.fits(free):
            continue
        if job.required_label and job.required_label not in endpoint.labels:
            continue
        if job.per_endpoint and holding.count(job.key) >= job.per_endpoint:
            continue
        slowness = holding.slowness
        if slowness > _SLOW_RATIO * usual and _is_spoilt(job, slowness, now):
            continue
        cost = slowness / usual
        if endpoint.id in active.avoided:
            cost += _AVOIDED_PENALTY
        if job.preferred_label and job.preferred_label not in endpoint.labels:
            cost *= _DISTANCE_PENALTY
        if endpoint.offer.cores:
            left = (free.cores - job.need.cores) / endpoint.offer.cores
            cost += _WASTE_WEIGHT * left
        if cost < best_cost:
            best, best_cost = holding, cost
    return best


def _is_spoilt(job: jobs.Job, slowness: float, now: float) -> bool:
    """Returns whether a run at this speed ends too late to be of use."""
    end = now + job.estimate_s * slowness
    if now + job.estimate_s <= job.objective_at:
        return end > job.objective_at
    return end > job.expires_at
