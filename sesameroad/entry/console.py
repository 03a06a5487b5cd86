"""The HTTP API for operators."""

import dataclasses

from aiohttp import web
import msgspec

from sesameroad import errors
from sesameroad.entry import problem
from sesameroad.model import strict_json
from sesameroad.operators import access as access_module
from sesameroad.operators import interpreter as interpreter_module
from sesameroad.telemetry import metrics as metrics_module

_JSON = "application/json"


@dataclasses.dataclass(slots=True)
class _CommandBody:
    command: str


class Console:
    """Runs operators' commands that arrive over HTTP, and serves metrics."""

    __slots__ = ("_access", "_interpreter", "_metrics")

    def __init__(
        self,
        *,
        access: access_module.Access,
        interpreter: interpreter_module.Interpreter,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._access = access
        self._interpreter = interpreter
        self._metrics = metrics

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes for operators and for metrics."""
        return [
            web.post("/v1/operator/commands", self._post_command),
            web.get("/v1/operator/burn", self._get_burn),
            web.get("/metrics", self._get_metrics),
        ]

    async def _post_command(self, request: web.Request) -> web.Response:
        author = self._access.find(request.headers.get("Authorization"))
        if author is None:
            return problem.unauthorized_response()
        try:
            body = strict_json.decode(await request.read(), _CommandBody)
        except errors.MalformedError as error:
            return problem.error_response(
                "invalid", str(error), http_status=400
            )
        try:
            answer = await self._interpreter.run(body.command, author)
        except errors.SesameroadError as error:
            return _error_response(error)
        return web.Response(
            body=msgspec.json.encode(answer), content_type=_JSON
        )

    async def _get_burn(self, request: web.Request) -> web.Response:
        if self._access.find(request.headers.get("Authorization")) is None:
            return problem.unauthorized_response()
        rows, not_answered = await self._interpreter.burn()
        report = {"rows": rows, "not_answered": not_answered}
        return web.Response(
            body=msgspec.json.encode(report), content_type=_JSON
        )

    async def _get_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.text(),
            headers={"Content-Type": metrics_module.CONTENT_TYPE},
        )


def _error_response(error: errors.SesameroadError) -> web.Response:
    match error:
        case errors.RoleError():
            return problem.error_response("role", str(error), http_status=403)
        case errors.ConflictError():
            return problem.error_response(
                "conflict", str(error), http_status=409
            )
        case errors.ChangeUnknownError():
            return problem.error_response(
                "change-unknown", str(error), http_status=504
            )
        case errors.CommandError() | errors.ConfigurationError():
            return problem.error_response(
                "command", str(error), http_status=400
            )
        case _:
            return problem.error_response(
                "platform-down", str(error), http_status=503
            )
