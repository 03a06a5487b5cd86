"""Answers to the callers of an instance, whatever their jobs wait for."""

import asyncio
import types

from sesameroad.jobs import coordinator as coordinator_module
from sesameroad.jobs import partitioning
from sesameroad.model import outcomes
from sesameroad.node import caller_jobs
from tests import _jobs
from tests import _virtual

_CANCELLED = "cancelled by its caller"


class _Coordinator:
    """Fake coordinator whose jobs end when the test says so."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.begun = 0
        self.cancelled = 0

    async def run(self, job):
        self.begun += 1
        try:
            await self.ended.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return outcomes.Complete(())

    def withdraw(self, key):
        pass

    def stopped(self, key):
        return outcomes.Unknown(outcomes.Cause.STOPPING, "stops")


class _Leader:
    """A leader that answers a job only when it is told to end it."""

    def __init__(self, *, answers, outcome):
        self._ended = asyncio.Event()
        self._answers = answers
        self._outcome = outcome

    async def submit(self, job, *, moved, lent):
        del job, moved, lent
        await self._ended.wait()
        return self._outcome

    def cancel(self, name):
        del name
        if self._answers:
            self._ended.set()


class _Leaders:

    unserved_s = 0.0

    def __init__(self, **leaders):
        self._leaders = leaders

    def offers(self):
        return [partitioning.Offer(name, 8.0, 0.0) for name in self._leaders]

    def route(self, data_centre):
        return self._leaders.get(data_centre)

    def reserve(self, data_centre, job):
        pass

    def mark_full(self, data_centre):
        pass


class _CallerJobsTest(_virtual.VirtualTimeTest):

    def open(self, coordinator):
        self.coordinator = coordinator
        self.logged = []
        self.jobs = caller_jobs.CallerJobs(
            coordinator=coordinator,
            ended=lambda job, outcome, _: self.logged.append(
                (job.key, outcome)
            ),
            clock=_virtual.Clock(),
        )

    async def call(self, job=None):
        job = job or types.SimpleNamespace(key="k")
        call = asyncio.create_task(self.jobs.run(job))
        await asyncio.sleep(0.01)
        return call


class RepeatedRequestTest(_CallerJobsTest):
    """Guards against a lost connection that ends a later attempt as well."""

    async def test_later_attempt_is_answered_after_the_first_has_ended(self):
        """The loss of a connection is noticed after its request came again."""
        self.open(_Coordinator())
        first, second = await self.call(), await self.call()
        first.cancel()
        await asyncio.sleep(0.01)
        self.coordinator.ended.set()
        outcome = await asyncio.wait_for(second, 1.0)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(self.coordinator.begun, 1)
        self.assertFalse(self.jobs.is_running("k"))

    async def test_job_ends_once_all_its_callers_have_left(self):
        self.open(_Coordinator())
        first, second = await self.call(), await self.call()
        first.cancel()
        second.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(self.coordinator.cancelled, 1)
        self.assertFalse(self.jobs.is_running("k"))
        self.assertEqual(self.logged, [("k", None)])

    async def test_request_that_comes_as_the_last_caller_leaves_begins_again(
        self,
    ):
        self.open(_Coordinator())
        first = await self.call()
        first.cancel()
        again = asyncio.create_task(
            self.jobs.run(types.SimpleNamespace(key="k"))
        )
        await asyncio.sleep(0.01)
        self.coordinator.ended.set()
        outcome = await asyncio.wait_for(again, 1.0)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(self.coordinator.begun, 2)


class CancelTest(_CallerJobsTest):

    async def test_waiting_caller_is_answered(self):
        """Guards against a request without an answer, which is sent again."""
        self.open(_Coordinator())
        call = await self.call()
        self.assertTrue(self.jobs.cancel("k"))
        outcome = await asyncio.wait_for(call, 0.1)
        self.assertEqual(outcome.cause, outcomes.Cause.CANCELLED)
        self.assertEqual(outcome.detail, _CANCELLED)
        self.assertEqual(self.coordinator.cancelled, 1)
        self.assertEqual(self.logged, [("k", outcome)])

    async def test_later_attempt_is_not_run(self):
        """Guards against a run of a job that was cancelled before."""
        self.open(_Coordinator())
        await self.call()
        self.jobs.cancel("k")
        again = await (await self.call())
        self.assertEqual(again.cause, outcomes.Cause.CANCELLED)
        self.assertFalse(self.jobs.cancel("early"))
        early = await self.call(types.SimpleNamespace(key="early"))
        self.assertEqual((await early).cause, outcomes.Cause.CANCELLED)
        self.assertEqual(self.coordinator.begun, 1)

    async def test_failed_job_is_reported_to_its_caller(self):
        """Guards against an unexpected error that leaves a call waiting."""

        async def fail(job):
            raise RuntimeError(job.key)

        coordinator = _Coordinator()
        coordinator.run = fail
        self.open(coordinator)
        with self.assertRaises(RuntimeError):
            await (await self.call())
        self.assertEqual(self.logged, [("k", None)])


class WithdrawTest(_CallerJobsTest):
    """Guards against a graceful stop that leaves a caller without an answer."""

    async def withdraw(self, leaders):
        site = _jobs.Site(count=1)
        self.open(
            coordinator_module.JobCoordinator(
                data_centre="dc1", leaders=leaders, clock=site.clock
            )
        )
        job = site.job(count=4, cores=8.0, deadline_s=60)
        call = await self.call(job)
        self.assertFalse(call.done())
        await self.jobs.withdraw_all()
        return await asyncio.wait_for(call, 0.1)

    async def test_job_that_waits_at_a_leader_is_not_run(self):
        refusal = outcomes.NotRun(outcomes.Cause.CANCELLED, "cancelled", 1.0)
        leader = _Leader(answers=True, outcome=refusal)
        self.assertEqual(await self.withdraw(_Leaders(dc1=leader)), refusal)

    async def test_job_at_a_silent_leader_may_have_run(self):
        leader = _Leader(answers=False, outcome=outcomes.Complete(()))
        outcome = await self.withdraw(_Leaders(dc1=leader))
        self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_part_at_a_silent_leader_may_have_run(self):
        """A refusal of the other part must not decide for the whole job."""
        refusal = outcomes.NotRun(outcomes.Cause.CANCELLED, "cancelled", 1.0)
        outcome = await self.withdraw(
            _Leaders(
                dc1=_Leader(answers=True, outcome=refusal),
                dc2=_Leader(answers=False, outcome=outcomes.Complete(())),
            )
        )
        self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_job_that_looks_for_a_leader_is_not_run(self):
        outcome = await self.withdraw(_Leaders())
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.cause, outcomes.Cause.STOPPING)


class _CancellingCoordinator(_Coordinator):
    """Fake coordinator whose jobs are cancelled without a caller's doing."""

    async def run(self, job):
        raise asyncio.CancelledError


class _SlowCoordinator(_Coordinator):
    """Fake coordinator that ends cancelled jobs when the test says so."""

    async def run(self, job):
        self.begun += 1
        try:
            await asyncio.Event().wait()
        finally:
            await self.ended.wait()


class CancelledTaskTest(_CallerJobsTest):

    async def test_caller_of_a_job_that_is_cancelled_elsewhere_is_answered(
        self,
    ):
        """Guards against a connection that closes without an answer.

        The end of the job's task cancelled the answer for which its caller
        waits, and with it the handler of the request.
        """
        self.open(_CancellingCoordinator())
        call = await self.call()
        self.assertIsInstance(await call, outcomes.Unknown)

    async def test_request_that_waits_for_its_former_attempt_begins_no_job(
        self,
    ):
        """Guards against a job that begins after all others were withdrawn.

        Nothing would answer it before the instance ends. The request waited for
        the end of an attempt whose caller had left.
        """
        self.open(_SlowCoordinator())
        former = await self.call()
        former.cancel()
        later = await self.call()
        withdrawal = asyncio.create_task(self.jobs.withdraw_all())
        await asyncio.sleep(0.01)
        self.coordinator.ended.set()
        await withdrawal
        self.assertIsInstance(await later, outcomes.NotRun)
        self.assertEqual(self.coordinator.begun, 1)
