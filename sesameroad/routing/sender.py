"""Sends one task to one endpoint over HTTP."""

import asyncio
import itertools
import secrets
from typing import Self

import aiohttp
from aiohttp import abc
from aiohttp import payload
import msgspec
import yarl

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import strict_json
from sesameroad.ownership import ledger as ledger_module
from sesameroad.routing import results
from sesameroad.scheduling import pending_task
from sesameroad.telemetry import log

TASK_HEADER = "Sesameroad-Task"
ATTEMPT_HEADER = "Sesameroad-Attempt"
DEADLINE_HEADER = "Sesameroad-Deadline-Ms"
NOT_RUN_HEADER = "Sesameroad-Not-Run"
LEAVING_HEADER = "Sesameroad-Leaving"

_OK = 200
_UNAVAILABLE = 503
_HEADER_SET = "1"
_CONNECT_TIMEOUT_S = 1.0
# Shorter than the keep-alive time of common servers, so that an endpoint does not
# close a kept connection at the moment of a send, which would look like a lost
# answer.
_KEEP_ALIVE_S = 5.0
_MAX_DETAIL_BYTES = 200


class _Body(payload.BytesPayload):
    """Records the start of a task in the ledger just before its first byte.

    aiohttp holds the headers back until the first write of the body, so no byte
    of the request is written before write_with_length is called. Connecting may
    take up to a second and the process may be paused meanwhile, so a start that
    is recorded before the connection is open could be stale at the write.

    Attributes:
        written: Whether bytes may have been written.
        refusal: Why the start was refused, empty if it was not.
        transport: The connection written to, or None before the write.
    """

    def __init__(
        self, sender: "Sender", pending: pending_task.PendingTask
    ) -> None:
        super().__init__(pending.task.payload, content_type="application/json")
        self._sender = sender
        self._pending = pending
        self.written = False
        self.refusal = ""
        self.transport: asyncio.Transport | None = None

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Records the start and writes, without yielding in between."""
        transport = getattr(writer, "transport", None)
        if transport is None or transport.is_closing():
            raise aiohttp.ClientConnectionResetError("closed before the write")
        try:
            self._sender.start(self._pending)
        except errors.StartRefusedError as error:
            self.refusal = str(error)
            raise
        self.written = True
        self.transport = transport
        await super().write_with_length(writer, content_length)


class Sender:
    """Sends tasks of the ledger to endpoints."""

    __slots__ = (
        "_answer_grace_s",
        "_attempt_prefix",
        "_attempts",
        "_clock",
        "_crossed_answers",
        "_ledger",
        "_max_answer_bytes",
        "_session",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        ledger: ledger_module.Ledger,
        clock: clocks.Clock,
        answer_grace_s: float,
        max_answer_bytes: int,
    ) -> None:
        self._session = session
        self._ledger = ledger
        self._clock = clock
        self._answer_grace_s = answer_grace_s
        self._max_answer_bytes = max_answer_bytes
        self._attempt_prefix = f"{secrets.token_hex(8)}-"
        self._attempts = itertools.count()
        self._crossed_answers = 0

    @property
    def crossed_answers(self) -> int:
        """Answers dropped because they carried the id of another attempt."""
        return self._crossed_answers

    @classmethod
    def open(
        cls,
        *,
        ledger: ledger_module.Ledger,
        clock: clocks.Clock,
        answer_grace_s: float,
        max_answer_bytes: int,
    ) -> Self:
        """Returns a sender with its own HTTP session and connections."""
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=_KEEP_ALIVE_S
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("Accept", "User-Agent"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return cls(
            session=session,
            ledger=ledger,
            clock=clock,
            answer_grace_s=answer_grace_s,
            max_answer_bytes=max_answer_bytes,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    def start(self, pending: pending_task.PendingTask) -> None:
        """Records the start of a task whose first byte is about to be written.

        Raises:
            StartRefusedError: If the deadline has passed or the ledger refuses.
        """
        if self._clock.wall_ms() >= pending.work.deadline_ms:
            raise errors.StartRefusedError("deadline passed", step="start")
        self._ledger.start(pending.record, pending.index)

    async def send(
        self, endpoint: endpoints.Endpoint, pending: pending_task.PendingTask
    ) -> results.Result:
        """Sends a task once and returns the result.

        Any exception after the first write means Lost, and any before it means
        NeverSent, whichever class aiohttp raises.
        """
        work = pending.work
        remaining_s = (work.deadline_ms - self._clock.wall_ms()) / 1_000
        if remaining_s <= 0:
            return results.Withheld("deadline passed before the send")
        if pending.record.finished:
            return results.Withheld("the work is already finished")
        attempt = f"{self._attempt_prefix}{next(self._attempts):x}"
        body = _Body(self, pending)
        try:
            async with self._session.post(
                yarl.URL(f"{endpoint.url}/v1/run"),
                data=body,
                headers={
                    TASK_HEADER: pending.id,
                    ATTEMPT_HEADER: attempt,
                    DEADLINE_HEADER: str(work.deadline_ms),
                    "Accept-Encoding": "identity",
                },
                timeout=aiohttp.ClientTimeout(
                    total=remaining_s + self._answer_grace_s,
                    sock_connect=_CONNECT_TIMEOUT_S,
                ),
                allow_redirects=False,
            ) as response:
                return await self._read(response, attempt, body)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _failure_result(body, error)
        except Exception as error:  # noqa: BLE001
            # A task without a result would hold its slot and its caller forever.
            log.problem(
                "unexpected error in a send",
                step="send",
                peer=endpoint.id,
                error=repr(error),
            )
            return _failure_result(body, error)

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        attempt: str,
        request_body: _Body,
    ) -> results.Result:
        headers = response.headers
        status = response.status
        if headers.get(ATTEMPT_HEADER) != attempt:
            self._crossed_answers += 1
            # aiohttp would reuse the connection after the answer, but its answers
            # may belong to the previous request from now on.
            if request_body.transport is not None:
                request_body.transport.close()
            return results.Lost("answer of another attempt dropped")
        leaving = headers.get(LEAVING_HEADER) == _HEADER_SET
        if (
            status == _UNAVAILABLE
            and headers.get(NOT_RUN_HEADER) == _HEADER_SET
        ):
            return results.Refused(leaving)
        if headers.get("Content-Encoding", "identity") != "identity":
            response.close()
            return results.RanAndFailed(
                status, "answer has a content encoding", leaving
            )
        body = await self._read_body(response)
        if body is None:
            response.close()
            return results.RanAndFailed(status, "answer is too large", leaving)
        if status != _OK:
            text = body[:_MAX_DETAIL_BYTES].decode(errors="replace")
            return results.RanAndFailed(status, text, leaving)
        try:
            strict_json.decode(body, msgspec.Raw)
            # msgspec does not check the encoding of strings that it skips.
            if not body.isascii():
                body.decode()
        except (errors.MalformedError, UnicodeDecodeError) as error:
            return results.RanAndFailed(status, str(error), leaving)
        return results.Answered(body, leaving)

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> bytes | None:
        """Returns the body, or None as soon as it exceeds the maximum size."""
        length = response.content_length
        if length is not None:
            if length > self._max_answer_bytes:
                return None
            return await response.read()
        received = bytearray()
        async for chunk in response.content.iter_any():
            received += chunk
            if len(received) > self._max_answer_bytes:
                return None
        return bytes(received)


def _failure_result(body: _Body, error: Exception) -> results.Result:
    if body.refusal:
        return results.Withheld(body.refusal)
    detail = f"{type(error).__name__}: {error}"
    if body.written:
        return results.Lost(detail)
    return results.NeverSent(detail)
