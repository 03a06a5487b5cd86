"""Streams to all other instances of the fleet."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

from grpclib import client as grpc_client
from grpclib import server as grpc_server

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import instances
from sesameroad.peering import codec
from sesameroad.peering import links
from sesameroad.peering import messages
from sesameroad.peering import peer_grpc
from sesameroad.peering import peer_pb2
from sesameroad.telemetry import log

_GREETING_TIMEOUT_S = 1.0
_REDIAL_MIN_S = 0.1
_REDIAL_MAX_S = 1.0
# The instance with the higher id waits this long before it dials the other one,
# so that two instances that start together do not open two streams.
_SECOND_DIAL_DELAY_S = 0.5
# Time for peers to read the end of their streams before sockets are closed.
_STOP_TIMEOUT_S = 0.5
# Number of replaced incarnations remembered for each instance id.
_MAX_REPLACED = 8


class Mesh(peer_grpc.PeerBase):
    """Keeps one stream to each other instance and passes on its messages."""

    def __init__(
        self,
        *,
        hello: messages.Hello,
        heartbeat: Callable[[], messages.Heartbeat],
        receive: links.Receive,
        changed: Callable[[], None],
        heartbeat_s: float,
        timeout_s: float,
        idle_heartbeat_s: float = 0.0,
    ) -> None:
        self._hello = hello
        self._heartbeat = heartbeat
        self._receive = receive
        self._changed = changed
        self._heartbeat_s = heartbeat_s
        self._idle_heartbeat_s = idle_heartbeat_s
        self._timeout_s = timeout_s
        self._counters = links.Counters()
        self._links: dict[str, links.Link] = {}
        self._incarnations: dict[str, str] = {}
        self._replaced: dict[str, collections.deque[str]] = {}
        self._targets: dict[str, str] = {}
        self._dial_tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._dialled: set[str] = set()
        self._serving: set[asyncio.Task[Any]] = set()
        self._server: grpc_server.Server | None = None
        self._stopped = False

    @property
    def counters(self) -> links.Counters:
        """Events on all links since the start."""
        return self._counters

    @property
    def peers(self) -> dict[str, links.Link]:
        """Live links by the instance id of the peer."""
        now = clocks.elapsed_s()
        return {
            name: link
            for name, link in self._links.items()
            if link.is_live_at(now)
        }

    @property
    def all_dialled(self) -> bool:
        """Whether each listed instance is linked or was dialled once."""
        return all(
            name in self._links or name in self._dialled
            for name in self._targets
        )

    @property
    def all_heard(self) -> bool:
        """Whether each linked peer has sent a heartbeat."""
        return all(
            link.last_heartbeat is not None for link in self.peers.values()
        )

    def find(self, incarnation: str) -> links.Link | None:
        """Returns the live link to an incarnation, or None."""
        for link in self._links.values():
            if link.hello.incarnation == incarnation and link.live:
                return link
        return None

    def broadcast(
        self, message: messages.Message, *, skip: links.Link | None = None
    ) -> None:
        """Queues a message for every peer except on one link."""
        for link in self.peers.values():
            if link is not skip:
                self.send(link, message)

    def send(self, link: links.Link, message: messages.Message) -> bool:
        """Queues a message that may be lost because later ones replace it.

        Returns:
            Whether it was queued for the peer.
        """
        try:
            link.send(message)
        except errors.PeerError as error:
            log.problem(
                "message to a peer could not be queued",
                step=error.step,
                peer=error.peer,
                error=str(error),
            )
            return False
        return True

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to every peer without waiting for the period."""
        for link in self._links.values():
            link.send_heartbeat()

    async def start(self, host: str, port: int) -> None:
        """Starts the server for streams that peers open."""
        self._server = grpc_server.Server([self])
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Closes all streams; later ones are neither dialled nor accepted."""
        self._stopped = True
        self._targets = {}
        for link in self._links.values():
            link.close("this instance is stopping")
        dial_tasks = list(self._dial_tasks.values())
        for task in dial_tasks:
            task.cancel()
        await asyncio.gather(*dial_tasks, return_exceptions=True)
        if self._serving:
            await asyncio.wait(self._serving, timeout=_STOP_TIMEOUT_S)
        if self._server is not None:
            self._server.close()
            try:
                # A paused peer may keep its connection open.
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await self._server.wait_closed()
            except TimeoutError:
                log.problem(
                    "a peer did not close its connection in time", step="stop"
                )

    def update(self, entries: Iterable[instances.Instance]) -> None:
        """Dials new instances and stops dialling those no longer listed.

        A stream to an instance that is no longer listed stays open until it
        breaks, because the list lags and heartbeats are more up to date.
        """
        if self._stopped:
            return
        self._targets = {
            entry.id: entry.address
            for entry in entries
            if entry.id != self._hello.instance_id
        }
        for target in self._targets.items():
            if target not in self._dial_tasks:
                self._dial_tasks[target] = asyncio.create_task(
                    self._dial(*target), name=f"peer {target[0]}"
                )

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Serves a stream that a peer opened."""
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            await self._serve(stream)
        except Exception as error:  # The peer may send anything.
            log.problem(
                "stream from a peer ended",
                step="serve peer",
                peer=getattr(error, "peer", ""),
                error=str(error) or type(error).__name__,
            )
            if task.cancelling():
                # grpclib logs a traceback if its cancellation has no effect.
                raise asyncio.CancelledError from error
        finally:
            self._serving.discard(task)

    async def _dial(self, name: str, address: str) -> None:
        """Keeps a stream to one instance open while the instance is listed."""
        backoff_s = _REDIAL_MIN_S
        try:
            while self._targets.get(name) == address:
                if self._hello.instance_id > name and name not in self._links:
                    await asyncio.sleep(_SECOND_DIAL_DELAY_S)
                existing = self._links.get(name)
                if existing is not None:
                    await existing.wait_closed()
                    # The reader removes the link in the next loop iteration.
                    await asyncio.sleep(0)
                    backoff_s = _REDIAL_MIN_S
                    continue
                # The stream runs in a separate task because grpclib cancels the
                # reading task when the connection ends. The redialling task
                # would keep the cancellation count, and task groups of newer
                # Python versions cancel such a task again.
                stream = asyncio.create_task(
                    self._open(name, address), name=f"stream {name}"
                )
                try:
                    await asyncio.wait([stream])
                finally:
                    stream.cancel()
                    await asyncio.wait([stream])
                self._dialled.add(name)
                if not stream.cancelled() and stream.result():
                    backoff_s = _REDIAL_MIN_S
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(backoff_s * 2, _REDIAL_MAX_S)
        finally:
            self._dial_tasks.pop((name, address), None)

    async def _open(self, name: str, address: str) -> bool:
        """Opens a stream and runs it; returns whether a heartbeat arrived."""
        host, _, port = address.rpartition(":")
        channel = grpc_client.Channel(host, int(port))
        link = None
        try:
            async with peer_grpc.PeerStub(channel).Exchange.open() as stream:
                greeted_at = clocks.elapsed_s()
                async with asyncio.timeout(_GREETING_TIMEOUT_S):
                    await stream.send_message(codec.encode([self._hello]))
                    hello = _parse_hello(await stream.recv_message())
                if hello.instance_id != name:
                    raise errors.PeerError(
                        f"{hello.instance_id} answers at {address}",
                        step="greet peer",
                        peer=name,
                    )
                link = self._new_link(
                    stream, hello, outgoing=True, greeted_at=greeted_at
                )
                await self._run_link(link, first=None)
        except Exception as error:  # The peer may send anything.
            log.problem(
                "stream to a peer broke",
                step="dial peer",
                peer=name,
                error=str(error) or type(error).__name__,
            )
        finally:
            channel.close()
        return link is not None and link.last_heartbeat is not None

    async def _serve(self, stream: links.Stream) -> None:
        """Answers a greeting and runs a stream that a peer opened.

        The link is used only after the second envelope of the peer, which
        proves that the answer to the greeting arrived. On a link that works in
        one direction only, it does not arrive, and the peer would otherwise
        seem live after each of its dials.
        """
        async with asyncio.timeout(_GREETING_TIMEOUT_S):
            hello = _parse_hello(await stream.recv_message())
            greeted_at = clocks.elapsed_s()
            await stream.send_message(codec.encode([self._hello]))
            first = await stream.recv_message()
        if first is None:
            raise errors.PeerError(
                "stream ended", step="greet peer", peer=hello.instance_id
            )
        link = self._new_link(
            stream, hello, outgoing=False, greeted_at=greeted_at
        )
        await self._run_link(link, first=first)

    def _new_link(
        self,
        stream: links.Stream,
        hello: messages.Hello,
        *,
        outgoing: bool,
        greeted_at: float,
    ) -> links.Link:
        return links.Link(
            stream=stream,
            hello=hello,
            outgoing=outgoing,
            heartbeat=self._heartbeat,
            heartbeat_s=self._heartbeat_s,
            timeout_s=self._timeout_s,
            idle_heartbeat_s=self._idle_heartbeat_s,
            counters=self._counters,
            greeted_at=greeted_at,
        )

    async def _run_link(
        self, link: links.Link, *, first: peer_pb2.Envelope | None
    ) -> None:
        name = link.hello.instance_id
        refusal = self._refusal(link)
        if refusal:
            self._counters.refused += 1
            raise errors.PeerError(refusal, step="greet peer", peer=name)
        self._admit(link)
        try:
            await link.run(self._handle_message, first=first)
        finally:
            if self._links.get(name) is link:
                del self._links[name]
                if not self._stopped:
                    self._changed()

    def _refusal(self, link: links.Link) -> str:
        """Returns why a stream must not be used, or an empty string."""
        hello = link.hello
        existing = self._links.get(hello.instance_id)
        if self._stopped:
            return "this instance is stopping"
        if hello.instance_id == self._hello.instance_id:
            return "the peer has the id of this instance"
        if hello.incarnation in self._replaced.get(hello.instance_id, ()):
            # A process resumed after a pause must not replace its successor.
            return "the incarnation was replaced"
        if (
            existing is not None
            and existing.live
            and existing.hello.incarnation == hello.incarnation
            and self._is_preferred(existing)
            and not self._is_preferred(link)
        ):
            return "another stream is in use"
        return ""

    def _is_preferred(self, link: links.Link) -> bool:
        """Whether the lower instance id dialled, on which both sides agree."""
        lower_is_self = self._hello.instance_id < link.hello.instance_id
        return link.outgoing == lower_is_self

    def _admit(self, link: links.Link) -> None:
        name = link.hello.instance_id
        previous = self._incarnations.get(name)
        if previous is not None and previous != link.hello.incarnation:
            self._replaced.setdefault(
                name, collections.deque(maxlen=_MAX_REPLACED)
            ).append(previous)
        self._incarnations[name] = link.hello.incarnation
        existing = self._links.get(name)
        self._links[name] = link
        if existing is not None:
            self._counters.replaced += 1
            existing.close("replaced by a newer stream")
        self._changed()

    def _handle_message(
        self, link: links.Link, message: messages.Message
    ) -> None:
        match message:
            case messages.Heartbeat():
                was_leaving = link.leaving
                link.last_heartbeat = message
                if link.leaving != was_leaving:
                    self._changed()
            case _:
                pass
        self._receive(link, message)


def _parse_hello(envelope: peer_pb2.Envelope | None) -> messages.Hello:
    received = codec.decode(envelope) if envelope is not None else []
    match received:
        case [messages.Hello() as hello, *_] if (
            hello.instance_id and hello.incarnation
        ):
            return hello
        case _:
            raise errors.PeerError("no greeting", step="greet peer")
