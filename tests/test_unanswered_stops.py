"""Tests stops that get no answer, in virtual time.

The runs of a lost origin must have ended before its caller comes again, 1.3 s
after the loss, as it may come to a leader that does not know these runs.
"""

import asyncio
import contextlib

from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual

# Time after which a caller submits its job again, and time of silence after
# which an origin counts as lost.
_RETURN_S = 1.3
_SILENCE_S = 0.75
# Moments within the period of the leader's checks.
_MOMENTS_S = (0.0, 0.03, 0.06, 0.09)


@contextlib.asynccontextmanager
async def _two_leaders(site):
    """Opens the leaders of two sides of a partition.

    The first holds the endpoints e0 and e1 and the second e2 and e3.
    """
    async with site.leader(token=1) as first:
        site.endpoints = []
        site.add("e2", 16.0)
        site.add("e3", 16.0)
        async with site.leader(token=2) as second:
            yield first, second


def _lose_stops(site, count):
    for endpoint in site.fleet.endpoints.values():
        endpoint.fault.lost_stops = count


class UnansweredStopTest(_virtual.VirtualTimeTest):

    async def _check_return(self, *, lost, moment_s, cancel, elsewhere, runs=1):
        """Loses the caller's origin, or cancels, and submits the job again.

        Args:
            lost: Number of stops that each endpoint loses.
            moment_s: Time by which the loss is later within a check period.
            cancel: Whether the job is cancelled; otherwise its origin is lost.
            elsewhere: Whether the caller comes again to another leader.
            runs: Runs on each endpoint.
        """
        site = _jobs.Site(count=2)
        async with _two_leaders(site) as (first, second):
            job = site.job(
                count=2 * runs, cores=16.0 / runs, run_s=2.0, deadline_s=9
            )
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.3 + moment_s)
            self.assertEqual(len(site.history.running), 2 * runs)
            _lose_stops(site, lost)
            if cancel:
                first.cancel(job.name, site.origin.id)
                await asyncio.sleep(_RETURN_S)
            else:
                site.origin.lose(silent_s=_SILENCE_S)
                await asyncio.sleep(_RETURN_S - _SILENCE_S)
            running = dict(site.history.running)
            outcome = await (second if elsewhere else first).submit(
                job, _jobs.Origin("other")
            )
            self.assertIsInstance(await submitted, outcomes.Unknown)
        with self.subTest(
            lost=lost,
            moment_s=moment_s,
            cancel=cancel,
            elsewhere=elsewhere,
            runs=runs,
        ):
            self.assertEqual(outcome, outcomes.Complete(()))
            self.assertEqual(site.history.overlapping, [])
            self.assertEqual(running, {})

    async def test_runs_of_a_lost_origin_end_before_its_caller_returns(self):
        """Guards against two runs if stops for a lost origin are lost."""
        for lost in (1, 2, 3, 5):
            for moment_s in _MOMENTS_S:
                for elsewhere in (True, False):
                    await self._check_return(
                        lost=lost,
                        moment_s=moment_s,
                        cancel=False,
                        elsewhere=elsewhere,
                    )

    async def test_many_runs_of_a_lost_origin_end_before_its_caller_returns(
        self,
    ):
        """Guards against lost stops that hold up the stops of other runs.

        An endpoint has two connections for stops. Half of the stops are lost.
        """
        for runs in (2, 4, 8):
            for moment_s in _MOMENTS_S:
                await self._check_return(
                    lost=runs,
                    moment_s=moment_s,
                    cancel=False,
                    elsewhere=True,
                    runs=runs,
                )

    async def test_runs_of_a_cancelled_job_end_before_its_caller_returns(self):
        """Guards against two runs if stops of a cancelled job are lost."""
        for lost in (1, 2, 3, 5):
            for elsewhere in (True, False):
                await self._check_return(
                    lost=lost, moment_s=0.0, cancel=True, elsewhere=elsewhere
                )
