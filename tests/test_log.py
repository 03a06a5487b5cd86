"""Tests of structured logging."""

import unittest
from unittest import mock

from sesameroad.telemetry import log


class LimiterTest(unittest.TestCase):
    """Guards against too many lines, and against omitting lines silently."""

    def test_lines_are_limited_for_each_cause_and_second(self):
        limiter = log.Limiter(per_second=2)
        with mock.patch.object(log, "event") as event:
            admitted = [limiter.admit("overload", 1.0) for _ in range(5)]
            self.assertEqual(admitted, [True, True, False, False, False])
            self.assertTrue(limiter.admit("deadline", 1.5))
            self.assertTrue(limiter.admit("overload", 2.0))
        event.assert_called_once_with(
            mock.ANY, step="log", left_out={"overload": 3}
        )
