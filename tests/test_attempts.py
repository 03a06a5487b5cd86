"""Tests of later attempts of a caller at other leaders, in virtual time.

The origin of the earlier attempt lives and has not noticed that the caller is
gone. The caller comes again after 1.3 s, at another origin.
"""

import asyncio
import contextlib
import dataclasses
import itertools

from sesameroad.jobs import attempts as attempts_module
from sesameroad.model import attempts
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual

_RETURN_S = 1.3
_NOTICE_S = 1.0
_RUN_S = 2.0


class _Fleet:
    """Two leaders, with four endpoints each, and the attempts of a caller.

    The first attempt is at the first leader, or divided between both.
    """

    def __init__(self):
        self.site = _jobs.Site(count=4)
        self.job = self.site.job(
            count=4, run_s=_RUN_S, deadline_s=9, stretch=4.0
        )
        self.leaders = []
        self.other = _jobs.Origin("other")
        self.all = self.job.indices
        self._stacks = []
        self._firsts = []

    async def __aenter__(self):
        await self._open(token=1)
        await self.add_leader(token=2)
        return self

    async def __aexit__(self, *error):
        for number in range(len(self._stacks)):
            await self.close(number)
        await asyncio.gather(*self._firsts)

    async def _open(self, *, token, **options):
        stack = contextlib.AsyncExitStack()
        self._stacks.append(stack)
        self.leaders.append(
            await stack.enter_async_context(
                self.site.leader(token=token, **options)
            )
        )

    async def close(self, number):
        await self._stacks[number].aclose()

    async def add_leader(self, *, token, **options):
        listed, self.site.endpoints = self.site.endpoints, []
        for number in range(4):
            self.site.add(f"e{token}{number}", 16.0)
        await self._open(token=token, **options)
        self.site.endpoints = listed

    async def start(self, parts, *, after_s=0.0):
        """Starts the first attempt and waits until the caller comes again."""
        self._firsts += [
            asyncio.create_task(
                self.leaders[number].submit(
                    self.job.part(indices), self.site.origin
                )
            )
            for number, indices in parts.items()
        ]
        await asyncio.sleep(_RETURN_S + min(0.0, after_s))

    async def repeat(self, parts, *, origin=None):
        """Plays a later attempt; returns the outcomes of its parts."""
        return await asyncio.gather(
            *(
                self.leaders[number].submit(
                    self.job.part(indices), origin or self.other
                )
                for number, indices in parts.items()
            )
        )


class AttemptsTest(_virtual.VirtualTimeTest):

    async def test_divisions_of_both_attempts(self):
        """Guards against tasks of two attempts at two leaders side by side."""
        divisions = (
            {0: (0, 1, 2, 3)},
            {1: (0, 1, 2, 3)},
            {0: (0, 1), 1: (2, 3)},
            {0: (2, 3), 1: (0, 1)},
            {0: (0,), 1: (1, 2, 3)},
        )
        for former, later in itertools.product(divisions, repeat=2):
            async with _Fleet() as fleet:
                await fleet.start(former)
                answers = await fleet.repeat(later)
            self.assertEqual(
                (answers, fleet.site.history.overlapping),
                ([outcomes.Complete(())] * len(later), []),
                (former, later),
            )

    async def test_first_attempt_sends_nothing_before_its_notice_age(self):
        """Guards against messages, or a wait, for each job."""
        for run_s, count in ((0.9, 0), (2.0, 1)):
            async with _Fleet() as fleet:
                began_at = asyncio.get_running_loop().time()
                job = fleet.site.job(run_s=run_s, deadline_s=9)
                await fleet.leaders[0].submit(job, fleet.site.origin)
            sent = fleet.site.links.sent
            self.assertEqual(len(sent), count)
            for at, notice in sent:
                self.assertGreaterEqual(at - began_at, _NOTICE_S)
                self.assertLess(at - began_at, _RETURN_S - 0.1)
                self.assertIsInstance(notice, attempts.Running)

    async def test_later_attempt_starts_soon_after_the_earlier_has_ended(self):
        """Guards against a wait for leases if both leaders are reachable."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            began_at = asyncio.get_running_loop().time()
            await fleet.repeat({1: fleet.all})
            took_s = asyncio.get_running_loop().time() - began_at
        self.assertLess(took_s, _RUN_S + 0.3)

    async def test_lost_notices_are_repeated(self):
        """Guards against a question or an answer that is lost."""
        for lost in (1, 2, 3):
            async with _Fleet() as fleet:
                await fleet.start({0: fleet.all})
                fleet.site.links.lost = lost
                answers = await fleet.repeat({1: fleet.all})
            self.assertEqual(answers, [outcomes.Complete(())])
            self.assertEqual(fleet.site.history.overlapping, [])

    async def test_cut_between_the_leaders_is_answered_at_once(self):
        """Guards against a start, or a silent wait, while none can be asked."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            fleet.site.links.cut.add("leader1")
            began_at = asyncio.get_running_loop().time()
            answers = await fleet.repeat({1: fleet.all})
            took_s = asyncio.get_running_loop().time() - began_at
            self.assertLess(took_s, 0.2)
        self.assertIsInstance(answers[0], outcomes.Unknown)
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_cut_that_ends_lets_the_attempt_after_it_start(self):
        """Guards against a job that stays blocked after the cut."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            fleet.site.links.cut.add("leader1")
            await fleet.repeat({1: fleet.all})
            fleet.site.links.cut.clear()
            answers = await fleet.repeat({1: fleet.all})
        self.assertEqual(answers, [outcomes.Complete(())])
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_job_moves_from_a_resigned_leader_that_has_told_of_it(self):
        """Guards against tasks that wait although no leader has started them.

        The other leader knows the job as one of its former leader.
        """
        async with _Fleet() as fleet:
            site = fleet.site
            job = dataclasses.replace(fleet.job, offer=1)
            filler = site.job("f" * 16, count=7, run_s=1.5, deadline_s=9)
            busy = asyncio.create_task(
                fleet.leaders[0].submit(filler, _jobs.Origin("busy"))
            )
            await asyncio.sleep(0.01)
            former = asyncio.create_task(
                fleet.leaders[0].submit(job, site.origin)
            )
            await asyncio.sleep(_RETURN_S)
            await fleet.close(0)
            answer = await former
            self.assertEqual(answer.unstarted, (1, 2, 3))
            moved = dataclasses.replace(
                job, offer=2, unstarted=answer.unstarted
            )
            moving = asyncio.create_task(
                fleet.leaders[1].submit(moved, site.origin, moved=True)
            )
            await asyncio.sleep(0.1)
            started = set(site.history.starts)
            self.assertTrue({job.task(i) for i in (1, 2, 3)} <= started)
            await asyncio.gather(moving, busy)
        self.assertEqual(site.history.overlapping, [])

    async def test_leader_that_resigns_as_the_caller_comes_again(self):
        """Guards against its runs, which go on until their leases end."""
        for resigns_s in (-0.05, 0.0, 0.001, 0.002, 0.05):
            async with _Fleet() as fleet:
                await fleet.start({0: fleet.all}, after_s=resigns_s)
                if resigns_s > 0:
                    later = asyncio.create_task(fleet.repeat({1: fleet.all}))
                    await asyncio.sleep(resigns_s)
                    await fleet.close(0)
                else:
                    await fleet.close(0)
                    await asyncio.sleep(-resigns_s)
                    later = asyncio.create_task(fleet.repeat({1: fleet.all}))
                answers = await later
            self.assertEqual(answers, [outcomes.Complete(())], resigns_s)
            self.assertEqual(fleet.site.history.overlapping, [], resigns_s)

    async def test_next_leader_that_takes_the_earlier_attempt_over(self):
        """Guards against runs that a third leader continues and renews."""
        for pause_s in (0.0, 0.3, 0.8, 1.1):
            async with _Fleet() as fleet:
                accepted_at = fleet.site.clock.monotonic()
                await fleet.start({0: fleet.all})
                later = asyncio.create_task(fleet.repeat({1: fleet.all}))
                # Origins tell the age of a job that they offer again.
                older = dataclasses.replace(fleet.job, accepted_at=accepted_at)
                await fleet.close(0)
                await asyncio.sleep(pause_s)
                async with fleet.site.leader(token=3) as third:
                    answers = await asyncio.gather(
                        third.submit(older, fleet.site.origin, moved=True),
                        later,
                    )
            self.assertEqual(answers[1], [outcomes.Complete(())], pause_s)
            self.assertEqual(fleet.site.history.overlapping, [], pause_s)

    async def test_leader_that_is_killed_as_the_caller_comes_again(self):
        """Guards against a start beside its runs, whose leases may go on."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            fleet.site.links.cut.add("leader1")
            await fleet.close(0)
            answers = await fleet.repeat({1: fleet.all})
        self.assertIsInstance(answers[0], outcomes.Unknown)
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_leader_that_claims_later_is_told(self):
        """Guards against a leader that was none when the notice was sent."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            await fleet.add_leader(token=4)
            await asyncio.sleep(0.1)
            answers = await fleet.repeat({2: fleet.all})
        self.assertEqual(answers, [outcomes.Complete(())])
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_attempt_that_joins_is_told_at_once(self):
        """Guards against a notice that waits until the joined attempt is old."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            joined = asyncio.create_task(fleet.repeat({0: fleet.all}))
            await asyncio.sleep(0.01)
            self.assertEqual(
                [set(notice.offers) for _, notice in fleet.site.links.sent],
                [{"origin"}, {"origin", "other"}],
            )
            await fleet.add_leader(token=4)
            await asyncio.sleep(0.1)
            self.assertEqual(len(fleet.site.links.sent), 3)
            await joined

    async def test_origin_that_its_former_leader_still_hears(self):
        """Guards against runs that the former leader goes on with.

        The origin has taken its stream for broken and offers the job again, to
        another leader or at last to the former one.
        """
        for heard_again in (False, True):
            async with _Fleet() as fleet:
                job = dataclasses.replace(
                    fleet.job,
                    spec="4.0/8.0",
                    accepted_at=fleet.site.clock.monotonic(),
                )
                fleet.job = dataclasses.replace(job, offer=1)
                await fleet.start({0: fleet.all})
                answers = [
                    asyncio.create_task(
                        fleet.leaders[number].submit(
                            dataclasses.replace(job, offer=offer),
                            _jobs.Origin(fleet.site.origin.id),
                            moved=True,
                        )
                    )
                    for number, offer in ((1, 2), (0, 3))[: 1 + heard_again]
                ]
                await asyncio.wait(answers)
            self.assertEqual(answers[-1].result(), outcomes.Complete(()))
            self.assertEqual(fleet.site.history.overlapping, [], heard_again)

    async def test_attempts_of_the_same_age(self):
        """Guards against two leaders that wait for each other, or both start.

        Both wait for room. Each hears of the other's attempt late, so that both
        may take it for the later one; then both are answered.
        """
        for apart_s in (0.0, 0.0005, 0.01):
            async with _Fleet() as fleet:
                fillers = [
                    asyncio.create_task(
                        leader.submit(
                            fleet.site.job(
                                key * 16, count=8, run_s=1.5, deadline_s=9
                            ),
                            fleet.site.origin,
                        )
                    )
                    for leader, key in zip(fleet.leaders, "ef", strict=True)
                ]
                await asyncio.sleep(0.1)
                began_at = asyncio.get_running_loop().time()
                first = asyncio.create_task(
                    fleet.leaders[0].submit(fleet.job, fleet.site.origin)
                )
                await asyncio.sleep(apart_s)
                await fleet.repeat({1: fleet.all})
                await asyncio.gather(first, *fillers)
                took_s = asyncio.get_running_loop().time() - began_at
            self.assertLess(took_s, 1.5 + _RUN_S + 0.2, apart_s)
            self.assertEqual(fleet.site.history.overlapping, [], apart_s)

    async def test_cut_between_the_leaders_leaves_runs_alone(self):
        """Guards against a job that is ended although none of its tasks waits."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            later = asyncio.create_task(fleet.repeat({1: fleet.all}))
            # The later attempt was told, but its question gets lost.
            fleet.site.links.lost = 1
            await asyncio.sleep(0.0015)
            fleet.site.links.cut.add("leader1")
            await later
            first = await fleet._firsts[0]
        self.assertEqual(first, outcomes.Complete(()))
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_leader_that_has_just_claimed_starts_nothing_beside(self):
        """Guards against a start before the new leader was told."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            reports = _jobs.PeerReports(fleet.site.links, "leader4")
            await fleet.add_leader(
                token=4, cancel_reports=reports, settle_s=0.0
            )
            answers = await fleet.repeat({2: fleet.all})
        self.assertEqual(answers, [outcomes.Complete(())])
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_third_attempt_replaces_both(self):
        """Guards against an older attempt that ends, or outlives, a later one."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            second = asyncio.create_task(fleet.repeat({1: fleet.all}))
            await asyncio.sleep(_RETURN_S)
            third = _jobs.Origin("third")
            answers = await fleet.repeat({0: (0, 1), 1: (2, 3)}, origin=third)
            replaced = await second
        self.assertEqual(answers, [outcomes.Complete(())] * 2)
        self.assertIsInstance(replaced[0], outcomes.Unknown)
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_late_notice_stops_further_starts(self):
        """Guards against a later attempt that arrived before the notice."""
        async with _Fleet() as fleet:
            fleet.site.links.cut.add("leader1")
            await fleet.start({0: fleet.all})
            full = fleet.site.job("f" * 16, count=8, run_s=0.3, deadline_s=9)
            filler = asyncio.create_task(
                fleet.leaders[1].submit(full, fleet.site.origin)
            )
            await asyncio.sleep(0.01)
            later = asyncio.create_task(fleet.repeat({1: fleet.all}))
            await asyncio.sleep(0.01)
            fleet.site.links.cut.clear()
            answers = await later
            await filler
        self.assertEqual(answers, [outcomes.Complete(())])
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_peer_of_an_earlier_release(self):
        """Guards against a job that waits for a leader that tells nothing."""
        async with _Fleet() as fleet:
            fleet.leaders[0]._attempts._peers = None
            await fleet.start({0: fleet.all})
            began_at = asyncio.get_running_loop().time()
            answers = await fleet.repeat({1: fleet.all})
            took_s = asyncio.get_running_loop().time() - began_at
        self.assertEqual(answers, [outcomes.Complete(())])
        self.assertLess(took_s, _RUN_S + 0.1)

    async def test_older_attempt_that_comes_back_does_not_end_a_later_one(self):
        """Guards against two attempts that end each other in turn.

        The origin of the earlier attempt offers its job again, as it takes its
        stream to the leader for broken. The later one runs, or waits for room.
        """
        for filler_s in (0.1, 1.6):
            async with _Fleet() as fleet:
                accepted_at = fleet.site.clock.monotonic()
                await fleet.start({0: fleet.all})
                full = fleet.site.job(
                    "f" * 16, count=8, run_s=filler_s, deadline_s=9
                )
                filler = asyncio.create_task(
                    fleet.leaders[1].submit(full, fleet.site.origin)
                )
                await asyncio.sleep(0.01)
                later = asyncio.create_task(fleet.repeat({1: fleet.all}))
                await asyncio.sleep(_RETURN_S)
                older = dataclasses.replace(fleet.job, accepted_at=accepted_at)
                back = await fleet.leaders[0].submit(
                    older, fleet.site.origin, moved=True
                )
                answers = await later
                await filler
            self.assertEqual(answers, [outcomes.Complete(())])
            self.assertIsInstance(back, outcomes.Outcome)
            self.assertEqual(fleet.site.history.overlapping, [], filler_s)

    async def test_leader_that_claims_again_answers_for_its_former_term(self):
        """Guards against an answer that leaves out runs of the former term."""
        async with _Fleet() as fleet:
            await fleet.start({0: fleet.all})
            await fleet.close(0)
            fleet.site.endpoints = []
            async with fleet.site.leader(token=1):
                answers = await fleet.repeat({1: fleet.all})
        self.assertEqual(answers, [outcomes.Complete(())])
        self.assertEqual(fleet.site.history.overlapping, [])

    async def test_runs_that_another_leader_may_have_left_delay_the_answer(
        self,
    ):
        """Guards against an answer for the own runs only.

        The leader is the origin of a job whose leader was lost.
        """
        async with _Fleet() as fleet:
            await asyncio.sleep(attempts_module.RESIGNED_S)
            question = attempts.Replaced(fleet.job.key, "other", 0.1, (0,), 1)
            for left_s in (0.0, 0.9):
                fleet.leaders[0].receive_notice(
                    "leader2", question, left_s=left_s
                )
                _, answer = fleet.site.links.sent[-1]
                self.assertEqual(answer.within_s, left_s)

    async def test_later_attempt_that_joined_the_earlier_one_moves(self):
        """Guards against runs that the earlier origin keeps at their leader.

        The later attempt has joined them there, and its origin offers the job
        to another leader when it loses its stream. That leader is new, so it was
        told of both origins.
        """
        for pause_s in (0.0, 0.3, 0.8):
            async with _Fleet() as fleet:
                # The earlier attempt would take 6 s.
                long = dataclasses.replace(fleet.job, spec="6.0/8.0")
                fleet.job = dataclasses.replace(long, estimate_s=6.0)
                await fleet.start({0: fleet.all})
                fleet.job = dataclasses.replace(long, spec=f"{_RUN_S}/8.0")
                joined = asyncio.create_task(fleet.repeat({0: fleet.all}))
                await fleet.add_leader(token=4)
                await asyncio.sleep(0.1)
                fleet.other.lose()
                await asyncio.sleep(pause_s)
                began_at = asyncio.get_running_loop().time()
                outcome = await fleet.leaders[2].submit(
                    fleet.job, _jobs.Origin("other"), moved=True
                )
                took_s = asyncio.get_running_loop().time() - began_at
                await joined
            self.assertEqual(outcome, outcomes.Complete(()), pause_s)
            # A job that has moved waits 1.2 s.
            self.assertLess(took_s, 1.2 + _RUN_S + 0.2)
            self.assertEqual(fleet.site.history.overlapping, [], pause_s)
