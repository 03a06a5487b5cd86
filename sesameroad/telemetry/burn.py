"""The service-level burn report.

Each entry counts good and bad answers by kind and by team in rings of fixed
size; reports of several entries are merged by adding their counts.
"""

import array
from collections.abc import Iterable
import dataclasses
import enum

from hdrh import histogram as histograms
import msgspec

from sesameroad.model import outcome as outcomes

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

# Response times are kept for the running half hour and the one before.
_TIMES_PERIOD_S = 1_800
_LOWEST_MS = 1
_HIGHEST_MS = 3_600_000
_DIGITS = 2

# Rates of the usual multi-window alerts: 2% of a 30 day budget within 1 h, 5%
# within 6 h. The short window ends the alert soon after the fault.
_FAST_RATE = 14.4
_SLOW_RATE = 6.0
_WARN_RATE = 1.0
# A page for a handful of answers on a quiet night would say nothing.
_MIN_BAD = 10

# The caller's own doing, which says nothing about the service.
_CALLERS_CAUSES = {
    outcomes.Cause.INVALID,
    outcomes.Cause.KEY_REUSED,
    outcomes.Cause.CANCELLED,
    outcomes.Cause.NOT_FOUND,
}


class Scope(enum.Enum):
    """What a row of the report counts."""

    KIND = "kind"
    TEAM = "team"


class Alert(enum.Enum):
    """State of the multi-window alert."""

    OK = "ok"
    WARN = "warn"
    PAGE = "page"


@dataclasses.dataclass(slots=True)
class Count:
    """Answers within a window.

    Attributes:
        total: Answers that count, good and bad.
        bad: Failed, refused, unknown or late answers.
        allowed: Bad answers that the objectives allow for the total.
    """

    total: int = 0
    bad: int = 0
    allowed: float = 0.0

    @property
    def rate(self) -> float:
        """Burn rate; at 1 the budget is used up exactly."""
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
        budget_left: Part of the 6 h error budget that is left; below 0 if it
            is overspent.
        answers: Answers of the last hour that count.
        bad: Bad answers of the last hour.
        causes: Most frequent causes of bad answers in the last hour.
        median_ms: Median response time of complete answers, None if unknown.
        p99_ms: 99th percentile of the same.
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
    """Counts of one kind or team, in memory of fixed size."""

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
        """Counts one answer; cause is None for a good one."""
        self._advance(now_s)
        place = self._bucket % _BUCKETS
        self._total[place] += 1
        self._allowed[place] += allowed
        if cause is not None:
            self._bad[place] += 1
            base = self._cause_bucket % _CAUSE_BUCKETS * len(_CAUSES)
            self._causes[base + _CAUSE_INDEX[cause]] += 1

    def windows(self, now_s: float) -> dict[str, Count]:
        self._advance(now_s)
        return {name: self._sum(span) for name, span in WINDOWS_S.items()}

    def causes(self, now_s: float) -> dict[str, int]:
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
        """Clears the buckets that have passed since the last call."""
        bucket = int(now_s) // _BUCKET_S
        if bucket == self._bucket:
            return
        for step in range(1, min(bucket - self._bucket, _BUCKETS) + 1):
            place = (self._bucket + step) % _BUCKETS
            self._total[place] = self._bad[place] = 0
            self._allowed[place] = 0.0
        self._bucket = bucket
        cause_bucket = int(now_s) // _CAUSE_BUCKET_S
        passed = min(cause_bucket - self._cause_bucket, _CAUSE_BUCKETS)
        for step in range(1, passed + 1):
            base = (self._cause_bucket + step) % _CAUSE_BUCKETS * len(_CAUSES)
            for place in range(base, base + len(_CAUSES)):
                self._causes[place] = 0
        self._cause_bucket = cause_bucket


class _Times:
    """Response times of one kind."""

    __slots__ = ("_current", "_period", "_previous")

    def __init__(self, now_s: float) -> None:
        self._current = _histogram()
        self._previous: histograms.HdrHistogram | None = None
        self._period = int(now_s) // _TIMES_PERIOD_S

    def add(self, now_s: float, milliseconds: int) -> None:
        self._advance(now_s)
        self._current.record_value(min(max(milliseconds, 1), _HIGHEST_MS))

    def encoded(self, now_s: float) -> tuple[bytes, ...]:
        self._advance(now_s)
        kept = (self._current, self._previous)
        return tuple(h.encode() for h in kept if h and h.get_total_count())

    def _advance(self, now_s: float) -> None:
        period = int(now_s) // _TIMES_PERIOD_S
        if period == self._period:
            return
        follows = period == self._period + 1
        self._previous = self._current if follows else None
        self._current = _histogram()
        self._period = period


class Burn:
    """Counts the answers of one entry."""

    __slots__ = ("_kinds", "_teams", "_times")

    def __init__(self) -> None:
        self._kinds: dict[str, _Series] = {}
        self._teams: dict[str, _Series] = {}
        self._times: dict[str, _Times] = {}

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
            outcome: What the caller was told.
            seconds: Response time.
            target_ms: Response time that the kind promises.
            objective: Part of answers that must be good.
            now_s: Monotonic seconds.
        """
        cause: str | None
        match outcome:
            case outcomes.Complete():
                cause = LATE if seconds * 1_000 > target_ms else None
                _times(self._times, kind, now_s).add(
                    now_s, round(seconds * 1_000)
                )
            case _ if outcome.cause in _CALLERS_CAUSES:
                return
            case _:
                cause = outcome.cause.value
        allowed = 1 - objective
        _series(self._kinds, kind, _MAX_KINDS, now_s).add(now_s, cause, allowed)
        _series(self._teams, team, _MAX_TEAMS, now_s).add(now_s, cause, allowed)

    def parts(self, now_s: float) -> list[Part]:
        """Returns the counts of this entry."""
        parts = []
        for scope, known in (
            (Scope.KIND, self._kinds),
            (Scope.TEAM, self._teams),
        ):
            for name, series in known.items():
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
        whole = merged.setdefault(
            (part.scope, part.name),
            Part(part.scope, part.name, {w: Count() for w in WINDOWS_S}, {}),
        )
        for name in WINDOWS_S:
            count, more = whole.windows[name], part.windows.get(name, Count())
            count.total += more.total
            count.bad += more.bad
            count.allowed += more.allowed
        for cause, number in part.causes.items():
            whole.causes[cause] = whole.causes.get(cause, 0) + number
        whole.times += part.times
    return list(merged.values())


def report(parts: Iterable[Part]) -> list[Row]:
    """Returns the rows of the report, the most urgent alert first."""
    rows = [_row(part) for part in merge(parts)]
    order = [Alert.PAGE, Alert.WARN, Alert.OK]
    rows.sort(
        key=lambda row: (
            order.index(row.alert),
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
    def burns(long: str, short: str, rate: float) -> bool:
        return (
            windows[long].bad >= _MIN_BAD
            and windows[long].rate >= rate
            and windows[short].rate >= rate
        )

    if burns("1h", "5m", _FAST_RATE) or burns("6h", "30m", _SLOW_RATE):
        return Alert.PAGE
    if burns("6h", "1h", _WARN_RATE):
        return Alert.WARN
    return Alert.OK


def _percentiles(
    times: Iterable[bytes],
) -> tuple[float | None, float | None]:
    whole = _histogram()
    for encoded in times:
        whole.add(histograms.HdrHistogram.decode(encoded))
    if not whole.get_total_count():
        return None, None
    return (
        whole.get_value_at_percentile(50),
        whole.get_value_at_percentile(99),
    )


def _histogram() -> histograms.HdrHistogram:
    return histograms.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)


def _times(known: dict[str, _Times], name: str, now_s: float) -> _Times:
    times = known.get(name)
    if times is None:
        if len(known) >= _MAX_KINDS:
            name = OTHER
        times = known.setdefault(name, _Times(now_s))
    return times


def _series(
    known: dict[str, _Series], name: str, most: int, now_s: float
) -> _Series:
    series = known.get(name)
    if series is None:
        if len(known) >= most:
            name = OTHER
        series = known.setdefault(name, _Series(now_s))
    return series
