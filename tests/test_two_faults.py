"""Tests with two simultaneous faults in a fleet of separate processes."""

import asyncio
import collections
import signal
import unittest

import aiohttp

from sesameroad.settings import settings
from standins import fleet

NOT_RUN = "not run"
COMPLETE = "complete"
PENDING = "pending"
UNKNOWN = "outcome unknown, will not be run again"


class TwoFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against second runs and wrong outcomes under two faults.

    Each test collects the outcomes that callers got and compares them with the
    starts that the endpoints recorded: no task may have been started twice, and
    none that was answered "not run" may have been started.
    """

    async def _open(self, *, data_centres, endpoints_each):
        timing = settings.Timing(key_lifetime_s=8.0, clock_skew_s=0.5)
        self.fleet = await self.enterAsyncContext(
            fleet.Fleet.open(
                data_centres=data_centres,
                endpoints_each=endpoints_each,
                timing=timing,
            )
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        await self.fleet.wait_linked()
        self.outcomes = []
        # Starts at endpoints that were killed and can no longer be asked.
        self.starts_at_killed = collections.Counter()
        return list(self.fleet.entries.values())

    async def _post(self, entry, key, *, tasks=0, sleep_ms=100):
        """Submits a request, or a submission if there are tasks.

        Returns:
            The body of the response, None if the connection was lost.
        """
        size = max(1, tasks)
        payloads = [
            {"sleep_ms": sleep_ms, "value": f"{key}/{n}"} for n in range(size)
        ]
        body = {"team": "storefront", "kind": "checkout"}
        if tasks:
            body["tasks"] = [{"payload": payload} for payload in payloads]
        else:
            body["payload"] = payloads[0]
        path = "submissions" if tasks else "requests"
        try:
            async with self.session.post(
                f"{entry.url}/v1/{path}",
                json=body,
                headers={"Idempotency-Key": key},
            ) as answer:
                body = await answer.json(content_type=None)
        except aiohttp.ClientError:
            return None
        self.outcomes.append((key, body["outcome"], size))
        if body["outcome"] == COMPLETE:
            # Each caller must get the answers to its own tasks, in order.
            own = [{"value": payload["value"]} for payload in payloads]
            self.assertEqual(body["answers"], own)
        return body

    def _start_posts(self, entry, keys, **options):
        return [
            asyncio.create_task(self._post(entry, key, **options))
            for key in keys
        ]

    async def _wait_until_accepted(self, entry, keys):
        """Waits until an entry has claimed chosen keys and accepted their work.

        An entry whose claim of a key takes too long, for example because of a
        pause, answers "not run" and keeps no refusal: it does not know whether
        it is the home of the key. Other attempts under the key may then run,
        also one that a peer relayed during the pause.
        """
        async with asyncio.timeout(10):
            for key in keys:
                url = f"{entry.url}/v1/keys/{key}"
                while True:
                    async with self.session.get(
                        url, params={"team": "storefront"}
                    ) as answer:
                        body = await answer.json(content_type=None)
                    if body["outcome"] in {PENDING, COMPLETE}:
                        break
                    await asyncio.sleep(0.02)

    async def _wait_until_started(self, endpoint):
        """Waits for a start at an endpoint; a busy machine may delay it."""
        url = f"{endpoint.url}/control/starts"
        async with asyncio.timeout(10):
            while True:
                async with self.session.get(url) as answer:
                    if await answer.json(content_type=None):
                        return
                await asyncio.sleep(0.02)

    async def _check_outcomes(self):
        """Compares the outcomes that callers got with the recorded starts."""
        starts = self.starts_at_killed + collections.Counter(
            await self.fleet.starts()
        )
        self.assertLessEqual(max(starts.values(), default=0), 1, starts)
        refused = {
            key for key, outcome, _ in self.outcomes if outcome == NOT_RUN
        }
        for key, outcome, size in self.outcomes:
            # The name of the work is an issued key itself; a chosen key is
            # prefixed with its team.
            name = key if key.startswith("sr1.") else f"storefront/{key}"
            started = sum(f"{name}/{n}" in starts for n in range(size))
            if key in refused:
                self.assertEqual(started, 0, f"{key} ran after a refusal")
            if outcome == COMPLETE:
                self.assertEqual(started, size, f"{key} is not complete")
        return starts

    async def test_home_killed_while_the_platform_loses_answers(self):
        """Guards against a new home for the keys of a home that was killed.

        Claims whose answers the platform loses must not let another entry start
        the same work.
        """
        first, *others = await self._open(data_centres=3, endpoints_each=1)
        await self.fleet.control(self.fleet.platform, "fault", b"lose-answers")
        names = [f"charge{n}" for n in range(8)]
        calls = self._start_posts(first, names, sleep_ms=1_500)
        submissions = self._start_posts(first, ["job"], tasks=12, sleep_ms=400)
        await asyncio.sleep(0.6)
        first.kill()
        self.assertEqual(
            await asyncio.gather(*calls, *submissions),
            [None] * (len(names) + 1),
        )
        before = await self._check_outcomes()
        self.assertTrue(before, "nothing ran before the kill")
        resubmissions = [
            call
            for entry in others * 2
            for call in (
                *self._start_posts(entry, names, sleep_ms=1_500),
                *self._start_posts(entry, ["job"], tasks=12, sleep_ms=400),
            )
        ]
        bodies = await asyncio.gather(*resubmissions)
        self.assertEqual({body["outcome"] for body in bodies}, {UNKNOWN})
        # New keys sent to both entries at once must get one home each, although
        # the platform still loses answers.
        new = [f"new{n}" for n in range(5)]
        calls = [
            c for entry in others * 2 for c in self._start_posts(entry, new)
        ]
        bodies = await asyncio.gather(*calls)
        self.assertEqual({body["outcome"] for body in bodies}, {COMPLETE})
        after = await self._check_outcomes()
        self.assertEqual(
            set(after) - set(before), {f"storefront/{key}/0" for key in new}
        )

    async def test_endpoint_killed_while_an_entry_is_paused(self):
        """Guards against repeated tasks after a pause of their entry.

        The entry resumes when the endpoint that was running its tasks has been
        killed and their answers are lost.
        """
        first, second = await self._open(data_centres=2, endpoints_each=2)
        names = [f"charge{n}" for n in range(12)]
        # Long enough for the tasks to be running still at the kill, which a
        # busy machine may delay.
        sleep_ms = 1_500
        calls = self._start_posts(first, names, sleep_ms=sleep_ms)
        submissions = self._start_posts(first, ["job"], tasks=30, sleep_ms=200)
        killed_endpoint = self.fleet.endpoints["dc1-endpoint1"]
        await self._wait_until_accepted(first, [*names, "job"])
        await self._wait_until_started(killed_endpoint)
        first.signal(signal.SIGSTOP)
        # Lets the endpoint read requests that were still in a socket buffer.
        await asyncio.sleep(0.05)
        self.assertTrue(
            await self._check_outcomes(), "nothing ran before the pause"
        )
        async with self.session.get(
            f"{killed_endpoint.url}/control/starts"
        ) as answer:
            killed_starts = collections.Counter(
                await answer.json(content_type=None)
            )
        killed_endpoint.kill()
        self.starts_at_killed += killed_starts
        early = await asyncio.gather(
            *self._start_posts(second, names, sleep_ms=sleep_ms)
        )
        self.assertEqual({body["outcome"] for body in early}, {UNKNOWN})
        first.signal(signal.SIGCONT)
        bodies = await asyncio.gather(*calls, *submissions)
        self.assertTrue(all(bodies), "a caller got no response")
        await self._check_outcomes()
        # Some tasks were in flight at the endpoint that was killed.
        self.assertTrue({b["outcome"] for b in bodies} - {COMPLETE})
        await self.fleet.wait_linked()
        late = await asyncio.gather(
            *self._start_posts(second, names, sleep_ms=sleep_ms)
        )
        self.assertEqual(
            [body["outcome"] for body in late],
            [body["outcome"] for body in bodies[: len(names)]],
        )
        await asyncio.sleep(0.5)
        await self._check_outcomes()
