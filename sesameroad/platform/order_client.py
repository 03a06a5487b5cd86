"""HTTP client for orders to endpoints."""

import asyncio
from typing import Any
from typing import Self

import aiohttp
import msgspec

from sesameroad import errors
from sesameroad.leasing import orders
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import strict_json
from sesameroad.telemetry import job_metrics

# An endpoint answers an order within a few milliseconds. A longer wait for a
# lost answer would delay the task, whose caller waits only 1.5 s in total.
_ORDER_TIMEOUT_S = 0.3
# A stop without an answer is repeated. Six fit into the 0.4 s from the moment at
# which a leader notices that an origin is silent until the callers of that origin
# come again. A timeout closes the connection, and a new one is expensive, so the
# timeout is well above the usual time of an answer.
STOP_TIMEOUT_S = 0.06
# Per endpoint: one for polls, two for starts and two for stops.
_CONNECTIONS_PER_ENDPOINT = 5
_KEEPALIVE_S = 60.0
_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED = 421
_BUSY = (429, 503)

_ENDINGS = {
    "done": orders.Ending.DONE,
    "failed": orders.Ending.FAILED,
    "stopped": orders.Ending.STOPPED,
    "lapsed": orders.Ending.LAPSED,
}
_REFUSALS = {
    "fence": orders.Refusal.FENCED,
    "old": orders.Refusal.OLD_RUN,
    "late": orders.Refusal.TOO_LATE,
    "room": orders.Refusal.NO_ROOM,
}


class _OrderAnswer(msgspec.Struct, rename="kebab"):
    clock_ms: strict_json.Count = 0
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: strict_json.Count
    checkpoint: Any
    percent: strict_json.Amount


class _EndedRow(msgspec.Struct, array_like=True):
    number: strict_json.Count
    task: str
    run: strict_json.Count
    ending: Any


class _RunLists(msgspec.Struct, rename="kebab"):
    clock_ms: strict_json.Count
    running: list[_RunningRow]
    ended: list[_EndedRow]
    born: strict_json.Count = 0


class OrderClient:
    """Sends orders to endpoints over persistent connections."""

    __slots__ = ("_metrics", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        self._session = session
        self._metrics = metrics

    @classmethod
    def open(cls, *, metrics: job_metrics.JobMetrics) -> Self:
        """Returns a client with its own connections."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=_CONNECTIONS_PER_ENDPOINT,
            keepalive_timeout=_KEEPALIVE_S,
        )
        return cls(
            aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            ),
            metrics=metrics,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def start(
        self,
        endpoint: endpoints.Endpoint,
        *,
        task: str,
        run: int,
        spec: str,
        token: int,
        lease_until_ms: int,
    ) -> orders.Answer:
        """Starts a run; its lease ends at a time of the endpoint's clock."""
        body = {
            "task": task,
            "run": run,
            "spec": spec,
            "deadline-ms": lease_until_ms,
            "fencing-token": token,
        }
        return await self._order(endpoint, "start", body, _ORDER_TIMEOUT_S)

    async def stop(
        self, endpoint: endpoints.Endpoint, *, task: str, run: int, token: int
    ) -> orders.Answer:
        """Stops a run; a start of the run that arrives later is rejected."""
        body = {"task": task, "run": run, "fencing-token": token}
        return await self._order(endpoint, "stop", body, STOP_TIMEOUT_S)

    async def poll(
        self,
        endpoint: endpoints.Endpoint,
        *,
        token: int,
        seen: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> orders.PollAnswer:
        """Reads the running and ended runs, after the next end or the wait."""
        body: dict[str, Any] = {"fencing-token": token, "seen-upto": seen}
        if lease_until_ms is not None:
            body["deadline-ms"] = lease_until_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        answer: orders.PollAnswer
        match await self._post(endpoint, "/api/hold", body, timeout_s):
            case orders.NoAnswer() as answer:
                pass
            case (status, content) if status == _OK:
                answer = _decode_report(content)
            case (status, content):
                answer = _decode_refusal(status, content)
        self._metrics.ordered("look", answer)
        return answer

    async def _order(
        self,
        endpoint: endpoints.Endpoint,
        order: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> orders.Answer:
        started_at = clocks.elapsed_s()
        path = f"/api/run-{order}"
        answer: orders.Answer
        try:
            posted = await self._post(endpoint, path, body, timeout_s)
        except asyncio.CancelledError:
            self._metrics.ordered(order, orders.NoAnswer("given up"))
            raise
        match posted:
            case orders.NoAnswer() as answer:
                pass
            case (status, content) if status == _OK:
                answer = orders.Accepted(_decode_answer(content).clock_ms)
            case (status, content):
                answer = _decode_refusal(status, content)
        self._metrics.ordered(order, answer)
        self._metrics.order_took(order, clocks.elapsed_s() - started_at)
        return answer

    async def _post(
        self,
        endpoint: endpoints.Endpoint,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[int, bytes] | orders.NoAnswer:
        try:
            async with self._session.post(
                endpoint.url + path,
                data=msgspec.json.encode(body),
                headers={
                    "Content-Type": "application/json",
                    "Target-Instance": endpoint.id,
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            return orders.NoAnswer(str(error), sent=False)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            # ValueError: the URL or a header of the answer is invalid.
            return orders.NoAnswer(f"{type(error).__name__}: {error}")


def _decode_answer(content: bytes) -> _OrderAnswer:
    try:
        return strict_json.decode(content, _OrderAnswer)
    except errors.MalformedError:
        return _OrderAnswer()


def _decode_refusal(
    status: int, content: bytes
) -> orders.Refused | orders.NoAnswer:
    if status == _MISDIRECTED:
        return orders.Refused(orders.Refusal.MISDIRECTED)
    if status in _BUSY:
        return orders.Refused(orders.Refusal.UNHEALTHY)
    if status == _BAD_REQUEST:
        return orders.Refused(orders.Refusal.INVALID)
    answer = _decode_answer(content)
    refusal = _REFUSALS.get(answer.reason)
    if status != _CONFLICT or refusal is None:
        return orders.NoAnswer(f"status {status} {answer.reason}".strip())
    return orders.Refused(refusal, answer.clock_ms)


def _decode_report(content: bytes) -> orders.Report | orders.NoAnswer:
    try:
        lists = strict_json.decode(content, _RunLists)
    except errors.MalformedError as error:
        return orders.NoAnswer(f"malformed lists of runs: {error}")
    return orders.Report(
        clock_ms=lists.clock_ms,
        born_ms=lists.born,
        running=tuple(
            orders.RunningTask(row.task, row.run, int(row.percent))
            for row in lists.running
        ),
        ended=tuple(
            orders.End(
                row.number, row.task, row.run, _decode_ending(row.ending)
            )
            for row in lists.ended
        ),
    )


def _decode_ending(ending: Any) -> orders.Ending:
    if not isinstance(ending, str):
        return orders.Ending.OTHER
    return _ENDINGS.get(ending, orders.Ending.OTHER)
