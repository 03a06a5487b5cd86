"""Tests of the ledger: starts, kept outcomes and limits."""

import asyncio
import sys
import unittest

from sesameroad import errors
from sesameroad.model import outcomes
from tests import _harness

EXPIRY_MS = _harness.BASE_MS + 5_000
DONE = outcomes.Complete((b"12345",))


def _open(ledger, work, *, remember=True, expiry_ms=EXPIRY_MS):
    return ledger.open(work, digest="d", expiry_ms=expiry_ms, remember=remember)


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against repeated or late starts and against unbounded memory."""

    async def asyncSetUp(self):
        self.clock = _harness.FakeClock()
        now_ms = asyncio.get_running_loop().time() * 1_000
        self.clock.offset_ms = -round(now_ms)

    async def test_task_of_a_submission_starts_once(self):
        ledger = _harness.ledger(self.clock)
        record = _open(ledger, _harness.submission("k", 2))
        ledger.start(record, 0)
        with self.assertRaises(errors.StartRefusedError):
            ledger.start(record, 0)
        ledger.start(record, 1)
        ledger.return_start(record, 0)
        self.assertFalse(record.not_started)

    async def test_nothing_starts_after_expiry_finish_or_stop(self):
        """A process resumed after a pause must not start an expired task."""
        ledger = _harness.ledger(self.clock)
        late, finished, stopped = (
            _open(ledger, _harness.request(key)) for key in "abc"
        )
        self.clock.offset_ms += 5_000
        with self.assertRaises(errors.StartRefusedError):
            ledger.start(late, 0)
        self.clock.offset_ms -= 5_000
        ledger.finish(finished, DONE)
        with self.assertRaises(errors.StartRefusedError):
            ledger.start(finished, 0)
        with self.assertRaises(errors.SesameroadError):
            ledger.snapshot()
        ledger.stop()
        with self.assertRaises(errors.StartRefusedError):
            ledger.start(stopped, 0)
        with self.assertRaises(errors.LedgerStoppedError):
            _open(ledger, _harness.request("d"))

    async def test_clock_set_back_does_not_revive_a_dropped_key(self):
        ledger = _harness.ledger(self.clock)
        for key in "ab":
            ledger.finish(_open(ledger, _harness.request(key)), DONE)
        with self.assertRaises(errors.KeyExpiredError):
            _open(ledger, _harness.request("c"), expiry_ms=_harness.BASE_MS)
        self.clock.offset_ms += 5_000
        self.assertEqual(ledger.sweep(), 2)
        self.clock.offset_ms -= 5_000
        with self.assertRaises(errors.KeyExpiredError):
            _open(ledger, _harness.request("a"))

    async def test_compacted_key_stays_refused(self):
        """Compacting records for new work must not let their keys run again."""
        ledger = _harness.ledger(self.clock, records=1, marks=1)
        ledger.finish(_open(ledger, _harness.request("a")), DONE)
        record = _open(ledger, _harness.request("b"))
        self.assertIsInstance(ledger.find("a").outcome, outcomes.Unknown)
        ledger.finish(record, DONE)
        with self.assertRaises(errors.LedgerFullError):
            _open(ledger, _harness.request("c"))
        self.assertEqual(ledger.find("b").outcome, DONE)

    async def test_old_answers_are_discarded_for_new_work(self):
        ledger = _harness.ledger(self.clock, held_bytes=20)
        work = _harness.request("a", payload=b"x" * 10)
        ledger.finish(_open(ledger, work), DONE)
        self.assertEqual(ledger.held_bytes, 5)
        _open(ledger, _harness.request("b", payload=b"x" * 16))
        self.assertIsInstance(ledger.find("a").outcome, outcomes.Unknown)
        with self.assertRaises(errors.LedgerFullError):
            _open(ledger, _harness.request("c", payload=b"x" * 5))
        self.assertEqual(ledger.held_bytes, 16)

    async def test_answers_of_running_work_are_bounded(self):
        ledger = _harness.ledger(self.clock, held_bytes=20)
        record = _open(ledger, _harness.submission("a", 3))
        ledger.add_answer(record, 0, b"x" * 10)
        with self.assertRaises(errors.LedgerFullError):
            ledger.add_answer(record, 1, b"x" * 10)

    async def test_refusal_is_much_smaller_than_a_record(self):
        ledger = _harness.ledger(self.clock, marks=10_000)
        for n in range(10_000):
            cause = outcomes.Cause.OVERLOAD
            ledger.refuse(f"k{n}", expiry_ms=EXPIRY_MS, cause=cause)
        marks = next(iter(ledger._marks.values()))
        size = sys.getsizeof(marks) + sum(map(sys.getsizeof, marks))
        self.assertEqual(ledger.marks, 10_000)
        self.assertLess(size / 10_000, 100)
