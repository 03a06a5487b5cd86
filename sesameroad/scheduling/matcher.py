"""Brings waiting tasks and idle connections to endpoints together."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from sesameroad.model import clock as clocks
from sesameroad.model import endpoint as endpoints
from sesameroad.model import need as needs
from sesameroad.scheduling import allocation as allocations
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy as policies
from sesameroad.scheduling import queue as queues

# Compares endpoints for the task at the head of a lane, given the slots that this
# entry uses there: the lowest number wins, None excludes the endpoint for now.
Rank = Callable[
    [endpoints.Endpoint, pending_task.PendingTask, int], float | None
]
_Waiter = asyncio.Future[pending_task.PendingTask | None]

# Needs are chosen by callers, so the number of different ones has no bound.
_MAX_KNOWN_FITS = 10_000
# Bounds the cost of a start where there are many endpoints. The least used ones
# are compared, so a slow one is passed over as long as 8 others are as free.
_MAX_COMPARED = 8


class EndpointGroup:
    """Endpoints that accept the same tasks, by the slots that are used.

    Only endpoints with a free slot and an idle connection are kept, in the order
    in which they became free, so that the least used one is found without a look
    at the others.
    """

    __slots__ = ("_by_used", "_places", "members", "number", "sample")

    def __init__(self, number: int, sample: endpoints.Endpoint) -> None:
        self.number = number
        self.sample = sample
        self.members: set[str] = set()
        self._by_used: dict[int, dict[str, None]] = {}
        self._places: dict[str, int] = {}

    @property
    def available(self) -> bool:
        """Whether any endpoint can take a task now."""
        return bool(self._places)

    def place(self, endpoint_id: str, used: int | None) -> None:
        """Notes the used slots of an endpoint; None if it takes no task."""
        previous = self._places.pop(endpoint_id, None)
        if previous is not None:
            group = self._by_used[previous]
            del group[endpoint_id]
            if not group:
                del self._by_used[previous]
        if used is not None:
            self._places[endpoint_id] = used
            self._by_used.setdefault(used, {})[endpoint_id] = None

    def candidates(self) -> Iterator[tuple[str, int]]:
        """Yields available endpoints and their used slots, fewest first."""
        for used in sorted(self._by_used):
            for endpoint_id in self._by_used[used]:
                yield endpoint_id, used


class Matcher:
    """Hands the next task, by policy, to the best idle connection."""

    __slots__ = (
        "_allocation",
        "_changed",
        "_clock",
        "_endpoints",
        "_fits",
        "_idle",
        "_numbers",
        "_observe",
        "_order",
        "_policy",
        "_pool_of",
        "_pools",
        "_queue",
        "_rank",
        "_screen",
    )

    def __init__(
        self,
        *,
        queue: queues.Queue,
        policy: policies.Policy,
        allocation: allocations.Allocation,
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
        self._pools: dict[int, EndpointGroup] = {}
        self._pool_of: dict[str, EndpointGroup] = {}
        self._numbers: dict[str, int] = {}
        self._order: list[EndpointGroup] = []
        self._fits: dict[tuple[str, needs.Need], frozenset[int]] = {}
        self._changed: Callable[[], None] = lambda: None
        self._observe: Callable[[str, float], None] = lambda kind, seconds: None
        self._screen: Callable[[pending_task.PendingTask], bool] = (
            lambda pending: True
        )
        queue.rank_by(policy.load)
        queue.regroup(self._fit)

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
        """Sets who is told of changes.

        Args:
            changed: Called after tasks were queued, handed over or released.
            observe: Called with the kind and the run time of each task.
            screen: Called with each task before it is handed over; if it
                returns False, the task is dropped and its work decided there.
        """
        self._screen = screen or self._screen
        self._changed = changed or self._changed
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
        """Queues tasks, and hands them over as far as connections are idle."""
        now = self._clock.monotonic()
        for pending in submitted:
            if not pending.withdrawn:
                self._queue.push(pending, now=now)
        self.match()

    def withdraw(self, withdrawn: Iterable[pending_task.PendingTask]) -> None:
        """Takes tasks out of the queue; those handed over run on."""
        for pending in withdrawn:
            self._queue.withdraw(pending)

    def add_endpoint(self, endpoint: endpoints.Endpoint) -> None:
        """Lets connections to an endpoint take tasks."""
        self._endpoints[endpoint.id] = endpoint
        self._idle.setdefault(endpoint.id, collections.deque())
        number = self._numbers.setdefault(endpoint.group, len(self._numbers))
        if number not in self._pools:
            self._pools[number] = EndpointGroup(number, endpoint)
            self._regroup()
        self._pool_of[endpoint.id] = self._pools[number]
        self._pools[number].members.add(endpoint.id)
        self._allocation.set_endpoints(self._endpoints.values())
        self.match()

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Hands no more tasks to an endpoint; idle connections get None."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            pool = self._pool_of.pop(endpoint_id)
            pool.place(endpoint_id, None)
            pool.members.discard(endpoint_id)
            if not pool.members:
                del self._pools[pool.number]
                self._regroup()
            self._allocation.set_endpoints(self._endpoints.values())
        for waiter in self._idle.pop(endpoint_id, ()):
            if not waiter.done():
                waiter.set_result(None)

    async def take(self, endpoint_id: str) -> pending_task.PendingTask | None:
        """Waits for a task that may run on an endpoint.

        Returns:
            The task, or None when the endpoint gets no more work.
        """
        if endpoint_id not in self._endpoints:
            return None
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        self._idle[endpoint_id].append(waiter)
        self._place(endpoint_id)
        self.match()
        try:
            return await waiter
        except asyncio.CancelledError:
            # A task handed over in the same loop turn must not be dropped.
            if waiter.done() and not waiter.cancelled():
                pending = waiter.result()
                if pending is not None:
                    self._free(endpoint_id, pending)
                    self.submit(pending, front=True)
            raise

    def release(
        self, endpoint_id: str, pending: pending_task.PendingTask
    ) -> None:
        """Frees the slot that a task used."""
        self._observe(
            pending.work.kind, self._clock.monotonic() - pending.began_at
        )
        self._free(endpoint_id, pending)
        self.match()

    def refresh(self) -> None:
        """Takes new limits and a new configuration into account."""
        for endpoint_id in self._endpoints:
            self._place(endpoint_id)
        self._queue.refresh()
        self.match()

    def match(self) -> None:
        """Hands over tasks as long as one fits an idle connection."""
        if self._allocation.refresh():
            for endpoint_id in self._endpoints:
                self._place(endpoint_id)
            self._queue.refresh()
        held_back: set[queues.Lane] = set()
        while (
            len(self._queue)
            and self._any_available()
            and self._hand_over_one(held_back)
        ):
            pass
        self._changed()

    def _hand_over_one(self, held_back: set[queues.Lane]) -> bool:
        """Hands over the next task; returns False if there is none.

        Args:
            held_back: Lanes whose next task no endpoint may get now; grows.
        """
        now = self._clock.monotonic()
        chosen = self._policy.choose(
            self._queue,
            lambda lane: lane not in held_back and self._available(lane),
            now=now,
            pools=len(self._pools),
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
            self._place(endpoint_id)
            return True
        self._queue.pop(lane, team, now=now)
        pending.began_at = now
        self._allocation.acquire(endpoint_id)
        self._policy.task_started(lane.kind, team, pending.need)
        self._queue.offer(team)
        self._place(endpoint_id)
        waiter.set_result(pending)
        return True

    def _best_endpoint(
        self, lane: queues.Lane, pending: pending_task.PendingTask
    ) -> str | None:
        """Returns the endpoint of lowest rank, None if all are excluded."""
        for pool in self._order:
            if pool.number not in lane.fit:
                continue
            best = None
            best_rank = 0.0
            compared = 0
            for endpoint_id, used in pool.candidates():
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

    def _free(
        self, endpoint_id: str, pending: pending_task.PendingTask
    ) -> None:
        self._allocation.release(endpoint_id)
        self._policy.task_ended(
            pending.work.kind, pending.work.team, pending.need
        )
        self._queue.offer(pending.work.team)
        self._place(endpoint_id)

    def _any_available(self) -> bool:
        return any(pool.available for pool in self._order)

    def _available(self, lane: queues.Lane) -> bool:
        pools = self._pools
        return any(pools[number].available for number in lane.fit)

    def _place(self, endpoint_id: str) -> None:
        """Updates the place of an endpoint in its pool."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        takes = self._idle[endpoint_id] and self._allocation.has_free(endpoint)
        self._pool_of[endpoint_id].place(
            endpoint_id, self._allocation.used(endpoint_id) if takes else None
        )

    def _regroup(self) -> None:
        """Sorts tasks into lanes again; the least capable pools go first.

        A task that fits everywhere should leave scarce resources to others.
        """
        self._fits.clear()
        self._order = sorted(
            self._pools.values(),
            key=lambda pool: (
                not pool.sample.kinds,
                pool.sample.offer.accelerators,
                pool.sample.offer.memory_mb,
                pool.sample.offer.cores,
            ),
        )
        self._queue.regroup(self._fit)

    def _fit(self, kind: str, need: needs.Need) -> frozenset[int]:
        fit = self._fits.get((kind, need))
        if fit is None:
            if len(self._fits) >= _MAX_KNOWN_FITS:
                self._fits.clear()
            fit = self._fits[kind, need] = frozenset(
                number
                for number, pool in self._pools.items()
                if pool.sample.accepts(kind, need)
            )
        return fit

    def _next_waiter(self, endpoint_id: str) -> _Waiter | None:
        waiters = self._idle[endpoint_id]
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                return waiter
        return None
