"""Burn-rate report of the service-level objectives.

Each entry counts good and bad answers by kind and by team in ring buffers of
fixed size. The report of several entries is made from the sums of their counts.
"""

import array
from collections.abc import Iterable
import dataclasses
import enum

from hdrh import histogram
import msgspec

from sesameroad.model import outcomes

WINDOWS_S = {"5m": 300, "30m": 1_800, "1h": 3_600, "6h": 21_600}
LATE = "late"
OTHER = "other"

_BUCKET_S = 30
_BUCKETS = WINDOWS_S["6h"] // _BUCKET_S
_CAUSE_BUCKET_S = 300
_CAUSE_BUCKETS = WINDOWS_S["1h"] // _CAUSE_BUCKET_S
_CAUSES = (*(cause.value for cause in outcomes.Cause), LATE)
_CAUSE_INDEX = {cause: index for index, cause in enumerate(_CAUSES)}
_TOP_CAUSES = 3

_MAX_KINDS = 64
_MAX_TEAMS = 320

# Response times are kept for the current half hour and the previous one.
_TIMES_PERIOD_S = 1_800
_LOWEST_MS = 1
_HIGHEST_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2

# Thresholds of the usual multi-window alerts: 2% of a 30-day error budget
# within 1 h, 5% within 6 h. The short window ends the alert soon after the
# fault ends.
_FAST_BURN_RATE = 14.4
_SLOW_BURN_RATE = 6.0
_WARN_BURN_RATE = 1.0
# Prevents a page for a handful of bad answers at times of little traffic, such
# as at night.
_MIN_BAD_ANSWERS = 10

# Causes that the caller is responsible for. They do not count against the
# objectives.
_CALLER_CAUSES = {
    outcomes.Cause.INVALID,
    outcomes.Cause.KEY_REUSED,
    outcomes.Cause.CANCELLED,
    outcomes.Cause.NOT_FOUND,
}


class Scope(enum.Enum):
    """Whether a row of the report counts a kind or a team."""

    KIND = "kind"
    TEAM = "team"


class Alert(enum.Enum):
    """State of the multi-window alert."""

    OK = "ok"
    WARN = "warn"
    PAGE = "page"


@dataclasses.dataclass(slots=True)
class Count:
    """Number of answers within a window.

    Attributes:
        total: Good and bad answers, without those that the caller caused.
        bad: Failed, refused, unknown or late answers.
        allowed: Bad answers that the objectives allow for the total.
    """

    total: int = 0
    bad: int = 0
    allowed: float = 0.0

    @property
    def rate(self) -> float:
        """Burn rate; a rate of 1 uses exactly the error budget."""
        return self.bad / self.allowed if self.allowed > 0 else 0.0


@dataclasses.dataclass(slots=True)
class Part:
    """Counts of one kind or team at one entry, or of several entries.

    Attributes:
        scope: Whether it is a kind or a team.
        name: The kind or team.
        windows: Counts by window.
        causes: Bad answers of the last hour by cause.
        times: Response times in ms as encoded hdrhistograms.
    """

    scope: Scope
    name: str
    windows: dict[str, Count]
    causes: dict[str, int]
    times: tuple[bytes, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One row of the report.

    Attributes:
        scope: Whether it is a kind or a team.
        name: The kind or team.
        alert: State of the multi-window alert.
        rates: Burn rate by window.
        budget_left: Fraction of the 6 h error budget that is left; negative if
            it is exceeded.
        answers: Good and bad answers of the last hour.
        bad: Bad answers of the last hour.
        causes: Most frequent causes of bad answers in the last hour.
        median_ms: Median response time of complete answers, None if unknown.
        p99_ms: 99th percentile of the same response times.
    """

    scope: Scope
    name: str
    alert: Alert
    rates: dict[str, float]
    budget_left: float
    answers: int
    bad: int
    causes: dict[str, int]
    median_ms: float | None = None
    p99_ms: float | None = None


class _Series:
    """Counts of one kind or team in ring buffers of fixed size."""

    __slots__ = (
        "_allowed",
        "_bad",
        "_bucket",
        "_cause_bucket",
        "_causes",
        "_total",
    )

    def __init__(self, now_s: float) -> None:
        self._total = array.array("I", bytes(4 * _BUCKETS))
        self._bad = array.array("I", bytes(4 * _BUCKETS))
        self._allowed = array.array("d", bytes(8 * _BUCKETS))
        self._bucket = int(now_s) // _BUCKET_S
        self._causes = array.array(
            "I", bytes(4 * _CAUSE_BUCKETS * len(_CAUSES))
        )
        self._cause_bucket = int(now_s) // _CAUSE_BUCKET_S

    def add(self, now_s: float, cause: str | None, allowed: float) -> None:
        """Counts one answer; cause is None for a good answer."""
        self._advance(now_s)
        position = self._bucket % _BUCKETS
        self._total[position] += 1
        self._allowed[position] += allowed
        if cause is not None:
            self._bad[position] += 1
            base = self._cause_bucket % _CAUSE_BUCKETS * len(_CAUSES)
            self._causes[base + _CAUSE_INDEX[cause]] += 1

    def windows(self, now_s: float) -> dict[str, Count]:
        """Returns the counts by window."""
        self._advance(now_s)
        return {name: self._sum(span) for name, span in WINDOWS_S.items()}

    def causes(self, now_s: float) -> dict[str, int]:
        """Returns the number of bad answers of the last hour by cause."""
        self._advance(now_s)
        totals = {
            cause: sum(self._causes[index :: len(_CAUSES)])
            for cause, index in _CAUSE_INDEX.items()
        }
        return {cause: count for cause, count in totals.items() if count}

    def _sum(self, span_s: int) -> Count:
        end = self._bucket % _BUCKETS + 1
        begin = end - span_s // _BUCKET_S
        if begin >= 0:
            spans = [slice(begin, end)]
        else:
            spans = [slice(begin + _BUCKETS, _BUCKETS), slice(0, end)]
        return Count(
            total=sum(sum(self._total[span]) for span in spans),
            bad=sum(sum(self._bad[span]) for span in spans),
            allowed=sum(sum(self._allowed[span]) for span in spans),
        )

    def _advance(self, now_s: float) -> None:
        """Clears the buckets of the time since the last call."""
        bucket = int(now_s) // _BUCKET_S
        if bucket == self._bucket:
            return
        for step in range(1, min(bucket - self._bucket, _BUCKETS) + 1):
            position = (self._bucket + step) % _BUCKETS
            self._total[position] = self._bad[position] = 0
            self._allowed[position] = 0.0
        self._bucket = bucket
        cause_bucket = int(now_s) // _CAUSE_BUCKET_S
        passed = min(cause_bucket - self._cause_bucket, _CAUSE_BUCKETS)
        for step in range(1, passed + 1):
            base = (self._cause_bucket + step) % _CAUSE_BUCKETS * len(_CAUSES)
            for position in range(base, base + len(_CAUSES)):
                self._causes[position] = 0
        self._cause_bucket = cause_bucket


class _ResponseTimes:
    """Response times of one kind in the current and the previous period."""

    __slots__ = ("_current", "_period", "_previous")

    def __init__(self, now_s: float) -> None:
        self._current = _new_histogram()
        self._previous: histogram.HdrHistogram | None = None
        self._period = int(now_s) // _TIMES_PERIOD_S

    def add(self, now_s: float, milliseconds: int) -> None:
        self._advance(now_s)
        self._current.record_value(min(max(milliseconds, 1), _HIGHEST_MS))

    def encoded(self, now_s: float) -> tuple[bytes, ...]:
        """Returns the histograms of both periods, without empty ones."""
        self._advance(now_s)
        periods = (self._current, self._previous)
        return tuple(h.encode() for h in periods if h and h.get_total_count())

    def _advance(self, now_s: float) -> None:
        period = int(now_s) // _TIMES_PERIOD_S
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else None
        self._current = _new_histogram()
        self._period = period


class Burn:
    """Counts the answers of one entry by kind and by team."""

    __slots__ = ("_kinds", "_teams", "_times")

    def __init__(self) -> None:
        self._kinds: dict[str, _Series] = {}
        self._teams: dict[str, _Series] = {}
        self._times: dict[str, _ResponseTimes] = {}

    def add(
        self,
        *,
        kind: str,
        team: str,
        outcome: outcomes.Outcome,
        seconds: float,
        target_ms: int,
        objective: float,
        now_s: float,
    ) -> None:
        """Counts one answer.

        Args:
            kind: Kind of the work.
            team: Team of the work.
            outcome: Outcome sent to the caller.
            seconds: Response time.
            target_ms: Response time above which a complete answer is late.
            objective: Fraction of answers that must be good.
            now_s: Monotonic time in seconds.
        """
        cause: str | None
        match outcome:
            case outcomes.Complete():
                cause = LATE if seconds * 1_000 > target_ms else None
                _get_times(self._times, kind, now_s).add(
                    now_s, round(seconds * 1_000)
                )
            case _ if outcome.cause in _CALLER_CAUSES:
                return
            case _:
                cause = outcome.cause.value
        allowed = 1 - objective
        _get_series(self._kinds, kind, _MAX_KINDS, now_s).add(
            now_s, cause, allowed
        )
        _get_series(self._teams, team, _MAX_TEAMS, now_s).add(
            now_s, cause, allowed
        )

    def parts(self, now_s: float) -> list[Part]:
        """Returns the counts of this entry by kind and by team."""
        parts = []
        for scope, by_name in (
            (Scope.KIND, self._kinds),
            (Scope.TEAM, self._teams),
        ):
            for name, series in by_name.items():
                times: tuple[bytes, ...] = ()
                if scope is Scope.KIND and name in self._times:
                    times = self._times[name].encoded(now_s)
                parts.append(
                    Part(
                        scope,
                        name,
                        series.windows(now_s),
                        series.causes(now_s),
                        times,
                    )
                )
        return parts


def merge(parts: Iterable[Part]) -> list[Part]:
    """Adds the counts of several entries."""
    merged: dict[tuple[Scope, str], Part] = {}
    for part in parts:
        total = merged.setdefault(
            (part.scope, part.name),
            Part(part.scope, part.name, {w: Count() for w in WINDOWS_S}, {}),
        )
        for name in WINDOWS_S:
            count, added = total.windows[name], part.windows.get(name, Count())
            count.total += added.total
            count.bad += added.bad
            count.allowed += added.allowed
        for cause, number in part.causes.items():
            total.causes[cause] = total.causes.get(cause, 0) + number
        total.times += part.times
    return list(merged.values())


def report(parts: Iterable[Part]) -> list[Row]:
    """Returns the rows of the report, the most severe alert first."""
    rows = [_row(part) for part in merge(parts)]
    severities = [Alert.PAGE, Alert.WARN, Alert.OK]
    rows.sort(
        key=lambda row: (
            severities.index(row.alert),
            row.scope.value,
            -row.rates["1h"],
            row.name,
        )
    )
    return rows


def decode_parts(rows: object) -> list[Part]:
    """Decodes the counts of another entry.

    Raises:
        ValidationError: If they are malformed.
    """
    return msgspec.convert(rows, list[Part])


def _row(part: Part) -> Row:
    hour, budget = part.windows["1h"], part.windows["6h"]
    ranked = sorted(part.causes.items(), key=lambda item: -item[1])
    median_ms, p99_ms = _percentiles(part.times)
    return Row(
        scope=part.scope,
        name=part.name,
        alert=_alert(part.windows),
        rates={
            name: round(count.rate, 2) for name, count in part.windows.items()
        },
        budget_left=round(1 - budget.rate, 3),
        answers=hour.total,
        bad=hour.bad,
        causes=dict(ranked[:_TOP_CAUSES]),
        median_ms=median_ms,
        p99_ms=p99_ms,
    )


def _alert(windows: dict[str, Count]) -> Alert:
    def exceeds(long: str, short: str, rate: float) -> bool:
        return (
            windows[long].bad >= _MIN_BAD_ANSWERS
            and windows[long].rate >= rate
            and windows[short].rate >= rate
        )

    if exceeds("1h", "5m", _FAST_BURN_RATE) or exceeds(
        "6h", "30m", _SLOW_BURN_RATE
    ):
        return Alert.PAGE
    if exceeds("6h", "1h", _WARN_BURN_RATE):
        return Alert.WARN
    return Alert.OK


def _percentiles(
    times: Iterable[bytes],
) -> tuple[float | None, float | None]:
    merged = _new_histogram()
    for encoded in times:
        merged.add(histogram.HdrHistogram.decode(encoded))
    if not merged.get_total_count():
        return None, None
    return (
        merged.get_value_at_percentile(50),
        merged.get_value_at_percentile(99),
    )


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)


def _get_times(
    by_kind: dict[str, _ResponseTimes], name: str, now_s: float
) -> _ResponseTimes:
    """Returns the times of a kind, or of OTHER if there are too many kinds."""
    times = by_kind.get(name)
    if times is None:
        if len(by_kind) >= _MAX_KINDS:
            name = OTHER
        times = by_kind.setdefault(name, _ResponseTimes(now_s))
    return times


def _get_series(
    by_name: dict[str, _Series], name: str, limit: int, now_s: float
) -> _Series:
    """Returns the series of a name, or of OTHER if there are too many names."""
    series = by_name.get(name)
    if series is None:
        if len(by_name) >= limit:
            name = OTHER
        series = by_name.setdefault(name, _Series(now_s))
    return series
