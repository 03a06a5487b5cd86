"""Tests of the detection of queues that slow each other down.

The load is that of a leader: runs of queues on endpoints that hold two at a
time, with declared run times that are off by 40%.
"""

import asyncio
import dataclasses
import random
import unittest

import msgspec

from sesameroad import errors
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import interference_monitor
from sesameroad.jobs import neighbour_delays
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.leasing import runs
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _virtual

_CONFLICT = {("a", "b"): 2.0, ("b", "a"): 2.0}


class _Fleet:
    """Endpoints whose two slots are always in use.

    Attributes:
        slowdowns: Factors by slowed queue and queue alongside.
        endpoint_slowness: Factors by endpoint.
        kind_slowness: Factors by queue and number of cores of an endpoint.
        estimate_error: Factors by queue.
        choose: Returns the queue of the next run on an endpoint.
        now: Time in seconds.
    """

    def __init__(self, interference, *, count=8, cores=(64.0,)):
        self.state = interference
        self.slowdowns = {}
        self.endpoint_slowness = {}
        self.kind_slowness = {}
        self.estimate_error = {}
        self.rng = random.Random(1)
        self.choose = lambda endpoint: self.rng.choice("abc")
        self.now = 1_000.0
        self._numbers = 0
        self._left = {}
        self.pool = [
            leased_endpoint.LeasedEndpoint(
                endpoints.Endpoint(
                    id=f"e{number}",
                    url="",
                    data_centre="dc1",
                    kinds=("service",),
                    offer=needs.Need(cores[number % len(cores)], 1_000, 0),
                ),
                lease=leases.Lease(duration_s=1.0),
            )
            for number in range(count)
        ]
        for leased in self.pool:
            self._fill(leased)

    def _fill(self, leased):
        while len(leased.runs) < 2:
            self._numbers += 1
            queue = self.choose(leased.endpoint)
            work_s = 0.2 * self.rng.lognormvariate(0, 0.4)
            run = runs.Run(
                task=str(self._numbers),
                number=1,
                key="",
                job="",
                index=0,
                cores=1.0,
                memory_mb=0,
                accelerators=0,
                estimate_s=0.2,
                spec="",
                token=1,
                sent_at=self.now,
                queue=queue,
            )
            offer = leased.endpoint.offer
            work_s *= self.endpoint_slowness.get(leased.endpoint.id, 1.0)
            work_s *= self.kind_slowness.get((queue, offer.cores), 1.0)
            work_s *= self.estimate_error.get(queue, 1.0)
            leased.add(run)
            self._left[run.task] = work_s

    def play(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            for leased in self.pool:
                present = list(leased.runs.values())
                for run in present:
                    speed = 0.01
                    for other in present:
                        if other is not run:
                            pair = run.queue, other.queue
                            speed /= self.slowdowns.get(pair, 1.0)
                    self._left[run.task] -= speed
                for run in present:
                    if self._left[run.task] <= 0:
                        del self._left[run.task]
                        leased.remove(run)
                        self.state.run_ended(leased, run, now=self.now, tasks=1)
                self._fill(leased)
        return {(p.delayed, p.alongside): p.delay for p in self.state.pairs}


def _fleet(settings=None, **options):
    settings = settings or node.Interference(enabled=True)
    return _Fleet(interference_module.Interference(settings), **options)


class DetectionTest(unittest.TestCase):

    def test_conflict_is_detected_with_its_delay(self):
        """Guards against a missed pair, and blame on the third queue."""
        fleet = _fleet()
        fleet.slowdowns = _CONFLICT
        found = fleet.play(30.0)
        self.assertEqual(found.keys(), _CONFLICT.keys())
        for delay in found.values():
            self.assertAlmostEqual(delay, 1.0, delta=0.3)
        self.assertTrue(all(c.detected for c in fleet.state.take_changes()))

    def test_nothing_is_detected_without_interference(self):
        """Guards against pairs that are kept apart for nothing."""
        fleet = _fleet()
        fleet.play(300.0)
        self.assertEqual(fleet.state.take_changes(), [])

    def test_slow_endpoints_are_not_interference(self):
        """Two queues that prefer endpoints which become slow in the play."""
        fleet = _fleet()
        slow = {"e0", "e1", "e2"}
        fleet.choose = lambda endpoint: fleet.rng.choice(
            "aaabbbc" if endpoint.id in slow else "abccccc"
        )
        fleet.play(20.0)
        fleet.endpoint_slowness = dict.fromkeys(slow, 4.0)
        fleet.play(60.0)
        self.assertEqual(fleet.state.take_changes(), [])

    def test_slow_kind_of_endpoint_is_not_interference(self):
        """One queue is slow on half of the endpoints, where it meets another."""
        fleet = _fleet(cores=(64.0, 48.0))
        fleet.kind_slowness = {("a", 48.0): 3.0}
        fleet.choose = lambda endpoint: fleet.rng.choice(
            "abb" if endpoint.offer.cores == 48.0 else "acc"
        )
        fleet.play(90.0)
        self.assertEqual(fleet.state.take_changes(), [])

    def test_wrong_estimates_are_not_interference(self):
        """The estimates of a queue become wrong when another queue begins."""
        fleet = _fleet()
        fleet.choose = lambda endpoint: fleet.rng.choice("ac")
        fleet.play(30.0)
        fleet.estimate_error = {"a": 2.0}
        fleet.choose = lambda endpoint: fleet.rng.choice("aabbc")
        fleet.play(60.0)
        self.assertEqual(fleet.state.take_changes(), [])

    def test_conflict_is_detected_among_confounders(self):
        """Guards against terms that explain interference away."""
        fleet = _fleet(cores=(64.0, 48.0))
        fleet.slowdowns = _CONFLICT
        fleet.endpoint_slowness = {"e0": 3.0, "e3": 0.5}
        fleet.kind_slowness = {("a", 48.0): 2.0}
        fleet.estimate_error = {"b": 1.8}
        self.assertEqual(fleet.play(40.0).keys(), _CONFLICT.keys())

    def test_evidence_decays(self):
        """Guards against queues kept apart for ever after a new release."""
        settings = node.Interference(enabled=True, half_life_s=10.0)
        fleet = _fleet(settings)
        fleet.slowdowns = _CONFLICT
        fleet.play(30.0)
        fleet.slowdowns = {}
        self.assertEqual(fleet.play(60.0), {})
        self.assertIsNone(fleet.state.partners("a"))
        self.assertFalse(fleet.state.take_changes()[-1].detected)

    def test_pair_that_no_longer_meets_ends_after_some_half_lives(self):
        """Guards against a belief that is never tested again."""
        settings = node.Interference(enabled=True, half_life_s=5.0)
        fleet = _fleet(settings)
        fleet.slowdowns = _CONFLICT
        self.assertEqual(len(fleet.play(20.0)), 2)
        fleet.choose = lambda endpoint: (
            fleet.rng.choice("ac" if endpoint.id < "e4" else "bc")
        )
        self.assertEqual(fleet.play(120.0), {})

    def test_state_is_bounded(self):
        """Guards against memory that grows with names of queues and endpoints."""
        fleet = _fleet()
        fleet.play(5.0)
        leased = fleet.pool[0]
        run = next(iter(leased.runs.values()))
        for number in range(2_000):
            for end in range(40):
                fleet.now += 0.01
                run.sent_at = fleet.now - 0.2
                run.queue = f"q{number}"
                run.alongside = {f"n{end % 8 * 10 + i}": 0.1 for i in range(10)}
                fleet.state.run_ended(leased, run, now=fleet.now, tasks=1)
        for number in range(6_000):
            leased.endpoint = dataclasses.replace(
                leased.endpoint, id=f"x{number}", labels=(f"l{number}",)
            )
            fleet.state.run_ended(leased, run, now=fleet.now, tasks=1)
        neighbours = 512 * neighbour_delays.MAX_NEIGHBOURS
        sums = neighbours * (neighbour_delays.MAX_NEIGHBOURS + 1)
        self.assertGreater(fleet.state.state_size, sums / 2)
        self.assertLessEqual(
            fleet.state.state_size, sums + 512 * 64 + 4_096 + 1_024
        )

    def test_heavy_neighbour_displaces_light_ones(self):
        """Guards against a full table of queues that have become rare."""
        fleet = _fleet()
        fleet.choose = lambda endpoint: f"q{fleet.rng.randrange(40)}"
        fleet.play(20.0)
        fleet.slowdowns = {("q0", "a"): 2.0}
        fleet.choose = lambda endpoint: fleet.rng.choice(["q0", "a", "c"])
        self.assertIn(("q0", "a"), fleet.play(60.0))


class PinTest(unittest.TestCase):

    def test_pins_hold_in_both_directions(self):
        """Guards against a pin that the evidence overrules."""
        fleet = _fleet(
            node.Interference(
                enabled=True, apart=(("c", "d"),), harmless=(("b", "a"),)
            )
        )
        fleet.slowdowns = _CONFLICT
        self.assertEqual(len(fleet.play(30.0)), 2)
        self.assertIsNone(fleet.state.partners("a"))
        self.assertIsNone(fleet.state.partners("b"))
        self.assertIn("d", fleet.state.partners("c"))
        self.assertIn("c", fleet.state.partners("d"))

    def test_contradictory_pins_are_refused(self):
        """Guards against a pair that is pinned apart and harmless."""
        fields = {
            "instance_id": "i",
            "data_centre": "dc1",
            "data_centres": {"dc1": "r"},
            "max_lease_ms": 1,
            **dict.fromkeys(
                ("web", "ready", "peer", "metrics", "platform"), "127.0.0.1:1"
            ),
        }
        table = {"apart": [["a", "b"]], "harmless": [["b", "a"]]}
        text = msgspec.json.encode({**fields, "interference": table})
        with self.assertRaisesRegex(errors.SettingsError, "apart"):
            node.NodeSettings.from_json(text)


class MonitorTest(unittest.TestCase):

    def test_log_metrics_and_report_name_the_pair(self):
        """Guards against a detection that operators cannot see."""
        fleet = _fleet()
        fleet.slowdowns = _CONFLICT
        fleet.play(30.0)
        metrics = job_metrics.JobMetrics()
        monitor = interference_monitor.InterferenceMonitor(
            fleet.state, metrics=metrics
        )
        with self.assertLogs("absl", "INFO") as captured:
            monitor.check(fleet.now)
        self.assertEqual(
            {(r.getMessage(), r.delayed) for r in captured.records[:2]},
            {("interference detected", queue) for queue in "ab"},
        )
        self.assertEqual(captured.records[2].pairs, monitor.report(fleet.now))
        label = b'delay_ratio{alongside="a",delayed="b"}'
        self.assertIn(label, metrics.render())
        monitor.close()
        self.assertNotIn(label, metrics.render())


class AvoidanceTest(_virtual.VirtualTimeTest):
    """Placement with queues that are pinned apart, which needs no evidence."""

    _SETTINGS = node.Interference(enabled=True, apart=(("a", "b"),))

    async def _place(self, site, scheduler, **jobs_by_queue):
        """Runs a job of each queue and returns the queues on each endpoint."""
        calls = []
        for queue, count in jobs_by_queue.items():
            job = site.job(queue * 16, count=count, queue=queue)
            calls.append(scheduler.submit(job, site.origin))
        answers = asyncio.gather(*calls)
        await asyncio.sleep(0.1)
        placed = {
            name: "".join(sorted(task[0] for task in simulated.running))
            for name, simulated in site.fleet.endpoints.items()
        }
        await answers
        return sorted(placed.values())

    async def _placed(self, settings, **jobs_by_queue):
        site = _jobs.Site(count=2, cores=16.0)
        state = interference_module.Interference.from_settings(settings)
        async with site.leader(interference=state) as scheduler:
            return await self._place(site, scheduler, **jobs_by_queue)

    async def test_queues_are_kept_apart_where_there_is_capacity(self):
        """Guards against a charge that does not reach the placement."""
        placed = await self._placed(self._SETTINGS, a=1, b=1)
        self.assertEqual(placed, ["a", "b"])
        off = dataclasses.replace(self._SETTINGS, enabled=False)
        self.assertEqual(await self._placed(off, a=1, b=1), ["", "ab"])

    async def test_shortage_leaves_no_endpoint_idle(self):
        """Guards against a refusal or a wait instead of a bad neighbour."""
        placed = await self._placed(self._SETTINGS, a=1, b=3)
        self.assertEqual(placed, ["ab", "bb"])

    async def test_charge_yields_to_labels(self):
        """Guards against a task far from its data for a better neighbour."""
        site = _jobs.Site(count=2, cores=16.0)
        site.endpoints[0] = dataclasses.replace(site.endpoints[0], labels=())
        state = interference_module.Interference(self._SETTINGS)
        async with site.leader(interference=state) as scheduler:
            jobs = [
                dataclasses.replace(
                    site.job(queue * 16, count=1, queue=queue),
                    preferred_label="a",
                )
                for queue in "ab"
            ]
            calls = [scheduler.submit(job, site.origin) for job in jobs]
            answers = asyncio.gather(*calls)
            await asyncio.sleep(0.1)
            self.assertEqual(len(site.fleet.endpoints["e1"].running), 2)
            await answers

    async def test_next_leader_learns_anew(self):
        """Guards against a successor that is slower or inherits a belief."""
        site = _jobs.Site(count=4, cores=16.0)
        site.fleet.slowdowns.update(_CONFLICT)
        settings = node.Interference(enabled=True)
        for token in (1, 2):
            state = interference_module.Interference(settings)
            async with site.leader(token, interference=state) as scheduler:
                self.assertEqual(scheduler.interference_report, [])
                began = site.clock.monotonic()
                while not state.pairs:
                    await self._run_jobs(site, scheduler)
                    self.assertLess(site.clock.monotonic() - began, 30.0)
                report = scheduler.interference_report[0]
                self.assertIn(
                    (report["delayed"], report["alongside"]), _CONFLICT
                )
                self.assertGreater(report["delay_percent"], 30)

    async def _run_jobs(self, site, scheduler):
        rng = random.Random(site.clock.monotonic())
        calls = []
        for _ in range(8):
            queue = rng.choice("abc")
            run_s = 0.2 * rng.lognormvariate(0, 0.4)
            job = dataclasses.replace(
                site.job(f"{rng.getrandbits(64):016x}", count=1, queue=queue),
                spec=f"{run_s}/8/{queue}",
            )
            calls.append(scheduler.submit(job, site.origin))
        await asyncio.gather(*calls)
