"""Serves a simulated endpoint over HTTP, as the platform's pages specify."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

from aiohttp import web

from sesameroad.leasing import orders
from standins import simulated_endpoint

_REASONS = {
    orders.Refusal.FENCED: "fence",
    orders.Refusal.OLD_RUN: "old",
    orders.Refusal.TOO_LATE: "late",
    orders.Refusal.NO_ROOM: "room",
}
# Longer than a leader waits for the answer to an order.
_SILENCE_S = 0.5
_HTTP_CONFLICT = 409
_HTTP_MISDIRECTED = 421
_HTTP_UNAVAILABLE = 503
_BODY = web.RequestKey("body", dict)


class LateOrders:
    """Decides which orders to all endpoints are held and carried out late.

    Attributes:
        share: Share of starts and stops that are held and not answered.
        highest_token: Highest fencing token of all orders so far, which is the
            one of the present leader.
        journal: Orders, except polls, and restarts as endpoints saw them, a
            line each.
        held_starts: Endpoint of each start that is held, and the monotonic time
            at which it is carried out.
        reach_any: Whether an order is carried out by the next incarnation of
            its endpoint even before the present leader has reached that.
    """

    def __init__(
        self,
        random_: random.Random,
        *,
        min_s: float = 0.5,
        max_s: float = 1.8,
        reach_any: bool = False,
    ) -> None:
        """Creates an object that holds no orders until the share is set.

        Args:
            random_: Source of all choices.
            min_s: Shortest time for which an order is held, in seconds.
            max_s: Longest time for which an order is held, in seconds.
            reach_any: See the attribute.
        """
        self.held_starts: asyncio.Queue[tuple[str, float]] = asyncio.Queue()
        self.reach_any = reach_any
        self.share = 0.0
        self.highest_token = 0
        self.journal: list[str] = []
        self._random = random_
        self._range_s = (min_s, max_s)

    def draw_s(self) -> float:
        """Returns the time for which the next order is held, mostly 0."""
        if self._random.random() >= self.share:
            return 0.0
        return self._random.uniform(*self._range_s)

    def record(self, endpoint_id: str, text: str) -> None:
        """Adds a line with the time of day to the journal."""
        now = time.time()
        clock = time.strftime("%H:%M:%S", time.localtime(now))
        self.journal.append(
            f"{clock},{int(now % 1 * 1_000):03d} {endpoint_id} {text}"
        )


class EndpointServer:
    """HTTP server of one endpoint, which can be closed and opened again."""

    def __init__(
        self,
        simulated: simulated_endpoint.SimulatedEndpoint,
        *,
        late_orders: LateOrders,
    ) -> None:
        self.simulated = simulated
        self.port = 0
        self._late_orders = late_orders
        self._contacted = False
        self._site: web.TCPSite | None = None
        application = web.Application(middlewares=[self._check_target])
        application.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
            ]
        )
        self._runner = web.AppRunner(application, access_log=None)

    async def open(self, port: int) -> None:
        """Listens on a port."""
        if self._site is None:
            await self._runner.setup()
        self.port = port
        self._site = web.TCPSite(self._runner, "127.0.0.1", port)
        await self._site.start()

    async def close(self) -> None:
        """Ends the server for good."""
        await self._runner.cleanup()

    async def restart(self, *, down_s: float, port: int) -> None:
        """Restarts the endpoint, which cannot be connected to meanwhile.

        Args:
            down_s: Time until it listens again, in seconds.
            port: Port on which it listens then.
        """
        born_ms = self.simulated.endpoint.born_ms + 1_000
        self.port = 0
        if self._site is not None:
            await self._site.stop()
        self._reset(born_ms)
        self._record(f"is down for {down_s:.3f} s")
        await asyncio.sleep(down_s)
        # Its clock and tables start when it does.
        self._reset(born_ms)
        await self.open(port)
        self._record(f"is up, born {born_ms}, port {port}")

    def _reset(self, born_ms: int) -> None:
        self.simulated.crash(born_ms=born_ms)
        self._contacted = False
        server = self._runner.server
        for connection in server.connections if server is not None else ():
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def _check_target(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        own = self.simulated.endpoint
        if request.headers.get("Target-Instance", own.id) != own.id:
            return web.Response(status=_HTTP_MISDIRECTED)
        request[_BODY] = await request.json()
        if not self.port or self.simulated.endpoint.born_ms != own.born_ms:
            # It has restarted while the request was read.
            return _abort(request)
        return await handler(request)

    async def _start(self, request: web.Request) -> web.Response:
        body = request[_BODY]

        def carry_out() -> orders.Answer:
            return self.simulated.start(
                task=body["task"],
                run=body["run"],
                spec=body["spec"],
                token=body.get("fencing-token", 0),
                until_ms=body["deadline-ms"],
            )

        fault = self.simulated.fault
        late_s = fault.late_s or self._late_orders.draw_s()
        if late_s and not fault.silent:
            self._late_orders.held_starts.put_nowait(
                (self.simulated.endpoint.id, time.monotonic() + late_s)
            )
        return await self._order(
            request,
            carry_out,
            late_s=late_s,
            answered=not (fault.lose_answers or fault.lose_start_answers),
        )

    async def _stop(self, request: web.Request) -> web.Response:
        body = request[_BODY]

        def carry_out() -> orders.Answer:
            return self.simulated.stop(
                task=body["task"],
                run=body["run"],
                token=body.get("fencing-token", 0),
            )

        fault = self.simulated.fault
        if fault.lost_stops:
            fault.lost_stops -= 1
            return await self._leave_unanswered(request)
        return await self._order(
            request,
            carry_out,
            late_s=self._late_orders.draw_s(),
            answered=not fault.lose_answers,
        )

    async def _hold(self, request: web.Request) -> web.Response:
        body = request[_BODY]
        fault = self.simulated.fault
        if fault.silent:
            return await self._leave_unanswered(request)
        token = body.get("fencing-token", 0)
        self._record_contact(token)
        answer = await self.simulated.poll(
            token=token,
            seen=body["seen-upto"],
            until_ms=body.get("deadline-ms"),
            wait_s=body.get("wait-ms", 0) / 1_000,
        )
        if isinstance(answer, orders.NoAnswer):
            return _abort(request)
        if fault.silent or fault.lose_answers:
            return await self._leave_unanswered(request)
        return _respond(answer)

    async def _order(
        self,
        request: web.Request,
        carry_out: Callable[[], orders.Answer],
        *,
        late_s: float,
        answered: bool,
    ) -> web.Response:
        """Carries out a start or a stop, now or later."""
        if self.simulated.fault.silent:
            return await self._leave_unanswered(request)
        body = request[_BODY]
        name = (
            f"{request.path} {body['task']} run {body['run']}"
            f" token {body.get('fencing-token', 0)}"
            f" until {body.get('deadline-ms')}"
        )
        if late_s:
            self._record(f"{name}: held for {late_s:.3f} s")
            asyncio.get_running_loop().call_later(
                late_s,
                self._carry_out_late,
                name,
                carry_out,
                self.simulated.endpoint.born_ms,
            )
            return await self._leave_unanswered(request)
        self._record_contact(body.get("fencing-token", 0))
        answer = carry_out()
        self._record(f"{name}: {answer}")
        if not answered:
            return await self._leave_unanswered(request)
        return _respond(answer)

    def _carry_out_late(
        self, name: str, carry_out: Callable[[], orders.Answer], born_ms: int
    ) -> None:
        # No leader can prevent a late start in an incarnation that the present
        # one has not reached yet, so such an order is dropped by default.
        restarted = self.simulated.endpoint.born_ms != born_ms
        is_reached = self._contacted or self._late_orders.reach_any
        if not self.port or (restarted and not is_reached):
            self._record(f"{name}: dropped after a restart")
            return
        when = "late, after a restart" if restarted else "late"
        self._record(f"{name}: carried out {when}: {carry_out()}")

    def _record_contact(self, token: int) -> None:
        late_orders = self._late_orders
        late_orders.highest_token = max(late_orders.highest_token, token)
        if token == late_orders.highest_token:
            self._contacted = True

    def _record(self, text: str) -> None:
        endpoint = self.simulated.endpoint
        self._late_orders.record(f"{endpoint.id} born {endpoint.born_ms}", text)

    async def _leave_unanswered(self, request: web.Request) -> web.Response:
        await asyncio.sleep(_SILENCE_S)
        return _abort(request)


def _abort(request: web.Request) -> web.Response:
    """Closes the connection of a request, so that the response is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _respond(answer: orders.Answer | orders.PollAnswer) -> web.Response:
    match answer:
        case orders.Report():
            return web.json_response(
                {
                    "clock-ms": answer.clock_ms,
                    "born": answer.born_ms,
                    "running": [
                        [task.task, task.run, "", task.percent]
                        for task in answer.running
                    ],
                    "ended": [
                        [end.number, end.task, end.run, end.ending.value, ""]
                        for end in answer.ended
                    ],
                }
            )
        case orders.Refused(refusal=refusal) if refusal in _REASONS:
            return web.json_response(
                {"clock-ms": answer.clock_ms, "reason": _REASONS[refusal]},
                status=_HTTP_CONFLICT,
            )
        case orders.Accepted():
            return web.json_response({"clock-ms": answer.clock_ms})
        case _:
            return web.Response(status=_HTTP_UNAVAILABLE)
