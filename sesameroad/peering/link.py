"""One stream to one peer."""

import asyncio
from collections.abc import Callable
import itertools
from typing import Protocol

from sesameroad import errors
from sesameroad.peering import codec
from sesameroad.peering import message as messages
from sesameroad.peering import peer_pb2

# Bounds the memory held for a peer that reads slowly; the oldest state reports
# are superseded by newer ones, and lost questions are answered as peer errors.
_MAX_OUTBOX = 10_000


class Stream(Protocol):
    """What a link uses of a grpclib stream, on either side."""

    async def send_message(self, message: peer_pb2.Envelope) -> None:
        """Sends one envelope."""

    async def recv_message(self) -> peer_pb2.Envelope | None:
        """Receives one envelope, None at the end of the stream."""


Receive = Callable[["Link", messages.Message], None]


class Link:
    """A greeted stream to a peer, with its unanswered questions."""

    __slots__ = (
        "_closed",
        "_heartbeat",
        "_hello",
        "_ids",
        "_outbox",
        "_outgoing",
        "_pending",
        "_stream",
        "_wake",
    )

    def __init__(
        self,
        *,
        stream: Stream,
        hello: messages.Hello,
        outgoing: bool,
        heartbeat: Callable[[], messages.Heartbeat],
    ) -> None:
        self._stream = stream
        self._hello = hello
        self._outgoing = outgoing
        self._heartbeat = heartbeat
        self._outbox: list[messages.Message] = []
        self._wake = asyncio.Event()
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[messages.Reply]] = {}
        self._closed = False

    @property
    def hello(self) -> messages.Hello:
        """Who the peer is."""
        return self._hello

    @property
    def outgoing(self) -> bool:
        """Whether this side dialled."""
        return self._outgoing

    def send(self, message: messages.Message) -> None:
        """Queues a message; messages of one loop turn leave together.

        Raises:
            PeerNotSentError: If the stream is closed or the peer does not keep
                up.
        """
        if self._closed or len(self._outbox) >= _MAX_OUTBOX:
            raise errors.PeerNotSentError(
                "stream closed" if self._closed else "peer does not keep up",
                step="send to peer",
                peer=self._hello.instance_id,
            )
        self._outbox.append(message)
        self._wake.set()

    async def ask(
        self,
        question: Callable[[int], messages.Question],
        *,
        timeout_s: float,
    ) -> messages.Reply:
        """Sends a question and waits for the reply to it.

        Args:
            question: Builds the question for an id that is unique here.
            timeout_s: Seconds to wait.

        Raises:
            PeerNotSentError: If the question was not sent.
            PeerError: If the stream breaks or no reply comes in time. The peer
                may have received the question.
        """
        number = next(self._ids)
        future: asyncio.Future[messages.Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = future
        try:
            self.send(question(number))
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise errors.PeerError(
                f"no reply within {timeout_s} s",
                step="ask peer",
                peer=self._hello.instance_id,
            ) from error
        finally:
            self._pending.pop(number, None)

    async def converse(
        self, receive: Receive, *, heartbeat_s: float, timeout_s: float
    ) -> None:
        """Reads and writes until the stream ends, breaks or falls silent.

        Raises:
            PeerError: If nothing arrives for timeout_s seconds.
        """
        try:
            async with asyncio.TaskGroup() as group:
                writer = group.create_task(self._write(heartbeat_s))
                await self._read(receive, timeout_s)
                writer.cancel()
        except ExceptionGroup as failures:
            # Reader and writer break together; the first failure is the cause.
            raise failures.exceptions[0] from failures
        finally:
            self._close()

    async def _read(self, receive: Receive, timeout_s: float) -> None:
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    envelope = await self._stream.recv_message()
            except TimeoutError as error:
                raise errors.PeerError(
                    f"silent for {timeout_s} s",
                    step="read from peer",
                    peer=self._hello.instance_id,
                ) from error
            if envelope is None:
                return
            for message in codec.decode(envelope):
                match message:
                    case messages.RelayReply() | messages.FleetReply():
                        self._resolve(message)
                    case _:
                        receive(self, message)

    async def _write(self, heartbeat_s: float) -> None:
        while True:
            batch: list[messages.Message] = self._outbox or [self._heartbeat()]
            self._outbox = []
            self._wake.clear()
            await self._stream.send_message(codec.encode(batch))
            try:
                async with asyncio.timeout(heartbeat_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _resolve(self, reply: messages.Reply) -> None:
        future = self._pending.get(reply.id)
        if future is not None and not future.done():
            future.set_result(reply)

    def _close(self) -> None:
        self._closed = True
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    errors.PeerError(
                        "stream closed",
                        step="ask peer",
                        peer=self._hello.instance_id,
                    )
                )
