"""Chooses the endpoint of a task."""

from collections.abc import Iterable

from sesameroad.jobs import active as actives
from sesameroad.leasing import holding as holdings

# An endpoint away from the data counts as slower by this ratio.
_DISTANCE_PENALTY = 2.0
# Weight of the cores left unused beside the speed of an endpoint: a tight fit
# keeps wide gaps for large tasks, but is worth less than a fast endpoint.
_WASTE_WEIGHT = 0.3


def choose(
    active: actives.Active,
    candidates: Iterable[holdings.Holding],
    now: float,
) -> holdings.Holding | None:
    """Returns the best endpoint with room for a task of a job, or None."""
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
        cost = holding.slowness
        if job.preferred_label and job.preferred_label not in endpoint.labels:
            cost *= _DISTANCE_PENALTY
        if endpoint.offer.cores:
            left = (free.cores - job.need.cores) / endpoint.offer.cores
            cost += _WASTE_WEIGHT * left
        if cost < best_cost:
            best, best_cost = holding, cost
    return best
