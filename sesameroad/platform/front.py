"""Decodes callers' requests for jobs and encodes the answers."""

import asyncio
import re
from typing import Protocol

from aiohttp import web
import msgspec

from sesameroad.jobs import catalogue as catalogues
from sesameroad.model import clock as clocks
from sesameroad.model import job as jobs
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes

_MS = 1_000
_MILLICORES = 1_000
_DEADLINE_HEADER = "Timeout-Ms"
_DEFAULT_DEADLINE_S = 30.0
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_MAX_SPEC_BYTES = 4_000
_MAX_TASKS = 1_100
# An answer that takes longer than this ratio to the objective of its queue is
# of no use to the caller, as the platform's pages define it.
_EXPIRY_RATIO = 3.0
# A step wider than this part of all room is expected to take several waves.
_WAVE_SHARE = 4
_OVERLOADED = {
    outcomes.Cause.OVERLOAD,
    outcomes.Cause.TEAM_QUOTA,
    outcomes.Cause.KIND_CEILING,
}


class _Step(msgspec.Struct, rename="kebab"):
    count: int
    # In thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0
    after: list[int] = msgspec.field(default_factory=list)
    gang: bool = False
    # Label that the endpoint must have.
    requires: str = ""
    # Rack that holds the data.
    affinity: str = ""
    # Most tasks of the step on one endpoint.
    anti_affinity: int = 0
    long_running: bool = False


class _Body(msgspec.Struct, rename="kebab"):
    steps: list[_Step]
    spec: str = ""
    best_effort: bool = False
    repeat_count: int = 0
    start_at_ms: int = 0


class Service(Protocol):
    """What the front needs of the instance."""

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """Configuration in force."""

    @property
    def leaving(self) -> bool:
        """Whether the instance is about to stop."""

    async def run(self, job: jobs.Job) -> outcomes.Outcome:
        """Runs a job; cancelling the call ends it."""

    def room(self, service: str, need: needs.Need) -> int:
        """Returns how many tasks of a need all endpoints run at once."""

    def is_running(self, key: str) -> bool:
        """Returns whether a job is being run for a caller here."""

    def cancel(self, key: str) -> bool:
        """Ends a job; returns whether it was known here."""

    def pending(self, queue: str) -> int:
        """Returns the number of jobs without a started task."""


class Front:
    """Serves callers on one address."""

    __slots__ = ("_clock", "_service")

    def __init__(self, service: Service, *, clock: clocks.Clock) -> None:
        self._service = service
        self._clock = clock

    async def handle(self, http: web.BaseRequest) -> web.Response:
        """Answers one request."""
        catalogue = self._service.catalogue
        if catalogue.version == 0:
            response = _refuse(503, "no configuration yet", retry_after_s=1.0)
        else:
            queue = catalogue.find(http.headers.get("Host", ""), http.path)
            if queue is None:
                response = _json(404, {"error": "no such queue"})
            else:
                response = await self._handle_queue(http, queue)
        if self._service.leaving:
            # The caller's next request goes to an instance that stays.
            response.force_close()
        return response

    async def _handle_queue(
        self, http: web.BaseRequest, queue: catalogues.Queue
    ) -> web.Response:
        key = http.path[len(queue.prefix) :]
        if not key and http.method == "GET":
            return _json(200, {"pending": self._service.pending(queue.name)})
        if not _JOB_ID.match(key):
            return _json(400, {"error": "the id is not 16 hexadecimal digits"})
        match http.method:
            case "POST":
                return await self._submit(http, queue, key)
            case "GET":
                if self._service.is_running(key):
                    return _json(200, {"state": "running"})
                return _json(410, {"error": "no such job"})
            case "DELETE":
                known = self._service.cancel(key)
                return _json(200 if known else 410, {})
            case _:
                return _json(405, {"error": "method not allowed"})

    async def _submit(
        self, http: web.BaseRequest, queue: catalogues.Queue, key: str
    ) -> web.Response:
        arrived_at = self._clock.monotonic()
        limit = self._service.catalogue.limits.max_body_bytes
        if (http.content_length or 0) > limit:
            return _json(413, {"error": f"the body is over {limit} bytes"})
        text = await http.read()
        try:
            body = msgspec.json.decode(text, type=_Body)
        except msgspec.MsgspecError as error:
            return _json(400, {"error": str(error)})
        problem = _problem(body)
        if problem:
            return _json(400, {"error": problem})
        if not _is_supported(body):
            return _refuse(503, "jobs of this shape are not run here")
        deadline_s = _deadline_s(http)
        if deadline_s is None:
            return _json(400, {"error": f"{_DEADLINE_HEADER} is no number"})
        step = body.steps[0]
        need = needs.Need(step.cpu / _MILLICORES, step.mem_mb, step.gpu)
        room = self._service.room(queue.service, need)
        job = _job(body, queue, key, arrived_at, deadline_s, need, room)
        try:
            outcome = await self._service.run(job)
        except asyncio.CancelledError:
            # The caller has left, or has cancelled the job.
            raise
        return _respond(outcome)


def _problem(body: _Body) -> str:
    """Returns what is wrong with a job, empty if nothing is."""
    if not body.steps:
        return "steps is empty"
    if len(body.spec.encode()) > _MAX_SPEC_BYTES:
        return f"spec is over {_MAX_SPEC_BYTES} bytes"
    for number, step in enumerate(body.steps):
        if not 1 <= step.count <= _MAX_TASKS:
            return f"steps[{number}].count is not from 1 to {_MAX_TASKS}"
        if min(step.cpu, step.mem_mb, step.gpu, step.est_runtime_ms) < 0:
            return f"steps[{number}] has a negative need"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"steps[{number}].after names no earlier step"
    return ""


def _is_supported(body: _Body) -> bool:
    """Returns whether this release runs jobs of this shape.

    Only a job of one step of independent tasks that need not be stored is run.
    Any other is refused as a whole before any of its tasks starts.
    """
    step = body.steps[0]
    return (
        body.best_effort
        and len(body.steps) == 1
        and not step.gang
        and not step.long_running
        and not body.repeat_count
        and not body.start_at_ms
    )


def _deadline_s(http: web.BaseRequest) -> float | None:
    text = http.headers.get(_DEADLINE_HEADER)
    if text is None:
        return _DEFAULT_DEADLINE_S
    try:
        return max(0.0, float(text) / _MS)
    except ValueError:
        return None


def _job(
    body: _Body,
    queue: catalogues.Queue,
    key: str,
    arrived_at: float,
    deadline_s: float,
    need: needs.Need,
    room: int,
) -> jobs.Job:
    step = body.steps[0]
    estimate_s = step.est_runtime_ms / _MS
    # A step that is wider than a quarter of all room is expected in waves.
    width = max(1, room // _WAVE_SHARE)
    waves = -(-step.count // width) if room else 1
    objective_s = queue.stretch * estimate_s * waves + queue.allowance_s
    return jobs.Job(
        key=key,
        queue=queue.name,
        service=queue.service,
        spec=body.spec,
        indices=tuple(range(step.count)),
        need=need,
        estimate_s=estimate_s,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        required_label=step.requires,
        preferred_label=step.affinity,
        per_endpoint=step.anti_affinity,
        objective_at=arrived_at + objective_s,
        expires_at=arrived_at + _EXPIRY_RATIO * objective_s,
        deadline_at=arrived_at + deadline_s,
    )


def _respond(outcome: outcomes.Outcome) -> web.Response:
    match outcome:
        case outcomes.Complete():
            return _json(200, {"state": "completed"})
        case outcomes.Failed():
            return _json(200, {"state": "failed"})
        case outcomes.NotRun():
            status = 429 if outcome.cause in _OVERLOADED else 503
            return _refuse(status, outcome.detail, outcome.retry_after_s)
        case outcomes.Unknown(cause=outcomes.Cause.DEADLINE):
            return _json(504, {"error": outcome.detail})
        case outcomes.Unknown():
            return _json(502, {"error": outcome.detail})


def _refuse(
    status: int, detail: str, retry_after_s: float | None = None
) -> web.Response:
    response = _json(status, {"error": detail})
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return response


def _json(status: int, content: dict[str, object]) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )
