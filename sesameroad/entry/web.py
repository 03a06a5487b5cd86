"""The HTTP service for callers."""

from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import TypeVar

from aiohttp import web
import msgspec
import xxhash

from sesameroad import errors
from sesameroad.configuration import store as stores
from sesameroad.entry import console as consoles
from sesameroad.entry import intake as intakes
from sesameroad.entry import observer as observers
from sesameroad.entry import problem
from sesameroad.model import clock as clocks
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works

KEY_HEADER = "Idempotency-Key"
_TEAM_PARAMETER = "team"
_JSON = "application/json"
_MAX_TIMEOUT_MS = 600_000
_MAX_KEYS = 1_000
_MAX_KEY_CHARACTERS = 255
_UNPROCESSABLE = 422
_ACCEPTED = 202

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
        list[_TaskBody], msgspec.Meta(min_length=1, max_length=works.MAX_TASKS)
    ]
    timeout_ms: _Timeout = 300_000


@dataclasses.dataclass(slots=True)
class _KeysBody:
    count: Annotated[int, msgspec.Meta(ge=1, le=_MAX_KEYS)] = 1


@dataclasses.dataclass(slots=True, frozen=True)
class _Refusal:
    """Why a request is refused before its home is known."""

    detail: str
    http_status: int = 400
    cause: outcomes.Cause = outcomes.Cause.INVALID


class Web:
    """Translates HTTP to work, and outcomes to HTTP."""

    __slots__ = (
        "_clock",
        "_console",
        "_infeasible",
        "_intake",
        "_observer",
        "_ready",
        "_store",
    )

    def __init__(
        self,
        *,
        intake: intakes.Intake,
        store: stores.Store,
        clock: clocks.Clock,
        infeasible: Callable[[str, needs.Need], outcomes.NotRun | None],
        ready: Callable[[], bool],
        observer: observers.Observer,
        console: consoles.Console,
    ) -> None:
        self._intake = intake
        self._store = store
        self._clock = clock
        self._infeasible = infeasible
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
                web.post("/v1/requests", self._request),
                web.post("/v1/submissions", self._submission),
                web.post("/v1/keys", self._keys),
                web.get("/v1/keys/{key}", self._status),
                web.delete("/v1/keys/{key}", self._cancel),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                *self._console.routes(),
            ]
        )
        return application

    async def _request(self, http: web.Request) -> web.Response:
        text = await http.read()
        body = _decode(text, _RequestBody)
        if isinstance(body, web.Response):
            return self._unreadable(body)
        deadline_ms = self._clock.wall_ms() + body.timeout_ms
        task = works.Task(bytes(body.payload), body.need)

        def build(key: str) -> works.Work:
            return works.Request(
                key, body.team, body.kind, deadline_ms, task, body.idempotent
            )

        return await self._submit(http, text, build, (task,))

    async def _submission(self, http: web.Request) -> web.Response:
        text = await http.read()
        body = _decode(text, _SubmissionBody)
        if isinstance(body, web.Response):
            return self._unreadable(body)
        deadline_ms = self._clock.wall_ms() + body.timeout_ms
        tasks = tuple(
            works.Task(bytes(task.payload), task.need) for task in body.tasks
        )

        def build(key: str) -> works.Work:
            return works.Submission(
                key, body.team, body.kind, deadline_ms, tasks
            )

        return await self._submit(http, text, build, tasks)

    async def _submit(
        self,
        http: web.Request,
        text: bytes,
        build: Callable[[str], works.Work],
        tasks: tuple[works.Task, ...],
    ) -> web.Response:
        began = self._clock.monotonic()
        work = build("")
        key = http.headers.get(KEY_HEADER)
        refusal = self._check(work, tasks) or _check_key(key)
        if refusal is None:
            try:
                key, outcome = await self._intake.submit(
                    build, key=key, digest=xxhash.xxh3_128_hexdigest(text)
                )
            except errors.KeyInvalidError as error:
                refusal = _Refusal(str(error))
        if refusal is not None:
            outcome = outcomes.NotRun(refusal.cause, refusal.detail)
        self._observer.record_answer(
            key=key or "",
            kind=work.kind,
            team=work.team,
            tasks=len(tasks),
            outcome=outcome,
            seconds=self._clock.monotonic() - began,
        )
        if refusal is not None:
            return problem.response(outcome, http_status=refusal.http_status)
        return _respond(key or "", outcome)

    def _unreadable(self, response: web.Response) -> web.Response:
        """Counts a request whose body is no valid work."""
        self._observer.record_answer(
            key="",
            kind="",
            team="",
            tasks=0,
            outcome=outcomes.NotRun(outcomes.Cause.INVALID, "invalid body"),
            seconds=0.0,
        )
        return response

    def _check(
        self, work: works.Work, tasks: tuple[works.Task, ...]
    ) -> _Refusal | None:
        content = self._store.current.document
        if work.kind not in content.product.kinds:
            return _Refusal(f"unknown kind {work.kind!r}", _UNPROCESSABLE)
        if work.team not in content.operations.team_quotas:
            return _Refusal(f"unknown team {work.team!r}", _UNPROCESSABLE)
        for need in {task.need for task in tasks}:
            if min(need.cores, need.memory_mb, need.accelerators) < 0:
                return _Refusal(f"negative need {need}", _UNPROCESSABLE)
            refusal = self._infeasible(work.kind, need)
            if refusal is not None:
                return _Refusal(
                    refusal.detail, problem.status(refusal), refusal.cause
                )
        return None

    async def _keys(self, http: web.Request) -> web.Response:
        body = _decode(await http.read() or b"{}", _KeysBody)
        if isinstance(body, web.Response):
            return body
        if not self._ready():
            # The home of a key should outlive it.
            return problem.response(
                outcomes.NotRun(
                    outcomes.Cause.STOPPING,
                    "this entry issues no keys now",
                    0.0,
                )
            )
        issued = {"keys": self._intake.issue_keys(body.count)}
        return web.Response(
            body=msgspec.json.encode(issued), content_type=_JSON
        )

    async def _status(self, http: web.Request) -> web.Response:
        return await self._ask(http, cancel=False)

    async def _cancel(self, http: web.Request) -> web.Response:
        return await self._ask(http, cancel=True)

    async def _ask(self, http: web.Request, *, cancel: bool) -> web.Response:
        key = http.match_info["key"]
        refusal = _check_key(key)
        if refusal is not None:
            return problem.invalid(refusal.detail)
        try:
            outcome = await self._intake.status(
                key, team=http.query.get(_TEAM_PARAMETER), cancel=cancel
            )
        except errors.KeyInvalidError as error:
            return problem.invalid(str(error))
        if outcome is None:
            running = {"key": key, "outcome": "pending"}
            return web.Response(
                status=_ACCEPTED,
                body=msgspec.json.encode(running),
                content_type=_JSON,
            )
        return _respond(key, outcome)

    async def _healthz(self, _: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _readyz(self, _: web.Request) -> web.Response:
        if self._ready():
            return web.Response(text="ready")
        return web.Response(status=503, text="not ready")


def _decode(text: bytes, expected: type[_T]) -> _T | web.Response:
    try:
        return msgspec.json.decode(text, type=expected)
    except msgspec.MsgspecError as error:
        return problem.invalid(str(error))
    except RecursionError:
        return problem.invalid("the body is nested too deeply")


def _check_key(key: str | None) -> _Refusal | None:
    """Refuses keys that claim rows, logs or headers cannot carry unchanged."""
    if key is None:
        return None
    if not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        return _Refusal(
            f"a key has 1 to {_MAX_KEY_CHARACTERS} characters, not {len(key)}"
        )
    if not (key.isascii() and key.isprintable()):
        return _Refusal("a key has printable ASCII characters only")
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
            return problem.response(outcome, key=key)
