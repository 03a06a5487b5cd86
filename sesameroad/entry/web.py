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
from sesameroad.entry import intake as intakes
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


class Web:
    """Translates HTTP to work, and outcomes to HTTP."""

    __slots__ = ("_accepts", "_clock", "_intake", "_ready", "_store")

    def __init__(
        self,
        *,
        intake: intakes.Intake,
        store: stores.Store,
        clock: clocks.Clock,
        accepts: Callable[[str, needs.Need], bool],
        ready: Callable[[], bool],
    ) -> None:
        self._intake = intake
        self._store = store
        self._clock = clock
        self._accepts = accepts
        self._ready = ready

    def application(self, *, max_body_bytes: int) -> web.Application:
        """Returns the aiohttp application with all callers' routes."""
        application = web.Application(client_max_size=max_body_bytes)
        application.add_routes(
            [
                web.post("/v1/requests", self._request),
                web.post("/v1/submissions", self._submission),
                web.post("/v1/keys", self._keys),
                web.get("/v1/keys/{key}", self._status),
                web.delete("/v1/keys/{key}", self._cancel),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
            ]
        )
        return application

    async def _request(self, http: web.Request) -> web.Response:
        text = await http.read()
        body = _decode(text, _RequestBody)
        if isinstance(body, web.Response):
            return body
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
            return body
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
        refusal = self._check(build(""), tasks)
        if refusal is not None:
            return refusal
        try:
            key, outcome = await self._intake.submit(
                build,
                key=http.headers.get(KEY_HEADER),
                digest=xxhash.xxh3_128_hexdigest(text),
            )
        except errors.KeyInvalidError as error:
            return problem.invalid(str(error))
        return _respond(key, outcome)

    def _check(
        self, work: works.Work, tasks: tuple[works.Task, ...]
    ) -> web.Response | None:
        content = self._store.current.document
        if work.kind not in content.product.kinds:
            return problem.invalid(
                f"unknown kind {work.kind!r}", http_status=_UNPROCESSABLE
            )
        if work.team not in content.operations.team_quotas:
            return problem.invalid(
                f"unknown team {work.team!r}", http_status=_UNPROCESSABLE
            )
        for need in {task.need for task in tasks}:
            if not self._accepts(work.kind, need):
                return problem.response(
                    outcomes.NotRun(
                        outcomes.Cause.NO_ENDPOINT,
                        f"no endpoint can run kind {work.kind!r} with {need}",
                    )
                )
        return None

    async def _keys(self, http: web.Request) -> web.Response:
        body = _decode(await http.read() or b"{}", _KeysBody)
        if isinstance(body, web.Response):
            return body
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
