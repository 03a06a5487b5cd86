"""The order in which kinds and teams get the next free slot."""

import collections
from collections.abc import Callable
from typing import TypeVar

from sesameroad.configuration import document
from sesameroad.model import need as needs
from sesameroad.scheduling import allocation as allocations
from sesameroad.scheduling import queue as queues

# A lane that fits few endpoints may wait behind lanes of its own kind that fit
# all of them and hold the kind's share. Past this time it goes first.
_STARVED_S = 2.0

_Name = TypeVar("_Name")


class Policy:
    """Picks the next lane and team: guaranteed shares, then urgency."""

    __slots__ = (
        "_allocation",
        "_document",
        "_kinds",
        "_needs",
        "_pairs",
        "_weights",
    )

    def __init__(
        self,
        content: document.Document,
        *,
        allocation: allocations.Allocation,
    ) -> None:
        self._allocation = allocation
        self._kinds: collections.Counter[str] = collections.Counter()
        self._pairs: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._needs: collections.Counter[tuple[str, needs.Need]] = (
            collections.Counter()
        )
        self.configure(content)

    def configure(self, content: document.Document) -> None:
        """Applies a new configuration."""
        self._document = content
        self._weights = sum(k.share for k in content.product.kinds.values())
        self._allocation.configure(content.operations)

    def task_started(self, kind: str, team: str, need: needs.Need) -> None:
        """Counts a task as running."""
        self._kinds[kind] += 1
        self._needs[kind, need] += 1
        self._pairs[kind, team] += 1
        self._allocation.task_started(kind, team)

    def task_ended(self, kind: str, team: str, need: needs.Need) -> None:
        """Counts a task as no longer running."""
        self._kinds[kind] -= 1
        _count_out(self._needs, (kind, need))
        _count_out(self._pairs, (kind, team))
        self._allocation.task_ended(kind, team)

    def running(self, kind: str) -> int:
        """Returns how many tasks of a kind run."""
        return self._kinds[kind]

    @property
    def running_all(self) -> int:
        """Number of running tasks."""
        return self._kinds.total()

    @property
    def running_needs(self) -> dict[tuple[str, needs.Need], int]:
        """Running tasks by kind and need."""
        return self._needs

    def load(self, kind: str, team: str) -> float:
        """Returns the running tasks of a team for each unit of weight."""
        weight = self._document.product.team_weights.get(team, 1.0)
        return self._pairs.get((kind, team), 0) / max(weight, 1e-6)

    def blocked(self, team: str) -> bool:
        """Returns whether a team has used up its quota here."""
        allocation = self._allocation
        return allocation.team_used(team) >= allocation.team_limit(team)

    def guarantee(self, kind: str) -> float:
        """Returns how many slots of this entry a kind is sure of."""
        granted = self._allocation.guarantee(kind)
        if granted is not None:
            return granted
        share = self._document.product.kinds.get(kind, document.Kind()).share
        return (
            self._allocation.usable_slots
            * share
            / max(self._weights, share, 1e-6)
        )

    def choose(
        self,
        queue: queues.Queue,
        available: Callable[[queues.Lane], bool],
        *,
        now: float,
        pools: int,
    ) -> tuple[queues.Lane, str] | None:
        """Returns the lane and team that start next, or None if none may.

        Args:
            queue: The waiting tasks.
            available: Whether a slot is free that a lane fits.
            now: Monotonic seconds.
            pools: Number of pools, to tell lanes that do not fit all of them.
        """
        lanes = [
            lane
            for lane in queue.lanes
            if available(lane) and not self._at_ceiling(lane.kind)
        ]
        if len(lanes) > 1:
            lanes.sort(key=lambda lane: self._rank(lane, now, pools))
        for lane in lanes:
            team = queue.peek(lane, self.blocked)
            if team is not None:
                return lane, team
        return None

    def _at_ceiling(self, kind: str) -> bool:
        limit = self._allocation.kind_limit(kind)
        return limit is not None and self._kinds[kind] >= limit

    def _rank(
        self, lane: queues.Lane, now: float, pools: int
    ) -> tuple[bool, bool, int, float]:
        kind = self._document.product.kinds.get(lane.kind, document.Kind())
        starved = len(lane.fit) < pools and now - lane.since > _STARVED_S
        sated = self._kinds[lane.kind] >= self.guarantee(lane.kind)
        return (not starved, sated, kind.urgency, lane.since)


def _count_out(counts: collections.Counter[_Name], name: _Name) -> None:
    left = counts[name] - 1
    if left:
        counts[name] = left
    else:
        del counts[name]
