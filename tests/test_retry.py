"""Decisions after the result of a send."""

import unittest

from sesameroad.model import outcomes
from sesameroad.routing import results
from sesameroad.routing import retry
from sesameroad.routing import retry_budget
from tests import fixtures

_BAD = results.RanAndFailed(500, "")
_REFUSED = results.Refused(leaving=False)
_NEVER_SENT = results.NeverSent("")


class RetryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against retries of work that must not run twice."""

    def _decide(self, pending, *sends, budget=None):
        budget = budget or retry_budget.RetryBudget()
        for number, result in enumerate(sends):
            retry.record_result(pending, f"e{number}", result)
            decision = retry.decide(pending, result, budget)
        return decision

    async def test_work_that_must_not_repeat_is_not_repeated(self):
        """A lost or failed send must end a submission or a plain request."""
        ledger = fixtures.open_ledger()
        for work in (fixtures.request("r"), fixtures.submission("s")):
            for result in (_BAD, results.Lost("")):
                pending = fixtures.queued_task(ledger, work)
                self.assertIsInstance(self._decide(pending, result), retry.Stop)

    async def test_refusal_after_a_lost_send_is_not_called_not_run(self):
        """A request that may have run must not be answered "not run"."""
        for last in (_REFUSED, _NEVER_SENT):
            work = fixtures.request("i", idempotent=True)
            pending = fixtures.queued_task(fixtures.open_ledger(), work)
            again = self._decide(pending, results.Lost(""), last)
            self.assertEqual(again, retry.Requeue(nothing_ran=False))
        stop = self._decide(pending, *[_NEVER_SENT] * retry.MAX_UNREACHABLE)
        self.assertFalse(stop.nothing_ran)
        self.assertIsInstance(stop.outcome, outcomes.Failed)

    async def test_withheld_after_a_lost_send_is_not_called_not_run(self):
        """The same holds if the deadline passes before the second send."""
        work = fixtures.request("i", idempotent=True)
        pending = fixtures.queued_task(fixtures.open_ledger(), work)
        stop = self._decide(pending, results.Lost(""), results.Withheld(""))
        self.assertIsInstance(stop.outcome, outcomes.Failed)

    async def test_full_endpoints_do_not_end_work(self):
        """During a partition two allocators may grant the same slots."""
        pending = fixtures.queued_task(
            fixtures.open_ledger(), fixtures.request()
        )
        again = self._decide(pending, *[_REFUSED] * 1_000)
        self.assertEqual(again, retry.Requeue(nothing_ran=True))
        self.assertEqual(pending.attempts, 0)

    async def test_unreachable_endpoints_have_their_own_bound(self):
        """Failed connects must be bounded, but must not use up the attempts."""
        pending = fixtures.queued_task(
            fixtures.open_ledger(), fixtures.request()
        )
        sends = [_NEVER_SENT] * (retry.MAX_UNREACHABLE - 1)
        again = self._decide(pending, *sends)
        self.assertEqual(again, retry.Requeue(nothing_ran=True))
        self.assertEqual(pending.attempts, 0)
        stop = self._decide(pending, _NEVER_SENT)
        self.assertIsInstance(stop.outcome, outcomes.NotRun)
        self.assertTrue(stop.nothing_ran)

    async def test_repeats_need_budget(self):
        """Without budget an idempotent request ends at its first failure."""
        budget = retry_budget.RetryBudget()
        work = fixtures.request("i", idempotent=True)
        pending = fixtures.queued_task(fixtures.open_ledger(), work)
        first = self._decide(pending, _BAD, budget=budget)
        self.assertEqual(first, retry.Requeue(nothing_ran=False))
        budget.configure(0.0)
        self.assertIsInstance(self._decide(pending, _BAD), retry.Requeue)
        stop = self._decide(pending, _BAD, budget=budget)
        self.assertIsInstance(stop, retry.Stop)

    async def test_finished_work_spends_no_budget(self):
        """A late failure of answered work must not take a token."""
        work = fixtures.request("i", idempotent=True)
        pending = fixtures.queued_task(fixtures.open_ledger(), work)
        pending.record.done.set_result(outcomes.Complete((b"",)))
        self.assertIsInstance(self._decide(pending, _BAD), retry.Stop)
