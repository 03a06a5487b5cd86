"""Sends one task to one endpoint over HTTP."""

import secrets
from typing import Self

import aiohttp
import msgspec

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import endpoint as endpoints
from sesameroad.ownership import ledger as ledgers
from sesameroad.routing import result as results
from sesameroad.scheduling import item as items

TASK_HEADER = "Sesameroad-Task"
ATTEMPT_HEADER = "Sesameroad-Attempt"
DEADLINE_HEADER = "Sesameroad-Deadline-Ms"
NOT_RUN_HEADER = "Sesameroad-Not-Run"
LEAVING_HEADER = "Sesameroad-Leaving"

_OK = 200
_UNAVAILABLE = 503
_CONNECT_TIMEOUT_S = 1.0
# Shorter than the keep-alive of usual servers, so that a kept connection is not
# closed by the endpoint at the moment of a send, which would look like a lost
# answer.
_KEEP_ALIVE_S = 5.0


class Sender:
    """Sends tasks of the ledger to endpoints."""

    __slots__ = (
        "_answer_grace_s",
        "_clock",
        "_ledger",
        "_max_answer_bytes",
        "_session",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        ledger: ledgers.Ledger,
        clock: clocks.Clock,
        answer_grace_s: float,
        max_answer_bytes: int,
    ) -> None:
        self._session = session
        self._ledger = ledger
        self._clock = clock
        self._answer_grace_s = answer_grace_s
        self._max_answer_bytes = max_answer_bytes

    @classmethod
    def open(
        cls,
        *,
        ledger: ledgers.Ledger,
        clock: clocks.Clock,
        answer_grace_s: float,
        max_answer_bytes: int,
    ) -> Self:
        """Returns a sender with a connection pool of its own."""
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=_KEEP_ALIVE_S
        )
        session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
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

    async def send(
        self, endpoint: endpoints.Endpoint, item: items.Item
    ) -> results.Result:
        """Sends a task once and returns what became of it."""
        work = item.work
        now_ms = self._clock.wall_ms()
        if now_ms >= work.deadline_ms:
            return results.Withheld("deadline passed before the send")
        try:
            self._ledger.start(item.record, item.index)
        except errors.StartRefusedError as error:
            return results.Withheld(str(error))
        attempt = secrets.token_hex(8)
        remaining_s = (work.deadline_ms - now_ms) / 1_000
        try:
            async with self._session.post(
                f"{endpoint.url}/v1/run",
                data=item.task.payload,
                headers={
                    TASK_HEADER: item.id,
                    ATTEMPT_HEADER: attempt,
                    DEADLINE_HEADER: str(work.deadline_ms),
                    "Content-Type": "application/json",
                },
                timeout=aiohttp.ClientTimeout(
                    total=remaining_s + self._answer_grace_s,
                    sock_connect=_CONNECT_TIMEOUT_S,
                ),
                allow_redirects=False,
            ) as response:
                return await self._read(response, attempt)
        except aiohttp.ClientConnectorError as error:
            return results.NeverSent(str(error))
        except aiohttp.ConnectionTimeoutError as error:
            return results.NeverSent(str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return results.Lost(f"{type(error).__name__}: {error}")

    async def _read(
        self, response: aiohttp.ClientResponse, attempt: str
    ) -> results.Result:
        if response.headers.get(ATTEMPT_HEADER) != attempt:
            return results.Lost("answer of another attempt dropped")
        if (
            response.status == _UNAVAILABLE
            and NOT_RUN_HEADER in response.headers
        ):
            return results.Refused(leaving=LEAVING_HEADER in response.headers)
        if (response.content_length or 0) > self._max_answer_bytes:
            return results.RanAndFailed(response.status, "answer is too large")
        body = await response.read()
        if response.status != _OK:
            return results.RanAndFailed(
                response.status, body[:200].decode(errors="replace")
            )
        try:
            msgspec.json.decode(body, type=msgspec.Raw)
        except msgspec.DecodeError as error:
            return results.RanAndFailed(response.status, str(error))
        return results.Answered(body)
