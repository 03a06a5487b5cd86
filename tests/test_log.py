"""Tests of structured logging."""

import json
import unittest
from unittest import mock

from absl import logging

from sesameroad.telemetry import log


class LineTest(unittest.TestCase):
    """Guards against a line that its readers cannot parse."""

    def test_line_is_json_with_the_renamed_and_static_fields(self):
        handler = logging.get_absl_handler().python_handler
        self.addCleanup(handler.setFormatter, handler.formatter)
        log.configure(instance_id="i1", data_centre="dc1")
        with self.assertLogs("absl") as logged:
            log.problem(
                "run lost",
                step="run",
                peer="e1",
                took_ms=3,
                wait_s=0.5,
                tasks=("a",),
            )
        line = json.loads(handler.formatter.format(logged.records[0]))
        self.assertTrue(line.pop("time"))
        self.assertEqual(
            line,
            {
                "level": "WARNING",
                "logger": "absl",
                "message": "run lost",
                "instance": "i1",
                "data_centre": "dc1",
                "step": "run",
                "peer": "e1",
                "took_ms": 3,
                "wait_s": 0.5,
                "tasks": ["a"],
            },
        )


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
