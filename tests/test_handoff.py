"""Tests of the hand-off of a stopped home."""

import asyncio
import unittest
from unittest import mock

from sesameroad import errors
from sesameroad.model import outcomes
from sesameroad.ownership import handoffs
from sesameroad.ownership import ledger
from tests import _harness

EXPIRY_MS = _harness.BASE_MS + 5_000
DONE = outcomes.Complete((b"1", b"2"))


class FakeObjects:
    """An object store whose first writes fail, as many as given."""

    def __init__(self, failures=0):
        self.objects = {}
        self.gets = 0
        self._failures = failures

    async def put(self, name, body, *, step):
        self._failures -= 1
        if self._failures >= 0:
            raise errors.PlatformError("down")
        self.objects[name] = body

    async def get(self, name, *, step):
        self.gets += 1
        return self.objects.get(name)


async def _stopped_home():
    """Returns a stopped home with keys in all states."""
    home = _harness.Home(
        [_harness.ScriptedSend(None, 100.0)], records=3, slots=1
    )
    asyncio.create_task(home.dispatch(_harness.request("running")))
    await asyncio.sleep(0.1)
    asyncio.create_task(home.dispatch(_harness.request("queued")))
    await asyncio.sleep(0.1)
    for key, outcome in (("compacted", DONE), ("done", DONE)):
        work = _harness.submission(key, 2)
        record = home.ledger.open(
            work, digest="d", expiry_ms=EXPIRY_MS, remember=True
        )
        home.ledger.finish(record, outcome)
    home.dispatcher.shut_down()
    await home.close()
    return home


def _answer(handoff, key, *, digest="d", expiry_ms=EXPIRY_MS):
    return handoff.answer(key, digest=digest, expiry_ms=expiry_ms)


class HandoffTest(unittest.TestCase):
    """Guards against reporting a key that may have run as "not run"."""

    @_harness.virtual
    async def test_only_what_may_have_run_is_not_called_not_run(self):
        home = await _stopped_home()
        objects = FakeObjects(failures=2)
        writing_store = handoffs.HandoffStore(objects=objects, clock=home.clock)
        self.assertTrue(
            await writing_store.write(_harness.INCARNATION, home.ledger)
        )
        reading_store = handoffs.HandoffStore(objects=objects, clock=home.clock)
        handoff = await reading_store.find(_harness.INCARNATION)
        self.assertEqual(_answer(handoff, "done"), DONE)
        for key in ("running", "compacted"):
            self.assertIsInstance(_answer(handoff, key), outcomes.Unknown)
        for key in ("queued", "never seen"):
            self.assertIsInstance(_answer(handoff, key), outcomes.NotRun)
        reused = _answer(handoff, "done", digest="other")
        self.assertEqual(reused.cause, outcomes.Cause.KEY_REUSED)
        self.assertIs(await reading_store.find(_harness.INCARNATION), handoff)
        self.assertEqual(objects.gets, 1)

    def test_key_that_the_home_dropped_is_not_called_not_run(self):
        """A home whose clock is ahead drops keys that are valid elsewhere."""
        snapshot = ledger.Snapshot({}, [], EXPIRY_MS)
        handoff = handoffs.Handoff.from_snapshot(_harness.INCARNATION, snapshot)
        self.assertIsInstance(_answer(handoff, "k"), outcomes.Unknown)
        later = _answer(handoff, "k", expiry_ms=EXPIRY_MS + 1)
        self.assertIsInstance(later, outcomes.NotRun)

    @mock.patch.object(handoffs, "_MAX_OUTCOME_BYTES", 500)
    def test_outcome_beyond_the_size_bound_stays_unknown(self):
        closed = ledger.ClosedRecord("d", EXPIRY_MS, DONE)
        snapshot = ledger.Snapshot({f"k{n}": closed for n in range(100)}, [], 0)
        handoff = handoffs.Handoff.from_snapshot(_harness.INCARNATION, snapshot)
        self.assertLess(len(handoff.kept), 6)
        self.assertEqual(_answer(handoff, "k99"), DONE)
        for n in range(90):
            outcome = _answer(handoff, f"k{n}")
            self.assertIsInstance(outcome, outcomes.Unknown)

    @_harness.virtual
    async def test_absent_object_is_asked_for_again_after_a_while(self):
        clock, objects = _harness.FakeClock(), FakeObjects()
        reading_store = handoffs.HandoffStore(objects=objects, clock=clock)
        for _ in range(10):
            self.assertIsNone(await reading_store.find("ab"))
        self.assertEqual(objects.gets, 1)
        home = await _stopped_home()
        await reading_store.write("ab", home.ledger)
        await asyncio.sleep(1.0)
        self.assertIsNotNone(await reading_store.find("ab"))
