"""Connections to the live endpoints of the data centre."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from sesameroad.model import endpoint as endpoints
from sesameroad.model import need as needs
from sesameroad.routing import result as results
from sesameroad.routing import sender as senders
from sesameroad.scheduling import item as items
from sesameroad.scheduling import matcher as matchers

Settle = Callable[[items.Item, results.Result], None]


class Pool:
    """Runs one task for each connection to each live endpoint."""

    __slots__ = ("_connections", "_endpoints", "_matcher", "_sender", "_settle")

    def __init__(
        self,
        *,
        matcher: matchers.Matcher,
        sender: senders.Sender,
        settle: Settle,
    ) -> None:
        self._matcher = matcher
        self._sender = sender
        self._settle = settle
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._connections: dict[str, list[asyncio.Task[None]]] = {}

    @property
    def live(self) -> Iterable[endpoints.Endpoint]:
        """Endpoints that get new work."""
        return self._endpoints.values()

    def accepts(self, kind: str, need: needs.Need) -> bool:
        """Returns whether any live endpoint can run such a task."""
        return any(e.accepts(kind, need) for e in self._endpoints.values())

    def update(self, wanted_endpoints: Iterable[endpoints.Endpoint]) -> None:
        """Opens connections to new endpoints and retires those of others."""
        wanted = {endpoint.id: endpoint for endpoint in wanted_endpoints}
        for endpoint_id, known in tuple(self._endpoints.items()):
            if wanted.get(endpoint_id) != known:
                del self._endpoints[endpoint_id]
                self._matcher.close(endpoint_id)
        for endpoint_id, endpoint in wanted.items():
            if endpoint_id not in self._endpoints:
                self._open(endpoint)

    async def close(self) -> None:
        """Ends all connections once their task in flight is answered."""
        self.update(())
        tasks = [t for group in self._connections.values() for t in group]
        await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, endpoint: endpoints.Endpoint) -> None:
        self._endpoints[endpoint.id] = endpoint
        self._matcher.open(endpoint)
        previous = self._connections.get(endpoint.id, [])
        self._connections[endpoint.id] = [
            task for task in previous if not task.done()
        ] + [
            asyncio.create_task(
                self._serve(endpoint), name=f"connection {endpoint.id}/{n}"
            )
            for n in range(endpoint.slots)
        ]

    async def _serve(self, endpoint: endpoints.Endpoint) -> None:
        """Sends one task after another to an endpoint until it is retired."""
        while True:
            item = await self._matcher.take(endpoint.id)
            if item is None:
                return
            item.attempts += 1
            result = await self._sender.send(endpoint, item)
            self._matcher.release(endpoint.id, item)
            self._settle(item, result)
