"""Tests the raised tokens of orders to single endpoints, in virtual time."""

import asyncio

from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual


class FenceTest(_virtual.VirtualTimeTest):

    def _submit(self, site, leader, key, *, run_s, cores, count=1):
        job = site.job(
            key * 16, run_s=run_s, cores=cores, count=count, deadline_s=20
        )
        return job, asyncio.create_task(leader.submit(job, site.origin))

    async def test_endpoint_that_is_dropped_and_listed_again_is_fenced(self):
        """Guards against forgetting a held-up start with its endpoint.

        It restarts while the list does not show it, and is held anew.
        """
        site = _jobs.Site(count=4)
        late = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            late.fault.late_s = 2.5
            submitted = [
                self._submit(site, leader, key, run_s=3.0, cores=8.0, count=2)[
                    1
                ]
                for key in "ab"
            ]
            await asyncio.sleep(0.1)
            late.fault.late_s = 0.0
            late.fault.unhealthy = True
            await asyncio.sleep(0.5)
            late.crash(down_s=0.6)
            leader.update(site.endpoints[1:])
            await asyncio.sleep(0.7)
            leader.update([late.endpoint, *site.endpoints[1:]])
            await asyncio.sleep(0.2)
            late.fault.unhealthy = False
            await asyncio.gather(*submitted)
        self.assertEqual(site.history.overlapping, [])

    async def test_endpoint_with_an_unclaimed_run_is_not_released(self):
        """Guards against a start beside a run on an endpoint that left."""
        site = _jobs.Site(count=2)
        job = site.job(count=1, run_s=2.0, cores=16.0, deadline_s=9)
        site.fleet.endpoints["e0"].start(
            task=job.task(0), run=1, spec=job.spec, token=1, until_ms=10**9
        )
        async with site.leader(token=2) as leader:
            leader.update(site.endpoints[1:])
            await asyncio.sleep(0.2)
            outcome = await leader.submit(job, site.origin)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_stop_that_meets_a_raised_token_is_sent_again(self):
        """Guards against a run that is never stopped, and its neighbours.

        The token is raised while the stop is on its way. The endpoint lapsed
        with all of its runs in the end.
        """
        site = _jobs.Site(count=1)
        endpoint = site.fleet.endpoints["e0"]
        stop = site.fleet.stop
        delay_s = 0.0

        async def stop_late(*args, **order):
            await asyncio.sleep(delay_s)
            return await stop(*args, **order)

        site.fleet.stop = stop_late
        async with site.leader() as leader:
            _, first = self._submit(
                site, leader, "a", run_s=0.05, cores=8.0, count=2
            )
            await first
            await asyncio.sleep(1.0)
            endpoint.crash()
            job, cancelled = self._submit(
                site, leader, "b", run_s=9.0, cores=8.0
            )
            _, other = self._submit(site, leader, "c", run_s=4.0, cores=8.0)
            await asyncio.sleep(0.235)
            delay_s = 0.04
            leader.cancel(job.name, site.origin.id)
            await asyncio.sleep(0.1)
            delay_s = 0.0
            await asyncio.gather(cancelled, other)
        self.assertEqual(site.history.starts.count(f"{'c' * 16}.0.0.0"), 1)

    async def test_run_without_any_answer_does_not_end_its_neighbours(self):
        """Guards against an endpoint that lapses for a run that never began.

        Its start and all of its stops are lost, but polls are answered.
        """
        site = _jobs.Site(count=1)
        endpoint = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            _, other = self._submit(site, leader, "c", run_s=3.0, cores=4.0)
            await asyncio.sleep(0.1)
            endpoint.fault.late_s = 50.0
            endpoint.fault.lost_stops = 10**6
            job, cancelled = self._submit(
                site, leader, "b", run_s=3.0, cores=4.0
            )
            await asyncio.sleep(0.4)
            endpoint.fault.late_s = 0.0
            leader.cancel(job.name, site.origin.id)
            await cancelled
            self.assertEqual(await other, outcomes.Complete(()))
        self.assertEqual(site.history.starts, [f"{'c' * 16}.0.0.0"])

    async def test_next_leader_notices_restarts_while_starts_are_held_up(self):
        """Guards against a late start of the former leader after a restart.

        The endpoint runs nothing, so that the next leader did not poll it.
        """
        site = _jobs.Site(count=3)
        late = site.fleet.endpoints["e0"]
        job = site.job(count=2, run_s=3.0, cores=16.0, deadline_s=20)
        async with site.leader(token=1) as first:
            for endpoint in site.fleet.endpoints.values():
                endpoint.fault.late_s = 3.0
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.1)
            for endpoint in site.fleet.endpoints.values():
                endpoint.fault.late_s = 0.0
        await submitted
        async with site.leader(token=1_000) as second:
            late.fault.unhealthy = True
            submitted = asyncio.create_task(
                second.submit(job, site.origin, moved=True)
            )
            await asyncio.sleep(2.0)
            late.fault.unhealthy = False
            late.crash()
            await submitted
        self.assertEqual(site.history.overlapping, [])

    async def test_report_from_before_a_raised_token_does_not_count(self):
        """Guards against taking an endpoint for one that has seen the token.

        The leader would resign when the endpoint refuses it.
        """
        for moment in range(20):
            site = _jobs.Site(count=1, delay_s=0.04)
            async with site.leader(token=1) as leader:
                await self._submit(site, leader, "a", run_s=0.2, cores=8.0)[1]
                await asyncio.sleep(0.42 + 0.01 * moment)
                leader.raise_token(1_000)
                await asyncio.sleep(2)
                self.assertTrue(leader.is_established("dc1"), moment)
                self.assertEqual(
                    site.fleet.endpoints["e0"].token, 1_000, moment
                )
