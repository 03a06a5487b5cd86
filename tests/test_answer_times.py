"""Tests of starts that are given up when their answer is late."""

import asyncio
import time
import unittest
from unittest import mock

from sesameroad.leasing import answer_times
from sesameroad.leasing import endpoint_session
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.model import outcomes
from sesameroad.model import scheduling
from tests import _jobs
from tests import _load
from tests import _virtual

_ON = scheduling.Scheduling(start_answer_ms=25)


class LateStartTest(_virtual.VirtualTimeTest):

    async def test_task_of_a_held_up_start_is_in_time(self):
        """Guards against a task that waits for the timeout of its order."""
        site = _jobs.Site()
        async with site.leader(scheduling=_ON) as scheduler:
            late = site.fleet.endpoints["e0"]
            late.fault.late_s = 2.0
            job = site.job(count=1, run_s=0.06)
            submitted = asyncio.create_task(scheduler.submit(job, site.origin))
            await asyncio.sleep(0.01)
            late.fault.late_s = 0.0
            outcome = await submitted
            self.assertIsInstance(outcome, outcomes.Complete)
            self.assertLess(site.clock.monotonic(), job.objective_at)
            await asyncio.sleep(3.0)
        # The held-up start had no effect when it arrived.
        self.assertEqual(len(site.history.starts), 1)

    async def test_endpoint_that_is_slow_itself_keeps_its_starts(self):
        """Guards against starts and stops given up in turn by a busy endpoint."""
        site = _jobs.Site(count=1, delay_s=0.1)
        async with site.leader(scheduling=_ON) as scheduler:
            await asyncio.sleep(0.5)
            job = site.job(count=2, run_s=0.3)
            outcome = await scheduler.submit(job, site.origin)
            self.assertEqual(outcome, outcomes.Complete(()))
            self.assertEqual(len(site.history.starts), 2)

    async def test_report_that_is_requested_twice(self):
        """Guards against a session that ends as two starts are given up."""
        for turns in range(4):
            site = _jobs.Site(count=1)
            leased = leased_endpoint.LeasedEndpoint(
                site.endpoints[0], lease=leases.Lease(duration_s=1.0)
            )
            leased.reconciled = True
            session = endpoint_session.EndpointSession(
                leased,
                orders_=site.fleet,
                events=mock.Mock(token=1),
                clock=site.clock,
                start_times=answer_times.AnswerTimes(min_s=0.025),
            )
            began_at = site.clock.monotonic()
            poll = asyncio.create_task(session._poll())
            await asyncio.sleep(0.1)
            session._request_report()
            for _ in range(turns):
                await asyncio.sleep(0)
            session._request_report()
            await poll
            self.assertLess(site.clock.monotonic() - began_at, 0.2)

    async def test_run_whose_start_answer_is_lost_is_kept(self):
        """Guards against stopping a run because only an answer was lost."""
        for run_s in (0.02, 0.06, 0.9):
            site = _jobs.Site()
            for endpoint in site.fleet.endpoints.values():
                endpoint.fault.lose_start_answers = True
            async with site.leader(scheduling=_ON) as scheduler:
                job = site.job(count=4, run_s=run_s, deadline_s=5.0)
                outcome = await scheduler.submit(job, site.origin)
            self.assertEqual(outcome, outcomes.Complete(()), run_s)
            self.assertEqual(len(site.history.starts), 4, run_s)

    def test_held_up_starts_of_a_load(self):
        """Guards against the main loss of `benchmarks.scarcity`."""
        loads = {
            on: (
                _load.Load(
                    seed=1,
                    seconds=4.0,
                    scale=0.7,
                    late_share=0.04,
                    scheduling=_ON if on else None,
                ).run()
            )
            for on in (False, True)
        }
        for load in loads.values():
            self.assertFalse(load.fleet.history.overlapping)
        self.assertLess(1 - loads[True].share, (1 - loads[False].share) / 2)


class AnswerTimesTest(unittest.TestCase):

    def test_wait_grows_with_slow_answers_only(self):
        """Guards against stops of all starts while answers are slow."""
        times = answer_times.AnswerTimes(min_s=0.025)
        for number in range(2_000):
            times.record(0.027 if number % 25 == 0 else 0.002)
        self.assertLess(times.wait_s, 0.05)
        for _ in range(100):
            times.record(times.wait_s)
        self.assertGreater(times.wait_s, 0.05)

    def test_answer_that_came_during_a_pause_counts(self):
        """Guards against starts given up since the process was paused."""

        async def wait():
            answer = asyncio.get_running_loop().create_future()
            async with asyncio.timeout(None) as timeout:
                loop = asyncio.get_running_loop()
                limit = answer_times.Limit(
                    0.01, lambda: timeout.reschedule(loop.time())
                )
                asyncio.get_running_loop().call_later(
                    0.005, lambda: answer.set_result("answer")
                )
                await asyncio.sleep(0)
                time.sleep(0.05)
                result = await answer
            limit.cancel()
            return result

        self.assertEqual(asyncio.run(wait()), "answer")
