"""HTTP server on one address, without the applications and routes of aiohttp.

`aiohttp.web` would import those as well, for another 5% of the time of a start.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Self

from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server

Handler = Callable[
    [web_request.BaseRequest], Awaitable[web_response.StreamResponse]
]

# Connections that wait until they are accepted.
_BACKLOG = 128
# Time to write the last answers to callers that read slowly. The platform kills the
# process soon after the graceful stop.
_SHUTDOWN_S = 0.3


class HttpServer:
    """A server that accepts connections until it is closed."""

    __slots__ = ("_connections", "_listener")

    def __init__(
        self, connections: web_server.Server, listener: asyncio.Server
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
        connections = web_server.Server(
            handler,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=keepalive_s,
        )
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
        self._connections.pre_shutdown()
        await self._connections.shutdown(_SHUTDOWN_S)
