"""HTTP API for jobs: decodes requests of callers and encodes responses."""

import math
import re
from typing import Protocol

from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response
import msgspec

from sesameroad import errors
from sesameroad.jobs import cancellations
from sesameroad.jobs import catalogue as catalogue_module
from sesameroad.model import clocks
from sesameroad.model import job_requests
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import strict_json

_MS = 1_000
_MILLICORES = 1_000
# Time that a caller waits for its answer, in milliseconds.
_TIMEOUT_HEADER = "Timeout-Ms"
_DEFAULT_TIMEOUT_S = 30.0
# Longer waits, and infinite ones, count as this. No job of best effort takes as
# long.
_MAX_TIMEOUT_S = 86_400.0
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_OVERLOAD_CAUSES = {
    outcomes.Cause.OVERLOAD,
    outcomes.Cause.TEAM_QUOTA,
    outcomes.Cause.KIND_CEILING,
}


class _Step(msgspec.Struct, rename="kebab"):
    count: strict_json.Count
    # Thousandths of a core.
    cpu: strict_json.Int32 = 0
    mem_mb: strict_json.Int32 = 0
    gpu: strict_json.Int32 = 0
    est_runtime_ms: strict_json.Milliseconds = 0
    after: list[strict_json.Count] = msgspec.field(default_factory=list)
    gang: bool = False
    # Label that the endpoint must carry.
    requires: str = ""
    # Label of the preferred endpoints: the rack that holds the data.
    affinity: str = ""
    # Maximum number of tasks of the step on one endpoint.
    anti_affinity: strict_json.Int32 = 0
    long_running: bool = False


class _Body(msgspec.Struct, rename="kebab"):
    steps: list[_Step]
    spec: str = ""
    best_effort: bool = False
    repeat_count: strict_json.Count = 0
    start_at_ms: strict_json.Count = 0


class Service(Protocol):
    """Operations of an instance that the job API calls."""

    @property
    def catalogue(self) -> catalogue_module.Catalogue:
        """Current configuration."""

    @property
    def leaving(self) -> bool:
        """Whether the instance is shutting down."""

    @property
    def settled(self) -> bool:
        """Whether requests can be handled without a wait after a start or pause."""

    async def wait_settled(self) -> None:
        """Waits a short time until requests can be handled after that."""

    async def submit(
        self, request: job_requests.JobRequest, queue: catalogue_module.Queue
    ) -> outcomes.Outcome:
        """Runs a job or refuses it; cancelling the call ends the job."""

    def is_running(self, key: str) -> bool:
        """Returns whether a job of a caller of this instance is running."""

    async def cancel(self, key: str) -> cancellations.Result:
        """Cancels a job that any instance has taken, and its later attempts."""

    def pending(self, queue: str) -> int:
        """Returns the number of jobs that have not started a task."""


class JobApi:
    """Handles the HTTP requests of callers."""

    __slots__ = ("_clock", "_service")

    def __init__(self, service: Service, *, clock: clocks.Clock) -> None:
        self._service = service
        self._clock = clock

    async def handle(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        """Responds to one request."""
        arrived_at = self._clock.monotonic()
        if not self._service.settled:
            await self._service.wait_settled()
        catalogue = self._service.catalogue
        if catalogue.version == 0:
            response = _error_response(
                503, "no configuration yet", retry_after_s=1.0
            )
        else:
            queue = catalogue.find(
                request.headers.get("Host", ""), request.path
            )
            if queue is None:
                response = _json_response(404, {"error": "no such queue"})
            else:
                response = await self._handle_queue(request, queue, arrived_at)
        if self._service.leaving:
            # Makes the caller reconnect, which leads it to another instance.
            response.force_close()
        return response

    def interrupted(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        """Returns the answer to a request that the stop of the instance ends.

        No task of it has started here. Jobs have been answered before, and a
        cancel may be repeated at another instance.
        """
        del request
        return _error_response(503, "this instance stops", retry_after_s=1.0)

    async def _handle_queue(
        self,
        request: web_request.BaseRequest,
        queue: catalogue_module.Queue,
        arrived_at: float,
    ) -> web_response.Response:
        key = request.path[len(queue.prefix) :]
        if not key and request.method == "GET":
            return _json_response(
                200, {"pending": self._service.pending(queue.name)}
            )
        if not _JOB_ID.match(key):
            return _json_response(
                400, {"error": "the id is not 16 hexadecimal digits"}
            )
        match request.method:
            case "POST":
                return await self._submit(request, queue, key, arrived_at)
            case "GET":
                if self._service.is_running(key):
                    return _json_response(200, {"state": "running"})
                return _json_response(410, {"error": "no such job"})
            case "DELETE":
                return _cancel_response(await self._service.cancel(key))
            case _:
                return _json_response(405, {"error": "method not allowed"})

    async def _submit(
        self,
        request: web_request.BaseRequest,
        queue: catalogue_module.Queue,
        key: str,
        arrived_at: float,
    ) -> web_response.Response:
        limit = self._service.catalogue.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            return _json_response(
                413, {"error": f"the body is over {limit} bytes"}
            )
        timeout_s = _timeout_s(request)
        if timeout_s is None:
            return _json_response(
                400, {"error": f"{_TIMEOUT_HEADER} is not a number"}
            )
        try:
            content = await request.read()
        except web_protocol.RequestPayloadError as error:
            return _json_response(400, {"error": f"unreadable body: {error}"})
        try:
            job_request = _decode(
                content,
                key=key,
                arrived_at=arrived_at,
                timeout_s=timeout_s,
            )
        except errors.MalformedError as error:
            return _json_response(400, {"error": str(error)})
        return _outcome_response(await self._service.submit(job_request, queue))


def _decode(
    content: bytes, *, key: str, arrived_at: float, timeout_s: float
) -> job_requests.JobRequest:
    """Decodes the body of a request.

    Raises:
        MalformedError: If the body is malformed.
    """
    body = strict_json.decode(content, _Body)
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
        timeout_s=timeout_s,
    )


def _timeout_s(request: web_request.BaseRequest) -> float | None:
    """Returns how long a caller waits; None if the header is not a number."""
    text = request.headers.get(_TIMEOUT_HEADER)
    if text is None:
        return _DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text) / _MS
    except ValueError:
        return None
    if math.isnan(timeout_s):
        return None
    return min(max(0.0, timeout_s), _MAX_TIMEOUT_S)


def _outcome_response(outcome: outcomes.Outcome) -> web_response.Response:
    match outcome:
        case outcomes.Complete():
            return _json_response(200, {"state": "completed"})
        case outcomes.Failed(cause=outcomes.Cause.CANCELLED):
            return _json_response(200, {"state": "cancelled"})
        case outcomes.Failed():
            return _json_response(200, {"state": "failed"})
        case outcomes.NotRun(cause=outcomes.Cause.INVALID):
            return _json_response(400, {"error": outcome.detail})
        case outcomes.NotRun():
            status = 429 if outcome.cause in _OVERLOAD_CAUSES else 503
            return _error_response(
                status, outcome.detail, outcome.retry_after_s
            )
        case outcomes.Unknown(cause=outcomes.Cause.DEADLINE):
            return _json_response(504, {"error": outcome.detail})
        case outcomes.Unknown():
            return _json_response(502, {"error": outcome.detail})


def _cancel_response(result: cancellations.Result) -> web_response.Response:
    match result:
        case cancellations.Result.CANCELLED:
            return _json_response(200, {})
        case cancellations.Result.NO_SUCH_JOB:
            return _json_response(410, {"error": "no such job"})
        case cancellations.Result.UNCERTAIN:
            return _error_response(
                503, "a leader has not answered", retry_after_s=1.0
            )


def _error_response(
    status: int, detail: str, retry_after_s: float | None = None
) -> web_response.Response:
    response = _json_response(status, {"error": detail})
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return response


def _json_response(
    status: int, content: dict[str, object]
) -> web_response.Response:
    return web_response.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )
