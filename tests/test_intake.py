"""Tests of the intake of two entries that are linked by fake streams."""

import asyncio
import functools
import unittest

from sesameroad import errors
from sesameroad.entry import intake
from sesameroad.model import outcomes
from sesameroad.model import work
from sesameroad.ownership import claims
from sesameroad.ownership import handoffs
from sesameroad.ownership import keys
from tests import _harness
from tests import test_claim
from tests import test_handoff

LIFETIME_MS = 5_000
SKEW_MS = 2_000
DONE = outcomes.Complete((b"{}",))


class FakeLink:
    """A stream to another entry that can fail with a given error."""

    def __init__(self, peer, fault=None):
        self._peer = peer
        self._fault = fault

    async def ask(self, question, *, timeout_s):
        if self._fault is errors.PeerNotSentError:
            raise errors.PeerNotSentError("closed")
        self._reply = asyncio.get_running_loop().create_future()
        self._peer.intake.receive(self, question(1))
        reply = await self._reply
        if self._fault is not None:
            raise self._fault("broken")
        return reply

    def send(self, message):
        self._reply.set_result(message)


class Entry:
    """An intake over a test dispatcher; its streams can be cut."""

    def __init__(self, entries, incarnation, table, objects, **options):
        sends = [_harness.ScriptedSend(_harness.ANSWERED, 0.2)]
        self.home = _harness.Home(sends, **options)
        self.incarnation = incarnation
        self.home.ledger._incarnation = incarnation
        self.fault = None
        self.cut = False
        self._entries = entries
        clock = self.home.clock
        self.handoff_store = handoffs.HandoffStore(objects=objects, clock=clock)
        self.intake = intake.Intake(
            incarnation=incarnation,
            issuer=keys.Issuer.from_secret(
                "secret of the fleet",
                data_centre="dc1",
                incarnation=incarnation,
                lifetime_s=LIFETIME_MS / 1_000,
                clock=clock,
            ),
            claim_store=claims.ClaimStore(
                table=table,
                clock=clock,
                incarnation=incarnation,
                data_centre="dc1",
                lifetime_ms=LIFETIME_MS,
            ),
            handoff_store=self.handoff_store,
            dispatcher=self.home.dispatcher,
            ledger=self.home.ledger,
            mesh=self,
            clock=clock,
            clock_skew_ms=SKEW_MS,
        )

    def find(self, incarnation):
        peer = self._entries.get(incarnation)
        if self.cut or peer is None or peer.cut:
            return None
        return FakeLink(peer, self.fault)

    async def submit(self, key=None, *, team="storefront", idempotent=False):
        deadline_ms = self.home.clock.wall_ms() + 1_000

        def build(name):
            task = work.Task(b"{}")
            return work.Request(
                name, team, "checkout", deadline_ms, task, idempotent
            )

        return await self.intake.submit(build, key=key, digest=team)

    async def outcome(self, key, **options):
        return (await self.submit(key, **options))[1]


def _two_entries(*faults):
    """Passes a test two entries whose shared platform has the given faults."""

    def decorate(test):
        @functools.wraps(test)
        @_harness.virtual
        async def wrapper(self):
            table = test_claim.FakeTable(*faults)
            objects = test_handoff.FakeObjects()
            entries = {}
            for name in ("0a", "0b"):
                entries[name] = Entry(entries, name, table, objects)
            await test(self, *entries.values())
            for entry in entries.values():
                await entry.home.close()

        return wrapper

    return decorate


class IntakeTest(unittest.TestCase):
    """Guards against keys with two homes and against wrong refusals."""

    def _assert_outcome(self, outcome, expected, cause):
        self.assertIsInstance(outcome, expected)
        self.assertEqual(outcome.cause, cause)

    @_two_entries()
    async def test_concurrent_submissions_at_two_entries_run_once(self, a, b):
        """Guards against a run at each entry that gets the same chosen key.

        Also checks that keys of two teams do not collide, and that keys which
        cannot name a claim are rejected.
        """
        calls = [entry.outcome("k") for entry in (a, b, b, a)]
        self.assertEqual(await asyncio.gather(*calls), [DONE] * 4)
        self.assertEqual(sum((a.home.ran + b.home.ran).values()), 1)
        other = await b.outcome("k", team="estates")
        self.assertEqual(other, DONE, "another team's key")
        status = await b.intake.status("k", team="storefront")
        self.assertEqual(status, DONE)
        for key in ("a/b", "", "k" * 201):
            with self.assertRaises(errors.KeyInvalidError):
                await a.outcome(key)

    @_two_entries()
    async def test_key_of_work_without_one_does_not_run_again(self, a, b):
        """Guards against a second run under a key that only the answer shows.

        Its record is dropped with the answer, so a second submission could not
        be distinguished from the first.
        """
        key, outcome = await a.submit()
        self.assertEqual(outcome, DONE)
        for entry in (a, b):
            again = await entry.outcome(key)
            self.assertIsInstance(again, outcomes.Unknown)
        self.assertEqual(sum(a.home.ran.values()), 1)

    @_two_entries()
    async def test_cancelled_key_does_not_run_when_it_arrives_later(self, a, b):
        """Guards against running work that was cancelled before it arrived."""
        (key,) = a.intake.issue_keys(1)
        for outcome in (
            await b.intake.status(key, cancel=True),
            await a.outcome(key),
        ):
            self._assert_outcome(
                outcome, outcomes.NotRun, outcomes.Cause.CANCELLED
            )

    @_two_entries()
    async def test_unreachable_home_and_lost_reply_are_told_apart(self, a, b):
        """Guards against a wrong cause, or a run, without the home's reply.

        Also checks that the outcome is final once the key has expired.
        """
        cause = outcomes.Cause
        for fault, expected, runs in (
            (errors.PeerNotSentError, cause.HOME_UNREACHABLE, 0),
            (errors.PeerError, cause.HOME_LOST, 1),
        ):
            (key,) = a.intake.issue_keys(1)
            b.fault = fault
            outcome = await b.outcome(key)
            self._assert_outcome(outcome, outcomes.Unknown, expected)
            self.assertEqual(a.home.ran[f"{key}/0"], runs)
        (unused,) = a.intake.issue_keys(1)
        a.cut = True
        await asyncio.sleep((LIFETIME_MS + SKEW_MS) / 1_000)
        for entry, name in ((a, key), (b, key), (a, unused)):
            outcome = await entry.outcome(name)
            self._assert_outcome(outcome, outcomes.Unknown, cause.KEY_EXPIRED)
            self.assertIsNone(outcome.ask_again_at_ms)

    @_two_entries(*["down"] * 10)
    async def test_platform_down_refuses_only_what_needs_a_claim(self, a, _):
        """Guards against an outage of the platform that stops all work."""
        self._assert_outcome(
            await a.outcome("k"),
            outcomes.NotRun,
            outcomes.Cause.PLATFORM_DOWN,
        )
        self.assertEqual(await a.outcome("k", idempotent=True), DONE)
        (key,) = a.intake.issue_keys(1)
        self.assertEqual(await a.outcome(key), DONE)
        self.assertEqual(sum(a.home.ran.values()), 2)

    @_two_entries("late")
    async def test_refusal_without_a_known_home_holds_for_one_attempt(
        self, a, b
    ):
        """Guards against a second run after a claim that is written late.

        The entry has told its caller "not run" by then, for example because it
        was paused. The row names this entry, so the key runs only there, and
        only when it is sent again.
        """
        self._assert_outcome(
            await a.outcome("k"),
            outcomes.NotRun,
            outcomes.Cause.PLATFORM_DOWN,
        )
        await asyncio.sleep(3.0)
        self.assertEqual(sum((a.home.ran + b.home.ran).values()), 0)
        for entry in (b, a):
            self.assertEqual(await entry.outcome("k"), DONE)
        self.assertEqual(a.home.ran, {"storefront/k/0": 1})
        self.assertEqual(sum(b.home.ran.values()), 0)

    @_two_entries()
    async def test_keys_of_a_stopped_home_are_answered_by_its_handoff(
        self, a, b
    ):
        """Guards against lost answers, and second runs, after a home stops."""
        held, unseen, lost = a.intake.issue_keys(3)
        self.assertEqual(await a.outcome(held), DONE)
        unheld, _ = await a.submit()
        a.home.dispatcher.stop_accepting()
        refused = await a.outcome("chosen")
        self.assertIsInstance(refused, outcomes.NotRun)
        self.assertEqual(await b.outcome("chosen"), DONE)
        a.home.dispatcher.shut_down()
        a.cut = True
        self.assertIsInstance(await b.outcome(lost), outcomes.Unknown)
        await a.handoff_store.write(a.incarnation, a.home.ledger)
        await asyncio.sleep(1.0)
        self.assertEqual(await b.outcome(held), DONE)
        self._assert_outcome(
            await b.outcome(unseen),
            outcomes.NotRun,
            outcomes.Cause.HOME_STOPPED,
        )
        self.assertIsInstance(await b.outcome(unheld), outcomes.Unknown)
        self.assertEqual(b.home.ran, {"storefront/chosen/0": 1})
