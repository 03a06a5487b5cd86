"""The HTTP service for operators."""

import dataclasses

from aiohttp import web
import msgspec

from sesameroad import errors
from sesameroad.entry import problem
from sesameroad.operators import access as accesses
from sesameroad.operators import interpreter as interpreters
from sesameroad.telemetry import metrics as metric_module

_JSON = "application/json"


@dataclasses.dataclass(slots=True)
class _CommandBody:
    command: str


class Console:
    """Translates HTTP to commands, and answers and errors to HTTP."""

    __slots__ = ("_access", "_interpreter", "_metrics")

    def __init__(
        self,
        *,
        access: accesses.Access,
        interpreter: interpreters.Interpreter,
        metrics: metric_module.Metrics,
    ) -> None:
        self._access = access
        self._interpreter = interpreter
        self._metrics = metrics

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of operators and of metrics."""
        return [
            web.post("/v1/operator/commands", self._command),
            web.get("/v1/operator/burn", self._burn),
            web.get("/metrics", self._read_metrics),
        ]

    async def _command(self, http: web.Request) -> web.Response:
        author = self._access.find(http.headers.get("Authorization"))
        if author is None:
            return problem.unauthorized()
        try:
            body = msgspec.json.decode(await http.read(), type=_CommandBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            return problem.refused("invalid", str(error), http_status=400)
        try:
            answer = await self._interpreter.run(body.command, author)
        except errors.SesameroadError as error:
            return _refusal(error)
        return web.Response(
            body=msgspec.json.encode(answer), content_type=_JSON
        )

    async def _burn(self, http: web.Request) -> web.Response:
        if self._access.find(http.headers.get("Authorization")) is None:
            return problem.unauthorized()
        rows, missing = await self._interpreter.burn()
        report = {"rows": rows, "not_answered": missing}
        return web.Response(
            body=msgspec.json.encode(report), content_type=_JSON
        )

    async def _read_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.text(),
            headers={"Content-Type": metric_module.CONTENT_TYPE},
        )


def _refusal(error: errors.SesameroadError) -> web.Response:
    match error:
        case errors.RoleError():
            return problem.refused("role", str(error), http_status=403)
        case errors.ConflictError():
            return problem.refused("conflict", str(error), http_status=409)
        case errors.ChangeUnknownError():
            return problem.refused(
                "change-unknown", str(error), http_status=504
            )
        case errors.CommandError() | errors.ConfigurationError():
            return problem.refused("command", str(error), http_status=400)
        case _:
            return problem.refused("platform-down", str(error), http_status=503)
