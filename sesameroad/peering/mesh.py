"""Streams to all other entries of the fleet."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions
from grpclib import server as grpc_server

from sesameroad import errors
from sesameroad.model import instance as instances
from sesameroad.peering import codec
from sesameroad.peering import link as links
from sesameroad.peering import message as messages
from sesameroad.peering import peer_grpc
from sesameroad.telemetry import log

_GREETING_TIMEOUT_S = 1.0
_REDIAL_MIN_S = 0.1
_REDIAL_MAX_S = 2.0
# The instance with the higher id leaves the first dial to the other one, so that
# two entries that start together do not open two streams.
_SECOND_DIAL_DELAY_S = 0.5

_BROKEN = (
    errors.PeerError,
    grpc_exceptions.GRPCError,
    grpc_exceptions.StreamTerminatedError,
    grpc_exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)


class Mesh(peer_grpc.PeerBase):
    """Keeps one stream to each other entry and passes messages on."""

    def __init__(
        self,
        *,
        hello: messages.Hello,
        heartbeat: Callable[[], messages.Heartbeat],
        receive: links.Receive,
        changed: Callable[[], None],
        heartbeat_s: float,
        timeout_s: float,
    ) -> None:
        self._hello = hello
        self._heartbeat = heartbeat
        self._receive = receive
        self._changed = changed
        self._heartbeat_s = heartbeat_s
        self._timeout_s = timeout_s
        self._links: dict[str, links.Link] = {}
        self._dialling: dict[instances.Instance, asyncio.Task[None]] = {}
        self._server: grpc_server.Server | None = None

    @property
    def peers(self) -> dict[str, links.Link]:
        """Live streams by the peer's instance id."""
        return self._links

    def find(self, incarnation: str) -> links.Link | None:
        """Returns the stream to an incarnation, or None."""
        for link in self._links.values():
            if link.hello.incarnation == incarnation:
                return link
        return None

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to every peer that keeps up."""
        for link in tuple(self._links.values()):
            try:
                link.send(message)
            except errors.PeerError as error:
                log.problem(
                    "message to a peer dropped",
                    step=error.step,
                    peer=error.peer,
                    error=str(error),
                )

    async def start(self, host: str, port: int) -> None:
        """Listens for streams of peers."""
        self._server = grpc_server.Server([self])
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Closes all streams."""
        self.update(())
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def update(self, entries: Iterable[instances.Instance]) -> None:
        """Dials new entries and stops dialling those that are gone."""
        wanted = {e for e in entries if e.id != self._hello.instance_id}
        for entry, task in tuple(self._dialling.items()):
            if entry not in wanted:
                task.cancel()
                del self._dialling[entry]
        for entry in wanted - self._dialling.keys():
            self._dialling[entry] = asyncio.create_task(
                self._dial(entry), name=f"peer {entry.id}"
            )

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Serves a stream that a peer opened."""
        try:
            await self._run(stream, outgoing=False)
        except _BROKEN as error:
            log.problem(
                "stream from a peer ended", step="serve peer", error=str(error)
            )

    async def _dial(self, entry: instances.Instance) -> None:
        """Keeps a stream to one entry open as long as the entry is listed."""
        host, _, port = entry.address.rpartition(":")
        backoff_s = _REDIAL_MIN_S
        if self._hello.instance_id > entry.id:
            await asyncio.sleep(_SECOND_DIAL_DELAY_S)
        while True:
            if entry.id in self._links:
                await asyncio.sleep(self._timeout_s)
                continue
            channel = grpc_client.Channel(host, int(port))
            try:
                async with peer_grpc.PeerStub(
                    channel
                ).Exchange.open() as stream:
                    await self._run(stream, outgoing=True)
                backoff_s = _REDIAL_MIN_S
            except _BROKEN as error:
                log.problem(
                    "stream to a peer broke",
                    step="dial peer",
                    peer=entry.id,
                    error=str(error) or type(error).__name__,
                )
            finally:
                channel.close()
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(backoff_s * 2, _REDIAL_MAX_S)

    async def _run(self, stream: links.Stream, *, outgoing: bool) -> None:
        """Greets a peer and converses with it until the stream ends."""
        async with asyncio.timeout(_GREETING_TIMEOUT_S):
            await stream.send_message(codec.encode([self._hello]))
            envelope = await stream.recv_message()
        greeting = codec.decode(envelope) if envelope is not None else []
        match greeting:
            case [messages.Hello() as hello, *_]:
                link = links.Link(
                    stream=stream,
                    hello=hello,
                    outgoing=outgoing,
                    heartbeat=self._heartbeat,
                )
            case _:
                raise errors.PeerError("no greeting", step="greet peer")
        if not self._admit(link):
            return
        try:
            await link.converse(
                self._receive,
                heartbeat_s=self._heartbeat_s,
                timeout_s=self._timeout_s,
            )
        finally:
            if self._links.get(hello.instance_id) is link:
                del self._links[hello.instance_id]
                self._changed()

    def _admit(self, link: links.Link) -> bool:
        """Keeps one stream for each peer: the one that the lower id dialled."""
        hello = link.hello
        known = self._links.get(hello.instance_id)
        lower_is_self = self._hello.instance_id < hello.instance_id
        if (
            known is not None
            and known.hello.incarnation == hello.incarnation
            and link.outgoing != lower_is_self
        ):
            return False
        self._links[hello.instance_id] = link
        self._changed()
        return True
