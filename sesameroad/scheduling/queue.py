"""Waiting tasks, by kind, team and need."""

import collections
from collections.abc import Iterator
import dataclasses

from sesameroad.model import need as needs
from sesameroad.scheduling import item as items


@dataclasses.dataclass(slots=True, frozen=True)
class Lane:
    """Tasks that are alike for every scheduling decision."""

    kind: str
    team: str
    need: needs.Need


class Queue:
    """Lanes of waiting tasks, each in order of arrival."""

    __slots__ = ("_lanes", "_size")

    def __init__(self) -> None:
        self._lanes: dict[Lane, collections.deque[items.Item]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def lanes(self) -> Iterator[Lane]:
        """Lanes that hold at least one task."""
        return iter(tuple(self._lanes))

    def push(self, item: items.Item, *, front: bool = False) -> None:
        """Adds a task, at the front if it was taken before."""
        lane = Lane(item.work.kind, item.work.team, item.need)
        waiting = self._lanes.setdefault(lane, collections.deque())
        if front:
            waiting.appendleft(item)
        else:
            waiting.append(item)
        self._size += 1

    def count(self, kind: str) -> int:
        """Returns how many tasks of a kind wait, withdrawn ones included."""
        return sum(
            len(waiting)
            for lane, waiting in self._lanes.items()
            if lane.kind == kind
        )

    def peek(self, lane: Lane) -> items.Item | None:
        """Returns the task that pop would take, and drops withdrawn ones."""
        waiting = self._lanes.get(lane)
        while waiting and waiting[0].withdrawn:
            waiting.popleft()
            self._size -= 1
        if waiting:
            return waiting[0]
        self._lanes.pop(lane, None)
        return None

    def pop(self, lane: Lane) -> items.Item | None:
        """Takes the oldest task of a lane that is not withdrawn."""
        waiting = self._lanes.get(lane)
        while waiting:
            item = waiting.popleft()
            self._size -= 1
            if not waiting:
                del self._lanes[lane]
            if not item.withdrawn:
                return item
        return None
