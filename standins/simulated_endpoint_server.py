"""Serves a simulated endpoint over HTTP, as the platform's pages specify."""

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
_HTTP_CONFLICT = 409
_HTTP_MISDIRECTED = 421
_HTTP_UNAVAILABLE = 503


def application(
    simulated: simulated_endpoint.SimulatedEndpoint,
) -> web.Application:
    """Returns the HTTP application of an endpoint."""

    @web.middleware
    async def check_target(
        request: web.Request, handler: Any
    ) -> web.StreamResponse:
        target = request.headers.get("Target-Instance", simulated.endpoint.id)
        if target != simulated.endpoint.id:
            return web.Response(status=_HTTP_MISDIRECTED)
        return await handler(request)

    async def start(request: web.Request) -> web.Response:
        body = await request.json()
        return _respond(
            simulated.start(
                task=body["task"],
                run=body["run"],
                spec=body["spec"],
                token=body.get("fencing-token", 0),
                until_ms=body["deadline-ms"],
            )
        )

    async def stop(request: web.Request) -> web.Response:
        body = await request.json()
        return _respond(
            simulated.stop(
                task=body["task"],
                run=body["run"],
                token=body.get("fencing-token", 0),
            )
        )

    async def hold(request: web.Request) -> web.Response:
        body = await request.json()
        return _respond(
            await simulated.poll(
                token=body.get("fencing-token", 0),
                seen=body["seen-upto"],
                until_ms=body.get("deadline-ms"),
                wait_s=body.get("wait-ms", 0) / 1_000,
            )
        )

    app = web.Application(middlewares=[check_target])
    app.add_routes(
        [
            web.post("/api/run-start", start),
            web.post("/api/run-stop", stop),
            web.post("/api/hold", hold),
        ]
    )
    return app


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
