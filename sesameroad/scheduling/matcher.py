"""Brings waiting tasks and idle connections to endpoints together."""

import asyncio
import collections
from collections.abc import Callable

from sesameroad.model import endpoint as endpoints
from sesameroad.scheduling import allocation as allocations
from sesameroad.scheduling import item as items
from sesameroad.scheduling import policy as policies
from sesameroad.scheduling import queue as queues

# Compares endpoints for the task at the head of a lane, given the slots that this
# entry uses there: the lowest number wins, None excludes the endpoint for now.
Rank = Callable[[endpoints.Endpoint, items.Item, int], float | None]
_Waiter = asyncio.Future[items.Item | None]


class Matcher:
    """Hands the next task, by policy, to the best idle connection."""

    __slots__ = (
        "_allocation",
        "_endpoints",
        "_idle",
        "_policy",
        "_queue",
        "_rank",
    )

    def __init__(
        self,
        *,
        queue: queues.Queue,
        policy: policies.Policy,
        allocation: allocations.Allocation,
        rank: Rank = lambda _endpoint, _item, used: used,
    ) -> None:
        self._rank = rank
        self._queue = queue
        self._policy = policy
        self._allocation = allocation
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._idle: dict[str, collections.deque[_Waiter]] = {}

    @property
    def waiting(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    def waiting_of(self, kind: str) -> int:
        """Returns how many tasks of a kind wait for a slot."""
        return self._queue.count(kind)

    def submit(self, item: items.Item, *, front: bool = False) -> None:
        """Queues a task and hands it over if a connection is idle."""
        self._queue.push(item, front=front)
        self.match()

    def open(self, endpoint: endpoints.Endpoint) -> None:
        """Lets connections to an endpoint take tasks."""
        self._endpoints[endpoint.id] = endpoint
        self._idle.setdefault(endpoint.id, collections.deque())

    def close(self, endpoint_id: str) -> None:
        """Hands no more tasks to an endpoint; idle connections get None."""
        self._endpoints.pop(endpoint_id, None)
        for waiter in self._idle.pop(endpoint_id, ()):
            if not waiter.done():
                waiter.set_result(None)

    async def take(self, endpoint_id: str) -> items.Item | None:
        """Waits for a task that may run on an endpoint.

        Returns:
            The task, or None when the endpoint gets no more work.
        """
        if endpoint_id not in self._endpoints:
            return None
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        self._idle[endpoint_id].append(waiter)
        self.match()
        try:
            return await waiter
        except asyncio.CancelledError:
            # A task handed over in the same loop turn must not be dropped.
            if waiter.done() and not waiter.cancelled():
                item = waiter.result()
                if item is not None:
                    self.release(endpoint_id, item)
                    self.submit(item, front=True)
            raise

    def release(self, endpoint_id: str, item: items.Item) -> None:
        """Frees the slot that a task used."""
        self._allocation.release(endpoint_id)
        self._policy.ended(item.work.kind, item.work.team)
        self.match()

    def match(self) -> None:
        """Hands over tasks as long as one fits an idle connection."""
        while len(self._queue) and self._hand_over_one():
            pass

    def _hand_over_one(self) -> bool:
        for lane in self._policy.order(self._queue.lanes):
            endpoint = self._best_endpoint(lane)
            if endpoint is None:
                continue
            item = self._queue.pop(lane)
            if item is None:
                return True
            waiter = self._next_waiter(endpoint.id)
            if waiter is None:
                self._queue.push(item, front=True)
                continue
            self._allocation.acquire(endpoint.id)
            self._policy.began(lane.kind, lane.team)
            waiter.set_result(item)
            return True
        return False

    def _best_endpoint(self, lane: queues.Lane) -> endpoints.Endpoint | None:
        item = self._queue.peek(lane)
        if item is None:
            return None
        best = None
        best_rank = 0.0
        for endpoint in self._endpoints.values():
            if not self._idle[endpoint.id]:
                continue
            if not self._allocation.has_free(endpoint):
                continue
            if not endpoint.accepts(lane.kind, lane.need):
                continue
            rank = self._rank(
                endpoint, item, self._allocation.used(endpoint.id)
            )
            if rank is not None and (best is None or rank < best_rank):
                best, best_rank = endpoint, rank
        return best

    def _next_waiter(self, endpoint_id: str) -> _Waiter | None:
        waiters = self._idle[endpoint_id]
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                return waiter
        return None
