"""Tests of the HTTP API: invalid input gets a 4xx response, never a 5xx."""

import asyncio
import json
import unittest
import zlib

from aiohttp import test_utils
import hypothesis
from hypothesis import strategies
import msgspec

from sesameroad.configuration import document
from sesameroad.entry import console
from sesameroad.entry import observer
from sesameroad.entry import web as web_module
from sesameroad.model import clocks
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.operators import access
from sesameroad.operators import recent_events
from sesameroad.peering import codec
from sesameroad.peering import messages
from sesameroad.settings import settings
from sesameroad.telemetry import burn
from sesameroad.telemetry import metrics as metrics_module
from standins import fleet
from tests import test_interpreter

_TOKEN = "a token of omar"
_REQUEST = {"team": "storefront", "kind": "lookup", "payload": {}}
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(), inner, max_size=3),
    max_leaves=5,
)
_FIELDS = strategies.fixed_dictionaries(
    {},
    optional={
        "team": strategies.sampled_from(["storefront", "", "\x00"]) | _JSON,
        "kind": strategies.sampled_from(["lookup", "\ud800"]) | _JSON,
        "payload": _JSON,
        "tasks": strategies.lists(
            strategies.fixed_dictionaries({"payload": _JSON})
        ),
        "timeout_ms": strategies.integers() | _JSON,
        "idempotent": strategies.booleans() | _JSON,
        "need": strategies.dictionaries(
            strategies.sampled_from(["cores", "memory_mb", "accelerators"]),
            strategies.integers(),
        ),
        "count": strategies.integers() | _JSON,
        "command": strategies.text(),
    },
)


class _Intake:
    """Answers "complete" to work that can be encoded as a relay request."""

    def __init__(self):
        self.accepted = 0

    async def submit(self, build, *, key, digest):
        work = build(key or "k")
        relay = messages.RelayRequest(1, messages.Purpose.HOME, work, digest, 1)
        codec.encode([relay])
        self.accepted += 1
        return work.key, outcomes.Complete((b"1",) * len(work.tasks))

    def issue_keys(self, count):
        return ["k"] * count

    async def status(self, key, *, cancel=False):
        return None


class _Store:
    current = document.fallback_version(fleet.default_document())


def _check_feasibility(_: str, need: needs.Need) -> outcomes.NotRun | None:
    if need.cores <= 1:
        return None
    return outcomes.NotRun(
        outcomes.Cause.NO_ENDPOINT, "no endpoint is as large"
    )


def _server(intake):
    clock = clocks.Clock()
    metrics = metrics_module.Metrics(
        lambda: metrics_module.Figures({}, 0, 0, 0, 0, 0)
    )
    operator = settings.Operator("omar", document.Role.OPERATIONS, _TOKEN)
    web = web_module.Web(
        intake=intake,
        store=_Store(),
        clock=clock,
        check_feasibility=_check_feasibility,
        ready=lambda: True,
        observer=observer.Observer(
            metrics=metrics,
            burn=burn.Burn(),
            recent_events=recent_events.RecentEvents(),
            clock=clock,
            configuration=lambda: _Store.current.document,
        ),
        console=console.Console(
            access=access.Access([operator]),
            interpreter=test_interpreter.interpreter(),
            metrics=metrics,
        ),
    )
    return test_utils.TestServer(web.application(max_body_bytes=100_000))


class WebTest(unittest.IsolatedAsyncioTestCase):
    """Guards against invalid input that is run or answered with a 5xx."""

    async def asyncSetUp(self):
        self.intake = _Intake()
        self.client = test_utils.TestClient(_server(self.intake))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def _expect(self, status, method, path, body=None, **headers):
        text = body
        if body is not None and not isinstance(body, bytes):
            text = msgspec.json.encode(body)
        async with self.client.request(
            method,
            path,
            data=text,
            headers={n.replace("_", "-"): v for n, v in headers.items()},
        ) as answer:
            self.assertEqual(answer.status, status, await answer.text())
            self.assertEqual(answer.content_type, "application/problem+json")
            problem = await answer.json(content_type=None)
        self.assertEqual(problem["status"], status)
        self.assertEqual(self.intake.accepted, 0)
        return problem

    async def test_bad_work_is_refused_as_not_run(self):
        """Guards against invalid work that is run or has an unclear outcome."""
        cases = {
            "malformed": (400, b"{", {}),
            "no object": (400, b"[]", {}),
            "nested too deeply": (400, b"[" * 90_000, {}),
            "invalid UTF-8": (400, b'{"team": "\xff"}', {}),
            "over the limit": (413, b" " * 100_001, {}),
            "deep payload": (400, b'{"payload":' + b"[" * 90_000, {}),
            "compressed": (
                415,
                zlib.compress(b"{}"),
                {"Content_Encoding": "deflate"},
            ),
            "unknown kind": (422, {**_REQUEST, "kind": "x"}, {}),
            "unknown team": (422, {**_REQUEST, "team": "x"}, {}),
            "timeout": (400, {**_REQUEST, "timeout_ms": 0}, {}),
            "exceeds all endpoints": (
                422,
                {**_REQUEST, "need": {"cores": 2}},
                {},
            ),
            "negative": (422, {**_REQUEST, "need": {"memory_mb": -1}}, {}),
            "long key": (400, _REQUEST, {"Idempotency_Key": "k" * 256}),
            "empty key": (400, _REQUEST, {"Idempotency_Key": ""}),
            "tab in key": (400, _REQUEST, {"Idempotency_Key": "a\tb"}),
            "not ASCII": (400, _REQUEST, {"Idempotency_Key": "\xe9"}),
        }
        for name, (status, body, headers) in cases.items():
            with self.subTest(name):
                problem = await self._expect(
                    status, "POST", "/v1/requests", body, **headers
                )
                self.assertEqual(problem["outcome"], "not run")

    async def test_number_of_tasks_is_bounded(self):
        """Guards against submissions without tasks or with too many."""
        body = {**_REQUEST, "tasks": [{"payload": 1}] * 1_101}
        for tasks in (body["tasks"], []):
            await self._expect(
                400, "POST", "/v1/submissions", {**body, "tasks": tasks}
            )

    async def test_unknown_routes_and_methods(self):
        """Guards against wrong routes that get no problem details."""
        problem = await self._expect(404, "GET", "/v2/requests")
        self.assertIn("/v2/requests", problem["detail"])
        problem = await self._expect(405, "PUT", "/v1/requests")
        self.assertIn("POST", problem["detail"])
        await self._expect(400, "GET", "/v1/keys/a%00b")
        await self._expect(400, "POST", "/v1/keys", {"count": 1_001})

    async def test_operators_need_a_token_and_a_valid_command(self):
        """Guards against commands from others than the listed operators."""
        path, body = "/v1/operator/commands", {"command": "show fleet"}
        for header in ("", "Bearer x", f"Basic {_TOKEN}", "Bearer \xe9"):
            await self._expect(401, "POST", path, body, Authorization=header)
        await self._expect(401, "GET", "/v1/operator/burn")
        allowed = {"Authorization": f"Bearer {_TOKEN}"}
        await self._expect(400, "POST", path, {}, **allowed)
        for command, status in {
            "show x": 400,
            "set kind lookup share 2": 403,
            "set retries 1 if version 0": 409,
            test_interpreter.UNCONFIRMED: 504,
        }.items():
            await self._expect(
                status, "POST", path, {"command": command}, **allowed
            )

    async def test_unexpected_error_does_not_say_not_run(self):
        """Guards against "not run" for work that may be running.

        The work may have started before the response failed.
        """

        async def fail(*_, **__):
            raise RuntimeError("test")

        self.intake.submit = fail
        problem = await self._expect(500, "POST", "/v1/requests", _REQUEST)
        self.assertNotIn("outcome", problem)


class ArbitraryInputTest(unittest.TestCase):
    """Guards against failures on generated bodies."""

    def test_no_body_is_answered_with_5xx(self):
        """Guards against invalid input that the handlers do not expect."""
        with asyncio.Runner() as runner:
            client = runner.run(self._client())

            @hypothesis.given(
                strategies.sampled_from(
                    ["requests", "submissions", "keys", "operator/commands"]
                ),
                strategies.binary()
                | _FIELDS.map(
                    lambda fields: json.dumps(
                        {"team": "storefront", "kind": "lookup", **fields}
                    ).encode()
                ),
            )
            def post(path, body):
                status = runner.run(self._post(client, path, body))
                self.assertLess(status, 500)

            post()
            runner.run(client.close())

    async def _client(self):
        client = test_utils.TestClient(_server(_Intake()))
        await client.start_server()
        return client

    async def _post(self, client, path, body):
        async with client.post(
            f"/v1/{path}",
            data=body,
            headers={"Authorization": f"Bearer {_TOKEN}"},
        ) as answer:
            await answer.read()
            return answer.status
