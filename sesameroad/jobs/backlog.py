"""Priority queue of the jobs with tasks that wait for capacity."""

from collections.abc import Iterator

from sesameroad.jobs import active_job


class Backlog:
    """Orders waiting jobs by urgency, then by their remaining work.

    Only completed jobs count; work on an incomplete job is wasted. Among
    equally urgent jobs the one with the least remaining work comes first, so
    that as many jobs as possible complete during overload.

    A job that can no longer meet its objective goes behind all that still can;
    otherwise one late job would delay the next. Among late jobs those that have
    already started come first.
    """

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, active_job.ActiveJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[active_job.ActiveJob]:
        return iter(list(self._jobs.values()))

    def add(self, active: active_job.ActiveJob) -> None:
        """Adds a job that has waiting tasks."""
        self._jobs[active.job.name] = active

    def discard(self, active: active_job.ActiveJob) -> None:
        """Removes a job that has no waiting tasks."""
        if self._jobs.get(active.job.name) is active:
            del self._jobs[active.job.name]

    def ordered(self, now: float) -> list[active_job.ActiveJob]:
        """Returns the jobs in the order in which they are placed."""
        if len(self._jobs) < 2:  # noqa: PLR2004
            return list(self._jobs.values())
        return sorted(self._jobs.values(), key=lambda a: _rank(a, now))

    def core_seconds_before(
        self, active: active_job.ActiveJob, now: float
    ) -> float:
        """Returns the declared work of the jobs placed before a job."""
        rank = _rank(active, now)
        return sum(
            other.waiting_core_seconds
            for other in self._jobs.values()
            if other is not active and _rank(other, now) < rank
        )


def _rank(
    active: active_job.ActiveJob, now: float
) -> tuple[int, int, float, float]:
    job = active.job
    if active.latest_start >= now:
        standing = 0
    elif now + job.estimate_s >= job.expires_at:
        standing = 3
    else:
        standing = 1 if active.started else 2
    return (
        standing,
        job.priority,
        active.waiting_core_seconds,
        active.latest_start,
    )
