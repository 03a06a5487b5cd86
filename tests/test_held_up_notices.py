"""Tests what other leaders know of starts without an answer, in virtual time."""

import asyncio
import contextlib
import types
import unittest

from sesameroad.jobs import held_up_notices
from sesameroad.model import held_up
from sesameroad.model import outcomes
from sesameroad.node import routes
from sesameroad.peering import messages
from tests import _jobs
from tests import _virtual
from tests import test_leaders

_LATE_S = 3.0
# Time before a late start at which its endpoint has started again, within which
# no order of a leader reaches it.
_LISTENS_S = 0.002
_KEY = "0123456789abcdef"


class OtherLeaderTest(_virtual.VirtualTimeTest):
    """A start is held up while its endpoint restarts and its job moves."""

    def setUp(self):
        super().setUp()
        self.site = _jobs.Site(count=2)
        self.late = self.site.fleet.endpoints["e0"]
        self.known = self.site.links.held_up(self.site.origin.id)
        self.paths = _jobs.CutOrders(self.site.fleet)

    def _job(self):
        return self.site.job(
            _KEY, count=1, run_s=3.0, cores=16.0, stretch=6.0, deadline_s=9.0
        )

    @contextlib.asynccontextmanager
    async def _held_up(self, *, crash_s=0.4):
        """Yields a leader whose start comes late, and the task of its job."""
        async with self.site.leader(1, orders_=self.paths) as first:
            self.late.fault.late_s = _LATE_S
            submitted = asyncio.create_task(
                first.submit(self._job(), self.site.origin)
            )
            await asyncio.sleep(crash_s)
            self.late.fault.late_s = 0.0
            self.late.crash(down_s=_LATE_S - crash_s - _LISTENS_S)
            yield first, submitted

    def _kill(self, leader):
        """Cuts a leader off from all, in place of the end of its process."""
        self.paths.cut.update(self.site.fleet.endpoints)
        self.site.links.cut.add(leader)
        self.site.links.lose(leader)

    async def _submit(self, leader, name, job, **options):
        """Offers a job; its origin passes on what it knows before."""
        self.site.links.pass_on(self.site.origin.id, name, job.key)
        return await leader.submit(job, self.site.origin, **options)

    async def _end(self, outcome):
        await asyncio.sleep(5.0)
        self.assertEqual(self.site.history.overlapping, [])
        self.assertIsInstance(outcome, (outcomes.Complete, outcomes.Unknown))

    async def test_planned_end_of_the_leader(self):
        """Guards against a run beside a start that the former leader has sent.

        It has ended before, or after it gave up waiting for the answer.
        """
        for crash_s in (0.2, 0.4):
            self.setUp()
            job = self._job()
            async with self._held_up(crash_s=crash_s) as (_, submitted):
                pass
            answer = await submitted
            self.assertEqual(answer.cause, outcomes.Cause.STEWARD_LOST)
            self.assertEqual(answer.unstarted, ())
            async with self.site.leader(2) as second:
                outcome = await self._submit(second, "leader2", job, moved=True)
            await self._end(outcome)

    async def test_leader_that_is_killed(self):
        """Guards against a start that only a killed leader knew."""
        async with self._held_up() as (_, submitted):
            self._kill("leader1")
            async with self.site.leader(2) as second:
                outcome = await self._submit(
                    second, "leader2", self._job(), moved=True
                )
            await self._end(outcome)
            submitted.cancel()

    async def test_leader_that_is_killed_while_a_start_is_on_its_way(self):
        """Guards against a start that a leader was killed too early to tell."""
        async with self._held_up(crash_s=0.2) as (_, submitted):
            self._kill("leader1")
            async with self.site.leader(2) as second:
                outcome = await self._submit(
                    second, "leader2", self._job(), moved=True
                )
            await self._end(outcome)
            submitted.cancel()

    async def test_later_attempt_at_another_leader(self):
        """Guards against a start that is unknown where the caller comes again.

        The earlier attempt has been answered before it was 1 s old.
        """
        own, other = self.site.endpoints
        self.site.endpoints = [other]
        async with self.site.leader(2) as second:
            self.site.endpoints = [own]
            async with self._held_up() as (first, submitted):
                first.cancel(f"{_KEY}/0", self.site.origin.id)
                await submitted
                await asyncio.sleep(0.8)
                outcome = await second.submit(
                    self._job(), _jobs.Origin("other")
                )
                await self._end(outcome)

    async def test_answered_starts_cause_no_notice(self):
        """Guards against messages on the path of each job."""
        async with self.site.leader(1) as leader:
            await leader.submit(self._job(), self.site.origin)
        self.assertEqual(self.site.links.told, [])


class LeadersTest(test_leaders._LeadersTest):

    def test_new_leader_and_origins_use_what_a_peer_has_told(self):
        """Guards against a new leader, or a later attempt, without the start."""
        notice = messages.HeldUpStarts(
            {_KEY: (held_up.HeldUpStart(0, "e-dc2", 9.0),)}
        )
        self.assertEqual(self.leaders.held_up_in(_KEY), ())
        self.leaders.receive_held_up(notice)
        self.assertEqual(self.leaders.held_up_in(_KEY), ("dc2",))
        sent = []
        self.mesh.send = lambda link, message: sent.append(message)
        link = types.SimpleNamespace(told_token=0)
        claim = messages.LeadershipClaim("dc2", 7)
        for claims, count in (((), 0), ((claim,), 1)):
            heartbeat = messages.Heartbeat(0, 1, False, claims)
            self.leaders.tell_held_up(link, heartbeat)
            self.assertEqual(len(sent), count)
        link.told_token = 7
        self.leaders.tell_held_up(link, heartbeat)
        self.assertEqual(len(sent), 1)

    async def test_leader_knows_the_starts_before_it_gets_the_job(self):
        """Guards against a job that is placed before its notice arrives."""
        sent = []

        async def ask(question, *, timeout_s):
            sent.append(question(1))
            return messages.RelayReply(1, outcomes.Complete(()))

        site = _jobs.Site()
        known = held_up_notices.HeldUpNotices(clock=site.clock)
        route = routes.PeerRoute(
            types.SimpleNamespace(send=sent.append, ask=ask),
            "dc1",
            clock=site.clock,
            held_up_notices=known,
        )
        job = site.job(_KEY)
        await route.submit(job, moved=True, lent=False)
        known.record(_KEY, held_up.HeldUpStart(0, "e0", 9.0))
        await route.submit(job, moved=True, lent=False)
        self.assertEqual(
            [type(message) for message in sent],
            [messages.JobOffer, messages.HeldUpStarts, messages.JobOffer],
        )


class HeldUpNoticesTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.clock = _virtual.Clock()
        self.now = 100.0
        self.clock.monotonic = lambda: self.now
        self.sent = []
        self.known = held_up_notices.HeldUpNotices(
            clock=self.clock, send=self.sent.append
        )

    async def test_start_is_kept_no_longer_than_it_can_come(self):
        """Guards against a notice that blocks a task for days."""
        start = held_up.HeldUpStart(0, "e0", 4e6)
        self.known.receive(messages.HeldUpStarts({_KEY: (start,)}))
        self.assertLess(self.known.of(_KEY)[0].left_s, 14.1)

    async def test_time_that_passes_is_subtracted(self):
        """Guards against a start that counts for longer with each leader."""
        self.known.record(_KEY, held_up.HeldUpStart(0, "e0", 12.0))
        self.now += 2.0
        await asyncio.sleep(0)
        expected = {_KEY: (held_up.HeldUpStart(0, "e0", 10.0),)}
        self.assertEqual([n.starts for n in self.sent], [expected])
        self.assertEqual(self.known.notice_of(_KEY).starts, expected)
        self.now += 10.0
        self.assertIsNone(self.known.notice_of(_KEY))
        self.assertEqual(list(self.known.all()), [])

    async def test_own_starts_are_those_of_another_leader_in_the_next_term(
        self,
    ):
        """Guards against a leader that forgets its starts as it resigns."""
        self.known.record(_KEY, held_up.HeldUpStart(0, "e0", 12.0))
        self.assertEqual(self.known.of(_KEY, foreign=True), ())
        self.known.begin_term()
        self.assertEqual(len(self.known.of(_KEY, foreign=True)), 1)

    async def test_notices_and_memory_are_bounded(self):
        """Guards against a flood of starts without an answer."""
        for number in range(10_001):
            self.known.record(f"{number}", held_up.HeldUpStart(0, "e0", 12.0))
        self.known.flush()
        self.assertEqual([len(n.starts) for n in self.sent], [5_000, 5_000])
        self.assertEqual(self.known.of("0"), ())
        self.now += 13.0
        self.known.record("last", held_up.HeldUpStart(0, "e0", 12.0))
        self.assertEqual(len(self.known), 1)
