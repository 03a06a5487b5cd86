"""Connections to the live endpoints of the data centre."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from sesameroad.model import clock as clocks
from sesameroad.model import endpoint as endpoints
from sesameroad.routing import endpoint_health
from sesameroad.routing import hedging
from sesameroad.routing import result as results
from sesameroad.routing import retry
from sesameroad.routing import retry_budget
from sesameroad.routing import sender as senders
from sesameroad.scheduling import matcher as matchers
from sesameroad.scheduling import pending_task
from sesameroad.telemetry import log

Settle = Callable[[pending_task.PendingTask, results.Result], None]
Leaving = Callable[[str], None]

# Period in which endpoints whose pause has ended get work, and in which
# stragglers are looked for.
_TICK_S = 0.025
_CLOSE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class _Served:
    """One endpoint as connections serve it until it is changed or retired."""

    endpoint: endpoints.Endpoint
    width: int


class ConnectionPool:
    """Runs one task for each connection to each live endpoint."""

    __slots__ = (
        "_budget",
        "_clock",
        "_connections",
        "_entries",
        "_health",
        "_hedger",
        "_leaving",
        "_matcher",
        "_sender",
        "_served",
        "_settle",
        "_ticker",
    )

    def __init__(
        self,
        *,
        matcher: matchers.Matcher,
        sender: senders.Sender,
        settle: Settle,
        health: endpoint_health.EndpointHealth,
        budget: retry_budget.RetryBudget,
        clock: clocks.Clock,
        leaving: Leaving = lambda _: None,
    ) -> None:
        self._matcher = matcher
        self._sender = sender
        self._settle = settle
        self._health = health
        self._budget = budget
        self._hedger = hedging.Hedger(budget=budget)
        self._clock = clock
        self._leaving = leaving
        self._entries = 1
        self._served: dict[str, _Served] = {}
        # Keyed by URL as well: connections to a replaced endpoint that wait for
        # an answer do not count against its successor.
        self._connections: dict[tuple[str, str], set[asyncio.Task[None]]] = {}
        self._ticker: asyncio.Task[None] | None = None

    @property
    def live(self) -> Iterable[endpoints.Endpoint]:
        """Endpoints that get new work."""
        return [served.endpoint for served in self._served.values()]

    def set_entries(self, count: int) -> None:
        """Sets how many entries of the data centre share the connections."""
        if count != self._entries:
            self._entries = max(1, count)
            self.update(self.live)

    def update(self, wanted_endpoints: Iterable[endpoints.Endpoint]) -> None:
        """Opens connections to new endpoints and retires those of others."""
        wanted = {endpoint.id: endpoint for endpoint in wanted_endpoints}
        for endpoint_id in tuple(self._served):
            if endpoint_id not in wanted:
                del self._served[endpoint_id]
                self._matcher.remove_endpoint(endpoint_id)
                self._health.remove(endpoint_id)
        for endpoint_id, endpoint in wanted.items():
            known = self._served.get(endpoint_id)
            width = self._width(endpoint)
            if known is None:
                self._open(_Served(endpoint, width))
            elif known.endpoint != endpoint or known.width != width:
                self._matcher.remove_endpoint(endpoint_id)
                self._open(_Served(endpoint, width))
        if self._ticker is None and self._served:
            self._ticker = asyncio.create_task(self._tick(), name="pool tick")

    async def close(self, *, timeout_s: float = _CLOSE_TIMEOUT_S) -> None:
        """Ends all connections once their task in flight is answered.

        Args:
            timeout_s: Seconds after which a task still in flight is given up
                as lost.
        """
        self.update(())
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        tasks = [t for group in self._connections.values() for t in group]
        if not tasks:
            return
        _, late = await asyncio.wait(tasks, timeout=timeout_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)

    def _width(self, endpoint: endpoints.Endpoint) -> int:
        """Connections of this entry, so that all entries stay in the bound."""
        share = endpoint.connections // self._entries
        return max(1, min(endpoint.slots, share))

    def _open(self, served: _Served) -> None:
        self._served[served.endpoint.id] = served
        self._health.add(served.endpoint)
        self._matcher.add_endpoint(served.endpoint)
        self._top_up(served)

    def _top_up(self, served: _Served) -> None:
        """Adds connections up to the width, counting those of earlier views."""
        endpoint = served.endpoint
        place = (endpoint.id, endpoint.url)
        group = self._connections.setdefault(place, set())
        for _ in range(served.width - len(group)):
            task = asyncio.create_task(
                self._serve(served), name=f"connection {endpoint.id}"
            )
            group.add(task)

    async def _serve(self, served: _Served) -> None:
        """Sends one task after another to an endpoint until it is retired."""
        endpoint = served.endpoint
        try:
            while self._served.get(endpoint.id) is served:
                pending = await self._matcher.take(endpoint.id)
                if pending is None:
                    break
                if self._served.get(endpoint.id) is not served:
                    # Changed after the hand-over and before the send.
                    self._matcher.release(endpoint.id, pending)
                    self._matcher.submit(pending, front=True)
                    break
                await self._run(endpoint, pending)
        finally:
            place = (endpoint.id, endpoint.url)
            group = self._connections[place]
            group.discard(asyncio.current_task())
            successor = self._served.get(endpoint.id)
            if successor is not None and successor.endpoint.url == endpoint.url:
                self._top_up(successor)
            elif not group:
                del self._connections[place]

    async def _run(
        self, endpoint: endpoints.Endpoint, pending: pending_task.PendingTask
    ) -> None:
        began = self._clock.monotonic()
        if not (
            pending.attempts
            or pending.refusals
            or pending.unreachable
            or pending.hedge
        ):
            self._budget.deposit()
        self._hedger.send_started(pending, endpoint.id, began)
        result: results.Result = results.Lost("given up at shutdown")
        try:
            result = await self._sender.send(endpoint, pending)
        finally:
            seconds = self._clock.monotonic() - began
            self._hedger.send_ended(pending, result, seconds)
            self._health.observe(endpoint, pending, result, seconds)
            try:
                self._conclude(endpoint, pending, result)
            except Exception as error:  # noqa: BLE001
                log.problem(
                    "unexpected error after a send",
                    step="settle",
                    peer=endpoint.id,
                    error=repr(error),
                )
            self._matcher.release(endpoint.id, pending)

    def _conclude(
        self,
        endpoint: endpoints.Endpoint,
        pending: pending_task.PendingTask,
        result: results.Result,
    ) -> None:
        match result:
            case (
                results.Answered(leaving=True)
                | results.RanAndFailed(leaving=True)
                | results.Refused(leaving=True)
            ):
                self._leaving(endpoint.id)
        if pending.hedge and not isinstance(result, results.Answered):
            # The first send of the task decides.
            return
        retry.record_result(pending, endpoint.id, result)
        self._settle(pending, result)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            if not self._matcher.waiting:
                self._hedge()
            elif self._health.restricted:
                self._matcher.match()

    def _hedge(self) -> None:
        """Sends stragglers a second time; only while no other task waits."""
        for pending in self._hedger.due(self._clock.monotonic()):
            self._matcher.submit(pending, front=True)
