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

    async def test_queued_start_is_checked_when_its_order_is_sent(self):
        """Guards against starts that were placed before the list has changed."""
        for change in (
            {"leaving": True},
            {"born_ms": 2_000},
            None,
        ):
            site = _Site(cores=64.0)
            async with self.leader(site) as leader:
                submitted = asyncio.create_task(
                    leader.submit(
                        site.job(
                            count=200, cores=0.1, run_s=0.05, deadline_s=9
                        ),
                        site.origin,
                    )
                )
                await asyncio.sleep(0.01)
                listed = list(site.endpoints)
                if change is None:
                    del listed[0]
                else:
                    listed[0] = dataclasses.replace(listed[0], **change)
                began = len(site.history.starts)
                queued = list(site.fleet.endpoints["e0"].running)
                leader.update(listed)
                await asyncio.sleep(0.02)
                if change != {"born_ms": 2_000}:
                    now = site.fleet.endpoints["e0"]
                    self.assertLessEqual(
                        now.end_count + len(now.running), len(queued) + 2
                    )
                outcome = await submitted
            self.assertGreater(200, began)
            self.assertEqual(outcome, outcomes.Complete(()), change)
            self.assertEqual(len(site.history.starts), 200, change)


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
