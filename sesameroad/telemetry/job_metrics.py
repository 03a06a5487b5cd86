"""Prometheus metrics of an instance on the platform.

All labels have a fixed set of values. Queues and hosts are not used as labels,
because new ones appear every day; the only exception is the strongest pairs of
queues that interfere at present.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import re

import prometheus_client

from sesameroad.leasing import orders
from sesameroad.model import outcomes

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
_ORDER_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
_SECONDS_SUFFIX = re.compile(r"_s$")
_JOB_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Values of the gauges, read at each scrape.

    Attributes:
        configuration_version: Current version, 0 if none.
        peers: Number of live streams to peers.
        stewardships: Number of data centres that this instance leads.
        free_cores: Free cores of the endpoints of these data centres.
        waiting_jobs: Jobs without a started task in these data centres.
        jobs_in_flight: Jobs whose callers wait at this instance.
        endpoint_list_age_s: Time since the list of endpoints was read.
        log_lines_dropped: Log lines dropped because the reader is slow, and
            not yet reported in the log.
        loop_delay_s: Mean delay of the event loop, which shows a lack of
            processor time.
        evacuated_data_centres: Number of data centres that are evacuated.
        evacuated_runs: Runs that this leader has left on their endpoints.
        recent_cancels: Cancelled keys that this instance keeps.
    """

    configuration_version: int
    peers: int
    stewardships: int
    free_cores: float
    waiting_jobs: int
    jobs_in_flight: int
    endpoint_list_age_s: float
    log_lines_dropped: int
    loop_delay_s: float
    evacuated_data_centres: int = 0
    evacuated_runs: int = 0
    recent_cancels: int = 0


class JobMetrics:
    """Counters and histograms of jobs, and gauges of the current state."""

    def __init__(self, figures: Callable[[], Figures] | None = None) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        registry = self._registry
        self._jobs_answered = prometheus_client.Counter(
            "sesameroad_jobs_answered",
            "Jobs answered to callers, by outcome and cause.",
            ["outcome", "cause"],
            registry=registry,
        )
        self._job_seconds = prometheus_client.Histogram(
            "sesameroad_job_seconds",
            "Time from the arrival of a job to its answer.",
            ["outcome"],
            buckets=_JOB_BUCKETS_S,
            registry=registry,
        )
        self._first_start_seconds = prometheus_client.Histogram(
            "sesameroad_job_first_start_seconds",
            "Time from the arrival of a job at its leader to its first start.",
            buckets=_JOB_BUCKETS_S,
            registry=registry,
        )
        self._runs_ended = prometheus_client.Counter(
            "sesameroad_runs_ended",
            "Runs of tasks, by how they ended.",
            ["how"],
            registry=registry,
        )
        self._jobs_unaccounted = prometheus_client.Counter(
            "sesameroad_jobs_unaccounted",
            "Jobs that a leader ended because it lost track of a task.",
            registry=registry,
        )
        self._cancels = prometheus_client.Counter(
            "sesameroad_cancels",
            "Cancels that callers sent to this instance, by result.",
            ["result"],
            registry=registry,
        )
        self._cancel_reports_seconds = prometheus_client.Histogram(
            "sesameroad_cancel_reports_seconds",
            "Wait of a new leader for the recent cancels of its peers.",
            buckets=_ORDER_BUCKETS_S,
            registry=registry,
        )
        self._cancel_reports_missing = prometheus_client.Counter(
            "sesameroad_cancel_reports_missing",
            "Peers that have not told a new leader of their recent cancels.",
            registry=registry,
        )
        self._starts_held_up = prometheus_client.Counter(
            "sesameroad_held_up_starts",
            "Starts without an answer that keep their tasks at one endpoint.",
            registry=registry,
        )
        self._jobs_held_up = prometheus_client.Counter(
            "sesameroad_jobs_held_up",
            "Jobs that a start without an answer keeps from ending in time.",
            registry=registry,
        )
        self._starts_late = prometheus_client.Counter(
            "sesameroad_starts_carried_out_late",
            "Listed runs whose starts this leader had given up.",
            registry=registry,
        )
        self._starts_of_lost_leaders = prometheus_client.Counter(
            "sesameroad_starts_of_lost_leaders",
            "Starts on their way of leaders that this instance has lost.",
            registry=registry,
        )
        self._orders = prometheus_client.Counter(
            "sesameroad_orders",
            "Orders to endpoints, by kind and answer.",
            ["order", "answer"],
            registry=registry,
        )
        self._order_seconds = prometheus_client.Histogram(
            "sesameroad_order_seconds",
            "Time to the answer of a start or a stop.",
            ["order"],
            buckets=_ORDER_BUCKETS_S,
            registry=registry,
        )
        self._store_calls = prometheus_client.Counter(
            "sesameroad_store_calls",
            "Calls to the platform's store, by step and result.",
            ["step", "result"],
            registry=registry,
        )
        self._leader_list_seconds = prometheus_client.Histogram(
            "sesameroad_leader_list_seconds",
            "Time from a claim until the list of endpoints was read, or given up.",
            ["result"],
            buckets=_ORDER_BUCKETS_S,
            registry=registry,
        )
        self._interference_changes = prometheus_client.Counter(
            "sesameroad_interference_changes",
            "Pairs of queues that were detected to interfere, and ends of that.",
            ["change"],
            registry=registry,
        )
        # Labels are names of queues here, because the pair is what matters. Only
        # the strongest present pairs are exported.
        self._interference_delay = prometheus_client.Gauge(
            "sesameroad_interference_delay_ratio",
            "Extra run time of a queue alongside another, per run time.",
            ["delayed", "alongside"],
            registry=registry,
        )
        self._interference_jobs = prometheus_client.Gauge(
            "sesameroad_interference_evidence_jobs",
            "Evidence for that delay, in jobs of full overlap.",
            ["delayed", "alongside"],
            registry=registry,
        )
        # Looking up a child by its labels takes longer than counting, and a
        # leader counts thousands of orders a second.
        self._runs_ended_by = functools.cache(self._runs_ended.labels)
        self._orders_by = functools.cache(self._orders.labels)
        self._order_seconds_by = functools.cache(self._order_seconds.labels)
        if figures is not None:
            self._add_gauges(figures)

    def answered(
        self, outcome: outcomes.Outcome | None, seconds: float
    ) -> None:
        """Counts an answer to a caller; None if the caller disconnected."""
        match outcome:
            case None:
                label, cause = "caller left", ""
            case outcomes.Complete():
                label, cause = outcomes.label(outcome), ""
            case _:
                label, cause = outcomes.label(outcome), outcome.cause.value
        self._jobs_answered.labels(label, cause).inc()
        self._job_seconds.labels(label).observe(seconds)

    def first_start(self, seconds: float) -> None:
        """Records the time from the arrival of a job to its first start."""
        self._first_start_seconds.observe(seconds)

    def run_ended(self, result: str) -> None:
        """Counts a run that has ended."""
        self._runs_ended_by(result).inc()

    def start_held_up(self) -> None:
        """Counts a start without an answer that keeps its task there."""
        self._starts_held_up.inc()

    def job_held_up(self) -> None:
        """Counts a job that can't end in time because of such a start."""
        self._jobs_held_up.inc()

    def starts_late(self, count: int) -> None:
        """Counts listed runs whose starts were given up."""
        self._starts_late.inc(count)

    def starts_of_lost_leader(self, count: int) -> None:
        """Counts starts that a lost leader had not been told the answer of."""
        self._starts_of_lost_leaders.inc(count)

    def job_unaccounted(self) -> None:
        """Counts a job that was ended because a task was lost track of."""
        self._jobs_unaccounted.inc()

    def cancelled(self, result: str) -> None:
        """Counts a cancel of a caller by its result."""
        self._cancels.labels(result).inc()

    def cancel_reports_awaited(self, seconds: float, *, missing: int) -> None:
        """Records a new leader's wait for the recent cancels of its peers."""
        self._cancel_reports_seconds.observe(seconds)
        self._cancel_reports_missing.inc(missing)

    def ordered(
        self, order: str, answer: orders.PollAnswer | orders.Answer
    ) -> None:
        """Counts an order by its kind and answer."""
        match answer:
            case orders.Refused(refusal=refusal):
                label = refusal.value
            case orders.NoAnswer():
                label = "none"
            case _:
                label = "accepted"
        self._orders_by(order, label).inc()

    def order_took(self, order: str, seconds: float) -> None:
        """Records the time to the answer of an order."""
        self._order_seconds_by(order).observe(seconds)

    def store_called(self, step: str, answered: bool) -> None:  # noqa: FBT001
        """Counts a call to the store by whether a complete answer arrived."""
        result = "answered" if answered else "failed"
        self._store_calls.labels(step, result).inc()

    def leader_list_took(self, result: str, seconds: float) -> None:
        """Records the time for which a new leader has held back its starts."""
        self._leader_list_seconds.labels(result).observe(seconds)

    def interference_changed(self, change: str) -> None:
        """Counts a pair of queues that was detected to interfere, or its end."""
        self._interference_changes.labels(change).inc()

    def set_interference(
        self, pairs: Mapping[tuple[str, str], tuple[float, float]]
    ) -> None:
        """Replaces the exported pairs of queues that interfere.

        Args:
            pairs: Delay and evidence by delayed queue and queue alongside.
        """
        self._interference_delay.clear()
        self._interference_jobs.clear()
        for names, (delay, evidence) in pairs.items():
            self._interference_delay.labels(*names).set(delay)
            self._interference_jobs.labels(*names).set(evidence)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _add_gauges(self, figures: Callable[[], Figures]) -> None:
        for field in dataclasses.fields(Figures):
            gauge = prometheus_client.Gauge(
                "sesameroad_" + _SECONDS_SUFFIX.sub("_seconds", field.name),
                f"Present value of {field.name.replace('_', ' ')}.",
                registry=self._registry,
            )
            gauge.set_function(lambda name=field.name: getattr(figures(), name))
