"""Jobs that a leader takes over from another one at a planned change."""

import asyncio
import dataclasses

from sesameroad.jobs import active_job
from sesameroad.jobs import job_table
from sesameroad.jobs import takeover
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual

_RUN_S = 0.3
# Longer than a leader needs to read the lists of all endpoints.
_PROMPT_S = 0.1


class TakeoverTest(_virtual.VirtualTimeTest):
    """A leader stops by plan while the tasks of a job are running."""

    def setUp(self):
        super().setUp()
        self.site = _jobs.Site(count=2)

    async def begin(self, *, count=4, run_s=_RUN_S, priority=0):
        """Starts a job at a leader that stops before a task has ended."""
        job = self.site.job(
            count=count,
            run_s=run_s,
            deadline_s=9,
            stretch=4.0,
            priority=priority,
        )
        async with self.site.leader(token=1) as first:
            submitted = asyncio.create_task(first.submit(job, self.site.origin))
            await asyncio.sleep(_RUN_S / 3)
        answer = await submitted
        self.assertEqual(answer.cause, outcomes.Cause.STEWARD_LOST)
        return dataclasses.replace(
            job, unstarted=answer.unstarted, succeeded=answer.succeeded
        )

    async def test_job_that_ended_between_leaders_is_answered_at_once(self):
        """Guards against a finished job whose caller waits until it leaves.

        The job was offered before the first report of its endpoints, which lists
        all of its tasks as done. The leader counted them and did not compare the
        sum with the size of the job.
        """
        job = await self.begin()
        await asyncio.sleep(_RUN_S)
        async with self.site.leader(token=2, settle_s=0.0) as second:
            async with asyncio.timeout(_PROMPT_S):
                outcome = await second.submit(job, self.site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(self.site.history.starts), job.count)

    async def test_job_that_ends_in_parts_between_leaders_is_answered(self):
        """Guards against a job that waits although its last run has ended.

        Some of its tasks end before the next leader reads the lists, the others
        after it.
        """
        job = await self.begin(count=4, run_s=_RUN_S)
        await asyncio.sleep(_RUN_S / 3)
        self.site.fleet.endpoints["e0"].fault.silent = True
        await asyncio.sleep(_RUN_S)
        async with self.site.leader(token=2, settle_s=0.0) as second:
            submitted = asyncio.create_task(
                second.submit(job, self.site.origin, moved=True)
            )
            await asyncio.sleep(_PROMPT_S)
            self.assertFalse(submitted.done())
            self.site.fleet.endpoints["e0"].fault.silent = False
            async with asyncio.timeout(1.0):
                outcome = await submitted
        self.assertEqual(outcome, outcomes.Complete(()))

    async def test_tasks_found_done_are_not_run_again_for_a_late_offer(self):
        """Guards against a second run of tasks that are known to be done.

        An origin that notices the new leader late offers its job again up to
        1.2 s after it lost the former one.
        """
        job = await self.begin()
        await asyncio.sleep(_RUN_S)
        async with self.site.leader(token=2) as second:
            await asyncio.sleep(0.8)
            outcome = await second.submit(job, self.site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(self.site.history.starts), job.count)

    async def test_running_job_is_not_refused_before_the_lists_are_read(self):
        """Guards against runs that are stopped because other jobs wait.

        The next leader takes all tasks of the job as waiting until it has read
        the lists of its endpoints.
        """
        job = await self.begin(priority=1)
        async with self.site.leader(token=2, settle_s=0.0) as second:
            others = [
                asyncio.create_task(
                    second.submit(
                        self.site.job(
                            f"other-{number}", count=4, run_s=_RUN_S, stretch=4
                        ),
                        self.site.origin,
                    )
                )
                for number in range(20)
            ]
            await asyncio.sleep(0)
            outcome = await second.submit(job, self.site.origin, moved=True)
            for other in others:
                other.cancel()
        self.assertEqual(outcome, outcomes.Complete(()))
        starts = [
            task
            for task in self.site.history.starts
            if task.startswith(job.key)
        ]
        self.assertEqual(len(starts), job.count)

    async def test_task_that_was_not_started_does_not_wait_for_old_leases(self):
        """Guards against jobs that are late because one of their tasks waited.

        The next leader took each task of a moved job as possibly running on an
        endpoint that it does not know, for 1.2 s.
        """
        job = await self.begin(count=6)
        self.assertEqual(job.unstarted, (4, 5))
        began = self.site.clock.monotonic()
        async with self.site.leader(token=2, settle_s=0.0) as second:
            outcome = await second.submit(job, self.site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertLess(self.site.clock.monotonic() - began, 2 * _RUN_S)
        self.assertEqual(len(self.site.history.starts), job.count)

    async def test_task_on_an_unknown_endpoint_waits_for_its_lease(self):
        """Guards against two runs of a task at the same time.

        The next leader does not know an endpoint that the former one held. It
        starts the tasks that have not been started, but no other one.
        """
        job = await self.begin(count=6)
        del self.site.endpoints[1]
        async with self.site.leader(token=2) as second:
            submitted = asyncio.create_task(
                second.submit(job, self.site.origin, moved=True)
            )
            await asyncio.sleep(2 * _RUN_S)
            self.assertEqual(len(self.site.history.starts), job.count)
            outcome = await submitted
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(self.site.history.overlapping, [])

    async def test_tasks_wait_until_all_lists_are_read(self):
        """Guards against a start beside the run of another attempt.

        A task that one leader has not started may have been started by a later
        one, for another instance that got the job from its caller as well.
        """
        job = await self.begin(count=6)
        self.site.fleet.endpoints["e0"].fault.silent = True
        async with self.site.leader(token=2) as second:
            submitted = asyncio.create_task(
                second.submit(job, self.site.origin, moved=True)
            )
            await asyncio.sleep(2 * _RUN_S)
            self.assertEqual(len(self.site.history.starts), 4)
            submitted.cancel()

    async def test_unstarted_tasks_are_known_after_two_changes(self):
        """Guards against a start of a task that an earlier leader has started."""
        job = await self.begin(count=6, run_s=1.0)
        async with self.site.leader(token=2) as second:
            submitted = asyncio.create_task(
                second.submit(job, self.site.origin, moved=True)
            )
            await asyncio.sleep(_PROMPT_S)
        answer = await submitted
        self.assertEqual(answer.unstarted, (4, 5))

    async def test_task_that_has_succeeded_does_not_run_again(self):
        """Guards against tasks that are done and wait at the next leader.

        Its endpoint had listed the end to the former leader, which had
        acknowledged it, so that the next one found no trace of the task.
        """
        self.site.fleet.endpoints["e1"].fault.slowness = 3.0
        job = self.site.job(count=4, run_s=_RUN_S, deadline_s=9, stretch=4.0)
        # A second job has the endpoints polled after the end of the first run.
        other = self.site.job("other", count=4, run_s=0.1, cores=2.0)
        async with self.site.leader(token=1) as first:
            submitted = asyncio.create_task(first.submit(job, self.site.origin))
            await asyncio.sleep(1.2 * _RUN_S)
            await first.submit(other, self.site.origin)
            self.assertFalse(submitted.done())
        answer = await submitted
        self.assertEqual(len(answer.succeeded), 2)
        moved = dataclasses.replace(job, succeeded=answer.succeeded)
        began = self.site.clock.monotonic()
        async with self.site.leader(token=2, settle_s=0.0) as second:
            outcome = await second.submit(moved, self.site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertLess(self.site.clock.monotonic() - began, 2 * _RUN_S)
        self.assertEqual(len(self.site.history.starts), job.count + other.count)

    async def test_job_that_another_leader_has_completed_but_for_the_answer(
        self,
    ):
        """Guards against a job that stays open although all tasks are done."""
        job = await self.begin()
        told = dataclasses.replace(job, succeeded=job.indices)
        async with self.site.leader(token=2) as second:
            async with asyncio.timeout(_PROMPT_S):
                outcome = await second.submit(
                    told, self.site.origin, moved=True
                )
        self.assertEqual(outcome, outcomes.Complete(()))

    async def test_task_that_fails_after_the_change_starts_again_at_once(self):
        """Guards against a wait for leases although the run has ended here."""
        self.site.fleet.endpoints["e1"].fault.failing = True
        job = await self.begin()
        began = self.site.clock.monotonic()
        async with self.site.leader(token=2, settle_s=0.0) as second:
            outcome = await second.submit(job, self.site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertLess(self.site.clock.monotonic() - began, 3 * _RUN_S)
        self.assertEqual(self.site.history.overlapping, [])

    async def test_task_that_ends_before_its_job_is_offered_is_not_run_again(
        self,
    ):
        """Guards against a second run of a task that ends soon after the claim.

        Its endpoint has told the leader of the end of another task before, and
        the leader counted only the successes in the first report.
        """
        self.site = _jobs.Site(count=1, cores=32.0)
        other = self.site.job("fedcba9876543210", count=2, run_s=_RUN_S / 2)
        job = self.site.job(run_s=_RUN_S, deadline_s=9, stretch=4.0)
        async with self.site.leader(token=1) as first:
            submitted = [
                asyncio.create_task(first.submit(j, self.site.origin))
                for j in (other, job)
            ]
            await asyncio.sleep(_RUN_S / 3)
        await asyncio.wait(submitted)
        await asyncio.sleep(_RUN_S / 3)
        async with self.site.leader(token=2, settle_s=0.0) as second:
            await asyncio.sleep(_RUN_S / 2)
            outcome = await second.submit(job, self.site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(self.site.history.starts), job.count + other.count)

    async def test_run_of_a_former_attempt_is_not_lost_track_of(self):
        """Guards against cores that count as used for as long as a leader leads.

        A task runs here for an attempt that is being ended, and on an endpoint
        that was silent so far for an earlier leader. A later attempt claimed the
        second run, which replaced the first one in the table.
        """
        table = job_table.JobTable()
        adopting = takeover.Takeover(table=table, clock=self.site.clock)
        job = self.site.job(count=1)
        task = job.task(0)
        holder, lister = (
            leased_endpoint.LeasedEndpoint(
                endpoint, lease=leases.Lease(duration_s=1.0)
            )
            for endpoint in self.site.endpoints
        )
        former = active_job.ActiveJob(job, now=0.0)
        table.add(former)
        run = former.new_run(0, 2)
        table.add_run(former, holder, run)
        former.settle(outcomes.Complete(()))
        table.close(former)
        adopting.record_running(lister, {task: 1})
        later = active_job.ActiveJob(job, now=1.0)
        adopting.adopt(later, (holder, lister))
        table.add(later)
        self.assertIs(table.remove_run(run), holder)
        self.assertFalse(holder.runs)
        self.assertTrue(later.is_accounted_for)


class UnaccountedJobTest(_virtual.VirtualTimeTest):

    async def test_job_of_which_a_task_is_lost_is_answered(self):
        """Guards against a fault in a leader that keeps a caller waiting.

        The fault is brought about: a waiting task is dropped from the job.
        """
        site = _jobs.Site(count=1)
        job = site.job(count=4, run_s=0.1, deadline_s=9)
        with self.assertRaisesRegex(AssertionError, job.key):
            async with site.leader() as leader:
                submitted = asyncio.create_task(leader.submit(job, site.origin))
                await asyncio.sleep(0.01)
                leader._table.find(job.name).waiting.pop()
                async with asyncio.timeout(0.3):
                    outcome = await submitted
        self.assertIsInstance(outcome, outcomes.Unknown)
