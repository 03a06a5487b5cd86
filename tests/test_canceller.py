"""Cancels that callers send to any instance."""

import asyncio
import unittest

from sesameroad import errors
from sesameroad.jobs import cancellations
from sesameroad.model import outcomes
from sesameroad.node import canceller as canceller_module
from sesameroad.peering import messages
from tests import _jobs
from tests import _virtual

_Result = cancellations.Result
_KNOWN = outcomes.Failed(outcomes.Cause.CANCELLED, "", may_have_run=True)
_UNKNOWN = outcomes.NotRun(outcomes.Cause.NOT_FOUND, "")
_NOT_LEADER = outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "")


class _Link:
    """Link to a leader that gives the listed answers, the last one for ever."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.keys = []

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

    def __init__(self, **leader_links):
        self.leader_links = leader_links
        self.own = None

    def cancel_key(self, key):
        del key
        return self.own


class CancellerTest(_virtual.VirtualTimeTest):

    async def cancel(self, **leader_links):
        self.leaders = _Leaders(**leader_links)
        self.canceller = canceller_module.Canceller(
            leaders=self.leaders, clock=_virtual.Clock()
        )
        return await self.canceller.cancel("k")

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
        """Guards against a later attempt that the next leader runs."""
        await self.cancel(a=_Link(_KNOWN))
        late = self.leaders.leader_links["b"] = _Link(_UNKNOWN)
        self.canceller.inform_new_leaders()
        self.canceller.inform_new_leaders()
        await asyncio.sleep(0.01)
        self.assertEqual(late.keys, ["k"])

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
        self.assertEqual(kept.recent(29.0), ["a", "b"])
        self.assertFalse(kept.contains("a", 31.0))
        self.assertEqual(len(kept), 1)

    def test_flood_of_cancels_is_bounded(self):
        kept = cancellations.Cancellations()
        for number in range(20_005):
            kept.add(str(number), 0.0)
        self.assertEqual(len(kept), 20_000)
        self.assertFalse(kept.contains("0", 0.0))
