"""Waiting tasks by kind, accepting endpoint groups and team."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq

from sesameroad.model import needs
from sesameroad.scheduling import pending_task

# A heap keeps outdated entries until they reach its top. It is rebuilt when it
# is larger than the number of teams by this factor.
_MAX_OUTDATED_FACTOR = 4

Load = Callable[[str, str], float]


@dataclasses.dataclass(slots=True, eq=False)
class Lane:
    """Waiting tasks of one kind that the same endpoint groups accept.

    Attributes:
        kind: Kind of the tasks.
        groups: Numbers of the endpoint groups that accept the tasks.
        waiting_since: Monotonic time in seconds of the last start from the lane,
            or of its creation.
        size: Number of waiting tasks, without withdrawn ones.
        tasks: Tasks of each team in order of arrival, withdrawn ones included.
        sizes: Number of waiting tasks of each team, without withdrawn ones.
        heap: Heap of teams that may be next: load, order of last start, team.
    """

    kind: str
    groups: frozenset[int]
    waiting_since: float = 0.0
    size: int = 0
    tasks: dict[str, collections.deque[pending_task.PendingTask]] = (
        dataclasses.field(default_factory=dict)
    )
    sizes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    heap: list[tuple[float, int, str]] = dataclasses.field(default_factory=list)


class Queue:
    """Lanes of waiting tasks; no operation's cost depends on the queue length.

    Tasks of one lane differ only by team. The team with the least load is found
    with a heap; its outdated entries are detected when they reach the top.
    """

    __slots__ = (
        "_groups_for",
        "_lanes",
        "_last_starts",
        "_load",
        "_next_start",
        "_sequence",
        "_size",
        "_size_by_kind",
        "_size_by_need",
        "_size_by_team",
        "_teams_by_kind",
    )

    def __init__(self) -> None:
        self._lanes: dict[tuple[str, frozenset[int]], Lane] = {}
        self._groups_for: Callable[[str, needs.Need], frozenset[int]] = (
            lambda kind, need: frozenset()
        )
        self._load: Load = lambda kind, team: 0.0
        self._size = 0
        self._sequence = 0
        self._next_start = 0
        self._last_starts: dict[str, int] = {}
        self._size_by_kind: collections.Counter[str] = collections.Counter()
        self._size_by_team: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._teams_by_kind: collections.Counter[str] = collections.Counter()
        self._size_by_need: collections.Counter[tuple[str, str, needs.Need]] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return self._size

    @property
    def lanes(self) -> Iterable[Lane]:
        """Lanes with at least one waiting task."""
        return self._lanes.values()

    @property
    def demand(self) -> dict[tuple[str, str, needs.Need], int]:
        """Number of waiting tasks by kind, team and need."""
        return self._size_by_need

    def waiting_of_kind(self, kind: str) -> int:
        """Returns how many tasks of a kind wait."""
        return self._size_by_kind[kind]

    def waiting_of_team(self, kind: str, team: str) -> int:
        """Returns how many tasks of a team wait within a kind."""
        return self._size_by_team[kind, team]

    def waiting_teams(self, kind: str, team: str) -> int:
        """Returns how many teams wait within a kind, including this one."""
        return self._teams_by_kind[kind] + (
            (kind, team) not in self._size_by_team
        )

    def set_load(self, load: Load) -> None:
        """Sets the load function for teams; the least loaded team goes first."""
        self._load = load
        self.update_teams()

    def regroup(
        self, groups_for: Callable[[str, needs.Need], frozenset[int]]
    ) -> None:
        """Assigns all tasks to lanes again after the endpoint groups changed."""
        self._groups_for = groups_for
        waiting = [
            (lane.waiting_since, pending)
            for lane in self._lanes.values()
            for team in lane.tasks.values()
            for pending in team
            if not pending.withdrawn
        ]
        self._lanes.clear()
        for waiting_since, pending in sorted(
            waiting, key=lambda pair: pair[1].sequence
        ):
            self._add_to_lane(pending, waiting_since)

    def update_teams(self) -> None:
        """Makes all waiting teams eligible again after loads or limits change."""
        for lane in self._lanes.values():
            self._rebuild(lane)

    def update_team(self, team: str) -> None:
        """Makes a team eligible again after its load or limit has changed."""
        for lane in self._lanes.values():
            if team in lane.tasks:
                self._push_team(lane, team)

    def push(
        self,
        pending: pending_task.PendingTask,
        *,
        now: float,
        front: bool = False,
    ) -> None:
        """Adds a task.

        Args:
            pending: The task.
            now: Monotonic time in seconds.
            front: Whether the task was taken before and returns to the front.
        """
        if not front:
            self._sequence += 1
            pending.sequence = self._sequence
        pending.queued = True
        self._count(pending, 1)
        self._add_to_lane(pending, now, front=front)

    def withdraw(self, pending: pending_task.PendingTask) -> None:
        """Marks a task as withdrawn; it is removed when it reaches the front."""
        pending.withdrawn = True
        if not pending.queued:
            return
        pending.queued = False
        self._count(pending, -1)
        work = pending.work
        lane = self._lanes[work.kind, self._groups_for(work.kind, pending.need)]
        self._remove_one(lane, work.team)

    def peek(self, lane: Lane, blocked: Callable[[str], bool]) -> str | None:
        """Returns the next team of a lane to serve, or None if none may run.

        Args:
            lane: The lane.
            blocked: Returns whether a team is at its limit. A blocked team
                becomes eligible again with update_team() or update_teams().
        """
        heap = lane.heap
        while heap:
            load, _, team = heap[0]
            if (
                team in lane.tasks
                and load == self._load(lane.kind, team)
                and not blocked(team)
            ):
                return team
            heapq.heappop(heap)
        return None

    def head(self, lane: Lane, team: str) -> pending_task.PendingTask:
        """Returns the task that pop would take, and removes withdrawn ones."""
        waiting = lane.tasks[team]
        while waiting[0].withdrawn:
            waiting.popleft()
        return waiting[0]

    def pop(
        self, lane: Lane, team: str, *, now: float
    ) -> pending_task.PendingTask:
        """Removes and returns the first task of a team that is not withdrawn."""
        pending = self.head(lane, team)
        lane.tasks[team].popleft()
        pending.queued = False
        self._count(pending, -1)
        lane.waiting_since = now
        self._next_start += 1
        self._last_starts[team] = self._next_start
        self._remove_one(lane, team)
        return pending

    def _add_to_lane(
        self,
        pending: pending_task.PendingTask,
        now: float,
        *,
        front: bool = False,
    ) -> None:
        work = pending.work
        groups = self._groups_for(work.kind, pending.need)
        lane = self._lanes.get((work.kind, groups))
        if lane is None:
            lane = Lane(work.kind, groups, waiting_since=now)
            self._lanes[work.kind, groups] = lane
        waiting = lane.tasks.get(work.team)
        if waiting is None:
            waiting = lane.tasks[work.team] = collections.deque()
            self._push_team(lane, work.team)
        if front:
            waiting.appendleft(pending)
        else:
            waiting.append(pending)
        lane.size += 1
        lane.sizes[work.team] += 1

    def _remove_one(self, lane: Lane, team: str) -> None:
        lane.size -= 1
        lane.sizes[team] -= 1
        if lane.sizes[team] == 0:
            del lane.sizes[team]
            del lane.tasks[team]
        if lane.size == 0:
            del self._lanes[lane.kind, lane.groups]

    def _push_team(self, lane: Lane, team: str) -> None:
        if len(lane.heap) > _MAX_OUTDATED_FACTOR * (len(lane.tasks) + 4):
            self._rebuild(lane)
            return
        heapq.heappush(lane.heap, self._heap_entry(lane, team))

    def _rebuild(self, lane: Lane) -> None:
        lane.heap = [self._heap_entry(lane, team) for team in lane.tasks]
        heapq.heapify(lane.heap)

    def _heap_entry(self, lane: Lane, team: str) -> tuple[float, int, str]:
        return (
            self._load(lane.kind, team),
            self._last_starts.get(team, 0),
            team,
        )

    def _count(self, pending: pending_task.PendingTask, change: int) -> None:
        work = pending.work
        pair = (work.kind, work.team)
        before = self._size_by_team[pair]
        if not before or not before + change:
            self._teams_by_kind[work.kind] += change
        self._size += change
        self._size_by_kind[work.kind] += change
        waiting = before + change
        if waiting:
            self._size_by_team[pair] = waiting
        else:
            self._size_by_team.pop(pair, None)
        name = (work.kind, work.team, pending.need)
        waiting = self._size_by_need[name] + change
        if waiting:
            self._size_by_need[name] = waiting
        else:
            del self._size_by_need[name]
