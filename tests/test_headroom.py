"""Tests of the cores that are kept for urgent jobs."""

import asyncio

from sesameroad.jobs import forecast
from sesameroad.jobs import headroom
from sesameroad.model import scheduling
from tests import _jobs
from tests import _load
from tests import _virtual


class HeadroomTest(_virtual.VirtualTimeTest):

    async def test_cores_are_kept_for_the_usual_arrivals_only(self):
        """Guards against idle cores after urgent jobs have ceased to come."""
        site = _jobs.Site()
        rule = headroom.Headroom(forecast.Forecast([]))
        long = site.job(run_s=0.9, priority=2)
        clock = site.clock
        self.assertEqual(rule.reserved_cores(long, clock.monotonic()), 0.0)
        for _ in range(100):
            await asyncio.sleep(0.01)
            urgent = site.job(run_s=0.05, priority=0)
            rule.record(urgent, clock.monotonic())
        # 1,600 cores a second arrive and can wait for 90 ms; 63% of the time
        # constant has passed.
        reserved = rule.reserved_cores(long, clock.monotonic())
        self.assertAlmostEqual(reserved, 1_600 * 0.09 * 0.63, delta=3)
        self.assertEqual(rule.reserved_cores(urgent, clock.monotonic()), 0.0)
        await asyncio.sleep(5.0)
        self.assertLess(rule.reserved_cores(long, clock.monotonic()), 1.0)

    def test_urgent_jobs_in_an_overload_of_long_ones(self):
        """Guards against urgent jobs that wait for the ends of long runs."""
        shares = []
        for on in (False, True):
            load = _load.Load(
                seed=1,
                seconds=4.0,
                scale=1.4,
                shares=(1.0,),
                per_data_centre=24,
                bursts=(_load.Burst("long", 3.0, 1.0, 4.0),),
                scheduling=scheduling.Scheduling(headroom=on),
            ).run()
            shares.append(load.tallies["short"].share)
        self.assertGreater(shares[1], shares[0])
