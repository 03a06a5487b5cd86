"""HTTP server on one address, without the applications and routes of aiohttp.

`aiohttp.web` would import those as well, for another 5% of the time of a start.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Any
from typing import Self

from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server

from sesameroad.telemetry import log

Handler = Callable[
    [web_request.BaseRequest], Awaitable[web_response.StreamResponse]
]

# Connections that wait until they are accepted.
_BACKLOG = 128
# Time to write the last answers to callers that read slowly. The platform kills the
# process soon after the graceful stop.
_SHUTDOWN_S = 0.3


class _Connection(web_protocol.RequestHandler):
    """A connection that knows whether it owes an answer.

    Attributes:
        unanswered: Whether data has arrived since the last answer was written.
    """

    __slots__ = ("unanswered",)

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.unanswered = False

    def data_received(self, data: bytes) -> None:
        """Handles data from the client."""
        self.unanswered = True
        super().data_received(data)

    async def finish_response(
        self,
        request: web_request.BaseRequest,
        resp: web_response.StreamResponse,
        start_time: float | None,
    ) -> tuple[web_response.StreamResponse, bool]:
        """Writes an answer."""
        result = await super().finish_response(request, resp, start_time)
        self.unanswered = False
        return result


class _Connections(web_server.Server):
    """The open connections of a server."""

    def __init__(self, handler: Handler, *, keepalive_s: float) -> None:
        """Creates a server without connections.

        Args:
            handler: Answers a request.
            keepalive_s: Time until an idle connection is closed, in seconds.
        """
        super().__init__(self._handle, handler_cancellation=True)
        self._loop = asyncio.get_running_loop()
        self._handler = handler
        self._keepalive_s = keepalive_s
        self._closing = False

    def __call__(self) -> _Connection:
        return _Connection(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=self._keepalive_s,
        )

    @property
    def unanswered(self) -> int:
        """Number of connections that owe an answer."""
        return sum(connection.unanswered for connection in self.connections)

    def pre_shutdown(self) -> None:
        """Closes idle connections."""
        self._closing = True
        super().pre_shutdown()

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        """Answers a request, and logs one that ends without an answer here."""
        try:
            return await self._handler(request)
        except asyncio.CancelledError:
            if self._closing or request.transport is not None:
                log.problem(
                    "request ended without an answer",
                    step="answer",
                    method=request.method,
                    path=request.path,
                    closing=self._closing,
                )
            raise


class HttpServer:
    """A server that accepts connections until it is closed."""

    __slots__ = ("_connections", "_listener")

    def __init__(
        self, connections: _Connections, listener: asyncio.Server
    ) -> None:
        self._connections = connections
        self._listener = listener

    @classmethod
    async def open(
        cls,
        address: tuple[str, int] | socket.socket,
        handler: Handler,
        *,
        keepalive_s: float,
    ) -> Self:
        """Starts to accept connections.

        Args:
            address: Host and port, or a socket that listens already.
            handler: Answers a request; cancelled if its client leaves.
            keepalive_s: Time until an idle connection is closed, in seconds.

        Raises:
            OSError: If the address cannot be used.
        """
        connections = _Connections(handler, keepalive_s=keepalive_s)
        loop = asyncio.get_running_loop()
        if isinstance(address, socket.socket):
            listener = await loop.create_server(connections, sock=address)
        else:
            listener = await loop.create_server(
                connections, *address, backlog=_BACKLOG
            )
        return cls(connections, listener)

    async def close(self) -> None:
        """Accepts no more connections and ends those that are open."""
        self._listener.close()
        # Requests that have arrived begin before idle connections are closed.
        await asyncio.sleep(0)
        open_connections = len(self._connections.connections)
        unanswered = self._connections.unanswered
        self._connections.pre_shutdown()
        await self._connections.shutdown(_SHUTDOWN_S)
        if open_connections:
            log.event(
                "connections closed",
                step="stop",
                connections=open_connections,
                unanswered=unanswered,
            )
