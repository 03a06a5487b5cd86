"""Tests of the metrics in the Prometheus text format."""

import unittest

from prometheus_client import parser

from sesameroad.model import outcomes
from sesameroad.telemetry import metrics as metrics_module

_FIGURES = metrics_module.Figures({"lookup": 3}, 2, 8, 5, 1, 4)


def _samples(metrics):
    return [
        sample
        for family in parser.text_string_to_metric_families(
            metrics.text().decode()
        )
        for sample in family.samples
    ]


class MetricsTest(unittest.TestCase):
    """Guards against wrong counts and against an unbounded number of labels."""

    def test_answers_and_state_are_exported(self):
        metrics = metrics_module.Metrics(lambda: _FIGURES)
        metrics.answered("lookup", "t", outcomes.Complete((b"1",)), 0.2)
        metrics.answered(
            "lookup", "t", outcomes.NotRun(outcomes.Cause.OVERLOAD, ""), 0.0
        )
        found = {
            (s.name, s.labels.get("cause"), s.labels.get("le")): s.value
            for s in _samples(metrics)
        }
        requests = "sesameroad_requests_total"
        bucket = "sesameroad_response_time_seconds_bucket"
        self.assertEqual(found[requests, "", None], 1)
        self.assertEqual(found[requests, "overload", None], 1)
        self.assertEqual(found[bucket, None, "0.15"], 1)
        self.assertEqual(found[bucket, None, "0.25"], 2)
        self.assertEqual(found["sesameroad_queue_length", None, None], 3)
        self.assertNotIn(("sesameroad_claims_total", None, None), found)

    def test_number_of_labels_is_bounded(self):
        """Guards against memory that grows with the names in requests."""
        metrics = metrics_module.Metrics(lambda: _FIGURES)
        for number in range(1_000):
            metrics.answered("k", f"t{number}", outcomes.Complete(()), 0.1)
        teams = {
            s.labels["team"] for s in _samples(metrics) if "team" in s.labels
        }
        self.assertEqual(len(teams), 321)
        self.assertIn(metrics_module.OTHER, teams)
