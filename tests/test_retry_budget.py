"""Limits on retries and hedged sends."""

import random
import unittest

from sesameroad.routing import retry_budget


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load during a brown-out."""

    def test_retries_stay_within_the_percentage(self):
        """Retries exceed the configured percentage only by a small burst."""
        budget = retry_budget.RetryBudget(percent=10.0)
        chance = random.Random(1)
        spent = hedged = 0
        for _ in range(10_000):
            budget.record_first_send()
            spent += sum(
                budget.take_retry() for _ in range(chance.randrange(4))
            )
            hedged += budget.take_hedge()
        self.assertLessEqual(spent, 1_000 + 5)
        self.assertGreaterEqual(spent, 990)
        self.assertLessEqual(hedged, 100)

    def test_quiet_period_saves_up_a_bounded_burst(self):
        """Tokens saved up in a long quiet period must be bounded."""
        budget = retry_budget.RetryBudget()
        for _ in range(100_000):
            budget.record_first_send()
        self.assertEqual(sum(budget.take_retry() for _ in range(1_000)), 50)

    def test_zero_percent_forbids_retries(self):
        """An operator must be able to switch retries off."""
        budget = retry_budget.RetryBudget()
        budget.configure(0.0)
        self.assertFalse(budget.take_retry())
