"""The callers' library against a scripted entry."""

import collections
import time
import unittest

from aiohttp import test_utils
from aiohttp import web

from sesameroad.caller import client as clients
from sesameroad.model import outcome as outcomes

_COMPLETE = (200, {"outcome": "complete", "answers": [1]})


def _problem(status, outcome, cause, **members):
    return status, {"outcome": outcome, "cause": cause, **members}


class _Entry:
    """Answers by script; None closes the connection without an answer."""

    def __init__(self, script, statuses=()):
        self.script = collections.deque(script)
        self.statuses = collections.deque(statuses)
        self.sent = []
        self._issued = 0
        application = web.Application()
        application.add_routes(
            [
                web.post("/v1/requests", self._request),
                web.post("/v1/keys", self._keys),
                web.get("/v1/keys/{key}", self._status),
            ]
        )
        self.server = test_utils.TestServer(application)

    async def _request(self, http):
        key = http.headers["Idempotency-Key"]
        self.sent.append((key, await http.read()))
        return self._answer(http, self.script.popleft())

    async def _status(self, http):
        return self._answer(http, self.statuses.popleft())

    async def _keys(self, http):
        count = (await http.json())["count"]
        self._issued += count
        expiry_ms = int(time.time() * 1_000) + 60_000
        return web.json_response(
            {
                "keys": [
                    f"sr1.dc1.0.{expiry_ms}.{self._issued - n}.0"
                    for n in range(count)
                ]
            }
        )

    def _answer(self, http, step):
        if step is None:
            http.transport.abort()
            return web.Response()
        status, body = step
        kind = "json" if status < 400 else "problem+json"
        return web.json_response(
            body, status=status, content_type=f"application/{kind}"
        )


async def _run(script, statuses=(), **options):
    entry = _Entry(script, statuses)
    async with (
        entry.server,
        clients.Client.open(
            [str(entry.server.make_url("/"))],
            team="t",
            options=clients.Options(**options),
        ) as client,
    ):
        answer = await client.request("k", {}, timeout_ms=3_000)
    return answer, entry.sent


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against double runs and against work given up too early."""

    async def test_lost_connection_resubmits_same_key_and_body(self):
        """Another key or body would start the work a second time."""
        answer, sent = await _run([None, None, _COMPLETE])
        self.assertEqual(answer.outcome, outcomes.Complete((b"1",)))
        self.assertEqual(len(sent), 3)
        self.assertEqual(len(set(sent)), 1)

    async def test_new_key_after_not_run(self):
        """The home keeps a refusal under its key for good."""
        refusal = _problem(429, "not run", "overload")
        answer, sent = await _run([refusal, _COMPLETE])
        self.assertEqual(answer.sends, 2)
        self.assertNotEqual(sent[0][0], sent[1][0])

    async def test_new_key_after_unreachable_home_only_if_never_sent(self):
        unreachable = _problem(
            504, "unknown", "home-unreachable", ask_again_at_ms=2**50
        )
        answer, sent = await _run([unreachable, _COMPLETE])
        self.assertNotEqual(sent[0][0], sent[1][0])
        self.assertIsInstance(answer.outcome, outcomes.Complete)
        answer, sent = await _run([None, unreachable, _COMPLETE])
        self.assertEqual(len(sent), 2)
        self.assertEqual(sent[0][0], sent[1][0])
        self.assertIsInstance(answer.outcome, outcomes.Unknown)

    async def test_refusal_of_one_attempt_does_not_free_a_doubtful_key(self):
        """The first send may be running while the second one is refused."""
        refusal = _problem(503, "not run", "platform-down")
        _, sent = await _run([None, refusal, _COMPLETE])
        self.assertEqual(len({key for key, _ in sent}), 1)

    async def test_never_resubmits_after_unknown(self):
        unknown = _problem(410, "unknown", "endpoint-lost")
        answer, sent = await _run([unknown, _COMPLETE])
        self.assertEqual(len(sent), 1)
        self.assertEqual(
            answer.outcome, outcomes.Unknown(outcomes.Cause.ENDPOINT_LOST, "")
        )

    async def test_asks_again_at_the_time_named(self):
        at_ms = int(time.time() * 1_000) + 200
        unknown = _problem(504, "unknown", "deadline", ask_again_at_ms=at_ms)
        answer, sent = await _run([unknown], [_COMPLETE])
        self.assertGreaterEqual(time.time() * 1_000, at_ms)
        self.assertIsInstance(answer.outcome, outcomes.Complete)
        self.assertEqual(len(sent), 1)

    async def test_retries_are_bounded(self):
        refusal = _problem(429, "not run", "overload")
        answer, sent = await _run([refusal] * 9, max_sends=3)
        self.assertEqual(len(sent), 3)
        self.assertEqual(answer.outcome.cause, outcomes.Cause.OVERLOAD)
