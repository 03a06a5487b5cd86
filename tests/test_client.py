"""The client library against an entry with scripted answers."""

import collections
import time
import unittest

from aiohttp import test_utils
from aiohttp import web

from sesameroad.caller import client as client_module
from sesameroad.model import outcomes

_COMPLETE = (200, {"outcome": "complete", "answers": [1]})


def _problem(status, outcome, cause, **members):
    return status, {"outcome": outcome, "cause": cause, **members}


class _Entry:
    """Gives scripted answers; None closes the connection without one."""

    def __init__(self, answers, key_answers=()):
        self.answers = collections.deque(answers)
        self.key_answers = collections.deque(key_answers)
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
        return self._answer(http, self.answers.popleft())

    async def _status(self, http):
        return self._answer(http, self.key_answers.popleft())

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

    def _answer(self, http, answer):
        if answer is None:
            http.transport.abort()
            return web.Response()
        status, body = answer
        subtype = "json" if status < 400 else "problem+json"
        return web.json_response(
            body, status=status, content_type=f"application/{subtype}"
        )


async def _run(answers, key_answers=(), **options):
    entry = _Entry(answers, key_answers)
    async with (
        entry.server,
        client_module.Client.open(
            [str(entry.server.make_url("/"))],
            team="t",
            options=client_module.Options(**options),
        ) as client,
    ):
        answer = await client.request("k", {}, timeout_ms=3_000)
    return answer, entry.sent


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against work that runs twice and against giving up too early."""

    async def test_lost_connection_resubmits_same_key_and_body(self):
        """Guards against a resend under a new key or body after a lost answer.

        The first send may have arrived, so the work would start a second time.
        """
        answer, sent = await _run([None, None, _COMPLETE])
        self.assertEqual(answer.outcome, outcomes.Complete((b"1",)))
        self.assertEqual(len(sent), 3)
        self.assertEqual(len(set(sent)), 1)

    async def test_new_key_after_not_run(self):
        """Guards against a retry under the key of a refusal.

        The home keeps the refusal, so the retry would be refused as well.
        """
        refusal = _problem(429, "not run", "overload")
        answer, sent = await _run([refusal, _COMPLETE])
        self.assertEqual(answer.sends, 2)
        self.assertNotEqual(sent[0][0], sent[1][0])

    async def test_new_key_after_unreachable_home_only_if_never_sent(self):
        """Guards against a new key while an earlier send may be running.

        The home of the key is unreachable for the entry that answers. Without
        an earlier send nothing was forwarded, and a new key is safe.
        """
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

    async def test_refusal_of_a_resend_does_not_allow_a_new_key(self):
        """Guards against a new key while the first send may be running.

        The entry of the second send refuses before it asks the home of the key.
        """
        refusal = _problem(503, "not run", "platform-down")
        _, sent = await _run([None, refusal, _COMPLETE])
        self.assertEqual(len({key for key, _ in sent}), 1)

    async def test_never_resubmits_after_unknown(self):
        """Guards against a second run of work with an unknown outcome."""
        unknown = _problem(410, "unknown", "endpoint-lost")
        answer, sent = await _run([unknown, _COMPLETE])
        self.assertEqual(len(sent), 1)
        self.assertEqual(
            answer.outcome, outcomes.Unknown(outcomes.Cause.ENDPOINT_LOST, "")
        )

    async def test_queries_unknown_outcome_at_the_suggested_time(self):
        """Guards against a query before the entry can know the outcome."""
        at_ms = int(time.time() * 1_000) + 200
        unknown = _problem(504, "unknown", "deadline", ask_again_at_ms=at_ms)
        answer, sent = await _run([unknown], [_COMPLETE])
        self.assertGreaterEqual(time.time() * 1_000, at_ms)
        self.assertIsInstance(answer.outcome, outcomes.Complete)
        self.assertEqual(len(sent), 1)

    async def test_retries_are_bounded(self):
        """Guards against endless retries while the fleet is overloaded."""
        refusal = _problem(429, "not run", "overload")
        answer, sent = await _run([refusal] * 9, max_sends=3)
        self.assertEqual(len(sent), 3)
        self.assertEqual(answer.outcome.cause, outcomes.Cause.OVERLOAD)
