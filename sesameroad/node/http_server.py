"""HTTP server on one address, without the applications and routes of aiohttp.

`aiohttp.web` would import those as well, for another 5% of the time of a start.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Any
from typing import Self

from aiohttp import streams
from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server

from sesameroad.model import clocks
from sesameroad.telemetry import log

Handler = Callable[
    [web_request.BaseRequest], Awaitable[web_response.StreamResponse]
]
RequestFactory = Callable[..., web_request.BaseRequest]
# Returns the answer to a request whose handler is ended by the close.
Interrupted = Callable[[web_request.BaseRequest], web_response.StreamResponse]

# Connections that wait until they are accepted.
_BACKLOG = 128
# Period of the checks whether a closing server still owes answers, in seconds.
_POLL_S = 0.01
# Longest time in which a closing server accepts connections, in seconds.
_ACCEPT_S = 0.3
# Time after which a request that is not whole counts as abandoned, in seconds. A
# segment that was lost is sent again within 0.2 s, or 0.6 s the second time.
_STALL_S = 1.0
# Time to write the last answers, in seconds. The platform kills the process soon
# after the graceful stop.
_SHUTDOWN_S = 0.2


class _Connection(web_protocol.RequestHandler):
    """A connection that knows whether it owes an answer."""

    __slots__ = ("_arriving", "_body", "_received_at", "_unanswered")

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._received_at = 0.0
        # Whether a request arrives that is not handled yet.
        self._arriving = False
        # Whether a request is handled whose answer has not been written.
        self._unanswered = False
        # Body of the last request that was handled.
        self._body: streams.StreamReader | None = None

    @property
    def owes_answer(self) -> bool:
        """Whether a request has arrived, or is still arriving."""
        if self._messages:
            return True
        if self._unanswered:
            if self._body is not None and self._body.is_eof():
                return True
        elif not self._arriving:
            return False
        return clocks.elapsed_s() - self._received_at < _STALL_S

    def data_received(self, data: bytes) -> None:
        """Handles data from the client."""
        self._received_at = clocks.elapsed_s()
        # The rest of a body that was not read belongs to an answered request.
        if self._body is None or self._body.is_eof():
            self._arriving = True
        super().data_received(data)

    def begin(self, request: web_request.BaseRequest) -> None:
        """Records that a request is handled from now on."""
        self._arriving = False
        self._unanswered = True
        self._body = request.content

    async def finish_response(
        self,
        request: web_request.BaseRequest,
        resp: web_response.StreamResponse,
        start_time: float | None,
    ) -> tuple[web_response.StreamResponse, bool]:
        """Writes an answer."""
        result = await super().finish_response(request, resp, start_time)
        self._unanswered = False
        return result


class _Connections(web_server.Server):
    """The open connections of a server and their requests."""

    def __init__(
        self,
        handler: Handler,
        *,
        interrupted: Interrupted,
        keepalive_s: float,
        request_factory: RequestFactory | None,
        ends_abandoned: bool,
    ) -> None:
        """Creates a server without connections.

        Args:
            handler: Answers a request.
            interrupted: Answers a request whose handler `interrupt` has ended.
            keepalive_s: Time until an idle connection is closed, in seconds.
            request_factory: Creates a request, None for a basic one.
            ends_abandoned: Whether a handler is cancelled if its client leaves.
        """
        super().__init__(
            self._handle,
            request_factory=request_factory,
            handler_cancellation=ends_abandoned,
        )
        self._loop = asyncio.get_running_loop()
        self._handler = handler
        self._interrupted = interrupted
        self._keepalive_s = keepalive_s
        # Tasks that handle requests.
        self._handling: set[asyncio.Task[Any]] = set()
        self._interrupting = False
        # Number of connections since the start.
        self._accepted = 0

    def __call__(self) -> _Connection:
        return _Connection(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=self._keepalive_s,
        )

    @property
    def owed_answers(self) -> int:
        """Number of connections that owe an answer."""
        return sum(connection.owes_answer for connection in self.connections)

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Adds a connection."""
        self._accepted += 1
        super().connection_made(handler, transport)

    async def wait_accepted(self) -> None:
        """Waits until the connections in the queue of the listener are accepted.

        Those that are left when the listener closes are reset. A busy event loop
        takes more than one turn for them.
        """
        until = clocks.elapsed_s() + _ACCEPT_S
        accepted = -1
        while self._accepted != accepted and clocks.elapsed_s() < until:
            accepted = self._accepted
            await asyncio.sleep(_POLL_S)

    async def wait_answered(self, timeout_s: float) -> int:
        """Waits until no answer is owed; returns how many are, at the end."""
        until = clocks.elapsed_s() + timeout_s
        while owed := self.owed_answers:
            if clocks.elapsed_s() >= until:
                break
            await asyncio.sleep(_POLL_S)
        return owed

    def interrupt(self) -> None:
        """Ends all handlers; their requests are answered as interrupted."""
        self._interrupting = True
        for task in self._handling:
            task.cancel()

    async def close(self) -> None:
        """Closes all connections."""
        for connection in self.connections:
            connection.force_close()
        await self.shutdown(_SHUTDOWN_S)

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        connection = request.protocol
        task = asyncio.current_task()
        assert isinstance(connection, _Connection)
        assert task is not None
        connection.begin(request)
        self._handling.add(task)
        try:
            return await self._handler(request)
        except asyncio.CancelledError:
            if request.transport is None:
                raise  # The client has left.
            log.problem(
                "handler of a request was ended",
                step="answer",
                method=request.method,
                path=request.path,
                stopping=self._interrupting,
            )
            if not self._interrupting:
                raise
            task.uncancel()
            response = self._interrupted(request)
            response.force_close()
            return response
        finally:
            self._handling.discard(task)


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
        interrupted: Interrupted,
        keepalive_s: float,
        request_factory: RequestFactory | None = None,
        ends_abandoned: bool = True,
    ) -> Self:
        """Starts to accept connections.

        Args:
            address: Host and port, or a socket that listens already.
            handler: Answers a request.
            interrupted: Answers a request that outlasts the close.
            keepalive_s: Time until an idle connection is closed, in seconds.
            request_factory: Creates the requests of an application, None for
                basic ones.
            ends_abandoned: Whether a handler is cancelled if its client leaves.

        Raises:
            OSError: If the address cannot be used.
        """
        connections = _Connections(
            handler,
            interrupted=interrupted,
            keepalive_s=keepalive_s,
            request_factory=request_factory,
            ends_abandoned=ends_abandoned,
        )
        loop = asyncio.get_running_loop()
        if isinstance(address, socket.socket):
            listener = await loop.create_server(connections, sock=address)
        else:
            listener = await loop.create_server(
                connections, *address, backlog=_BACKLOG
            )
        return cls(connections, listener)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        host, port, *_ = self._listener.sockets[0].getsockname()
        return host, port

    async def close(self, *, timeout_s: float) -> None:
        """Accepts no more connections, and answers what arrives on open ones.

        Connections are closed together once none owes an answer. Requests that
        outlast the time are answered as interrupted.

        Args:
            timeout_s: Time for requests that have arrived or are arriving, in
                seconds.
        """
        await self._connections.wait_accepted()
        self._listener.close()
        await asyncio.sleep(_POLL_S)
        count = len(self._connections.connections)
        owed = await self._connections.wait_answered(timeout_s)
        if owed:
            self._connections.interrupt()
            await self._connections.wait_answered(_SHUTDOWN_S)
        if count:
            log.event(
                "connections closed",
                step="stop",
                connections=count,
                interrupted=owed,
            )
        await self._connections.close()
