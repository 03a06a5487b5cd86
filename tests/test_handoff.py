"""Outcomes that a stopped home leaves behind."""

import asyncio
import unittest
from unittest import mock

from sesameroad import errors
from sesameroad.model import outcome as outcomes
from sesameroad.ownership import handoff as handoffs
from sesameroad.ownership import ledger as ledgers
from tests import _harness

EXPIRY_MS = _harness.BASE_MS + 5_000
DONE = outcomes.Complete((b"1", b"2"))


class FakeObjects:
    """An object store that fails as often as it is told to."""

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
    """Returns a stopped home with keys of all states."""
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


def _answer(found, key, *, digest="d", expiry_ms=EXPIRY_MS):
    return found.answer(key, digest=digest, expiry_ms=expiry_ms)


class HandoffTest(unittest.TestCase):
    """Guards against a false "not run" after a graceful stop."""

    @_harness.virtual
    async def test_only_what_may_have_run_is_not_called_not_run(self):
        home = await _stopped_home()
        objects = FakeObjects(failures=2)
        writer = handoffs.Handoffs(objects=objects, clock=home.clock)
        self.assertTrue(await writer.write(_harness.INCARNATION, home.ledger))
        reader = handoffs.Handoffs(objects=objects, clock=home.clock)
        found = await reader.find(_harness.INCARNATION)
        self.assertEqual(_answer(found, "done"), DONE)
        for key in ("running", "compacted"):
            self.assertIsInstance(_answer(found, key), outcomes.Unknown)
        for key in ("queued", "never seen"):
            self.assertIsInstance(_answer(found, key), outcomes.NotRun)
        reused = _answer(found, "done", digest="other")
        self.assertEqual(reused.cause, outcomes.Cause.KEY_REUSED)
        self.assertIs(await reader.find(_harness.INCARNATION), found)
        self.assertEqual(objects.gets, 1)

    def test_key_that_the_home_dropped_is_not_called_not_run(self):
        """The home's clock may be ahead of the reader's."""
        snapshot = ledgers.Snapshot({}, [], EXPIRY_MS)
        found = handoffs.Handoff.from_snapshot(_harness.INCARNATION, snapshot)
        self.assertIsInstance(_answer(found, "k"), outcomes.Unknown)
        later = _answer(found, "k", expiry_ms=EXPIRY_MS + 1)
        self.assertIsInstance(later, outcomes.NotRun)

    @mock.patch.object(handoffs, "_MAX_OUTCOME_BYTES", 500)
    def test_outcome_beyond_the_size_bound_stays_unknown(self):
        closed = ledgers.Closed("d", EXPIRY_MS, DONE)
        snapshot = ledgers.Snapshot(
            {f"k{n}": closed for n in range(100)}, [], 0
        )
        found = handoffs.Handoff.from_snapshot(_harness.INCARNATION, snapshot)
        self.assertLess(len(found.kept), 6)
        self.assertEqual(_answer(found, "k99"), DONE)
        for n in range(90):
            outcome = _answer(found, f"k{n}")
            self.assertIsInstance(outcome, outcomes.Unknown)

    @_harness.virtual
    async def test_absent_object_is_asked_for_again_after_a_while(self):
        clock, objects = _harness.FakeClock(), FakeObjects()
        reader = handoffs.Handoffs(objects=objects, clock=clock)
        for _ in range(10):
            self.assertIsNone(await reader.find("ab"))
        self.assertEqual(objects.gets, 1)
        home = await _stopped_home()
        await reader.write("ab", home.ledger)
        await asyncio.sleep(1.0)
        self.assertIsNotNone(await reader.find("ab"))
