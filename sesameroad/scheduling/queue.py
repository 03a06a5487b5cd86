"""Waiting tasks, by kind, pool of endpoints and team."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq

from sesameroad.model import need as needs
from sesameroad.scheduling import pending_task

# A heap keeps outdated entries until they reach its top; it is rebuilt when
# they outnumber the teams by this factor.
_MAX_OUTDATED = 4

Load = Callable[[str, str], float]


@dataclasses.dataclass(slots=True, eq=False)
class Lane:
    """Waiting tasks of one kind that fit the same pools of endpoints.

    Attributes:
        kind: Kind of the tasks.
        fit: Numbers of the pools that accept them.
        since: Monotonic seconds since when the lane has waited without a start.
        size: Tasks that wait, withdrawn ones left out.
        teams: Tasks of each team in order of arrival.
        sizes: Tasks of each team, withdrawn ones left out.
        heap: Teams that may be next: load, order of last start, team.
    """

    kind: str
    fit: frozenset[int]
    since: float = 0.0
    size: int = 0
    teams: dict[str, collections.deque[pending_task.PendingTask]] = (
        dataclasses.field(default_factory=dict)
    )
    sizes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    heap: list[tuple[float, int, str]] = dataclasses.field(default_factory=list)


class Queue:
    """Lanes of waiting tasks; the cost of a step depends on no queue length.

    Tasks of one lane are alike but for their team. The team with the least load
    is found with a heap whose outdated entries are recognised when they come up.
    """

    __slots__ = (
        "_demand",
        "_fits",
        "_kinds",
        "_lanes",
        "_load",
        "_next_start",
        "_sequence",
        "_size",
        "_starts",
        "_teams",
        "_waiting_teams",
    )

    def __init__(self) -> None:
        self._lanes: dict[tuple[str, frozenset[int]], Lane] = {}
        self._fits: Callable[[str, needs.Need], frozenset[int]] = (
            lambda kind, need: frozenset()
        )
        self._load: Load = lambda kind, team: 0.0
        self._size = 0
        self._sequence = 0
        self._next_start = 0
        self._starts: dict[str, int] = {}
        self._kinds: collections.Counter[str] = collections.Counter()
        self._teams: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._waiting_teams: collections.Counter[str] = collections.Counter()
        self._demand: collections.Counter[tuple[str, str, needs.Need]] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return self._size

    @property
    def lanes(self) -> Iterable[Lane]:
        """Lanes that hold at least one task."""
        return self._lanes.values()

    @property
    def demand(self) -> dict[tuple[str, str, needs.Need], int]:
        """Waiting tasks by kind, team and need."""
        return self._demand

    def of_kind(self, kind: str) -> int:
        """Returns how many tasks of a kind wait."""
        return self._kinds[kind]

    def of_team(self, kind: str, team: str) -> int:
        """Returns how many tasks of a team wait within a kind."""
        return self._teams[kind, team]

    def teams_of(self, kind: str, team: str) -> int:
        """Returns how many teams wait within a kind, if this one does too."""
        return self._waiting_teams[kind] + ((kind, team) not in self._teams)

    def rank_by(self, load: Load) -> None:
        """Sets the load of a team within a kind; the least goes first."""
        self._load = load
        self.refresh()

    def regroup(
        self, fits: Callable[[str, needs.Need], frozenset[int]]
    ) -> None:
        """Sorts all tasks into lanes again after the pools have changed."""
        self._fits = fits
        waiting = [
            (lane.since, pending)
            for lane in self._lanes.values()
            for team in lane.teams.values()
            for pending in team
            if not pending.withdrawn
        ]
        self._lanes.clear()
        for since, pending in sorted(
            waiting, key=lambda pair: pair[1].sequence
        ):
            self._append(pending, since)

    def refresh(self) -> None:
        """Offers every waiting team again after loads or limits have changed."""
        for lane in self._lanes.values():
            self._rebuild(lane)

    def offer(self, team: str) -> None:
        """Offers a team again after its load or its limit has changed."""
        for lane in self._lanes.values():
            if team in lane.teams:
                self._offer(lane, team)

    def push(
        self,
        pending: pending_task.PendingTask,
        *,
        now: float,
        front: bool = False,
    ) -> None:
        """Adds a task; one that was taken before keeps its old place."""
        if not front:
            self._sequence += 1
            pending.sequence = self._sequence
        pending.queued = True
        self._count(pending, 1)
        self._append(pending, now, front=front)

    def withdraw(self, pending: pending_task.PendingTask) -> None:
        """Counts a waiting task out; it is left where it is until it comes up."""
        pending.withdrawn = True
        if not pending.queued:
            return
        pending.queued = False
        self._count(pending, -1)
        work = pending.work
        lane = self._lanes[work.kind, self._fits(work.kind, pending.need)]
        self._shrink(lane, work.team)

    def peek(self, lane: Lane, blocked: Callable[[str], bool]) -> str | None:
        """Returns the team of a lane to serve next, or None if none may run.

        Args:
            lane: The lane.
            blocked: Whether a team is at its limit. A blocked team comes back
                with offer() or refresh().
        """
        heap = lane.heap
        while heap:
            load, _, team = heap[0]
            if (
                team in lane.teams
                and load == self._load(lane.kind, team)
                and not blocked(team)
            ):
                return team
            heapq.heappop(heap)
        return None

    def head(self, lane: Lane, team: str) -> pending_task.PendingTask:
        """Returns the task that pop would take; drops withdrawn ones."""
        waiting = lane.teams[team]
        while waiting[0].withdrawn:
            waiting.popleft()
        return waiting[0]

    def pop(
        self, lane: Lane, team: str, *, now: float
    ) -> pending_task.PendingTask:
        """Takes the oldest task of a team in a lane that is not withdrawn."""
        pending = self.head(lane, team)
        lane.teams[team].popleft()
        pending.queued = False
        self._count(pending, -1)
        lane.since = now
        self._next_start += 1
        self._starts[team] = self._next_start
        self._shrink(lane, team)
        return pending

    def _append(
        self,
        pending: pending_task.PendingTask,
        now: float,
        *,
        front: bool = False,
    ) -> None:
        work = pending.work
        fit = self._fits(work.kind, pending.need)
        lane = self._lanes.get((work.kind, fit))
        if lane is None:
            lane = Lane(work.kind, fit, since=now)
            self._lanes[work.kind, fit] = lane
        waiting = lane.teams.get(work.team)
        if waiting is None:
            waiting = lane.teams[work.team] = collections.deque()
            self._offer(lane, work.team)
        if front:
            waiting.appendleft(pending)
        else:
            waiting.append(pending)
        lane.size += 1
        lane.sizes[work.team] += 1

    def _shrink(self, lane: Lane, team: str) -> None:
        lane.size -= 1
        lane.sizes[team] -= 1
        if lane.sizes[team] == 0:
            del lane.sizes[team]
            del lane.teams[team]
        if lane.size == 0:
            del self._lanes[lane.kind, lane.fit]

    def _offer(self, lane: Lane, team: str) -> None:
        if len(lane.heap) > _MAX_OUTDATED * (len(lane.teams) + 4):
            self._rebuild(lane)
            return
        heapq.heappush(lane.heap, self._entry(lane, team))

    def _rebuild(self, lane: Lane) -> None:
        lane.heap = [self._entry(lane, team) for team in lane.teams]
        heapq.heapify(lane.heap)

    def _entry(self, lane: Lane, team: str) -> tuple[float, int, str]:
        return (self._load(lane.kind, team), self._starts.get(team, 0), team)

    def _count(self, pending: pending_task.PendingTask, change: int) -> None:
        work = pending.work
        pair = (work.kind, work.team)
        before = self._teams[pair]
        if not before or not before + change:
            self._waiting_teams[work.kind] += change
        self._size += change
        self._kinds[work.kind] += change
        waiting = before + change
        if waiting:
            self._teams[pair] = waiting
        else:
            self._teams.pop(pair, None)
        name = (work.kind, work.team, pending.need)
        waiting = self._demand[name] + change
        if waiting:
            self._demand[name] = waiting
        else:
            del self._demand[name]
