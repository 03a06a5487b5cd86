"""Tests the partitioning of jobs and their outcomes when leaders are lost."""

import asyncio

from sesameroad import errors
from sesameroad.jobs import coordinator
from sesameroad.jobs import partitioning
from sesameroad.membership import evacuations
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual

_DONE = outcomes.Complete(())
_UNTIL_CANCELLED = object()


class _Leader:
    """Returns queued answers and records the jobs submitted to it."""

    def __init__(self, *answers, free_cores=0.0, wait_s=0.0, took_s=0.01):
        self.answers = list(answers)
        self.took_s = took_s
        self.asked = []
        self.offers = []
        self.unstarted = []
        self.succeeded = []
        self.cancelled = []
        self.ended = asyncio.Event()
        self.free_cores = free_cores
        self.wait_s = wait_s

    async def submit(self, job, *, moved, lent):
        self.asked.append((job.indices, moved, lent))
        self.offers.append(job.offer)
        self.unstarted.append(job.unstarted)
        self.succeeded.append(job.succeeded)
        answer = self.answers.pop(0)
        if answer is _UNTIL_CANCELLED:
            await self.ended.wait()
            return outcomes.Unknown(outcomes.Cause.CANCELLED, "cancelled")
        if isinstance(answer, Exception):
            raise answer
        await asyncio.sleep(self.took_s)
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

    def reserve(self, data_centre, job):
        pass

    def mark_full(self, data_centre):
        pass


class JobCoordinatorTest(_virtual.VirtualTimeTest):

    async def test_jobs_that_no_leader_has_are_known(self):
        """Guards against a new leader that is not told of a job on its way."""
        site = _jobs.Site(count=1)
        lost = outcomes.Unknown(outcomes.Cause.STEWARD_LOST, "")
        leaders = _Leaders(dc1=_Leader(lost, _DONE))
        job_coordinator = coordinator.JobCoordinator(
            data_centre="dc1", leaders=leaders, clock=site.clock
        )
        job = site.job(deadline_s=9)
        running = asyncio.create_task(job_coordinator.run(job))
        await asyncio.sleep(0.005)
        self.assertEqual(job_coordinator.between_leaders(), [])
        (leader,) = leaders.leaders.values()
        leaders.leaders.clear()
        await asyncio.sleep(0.02)
        (moving,) = job_coordinator.between_leaders()
        self.assertEqual(moving.indices, job.indices)
        leaders.leaders["dc1"] = leader
        self.assertEqual(await running, _DONE)
        self.assertEqual(job_coordinator.between_leaders(), [])

    async def run_job(self, leaders, count=4, **options):
        site = _jobs.Site(count=1)
        job_coordinator = coordinator.JobCoordinator(
            data_centre="dc1", leaders=leaders, clock=site.clock, **options
        )
        return await job_coordinator.run(
            site.job(count=count, cores=8.0, deadline_s=9)
        )

    async def test_job_that_fits_stays_in_its_data_centre(self):
        """Guards against needless transfers between data centres."""
        own = _Leader(_DONE, free_cores=64.0)
        other = _Leader(free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked, [((0, 1, 2, 3), False, False)])

    async def test_each_offer_has_a_higher_number(self):
        """Guards against a move that its former leader takes for an earlier one.

        After a restart, an instance has the same id.
        """
        lost = errors.PeerError("lost", step="offer job", peer="i2")
        leader = _Leader(lost, lost, _DONE, took_s=0.0)
        await self.run_job(_Leaders(dc1=leader))
        self.assertEqual(leader.offers, sorted(set(leader.offers)))
        await asyncio.sleep(0.1)
        restarted = _Leader(_DONE)
        await self.run_job(_Leaders(dc1=restarted))
        self.assertGreater(restarted.offers[0], leader.offers[-1])

    async def test_tasks_that_do_not_fit_are_lent(self):
        """Guards against tasks that wait while there is capacity elsewhere."""
        own = _Leader(_DONE, free_cores=17.0)
        other = _Leader(_DONE, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked, [((0, 1), False, False)])
        self.assertEqual(other.asked, [((2, 3), False, True)])

    async def test_part_refused_elsewhere_waits_in_its_data_centre(self):
        """Guards against a failed job when lent tasks are refused."""
        full = outcomes.NotRun(outcomes.Cause.NO_ROOM, "full")
        own = _Leader(_DONE, _DONE, free_cores=17.0)
        other = _Leader(full, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked[1], ((2, 3), False, False))

    async def test_job_in_an_evacuated_data_centre(self):
        """Guards against a refusal while another data centre has capacity.

        A job that only evacuated ones can run may be running there, so that only
        their leader can say that it was not run.
        """
        refused = outcomes.NotRun(outcomes.Cause.NO_ENDPOINT, "evacuated")
        state = evacuations.Evacuations()
        state.adopt(3, ["dc1"], source="p1")
        for confined_to, answer, expected in (
            ([], refused, _DONE),
            (["dc1"], refused, refused),
            (["dc1"], _DONE, _DONE),
        ):
            outcome = await self.run_job(
                _Leaders(dc1=_Leader(answer), dc2=_Leader(_DONE)),
                evacuations=state,
                confined_to=lambda _, names=confined_to: names,
            )
            self.assertEqual(outcome, expected)

    async def test_job_that_its_leader_refuses_is_offered_once_more(self):
        """Guards against refusals while another data centre has free cores.

        The load peaks in one data centre, and its leader reports a wait.
        """
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "busy", 2.0)
        full = outcomes.NotRun(outcomes.Cause.NO_ROOM, "full")
        for answers, free_cores, expected, offers in (
            ((_DONE,), 64.0, _DONE, 1),
            # The report of the other leader was out of date.
            ((full,), 64.0, refusal, 1),
            ((refusal,), 64.0, refusal, 1),
            # Too little for the whole job.
            ((), 8.0, refusal, 0),
        ):
            # The first leader had room when it reported last.
            own = _Leader(refusal, free_cores=64.0)
            other = _Leader(*answers, free_cores=free_cores)
            leaders = _Leaders(dc1=own, dc2=other)
            outcome = await self.run_job(leaders, reroutes=True)
            self.assertEqual(outcome, expected)
            self.assertEqual(len(own.asked), 1)
            self.assertEqual(
                other.asked, [((0, 1, 2, 3), False, True)] * offers
            )
        own = _Leader(refusal, free_cores=64.0)
        outcome = await self.run_job(
            _Leaders(dc1=own, dc2=_Leader(free_cores=64.0))
        )
        self.assertEqual(outcome, refusal)

    async def test_lost_leader_of_a_refused_job_makes_it_unknown(self):
        """Guards against "not run" after a second leader may have started it."""
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "busy", 2.0)
        lost = errors.PeerError("broken", step="ask peer")
        own = _Leader(refusal, free_cores=64.0)
        other = _Leader(lost, refusal, free_cores=64.0)
        outcome = await self.run_job(
            _Leaders(dc1=own, dc2=other), reroutes=True
        )
        self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_part_that_may_have_run_stays_in_its_data_centre(self):
        """Guards against a second run of a task by a leader elsewhere."""
        lost = errors.PeerError("broken", step="ask peer")
        own = _Leader(lost, _DONE, free_cores=64.0)
        other = _Leader(free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.asked[1], ((0, 1, 2, 3), True, False))
        self.assertEqual(other.asked, [])

    async def test_refusal_after_a_lost_leader_is_unknown(self):
        """Guards against "not run" although tasks may have run."""
        lost = errors.PeerError("broken", step="ask peer")
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "full")
        own = _Leader(lost, refusal, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own))
        self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_refused_part_beside_a_started_one_is_unknown(self):
        """Guards against "not run" although another part has started."""
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "full")
        own = _Leader(_UNTIL_CANCELLED, free_cores=17.0)
        other = _Leader(refusal, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(own.cancelled, ["0123456789abcdef/0"])

    async def test_job_is_not_run_if_no_part_of_it_has_started(self):
        """Guards against an unknown outcome when all parts are refused."""
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "full", 1.0)
        own = _Leader(refusal, free_cores=17.0)
        other = _Leader(refusal, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own, dc2=other))
        self.assertIsInstance(outcome, outcomes.NotRun)

    async def test_job_without_any_leader_is_refused_early(self):
        """Guards against a long wait when no leader is expected."""
        site = _jobs.Site(count=1)
        began = site.clock.monotonic()
        outcome = await self.run_job(_Leaders())
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertLess(site.clock.monotonic() - began, 0.2)

    async def test_job_waits_for_an_expected_leader(self):
        """Guards against refusals of jobs while an election is in progress.

        After a power loss of all instances, 100 jobs were refused within 0.05 s
        of their arrival. The first leader was elected 0.6 s after the restart,
        early enough for most of them.
        """
        leaders = _Leaders(unserved_s=0.1)
        own = _Leader(_DONE, free_cores=64.0)

        async def claim():
            await asyncio.sleep(0.6)
            leaders.leaders["dc1"] = own

        outcome, _ = await asyncio.gather(self.run_job(leaders), claim())
        self.assertEqual(outcome, _DONE)

    async def test_job_that_waited_at_a_stopping_leader_waits_for_the_next(
        self,
    ):
        """Guards against refusals of jobs that a stopping leader gives back.

        The time for which they look for a leader counted from their arrival.
        """
        resigned = outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "no leader here")
        first = _Leader(resigned, free_cores=64.0, took_s=0.5)
        second = _Leader(_DONE, free_cores=64.0)
        leaders = _Leaders(dc1=first)

        async def change_leader():
            await asyncio.sleep(0.4)
            del leaders.leaders["dc1"]
            leaders.unserved_s = 0.0
            await asyncio.sleep(0.2)
            leaders.leaders["dc1"] = second

        outcome, _ = await asyncio.gather(
            self.run_job(leaders), change_leader()
        )
        self.assertEqual(outcome, _DONE)
        self.assertEqual(second.asked, [((0, 1, 2, 3), False, False)])

    async def test_next_leader_learns_which_tasks_have_not_been_started(self):
        """Guards against a task that counts as not started by one leader only.

        After a lost leader that has not told, any task may have been started.
        Tasks that have succeeded remain so.
        """
        lost = [
            outcomes.Unknown(
                outcomes.Cause.STEWARD_LOST,
                "changed",
                unstarted=unstarted,
                succeeded=succeeded,
            )
            for unstarted, succeeded in (((0, 1, 3), (2,)), ((1, 3), (0,)))
        ]
        broken = errors.PeerError("stream closed", step="ask peer")
        own = _Leader(*lost, broken, _DONE, free_cores=64.0)
        outcome = await self.run_job(_Leaders(dc1=own))
        self.assertEqual(outcome, _DONE)
        self.assertEqual(own.unstarted, [(), (0, 1, 3), (1, 3), ()])
        self.assertEqual(own.succeeded, [(), (2,), (0, 2), (0, 2)])

    async def test_started_job_survives_two_leaders_that_stop(self):
        """Guards against a lost answer although the next leader is expected.

        The time for which a started job looks for a leader counted from the
        loss of the first one, also while it was at the second one.
        """
        lost = outcomes.Unknown(outcomes.Cause.STEWARD_LOST, "changed")
        resigned = outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "no leader here")
        first = _Leader(lost, free_cores=64.0)
        second = _Leader(resigned, took_s=1.3)
        third = _Leader(_DONE)
        leaders = _Leaders(dc1=first)

        async def change_leaders():
            await asyncio.sleep(0.02)
            leaders.leaders["dc1"] = second
            await asyncio.sleep(1.0)
            del leaders.leaders["dc1"]
            await asyncio.sleep(0.5)
            leaders.leaders["dc1"] = third

        outcome, _ = await asyncio.gather(
            self.run_job(leaders), change_leaders()
        )
        self.assertEqual(outcome, _DONE)
        self.assertEqual(third.asked, [((0, 1, 2, 3), True, False)])

    async def test_wait_for_an_expected_leader_is_bounded(self):
        """Guards against a wait beyond the time when a response is useful."""
        site = _jobs.Site(count=1)
        began = site.clock.monotonic()
        outcome = await self.run_job(_Leaders(unserved_s=0.0))
        self.assertIsInstance(outcome, outcomes.NotRun)
        # The job takes 0.2 s and its response is useful for 1.14 s.
        self.assertLess(site.clock.monotonic() - began, 1.0)

    async def test_part_that_has_not_started_goes_to_another_leader(self):
        """Guards against refusals while its data centre has no leader.

        A data centre may be without a leader for seconds.
        """
        gone = errors.PeerNotSentError("closed", step="ask peer")
        own = _Leader(gone, free_cores=64.0)
        other = _Leader(_DONE, free_cores=8.0)
        leaders = _Leaders(dc1=own, dc2=other)

        async def lose_leader():
            await asyncio.sleep(0.01)
            del leaders.leaders["dc1"]

        outcome, _ = await asyncio.gather(self.run_job(leaders), lose_leader())
        self.assertEqual(outcome, _DONE)
        self.assertEqual(other.asked, [((0, 1, 2, 3), False, False)])
