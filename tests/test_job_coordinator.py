"""The caller's side of a job: parts, lost stewards and true answers."""

import asyncio

from sesameroad import errors
from sesameroad.jobs import coordinator
from sesameroad.jobs import partitioning
from sesameroad.model import outcome as outcomes
from tests import _jobs
from tests import _virtual

_DONE = outcomes.Complete(())
_UNTIL_CANCELLED = object()


class _Leader:
    """Answers with what a test queues, and remembers what it was asked."""

    def __init__(self, *answers, free_cores=0.0, wait_s=0.0):
        self.answers = list(answers)
        self.asked = []
        self.cancelled = []
        self.ended = asyncio.Event()
        self.free_cores = free_cores
        self.wait_s = wait_s

    async def submit(self, job, *, moved, lent):
        self.asked.append((job.indices, moved, lent))
        answer = self.answers.pop(0)
        if answer is _UNTIL_CANCELLED:
            await self.ended.wait()
            return outcomes.Unknown(outcomes.Cause.CANCELLED, "cancelled")
        if isinstance(answer, Exception):
            raise answer
        await asyncio.sleep(0.01)
        return answer

    def cancel(self, name):
        self.cancelled.append(name)
        self.ended.set()


class _Leaders:

    def __init__(self, *, unserved_s=60.0, **leaders):
        self.leaders = leaders
        self.unserved_s = unserved_s

    def offers(self):
        return [
            partitioning.Offer(name, s.free_cores, s.wait_s)
            for name, s in self.leaders.items()
        ]

    def route(self, data_centre):
        return self.leaders.get(data_centre)

    def expect(self, data_centre, job):
        pass

    def refused(self, data_centre):
        pass


class JobCoordinatorTest(_virtual.VirtualTimeTest):

    async def run_job(self, leaders, count=4):
        site = _jobs.Site(count=1)
        job_coordinator = coordinator.JobCoordinator(
            data_centre="dc1", leaders=leaders, clock=site.clock
        )
        return await job_coordinator.run(
            site.job(count=count, cores=8.0, deadline_s=9)
        )

    async def test_job_with_room_at_home_stays_there(self):
        own = _Leader(_DONE, free_cores=64.0)
        other = _Leader(free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked, [((0, 1, 2, 3), False, False)])

    async def test_tasks_without_room_at_home_are_lent(self):
        own = _Leader(_DONE, free_cores=17.0)
        other = _Leader(_DONE, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked, [((0, 1), False, False)])
        self.assertEqual(other.asked, [((2, 3), False, True)])

    async def test_part_without_room_elsewhere_waits_at_home(self):
        full = outcomes.NotRun(outcomes.Cause.NO_ROOM, "full")
        own = _Leader(_DONE, _DONE, free_cores=17.0)
        other = _Leader(full, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked[1], ((2, 3), False, False))

    async def test_part_that_may_have_run_stays_in_its_data_centre(self):
        """A steward elsewhere could start a task that still runs."""
        lost = errors.PeerError("broken", step="ask peer")
        own = _Leader(lost, _DONE, free_cores=64.0)
        other = _Leader(free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked[1], ((0, 1, 2, 3), True, False))
        self.assertEqual(other.asked, [])

    async def test_refusal_after_a_lost_leader_is_not_called_not_run(self):
        lost = errors.PeerError("broken", step="ask peer")
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "full")
        own = _Leader(lost, refusal, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own))
        self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_refused_part_beside_a_started_one_is_not_called_not_run(
        self,
    ):
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "full")
        own = _Leader(_UNTIL_CANCELLED, free_cores=17.0)
        other = _Leader(refusal, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(own.cancelled, ["0123456789abcdef/0"])

    async def test_job_is_not_run_if_no_part_of_it_has_started(self):
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "full", 1.0)
        own = _Leader(refusal, free_cores=17.0)
        other = _Leader(refusal, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertIsInstance(outcome, outcomes.NotRun)

    async def test_without_any_leader_the_caller_is_told_soon(self):
        site = _jobs.Site(count=1)
        began = site.clock.monotonic()
        outcome = await self.run_job(_Leaders())
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertLess(site.clock.monotonic() - began, 0.2)

    async def test_leader_that_is_expected_is_waited_for(self):
        """Found on a recorded day: 100 jobs refused within 0.05 s of arrival.

        All instances had lost power; the first steward followed 0.6 s after
        their start, early enough for most of these jobs.
        """
        leaders = _Leaders(unserved_s=0.1)
        own = _Leader(_DONE, free_cores=64.0)

        async def claim():
            await asyncio.sleep(0.6)
            leaders.leaders["dc1"] = own

        outcome, _ = await asyncio.gather(self.run_job(leaders), claim())
        self.assertEqual(outcome, _DONE)

    async def test_expected_leader_is_waited_for_only_while_of_use(self):
        site = _jobs.Site(count=1)
        began = site.clock.monotonic()
        outcome = await self.run_job(_Leaders(unserved_s=0.0))
        self.assertIsInstance(outcome, outcomes.NotRun)
        # The job takes 0.2 s and is of use for 1.14 s.
        self.assertLess(site.clock.monotonic() - began, 1.0)

    async def test_part_that_has_not_started_goes_to_another_leader(self):
        """Its own data centre may be without one for seconds."""
        gone = errors.PeerNotSentError("closed", step="ask peer")
        own = _Leader(gone, free_cores=64.0)
        other = _Leader(_DONE, free_cores=8.0)
        leaders = _Leaders(dc1=own, dc2=other)

        async def lose():
            await asyncio.sleep(0.01)
            del leaders.leaders["dc1"]

        outcome, _ = await asyncio.gather(self.run_job(leaders), lose())
        self.assertEqual(outcome, _DONE)
        self.assertEqual(other.asked, [((0, 1, 2, 3), False, False)])
