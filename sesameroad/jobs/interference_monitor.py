"""Logs, metrics and the report of queues that interfere.

Load: one check every 0.1 s at a leader, and at most 256 pairs.
"""

import math

from sesameroad.jobs import interference as interference_module
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Period of the line that lists all pairs, in seconds.
_REPORT_PERIOD_S = 60.0
# Period in which the metrics of the pairs are updated, in seconds.
_METRICS_PERIOD_S = 2.0
# Strongest pairs in the metrics and in a line of the log.
_MAX_SHOWN = 32


class InterferenceMonitor:
    """Publishes the pairs of a leader; does nothing if it is disabled."""

    __slots__ = ("_interference", "_metrics", "_reported_at", "_updated_at")

    def __init__(
        self,
        interference: interference_module.Interference | None,
        *,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        self._interference = interference
        self._metrics = metrics
        self._updated_at = -math.inf
        self._reported_at = -math.inf

    def check(self, now: float) -> None:
        """Logs changes, and updates the metrics and the report if due."""
        if self._interference is None:
            return
        for change in self._interference.take_changes():
            self._log_change(change, now)
        if now - self._updated_at >= _METRICS_PERIOD_S:
            self._updated_at = now
            self._metrics.set_interference(
                {
                    (pair.delayed, pair.alongside): (pair.delay, pair.jobs)
                    for pair in self._interference.pairs[:_MAX_SHOWN]
                }
            )
        if now - self._reported_at >= _REPORT_PERIOD_S:
            self._reported_at = now
            if pairs := self.report(now)[:_MAX_SHOWN]:
                log.event("interference report", step="place", pairs=pairs)

    def close(self) -> None:
        """Removes the pairs from the metrics."""
        if self._interference is not None:
            self._metrics.set_interference({})

    def report(self, now: float) -> list[dict[str, object]]:
        """Returns the detected pairs, the strongest first."""
        if self._interference is None:
            return []
        return [self._describe(pair, now) for pair in self._interference.pairs]

    def _log_change(
        self, change: interference_module.Change, now: float
    ) -> None:
        message = "interference ended"
        if change.detected:
            message = "interference detected"
        self._metrics.interference_changed(message.rpartition(" ")[2])
        log.event(message, step="place", **self._describe(change.pair, now))

    def _describe(
        self, pair: interference_module.Pair, now: float
    ) -> dict[str, object]:
        pin = ""
        if self._interference.is_pinned_apart(pair):
            pin = "apart"
        elif self._interference.is_harmless(pair):
            pin = "harmless"
        return {
            "delayed": pair.delayed,
            "alongside": pair.alongside,
            "delay_percent": round(pair.delay * 100, 1),
            "evidence_jobs": round(pair.jobs, 1),
            "standard_errors": round(pair.deviations, 1),
            "detected_s_ago": round(now - pair.since, 1),
            "pin": pin,
        }
