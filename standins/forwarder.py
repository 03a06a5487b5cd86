"""TCP forwarder that delays connections or blocks one or both directions."""

import asyncio
import contextlib
import enum
from typing import Self

_HOST = "127.0.0.1"
_CHUNK_BYTES = 64 * 1024


class Fault(enum.Enum):
    """Directions of a connection in which no bytes are forwarded."""

    NONE = "none"
    CUT = "cut"
    HOLD_REQUESTS = "hold-requests"
    HOLD_ANSWERS = "hold-answers"


class Forwarder:
    """Forwards connections on a loopback port to another address.

    While a direction is blocked, its bytes and the end of the connection are
    held back and forwarded when the fault ends, as TCP retransmits them after a
    switch has lost packets. New connections are accepted and then see the same
    fault.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._fault = Fault.NONE
        self._fault_changed = asyncio.Event()
        self.delay_s = 0.0
        self.forwarded_bytes = 0

    @classmethod
    async def open(cls, address: str, *, port: int = 0) -> Self:
        """Starts a forwarder to "host:port" and returns it once it listens."""
        host, _, target = address.rpartition(":")
        forwarder = cls(host, int(target))
        forwarder._server = await asyncio.start_server(
            forwarder._accept, _HOST, port
        )
        return forwarder

    @property
    def fault(self) -> Fault:
        """Fault that is currently injected."""
        return self._fault

    @fault.setter
    def fault(self, fault: Fault) -> None:
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Host and port to connect to."""
        assert self._server is not None
        return f"{_HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        assert self._server is not None
        self._server.close()
        await self.break_connections()

    async def break_connections(self) -> None:
        """Aborts the current connections; new ones are accepted."""
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        upstream: asyncio.StreamWriter | None = None
        # Both ends of an aborted connection notice it, so no error is reported.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            upstream_reader, upstream = await asyncio.open_connection(
                self._host, self._port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, upstream, Fault.HOLD_REQUESTS)
                )
                group.create_task(
                    self._copy(upstream_reader, writer, Fault.HOLD_ANSWERS)
                )
        for end in (writer, upstream):
            if end is not None:
                end.transport.abort()
        self._connections.discard(task)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_fault: Fault,
    ) -> None:
        """Copies one direction of a connection until its end."""
        while True:
            try:
                chunk = await reader.read(_CHUNK_BYTES)
            except OSError:
                chunk = b""
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self._fault in (Fault.CUT, blocking_fault):
                await self._fault_changed.wait()
            if not chunk:
                writer.close()
                return
            self.forwarded_bytes += len(chunk)
            writer.write(chunk)
            with contextlib.suppress(OSError):
                await writer.drain()
