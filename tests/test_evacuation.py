"""Tests evacuated data centres: the state, starts there, and refusals."""

import asyncio
import dataclasses
import math

from sesameroad.membership import evacuations
from sesameroad.model import outcomes
from sesameroad.platform import evacuation_rows
from sesameroad.platform import row_store
from tests import _jobs
from tests import _virtual

_DONE = outcomes.Complete(())


class _Site(_jobs.Site):
    """Two data centres with one endpoint each, and a leader of both."""

    def __init__(self, **options):
        super().__init__(count=2, **options)
        self.change(1, data_centre="dc2", labels=("b",))
        self.state = evacuations.Evacuations()

    def change(self, number, **fields):
        changed = dataclasses.replace(self.endpoints[number], **fields)
        self.endpoints[number] = changed

    def evacuate(self, *names, leader=None):
        version = self.state.version + 1
        self.state.read(version, added=names, complete=True)
        if leader is not None:
            leader.apply_evacuations()

    def submit(self, leader, *, label="", **options):
        job = self.job(deadline_s=9, stretch=9, **options)
        job = dataclasses.replace(
            job, required_label=label, preferred_label="a"
        )
        return asyncio.create_task(leader.submit(job, self.origin))

    def starts_on(self, name):
        endpoint = self.fleet.endpoints[name]
        return endpoint.end_count + len(endpoint.running)


class EvacuationTest(_virtual.VirtualTimeTest):

    def test_newest_state_holds(self):
        """Guards against an old state, and a feed applied to a peer's state."""
        names = ["evacuate/dc1", "config", "evacuate/", "x/evacuate/dc2"]
        found = [
            evacuation_rows.decode(row_store.Row(n, 1, b"")) for n in names
        ]
        self.assertEqual(found, ["dc1", None, None, None])
        state = evacuations.Evacuations()
        state.read(4, added=["dc1"], complete=True)
        state.adopt(8, [], source="p1")
        state.adopt(4, ["dc1"], source="p2")
        state.read(6, added=["dc2"], complete=False)
        self.assertEqual(state.data_centres, frozenset())
        state.read(9, added=["dc3"], removed=["dc1"], complete=False)
        self.assertEqual(state.data_centres, {"dc2", "dc3"})

    async def test_runs_finish_and_tasks_go_elsewhere_or_are_refused(self):
        """Guards against stopped runs, starts there, and waits without use."""
        site = _Site()
        site.evacuate()
        async with site.leader(evacuations=site.state) as leader:
            submitted = site.submit(leader, count=8, run_s=0.3)
            await asyncio.sleep(0.1)
            site.evacuate("dc1", leader=leader)
            self.assertEqual(await submitted, _DONE)
            self.assertEqual(len(site.history.starts), 8)
            self.assertEqual(site.starts_on("e0"), 2)
            self.assertAlmostEqual(leader.free_cores, 16.0, places=3)
            job = site.submit(leader, key="a" * 16, label="a")
            refusal = await asyncio.wait_for(job, 0.01)
            self.assertIsInstance(refusal, outcomes.NotRun)
            self.assertEqual(refusal.cause, outcomes.Cause.NO_ENDPOINT)
            self.assertIn("evacuated data centres: dc1", refusal.detail)
            waiting = site.submit(leader, key="f" * 16, count=9)
            await asyncio.sleep(0.05)
            site.evacuate("dc1", "dc2", leader=leader)
            outcome = await asyncio.wait_for(waiting, 0.01)
            self.assertIsInstance(outcome, outcomes.Unknown)
            self.assertEqual(outcome.cause, outcomes.Cause.NO_ENDPOINT)
            self.assertEqual(leader.wait_s, math.inf)

    async def test_new_leader_waits_for_the_state(self):
        """Guards against a successor that starts tasks before it knows it."""
        for known_after_s, expected in ((0.3, 0), (9.0, 1)):
            site = _Site()
            site.change(1, leaving=True)
            async with site.leader(evacuations=site.state) as leader:
                submitted = site.submit(leader, count=1)
                await asyncio.sleep(known_after_s)
                site.evacuate("dc1", leader=leader)
                await submitted
            self.assertEqual(len(site.history.starts), expected)

    async def test_queued_starts_are_few_and_withdrawn(self):
        """Guards against starts that were placed before a change and sent after.

        1,700 starts were queued for one endpoint, and the last was sent 5 s after
        it had begun to drain. Nothing counts against the endpoint, and no task
        goes far from its data because the queue of a near endpoint is full.
        """
        for fields in ({"leaving": True}, {"born_ms": 2_000}, {}, None):
            site = _Site(cores=64.0)
            site.evacuate()
            async with site.leader(evacuations=site.state) as leader:
                leased = next(iter(leader._pool))
                submitted = site.submit(
                    leader, count=150, cores=0.1, run_s=0.05
                )
                await asyncio.sleep(0.02)
                self.assertIn(leased.starts.qsize(), range(3, 17))
                self.assertEqual(site.starts_on("e1"), 0)
                sent = site.starts_on("e0")
                if fields is None:
                    del site.endpoints[0]
                elif fields:
                    site.change(0, **fields)
                else:
                    site.evacuate("dc1", leader=leader)
                leader.update(site.endpoints)
                self.assertEqual(leased.starts.qsize(), 0)
                await asyncio.sleep(0.002)
                # Two orders were on their way.
                self.assertLessEqual(site.starts_on("e0"), sent + 2)
                self.assertEqual(await submitted, _DONE)
                is_used = leased.accepts_runs(site.clock.monotonic())
                self.assertEqual(is_used, fields == {"born_ms": 2_000})
            self.assertEqual(len(site.history.starts), 150)

    async def test_load_returns_by_a_ramp(self):
        """Guards against all tasks at once on endpoints that may be cold.

        What is in use at a revocation stays in use.
        """
        site = _Site()
        site.evacuate("dc1")
        async with site.leader(evacuations=site.state) as leader:
            submitted = site.submit(leader, count=2, run_s=9)
            free = []
            for _ in range(5):
                await asyncio.sleep(0.55)
                site.evacuate(leader=leader)
                free.append(round(leader.free_cores, 2))
            self.assertEqual((free[0], free[4]), (4.0, 16.0))
            self.assertLess(free[2], 14.0)
            self.assertEqual(free, sorted(free))
            site.evacuate("dc2", leader=leader)
            site.evacuate(leader=leader)
            self.assertAlmostEqual(leader.free_cores, 16.0, places=3)
            submitted.cancel()

    async def test_cold_endpoint_counts_as_slow_until_it_is_warm(self):
        """Guards against a row that extends the time when it is read again."""
        site = _Site()
        site.change(0, cold_remaining_ms=1_000)
        slowness = []
        async with site.leader() as leader:
            for _ in range(3):
                await asyncio.sleep(0.35)
                leader.update(site.endpoints)
                slowness.append(next(iter(leader._pool)).slowness)
        self.assertEqual(slowness, [1.5, 1.5, 1.0])
