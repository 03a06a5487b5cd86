"""Tests of the burn-rate report."""

import unittest

from sesameroad.model import outcomes
from sesameroad.telemetry import burn as burn_module

_GOOD = outcomes.Complete((b"1",))
_REFUSED = outcomes.NotRun(outcomes.Cause.OVERLOAD, "")


def _add(burn, outcome=_GOOD, *, times=1, now_s=0.0, seconds=0.1, **labels):
    for _ in range(times):
        burn.add(
            kind=labels.get("kind", "lookup"),
            team=labels.get("team", "t"),
            outcome=outcome,
            seconds=seconds,
            target_ms=500,
            objective=0.99,
            now_s=now_s,
        )


def _row(*burns_at, name="lookup"):
    parts = [p for burn, now_s in burns_at for p in burn.parts(now_s)]
    (row,) = [row for row in burn_module.report(parts) if row.name == name]
    return row


class BurnTest(unittest.TestCase):
    """Guards against missing, late and false alerts, and unbounded memory."""

    def test_rate_compares_bad_answers_with_the_objective(self):
        """Guards against refused or late answers that are counted as good."""
        burn = burn_module.Burn()
        _add(burn, times=98)
        _add(burn, _REFUSED)
        _add(burn, seconds=0.6)
        row = _row((burn, 0.0))
        self.assertEqual(row.rates["1h"], 2.0)
        self.assertEqual(row.causes, {"overload": 1, burn_module.LATE: 1})
        self.assertEqual(row.budget_left, -1.0)

    def test_errors_of_callers_are_not_counted(self):
        """Guards against alerts for causes that only the caller can change."""
        burn = burn_module.Burn()
        _add(burn)
        for cause in ("invalid", "key-reused", "cancelled"):
            _add(burn, outcomes.NotRun(outcomes.Cause(cause), ""))
        self.assertEqual(
            (_row((burn, 0.0)).answers, _row((burn, 0.0)).bad), (1, 0)
        )

    def test_windows_expire(self):
        """Guards against answers that are counted after their window ended."""
        burn = burn_module.Burn()
        _add(burn, _REFUSED, times=20)
        windows = {
            now_s: [w for w, rate in _row((burn, now_s)).rates.items() if rate]
            for now_s in (299, 301, 3_601, 21_601)
        }
        self.assertEqual(
            list(windows.values()),
            [["5m", "30m", "1h", "6h"], ["30m", "1h", "6h"], ["6h"], []],
        )
        self.assertEqual(_row((burn, 3_901)).causes, {})

    def test_page_ends_with_the_short_window(self):
        """Guards against a page that lasts for hours after the fault."""
        burn = burn_module.Burn()
        _add(burn, _REFUSED, times=20)
        self.assertIs(_row((burn, 10)).alert, burn_module.Alert.PAGE)
        _add(burn, times=300, now_s=2_000)
        self.assertIs(_row((burn, 2_000)).alert, burn_module.Alert.WARN)

    def test_few_bad_answers_do_not_page(self):
        """Guards against a page for a few bad answers in low traffic."""
        burn = burn_module.Burn()
        _add(burn, _REFUSED, times=3)
        self.assertIs(_row((burn, 0.0)).alert, burn_module.Alert.OK)

    def test_entries_are_merged(self):
        """Guards against a report that leaves out entries.

        The monotonic clocks of the entries differ, here by 9,000 s.
        """
        first, second = burn_module.Burn(), burn_module.Burn()
        _add(first, times=50, seconds=0.1)
        _add(second, times=50, seconds=0.3, now_s=9_000.0)
        row = _row((first, 0.0), (second, 9_000.0))
        self.assertEqual(row.answers, 100)
        self.assertAlmostEqual(row.p99_ms, 300, delta=5)

    def test_names_are_bounded(self):
        """Guards against memory that grows with the names in requests."""
        burn = burn_module.Burn()
        for number in range(1_000):
            _add(burn, team=f"t{number}", kind=f"k{number}")
        self.assertLessEqual(len(burn.parts(0.0)), 64 + 320 + 2)
