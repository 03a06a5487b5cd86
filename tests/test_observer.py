"""Tests of the records of answers and sends."""

import unittest
from unittest import mock

from sesameroad.entry import observer
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.operators import recent_events
from sesameroad.routing import results
from sesameroad.telemetry import burn
from sesameroad.telemetry import log
from sesameroad.telemetry import metrics
from standins import fleet


class ObserverTest(unittest.TestCase):
    """Guards the metrics that operators rely on, and their cost."""

    def setUp(self):
        document = fleet.default_document()
        self.metrics = metrics.Metrics(
            lambda: metrics.Figures({}, 0, 0, 0, 0, 0)
        )
        self.recent_events = recent_events.RecentEvents()
        self.observer = observer.Observer(
            metrics=self.metrics,
            burn=burn.Burn(),
            recent_events=self.recent_events,
            clock=clocks.Clock(),
            configuration=lambda: document,
        )

    def _answer(self, times, outcome, team="storefront"):
        with mock.patch.object(log, "event") as event:
            for _ in range(times):
                self.observer.record_answer(
                    key="k",
                    kind="lookup",
                    team=team,
                    tasks=1,
                    outcome=outcome,
                    seconds=0.01,
                )
        return event.call_count

    def test_lines_are_sampled_and_limited(self):
        """Guards against a log line for each answer under load."""
        self.assertEqual(self._answer(2_001, outcomes.Complete((b"1",))), 3)
        refusal = outcomes.NotRun(outcomes.Cause.OVERLOAD, "")
        self.assertLessEqual(self._answer(500, refusal), 12)

    def test_names_given_by_callers_are_no_labels(self):
        """Guards against metrics that grow with names callers make up."""
        invalid = outcomes.NotRun(outcomes.Cause.INVALID, "")
        self._answer(1, invalid, team="x" * 99)
        self.assertIn(b'team="unknown"', self.metrics.text())
        self.assertNotIn(b"xxx", self.metrics.text())

    def test_every_result_of_a_send_is_counted(self):
        """Guards against results of sends that the metrics miss."""
        pending = mock.Mock(index=0)
        pending.work.key = "k"
        for result in (
            results.Answered(b""),
            results.RanAndFailed(500, "d" * 999),
            results.Refused(leaving=True),
            results.NeverSent("d"),
            results.Lost("d"),
            results.Withheld("d"),
        ):
            self.observer.record_send(pending, result)
        text = self.metrics.text().decode()
        for name in ("answered", "failed", "refused", "never-sent", "lost"):
            self.assertIn(f'sends_total{{result="{name}"}} 1.0', text)
        self.assertEqual(len(self.recent_events.of_key("k")), 5)
