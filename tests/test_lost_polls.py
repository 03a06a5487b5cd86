"""Endpoints that leave single polls unanswered."""

import asyncio
import unittest

from sesameroad.leasing import orders
from sesameroad.leasing import poll_schedule
from sesameroad.leasing import runs
from sesameroad.model import outcomes
from sesameroad.model import scheduling
from tests import _jobs
from tests import _virtual

_DONE = outcomes.Complete(())


class _LossyPolls:
    """Orders of a fleet that lose the polls with the given numbers.

    A lost poll has no effect, and its sender waits for its whole timeout.
    """

    def __init__(self, fleet, lost):
        self._fleet = fleet
        self._lost = lost
        self.polls = 0

    async def start(self, endpoint, **arguments):
        return await self._fleet.start(endpoint, **arguments)

    async def stop(self, endpoint, **arguments):
        return await self._fleet.stop(endpoint, **arguments)

    async def poll(self, endpoint, **arguments):
        self.polls += 1
        if self.polls in self._lost:
            await asyncio.sleep(arguments["timeout_s"])
            return orders.NoAnswer("lost")
        return await self._fleet.poll(endpoint, **arguments)


class LostPollTest(_virtual.VirtualTimeTest):

    async def _run_job(self, *, run_s, lost, poll_answer_ms=0, **options):
        """Returns the time that a job takes, its starts, and the polls."""
        site = _jobs.Site(count=1)
        lossy = _LossyPolls(site.fleet, set())
        async with site.leader(
            orders_=lossy,
            scheduling=scheduling.Scheduling(poll_answer_ms=poll_answer_ms),
        ) as leader:
            lossy._lost = {lossy.polls + number for number in lost}
            began_at = asyncio.get_running_loop().time()
            job = site.job(count=1, run_s=run_s, deadline_s=9, **options)
            outcome = await leader.submit(job, site.origin)
            self.assertEqual(outcome, _DONE)
            took_s = asyncio.get_running_loop().time() - began_at
        self.assertEqual(site.history.overlapping, [])
        return took_s, len(site.history.starts), lossy.polls

    async def test_lost_poll_is_no_hang(self):
        """Guards against a run that is stopped because a report is missing.

        A lost poll takes 0.5 s, and a run counted as hanging after 0.4 s
        without a report. It was stopped, and its endpoint paused for 1 s.
        """
        for lost, poll_answer_ms in (((2,), 0), ((2,), 50), ((2, 3), 50)):
            took_s, starts, _ = await self._run_job(
                run_s=0.9,
                lost=lost,
                poll_answer_ms=poll_answer_ms,
                stretch=3.0,
            )
            self.assertEqual(starts, 1, lost)
            self.assertLess(took_s, 1.2, lost)

    async def test_end_of_a_run_is_known_soon_after_a_lost_poll(self):
        """Guards against answers that are late for a lost poll.

        A job of 60 ms is of use for 0.47 s.
        """
        took_s, _, _ = await self._run_job(
            run_s=0.06, lost=(1, 2), poll_answer_ms=25, stretch=9.0
        )
        self.assertLess(took_s, 0.3)

    async def test_polls_are_as_before_without_the_option(self):
        """Guards against an option that has an effect while it is off."""
        took_s, _, polls = await self._run_job(run_s=0.9, lost=())
        _, _, more = await self._run_job(run_s=0.9, lost=(), poll_answer_ms=50)
        self.assertLess(took_s, 1.0)
        self.assertEqual(polls, more)

    async def test_silent_endpoint_is_still_noticed(self):
        """Guards against starts on an endpoint that answers no poll."""
        site = _jobs.Site(count=2)
        lossy = _LossyPolls(site.fleet, set(range(4, 10_000)))
        async with site.leader(
            orders_=lossy,
            scheduling=scheduling.Scheduling(poll_answer_ms=50),
        ) as leader:
            job = site.job(count=1, run_s=3.0, deadline_s=9)
            submitted = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.8)
            silent = [e for e in leader._pool if e.silent_since is not None]
            self.assertEqual(len(silent), 1)
            leader.cancel(job.name, site.origin.id)
            await submitted


class PollScheduleTest(unittest.TestCase):

    def _wait_s(self, *, estimate_s, elapsed_s, slowness=1.0):
        run = runs.Run(
            task="t",
            number=1,
            key="k",
            job="j",
            index=0,
            cores=1.0,
            memory_mb=0,
            accelerators=0,
            estimate_s=estimate_s,
            spec="",
        )
        run.sent_at = 100.0
        return poll_schedule.wait_s(
            [run], slowness=slowness, now=100.0 + elapsed_s, longest_s=0.25
        )

    def test_wait_ends_when_an_end_is_overdue(self):
        """Guards against a poll that hides an end for its longest time."""
        self.assertAlmostEqual(
            self._wait_s(estimate_s=0.06, elapsed_s=0.0), 0.09
        )
        self.assertAlmostEqual(
            self._wait_s(estimate_s=0.06, elapsed_s=0.0, slowness=2.0), 0.18
        )

    def test_wait_is_bounded(self):
        """Guards against polls one after the other for an overdue run."""
        self.assertEqual(self._wait_s(estimate_s=0.06, elapsed_s=5.0), 0.06)
        self.assertEqual(self._wait_s(estimate_s=3.0, elapsed_s=0.0), 0.25)
