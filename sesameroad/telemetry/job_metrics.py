"""Prometheus metrics of an instance on the platform.

Labels take values from fixed sets only: queues and hosts are new each day.
"""

from collections.abc import Callable
import dataclasses
import re

import prometheus_client

from sesameroad.leasing import order as orders
from sesameroad.model import outcome as outcomes

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
_CALL_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
_UNIT_SUFFIX = re.compile(r"_s$")
_JOB_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """State that is read when the metrics are fetched.

    Attributes:
        configuration_version: Version in force, 0 if none.
        peers: Live streams to peers.
        stewardships: Data centres whose steward this instance is.
        free_cores: Free cores of their endpoints.
        waiting_jobs: Jobs there without a started task.
        jobs_in_flight: Jobs of callers here.
        endpoint_list_age_s: Time since the endpoints were read.
        log_lines_dropped: Lines dropped for a slow reader and not yet reported.
    """

    configuration_version: int
    peers: int
    stewardships: int
    free_cores: float
    waiting_jobs: int
    jobs_in_flight: int
    endpoint_list_age_s: float
    log_lines_dropped: int


class JobMetrics:
    """Counters and histograms, and gauges of the present state."""

    def __init__(self, figures: Callable[[], Figures] | None = None) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        registry = self._registry
        self._answered = prometheus_client.Counter(
            "sesameroad_jobs_answered",
            "Jobs answered to callers, by outcome and cause.",
            ["outcome", "cause"],
            registry=registry,
        )
        self._seconds = prometheus_client.Histogram(
            "sesameroad_job_seconds",
            "Time from the arrival of a job to its answer.",
            ["outcome"],
            buckets=_JOB_BUCKETS_S,
            registry=registry,
        )
        self._first_start = prometheus_client.Histogram(
            "sesameroad_job_first_start_seconds",
            "Time from the arrival of a job at its steward to its first start.",
            buckets=_JOB_BUCKETS_S,
            registry=registry,
        )
        self._runs = prometheus_client.Counter(
            "sesameroad_runs_ended",
            "Runs of tasks, by how they ended.",
            ["how"],
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
            buckets=_CALL_BUCKETS_S,
            registry=registry,
        )
        self._store_calls = prometheus_client.Counter(
            "sesameroad_store_calls",
            "Calls to the platform's store, by step and result.",
            ["step", "result"],
            registry=registry,
        )
        if figures is not None:
            self._add_gauges(figures)

    def answered(
        self, outcome: outcomes.Outcome | None, seconds: float
    ) -> None:
        """Notes the answer to a caller; None if the caller left."""
        match outcome:
            case None:
                label, cause = "caller left", ""
            case outcomes.Complete():
                label, cause = outcomes.label(outcome), ""
            case _:
                label, cause = outcomes.label(outcome), outcome.cause.value
        self._answered.labels(label, cause).inc()
        self._seconds.labels(label).observe(seconds)

    def first_start(self, seconds: float) -> None:
        """Notes the first start of a job."""
        self._first_start.observe(seconds)

    def run_ended(self, how: str) -> None:
        """Notes the end of a run."""
        self._runs.labels(how).inc()

    def ordered(
        self, order: str, answer: orders.LookAnswer | orders.Answer
    ) -> None:
        """Notes the answer to an order."""
        match answer:
            case orders.Refused(why=why):
                label = why.value
            case orders.NoAnswer():
                label = "none"
            case orders.Replaced():
                label = "replaced"
            case _:
                label = "accepted"
        self._orders.labels(order, label).inc()

    def order_took(self, order: str, seconds: float) -> None:
        """Notes the time to the answer of an order."""
        self._order_seconds.labels(order).observe(seconds)

    def store_called(self, step: str, answered: bool) -> None:  # noqa: FBT001
        """Notes a call to the store, and whether a whole answer came."""
        result = "answered" if answered else "failed"
        self._store_calls.labels(step, result).inc()

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self._registry)

    def _add_gauges(self, figures: Callable[[], Figures]) -> None:
        for field in dataclasses.fields(Figures):
            gauge = prometheus_client.Gauge(
                "sesameroad_" + _UNIT_SUFFIX.sub("_seconds", field.name),
                f"Present value of {field.name.replace('_', ' ')}.",
                registry=self._registry,
            )
            gauge.set_function(lambda name=field.name: getattr(figures(), name))
