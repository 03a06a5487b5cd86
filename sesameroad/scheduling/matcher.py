"""Matches waiting tasks to idle connections of endpoints."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import queue as queue_module

# Ranks an endpoint for the task at the head of a lane, given the number of slots
# that this entry uses there. The lowest number wins; None excludes the endpoint
# for now.
Rank = Callable[
    [endpoints.Endpoint, pending_task.PendingTask, int], float | None
]
_Waiter = asyncio.Future[pending_task.PendingTask | None]

# Callers choose the needs, so the number of distinct ones is not bounded.
_MAX_CACHED_NEEDS = 10_000
# Bounds the cost of a start where there are many endpoints. The least used ones
# are compared, so a slow one is passed over as long as 8 others are as free.
_MAX_COMPARED = 8


class EndpointGroup:
    """Endpoints that accept the same tasks, ordered by the slots in use.

    Only endpoints with a free slot and an idle connection are indexed, in the
    order in which they became free, so that the least used one is found without
    a scan of the others.
    """

    __slots__ = ("_ids_by_used", "_used", "members", "number", "representative")

    def __init__(self, number: int, representative: endpoints.Endpoint) -> None:
        self.number = number
        self.representative = representative
        self.members: set[str] = set()
        self._ids_by_used: dict[int, dict[str, None]] = {}
        self._used: dict[str, int] = {}

    @property
    def available(self) -> bool:
        """Whether any endpoint can take a task now."""
        return bool(self._used)

    def update(self, endpoint_id: str, used: int | None) -> None:
        """Sets the used slots of an endpoint; None if it cannot take a task."""
        previous = self._used.pop(endpoint_id, None)
        if previous is not None:
            ids = self._ids_by_used[previous]
            del ids[endpoint_id]
            if not ids:
                del self._ids_by_used[previous]
        if used is not None:
            self._used[endpoint_id] = used
            self._ids_by_used.setdefault(used, {})[endpoint_id] = None

    def candidates(self) -> Iterator[tuple[str, int]]:
        """Yields available endpoints and their used slots, fewest first."""
        for used in sorted(self._ids_by_used):
            for endpoint_id in self._ids_by_used[used]:
                yield endpoint_id, used


class Matcher:
    """Hands the next task by policy to the best idle connection."""

    __slots__ = (
        "_accepting_groups",
        "_allocation",
        "_clock",
        "_endpoints",
        "_group_numbers",
        "_group_of",
        "_group_order",
        "_groups",
        "_idle",
        "_observe",
        "_on_change",
        "_policy",
        "_queue",
        "_rank",
        "_screen",
    )

    def __init__(
        self,
        *,
        queue: queue_module.Queue,
        policy: policy_module.Policy,
        allocation: allocation_module.Allocation,
        rank: Rank = lambda _endpoint, _pending, used: used,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._rank = rank
        self._queue = queue
        self._policy = policy
        self._allocation = allocation
        self._clock = clock or clocks.Clock()
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._idle: dict[str, collections.deque[_Waiter]] = {}
        self._groups: dict[int, EndpointGroup] = {}
        self._group_of: dict[str, EndpointGroup] = {}
        self._group_numbers: dict[str, int] = {}
        self._group_order: list[EndpointGroup] = []
        self._accepting_groups: dict[tuple[str, needs.Need], frozenset[int]] = (
            {}
        )
        self._on_change: Callable[[], None] = lambda: None
        self._observe: Callable[[str, float], None] = lambda kind, seconds: None
        self._screen: Callable[[pending_task.PendingTask], bool] = (
            lambda pending: True
        )
        queue.set_load(policy.load)
        queue.regroup(self._groups_for)

    @property
    def waiting(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    def set_callbacks(
        self,
        *,
        changed: Callable[[], None] | None = None,
        observe: Callable[[str, float], None] | None = None,
        screen: Callable[[pending_task.PendingTask], bool] | None = None,
    ) -> None:
        """Sets callbacks; those left out are unchanged.

        Args:
            changed: Called after tasks were queued, handed over or released.
            observe: Called with the kind and the run time of each task in
                seconds.
            screen: Called with each task before it is handed over. If it
                returns False, the task is dropped; the callback itself must
                decide the outcome of the work.
        """
        self._screen = screen or self._screen
        self._on_change = changed or self._on_change
        self._observe = observe or self._observe

    def submit(
        self, pending: pending_task.PendingTask, *, front: bool = False
    ) -> None:
        """Queues a task and hands it over if a connection is idle."""
        if pending.withdrawn:
            return
        self._queue.push(pending, now=self._clock.monotonic(), front=front)
        self.match()

    def submit_all(self, submitted: Iterable[pending_task.PendingTask]) -> None:
        """Queues tasks and hands them over while connections are idle."""
        now = self._clock.monotonic()
        for pending in submitted:
            if not pending.withdrawn:
                self._queue.push(pending, now=now)
        self.match()

    def withdraw(self, withdrawn: Iterable[pending_task.PendingTask]) -> None:
        """Removes tasks from the queue; those already handed over continue."""
        for pending in withdrawn:
            self._queue.withdraw(pending)

    def add_endpoint(self, endpoint: endpoints.Endpoint) -> None:
        """Allows connections to an endpoint to take tasks."""
        self._endpoints[endpoint.id] = endpoint
        self._idle.setdefault(endpoint.id, collections.deque())
        number = self._group_numbers.setdefault(
            endpoint.group, len(self._group_numbers)
        )
        if number not in self._groups:
            self._groups[number] = EndpointGroup(number, endpoint)
            self._update_groups()
        self._group_of[endpoint.id] = self._groups[number]
        self._groups[number].members.add(endpoint.id)
        self._allocation.set_endpoints(self._endpoints.values())
        self.match()

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Stops handing tasks to an endpoint; idle connections receive None."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            group = self._group_of.pop(endpoint_id)
            group.update(endpoint_id, None)
            group.members.discard(endpoint_id)
            if not group.members:
                del self._groups[group.number]
                self._update_groups()
            self._allocation.set_endpoints(self._endpoints.values())
        for waiter in self._idle.pop(endpoint_id, ()):
            if not waiter.done():
                waiter.set_result(None)

    async def take(self, endpoint_id: str) -> pending_task.PendingTask | None:
        """Waits for a task that may run on an endpoint.

        Returns:
            The task, or None if the endpoint gets no more work.
        """
        if endpoint_id not in self._endpoints:
            return None
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        self._idle[endpoint_id].append(waiter)
        self._update_availability(endpoint_id)
        self.match()
        try:
            return await waiter
        except asyncio.CancelledError:
            # A task that was handed over in the same turn of the event loop
            # must not be lost.
            if waiter.done() and not waiter.cancelled():
                pending = waiter.result()
                if pending is not None:
                    self._free_slot(endpoint_id, pending)
                    self.submit(pending, front=True)
            raise

    def release(
        self, endpoint_id: str, pending: pending_task.PendingTask
    ) -> None:
        """Frees the slot that a task used."""
        self._observe(
            pending.work.kind, self._clock.monotonic() - pending.started_at
        )
        self._free_slot(endpoint_id, pending)
        self.match()

    def refresh(self) -> None:
        """Applies new limits and a new configuration."""
        for endpoint_id in self._endpoints:
            self._update_availability(endpoint_id)
        self._queue.update_teams()
        self.match()

    def match(self) -> None:
        """Hands over tasks while one can run on an idle connection."""
        if self._allocation.check_expiry():
            for endpoint_id in self._endpoints:
                self._update_availability(endpoint_id)
            self._queue.update_teams()
        held_back: set[queue_module.Lane] = set()
        while (
            len(self._queue)
            and self._any_available()
            and self._hand_over_one(held_back)
        ):
            pass
        self._on_change()

    def _hand_over_one(self, held_back: set[queue_module.Lane]) -> bool:
        """Hands over the next task; returns False if there is none.

        Args:
            held_back: Lanes whose next task no endpoint may get now; this
                method adds to it.
        """
        now = self._clock.monotonic()
        chosen = self._policy.choose(
            self._queue,
            lambda lane: lane not in held_back and self._available(lane),
            now=now,
            groups=len(self._groups),
        )
        if chosen is None:
            return False
        lane, team = chosen
        pending = self._queue.head(lane, team)
        if not self._screen(pending):
            self._queue.withdraw(pending)
            return True
        endpoint_id = self._best_endpoint(lane, pending)
        if endpoint_id is None:
            held_back.add(lane)
            return True
        waiter = self._next_waiter(endpoint_id)
        if waiter is None:
            self._update_availability(endpoint_id)
            return True
        self._queue.pop(lane, team, now=now)
        pending.started_at = now
        self._allocation.acquire(endpoint_id)
        self._policy.task_started(lane.kind, team, pending.need)
        self._queue.update_team(team)
        self._update_availability(endpoint_id)
        waiter.set_result(pending)
        return True

    def _best_endpoint(
        self, lane: queue_module.Lane, pending: pending_task.PendingTask
    ) -> str | None:
        """Returns the endpoint of lowest rank, or None if all are excluded."""
        for group in self._group_order:
            if group.number not in lane.groups:
                continue
            best = None
            best_rank = 0.0
            compared = 0
            for endpoint_id, used in group.candidates():
                rank = self._rank(self._endpoints[endpoint_id], pending, used)
                if rank is None:
                    continue
                if best is None or rank < best_rank:
                    best, best_rank = endpoint_id, rank
                compared += 1
                if compared == _MAX_COMPARED:
                    break
            if best is not None:
                return best
        return None

    def _free_slot(
        self, endpoint_id: str, pending: pending_task.PendingTask
    ) -> None:
        self._allocation.release(endpoint_id)
        self._policy.task_ended(
            pending.work.kind, pending.work.team, pending.need
        )
        self._queue.update_team(pending.work.team)
        self._update_availability(endpoint_id)

    def _any_available(self) -> bool:
        return any(group.available for group in self._group_order)

    def _available(self, lane: queue_module.Lane) -> bool:
        groups = self._groups
        return any(groups[number].available for number in lane.groups)

    def _update_availability(self, endpoint_id: str) -> None:
        """Updates whether an endpoint can take a task, and its used slots."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        takes = self._idle[endpoint_id] and self._allocation.has_free(endpoint)
        self._group_of[endpoint_id].update(
            endpoint_id, self._allocation.used(endpoint_id) if takes else None
        )

    def _update_groups(self) -> None:
        """Orders the groups, the least capable first, and rebuilds the lanes.

        Tasks that every group accepts then leave scarce resources to others.
        """
        self._accepting_groups.clear()
        self._group_order = sorted(
            self._groups.values(),
            key=lambda group: (
                not group.representative.kinds,
                group.representative.offer.accelerators,
                group.representative.offer.memory_mb,
                group.representative.offer.cores,
            ),
        )
        self._queue.regroup(self._groups_for)

    def _groups_for(self, kind: str, need: needs.Need) -> frozenset[int]:
        numbers = self._accepting_groups.get((kind, need))
        if numbers is None:
            if len(self._accepting_groups) >= _MAX_CACHED_NEEDS:
                self._accepting_groups.clear()
            numbers = self._accepting_groups[kind, need] = frozenset(
                number
                for number, group in self._groups.items()
                if group.representative.accepts(kind, need)
            )
        return numbers

    def _next_waiter(self, endpoint_id: str) -> _Waiter | None:
        waiters = self._idle[endpoint_id]
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                return waiter
        return None
