"""Stand-in of an endpoint: runs tasks in slots and keeps a record of them."""

import asyncio
import collections
import dataclasses

from absl import app
from absl import flags
from aiohttp import web
import msgspec

from sesameroad.routing import sender

_PORT = flags.DEFINE_integer("endpoint_port", 0, "Port to listen on.")
_SLOTS = flags.DEFINE_integer("endpoint_slots", 8, "Tasks run at a time.")


@dataclasses.dataclass(slots=True)
class Job:
    """What a task's payload asks the stand-in to do.

    Attributes:
        sleep_ms: Run time.
        fail: Whether to answer with an error after the run.
        value: Returned in the answer.
    """

    sleep_ms: float = 0.0
    fail: bool = False
    value: str = ""


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Faults that tests set.

    Attributes:
        leaving: Refuse everything and say so.
        fail_all: Run and fail everything.
        crossed: Answer with the attempt id of the previous task.
        slow_factor: Factor on every run time.
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
        self.highest_running = 0
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
        self.highest_running = max(self.highest_running, self.running)
        try:
            job = msgspec.json.decode(await request.read(), type=Job)
            await asyncio.sleep(
                job.sleep_ms * self.behaviour.slow_factor / 1_000
            )
        finally:
            self.running -= 1
        if job.fail or self.behaviour.fail_all:
            return web.Response(status=500, headers=headers, text="task failed")
        return web.Response(
            body=msgspec.json.encode({"value": job.value}),
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
