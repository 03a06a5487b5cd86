"""HTTP statuses and problem details (RFC 9457) of outcomes and errors."""

from collections.abc import Awaitable
from collections.abc import Callable
import http
import traceback
from typing import Any

from aiohttp import web
import msgspec

from sesameroad.model import outcomes
from sesameroad.telemetry import log

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_CONTENT_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:sesameroad:cause:"

_NOT_RUN_STATUS = {
    outcomes.Cause.OVERLOAD: 429,
    outcomes.Cause.TEAM_QUOTA: 429,
    outcomes.Cause.KIND_CEILING: 429,
    outcomes.Cause.KEY_REUSED: 409,
    outcomes.Cause.CANCELLED: 409,
    outcomes.Cause.INVALID: 400,
    outcomes.Cause.NOT_FOUND: 404,
    outcomes.Cause.NO_ENDPOINT: 422,
    outcomes.Cause.DEADLINE: 504,
}
_DEFAULT_NOT_RUN_STATUS = 503
_FAILED_STATUS = 502
_UNKNOWN_STATUS = 504
_GONE_STATUS = 410


def status(outcome: outcomes.Outcome) -> int:
    """Returns the HTTP status of an outcome."""
    match outcome:
        case outcomes.Complete():
            return 200
        case outcomes.NotRun(cause=cause):
            return _NOT_RUN_STATUS.get(cause, _DEFAULT_NOT_RUN_STATUS)
        case outcomes.Failed(cause=outcomes.Cause.CANCELLED):
            return 409
        case outcomes.Failed():
            return _FAILED_STATUS
        case outcomes.Unknown(ask_again_at_ms=None):
            return _GONE_STATUS
        case outcomes.Unknown():
            return _UNKNOWN_STATUS


def outcome_response(
    outcome: outcomes.Failed | outcomes.NotRun | outcomes.Unknown,
    *,
    key: str = "",
    http_status: int | None = None,
) -> web.Response:
    """Returns a response for an outcome other than "complete"."""
    code = http_status or status(outcome)
    body: dict[str, Any] = {
        "type": _TYPE_PREFIX + outcome.cause.value,
        "title": outcomes.label(outcome),
        "status": code,
        "detail": outcome.detail,
        "outcome": outcomes.label(outcome),
        "cause": outcome.cause.value,
    }
    headers = {}
    if key:
        body["key"] = key
    match outcome:
        case outcomes.NotRun(retry_after_s=float() as seconds):
            headers["Retry-After"] = str(max(1, round(seconds)))
        case outcomes.Unknown(ask_again_at_ms=int() as at_ms):
            body["ask_again_at_ms"] = at_ms
        case outcomes.Failed(may_have_run=may_have_run):
            body["may_have_run"] = may_have_run
    return web.Response(
        status=code,
        body=msgspec.json.encode(body),
        content_type=_CONTENT_TYPE,
        headers=headers,
    )


def invalid_response(detail: str, *, http_status: int = 400) -> web.Response:
    """Returns a response for invalid input, of which no task was run."""
    return outcome_response(
        outcomes.NotRun(outcomes.Cause.INVALID, detail), http_status=http_status
    )


def error_response(
    cause: str,
    detail: str,
    *,
    http_status: int,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Returns a response for an error that is no outcome of work."""
    body = {
        "type": _TYPE_PREFIX + cause,
        "title": http.HTTPStatus(http_status).phrase,
        "status": http_status,
        "detail": detail,
        "cause": cause,
    }
    return web.Response(
        status=http_status,
        body=msgspec.json.encode(body),
        content_type=_CONTENT_TYPE,
        headers=headers,
    )


def unauthorized_response() -> web.Response:
    """Returns the response to a missing or wrong token."""
    return error_response(
        "unauthorized",
        "a bearer token from the settings is required",
        http_status=401,
        headers={"WWW-Authenticate": "Bearer"},
    )


@web.middleware
async def middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Rejects compressed bodies and turns errors into problem details."""
    if request.headers.get("Content-Encoding", "identity") != "identity":
        response = invalid_response(
            "compressed bodies are not accepted", http_status=415
        )
        # The rest of the body is left unread, so the connection cannot be
        # used again.
        response.force_close()
        return response
    try:
        return await handler(request)
    except web.HTTPNotFound:
        return invalid_response(f"no route {request.path!r}", http_status=404)
    except web.HTTPMethodNotAllowed as error:
        allowed = ", ".join(sorted(error.allowed_methods))
        response = invalid_response(
            f"{request.method} is not allowed on this path; allowed: {allowed}",
            http_status=error.status,
        )
        response.headers["Allow"] = allowed
        return response
    except web.HTTPException as error:
        return invalid_response(
            error.text or error.reason, http_status=error.status
        )
    except web.RequestPayloadError:
        return invalid_response("the body cannot be read", http_status=400)
    except Exception as error:
        log.problem(
            "unexpected error in a request",
            step="serve",
            path=request.path,
            error=f"{type(error).__name__}: {error}",
            trace=traceback.format_exc(),
        )
        return error_response(
            "internal",
            "unexpected error; the outcome of this request is unknown",
            http_status=500,
        )
