"""Stand-in of an endpoint that runs tasks in slots and counts their starts."""

import asyncio
import collections
import dataclasses

from absl import app
from absl import flags
from aiohttp import web
import msgspec

from sesameroad.routing import sender

_PORT = flags.DEFINE_integer("endpoint_port", 0, "Port to listen on.")
_SLOTS = flags.DEFINE_integer(
    "endpoint_slots", 8, "Number of tasks that run at the same time."
)


@dataclasses.dataclass(slots=True)
class Payload:
    """Payload of a task, which controls how the stand-in runs it.

    Attributes:
        sleep_ms: Run time in milliseconds.
        fail: Whether to answer with an error after the run.
        value: Value to return in the answer.
    """

    sleep_ms: float = 0.0
    fail: bool = False
    value: str = ""


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Faults that tests inject.

    Attributes:
        leaving: Refuse all tasks and report that the endpoint is leaving.
        fail_all: Run all tasks and answer with an error.
        crossed: Answer with the attempt id of the previous task.
        slow_factor: Factor by which all run times are multiplied.
    """

    leaving: bool = False
    fail_all: bool = False
    crossed: bool = False
    slow_factor: float = 1.0


class Endpoint:
    """Runs tasks and counts the starts of each task id."""

    def __init__(self, *, slots: int = 8) -> None:
        self.behaviour = Behaviour()
        self.starts: collections.Counter[str] = collections.Counter()
        self.refusals = 0
        self.running = 0
        self.max_running = 0
        self._slots = slots
        self._previous_attempt = ""

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.post("/v1/run", self._run),
                web.get("/control/starts", self._get_starts),
                web.post("/control/behaviour", self._set_behaviour),
            ]
        )
        return application

    async def _run(self, request: web.Request) -> web.Response:
        attempt = request.headers[sender.ATTEMPT_HEADER]
        headers = {sender.ATTEMPT_HEADER: attempt}
        if self.behaviour.crossed:
            headers[sender.ATTEMPT_HEADER] = self._previous_attempt
        self._previous_attempt = attempt
        if self.behaviour.leaving or self.running >= self._slots:
            self.refusals += 1
            headers[sender.NOT_RUN_HEADER] = "1"
            if self.behaviour.leaving:
                headers[sender.LEAVING_HEADER] = "1"
            return web.Response(status=503, headers=headers)
        self.starts[request.headers[sender.TASK_HEADER]] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            payload = msgspec.json.decode(await request.read(), type=Payload)
            await asyncio.sleep(
                payload.sleep_ms * self.behaviour.slow_factor / 1_000
            )
        finally:
            self.running -= 1
        if payload.fail or self.behaviour.fail_all:
            return web.Response(status=500, headers=headers, text="task failed")
        return web.Response(
            body=msgspec.json.encode({"value": payload.value}),
            content_type="application/json",
            headers=headers,
        )

    async def _get_starts(self, _: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self.starts))

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        self.behaviour = msgspec.json.decode(
            await request.read(), type=Behaviour
        )
        return web.Response()


def main(_: list[str]) -> None:
    """Serves the stand-in until it is terminated."""
    web.run_app(
        Endpoint(slots=_SLOTS.value).application(),
        host="127.0.0.1",
        port=_PORT.value,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    app.run(main)
