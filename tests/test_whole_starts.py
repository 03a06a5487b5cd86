"""Tests of starts that wait for the capacity of the whole job."""

import asyncio

from sesameroad.jobs import active_job
from sesameroad.jobs import forecast
from sesameroad.jobs import whole_starts
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.model import outcomes
from sesameroad.model import scheduling
from tests import _jobs
from tests import _load
from tests import _virtual

_ON = scheduling.Scheduling(whole_starts=True)


class WholeStartsTest(_virtual.VirtualTimeTest):

    async def _answers(self, *jobs, count):
        """Submits jobs one after another and returns outcomes and times."""
        site = _jobs.Site(count=count, cores=16.0)

        async def submit(scheduler, number, options):
            await asyncio.sleep(0.02 * number)
            job = site.job(f"{number:016x}", **options)
            outcome = await scheduler.submit(job, site.origin)
            return type(outcome), site.clock.monotonic() - began

        async with site.leader(scheduling=_ON) as scheduler:
            began = site.clock.monotonic()
            return await asyncio.gather(
                *(submit(scheduler, n, job) for n, job in enumerate(jobs))
            )

    async def test_job_waits_until_the_rest_of_it_is_expected_to_start(self):
        """Guards against starting half of a job that then ends as unknown."""
        answers = await self._answers(
            {"count": 11, "run_s": 1.0, "deadline_s": 9.0},
            {"count": 2, "run_s": 0.1},
            {"count": 1, "run_s": 0.1, "priority": 1},
            count=6,
        )
        _, (wide, _), (narrow, narrow_at) = answers
        self.assertIs(wide, outcomes.NotRun)
        self.assertIs(narrow, outcomes.Complete)
        self.assertLess(narrow_at, 0.2)

    async def test_begun_job_without_slack_comes_first(self):
        """Guards against starvation of a late job behind newer ones."""
        answers = await self._answers(
            {"count": 3, "run_s": 0.2, "stretch": 1.0, "priority": 2},
            *[{"count": 2, "run_s": 0.1, "deadline_s": 9.0}] * 5,
            count=1,
        )
        self.assertIs(answers[0][0], outcomes.Complete)
        self.assertLess(answers[0][1], 0.45)

    async def test_begun_job_that_cannot_be_of_use_ends_at_once(self):
        """Guards against a useless job that waits until it expires."""
        site = _jobs.Site(count=1, cores=16.0)
        async with site.leader(scheduling=_ON) as scheduler:
            job = site.job(count=6, run_s=0.6, estimate_s=0.25)
            submitted_at = site.clock.monotonic()
            outcome = await scheduler.submit(job, site.origin)
            self.assertIsInstance(outcome, outcomes.Unknown)
            self.assertLess(
                site.clock.monotonic(), job.expires_at - job.estimate_s + 0.15
            )
            self.assertGreater(site.clock.monotonic(), submitted_at + 0.5)

    def test_wide_jobs_start_in_waves(self):
        """Guards against wide jobs that never start."""
        site = _jobs.Site(count=4)
        pool = [
            leased_endpoint.LeasedEndpoint(e, lease=leases.Lease(duration_s=1))
            for e in site.endpoints
        ]
        for leased in pool:
            leased.reconciled = True
        rule = whole_starts.WholeStarts(forecast.Forecast(pool))
        job = _wide_job()
        wave = {"cores_ahead": 0.0, "now": 0.0}
        self.assertTrue(rule.may_start(job, room=2, **wave))
        self.assertFalse(rule.may_start(job, room=1, **wave))

    def test_overload_leaves_hardly_any_job_half_done(self):
        """Guards against the losses of the load of `benchmarks.scarcity`."""
        unknown = {
            on: sum(t.too_late for t in _play(on).tallies.values())
            for on in (False, True)
        }
        self.assertLess(unknown[True], unknown[False] / 4, unknown)


def _wide_job():
    async def build():

        job = _jobs.Site().job(count=20, cores=8.0)
        return active_job.ActiveJob(job, now=0.0)

    return _virtual.run(build())


def _play(on: bool):
    return _load.Load(
        seed=1,
        seconds=4.0,
        scale=1.8,
        shares=(1.0,),
        per_data_centre=24,
        bursts=(_load.Burst("long", 2.3, 1.0, 3.0),),
        scheduling=scheduling.Scheduling(whole_starts=on),
    ).run()
