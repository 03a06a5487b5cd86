"""Tests of at-most-once while entry processes are killed, paused or stopped."""

import asyncio
import contextlib
import signal
import time
import unittest

import aiohttp

from sesameroad.settings import settings
from standins import fleet

NOT_RUN = "not run"
UNKNOWN = "outcome unknown, will not be run again"

# How long a stopping entry still accepts work.
_NOTICE_S = 0.2
# Period of attempts of a caller, and time after which it gives up.
_RETRY_S = 0.2
_ANSWER_TIMEOUT_S = 15.0
# Longer than any test, also on a busy machine: an expired key has no outcome.
_KEY_LIFETIME_S = 120.0
# Lifetime of keys that expire during the test.
_SHORT_KEY_LIFETIME_S = 4.0


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against second runs and wrong outcomes.

    What ran is read from the starts that the endpoints recorded.
    """

    async def asyncSetUp(self):
        self.resources = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.resources.aclose)
        await self._open(key_lifetime_s=_KEY_LIFETIME_S)

    async def _open(self, *, key_lifetime_s):
        """Starts a fleet and a client, and ends those of before."""
        await self.resources.aclose()
        timing = settings.Timing(
            key_lifetime_s=key_lifetime_s,
            clock_skew_s=0.5,
            stop_notice_s=_NOTICE_S,
        )
        opened = fleet.Fleet.open(
            data_centres=2, endpoints_each=1, timing=timing
        )
        self.fleet = await self.resources.enter_async_context(opened)
        self.session = await self.resources.enter_async_context(
            aiohttp.ClientSession()
        )
        self.first, self.second = self.fleet.entries.values()
        await self.fleet.wait_linked()

    async def _post(self, entry, key, *, tasks=0, sleep_ms=100):
        """Submits a request, or a submission if there are tasks.

        Returns:
            The body of the response, None if the connection was lost.
        """
        payload = {"sleep_ms": sleep_ms, "value": key or ""}
        body = {"team": "storefront", "kind": "checkout"}
        if tasks:
            body["tasks"] = [{"payload": payload}] * tasks
        else:
            body["payload"] = payload
        path = "submissions" if tasks else "requests"
        url = f"{entry.url}/v1/{path}"
        headers = {"Idempotency-Key": key} if key else {}
        try:
            async with self.session.post(
                url, json=body, headers=headers
            ) as answer:
                return await answer.json(content_type=None)
        except aiohttp.ClientError:
            return None

    async def _post_again(self, entry, key):
        """Submits a request again until the entry finds the home of its key.

        An entry that cannot read the claim of a key within 0.5 s refuses the
        attempt as `platform-down`. That says nothing about earlier attempts, and
        callers must send the same key again.
        """
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            while True:
                body = await self._post(entry, key)
                if body.get("cause") != "platform-down":
                    return body
                await asyncio.sleep(_RETRY_S)

    async def _is_ready(self, entry):
        async with self.session.get(f"{entry.url}/readyz") as answer:
            return answer.status == 200

    async def _keys(self, entry, count=1):
        url = f"{entry.url}/v1/keys"
        async with self.session.post(url, json={"count": count}) as answer:
            return (await answer.json())["keys"]

    async def _assert_started_at_most_once(self):
        starts = await self.fleet.starts()
        self.assertLessEqual(max(starts.values(), default=0), 1)
        return starts

    async def test_key_of_a_killed_home_is_not_run_elsewhere(self):
        """Guards against a second run at the entry that callers turn to."""
        (issued,) = await self._keys(self.first)
        submissions = [
            asyncio.create_task(self._post(self.first, key, tasks=20))
            for key in ("chosen", issued)
        ]
        await asyncio.sleep(0.25)
        self.first.kill()
        self.assertEqual(await asyncio.gather(*submissions), [None, None])
        before = await self._assert_started_at_most_once()
        self.assertTrue(before)
        for key in ("chosen", issued):
            body = await self._post(self.second, key, tasks=20)
            self.assertEqual(body["outcome"], UNKNOWN)
            self.assertIn("ask_again_at_ms", body)
        await asyncio.sleep(0.3)
        after = await self._assert_started_at_most_once()
        self.assertEqual(before.keys(), after.keys())

    async def test_home_paused_past_expiry_starts_nothing_late(self):
        """Guards against starts by a home that wakes after its key expired.

        Other entries have already given a final outcome by then.
        """
        await self._open(key_lifetime_s=_SHORT_KEY_LIFETIME_S)
        (key,) = await self._keys(self.first)
        expiry_s = int(key.split(".")[3]) / 1_000
        submission = asyncio.create_task(self._post(self.first, key, tasks=60))
        await asyncio.sleep(0.25)
        self.first.signal(signal.SIGSTOP)
        early = await self._post(self.second, key, tasks=60)
        self.assertEqual(
            (early["outcome"], early["cause"]), (UNKNOWN, "home-lost")
        )
        await asyncio.sleep(max(0.0, expiry_s + 0.6 - time.time()))
        late = await self._post(self.second, key, tasks=60)
        self.assertEqual(
            (late["outcome"], late["cause"]), (UNKNOWN, "key-expired")
        )
        self.assertNotIn("ask_again_at_ms", late)
        before = await self._assert_started_at_most_once()
        self.first.signal(signal.SIGCONT)
        self.assertIn((await submission)["outcome"], {"failed", UNKNOWN})
        await asyncio.sleep(0.5)
        self.assertEqual(await self.fleet.starts(), before)

    async def test_claims_on_a_faulty_platform(self):
        """Guards against wrong outcomes when the platform fails during a claim.

        A write whose answer is lost, or that is applied late, may leave a claim
        row although the caller got "not run"; the key must then still run
        at most once.
        """
        platform, entries = self.fleet.platform, (self.first, self.second)
        await self.fleet.control(platform, "fault", b"lose-answers")
        for entry in entries:
            body = await self._post(entry, "lost-answer")
            self.assertEqual(body["outcome"], "complete")
            url = f"{entry.url}/v1/keys/lost-answer"
            for query, status in (("", 400), ("?team=storefront", 200)):
                for ask in (self.session.get, self.session.delete):
                    async with ask(url + query) as answer:
                        self.assertEqual(answer.status, status)
        for fault in (b"down", b"slow"):
            await self.fleet.control(platform, "fault", fault)
            body = await self._post(self.first, fault.decode())
            self.assertEqual(
                (body["outcome"], body["cause"]), (NOT_RUN, "platform-down")
            )
            (issued,) = await self._keys(self.first)
            body = await self._post(self.first, issued)
            self.assertEqual(body["outcome"], "complete")
        await self.fleet.control(platform, "fault", b"none")
        # The stand-in for the platform applies a slow write after 5 s.
        await asyncio.sleep(6.0)
        starts = await self._assert_started_at_most_once()
        self.assertEqual(len(starts), 3, starts)
        bodies = await asyncio.gather(
            *(self._post(entry, "slow") for entry in entries * 3)
        )
        self.assertEqual({body["outcome"] for body in bodies}, {"complete"})
        await self._assert_started_at_most_once()

    async def test_stopping_entry_takes_work_until_it_has_been_noticed(self):
        """Guards against refused callers at the start of a graceful stop.

        The balancer sends callers to the entry until it sees a failed readiness
        check.
        """
        self.first.signal(signal.SIGTERM)
        async with asyncio.timeout(5):
            while await self._is_ready(self.first):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        body = await self._post(self.first, None, sleep_ms=50)
        self.assertEqual(body["outcome"], "complete")
        url = f"{self.first.url}/v1/keys"
        async with self.session.post(url) as answer:
            self.assertEqual(answer.status, 503, "a stopping entry issued keys")
        stopped = asyncio.to_thread(self.first.popen.wait, 40)
        self.assertEqual(await stopped, 0)

    async def test_signals_in_series_do_not_cut_a_stop_short(self):
        """Guards against a second signal that ends a graceful stop at once.

        SIGINT in the same turn of the event loop as SIGTERM did, and SIGHUP ended
        the process at any time.
        """
        post = asyncio.create_task(self._post(self.first, None, sleep_ms=800))
        await asyncio.sleep(0.3)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT) * 10:
            self.first.signal(number)
        body = await post
        self.assertEqual(body["outcome"], "complete")
        stopped = asyncio.to_thread(self.first.popen.wait, 40)
        self.assertEqual(await stopped, 0)

    async def test_graceful_stop_under_load_answers_every_request(self):
        """Guards against lost requests, and against outcomes that change.

        After the stop, another entry must give each key the same outcome.
        """
        chosen = [f"chosen{n}" for n in range(40)]
        sent = chosen + await self._keys(self.first, 20)
        (unsent,) = await self._keys(self.first)
        posts, noticed_at, in_notice = [], float("inf"), []
        for n, key in enumerate(sent):
            in_notice.append(time.monotonic() < noticed_at)
            posts.append(asyncio.create_task(self._post(self.first, key)))
            if n == len(sent) // 2:
                await asyncio.sleep(0.1)
                self.first.signal(signal.SIGTERM)
                noticed_at = time.monotonic() + _NOTICE_S
            await asyncio.sleep(0.002)
        bodies = await asyncio.gather(*posts)
        stopped = asyncio.to_thread(self.first.popen.wait, 40)
        self.assertEqual(await stopped, 0)
        # An entry that found no hand-off reads it again only after 1 s.
        await asyncio.sleep(1.1)
        starts = await self._assert_started_at_most_once()
        for key, body, noticed in zip(sent, bodies, in_notice, strict=True):
            if body is None and not noticed:
                # On a busy machine the request was sent after the stop notice,
                # when a balancer would no longer choose this entry.
                continue
            self.assertIsNotNone(body, f"{key} got no response")
            name = f"storefront/{key}/0" if key in chosen else f"{key}/0"
            ran = body["outcome"] == "complete"
            self.assertIn(body["outcome"], {"complete", NOT_RUN})
            self.assertEqual(starts.get(name, 0), int(ran))
            if ran or key not in chosen:
                again = await self._post_again(self.second, key)
                self.assertEqual(again["outcome"], body["outcome"], again)
                self.assertEqual(again.get("answers"), body.get("answers"))
        body = await self._post(self.second, unsent)
        self.assertEqual(body["cause"], "home-stopped")
        self.assertEqual(starts, await self.fleet.starts())
