"""Tests the scheduler with endpoints in memory, in virtual time."""

import asyncio

from sesameroad.leasing import orders
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual


class RunTest(_virtual.VirtualTimeTest):

    async def test_all_tasks_run_once_and_the_job_completes(self):
        """Guards against tasks that are skipped or run twice."""
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            outcome = await leader.submit(site.job(count=7), site.origin)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(site.history.done), 7)
        self.assertEqual(len(set(site.history.starts)), 7)

    async def test_no_start_is_refused_for_lack_of_capacity(self):
        """Guards against starts that an endpoint refuses for lack of capacity.

        Each of them delays its task by a round trip.
        """
        site = _jobs.Site(count=3)
        async with site.leader() as leader:
            await asyncio.gather(
                *(
                    leader.submit(
                        site.job(f"{n:016x}", count=4, cores=5.0, run_s=0.1),
                        site.origin,
                    )
                    for n in range(12)
                )
            )
        self.assertEqual(site.history.refused, 0)
        self.assertEqual(len(site.history.done), 48)

    async def test_ends_are_acknowledged_when_nothing_follows(self):
        """Guards against endpoints that keep unacknowledged ends forever."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            await leader.submit(site.job(), site.origin)
            await asyncio.sleep(1.0)
            self.assertEqual(site.fleet.endpoints["e0"].ended, [])

    async def test_idle_endpoints_are_not_polled(self):
        """Guards against the load of polling endpoints that run nothing."""
        site = _jobs.Site(count=4)
        async with site.leader():
            looks = site.history.looks
            await asyncio.sleep(30)
            self.assertEqual(site.history.looks, looks)

    async def test_task_that_always_fails_ends_its_job(self):
        """Guards against retries beyond the allowed number of attempts."""
        site = _jobs.Site(count=2)
        for endpoint in site.fleet.endpoints.values():
            endpoint.fault.failing = True
        async with site.leader() as leader:
            outcome = await leader.submit(
                site.job(count=1, run_s=0.05, max_attempts=3), site.origin
            )
        self.assertIsInstance(outcome, outcomes.Failed)
        self.assertEqual(len(site.history.starts), 3)

    async def test_same_job_from_a_second_origin_joins_the_first(self):
        """Guards against a second run if a caller retries elsewhere."""
        site = _jobs.Site(count=2)
        other = _jobs.Origin("other")
        async with site.leader() as leader:
            job = site.job(count=3)
            first = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.05)
            second = asyncio.create_task(leader.submit(job, other))
            done = await asyncio.gather(first, second)
        self.assertEqual(done, [outcomes.Complete(())] * 2)
        self.assertEqual(len(site.history.starts), 3)


class LostAnswerTest(_virtual.VirtualTimeTest):

    async def test_start_carried_out_late_does_not_run_beside_its_successor(
        self,
    ):
        """Guards against two runs if a start is carried out seconds later."""
        for late_s in (0.35, 0.9, 2.0, 6.0):
            site = _jobs.Site(count=2)
            late = site.fleet.endpoints["e0"]
            late.fault.late_s = late_s
            async with site.leader() as leader:
                job = site.job(count=3, deadline_s=10.0)
                submitted = asyncio.create_task(leader.submit(job, site.origin))
                await asyncio.sleep(0.25)
                late.fault.late_s = 0.0
                outcome = await submitted
                await asyncio.sleep(8)
            self.assertEqual(outcome, outcomes.Complete(()), late_s)
            self.assertEqual(site.history.overlapping, [], late_s)

    async def test_lost_answers_of_starts_do_not_double_tasks(self):
        """Guards against a second run after an unanswered start."""
        site = _jobs.Site(count=2)
        site.fleet.endpoints["e0"].fault.lose_answers = True
        async with site.leader() as leader:
            outcome = await leader.submit(
                site.job(count=4, run_s=1.0, deadline_s=10.0), site.origin
            )
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_run_whose_start_answer_is_lost_is_kept(self):
        """Guards against running work again because only an answer was lost.

        The lists of the endpoint show the run, whether it still runs when the
        order times out or has ended before.
        """
        for run_s in (0.06, 0.2, 0.9):
            site = _jobs.Site(count=2)
            for endpoint in site.fleet.endpoints.values():
                endpoint.fault.lose_start_answers = True
            async with site.leader() as leader:
                outcome = await leader.submit(
                    site.job(count=4, run_s=run_s, deadline_s=5.0), site.origin
                )
            self.assertEqual(outcome, outcomes.Complete(()), run_s)
            self.assertEqual(len(site.history.starts), 4, run_s)
            self.assertEqual(site.history.overlapping, [], run_s)

    async def test_tasks_of_a_silent_endpoint_restart_after_its_lease(self):
        """Guards against two runs while an endpoint does not answer.

        Its runs continue until the lease expires, however long it is silent.
        """
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            submitted = asyncio.create_task(
                leader.submit(
                    site.job(count=4, run_s=1.2, deadline_s=20.0), site.origin
                )
            )
            await asyncio.sleep(0.3)
            site.fleet.endpoints["e1"].fault.silent = True
            outcome = await submitted
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_short_silence_keeps_the_run(self):
        """Guards against lost work when a link fails for less than a lease."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            submitted = asyncio.create_task(
                leader.submit(
                    site.job(count=1, run_s=2.0, deadline_s=9), site.origin
                )
            )
            await asyncio.sleep(0.5)
            endpoint = site.fleet.endpoints["e0"]
            endpoint.fault.silent = True
            await asyncio.sleep(0.4)
            endpoint.fault.silent = False
            await submitted
        self.assertEqual(len(site.history.starts), 1)

    async def test_run_of_a_restarted_endpoint_starts_again(self):
        """Guards against waiting for runs that a restart has ended."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            submitted = asyncio.create_task(
                leader.submit(
                    site.job(count=2, run_s=0.5, deadline_s=9), site.origin
                )
            )
            await asyncio.sleep(0.2)
            site.fleet.endpoints["e0"].crash()
            outcome = await submitted
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(site.history.starts), 4)
        self.assertEqual(site.history.overlapping, [])


class LeavingTest(_virtual.VirtualTimeTest):

    async def test_runs_end_before_the_caller_of_a_lost_origin_returns(self):
        """Guards against runs that outlive the wait of a reconnecting caller.

        A caller submits a job again 1.3 s after its connection broke.
        """
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            submitted = asyncio.create_task(
                leader.submit(
                    site.job(count=2, run_s=3.0, deadline_s=9), site.origin
                )
            )
            await asyncio.sleep(0.3)
            site.origin.lose(silent_s=0.75)
            await asyncio.sleep(0.3)
            self.assertEqual(site.history.running, {})
            self.assertIsInstance(await submitted, outcomes.Unknown)

    async def test_cancelled_job_starts_nothing_more(self):
        """Guards against tasks that run or start after a cancellation."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            job = site.job(count=6, run_s=0.4, deadline_s=9)
            submitted = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.1)
            leader.cancel(job.name, site.origin.id)
            await asyncio.sleep(0.2)
            self.assertEqual(site.history.running, {})
            starts = len(site.history.starts)
            await asyncio.sleep(3)
            self.assertEqual(len(site.history.starts), starts)
            self.assertIsInstance(await submitted, outcomes.Unknown)

    async def test_job_sent_again_waits_for_its_earlier_runs_to_end(self):
        """Guards against two runs if a job returns before its stop is complete.

        A stop takes up to 50 ms.
        """
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            job = site.job(count=2, run_s=0.5, deadline_s=9)
            first = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.1)
            leader.cancel(job.name, site.origin.id)
            await first
            outcome = await leader.submit(job, site.origin)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_leaving_endpoint_gets_no_new_run(self):
        """Guards against runs that are started on a leaving endpoint."""
        site = _jobs.Site(count=2)
        async with site.leader() as leader:
            listed = [
                site.endpoints[0],
                _leaving(site.endpoints[1]),
            ]
            leader.update(listed)
            await leader.submit(site.job(count=6, run_s=0.05), site.origin)
        self.assertEqual(site.fleet.endpoints["e1"].end_count, 0)


class RefusalTest(_virtual.VirtualTimeTest):

    async def test_refused_job_never_ran(self):
        """Guards against a "not run" outcome of a job that has run."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            answers = await asyncio.gather(
                *(
                    leader.submit(
                        site.job(f"{n:016x}", count=4, run_s=0.5), site.origin
                    )
                    for n in range(20)
                )
            )
        refused = [
            f"{n:016x}"
            for n, answer in enumerate(answers)
            if isinstance(answer, outcomes.NotRun)
        ]
        self.assertTrue(refused)
        started = {task.partition(".")[0] for task in site.history.starts}
        self.assertFalse(started & set(refused))

    async def test_refusal_says_that_no_endpoint_responds(self):
        """An infinite wait was reported to callers as "inf s"."""
        site = _jobs.Site(count=1)
        site.fleet.endpoints["e0"].fault.silent = True
        async with site.leader() as leader:
            await asyncio.sleep(1.0)
            answer = await leader.submit(site.job(), site.origin)
        self.assertIsInstance(answer, outcomes.NotRun)
        self.assertEqual(answer.detail, "no endpoint responds")

    async def test_job_waits_for_endpoints_that_start_again(self):
        """Guards against a refusal while all endpoints are briefly silent.

        Idle endpoints are not polled, so their restarts are noticed together,
        by the first starts.
        """
        for silent_s in (0.1, 0.3, 0.6):
            site = _jobs.Site()
            async with site.leader() as leader:
                await asyncio.sleep(1.0)
                for endpoint in site.fleet.endpoints.values():
                    endpoint.crash(down_s=silent_s)
                jobs = [
                    site.job(f"{n:016x}", count=1, run_s=0.3, stretch=4.0)
                    for n in range(8)
                ]
                answers = []
                for job in jobs:
                    answers.append(
                        asyncio.create_task(leader.submit(job, site.origin))
                    )
                    await asyncio.sleep(0.07)
                answers = await asyncio.gather(*answers)
            self.assertEqual(
                answers, [outcomes.Complete(())] * len(jobs), silent_s
            )
            self.assertEqual(site.history.overlapping, [])

    async def test_job_is_refused_when_silent_endpoints_stay_away(self):
        """Guards against jobs that wait for endpoints that are gone."""
        site = _jobs.Site()
        async with site.leader() as leader:
            await leader.submit(site.job("a" * 16), site.origin)
            for endpoint in site.fleet.endpoints.values():
                endpoint.fault.silent = True
            first = asyncio.create_task(
                leader.submit(site.job("b" * 16, count=4), site.origin)
            )
            await asyncio.sleep(0.6)
            before = site.clock.monotonic()
            answer = await leader.submit(
                site.job("c" * 16, stretch=8.0, deadline_s=9), site.origin
            )
            waited_s = site.clock.monotonic() - before
            await first
        self.assertIsInstance(answer, outcomes.NotRun)
        self.assertEqual(answer.detail, "no endpoint responds")
        self.assertLess(waited_s, 1.2)

    async def test_job_that_cannot_meet_its_limit_is_refused_at_once(self):
        """Guards against a refusal too late for a retry elsewhere."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            for n in range(6):
                asyncio.create_task(
                    leader.submit(
                        site.job(
                            f"{n:016x}", count=4, run_s=1.0, deadline_s=30
                        ),
                        site.origin,
                    )
                )
            await asyncio.sleep(0)
            before = site.clock.monotonic()
            answer = await leader.submit(
                site.job("f" * 16, count=2, run_s=1.0, priority=1), site.origin
            )
        self.assertIsInstance(answer, outcomes.NotRun)
        self.assertGreater(answer.retry_after_s, 0)
        self.assertLess(site.clock.monotonic() - before, 0.01)

    async def test_expired_part_is_refused_at_once(self):
        """Guards against jobs that are kept until their callers' deadlines.

        Parts of a partitioned job were never refused, although none of its
        tasks had started.
        """
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            for n in range(4):
                asyncio.create_task(
                    leader.submit(
                        site.job(
                            f"{n:016x}", count=4, run_s=1.0, deadline_s=30
                        ),
                        site.origin,
                    )
                )
            await asyncio.sleep(0.01)
            began = site.clock.monotonic()
            part = site.job("f" * 16, count=3, run_s=0.1, priority=1).part(
                (0, 1)
            )
            answer = await leader.submit(part, site.origin)
            took_s = site.clock.monotonic() - began
        self.assertIsInstance(answer, outcomes.NotRun)
        self.assertLess(took_s, part.expires_at - began + 0.2)

    async def test_cancelled_job_that_never_started_is_not_run(self):
        """Guards against an unknown outcome of a job that has not run."""
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            first = asyncio.create_task(
                leader.submit(
                    site.job(count=2, run_s=1.0, deadline_s=9), site.origin
                )
            )
            await asyncio.sleep(0.05)
            second = site.job("e" * 16, count=1, run_s=1.0, deadline_s=9)
            waiting = asyncio.create_task(leader.submit(second, site.origin))
            await asyncio.sleep(0.05)
            leader.cancel(second.name, site.origin.id)
            self.assertIsInstance(await waiting, outcomes.NotRun)
            first.cancel()


class TakeoverTest(_virtual.VirtualTimeTest):

    async def test_next_leader_takes_over_runs_without_a_restart(self):
        """Guards against losing work in progress on a planned leader change."""
        site = _jobs.Site(count=2)
        job = site.job(count=4, run_s=0.6, deadline_s=9)
        async with site.leader(token=1) as first:
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.2)
        answer = await submitted
        self.assertEqual(answer.cause, outcomes.Cause.STEWARD_LOST)
        async with site.leader(token=2) as second:
            outcome = await second.submit(job, site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(len(site.history.starts), 4)

    async def test_unclaimed_runs_are_stopped(self):
        """Guards against runs of lost jobs that occupy endpoints."""
        site = _jobs.Site(count=1)
        job = site.job(count=2, run_s=5.0, deadline_s=9)
        async with site.leader(token=1) as first:
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.2)
        await submitted
        async with site.leader(token=2) as second:
            await asyncio.sleep(0.9)
            self.assertEqual(site.history.running, {})
            outcome = await second.submit(
                site.job("b" * 16, run_s=0.1), site.origin
            )
        self.assertEqual(outcome, outcomes.Complete(()))

    async def test_moved_job_waits_for_runs_on_endpoints_that_are_not_listed(
        self,
    ):
        """Guards against two runs of a task after a data centre was cut off.

        Its endpoint had expired from the list during the partition and was not
        listed again when the leader of the other side took over the job.
        """
        site = _jobs.Site(count=2)
        job = site.job(count=2, run_s=0.9, cores=16.0, deadline_s=9)
        async with site.leader(token=1) as first:
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.2)
        await submitted
        del site.endpoints[0]
        site.add("e2", 16.0)
        async with site.leader(token=2) as second:
            outcome = await second.submit(job, site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_moved_job_waits_while_an_endpoint_is_silent(self):
        """Guards against a second run of a task on a silent endpoint."""
        site = _jobs.Site(count=2)
        job = site.job(count=4, run_s=0.9, deadline_s=9)
        async with site.leader(token=1) as first:
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.2)
        await submitted
        site.fleet.endpoints["e1"].fault.silent = True
        async with site.leader(token=2) as second:
            outcome = await second.submit(job, site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_raised_token_does_not_double_runs_of_another_leader(
        self,
    ):
        """Guards against two runs after a leader raises its token.

        A leader had claimed a data centre while the endpoint list was not
        available. With the list it raised its token above that of another
        leader, which had started tasks in the meantime. It wrongly took the
        time since its claim as proof that no run of an earlier leader was left.
        """
        site = _jobs.Site(count=3)
        listed = list(site.endpoints)
        site.endpoints.clear()
        async with site.leader(token=3) as second:
            await asyncio.sleep(3)
            site.endpoints += listed
            job = site.job(count=2, run_s=0.9, cores=16.0, deadline_s=9)
            async with site.leader(token=5) as first:
                submitted = asyncio.create_task(first.submit(job, site.origin))
                await asyncio.sleep(0.2)
            await submitted
            site.fleet.endpoints["e1"].fault.silent = True
            second.update(listed)
            await asyncio.sleep(0.1)
            second.raise_token(9)
            outcome = await second.submit(job, site.origin, moved=True)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_deposed_leader_starts_nothing(self):
        """Guards against starts queued at a leader that was deposed."""
        site = _jobs.Site(count=1)
        async with site.leader(token=5) as first, site.leader(token=9):
            answer = asyncio.create_task(first.submit(site.job(), site.origin))
            await asyncio.sleep(0.2)
            self.assertEqual(site.history.starts, [])
            self.assertIn("dc1", site.fenced)
            answer.cancel()


class EndTest(_virtual.VirtualTimeTest):

    async def test_end_of_another_run_number_is_ignored(self):
        """Guards against applying the end of an earlier attempt of the job."""
        site = _jobs.Site(count=1)
        endpoint = site.fleet.endpoints["e0"]
        async with site.leader() as leader:
            job = site.job(count=1, run_s=0.5)
            submitted = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.1)
            endpoint.end_count += 1
            endpoint.ended.append(
                orders.End(
                    endpoint.end_count, job.task(0), 7, orders.Ending.FAILED
                )
            )
            endpoint._changed.set()
            self.assertEqual(await submitted, outcomes.Complete(()))
        self.assertEqual(len(site.history.starts), 1)


def _leaving(endpoint):
    from sesameroad.model import endpoints

    return endpoints.as_leaving(endpoint)
