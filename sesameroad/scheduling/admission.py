"""Load shedding: which work is refused at once."""

from sesameroad.configuration import document
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.scheduling import allocation as allocations
from sesameroad.scheduling import policy as policies
from sesameroad.scheduling import queue as queues

_RETRY_S = 1.0
# Half of the queue is divided among kinds by share, so that no flood can take
# it; the other half goes to whoever comes first.
_RESERVED = 0.5
# Weight of one run in the moving average of run times of a kind.
_RUN_WEIGHT = 0.05


class Admission:
    """Bounds the queue, and refuses work that could not start in time."""

    __slots__ = (
        "_allocation",
        "_document",
        "_max_queued",
        "_policy",
        "_queue",
        "_run_s",
    )

    def __init__(
        self,
        content: document.Document,
        *,
        max_queued: int,
        queue: queues.Queue,
        policy: policies.Policy,
        allocation: allocations.Allocation,
    ) -> None:
        self._document = content
        self._max_queued = max_queued
        self._queue = queue
        self._policy = policy
        self._allocation = allocation
        self._run_s: dict[str, float] = {}

    def configure(self, content: document.Document) -> None:
        """Applies a new configuration."""
        self._document = content

    def observe(self, kind: str, seconds: float) -> None:
        """Notes the run time of a task."""
        known = self._run_s.get(kind, seconds)
        self._run_s[kind] = known + _RUN_WEIGHT * (seconds - known)

    def run_s(self, kind: str) -> float:
        """Returns the mean run time of a kind in seconds, 0 if not known."""
        return self._run_s.get(kind, 0.0)

    def refusal(
        self, work: works.Work, *, now_ms: int
    ) -> outcomes.NotRun | None:
        """Returns why work is refused, or None if it may queue."""
        operations = self._document.operations
        if not operations.team_quotas.get(work.team, 0):
            return _not_run(
                outcomes.Cause.TEAM_QUOTA, "the quota of the team is 0"
            )
        if operations.kind_ceilings.get(work.kind) == 0:
            return _not_run(
                outcomes.Cause.KIND_CEILING, "the ceiling of the kind is 0"
            )
        return self._full(work) or self._late(work, now_ms)

    def expected_wait_s(self, work: works.Work) -> float:
        """Returns when the last task of new work is likely to start."""
        return max(self._kind_wait_s(work), self._team_wait_s(work))

    def _full(self, work: works.Work) -> outcomes.NotRun | None:
        count = len(work.tasks)
        if len(self._queue) + count > self._max_queued:
            return _not_run(outcomes.Cause.OVERLOAD, "the queue is full")
        kinds = self._document.product.kinds
        weights = sum(kind.share for kind in kinds.values()) or 1.0
        reserved = {
            name: self._max_queued * _RESERVED * kind.share / weights
            for name, kind in kinds.items()
        }
        own = reserved.get(work.kind, 0.0)
        waiting = self._queue.of_kind(work.kind)
        common = self._max_queued * (1 - _RESERVED) - sum(
            max(0.0, self._queue.of_kind(name) - part)
            for name, part in reserved.items()
            if name != work.kind
        )
        room = own + max(0.0, common) - waiting
        if count > room:
            return _not_run(
                outcomes.Cause.OVERLOAD, f"the queue of {work.kind} is full"
            )
        # A team may queue as much as it leaves free. Other teams of the kind
        # then find room however far one of them floods it.
        if self._queue.of_team(work.kind, work.team) + count > room:
            return _not_run(
                outcomes.Cause.TEAM_QUOTA,
                f"the queue of team {work.team} is full",
            )
        return None

    def _late(self, work: works.Work, now_ms: int) -> outcomes.NotRun | None:
        remaining_s = (work.deadline_ms - now_ms) / 1_000
        run_s = self.run_s(work.kind)
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

    def _kind_wait_s(self, work: works.Work) -> float:
        """Time until the tasks ahead in the kind have got a slot.

        Teams take turns, so that a team with little waiting does not wait for
        the whole queue of a team with much.
        """
        kind = work.kind
        waiting = self._queue.of_kind(kind)
        if not waiting and len(work.tasks) == 1:
            return 0.0
        own = self._queue.of_team(kind, work.team) + len(work.tasks)
        ahead = min(
            waiting + len(work.tasks),
            own * self._queue.teams_of(kind, work.team),
        )
        running = self._policy.running(kind)
        others = self._policy.running_all - running
        slots = max(
            running,
            self._policy.guarantee(kind),
            self._allocation.total - others,
            1,
        )
        return ahead * self.run_s(kind) / slots

    def _team_wait_s(self, work: works.Work) -> float:
        own = self._queue.of_team(work.kind, work.team) + len(work.tasks)
        limit = self._allocation.team_limit(work.team)
        if self._allocation.team_used(work.team) + own <= limit:
            return 0.0
        return own * self.run_s(work.kind) / max(1, limit)


def _not_run(cause: outcomes.Cause, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(cause, detail, _RETRY_S)
