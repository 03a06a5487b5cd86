"""Decodes callers' requests for jobs and encodes the answers."""

import re
from typing import Protocol

from aiohttp import web
import msgspec

from sesameroad.jobs import catalogue as catalogues
from sesameroad.model import clock as clocks
from sesameroad.model import job_request as job_requests
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes

_MS = 1_000
_MILLICORES = 1_000
# Header with the time that a caller waits for its answer.
_PATIENCE_HEADER = "Timeout-Ms"
_DEFAULT_PATIENCE_S = 30.0
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
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

    async def submit(
        self, submission: job_requests.JobRequest, queue: catalogues.Queue
    ) -> outcomes.Outcome:
        """Runs a submission or refuses it; cancelling the call ends it."""

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
        patience_s = _patience_s(http)
        if patience_s is None:
            return _json(400, {"error": f"{_PATIENCE_HEADER} is no number"})
        try:
            submission = _decode(
                await http.read(),
                key=key,
                arrived_at=arrived_at,
                patience_s=patience_s,
            )
        except msgspec.MsgspecError as error:
            return _json(400, {"error": str(error)})
        return _respond(await self._service.submit(submission, queue))


def _decode(
    text: bytes, *, key: str, arrived_at: float, patience_s: float
) -> job_requests.JobRequest:
    """Returns the submission of a body.

    Raises:
        msgspec.MsgspecError: If the body cannot be read.
    """
    body = msgspec.json.decode(text, type=_Body)
    return job_requests.JobRequest(
        key=key,
        spec=body.spec,
        steps=tuple(
            job_requests.Step(
                count=step.count,
                need=needs.Need(step.cpu / _MILLICORES, step.mem_mb, step.gpu),
                estimate_s=step.est_runtime_ms / _MS,
                after=tuple(step.after),
                gang=step.gang,
                long_running=step.long_running,
                required_label=step.requires,
                preferred_label=step.affinity,
                per_endpoint=step.anti_affinity,
            )
            for step in body.steps
        ),
        best_effort=body.best_effort,
        occurrences=body.repeat_count,
        starts_at_ms=body.start_at_ms,
        arrived_at=arrived_at,
        patience_s=patience_s,
    )


def _patience_s(http: web.BaseRequest) -> float | None:
    """Returns how long a caller waits, or None if its header is no number."""
    text = http.headers.get(_PATIENCE_HEADER)
    if text is None:
        return _DEFAULT_PATIENCE_S
    try:
        return max(0.0, float(text) / _MS)
    except ValueError:
        return None


def _respond(outcome: outcomes.Outcome) -> web.Response:
    match outcome:
        case outcomes.Complete():
            return _json(200, {"state": "completed"})
        case outcomes.Failed():
            return _json(200, {"state": "failed"})
        case outcomes.NotRun(cause=outcomes.Cause.INVALID):
            return _json(400, {"error": outcome.detail})
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
