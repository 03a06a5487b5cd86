"""Tests leaders with endpoints that restart under their id, in virtual time.

A restarted endpoint holds and knows nothing of before. Its leader learns of the
restart only later, from a report or from the list of endpoints.
"""

import asyncio
import dataclasses

from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual


class RestartedEndpointTest(_virtual.VirtualTimeTest):

    def _submit(self, site, leader, *, run_s, jobs=6, first=0, **options):
        """Submits jobs of different run times, numbered from the first."""
        return [
            asyncio.create_task(
                leader.submit(
                    site.job(
                        f"{number:016x}",
                        run_s=run_s + 0.13 * number,
                        deadline_s=20,
                        **options,
                    ),
                    site.origin,
                )
            )
            for number in range(first, first + jobs)
        ]

    def _assert_each_ran_once(self, site, answers):
        self.assertEqual(answers, [outcomes.Complete(())] * len(answers))
        self.assertEqual(site.history.overlapping, [])
        done = site.history.done
        self.assertEqual(len(done), len(set(done)))

    async def test_start_after_an_unnoticed_restart_is_not_given_up(self):
        """Guards against a second run of a task that began after a restart.

        Idle endpoints are not polled, so the report that shows the restart
        also shows what has been started since.
        """
        site = _jobs.Site(count=3)
        async with site.leader() as leader:
            await leader.submit(site.job(count=6, run_s=0.1), site.origin)
            await asyncio.sleep(1.0)
            for endpoint in site.fleet.endpoints.values():
                endpoint.crash()
            answers = await asyncio.gather(
                *self._submit(site, leader, run_s=0.2, cores=4.0)
            )
        self._assert_each_ran_once(site, answers)

    async def test_end_after_an_unnoticed_restart_counts(self):
        """Guards against running a task again that is done.

        The numbers of ends start anew, so the acknowledgement of an end of the
        former incarnation must not cover one of the next.
        """
        for run_s in (0.002, 0.02, 0.1):
            site = _jobs.Site(count=1)
            async with site.leader() as leader:
                await leader.submit(site.job(count=6, run_s=0.1), site.origin)
                await asyncio.sleep(1.0)
                site.fleet.endpoints["e0"].crash()
                answers = await asyncio.gather(
                    *self._submit(site, leader, jobs=2, run_s=run_s, count=1)
                )
            self._assert_each_ran_once(site, answers)

    async def test_list_may_show_the_former_start_time(self):
        """Guards against giving up runs because the list is out of date.

        An instance that is cut off from the store keeps a list that is older
        than the reports of the endpoints.
        """
        site = _jobs.Site(count=3)
        async with site.leader() as leader:
            submitted = self._submit(site, leader, run_s=0.9, cores=4.0)
            await asyncio.sleep(0.1)
            site.fleet.endpoints["e0"].crash()
            for _ in range(20):
                await asyncio.sleep(0.09)
                leader.update(site.endpoints)
            answers = await asyncio.gather(*submitted)
        self._assert_each_ran_once(site, answers)

    async def test_label_of_a_former_incarnation_does_not_count(self):
        """Guards against a task on an endpoint that has become another kind.

        The list shows the labels of the former incarnation for a while.
        """
        site = _jobs.Site(count=1)
        endpoint = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            job, answer = self._submit_labelled(site, leader, "b" * 16)
            self.assertEqual(await answer, outcomes.Complete(()))
            first, answer = self._submit_labelled(site, leader, "c" * 16)
            await asyncio.sleep(0.1)
            endpoint.crash()
            await asyncio.sleep(1.0)
            self.assertEqual(site.history.starts.count(first.task(0)), 1)
            plain = site.job("d" * 16, count=1, run_s=0.1, deadline_s=9)
            self.assertEqual(
                await leader.submit(plain, site.origin), outcomes.Complete(())
            )
            self.assertEqual(site.history.starts.count(first.task(0)), 1)
            site.endpoints[0] = dataclasses.replace(
                site.endpoints[0], born_ms=endpoint.endpoint.born_ms
            )
            leader.update(site.endpoints)
            self.assertEqual(await answer, outcomes.Complete(()))
        self.assertEqual(site.history.starts.count(job.task(0)), 1)

    def _submit_labelled(self, site, leader, key):
        job = dataclasses.replace(
            site.job(key, count=1, run_s=0.5, deadline_s=20, stretch=30.0),
            required_label="a",
        )
        return job, asyncio.create_task(leader.submit(job, site.origin))

    async def test_list_shows_a_restart_after_runs_have_begun(self):
        """Guards against giving up runs of the incarnation that is listed."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            await leader.submit(site.job(count=2, run_s=0.1), site.origin)
            await asyncio.sleep(1.0)
            endpoint = site.fleet.endpoints["e0"]
            endpoint.crash()
            submitted = self._submit(site, leader, jobs=2, run_s=0.5, cores=4.0)
            await asyncio.sleep(0.0015)
            leader.update([endpoint.endpoint])
            answers = await asyncio.gather(*submitted)
        self._assert_each_ran_once(site, answers)

    async def test_start_time_may_go_back(self):
        """Guards against ignoring an endpoint whose wall clock was set back.

        Its reports show an earlier start time than before the restart.
        """
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            submitted = self._submit(site, leader, run_s=0.5, cores=4.0, jobs=2)
            await asyncio.sleep(0.1)
            site.fleet.endpoints["e0"].crash(born_ms=400)
            answers = await asyncio.gather(*submitted)
            await asyncio.sleep(1.0)
            starts = len(site.history.starts)
            answers += await asyncio.gather(
                *self._submit(site, leader, run_s=0.1, jobs=1, first=2)
            )
        self._assert_each_ran_once(site, answers)
        self.assertEqual(len(site.history.starts), starts + 2)

    async def test_late_start_is_refused_by_the_next_incarnation(self):
        """Guards against a start that is carried out after a restart.

        The former incarnation had barred the run, and the end of its lease is
        far in the future of a clock that starts anew.
        """
        for crash_s in (0.2, 0.35, 0.5, 0.8, 1.2):
            site = _jobs.Site(count=4)
            late = site.fleet.endpoints["e0"]
            async with site.leader() as leader:
                late.fault.late_s = 1.5
                submitted = self._submit(
                    site, leader, run_s=2.0, cores=8.0, jobs=2
                )
                await asyncio.sleep(0.1)
                late.fault.late_s = 0.0
                await asyncio.sleep(crash_s - 0.1)
                late.crash()
                leader.update(
                    endpoint.endpoint
                    for endpoint in site.fleet.endpoints.values()
                )
                # Other endpoints are free, so its tasks are started there.
                late.fault.unhealthy = True
                await asyncio.sleep(0.3)
                late.fault.unhealthy = False
                answers = await asyncio.gather(*submitted)
            self._assert_each_ran_once(site, answers)

    async def test_restart_is_noticed_while_a_start_may_be_held_up(self):
        """Guards against a late start that follows a restart unnoticed.

        The endpoint runs nothing and the list does not show the restart.
        """
        site = _jobs.Site(count=4)
        late = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            late.fault.late_s = 2.5
            submitted = self._submit(site, leader, run_s=3.0, cores=8.0, jobs=2)
            await asyncio.sleep(0.1)
            late.fault.late_s = 0.0
            late.fault.unhealthy = True
            await asyncio.sleep(1.6)
            late.fault.unhealthy = False
            late.crash()
            answers = await asyncio.gather(*submitted)
        self._assert_each_ran_once(site, answers)

    async def test_endpoint_that_is_listed_again_takes_orders(self):
        """Guards against orders with a lower token than an earlier one.

        A leader that an endpoint refuses for a higher token takes it for that
        of another leader, and resigns.
        """
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            site.fleet.endpoints["e0"].crash()
            await leader.submit(
                site.job(count=4, run_s=0.1, deadline_s=9), site.origin
            )
            await asyncio.sleep(1.0)
            leader.update(site.endpoints[1:])
            await asyncio.sleep(1.0)
            leader.update(site.endpoints)
            answers = await asyncio.gather(
                *self._submit(site, leader, run_s=0.3, cores=4.0)
            )
        self._assert_each_ran_once(site, answers)
        self.assertEqual(site.fenced, [])
        self.assertGreater(site.fleet.endpoints["e0"].end_count, 0)

    async def test_other_endpoint_at_the_address_does_not_end_runs(self):
        """Guards against giving up runs of an endpoint that has moved.

        The list is out of date, so that orders go to its former address.
        """
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            submitted = self._submit(site, leader, run_s=0.8, jobs=2)
            await asyncio.sleep(0.1)
            former = dataclasses.replace(site.endpoints[0], url="http://former")
            leader.update([former, site.endpoints[1]])
            await asyncio.sleep(0.5)
            leader.update(site.endpoints)
            answers = await asyncio.gather(*submitted)
        self._assert_each_ran_once(site, answers)
        self.assertEqual(len(site.history.starts), 4)

    async def test_other_endpoint_at_the_address_of_runs_ends_them(self):
        """Guards against waiting for the lease of an endpoint that is gone."""
        site = _jobs.Site(count=3)
        endpoint = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            submitted = self._submit(site, leader, run_s=0.8, jobs=1, cores=16)
            await asyncio.sleep(0.1)
            endpoint.crash()
            endpoint.fault.misdirected = True
            await asyncio.sleep(0.4)
            self.assertEqual(len(site.history.starts), 3)
            answers = await asyncio.gather(*submitted)
        self._assert_each_ran_once(site, answers)
        self.assertEqual(len(site.history.starts), 3)

    async def test_run_that_an_endpoint_refuses_as_old_may_be_active(self):
        """Guards against starting a task elsewhere that an endpoint runs.

        It refuses a run of a task of which it has another one, which began by
        an order that the leader had given up.
        """
        site = _jobs.Site(count=2)
        endpoint = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            job = site.job(count=1, run_s=1.0, cores=16.0, deadline_s=9)
            endpoint.start(
                task=job.task(0), run=9, spec=job.spec, token=1, until_ms=10**9
            )
            submitted = asyncio.create_task(leader.submit(job, site.origin))
            # The next order to it has no effect, so that the task would be
            # started on the other endpoint.
            await asyncio.sleep(0.0015)
            endpoint.fault.unhealthy = True
            answers = [await submitted]
        self.assertEqual(site.history.overlapping, [])
        self.assertEqual(answers, [outcomes.Complete(())])

    async def test_endpoint_is_used_again_after_its_lease_has_expired(self):
        """Guards against an endpoint that is never polled again.

        Without runs there was no poll that could end its silence.
        """
        site = _jobs.Site(count=1)
        endpoint = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            submitted = self._submit(site, leader, run_s=0.5, jobs=1)
            await asyncio.sleep(0.1)
            endpoint.fault.silent = True
            await asyncio.sleep(3.0)
            leader.cancel(site.job(f"{0:016x}").name, site.origin.id)
            await asyncio.gather(*submitted)
            endpoint.fault.silent = False
            await asyncio.sleep(1.0)
            answers = await asyncio.gather(
                *self._submit(site, leader, run_s=0.1, jobs=1, first=1)
            )
        self.assertEqual(answers, [outcomes.Complete(())])
