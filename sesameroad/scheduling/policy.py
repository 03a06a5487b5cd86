"""Decides which kind and team gets the next free slot."""

import collections
from collections.abc import Callable
from typing import TypeVar

from sesameroad.configuration import document
from sesameroad.model import needs
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import queue as queue_module

# A lane that only some endpoint groups accept can wait behind lanes of its own
# kind that all groups accept and that use up the share of the kind. After this
# time it goes first.
_STARVED_S = 2.0

_Name = TypeVar("_Name")


class Policy:
    """Selects the next lane and team: guaranteed shares first, then urgency."""

    __slots__ = (
        "_allocation",
        "_document",
        "_running_by_kind",
        "_running_by_need",
        "_running_by_team",
        "_total_share",
    )

    def __init__(
        self,
        content: document.Document,
        *,
        allocation: allocation_module.Allocation,
    ) -> None:
        self._allocation = allocation
        self._running_by_kind: collections.Counter[str] = collections.Counter()
        self._running_by_team: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._running_by_need: collections.Counter[tuple[str, needs.Need]] = (
            collections.Counter()
        )
        self.configure(content)

    def configure(self, content: document.Document) -> None:
        """Applies a new configuration."""
        self._document = content
        self._total_share = sum(k.share for k in content.product.kinds.values())
        self._allocation.configure(content.operations)

    def task_started(self, kind: str, team: str, need: needs.Need) -> None:
        """Counts a task as running."""
        self._running_by_kind[kind] += 1
        self._running_by_need[kind, need] += 1
        self._running_by_team[kind, team] += 1
        self._allocation.task_started(kind, team)

    def task_ended(self, kind: str, team: str, need: needs.Need) -> None:
        """Counts a task as no longer running."""
        self._running_by_kind[kind] -= 1
        _decrement(self._running_by_need, (kind, need))
        _decrement(self._running_by_team, (kind, team))
        self._allocation.task_ended(kind, team)

    def running(self, kind: str) -> int:
        """Returns how many tasks of a kind run."""
        return self._running_by_kind[kind]

    @property
    def running_total(self) -> int:
        """Number of running tasks of all kinds."""
        return self._running_by_kind.total()

    @property
    def running_by_need(self) -> dict[tuple[str, needs.Need], int]:
        """Number of running tasks by kind and need."""
        return self._running_by_need

    def load(self, kind: str, team: str) -> float:
        """Returns the running tasks of a team in a kind per unit of weight."""
        weight = self._document.product.team_weights.get(team, 1.0)
        return self._running_by_team.get((kind, team), 0) / max(weight, 1e-6)

    def at_quota(self, team: str) -> bool:
        """Returns whether a team has used up its quota at this entry."""
        allocation = self._allocation
        return allocation.team_used(team) >= allocation.team_limit(team)

    def guarantee(self, kind: str) -> float:
        """Returns how many slots of this entry are guaranteed to a kind."""
        granted = self._allocation.guarantee(kind)
        if granted is not None:
            return granted
        share = self._document.product.kinds.get(kind, document.Kind()).share
        return (
            self._allocation.usable_slots
            * share
            / max(self._total_share, share, 1e-6)
        )

    def choose(
        self,
        queue: queue_module.Queue,
        available: Callable[[queue_module.Lane], bool],
        *,
        now: float,
        groups: int,
    ) -> tuple[queue_module.Lane, str] | None:
        """Returns the lane and team to start next, or None if none may start.

        Args:
            queue: The waiting tasks.
            available: Returns whether a free slot accepts the tasks of a lane.
            now: Monotonic time in seconds.
            groups: Number of endpoint groups, to detect lanes that not all of
                them accept.
        """
        lanes = [
            lane
            for lane in queue.lanes
            if available(lane) and not self._at_ceiling(lane.kind)
        ]
        if len(lanes) > 1:
            lanes.sort(key=lambda lane: self._rank(lane, now, groups))
        for lane in lanes:
            team = queue.peek(lane, self.at_quota)
            if team is not None:
                return lane, team
        return None

    def _at_ceiling(self, kind: str) -> bool:
        limit = self._allocation.kind_limit(kind)
        return limit is not None and self._running_by_kind[kind] >= limit

    def _rank(
        self, lane: queue_module.Lane, now: float, groups: int
    ) -> tuple[bool, bool, int, float]:
        kind = self._document.product.kinds.get(lane.kind, document.Kind())
        starved = (
            len(lane.groups) < groups and now - lane.waiting_since > _STARVED_S
        )
        share_reached = self._running_by_kind[lane.kind] >= self.guarantee(
            lane.kind
        )
        return (not starved, share_reached, kind.urgency, lane.waiting_since)


def _decrement(counts: collections.Counter[_Name], name: _Name) -> None:
    remaining = counts[name] - 1
    if remaining:
        counts[name] = remaining
    else:
        del counts[name]
