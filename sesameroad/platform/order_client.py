"""Sends orders to endpoints over HTTP."""

import asyncio
from typing import Any
from typing import Self

import aiohttp
import msgspec

from sesameroad.leasing import order as orders
from sesameroad.model import clock as clocks
from sesameroad.model import endpoint as endpoints
from sesameroad.telemetry import job_metrics

# An endpoint answers an order within a few milliseconds. Waiting longer for a
# lost answer delays the task, whose caller waits 1.5 s in all.
_ORDER_TIMEOUT_S = 0.3
# One connection for looks and two for orders.
_CONNECTIONS = 3
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
    clock_ms: int = 0
    reason: str = ""


class _Lists(msgspec.Struct, rename="kebab"):
    clock_ms: int
    running: list[list[Any]]
    ended: list[list[Any]]
    born: int = 0


class OrderClient:
    """Sends orders over connections that are kept open for each endpoint."""

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
        """Returns a sender with connections of its own."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=_CONNECTIONS,
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
        """Starts a run; the lease ends on the clock of the endpoint."""
        body = {
            "task": task,
            "run": run,
            "spec": spec,
            "deadline-ms": lease_until_ms,
            "fencing-token": token,
        }
        return await self._order(endpoint, "start", body)

    async def stop(
        self, endpoint: endpoints.Endpoint, *, task: str, run: int, token: int
    ) -> orders.Answer:
        """Stops a run, and bars it if it has not arrived yet."""
        body = {"task": task, "run": run, "fencing-token": token}
        return await self._order(endpoint, "stop", body)

    async def look(
        self,
        endpoint: endpoints.Endpoint,
        *,
        token: int,
        seen: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> orders.LookAnswer:
        """Reads both lists after the next end, or after the wait."""
        body: dict[str, Any] = {"fencing-token": token, "seen-upto": seen}
        if lease_until_ms is not None:
            body["deadline-ms"] = lease_until_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        answer: orders.LookAnswer
        match await self._post(endpoint, "/api/hold", body, timeout_s):
            case orders.NoAnswer() as answer:
                pass
            case (status, text) if status == _OK:
                answer = _report(text)
            case (status, text):
                answer = _refusal(status, text)
        self._metrics.ordered("look", answer)
        return answer

    async def _order(
        self, endpoint: endpoints.Endpoint, order: str, body: dict[str, Any]
    ) -> orders.Answer:
        began = clocks.elapsed_s()
        path = f"/api/run-{order}"
        answer: orders.Answer
        match await self._post(endpoint, path, body, _ORDER_TIMEOUT_S):
            case orders.NoAnswer() as answer:
                pass
            case (status, text) if status == _OK:
                answer = orders.Accepted(_order_answer(text).clock_ms)
            case (status, text):
                answer = _refusal(status, text)
        self._metrics.ordered(order, answer)
        self._metrics.order_took(order, clocks.elapsed_s() - began)
        return answer

    async def _post(
        self,
        endpoint: endpoints.Endpoint,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[int, bytes] | orders.NoAnswer:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.post(
                    endpoint.url + path,
                    data=msgspec.json.encode(body),
                    headers={
                        "Content-Type": "application/json",
                        "Target-Instance": endpoint.id,
                    },
                ) as response:
                    return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return orders.NoAnswer(f"{type(error).__name__}: {error}")


def _order_answer(text: bytes) -> _OrderAnswer:
    try:
        return msgspec.json.decode(text, type=_OrderAnswer)
    except msgspec.MsgspecError:
        return _OrderAnswer()


def _refusal(
    status: int, text: bytes
) -> orders.Refused | orders.Replaced | orders.NoAnswer:
    if status == _MISDIRECTED:
        return orders.Replaced()
    if status in _BUSY:
        return orders.Refused(orders.Refusal.UNHEALTHY)
    if status == _BAD_REQUEST:
        return orders.Refused(orders.Refusal.INVALID)
    answer = _order_answer(text)
    why = _REFUSALS.get(answer.reason)
    if status != _CONFLICT or why is None:
        return orders.NoAnswer(f"status {status} {answer.reason}".strip())
    return orders.Refused(why, answer.clock_ms)


def _report(text: bytes) -> orders.Report | orders.NoAnswer:
    try:
        lists = msgspec.json.decode(text, type=_Lists)
        # A row is [task, run, checkpoint, percent] or
        # [number, task, run, how, checkpoint].
        return orders.Report(
            clock_ms=lists.clock_ms,
            born_ms=lists.born,
            running=tuple(
                orders.RunningTask(row[0], row[1], int(row[3]))
                for row in lists.running
            ),
            ended=tuple(
                orders.End(
                    row[0],
                    row[1],
                    row[2],
                    _ENDINGS.get(row[3], orders.Ending.OTHER),
                )
                for row in lists.ended
            ),
        )
    except (msgspec.MsgspecError, IndexError, TypeError, ValueError) as error:
        return orders.NoAnswer(f"unreadable lists: {error}")
