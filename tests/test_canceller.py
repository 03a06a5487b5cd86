"""Cancels that callers send to any instance."""

import asyncio
import unittest

from sesameroad import errors
from sesameroad.jobs import cancellations
from sesameroad.model import outcomes
from sesameroad.node import canceller as canceller_module
from sesameroad.peering import messages
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _virtual

_Result = cancellations.Result
_KNOWN = outcomes.Failed(outcomes.Cause.CANCELLED, "", may_have_run=True)
_UNKNOWN = outcomes.NotRun(outcomes.Cause.NOT_FOUND, "")
_NOT_LEADER = outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "")


class _Link:
    """Link to a peer that gives the listed answers, the last one for ever."""

    def __init__(self, *answers, name="", data_centre="dc1", leaving=False):
        self._answers = list(answers)
        self.hello = messages.Hello(name, data_centre, name)
        self.leaving = leaving
        self.told_token = 0
        self.keys = []
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    async def ask(self, question, *, timeout_s):
        query = question(1)
        self.keys.append(query.key)
        answer = self._answers[0]
        if len(self._answers) > 1:
            self._answers.pop(0)
        if answer is None:
            await asyncio.sleep(timeout_s)
            raise errors.PeerError("no reply", step="ask peer", peer="i2")
        return messages.RelayReply(query.id, answer)


class _Leaders:
    """Leaders by incarnation, and further peers."""

    def __init__(self, **leader_links):
        self.leader_links = leader_links
        self.peer_links = {}
        self.unseen = []
        self.own = None

    def tell_attempts(self):
        pass

    def unseen_led(self):
        return self.unseen

    def cancel_key(self, key):
        del key
        return self.own


class _CancellerTest(_virtual.VirtualTimeTest):

    def open(self, **leader_links):
        self.leaders = _Leaders(**leader_links)
        for name, link in leader_links.items():
            if link is not None:
                link.hello = messages.Hello(name, "dc1", name)
                self.leaders.peer_links[name] = link
        self.kept = cancellations.Cancellations()
        self.canceller = canceller_module.Canceller(
            leaders=self.leaders,
            clock=_virtual.Clock(),
            cancellations=self.kept,
            metrics=job_metrics.JobMetrics(),
        )

    def add_peers(self, *peers):
        self.leaders.peer_links |= {
            link.hello.incarnation: link for link in peers
        }

    async def cancel(self, **leader_links):
        self.open(**leader_links)
        return await self.canceller.cancel("k")


class CancellerTest(_CancellerTest):

    async def test_job_of_another_instance_is_cancelled(self):
        """Guards against "no such job" for one that runs elsewhere."""
        links = {"a": _Link(_UNKNOWN), "b": _Link(_KNOWN)}
        self.assertEqual(await self.cancel(**links), _Result.CANCELLED)
        self.assertEqual(links["a"].keys, ["k"])

    async def test_job_that_no_leader_knows_is_reported(self):
        result = await self.cancel(a=_Link(_UNKNOWN), b=_Link(_UNKNOWN))
        self.assertEqual(result, _Result.NO_SUCH_JOB)

    async def test_leader_that_does_not_answer_may_have_the_job(self):
        """Guards against "no such job" while a leader is cut off."""
        result = await self.cancel(a=_Link(_UNKNOWN), b=_Link(None))
        self.assertEqual(result, _Result.UNCERTAIN)
        self.assertEqual(await self.cancel(), _Result.UNCERTAIN)

    async def test_cancel_is_repeated_at_the_next_leader(self):
        """Guards against a cancel that is lost with a resigning leader."""
        link = _Link(_NOT_LEADER, _KNOWN)
        self.assertEqual(await self.cancel(a=link), _Result.CANCELLED)
        self.assertEqual(link.keys, ["k", "k"])

    async def test_leader_that_is_seen_later_gets_recent_cancels(self):
        """Guards against a later attempt that the next leader runs.

        It waits for the report of each peer, so it gets one also if it is empty.
        """
        self.open()
        late = _Link()
        heartbeat = messages.Heartbeat(
            0, 0, False, (messages.LeadershipClaim("dc1", 7),)
        )
        self.canceller.tell_leader(late, messages.Heartbeat(0, 0, False))
        self.assertEqual(late.sent, [])
        self.canceller.tell_leader(late, heartbeat)
        self.assertEqual(late.sent, [messages.RecentCancels(7, {})])
        self.canceller.tell_leader(late, heartbeat)
        self.assertEqual(len(late.sent), 1)
        self.kept.add("k", self.canceller._clock.monotonic())
        await asyncio.sleep(2.0)
        again = messages.Heartbeat(
            0, 0, False, (messages.LeadershipClaim("dc1", 8),)
        )
        self.canceller.tell_leader(late, again)
        self.assertEqual(late.sent[1], messages.RecentCancels(8, {"k": 2.0}))

    async def test_running_jobs_are_told_before_the_report(self):
        """Guards against a new leader that starts tasks which run elsewhere."""
        self.open()
        link = _Link()
        running = messages.AttemptRunning("k", {"a": 3}, 1.25, 8.5, (0,))
        self.leaders.tell_attempts = lambda: link.send(running)
        claim = messages.LeadershipClaim("dc1", 7)
        self.canceller.tell_leader(
            link, messages.Heartbeat(0, 0, False, (claim,))
        )
        self.assertEqual(link.sent, [running, messages.RecentCancels(7, {})])

    async def test_flood_of_cancels_is_sent_in_bounded_messages(self):
        """Guards against a report that holds up heartbeats, or lacks cancels."""
        self.open()
        for number in range(messages.MAX_RECENT_CANCELS + 1):
            self.kept.add(str(number), self.canceller._clock.monotonic())
        link = _Link()
        self.canceller.tell_leader(
            link,
            messages.Heartbeat(
                0, 0, False, (messages.LeadershipClaim("dc1", 7),)
            ),
        )
        self.assertEqual(
            [(len(m.ages_s), m.complete) for m in link.sent],
            [(messages.MAX_RECENT_CANCELS, False), (1, True)],
        )

    async def test_leader_that_is_not_visible_may_have_the_job(self):
        """Guards against "no such job" while the list shows another leader."""
        self.open(a=_Link(_UNKNOWN))
        self.leaders.unseen = ["dc2"]
        self.assertEqual(await self.canceller.cancel("k"), _Result.UNCERTAIN)
        self.open(a=_Link(_KNOWN))
        self.leaders.unseen = ["dc2"]
        self.assertEqual(await self.canceller.cancel("k"), _Result.UNCERTAIN)

    async def test_instance_that_stops_hands_its_cancels_over(self):
        """Guards against a cancel that is lost as instances stop in turn."""
        self.open()
        staying = _Link(name="s")
        leaving = _Link(name="l", leaving=True)
        self.add_peers(staying, leaving)
        self.canceller.hand_over()
        self.assertEqual(staying.sent, [])
        self.kept.add("k", self.canceller._clock.monotonic())
        self.canceller.hand_over()
        self.assertEqual(staying.sent, [messages.RecentCancels(0, {"k": 0.0})])
        self.assertEqual(leaving.sent, [])

    async def test_answer_says_what_the_leader_here_knows(self):
        await self.cancel(a=_Link(_UNKNOWN))
        for own, outcome in (
            (None, _NOT_LEADER),
            (True, _KNOWN),
            (False, _UNKNOWN),
        ):
            self.leaders.own = own
            reply = self.canceller.answer(messages.StatusQuery(7, "k", True))
            self.assertEqual(reply.id, 7)
            self.assertEqual(reply.outcome.cause, outcome.cause)


class KeepersTest(_CancellerTest):
    """Instances that know a cancel when it is acknowledged."""

    def count(self, *links):
        return sum(len(link.keys) for link in links)

    async def test_two_others_know_a_cancel_that_the_leader_took(self):
        """Guards against a cancel that is lost with the leader."""
        self.open(**{"": None})
        self.leaders.own = True
        peers = [_Link(_NOT_LEADER, name=f"p{n}") for n in range(4)]
        self.add_peers(*peers)
        self.assertEqual(await self.canceller.cancel("k"), _Result.CANCELLED)
        self.assertEqual(self.count(*peers), 2)

    async def test_one_that_neither_leads_nor_took_it_knows_a_cancel(self):
        leader = _Link(_KNOWN)
        self.open(a=leader)
        peers = [_Link(_NOT_LEADER, name=f"p{n}") for n in range(4)]
        self.add_peers(*peers)
        self.assertEqual(await self.canceller.cancel("k"), _Result.CANCELLED)
        self.assertEqual(self.count(*peers), 1)

    async def test_keepers_are_in_other_data_centres(self):
        """Guards against a cancel that is lost with one data centre."""
        for number in range(8):
            with self.subTest(number=number):
                self.open(a=_Link(_KNOWN))
                near = [_Link(_NOT_LEADER, name=f"n{n}") for n in range(4)]
                far = _Link(_NOT_LEADER, name=f"f{number}", data_centre="dc2")
                self.add_peers(*near, far)
                await self.canceller.cancel("k")
                self.assertEqual(far.keys, ["k"])

    async def test_silent_keeper_is_replaced(self):
        """Guards against an acknowledgement without a further instance."""
        self.open(a=_Link(_KNOWN))
        silent = [_Link(None, name=f"s{n}") for n in range(1)]
        sound = _Link(_NOT_LEADER, name="p")
        self.add_peers(*silent, sound)
        self.assertEqual(await self.canceller.cancel("k"), _Result.CANCELLED)
        self.assertEqual(sound.keys, ["k"])

    async def test_cancel_that_nobody_else_knows_is_not_acknowledged(self):
        self.open(**{"": None})
        self.leaders.own = True
        self.add_peers(_Link(None, name="s"))
        self.assertEqual(await self.canceller.cancel("k"), _Result.UNCERTAIN)

    async def test_single_instance_acknowledges(self):
        """Guards against 503 for all cancels of the last instance."""
        self.open(**{"": None})
        self.leaders.own = True
        self.assertEqual(await self.canceller.cancel("k"), _Result.CANCELLED)
        self.add_peers(_Link(None, name="l", leaving=True))
        self.assertEqual(await self.canceller.cancel("k"), _Result.CANCELLED)

    async def test_questions_do_not_grow_with_the_number_of_instances(self):
        """Guards against a cost of waves of cancels that large fleets bear."""
        for size in (5, 300):
            for leader_count in (1, 3):
                leaders = {f"a{n}": _Link(_KNOWN) for n in range(leader_count)}
                self.open(**leaders)
                peers = [
                    _Link(_NOT_LEADER, name=f"p{n}")
                    for n in range(size - leader_count - 1)
                ]
                self.add_peers(*peers)
                for number in range(10):
                    await self.canceller.cancel(f"k{number}")
                asked = self.count(*leaders.values(), *peers)
                self.assertEqual(asked, 10 * (leader_count + 1))
                # The questions make the links to them busy.
                self.assertEqual(sum(bool(p.keys) for p in peers), 1)


class LeaderTest(_virtual.VirtualTimeTest):

    async def test_all_parts_end_and_later_attempts_are_not_run(self):
        """Guards against a cancelled job of which a part runs on."""
        site = _jobs.Site(count=2)
        job = site.job(count=4, cores=8.0, run_s=1.0, deadline_s=9)
        parts = [job.part((0, 1)), job.part((2, 3))]
        async with site.leader() as leader:
            calls = [
                asyncio.create_task(leader.submit(part, site.origin))
                for part in parts
            ]
            await asyncio.sleep(0.3)
            self.assertTrue(leader.cancel_key(job.key))
            for outcome in await asyncio.gather(*calls):
                self.assertEqual(outcome.cause, outcomes.Cause.CANCELLED)
            await asyncio.sleep(0.2)
            self.assertEqual(site.history.running, {})
            self.assertFalse(leader.cancel_key(job.key))
            again = await leader.submit(parts[0], _jobs.Origin("other"))
            self.assertEqual(again.cause, outcomes.Cause.CANCELLED)
            self.assertEqual(len(site.history.starts), 4)


class CancellationsTest(unittest.TestCase):

    def test_keys_expire(self):
        """Guards against memory that grows with each cancel."""
        kept = cancellations.Cancellations()
        kept.add("a", 0.0)
        kept.add("b", 20.0)
        self.assertEqual(kept.recent(29.0), {"a": 29.0, "b": 9.0})
        self.assertFalse(kept.contains("a", 31.0))
        self.assertEqual(len(kept), 1)

    def test_cancel_that_was_taken_elsewhere_keeps_its_age(self):
        """Guards against keys that instances keep for ever by telling each other."""
        kept = cancellations.Cancellations()
        kept.add("a", 10.0)
        kept.add("b", 0.0)
        kept.add("a", 5.0)
        self.assertEqual(kept.recent(29.0), {"b": 29.0, "a": 19.0})
        self.assertFalse(kept.contains("b", 31.0))
        self.assertEqual(kept.recent(31.0), {"a": 21.0})
        self.assertEqual(kept.recent(41.0), {})

    def test_flood_of_cancels_is_bounded(self):
        kept = cancellations.Cancellations()
        for number in range(20_005):
            kept.add(str(number), 0.0)
        self.assertEqual(len(kept), 20_000)
        self.assertFalse(kept.contains("0", 0.0))
