"""Tests evacuated data centres: the state, starts there, and refusals."""

import asyncio
import dataclasses
import unittest

from sesameroad.jobs import coordinator
from sesameroad.jobs import partitioning
from sesameroad.membership import evacuations
from sesameroad.model import outcomes
from sesameroad.platform import evacuation_rows
from sesameroad.platform import row_store
from tests import _jobs
from tests import _virtual


class StateTest(unittest.TestCase):

    def test_older_state_does_not_override_a_newer_one(self):
        """Guards against a revoked evacuation that a late heartbeat restores."""
        changes = []
        state = evacuations.Evacuations(lambda: changes.append(1))
        state.adopt(5, ["dc1"], source="p1")
        state.adopt(9, [], source="p2")
        state.adopt(5, ["dc1"], source="p1")
        self.assertEqual((state.version, set(state.data_centres)), (9, set()))
        self.assertEqual(len(changes), 2)

    def test_changes_in_a_feed_refer_to_what_was_read_before(self):
        """Guards against losing data centres to a peer's newer state.

        The feed of an instance shows only what has changed since its own read.
        """
        state = evacuations.Evacuations()
        state.read(4, added=["dc1"], complete=True)
        state.adopt(8, [], source="p1")
        state.read(6, added=["dc2"], complete=False)
        self.assertEqual(state.data_centres, frozenset())
        state.read(9, added=["dc3"], removed=["dc1"], complete=False)
        self.assertEqual(state.data_centres, {"dc2", "dc3"})
        state.read(10, added=["dc3"], complete=True)
        self.assertEqual(state.data_centres, {"dc3"})

    def test_only_rows_of_evacuations_count(self):
        """Guards against a data centre named by another operator's row."""
        names = ["evacuate/z1", "config", "evacuate/", "x/evacuate/z2"]
        found = [
            evacuation_rows.decode(row_store.Row(n, 1, b"")) for n in names
        ]
        self.assertEqual(found, ["z1", None, None, None])


class _Site(_jobs.Site):
    """Two data centres with one endpoint each and a leader of both."""

    def __init__(self, *, known=True, **options):
        super().__init__(count=2, **options)
        self.change("e1", data_centre="dc2", labels=("b",))
        self.evacuations = evacuations.Evacuations(self._apply)
        self.version = 0
        self.scheduler = None
        if known:
            self.evacuate()

    def change(self, name, **fields):
        self.endpoints = [
            dataclasses.replace(e, **fields) if e.id == name else e
            for e in self.endpoints
        ]

    def evacuate(self, *data_centres):
        self.version += 1
        self.evacuations.read(self.version, added=data_centres, complete=True)

    def _apply(self):
        if self.scheduler is not None:
            self.scheduler.apply_evacuations()

    def starts_on(self, name):
        return self.fleet.endpoints[name].end_count


class EvacuationTest(_virtual.VirtualTimeTest):

    def leader(self, site):
        return site.leader(evacuations=site.evacuations)

    async def test_evacuated_data_centre_gets_no_start(self):
        """Guards against starts there; its capacity does not count either."""
        site = _Site()
        site.evacuate("dc1")
        async with self.leader(site) as leader:
            self.assertAlmostEqual(leader.free_cores, 16.0, places=3)
            outcome = await leader.submit(
                site.job(count=6, run_s=0.05), site.origin
            )
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.starts_on("e0"), 0)

    async def test_runs_in_progress_finish_and_waiting_tasks_go_elsewhere(self):
        """Guards against runs that an evacuation stops or starts twice."""
        site = _Site()
        async with self.leader(site) as site.scheduler:
            submitted = asyncio.create_task(
                site.scheduler.submit(
                    site.job(count=8, run_s=0.3, deadline_s=9, stretch=9),
                    site.origin,
                )
            )
            await asyncio.sleep(0.1)
            self.assertEqual(len(site.history.running), 4)
            site.evacuate("dc1")
            outcome = await submitted
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(site.history.starts), 8)
        self.assertEqual(site.starts_on("e0"), 2)

    async def test_job_that_can_run_only_there_is_refused_at_once(self):
        """Guards against a wait, or a false reason, until it is of no use."""
        site = _Site()
        site.evacuate("dc1")
        async with self.leader(site) as leader:
            job = dataclasses.replace(site.job(), required_label="a")
            began = site.clock.monotonic()
            outcome = await leader.submit(job, site.origin)
            self.assertEqual(site.clock.monotonic(), began)
            self.assertEqual(outcome.cause, outcomes.Cause.NO_ENDPOINT)
            self.assertIn("evacuated data centres: dc1", outcome.detail)
            waiting = asyncio.create_task(
                leader.submit(site.job("f" * 16, count=9), site.origin)
            )
            await asyncio.sleep(0.05)
            site.scheduler = leader
            site.evacuate("dc1", "dc2")
            outcome = await asyncio.wait_for(waiting, 0.01)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(outcome.cause, outcomes.Cause.NO_ENDPOINT)

    async def test_new_leader_waits_for_the_state(self):
        """Guards against a leader that starts tasks before it knows of it.

        It takes over while the data centre is being evacuated.
        """
        for known_after_s, expected in ((0.3, 0), (None, 1)):
            site = _Site(known=False)
            site.change("e1", leaving=True)
            async with self.leader(site) as leader:
                submitted = asyncio.create_task(
                    leader.submit(
                        site.job(count=1, run_s=0.05, deadline_s=9, stretch=9),
                        site.origin,
                    )
                )
                site.scheduler = leader
                if known_after_s is not None:
                    await asyncio.sleep(known_after_s)
                    self.assertEqual(len(site.history.starts), 0)
                    site.evacuations.adopt(7, ["dc1"], source="p1")
                await submitted
            self.assertEqual(len(site.history.starts), expected)

    async def test_queued_starts_are_withdrawn(self):
        """Guards against starts that were placed before a change and sent after.

        1,700 starts were queued for one endpoint, and the last was sent 5 s after
        it had begun to drain. Nothing counts against the endpoint.
        """
        changes = {
            "drains": {"leaving": True},
            "has started again": {"born_ms": 2_000},
            "is not listed": None,
            "is evacuated": {},
        }
        for name, fields in changes.items():
            site = _Site(cores=64.0)
            async with self.leader(site) as site.scheduler:
                submitted = asyncio.create_task(
                    site.scheduler.submit(
                        site.job(
                            count=400, cores=0.1, run_s=0.05, deadline_s=9
                        ),
                        site.origin,
                    )
                )
                await asyncio.sleep(0.02)
                endpoint = site.fleet.endpoints["e0"]
                (leased,) = [
                    leased
                    for leased in site.scheduler._pool
                    if leased.endpoint.id == "e0"
                ]
                queued = leased.starts.qsize()
                sent = endpoint.end_count + len(endpoint.running)
                if fields:
                    site.change("e0", **fields)
                elif fields is None:
                    del site.endpoints[0]
                else:
                    site.evacuate("dc1")
                site.scheduler.update(site.endpoints)
                self.assertGreater(queued, 2, name)
                self.assertEqual(leased.starts.qsize(), 0, name)
                await asyncio.sleep(0.002)
                now_sent = endpoint.end_count + len(endpoint.running)
                # Two orders were on their way.
                self.assertLessEqual(now_sent, sent + 2, name)
                outcome = await submitted
                if name == "has started again":
                    self.assertGreater(site.starts_on("e0"), now_sent)
                else:
                    self.assertEqual(site.starts_on("e0"), now_sent, name)
            self.assertEqual(outcome, outcomes.Complete(()), name)
            self.assertEqual(len(site.history.starts), 400, name)

    async def test_endpoint_is_given_little_more_than_it_can_start(self):
        """Guards against binding a wide job to one endpoint before it can start.

        The time to start all tasks must not grow: two connections with answers
        after 1 ms send 2,000 starts a second.
        """
        site = _Site(cores=64.0)
        site.change("e1", leaving=True)
        async with self.leader(site) as leader:
            leased, _ = leader._pool
            job = site.job(
                count=600, cores=0.1, run_s=0.01, deadline_s=9, stretch=99
            )
            began = site.clock.monotonic()
            submitted = asyncio.create_task(leader.submit(job, site.origin))
            longest = 0
            while not submitted.done():
                await asyncio.sleep(0.0005)
                longest = max(longest, leased.starts.qsize())
            took_s = site.clock.monotonic() - began
        self.assertEqual(await submitted, outcomes.Complete(()))
        self.assertEqual(longest, 16)
        self.assertLess(took_s, 0.4)

    async def test_tasks_wait_for_a_much_better_endpoint(self):
        """Guards against starts far from the data to save a few milliseconds."""
        site = _Site(cores=64.0)
        async with self.leader(site) as leader:
            job = dataclasses.replace(
                site.job(count=100, cores=0.1, run_s=0.05, deadline_s=9),
                preferred_label="a",
            )
            await leader.submit(job, site.origin)
        self.assertEqual(site.starts_on("e0"), 100)


class RecoveryTest(_virtual.VirtualTimeTest):

    async def test_load_returns_by_a_ramp(self):
        """Guards against all waiting tasks at once on a data centre taken back."""
        site = _Site(cores=64.0)
        site.change("e1", leaving=True)
        site.evacuate("dc1")
        async with site.leader(evacuations=site.evacuations) as site.scheduler:
            site.evacuate()
            free = [site.scheduler.free_cores]
            for _ in range(4):
                await asyncio.sleep(0.55)
                free.append(site.scheduler.free_cores)
        self.assertAlmostEqual(free[0], 16.0, places=3)
        self.assertAlmostEqual(free[4], 64.0, places=3)
        self.assertEqual(free, sorted(free))
        self.assertLess(free[2], 45.0)

    async def test_revocation_does_not_reduce_what_is_in_use(self):
        """Guards against a gap in the load after an evacuation by mistake."""
        site = _Site()
        async with site.leader(evacuations=site.evacuations) as site.scheduler:
            began = site.clock.monotonic()
            submitted = asyncio.create_task(
                site.scheduler.submit(
                    site.job(count=12, run_s=0.2, deadline_s=9, stretch=9),
                    site.origin,
                )
            )
            await asyncio.sleep(0.1)
            site.evacuate("dc1")
            site.evacuate()
            self.assertEqual(await submitted, outcomes.Complete(()))
            # Three waves of four runs.
            self.assertLess(site.clock.monotonic() - began, 0.7)

    async def test_cold_endpoint_counts_as_slow_until_it_is_warm(self):
        """Guards against work on a cold endpoint while another one is idle.

        A row that is read again without a new write does not extend the time.
        """
        site = _Site()
        site.change("e0", cold_remaining_ms=1_000)
        async with site.leader() as leader:
            slowness = []
            for _ in range(2):
                await leader.submit(
                    site.job(count=2, run_s=0.05, cores=1.0), site.origin
                )
                leased = next(iter(leader._pool))
                slowness.append(leased.slowness)
                self.assertEqual(site.starts_on("e0"), 0)
                await asyncio.sleep(0.4)
                leader.update(site.endpoints)
            await asyncio.sleep(0.4)
            slowness.append(leased.slowness)
        self.assertEqual(slowness, [1.5, 1.5, 1.0])


class _Route:

    def __init__(self, outcome):
        self.outcome = outcome
        self.asked = 0

    async def submit(self, job, *, moved, lent):
        self.asked += 1
        return self.outcome


class _Leaders:

    unserved_s = 60.0

    def __init__(self, routes):
        self.routes = routes

    def offers(self):
        return [partitioning.Offer(n, 99.0, 0.0) for n in sorted(self.routes)]

    def route(self, data_centre):
        return self.routes.get(data_centre)

    def reserve(self, data_centre, job):
        pass

    def mark_full(self, data_centre):
        pass


class OriginTest(_virtual.VirtualTimeTest):

    async def test_job_refused_by_an_evacuated_leader_goes_elsewhere(self):
        """Guards against a refusal while another data centre can run it.

        The job was sent before its origin knew of the evacuation.
        """
        refused = outcomes.NotRun(outcomes.Cause.NO_ENDPOINT, "evacuated")
        routes = {"dc1": _Route(refused), "dc2": _Route(outcomes.Complete(()))}
        state = evacuations.Evacuations()
        state.adopt(3, ["dc1"], source="p1")
        site = _jobs.Site(count=1)
        job_coordinator = coordinator.JobCoordinator(
            data_centre="dc1",
            leaders=_Leaders(routes),
            clock=site.clock,
            evacuations=state,
        )
        outcome = await job_coordinator.run(site.job())
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual([r.asked for r in routes.values()], [1, 1])
