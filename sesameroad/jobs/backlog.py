"""Priority queue of the jobs with tasks that wait for capacity."""

import bisect
from collections.abc import Iterator
import itertools
import math

from sesameroad.jobs import active_job

# Period, in seconds, after which all jobs are ranked anew. Ranks change slowly
# with time, and ranking each job in each pass would cost a leader more processor
# time than the orders in an overload.
_REORDER_S = 0.02

# Slack of its objective below which a job that has begun comes first. With more
# of it, less urgent jobs that have begun would delay urgent ones for nothing. It
# is five periods in which jobs are ranked anew.
_BEGUN_SLACK_S = 0.1
# Number of standings of jobs, which are the first part of a rank.
_STANDINGS = 4

_Rank = tuple[int, int, float, float]
_Entry = tuple[_Rank, int, active_job.ActiveJob]


class Backlog:
    """Orders waiting jobs by urgency, then by their remaining work.

    Only completed jobs count; work on an incomplete job is wasted. Among
    equally urgent jobs the one with the least remaining work comes first, so
    that as many jobs as possible complete during overload.

    A job that can no longer meet its objective goes behind all that still can;
    otherwise one late job would delay the next. Among late jobs those that have
    already started come first. Optionally, jobs that have begun come before all
    others once their slack is almost used up.
    """

    __slots__ = (
        "_begun_first",
        "_entries",
        "_jobs",
        "_numbers",
        "_ordered_at",
    )

    def __init__(self, *, begun_first: bool = False) -> None:
        """Creates an empty backlog.

        Args:
            begun_first: Whether jobs that have begun come before all others
                once they have little slack.
        """
        self._begun_first = begun_first
        # Waiting jobs by name, each with the number of its valid entry.
        self._jobs: dict[str, tuple[int, active_job.ActiveJob]] = {}
        # Sorted by rank. Entries of discarded jobs are skipped and removed with
        # the next sort.
        self._entries: list[_Entry] = []
        self._numbers = itertools.count()
        self._ordered_at = -math.inf

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[active_job.ActiveJob]:
        return iter([active for _, active in self._jobs.values()])

    def add(self, active: active_job.ActiveJob, now: float) -> None:
        """Adds a job that has waiting tasks, or ranks it anew."""
        number = next(self._numbers)
        self._jobs[active.job.name] = (number, active)
        entry = (self._rank(active, now), number, active)
        bisect.insort(self._entries, entry)

    def discard(self, active: active_job.ActiveJob) -> None:
        """Removes a job that has no waiting tasks."""
        known = self._jobs.get(active.job.name)
        if known is not None and known[1] is active:
            del self._jobs[active.job.name]

    def ordered(self, now: float) -> Iterator[active_job.ActiveJob]:
        """Yields the jobs in the order in which they are placed."""
        for _, active in self._ranked(now):
            yield active

    def core_seconds_before(
        self, active: active_job.ActiveJob, now: float
    ) -> float:
        """Returns the declared work of the jobs placed before a job."""
        own_rank = self._rank(active, now)
        total = 0.0
        for rank, other in self._ranked(now):
            if rank >= own_rank:
                break
            if other is not active:
                total += other.waiting_core_seconds
        return total

    def _ranked(
        self, now: float
    ) -> Iterator[tuple[_Rank, active_job.ActiveJob]]:
        """Yields the waiting jobs with their ranks, first the best."""
        if now - self._ordered_at >= _REORDER_S:
            self._ordered_at = now
            self._entries = sorted(
                (self._rank(active, now), number, active)
                for number, active in self._jobs.values()
            )
        for rank, number, active in self._entries:
            if self._jobs.get(active.job.name) == (number, active):
                yield rank, active

    def _rank(self, active: active_job.ActiveJob, now: float) -> _Rank:
        rank = _rank(active, now)
        if (
            self._begun_first
            and active.begun
            and active.latest_start < now + _BEGUN_SLACK_S
        ):
            return (rank[0] - _STANDINGS, *rank[1:])
        return rank


def _rank(active: active_job.ActiveJob, now: float) -> _Rank:
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
