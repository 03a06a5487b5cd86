"""A stream to one peer, with heartbeats, questions and replies."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import math
import random
from typing import Protocol

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.peering import codec
from sesameroad.peering import messages
from sesameroad.peering import peer_clock
from sesameroad.peering import peer_pb2
from sesameroad.telemetry import log

# Limits on the memory held for a peer that reads slowly. The byte limit is
# several times the largest request body that callers may send.
_MAX_OUTBOX_ITEMS = 10_000
_MAX_OUTBOX_BYTES = 16 * 1024 * 1024
# A peer counts as silent until a whole envelope has arrived, so a long backlog
# in a single envelope would look like a lost peer.
_MAX_ENVELOPE_BYTES = 256 * 1024
_MS = 1_000
# Offset of the heartbeats of this process in their period.
_PHASE_S = random.random()
# Number of heartbeat periods of a peer after which it counts as silent.
_TIMEOUT_PERIODS = 3
# Time for which a link counts as in use after the end of its last question, so
# that it does not change its period between two jobs of a busy time.
_USE_HOLD_S = 1.0


class Stream(Protocol):
    """The part of the grpclib stream interface that links use."""

    async def send_message(self, message: peer_pb2.Envelope) -> None:
        """Sends one envelope."""

    async def recv_message(self) -> peer_pb2.Envelope | None:
        """Receives one envelope, or None at the end of the stream."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Events on all links of a process since its start.

    Attributes:
        late_replies: Replies dropped because their question has timed out.
        malformed: Messages dropped because they cannot be decoded.
        dropped: Messages not sent because the peer does not keep up.
        replaced: Streams closed in favour of a newer one to the same peer.
        refused: Streams refused after the greeting.
        envelopes_sent: Envelopes handed to the transport.
        bytes_sent: Size of these envelopes without transport framing.
    """

    late_replies: int = 0
    malformed: int = 0
    dropped: int = 0
    replaced: int = 0
    refused: int = 0
    envelopes_sent: int = 0
    bytes_sent: int = 0


Receive = Callable[["Link", messages.Message], None]


class Link:
    """A stream to a peer after the greeting, with its unanswered questions.

    Attributes:
        last_heartbeat: Last heartbeat of the peer, None before the first.
        offered_configuration: Highest configuration version sent on this link.
        offered_listing: Highest listing version sent on this link.
        offered_marks: Whether the current leaving marks were sent.
        told_token: Highest token of a claim of the peer for which recent cancels
            were sent on this link.
    """

    __slots__ = (
        "_close_reason",
        "_closed",
        "_counters",
        "_last_received_at",
        "_opened_at",
        "_heartbeat",
        "_heartbeat_due",
        "_heartbeat_s",
        "_hello",
        "_idle",
        "_idle_heartbeat_s",
        "_ids",
        "_outbox",
        "_outbox_bytes",
        "_outgoing",
        "_peer_adapts",
        "_peer_clock",
        "_pending",
        "_silence_s",
        "_stream",
        "_timeout_s",
        "_used_at",
        "_wake",
        "last_heartbeat",
        "offered_configuration",
        "offered_listing",
        "offered_marks",
        "told_token",
    )

    def __init__(
        self,
        *,
        stream: Stream,
        hello: messages.Hello,
        outgoing: bool,
        heartbeat: Callable[[], messages.Heartbeat],
        heartbeat_s: float,
        timeout_s: float,
        counters: Counters,
        idle_heartbeat_s: float = 0.0,
        greeted_at: float | None = None,
    ) -> None:
        """Creates a link that is not running yet.

        Args:
            stream: The stream.
            hello: Greeting of the peer.
            outgoing: Whether this side opened the stream.
            heartbeat: Returns the content of a heartbeat.
            heartbeat_s: Period of heartbeats, in seconds.
            timeout_s: Silence after which the peer counts as lost.
            counters: Counts events on all links.
            idle_heartbeat_s: Period while the link is idle, 0 for the same.
            greeted_at: Monotonic time before the own greeting was sent, which
                the peer has read; now by default.
        """
        self._stream = stream
        self._hello = hello
        self._outgoing = outgoing
        self._heartbeat = heartbeat
        self._heartbeat_s = heartbeat_s
        self._idle_heartbeat_s = max(heartbeat_s, idle_heartbeat_s)
        self._idle = False
        self._timeout_s = timeout_s
        # Whether the peer adapts its timeout; earlier releases do not.
        self._peer_adapts = False
        # Silence after which the peer counts as lost, by its own period.
        self._silence_s = timeout_s
        self._counters = counters
        self._outbox: list[peer_pb2.Item] = []
        self._outbox_bytes = 0
        self._heartbeat_due = True
        self._wake = asyncio.Event()
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[messages.Reply]] = {}
        self._opened_at = clocks.elapsed_s()
        self._last_received_at = self._opened_at
        self._peer_clock = peer_clock.PeerClock(
            greeted_at=(
                self._last_received_at if greeted_at is None else greeted_at
            )
        )
        # Time at which the last question ended.
        self._used_at = -math.inf
        self._close_reason = "stream closed"
        self._closed = asyncio.Event()
        self.last_heartbeat: messages.Heartbeat | None = None
        self.offered_configuration = 0
        self.offered_listing = 0
        self.offered_marks = False
        self.told_token = 0

    @property
    def hello(self) -> messages.Hello:
        """The greeting of the peer, which identifies it."""
        return self._hello

    @property
    def outgoing(self) -> bool:
        """Whether this side opened the stream."""
        return self._outgoing

    @property
    def age_s(self) -> float:
        """Time since the greeting on this stream, in seconds."""
        return clocks.elapsed_s() - self._opened_at

    @property
    def slow(self) -> bool:
        """Whether the peer gets too little processor time to lead."""
        return self.last_heartbeat is not None and self.last_heartbeat.slow

    @property
    def leaving(self) -> bool:
        """Whether the peer has announced that it is about to stop."""
        return self.last_heartbeat is not None and self.last_heartbeat.leaving

    @property
    def live(self) -> bool:
        """Whether the stream is open and the peer has sent data recently.

        This reads the clock because, after a pause of the process, other code
        may run before the reader notices the timeout.
        """
        return self.is_live_at(clocks.elapsed_s())

    @property
    def heard_recently(self) -> bool:
        """Whether the peer sent something within the timeout of busy links.

        A heartbeat that was held up on its way counts from its sending, and
        other messages count only from a peer that sends no clocks.
        """
        return not self._closed.is_set() and self.silent_s < self._timeout_s

    @property
    def silent_s(self) -> float:
        """Time since the peer is proved to have sent something, in seconds."""
        return clocks.elapsed_s() - self._peer_clock.heard_at

    @property
    def in_use(self) -> bool:
        """Whether this side waits for a reply, or did shortly before."""
        if self._pending:
            return True
        return clocks.elapsed_s() < self._used_at + _USE_HOLD_S

    def is_live_at(self, now: float) -> bool:
        """Whether the link is live at a monotonic time, for loops over links."""
        return self._is_heard_within(self._silence_s, now)

    def is_heard_since(self, at: float) -> bool:
        """Whether an envelope has arrived since a monotonic time."""
        return self._last_received_at >= at

    def set_idle(self, idle: bool) -> None:
        """Sets whether nothing depends on a fast detection of a loss.

        An idle link sends heartbeats at a longer period, which each envelope
        tells the peer. A link that becomes busy sends one immediately.
        """
        if self._idle and not idle:
            self.send_heartbeat()
        self._idle = idle

    def send(self, message: messages.Message) -> None:
        """Queues a message.

        Messages queued in one iteration of the event loop are sent together.

        Raises:
            PeerNotSentError: If the stream is closed, or if the queue is full
                because the peer reads too slowly.
        """
        if self._closed.is_set():
            raise self._not_sent_error(self._close_reason)
        item = codec.encode_item(message)
        size = item.ByteSize()
        if (
            len(self._outbox) >= _MAX_OUTBOX_ITEMS
            or self._outbox_bytes + size > _MAX_OUTBOX_BYTES
        ):
            self._counters.dropped += 1
            raise self._not_sent_error("peer does not keep up")
        self._outbox.append(item)
        self._outbox_bytes += size
        self._wake.set()

    def send_heartbeat(self) -> None:
        """Sends a heartbeat now instead of at the end of the period."""
        self._heartbeat_due = True
        self._wake.set()

    def attach_heartbeat(self) -> None:
        """Sends a heartbeat with the next message.

        Without a message it follows at the end of the period. An envelope of
        its own costs both sides more than the heartbeat in it.
        """
        self._heartbeat_due = True

    async def ask(
        self,
        question: Callable[[int], messages.Question],
        *,
        timeout_s: float,
    ) -> messages.Reply:
        """Sends a question and waits for the reply to it.

        The link is no longer idle, because the peer abandons the question if
        it does not hear this side at the shorter period.

        Args:
            question: Builds the question from an id unique on this link.
            timeout_s: Seconds to wait.

        Raises:
            PeerNotSentError: If the question was not sent.
            PeerError: If the stream breaks or no reply arrives in time. The
                peer may have received the question.
        """
        question_id = next(self._ids)
        future: asyncio.Future[messages.Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[question_id] = future
        self.set_idle(False)
        try:
            self.send(question(question_id))
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise self._peer_error(
                f"no reply within {timeout_s} s", "ask peer"
            ) from error
        finally:
            self._pending.pop(question_id, None)
            self._used_at = clocks.elapsed_s()

    async def run(
        self, receive: Receive, *, first: peer_pb2.Envelope | None = None
    ) -> None:
        """Reads and writes until the stream ends, breaks or times out.

        Args:
            receive: Called with each message that is not a reply.
            first: Envelope that was already read after the greeting.

        Raises:
            PeerError: If the peer sends or reads nothing for the timeout, or if
                the link is closed.
        """
        try:
            if first is not None:
                self._handle_envelope(receive, first)
            async with asyncio.TaskGroup() as group:
                writer = group.create_task(self._write())
                await self._read(receive)
                writer.cancel()
        except ExceptionGroup as group_error:
            # Reader and writer fail together; the first error is the cause.
            raise group_error.exceptions[0] from group_error
        finally:
            self.close("stream closed")

    def close(self, reason: str) -> None:
        """Closes the link; unanswered questions fail with the reason."""
        if self._closed.is_set():
            return
        self._close_reason = reason
        self._closed.set()
        self._wake.set()
        self._outbox.clear()
        self._outbox_bytes = 0
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._peer_error(reason, "ask peer"))

    async def wait_closed(self) -> None:
        """Waits until either side has closed the link."""
        await self._closed.wait()

    def _is_heard_within(self, seconds: float, now: float) -> bool:
        silent_s = now - self._last_received_at
        return silent_s < seconds and not self._closed.is_set()

    async def _read(self, receive: Receive) -> None:
        while True:
            try:
                async with asyncio.timeout(self._silence_s):
                    envelope = await self._stream.recv_message()
            except TimeoutError as error:
                raise self._peer_error(
                    f"silent for {self._silence_s} s", "read from peer"
                ) from error
            if self._closed.is_set():
                raise self._peer_error(self._close_reason, "read from peer")
            if envelope is None:
                return
            self._handle_envelope(receive, envelope)

    def _handle_envelope(
        self, receive: Receive, envelope: peer_pb2.Envelope
    ) -> None:
        now = self._last_received_at = clocks.elapsed_s()
        self._peer_clock.record_envelope(now)
        self._peer_adapts = envelope.next_within_ms > 0
        self._silence_s = max(
            self._timeout_s, _TIMEOUT_PERIODS * envelope.next_within_ms / _MS
        )
        for item in envelope.items:
            try:
                message = codec.decode_item(item)
            except errors.PeerError as error:
                # One malformed message, for example from a newer release,
                # must not break the link and fail all open questions.
                self._counters.malformed += 1
                log.problem(
                    "malformed message from a peer dropped",
                    step=error.step,
                    peer=self._hello.instance_id,
                    error=str(error),
                )
                continue
            match message:
                case None:
                    continue
                case messages.RelayReply() | messages.FleetReply():
                    self._resolve(message)
                case messages.Heartbeat(clocks=readings):
                    self._peer_clock.record(readings, now)
                    self._handle(receive, message)
                case _:
                    self._handle(receive, message)

    def _handle(self, receive: Receive, message: messages.Message) -> None:
        """Passes on a message; one that fails must not break the link."""
        try:
            receive(self, message)
        except Exception as error:  # noqa: BLE001  # The peer may send anything.
            self._counters.malformed += 1
            log.problem(
                "message from a peer could not be handled",
                step="receive",
                peer=self._hello.instance_id,
                message=type(message).__name__,
                error=repr(error),
            )

    async def _write(self) -> None:
        next_heartbeat = 0.0
        while not self._closed.is_set():
            self._wake.clear()
            items = self._next_items()
            # Heartbeats are sent on time even while other messages are sent,
            # because the peer compares the versions in them with its own.
            now = clocks.elapsed_s()
            if self._heartbeat_due or now >= next_heartbeat:
                # The state is the same for all peers, the clocks are not.
                heartbeat = dataclasses.replace(
                    self._heartbeat(), clocks=self._peer_clock.stamp(now)
                )
                items.append(codec.encode_item(heartbeat))
                self._heartbeat_due = False
                period_s = self._period_s
                # The heartbeats of a process are due at the same time, so that
                # they wake it once; other processes have other phases.
                next_heartbeat = now + period_s - (now + _PHASE_S) % period_s
            await self._send_envelope(
                peer_pb2.Envelope(
                    items=items, next_within_ms=int(self._period_s * _MS)
                )
            )
            if self._outbox:
                await asyncio.sleep(0)
                continue
            try:
                async with asyncio.timeout(next_heartbeat - clocks.elapsed_s()):
                    await self._wake.wait()
            except TimeoutError:
                continue
        raise self._peer_error(self._close_reason, "write to peer")

    @property
    def _period_s(self) -> float:
        idle = self._idle and self._peer_adapts
        return self._idle_heartbeat_s if idle else self._heartbeat_s

    def _next_items(self) -> list[peer_pb2.Item]:
        """Dequeues items up to the size of one envelope, at least one."""
        size = 0
        count = 0
        for item in self._outbox:
            size += item.ByteSize()
            if count and size > _MAX_ENVELOPE_BYTES:
                break
            count += 1
        items = self._outbox[:count]
        del self._outbox[:count]
        self._outbox_bytes -= sum(item.ByteSize() for item in items)
        return items

    async def _send_envelope(self, envelope: peer_pb2.Envelope) -> None:
        if not envelope.items:
            return
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._stream.send_message(envelope)
        except TimeoutError as error:
            raise self._peer_error(
                f"reads nothing for {self._timeout_s} s", "write to peer"
            ) from error
        self._counters.envelopes_sent += 1
        self._counters.bytes_sent += envelope.ByteSize()

    def _resolve(self, reply: messages.Reply) -> None:
        future = self._pending.get(reply.id)
        if future is None or future.done():
            self._counters.late_replies += 1
            return
        future.set_result(reply)

    def _not_sent_error(self, detail: str) -> errors.PeerNotSentError:
        return errors.PeerNotSentError(
            detail, step="send to peer", peer=self._hello.instance_id
        )

    def _peer_error(self, detail: str, step: str) -> errors.PeerError:
        return errors.PeerError(detail, step=step, peer=self._hello.instance_id)
