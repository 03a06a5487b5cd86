"""Metrics of an entry in the Prometheus text format.

The counts are kept in plain dictionaries and converted to metric families at
each scrape. A labelled counter of prometheus_client would take a lock and look
up its child at every increment.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from sesameroad.model import outcomes

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
OTHER = "other"

_MAX_KINDS = 64
_MAX_TEAMS = 320
_BUCKET_BOUNDS_S = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75),
    *(1.0, 1.5, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """State of an entry at a scrape; values that are None are not exported."""

    queued: dict[str, int]
    slots_used: int
    slots: int
    ledger_records: int
    peers: int
    configuration_version: int
    ledger_bytes: int | None = None
    crossed_answers: int | None = None
    claims: int | None = None
    relays_sent: int | None = None


@dataclasses.dataclass(slots=True)
class _ResponseTimes:
    """Histogram of response times; the last bucket has no upper bound."""

    counts: list[int]
    total_s: float = 0.0


class Metrics(registry.Collector):
    """Counters of an entry, exported together with its current state."""

    def __init__(self, figures: Callable[[], Figures]) -> None:
        self._figures = figures
        self._answers: collections.Counter[tuple[str, str, str, str]] = (
            collections.Counter()
        )
        self._response_times: dict[str, _ResponseTimes] = {}
        self._sends: collections.Counter[str] = collections.Counter()
        self._decided_keys: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._relays: collections.Counter[str] = collections.Counter()
        self._kinds: set[str] = set()
        self._teams: set[str] = set()
        self._registry = registry.CollectorRegistry()
        self._registry.register(self)
        prometheus_client.ProcessCollector(registry=self._registry)
        prometheus_client.GCCollector(registry=self._registry)

    def answered(
        self, kind: str, team: str, outcome: outcomes.Outcome, seconds: float
    ) -> None:
        """Counts an answer to a caller."""
        kind = _bounded_label(kind, self._kinds, _MAX_KINDS)
        team = _bounded_label(team, self._teams, _MAX_TEAMS)
        match outcome:
            case outcomes.Complete():
                cause = ""
            case _:
                cause = outcome.cause.value
        self._answers[kind, team, outcomes.label(outcome), cause] += 1
        times = self._response_times.get(kind)
        if times is None:
            times = self._response_times[kind] = _ResponseTimes(
                [0] * (len(_BUCKET_BOUNDS_S) + 1)
            )
        times.counts[bisect.bisect_left(_BUCKET_BOUNDS_S, seconds)] += 1
        times.total_s += seconds

    def sent(self, result: str) -> None:
        """Counts a send to an endpoint by its result."""
        self._sends[result] += 1

    def decided(self, kind: str, outcome: str) -> None:
        """Counts a key whose outcome was decided at this entry, its home."""
        self._decided_keys[
            _bounded_label(kind, self._kinds, _MAX_KINDS), outcome
        ] += 1

    def relay_received(self, purpose: str) -> None:
        """Counts work received from another entry by its purpose."""
        self._relays[purpose] += 1

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def describe(self) -> list[core.Metric]:
        """Returns no metrics so that registration does not read the figures."""
        return []

    def collect(self) -> Iterator[core.Metric]:
        """Yields all metric families."""
        requests = core.CounterMetricFamily(
            "sesameroad_requests",
            "Answers to callers.",
            labels=("kind", "team", "outcome", "cause"),
        )
        for labels, count in self._answers.items():
            requests.add_metric(labels, count)
        yield requests
        decided = core.CounterMetricFamily(
            "sesameroad_keys_decided",
            "Keys whose outcome was decided at this entry, their home.",
            labels=("kind", "outcome"),
        )
        for labels, count in self._decided_keys.items():
            decided.add_metric(labels, count)
        yield decided
        yield self._collect_response_times()
        yield _counter_family(
            "sends", "Sends to endpoints by result.", "result", self._sends
        )
        yield _counter_family(
            "relays_received",
            "Work received from other entries.",
            "purpose",
            self._relays,
        )
        yield from self._collect_state()

    def _collect_response_times(self) -> core.Metric:
        family = core.HistogramMetricFamily(
            "sesameroad_response_time_seconds",
            "Time from the last byte of a request to its answer.",
            labels=("kind",),
        )
        for kind, times in self._response_times.items():
            buckets: list[tuple[str, float]] = []
            cumulative = 0
            for bound, count in zip(
                (*map(str, _BUCKET_BOUNDS_S), "+Inf"), times.counts, strict=True
            ):
                cumulative += count
                buckets.append((bound, cumulative))
            family.add_metric((kind,), buckets, times.total_s)
        return family

    def _collect_state(self) -> Iterator[core.Metric]:
        figures = self._figures()
        queued = core.GaugeMetricFamily(
            "sesameroad_queue_length",
            "Tasks that are not started yet.",
            labels=("kind",),
        )
        for kind, count in figures.queued.items():
            queued.add_metric((kind,), count)
        yield queued
        for name, help_text, value in (
            ("slots", "Slots of live endpoints.", figures.slots),
            ("slots_used", "Slots that this entry uses.", figures.slots_used),
            (
                "ledger_records",
                "Keys in the ledger.",
                figures.ledger_records,
            ),
            (
                "ledger_bytes",
                "Payloads and answers held for the keys in the ledger.",
                figures.ledger_bytes,
            ),
            ("peers", "Entries with a live stream.", figures.peers),
            (
                "configuration_version",
                "Configuration version in force.",
                figures.configuration_version,
            ),
        ):
            if value is not None:
                yield core.GaugeMetricFamily(
                    f"sesameroad_{name}", help_text, value=value
                )
        for name, help_text, value in (
            (
                "crossed_answers_dropped",
                "Endpoint answers that carried another attempt's id.",
                figures.crossed_answers,
            ),
            ("claims", "Claims written to the platform.", figures.claims),
            (
                "relays_sent",
                "Work handed to other entries.",
                figures.relays_sent,
            ),
        ):
            if value is not None:
                yield core.CounterMetricFamily(
                    f"sesameroad_{name}", help_text, value=value
                )


def _counter_family(
    name: str, help_text: str, label: str, counts: collections.Counter[str]
) -> core.Metric:
    family = core.CounterMetricFamily(
        f"sesameroad_{name}", help_text, labels=(label,)
    )
    for value, count in counts.items():
        family.add_metric((value,), count)
    return family


def _bounded_label(name: str, known: set[str], limit: int) -> str:
    """Returns the name, or OTHER if there are too many names already."""
    if name in known:
        return name
    if len(known) >= limit:
        return OTHER
    known.add(name)
    return name
