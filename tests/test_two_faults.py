"""Two faults at a time, over separate processes."""

import asyncio
import signal
import unittest

import aiohttp

from sesameroad.settings import settings as settings_module
from standins import fleet as fleets

NOT_RUN = "not run"
COMPLETE = "complete"
UNKNOWN = "outcome unknown, will not be run again"


class TwoFaultsTest(unittest.IsolatedAsyncioTestCase):
    """The endpoints' record of starts decides what ran.

    Each test keeps what callers were told. At the end no task was started
    twice, and nothing that was called "not run" was started.
    """

    async def _open(self, *, data_centres, endpoints_each):
        timing = settings_module.Timing(key_lifetime_s=8.0, clock_skew_s=0.5)
        self.fleet = await self.enterAsyncContext(
            fleets.Fleet.open(
                data_centres=data_centres,
                endpoints_each=endpoints_each,
                timing=timing,
            )
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        await self.fleet.wait_linked()
        self.told = []
        return list(self.fleet.entries.values())

    async def _post(self, entry, key, *, tasks=0, sleep_ms=100):
        """Submits a request, or a job; returns the body, None if cut off."""
        payload = {"sleep_ms": sleep_ms, "value": key}
        body = {"team": "storefront", "kind": "checkout"}
        body |= (
            {"tasks": [{"payload": payload}] * tasks}
            if tasks
            else {"payload": payload}
        )
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
        self.told.append((key, body["outcome"], max(1, tasks)))
        return body

    def _start(self, entry, keys, **options):
        return [
            asyncio.create_task(self._post(entry, key, **options))
            for key in keys
        ]

    async def _check(self, before=None):
        """Compares what callers were told with what was started."""
        starts = dict(before or {})
        for task, count in (await self.fleet.starts()).items():
            starts[task] = max(starts.get(task, 0), count)
        self.assertLessEqual(max(starts.values(), default=0), 1, starts)
        refused = {k for k, outcome, _ in self.told if outcome == NOT_RUN}
        for key, outcome, size in self.told:
            # An issued key names its work; a chosen one has its team before it.
            name = key if key.startswith("sr1.") else f"storefront/{key}"
            ran = sum(f"{name}/{n}" in starts for n in range(size))
            if key in refused:
                self.assertEqual(ran, 0, f"{key} ran after a refusal")
            if outcome == COMPLETE:
                self.assertEqual(ran, size, f"{key} is not complete")
        return starts

    async def test_home_killed_while_the_platform_loses_answers(self):
        """Two other entries that get the key must not become its home."""
        first, *others = await self._open(data_centres=3, endpoints_each=1)
        await self.fleet.control(self.fleet.platform, "fault", b"lose-answers")
        names = [f"charge{n}" for n in range(8)]
        calls = self._start(first, names, sleep_ms=1_500)
        jobs = self._start(first, ["job"], tasks=12, sleep_ms=400)
        await asyncio.sleep(0.6)
        first.kill()
        self.assertEqual(
            await asyncio.gather(*calls, *jobs), [None] * (len(names) + 1)
        )
        before = await self._check()
        self.assertTrue(before, "nothing ran before the kill")
        again = [
            call
            for entry in others * 2
            for call in (
                *self._start(entry, names, sleep_ms=1_500),
                *self._start(entry, ["job"], tasks=12, sleep_ms=400),
            )
        ]
        bodies = await asyncio.gather(*again)
        self.assertEqual({body["outcome"] for body in bodies}, {UNKNOWN})
        # New keys at both entries at once: one home each, in spite of the fault.
        new = [f"new{n}" for n in range(5)]
        calls = [c for entry in others * 2 for c in self._start(entry, new)]
        bodies = await asyncio.gather(*calls)
        self.assertEqual({body["outcome"] for body in bodies}, {COMPLETE})
        after = await self._check(before)
        self.assertEqual(
            set(after) - set(before), {f"storefront/{key}/0" for key in new}
        )

    async def test_endpoint_killed_while_an_entry_is_paused(self):
        """The entry wakes to lost answers, and must not repeat their tasks."""
        first, second = await self._open(data_centres=2, endpoints_each=2)
        names = [f"charge{n}" for n in range(12)]
        calls = self._start(first, names, sleep_ms=400)
        jobs = self._start(first, ["job"], tasks=30, sleep_ms=200)
        await asyncio.sleep(0.25)
        # The record of the endpoint that dies is read before it does.
        first.signal(signal.SIGSTOP)
        before = await self._check()
        self.assertTrue(before, "nothing ran before the pause")
        victim = self.fleet.endpoints["dc1-endpoint1"]
        victim.kill()
        early = await asyncio.gather(*self._start(second, names, sleep_ms=400))
        self.assertEqual({body["outcome"] for body in early}, {UNKNOWN})
        first.signal(signal.SIGCONT)
        bodies = await asyncio.gather(*calls, *jobs)
        self.assertTrue(all(bodies), "a caller was cut off")
        # Some sends were in flight at the endpoint that died.
        self.assertTrue({b["outcome"] for b in bodies} - {COMPLETE})
        await self.fleet.wait_linked()
        late = await asyncio.gather(*self._start(second, names, sleep_ms=400))
        self.assertEqual(
            [body["outcome"] for body in late],
            [body["outcome"] for body in bodies[: len(names)]],
        )
        await asyncio.sleep(0.5)
        await self._check(before)
