"""Finds jobs that only endpoints of evacuated data centres can run.

Load: each job at its arrival and, while a data centre is evacuated, each
waiting job ten times a second. Jobs with the same needs share one evaluation of
all endpoints.
"""

from collections.abc import Iterable

from sesameroad.leasing import endpoint_pool
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes

_RETRY_AFTER_S = 1.0

_Requirement = tuple[str, str, needs.Need]


def evacuated_only(
    job: jobs.Job,
    listed: Iterable[endpoints.Endpoint],
    evacuated: frozenset[str],
) -> tuple[str, ...]:
    """Returns the data centres if only evacuated ones can run a job.

    Args:
        job: The job.
        listed: All endpoints.
        evacuated: The evacuated data centres.

    Returns:
        The evacuated data centres with endpoints that can run the job; none if
        an endpoint elsewhere can run it as well.
    """
    able: set[str] = set()
    for endpoint in listed:
        if (
            endpoint.leaving
            or job.service not in endpoint.kinds
            or (
                job.required_label and job.required_label not in endpoint.labels
            )
            or not job.need.fits(endpoint.offer)
        ):
            continue
        if endpoint.data_centre not in evacuated:
            return ()
        able.add(endpoint.data_centre)
    return tuple(sorted(able))


def refusal(data_centres: Iterable[str]) -> outcomes.NotRun:
    """Returns the refusal of a job that only evacuated data centres can run."""
    return outcomes.NotRun(
        outcomes.Cause.NO_ENDPOINT,
        "all endpoints that can run it are in evacuated data centres:"
        f" {', '.join(data_centres)}",
        _RETRY_AFTER_S,
    )


class Eligibility:
    """Evaluates the jobs of a leader against the endpoints that it holds."""

    __slots__ = ("_cache", "_pool")

    def __init__(self, pool: endpoint_pool.EndpointPool) -> None:
        self._pool = pool
        self._cache: dict[_Requirement, tuple[str, ...]] = {}

    def clear(self) -> None:
        """Forgets all results after endpoints or evacuations have changed."""
        self._cache.clear()

    def refusal(self, job: jobs.Job) -> outcomes.NotRun | None:
        """Returns the refusal if only evacuated data centres can run a job."""
        evacuated = self._pool.evacuated
        if not evacuated:
            return None
        requirement = job.service, job.required_label, job.need
        data_centres = self._cache.get(requirement)
        if data_centres is None:
            data_centres = self._cache[requirement] = evacuated_only(
                job, (leased.endpoint for leased in self._pool), evacuated
            )
        return refusal(data_centres) if data_centres else None
