"""Tests starts that are held up while their endpoint restarts, in virtual time.

The next incarnation knows neither the stop nor the token nor the clock that would
keep it from carrying out such a start.
"""

import asyncio
import unittest
from unittest import mock

from sesameroad.jobs import active_job
from sesameroad.jobs import held_up_starts
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual


class HeldUpStartTest(_virtual.VirtualTimeTest):

    def _passed_s(self, site):
        """Returns the time since the clock of the site has started."""
        return site.clock.monotonic() - self._began_at

    def _site(self, **options):
        site = _jobs.Site(**options)
        self._began_at = site.clock.monotonic()
        return site

    def _submit(self, site, leader, job, **options):
        return asyncio.create_task(leader.submit(job, site.origin, **options))

    async def _hold_up(self, site, leader, job, *, late_s, down_s):
        """Submits a job whose starts are held up as an endpoint crashes."""
        late = site.fleet.endpoints["e0"]
        late.fault.late_s = late_s
        submitted = self._submit(site, leader, job)
        await asyncio.sleep(0.05)
        late.fault.late_s = 0.0
        late.crash(down_s=down_s)
        return submitted

    def _assert_unknown(self, outcome):
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertIs(outcome.cause, outcomes.Cause.ENDPOINT_LOST)

    async def test_start_is_carried_out_by_the_next_incarnation(self):
        """Guards against a second run beside that of a start that came late.

        The start arrives before the first order of the leader.
        """
        for step in range(8):
            site = self._site(count=3)
            job = site.job(count=1, run_s=4.0, cores=16.0, deadline_s=20)
            down_s = 2.0 + 0.05 * step
            async with site.leader() as leader:
                outcome = await (
                    await self._hold_up(
                        site, leader, job, late_s=down_s + 0.07, down_s=down_s
                    )
                )
            self.assertEqual(site.history.overlapping, [], step)
            self.assertEqual(outcome, outcomes.Complete(()), step)
            self.assertEqual(len(site.history.starts), 1)

    async def test_late_start_is_the_first_order_of_the_next_incarnation(self):
        """Guards against a second run beside that of a start that came late.

        Its stop was answered, and the endpoint refuses another start, so that
        the task could start elsewhere before the endpoint starts again.
        """
        for down_s in (0.0, 0.05, 0.2):
            site = self._site(count=2)
            late = site.fleet.endpoints["e0"]
            job = site.job(
                count=1, run_s=2.0, cores=16.0, stretch=6.0, deadline_s=20
            )
            async with site.leader() as leader:
                late.fault.late_s = 0.952 + down_s
                submitted = self._submit(site, leader, job)
                await asyncio.sleep(0.05)
                late.fault.late_s = 0.0
                late.fault.unhealthy = True
                await asyncio.sleep(1.0 - self._passed_s(site))
                late.crash(down_s=down_s)
                late.fault.unhealthy = False
                await submitted
            self.assertIn(job.task(0), site.history.starts)
            self.assertEqual(site.history.overlapping, [], down_s)

    async def test_later_attempt_does_not_run_beside_a_held_up_start(self):
        """Guards against forgetting a held-up start with its job.

        The caller is answered and comes again, or has left before.
        """
        for leaves in (False, True):
            site = self._site(count=3)
            job = site.job(count=1, run_s=1.0, cores=16.0, deadline_s=4)
            async with site.leader() as leader:
                submitted = await self._hold_up(
                    site, leader, job, late_s=2.07, down_s=2.0
                )
                if leaves:
                    await asyncio.sleep(0.5)
                    leader.cancel(job.name, site.origin.id)
                else:
                    self._assert_unknown(await submitted)
                    self.assertLess(self._passed_s(site), 1.3)
                await submitted
                while self._passed_s(site) < 2.4:
                    job = site.job(count=1, run_s=1.0, cores=16.0, deadline_s=4)
                    attempt = self._submit(site, leader, job)
                    await asyncio.sleep(0.1)
                self.assertEqual(await attempt, outcomes.Complete(()))
            self.assertEqual(site.history.overlapping, [])

    async def test_blocked_attempts_are_answered_at_once(self):
        """Guards against callers that wait in vain, or hear "not run".

        The endpoint does not come back. All other capacity is in use.
        """
        for count in (1, 2):
            site = self._site(count=count)
            job = site.job(count=1, run_s=1.0, cores=16.0, deadline_s=4)
            async with site.leader() as leader:
                self._assert_unknown(
                    await (
                        await self._hold_up(
                            site, leader, job, late_s=50.0, down_s=99.0
                        )
                    )
                )
                other = self._submit(
                    site,
                    leader,
                    site.job("b" * 16, count=1, run_s=1.0, cores=16.0),
                )
                for lent in (False, True):
                    asked_at = site.clock.monotonic()
                    self._assert_unknown(
                        await self._submit(site, leader, job, lent=lent)
                    )
                    self.assertEqual(site.clock.monotonic(), asked_at)
                await other

    async def test_task_is_free_once_the_start_can_no_longer_come(self):
        """Guards against a task that is blocked for good, or too briefly.

        No order reaches the next incarnation. The run lasts for one lease.
        """
        site = self._site(count=2)
        options = {"count": 1, "run_s": 3.0, "cores": 16.0, "deadline_s": 4}
        job = site.job(**options)
        async with site.leader() as leader:
            await (
                await self._hold_up(
                    site, leader, job, late_s=11.99, down_s=11.9
                )
            )
            late = site.fleet.endpoints["e0"]
            late.fault.silent = True
            while self._passed_s(site) < 12.0:
                outcome = await leader.submit(site.job(**options), site.origin)
                self._assert_unknown(outcome)
                await asyncio.sleep(0.1)
            self.assertEqual(site.history.starts, [job.task(0)])
            options["deadline_s"] = 9
            outcome = await leader.submit(site.job(**options), site.origin)
            self.assertLess(self._passed_s(site), 16.4)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_task_is_free_once_the_endpoint_has_seen_the_token(self):
        """Guards against blocking a task whose start has no effect any more."""
        for unlisted in (False, True):
            site = self._site(count=2)
            job = site.job(
                count=1, run_s=1.0, cores=16.0, stretch=6.0, deadline_s=20
            )
            async with site.leader() as leader:
                submitted = await self._hold_up(
                    site, leader, job, late_s=3.0, down_s=1.5
                )
                if unlisted:
                    leader.update(site.endpoints[1:])
                await asyncio.sleep(1.2)
                self.assertEqual(site.history.starts, [])
                self.assertEqual(await submitted, outcomes.Complete(()))
                # An endpoint that is not listed gets no other start.
                limit_s = 14.3 if unlisted else 2.9
                self.assertLess(self._passed_s(site), limit_s)
                # The start is refused when it arrives.
                await asyncio.sleep(1.0)
            self.assertEqual(site.history.starts, [job.task(0)])

    async def test_endpoint_that_is_no_longer_listed_still_blocks(self):
        """Guards against forgetting a held-up start with its endpoint."""
        for step in range(8):
            site = self._site(count=3)
            job = site.job(count=1, run_s=4.0, cores=16.0, deadline_s=20)
            down_s = 2.0 + 0.05 * step
            async with site.leader() as leader:
                submitted = await self._hold_up(
                    site, leader, job, late_s=down_s + 0.07, down_s=down_s
                )
                leader.update(site.endpoints[1:])
                self.assertEqual(await submitted, outcomes.Complete(()))
            self.assertEqual(site.history.overlapping, [], step)
            self.assertEqual(len(site.history.starts), 1)

    async def test_address_of_a_held_up_start_is_taken_for_a_while(self):
        """Guards against a run beside a start that comes after the return.

        Another endpoint answers at the address, which ends the runs there.
        """
        site = self._site(count=3)
        late = site.fleet.endpoints["e0"]
        job = site.job(
            count=1, run_s=2.0, cores=16.0, stretch=6.0, deadline_s=20
        )
        async with site.leader() as leader:
            late.fault.late_s = 0.9
            submitted = self._submit(site, leader, job)
            await asyncio.sleep(0.05)
            late.fault.late_s = 0.0
            late.fault.misdirected = True
            await asyncio.sleep(0.8)
            late.fault.misdirected = False
            self.assertEqual(await submitted, outcomes.Complete(()))
        self.assertEqual(site.history.overlapping, [])

    async def test_other_runs_of_an_answered_job_are_stopped(self):
        """Guards against runs that go on for a caller that was answered."""
        site = self._site(count=2)
        job = site.job(count=2, run_s=2.5, cores=16.0, deadline_s=4)
        async with site.leader() as leader:
            submitted = await self._hold_up(
                site, leader, job, late_s=50.0, down_s=99.0
            )
            self._assert_unknown(await submitted)
            await asyncio.sleep(0.1)
            self.assertEqual(site.history.running, {})

    async def test_run_that_was_seen_is_given_up_with_its_lease(self):
        """Guards against blocking tasks whose start was carried out.

        Its answer comes, or is lost and a report lists the run.
        """
        for loses in (False, True):
            site = self._site(count=2)
            job = site.job(count=1, run_s=1.0, cores=16.0, deadline_s=4)
            endpoint = site.fleet.endpoints["e0"]
            endpoint.fault.lose_start_answers = loses
            endpoint.fault.lost_stops = 100 * loses
            async with site.leader() as leader:
                submitted = self._submit(site, leader, job)
                await asyncio.sleep(0.6 if loses else 0.1)
                endpoint.crash(down_s=99.0)
                self.assertEqual(await submitted, outcomes.Complete(()))
            # The lease of 1.07 s ends before the run is started elsewhere.
            self.assertLess(self._passed_s(site), 2.68 if loses else 2.18)


class AnsweredStopTest(_virtual.VirtualTimeTest):
    """The endpoint has answered the stop of a held-up start, and restarts."""

    def _begin(self, *, run_s):
        self.site = _jobs.Site(count=3)
        self.late = self.site.fleet.endpoints["e0"]
        self.job = self.site.job(
            count=1, run_s=run_s, cores=16.0, stretch=6.0, deadline_s=9.0
        )

    async def _hold_up(self, leader, *, late_s):
        """Submits the job, whose start at e0 is held up.

        The other endpoints are free, but its task waits for e0.
        """
        self.began_at = self.site.clock.monotonic()
        self.late.fault.late_s = late_s
        submitted = asyncio.create_task(
            leader.submit(self.job, self.site.origin)
        )
        await asyncio.sleep(0.05)
        self.late.fault.late_s = 0.0
        return submitted

    async def _wait_until(self, seconds):
        passed_s = self.site.clock.monotonic() - self.began_at
        await asyncio.sleep(seconds - passed_s)

    async def test_start_comes_to_the_next_incarnation(self):
        """Guards against a late start beside the next run of its task.

        The start arrives a short time after its endpoint is back, at which the
        leader had not reached it yet.
        """
        for step in range(10):
            ahead_s = 0.03 + 0.01 * step
            self._begin(run_s=3.6)
            async with self.site.leader() as leader:
                submitted = await self._hold_up(leader, late_s=2.5)
                self.late.fault.unhealthy = True
                await self._wait_until(2.0 - ahead_s)
                self.assertEqual(self.site.history.starts, [])
                self.late.crash(down_s=0.5)
                self.late.fault.unhealthy = False
                outcome = await submitted
            self.assertEqual(self.site.history.overlapping, [], ahead_s)
            self.assertEqual(outcome, outcomes.Complete(()), ahead_s)
            self.assertEqual(len(self.site.history.starts), 1, ahead_s)

    async def test_start_comes_after_two_restarts(self):
        """Guards against forgetting a held-up start with the first restart."""
        for step in range(10):
            ahead_s = 0.03 + 0.01 * step
            self._begin(run_s=4.0)
            async with self.site.leader() as leader:
                submitted = await self._hold_up(leader, late_s=3.0)
                await self._wait_until(0.6)
                self.late.crash(down_s=0.3)
                await self._wait_until(2.5 - ahead_s)
                self.late.crash(down_s=0.5)
                self.assertEqual(await submitted, outcomes.Complete(()))
            self.assertEqual(self.site.history.overlapping, [], ahead_s)
            self.assertEqual(len(self.site.history.done), 1, ahead_s)

    async def test_task_starts_again_at_once_at_an_endpoint_that_answers(self):
        """Guards against waiting for a start that its endpoint refuses."""
        self._begin(run_s=0.3)
        async with self.site.leader() as leader:
            submitted = await self._hold_up(leader, late_s=2.5)
            self.assertEqual(await submitted, outcomes.Complete(()))
            # The start counts as unanswered after 0.3 s, and a poll takes 0.25 s.
            self.assertLess(self.site.clock.monotonic() - self.began_at, 0.9)

    async def test_job_that_its_endpoint_refuses_is_answered(self):
        """Guards against a job that waits for an endpoint to its deadline.

        Its other task has ended. The endpoint drains, or refuses its starts.
        """
        for leaves, limit_s in ((True, 0.7), (False, 5.0)):
            self._begin(run_s=0.3)
            self.job = self.site.job(
                count=2, run_s=0.3, cores=16.0, stretch=15.0, deadline_s=12.5
            )
            async with self.site.leader() as leader:
                submitted = await self._hold_up(leader, late_s=50.0)
                self.late.fault.unhealthy = True
                if leaves:
                    leader.update(self.site.endpoints[1:])
                outcome = await submitted
                self.assertIsInstance(outcome, outcomes.Unknown)
                self.assertIs(outcome.cause, outcomes.Cause.ENDPOINT_LOST)
                passed_s = self.site.clock.monotonic() - self.began_at
                self.assertLess(passed_s, limit_s)
                await asyncio.sleep(0.1)
                self.assertEqual(self.site.history.running, {})

    async def test_later_attempt_waits_for_a_silent_endpoint_only(self):
        """Guards against a run beside a start whose stop is forgotten.

        While the endpoint answers, the task starts there.
        """
        for crashes in (False, True):
            self._begin(run_s=0.3)
            async with self.site.leader() as leader:
                await (await self._hold_up(leader, late_s=2.5))
                self.assertEqual(self.site.history.starts, [self.job.task(0)])
                await self._wait_until(1.9)
                if crashes:
                    self.late.crash(down_s=0.55)
                    await asyncio.sleep(0.05)
                attempt = self.site.job(
                    count=1, run_s=1.0, cores=16.0, stretch=6.0, deadline_s=9
                )
                submitted = asyncio.create_task(
                    leader.submit(attempt, self.site.origin)
                )
                await self._wait_until(2.4)
                self.assertEqual(
                    len(self.site.history.starts), 1 if crashes else 2
                )
                self.assertEqual(await submitted, outcomes.Complete(()))
                self.assertLess(
                    self.site.clock.monotonic() - self.began_at, 3.8
                )
            self.assertEqual(self.site.history.overlapping, [])

    async def test_attempt_is_answered_if_the_endpoint_stays_silent(self):
        """Guards against callers that wait in vain for a lost endpoint."""
        self._begin(run_s=0.3)
        async with self.site.leader() as leader:
            await (await self._hold_up(leader, late_s=50.0))
            await self._wait_until(1.0)
            self.late.crash(down_s=99.0)
            await asyncio.sleep(0.1)
            attempt = self.site.job(
                count=1, run_s=0.3, cores=16.0, stretch=6.0, deadline_s=9
            )
            outcome = await leader.submit(attempt, self.site.origin)
            self.assertIsInstance(outcome, outcomes.Unknown)
            self.assertLess(self.site.clock.monotonic() - self.began_at, 2.4)
        self.assertEqual(len(self.site.history.starts), 1)

    async def test_other_jobs_go_on_if_the_endpoint_stays_silent(self):
        """Guards against the loss of a sound run for a start that may come."""
        self._begin(run_s=2.0)
        async with self.site.leader() as leader:
            submitted = await self._hold_up(leader, late_s=50.0)
            other = self.site.job(
                "b" * 16, count=2, run_s=2.0, cores=16.0, deadline_s=9
            )
            answer = asyncio.create_task(leader.submit(other, self.site.origin))
            await self._wait_until(0.2)
            self.late.crash(down_s=99.0)
            self.assertEqual(await answer, outcomes.Complete(()))
            self.assertIsInstance(await submitted, outcomes.Unknown)
        self.assertEqual(len(self.site.history.starts), 2)


class BlockedTaskTest(unittest.IsolatedAsyncioTestCase):

    def _leased(self, site, number):
        leased = leased_endpoint.LeasedEndpoint(
            site.endpoints[number], lease=leases.Lease(duration_s=1.0)
        )
        leased.silent_since = site.clock.monotonic()
        return leased

    def _held_up(self, site, *endpoints):
        """Returns a job whose task 0 has a held-up start at each endpoint."""
        now = site.clock.monotonic()
        active = active_job.ActiveJob(site.job(deadline_s=9.0), now=now)
        starts = held_up_starts.HeldUpStarts()
        for number, leased in enumerate(endpoints):
            run = active.new_run(0, 1 + number)
            run.held_up_until = now + 12 + number
            starts.add(leased, run)
        pool = {leased.endpoint.id: leased for leased in endpoints}
        return active, starts, mock.Mock(find=pool.get)

    async def test_task_may_start_at_one_endpoint_only(self):
        """Guards against a start beside one that may come elsewhere.

        It ends as the start can no longer come, a lease after 12 s.
        """
        site = _jobs.Site()
        now = site.clock.monotonic()
        first, second = self._leased(site, 0), self._leased(site, 1)
        for leased in (first, second):
            leased.silent_since, leased.reconciled = None, True
        active, starts, pool = self._held_up(site, first, second)
        task = active.job.task(0)
        for passed_s, found, ids in (
            (0, None, set()),
            (13, None, set()),
            (13.1, second, {"e1"}),
            (14.1, None, {"e0", "e1"}),
        ):
            starts.remove_expired(now + passed_s)
            self.assertIs(starts.retry(task, pool, now + passed_s), found)
            allowed = {e for e in ("e0", "e1") if starts.may_start_at(task, e)}
            self.assertEqual(allowed, ids, passed_s)
            # Attempts at this leader, and at others that ask it.
            self.assertEqual(starts.blocks_any(active), passed_s < 14)
            self.assertEqual(starts.blocks_key(active.job.key), passed_s < 14)

    async def test_task_starts_after_the_lists_were_read(self):
        """Guards against a start beside a late run that is not known yet."""
        site = _jobs.Site()
        now = site.clock.monotonic()
        leased = self._leased(site, 0)
        active, starts, pool = self._held_up(site, leased)
        task = active.job.task(0)
        self.assertIsNone(starts.retry(task, pool, now))
        leased.silent_since = None
        self.assertIsNone(starts.retry(task, pool, now))
        leased.reconciled = True
        self.assertIs(starts.retry(task, pool, now), leased)
        leased.orphans[task] = 1
        self.assertIsNone(starts.retry(task, pool, now))

    async def test_job_waits_for_an_endpoint_that_answers_again(self):
        """Guards against answering a job early whose task starts soon."""
        site = _jobs.Site()
        now = site.clock.monotonic()
        leased = self._leased(site, 0)
        active, starts, pool = self._held_up(site, leased)
        self.assertTrue(starts.outlast(active, pool, now))
        leased.silent_since = None
        self.assertFalse(starts.outlast(active, pool, now))

    async def test_next_leader_is_told_of_a_start(self):
        """Guards against a start that the next leader counts as impossible."""
        site = _jobs.Site()
        now = site.clock.monotonic()
        leased = self._leased(site, 0)
        active = active_job.ActiveJob(site.job(count=3), now=now)
        run = active.new_run(2, 1)
        run.token, run.held_up_until = 7, now + 12
        former, starts = (held_up_starts.HeldUpStarts() for _ in range(2))
        former.add(leased, run)
        told = former.starts_of(active, now + 2)
        self.assertEqual([(s.index, s.endpoint) for s in told], [(2, "e0")])
        starts.adopt(active.job, told, now + 5)
        starts.remove_expired(now + 16)
        self.assertTrue(starts.blocks(run.task))
        starts.remove_expired(now + 16.1)
        self.assertFalse(starts.blocks(run.task))
