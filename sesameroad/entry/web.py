"""The HTTP API for callers."""

from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import TypeVar

from aiohttp import web
import msgspec
import xxhash

from sesameroad import errors
from sesameroad.configuration import store as store_module
from sesameroad.entry import console as console_module
from sesameroad.entry import intake as intake_module
from sesameroad.entry import observer as observer_module
from sesameroad.entry import problem
from sesameroad.model import clocks
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import strict_json
from sesameroad.model import work as work_module

KEY_HEADER = "Idempotency-Key"
_TEAM_PARAMETER = "team"
_JSON = "application/json"
_MAX_TIMEOUT_MS = 600_000
_MAX_KEYS = 1_000
_MAX_KEY_CHARACTERS = 255
_UNPROCESSABLE = 422
_ACCEPTED = 202
_ASK_AGAIN_MS = 1_000
_STOPPING = "this entry is stopping"

_Timeout = Annotated[int, msgspec.Meta(ge=1, le=_MAX_TIMEOUT_MS)]
_T = TypeVar("_T")


@dataclasses.dataclass(slots=True)
class _TaskBody:
    payload: msgspec.Raw
    need: needs.Need = needs.Need()


@dataclasses.dataclass(slots=True)
class _RequestBody:
    team: str
    kind: str
    payload: msgspec.Raw
    idempotent: bool = False
    timeout_ms: _Timeout = 30_000
    need: needs.Need = needs.Need()


@dataclasses.dataclass(slots=True)
class _SubmissionBody:
    team: str
    kind: str
    tasks: Annotated[
        list[_TaskBody],
        msgspec.Meta(min_length=1, max_length=work_module.MAX_TASKS),
    ]
    timeout_ms: _Timeout = 300_000


@dataclasses.dataclass(slots=True)
class _KeysBody:
    count: Annotated[int, msgspec.Meta(ge=1, le=_MAX_KEYS)] = 1


@dataclasses.dataclass(slots=True, frozen=True)
class _Rejection:
    """Why a request is rejected before the home of its key is looked up."""

    detail: str
    http_status: int = 400
    cause: outcomes.Cause = outcomes.Cause.INVALID


class Web:
    """Turns HTTP requests into work, and outcomes into HTTP responses."""

    __slots__ = (
        "_check_feasibility",
        "_clock",
        "_console",
        "_intake",
        "_observer",
        "_ready",
        "_store",
    )

    def __init__(
        self,
        *,
        intake: intake_module.Intake,
        store: store_module.Store,
        clock: clocks.Clock,
        check_feasibility: Callable[[str, needs.Need], outcomes.NotRun | None],
        ready: Callable[[], bool],
        observer: observer_module.Observer,
        console: console_module.Console,
    ) -> None:
        self._intake = intake
        self._store = store
        self._clock = clock
        self._check_feasibility = check_feasibility
        self._ready = ready
        self._observer = observer
        self._console = console

    def application(self, *, max_body_bytes: int) -> web.Application:
        """Returns the aiohttp application with all routes."""
        application = web.Application(
            client_max_size=max_body_bytes, middlewares=[problem.middleware]
        )
        application.add_routes(
            [
                web.post("/v1/requests", self._post_request),
                web.post("/v1/submissions", self._post_submission),
                web.post("/v1/keys", self._post_keys),
                web.get("/v1/keys/{key}", self._get_key),
                web.delete("/v1/keys/{key}", self._delete_key),
                web.get("/healthz", self._get_healthz),
                web.get("/readyz", self._get_readyz),
                *self._console.routes(),
            ]
        )
        return application

    def interrupted(self, request: web.BaseRequest) -> web.Response:
        """Returns the answer to a request that the stop of the entry ends.

        Work of which this entry is the home has been answered before, so it is
        one that another entry may have run, or one that is not whole.
        """
        if not request.content.is_eof():
            return problem.outcome_response(
                outcomes.NotRun(outcomes.Cause.STOPPING, _STOPPING, 0.0)
            )
        key = request.headers.get(KEY_HEADER)
        return problem.outcome_response(
            outcomes.Unknown(
                outcomes.Cause.STOPPING,
                _STOPPING,
                ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_MS,
            ),
            key=key if key and _validate_key(key) is None else "",
        )

    async def _post_request(self, request: web.Request) -> web.Response:
        text = await request.read()
        body = _decode(text, _RequestBody)
        if isinstance(body, web.Response):
            return self._record_invalid_body(body)
        deadline_ms = self._clock.wall_ms() + body.timeout_ms
        task = work_module.Task(bytes(body.payload), body.need)

        def build(key: str) -> work_module.Work:
            return work_module.Request(
                key, body.team, body.kind, deadline_ms, task, body.idempotent
            )

        return await self._submit(request, text, build, (task,))

    async def _post_submission(self, request: web.Request) -> web.Response:
        text = await request.read()
        body = _decode(text, _SubmissionBody)
        if isinstance(body, web.Response):
            return self._record_invalid_body(body)
        deadline_ms = self._clock.wall_ms() + body.timeout_ms
        tasks = tuple(
            work_module.Task(bytes(task.payload), task.need)
            for task in body.tasks
        )

        def build(key: str) -> work_module.Work:
            return work_module.Submission(
                key, body.team, body.kind, deadline_ms, tasks
            )

        return await self._submit(request, text, build, tasks)

    async def _submit(
        self,
        request: web.Request,
        text: bytes,
        build: Callable[[str], work_module.Work],
        tasks: tuple[work_module.Task, ...],
    ) -> web.Response:
        started_at = self._clock.monotonic()
        work = build("")
        key = request.headers.get(KEY_HEADER)
        rejection = self._validate(work, tasks) or _validate_key(key)
        if rejection is None:
            try:
                key, outcome = await self._intake.submit(
                    build, key=key, digest=xxhash.xxh3_128_hexdigest(text)
                )
            except errors.KeyInvalidError as error:
                rejection = _Rejection(str(error))
        if rejection is not None:
            outcome = outcomes.NotRun(rejection.cause, rejection.detail)
        self._observer.record_answer(
            key=key or "",
            kind=work.kind,
            team=work.team,
            tasks=len(tasks),
            outcome=outcome,
            seconds=self._clock.monotonic() - started_at,
        )
        if rejection is not None:
            return problem.outcome_response(
                outcome, http_status=rejection.http_status
            )
        return _respond(key or "", outcome)

    def _record_invalid_body(self, response: web.Response) -> web.Response:
        """Records a request whose body is invalid; returns its response."""
        self._observer.record_answer(
            key="",
            kind="",
            team="",
            tasks=0,
            outcome=outcomes.NotRun(outcomes.Cause.INVALID, "invalid body"),
            seconds=0.0,
        )
        return response

    def _validate(
        self, work: work_module.Work, tasks: tuple[work_module.Task, ...]
    ) -> _Rejection | None:
        document = self._store.current.document
        if work.kind not in document.product.kinds:
            return _Rejection(f"unknown kind {work.kind!r}", _UNPROCESSABLE)
        if work.team not in document.operations.team_quotas:
            return _Rejection(f"unknown team {work.team!r}", _UNPROCESSABLE)
        for need in {task.need for task in tasks}:
            if min(need.cores, need.memory_mb, need.accelerators) < 0:
                return _Rejection(f"negative need {need}", _UNPROCESSABLE)
            not_run = self._check_feasibility(work.kind, need)
            if not_run is not None:
                return _Rejection(
                    not_run.detail, problem.status(not_run), not_run.cause
                )
        return None

    async def _post_keys(self, request: web.Request) -> web.Response:
        body = _decode(await request.read() or b"{}", _KeysBody)
        if isinstance(body, web.Response):
            return body
        if not self._ready():
            # A key cannot be used once its home has stopped, so an entry that
            # is stopping or not ready issues none.
            return problem.outcome_response(
                outcomes.NotRun(
                    outcomes.Cause.STOPPING,
                    "this entry is not ready and issues no keys",
                    0.0,
                )
            )
        issued = {"keys": self._intake.issue_keys(body.count)}
        return web.Response(
            body=msgspec.json.encode(issued), content_type=_JSON
        )

    async def _get_key(self, request: web.Request) -> web.Response:
        return await self._respond_status(request, cancel=False)

    async def _delete_key(self, request: web.Request) -> web.Response:
        return await self._respond_status(request, cancel=True)

    async def _respond_status(
        self, request: web.Request, *, cancel: bool
    ) -> web.Response:
        key = request.match_info["key"]
        rejection = _validate_key(key)
        if rejection is not None:
            return problem.invalid_response(rejection.detail)
        try:
            outcome = await self._intake.status(
                key, team=request.query.get(_TEAM_PARAMETER), cancel=cancel
            )
        except errors.KeyInvalidError as error:
            return problem.invalid_response(str(error))
        if outcome is None:
            pending = {"key": key, "outcome": "pending"}
            return web.Response(
                status=_ACCEPTED,
                body=msgspec.json.encode(pending),
                content_type=_JSON,
            )
        return _respond(key, outcome)

    async def _get_healthz(self, _: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _get_readyz(self, _: web.Request) -> web.Response:
        if self._ready():
            return web.Response(text="ready")
        return web.Response(status=503, text="not ready")


def _decode(text: bytes, expected: type[_T]) -> _T | web.Response:
    try:
        return strict_json.decode(text, expected)
    except errors.MalformedError as error:
        return problem.invalid_response(str(error))


def _validate_key(key: str | None) -> _Rejection | None:
    """Rejects keys that claim rows, logs or headers cannot hold unchanged."""
    if key is None:
        return None
    if not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        return _Rejection(
            f"a key must have 1 to {_MAX_KEY_CHARACTERS} characters,"
            f" not {len(key)}"
        )
    if not (key.isascii() and key.isprintable()):
        return _Rejection("a key may contain printable ASCII characters only")
    return None


def _respond(key: str, outcome: outcomes.Outcome) -> web.Response:
    match outcome:
        case outcomes.Complete(answers=answers):
            body = {
                "key": key,
                "outcome": outcomes.label(outcome),
                "answers": [msgspec.Raw(answer) for answer in answers],
            }
            return web.Response(
                body=msgspec.json.encode(body), content_type=_JSON
            )
        case _:
            return problem.outcome_response(outcome, key=key)
