"""Connections from this entry to the live endpoints of the data centre."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.routing import endpoint_health
from sesameroad.routing import hedging
from sesameroad.routing import results
from sesameroad.routing import retry
from sesameroad.routing import retry_budget
from sesameroad.routing import sender as sender_module
from sesameroad.scheduling import matcher as matcher_module
from sesameroad.scheduling import pending_task
from sesameroad.telemetry import log

Settle = Callable[[pending_task.PendingTask, results.Result], None]
Leaving = Callable[[str], None]

# Period of the checks for endpoints whose pause has ended, and for requests to
# hedge.
_TICK_S = 0.025
_CLOSE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class _ServedEndpoint:
    """One version of an endpoint, served until it is changed or retired."""

    endpoint: endpoints.Endpoint
    connection_limit: int


class ConnectionPool:
    """Runs one asyncio task for each connection to a live endpoint."""

    __slots__ = (
        "_budget",
        "_clock",
        "_connections",
        "_entry_count",
        "_health",
        "_hedger",
        "_leaving",
        "_matcher",
        "_sender",
        "_served",
        "_settle",
        "_tick_task",
    )

    def __init__(
        self,
        *,
        matcher: matcher_module.Matcher,
        sender: sender_module.Sender,
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
        self._entry_count = 1
        self._served: dict[str, _ServedEndpoint] = {}
        # Keyed by URL as well, so that connections to a replaced endpoint that
        # still wait for an answer do not count against its successor.
        self._connections: dict[tuple[str, str], set[asyncio.Task[None]]] = {}
        self._tick_task: asyncio.Task[None] | None = None

    @property
    def live(self) -> Iterable[endpoints.Endpoint]:
        """Endpoints that receive new work."""
        return [served.endpoint for served in self._served.values()]

    def set_entries(self, count: int) -> None:
        """Sets how many entries of the data centre share the connections."""
        if count != self._entry_count:
            self._entry_count = max(1, count)
            self.update(self.live)

    def update(self, wanted_endpoints: Iterable[endpoints.Endpoint]) -> None:
        """Opens connections to new endpoints and retires those of removed ones."""
        wanted = {endpoint.id: endpoint for endpoint in wanted_endpoints}
        for endpoint_id in tuple(self._served):
            if endpoint_id not in wanted:
                del self._served[endpoint_id]
                self._matcher.remove_endpoint(endpoint_id)
                self._health.remove(endpoint_id)
        for endpoint_id, endpoint in wanted.items():
            known = self._served.get(endpoint_id)
            limit = self._connection_limit(endpoint)
            if known is None:
                self._open(_ServedEndpoint(endpoint, limit))
            elif known.endpoint != endpoint or known.connection_limit != limit:
                self._matcher.remove_endpoint(endpoint_id)
                self._open(_ServedEndpoint(endpoint, limit))
        if self._tick_task is None and self._served:
            self._tick_task = asyncio.create_task(
                self._tick(), name="pool tick"
            )

    async def close(self, *, timeout_s: float = _CLOSE_TIMEOUT_S) -> None:
        """Ends each connection once its task in flight is answered.

        Args:
            timeout_s: Seconds after which a task still in flight counts as lost.
        """
        self.update(())
        if self._tick_task is not None:
            self._tick_task.cancel()
            self._tick_task = None
        tasks = [
            t
            for connection_tasks in self._connections.values()
            for t in connection_tasks
        ]
        if not tasks:
            return
        _, late = await asyncio.wait(tasks, timeout=timeout_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)

    def _connection_limit(self, endpoint: endpoints.Endpoint) -> int:
        """Returns the number of connections that this entry may open.

        All entries together then stay within the limit of the endpoint.
        """
        share = endpoint.connections // self._entry_count
        return max(1, min(endpoint.slots, share))

    def _open(self, served: _ServedEndpoint) -> None:
        self._served[served.endpoint.id] = served
        self._health.add(served.endpoint)
        self._matcher.add_endpoint(served.endpoint)
        self._add_connections(served)

    def _add_connections(self, served: _ServedEndpoint) -> None:
        """Adds connections up to the limit, counting those still open."""
        endpoint = served.endpoint
        address = (endpoint.id, endpoint.url)
        connection_tasks = self._connections.setdefault(address, set())
        for _ in range(served.connection_limit - len(connection_tasks)):
            task = asyncio.create_task(
                self._serve(served), name=f"connection {endpoint.id}"
            )
            connection_tasks.add(task)

    async def _serve(self, served: _ServedEndpoint) -> None:
        """Sends one task after another to an endpoint until it is retired."""
        endpoint = served.endpoint
        try:
            while self._served.get(endpoint.id) is served:
                pending = await self._matcher.take(endpoint.id)
                if pending is None:
                    break
                if self._served.get(endpoint.id) is not served:
                    # The endpoint changed between the hand-over and the send.
                    self._matcher.release(endpoint.id, pending)
                    self._matcher.submit(pending, front=True)
                    break
                await self._run(endpoint, pending)
        finally:
            address = (endpoint.id, endpoint.url)
            connection_tasks = self._connections[address]
            connection_tasks.discard(asyncio.current_task())
            successor = self._served.get(endpoint.id)
            if successor is not None and successor.endpoint.url == endpoint.url:
                self._add_connections(successor)
            elif not connection_tasks:
                del self._connections[address]

    async def _run(
        self, endpoint: endpoints.Endpoint, pending: pending_task.PendingTask
    ) -> None:
        started_at = self._clock.monotonic()
        if not (
            pending.attempts
            or pending.refusals
            or pending.unreachable
            or pending.hedge
        ):
            self._budget.record_first_send()
        self._hedger.send_started(pending, endpoint.id, started_at)
        result: results.Result = results.Lost(
            "cancelled at shutdown before an answer arrived"
        )
        try:
            result = await self._sender.send(endpoint, pending)
        finally:
            seconds = self._clock.monotonic() - started_at
            self._hedger.send_ended(pending, result, seconds)
            self._health.observe(endpoint, pending, result, seconds)
            try:
                self._handle_result(endpoint, pending, result)
            except Exception as error:  # noqa: BLE001
                log.problem(
                    "unexpected error after a send",
                    step="settle",
                    peer=endpoint.id,
                    error=repr(error),
                )
            self._matcher.release(endpoint.id, pending)

    def _handle_result(
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
            ) if not self._has_moved(endpoint):
                self._leaving(endpoint.id)
        if pending.hedge and not isinstance(result, results.Answered):
            # The result of the first send decides the outcome.
            return
        retry.record_result(pending, endpoint.id, result)
        self._settle(pending, result)

    def _has_moved(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether its successor is served at another address.

        An answer from the address that is served may come from the successor,
        because the list lags.
        """
        served = self._served.get(endpoint.id)
        return served is not None and served.endpoint.url != endpoint.url

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            if not self._matcher.waiting:
                self._hedge()
            elif self._health.has_blocked:
                self._matcher.match()

    def _hedge(self) -> None:
        """Sends slow requests a second time. Called only if no task waits."""
        for pending in self._hedger.due(self._clock.monotonic()):
            self._matcher.submit(pending, front=True)
