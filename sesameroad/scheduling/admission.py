"""Load shedding: decides which work is refused on arrival."""

import collections

from sesameroad.configuration import document
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import queue as queue_module

_RETRY_S = 1.0
# This fraction of the queue is reserved for the kinds by share, so that a flood
# of one kind cannot take it. The rest is given out first come, first served.
_RESERVED_FRACTION = 0.5
# Number of run times kept for each kind, and number of runs between updates of
# the mean and the quantile.
_RUNS_KEPT = 512
_RUNS_PER_UPDATE = 16
# A send whose answer arrives after the deadline is wasted. Work that would
# start with less time left than all but 2% of runs need is refused instead.
_LONG_RUN_QUANTILE = 0.98
# A deadline close to the usual run time leaves no room for such a reserve. The
# reserve is at most this fraction of the time, so that the rest is left for
# waiting.
_MAX_RESERVE_FRACTION = 0.5


class RunTimes:
    """Mean and 98th percentile of the last run times of one kind, in seconds."""

    __slots__ = ("_count", "_runs", "long_s", "mean_s")

    def __init__(self) -> None:
        self._runs: collections.deque[float] = collections.deque(
            maxlen=_RUNS_KEPT
        )
        self._count = 0
        self.mean_s = 0.0
        self.long_s = 0.0

    def add(self, seconds: float) -> None:
        """Records the run time of a task."""
        self._runs.append(seconds)
        self._count += 1
        if self._count > _RUNS_PER_UPDATE and self._count % _RUNS_PER_UPDATE:
            return
        ordered = sorted(self._runs)
        self.mean_s = sum(ordered) / len(ordered)
        self.long_s = ordered[int(_LONG_RUN_QUANTILE * (len(ordered) - 1))]


class Admission:
    """Bounds the queue and refuses work that could not start in time."""

    __slots__ = (
        "_allocation",
        "_document",
        "_max_queued",
        "_policy",
        "_queue",
        "_reserved",
        "_run_times",
    )

    def __init__(
        self,
        content: document.Document,
        *,
        max_queued: int,
        queue: queue_module.Queue,
        policy: policy_module.Policy,
        allocation: allocation_module.Allocation,
    ) -> None:
        self._max_queued = max_queued
        self._queue = queue
        self._policy = policy
        self._allocation = allocation
        self._run_times: collections.defaultdict[str, RunTimes] = (
            collections.defaultdict(RunTimes)
        )
        self.configure(content)

    def configure(self, content: document.Document) -> None:
        """Applies a new configuration."""
        self._document = content
        kinds = content.product.kinds
        weights = sum(kind.share for kind in kinds.values()) or 1.0
        self._reserved = {
            name: self._max_queued * _RESERVED_FRACTION * kind.share / weights
            for name, kind in kinds.items()
        }

    def observe(self, kind: str, seconds: float) -> None:
        """Records the run time of a task."""
        self._run_times[kind].add(seconds)

    def is_late(
        self, pending: pending_task.PendingTask, *, now: float, now_ms: int
    ) -> bool:
        """Returns whether a waiting task is too late to be sent.

        A submission that loses one task also loses the answers of its others, so
        its tasks are late only at the deadline.
        """
        work = pending.work
        remaining_s = (work.deadline_ms - now_ms) / 1_000
        match work:
            case work_module.Submission():
                return remaining_s <= 0
            case work_module.Request():
                waited_s = now - pending.enqueued_at
                return remaining_s < self._run_reserve_s(
                    work.kind, remaining_s + waited_s
                )

    def _run_reserve_s(self, kind: str, total_s: float) -> float:
        """Returns how long before the deadline a task must start."""
        return min(
            self._run_times[kind].long_s, total_s * _MAX_RESERVE_FRACTION
        )

    def refusal(
        self, work: work_module.Work, *, now_ms: int
    ) -> outcomes.NotRun | None:
        """Returns why work is refused, or None if it may be queued."""
        operations = self._document.operations
        if not operations.team_quotas.get(work.team, 0):
            return _not_run(
                outcomes.Cause.TEAM_QUOTA, "the quota of the team is 0"
            )
        if operations.kind_ceilings.get(work.kind) == 0:
            return _not_run(
                outcomes.Cause.KIND_CEILING, "the ceiling of the kind is 0"
            )
        return self._queue_refusal(work) or self._wait_refusal(work, now_ms)

    def expected_wait_s(self, work: work_module.Work) -> float:
        """Returns the expected time until the last task of new work starts."""
        return max(self._kind_wait_s(work), self._team_wait_s(work))

    def _queue_refusal(self, work: work_module.Work) -> outcomes.NotRun | None:
        count = len(work.tasks)
        if len(self._queue) + count > self._max_queued:
            return _not_run(outcomes.Cause.OVERLOAD, "the queue is full")
        reserved = self._reserved
        own_reserve = reserved.get(work.kind, 0.0)
        waiting = self._queue.waiting_of_kind(work.kind)
        common = self._max_queued * (1 - _RESERVED_FRACTION) - sum(
            max(0.0, self._queue.waiting_of_kind(name) - kind_reserve)
            for name, kind_reserve in reserved.items()
            if name != work.kind
        )
        room = own_reserve + max(0.0, common) - waiting
        if count > room:
            return _not_run(
                outcomes.Cause.OVERLOAD, f"the queue of {work.kind} is full"
            )
        # The queued tasks of a team may not exceed the room that stays free, so
        # that other teams of the kind find room however much one team submits.
        if self._queue.waiting_of_team(work.kind, work.team) + count > room:
            return _not_run(
                outcomes.Cause.TEAM_QUOTA,
                f"the queue of team {work.team} is full",
            )
        return None

    def _wait_refusal(
        self, work: work_module.Work, now_ms: int
    ) -> outcomes.NotRun | None:
        remaining_s = (work.deadline_ms - now_ms) / 1_000
        run_s = self._run_reserve_s(work.kind, remaining_s)
        for cause, wait_s in (
            (outcomes.Cause.DEADLINE, self._kind_wait_s(work)),
            (outcomes.Cause.TEAM_QUOTA, self._team_wait_s(work)),
        ):
            if wait_s > 0 and wait_s + run_s > remaining_s:
                return outcomes.NotRun(
                    cause,
                    f"the expected wait is {wait_s:.2f} s",
                    retry_after_s=max(_RETRY_S, wait_s),
                )
        return None

    def _mean_s(self, kind: str) -> float:
        return self._run_times[kind].mean_s

    def _kind_wait_s(self, work: work_module.Work) -> float:
        """Returns the expected time until the tasks ahead of the work start.

        Teams take turns, so a team with few waiting tasks does not wait for the
        whole queue of a team with many.
        """
        kind = work.kind
        waiting = self._queue.waiting_of_kind(kind)
        if not waiting and len(work.tasks) == 1:
            return 0.0
        team_tasks = self._queue.waiting_of_team(kind, work.team) + len(
            work.tasks
        )
        ahead = min(
            waiting + len(work.tasks),
            team_tasks * self._queue.waiting_teams(kind, work.team),
        )
        running = self._policy.running(kind)
        running_others = self._policy.running_total - running
        slots = max(
            running,
            self._policy.guarantee(kind),
            self._allocation.usable_slots - running_others,
            1,
        )
        return ahead * self._mean_s(kind) / slots

    def _team_wait_s(self, work: work_module.Work) -> float:
        team_tasks = self._queue.waiting_of_team(work.kind, work.team) + len(
            work.tasks
        )
        limit = self._allocation.team_limit(work.team)
        if self._allocation.team_used(work.team) + team_tasks <= limit:
            return 0.0
        return team_tasks * self._mean_s(work.kind) / max(1, limit)


def _not_run(cause: outcomes.Cause, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(cause, detail, _RETRY_S)
