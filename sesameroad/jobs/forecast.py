"""Forecasts the cores that running tasks free."""

import bisect
from collections.abc import Iterable
import itertools
import math

from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs

# Time, in seconds, for which a forecast is used. Runs of 50 ms make an older
# one too pessimistic by half of their tasks.
_PERIOD_S = 0.02
# Progress from which it predicts the end of a run better than the declared run
# time does.
_MIN_PERCENT = 10
# Remaining run time of a run that has exceeded its estimate, as a fraction of
# that: the mean excess of run times that are 40% off.
_OVERDUE_RATIO = 0.3


class Forecast:
    """Expected ends of the runs on the endpoints that accept runs."""

    __slots__ = ("_capacity", "_ends", "_freed", "_made_at", "_pool")

    def __init__(self, pool: Iterable[leased_endpoint.LeasedEndpoint]) -> None:
        """Creates a forecast.

        Args:
            pool: Endpoints of the leader.
        """
        self._pool = pool
        self._made_at = -math.inf
        # Expected ends of runs in order, and the cores freed by then.
        self._ends: list[float] = []
        self._freed: list[float] = []
        self._capacity = 0.0

    def capacity(self, now: float) -> float:
        """Returns the cores of the endpoints, free or in use."""
        self._update(now)
        return self._capacity

    def freed_cores(self, now: float, *, by: float) -> float:
        """Returns the cores that are freed until a time."""
        self._update(now)
        count = bisect.bisect_right(self._ends, by)
        return self._freed[count - 1] if count else 0.0

    def _update(self, now: float) -> None:
        if now - self._made_at < _PERIOD_S:
            return
        self._made_at = now
        self._capacity = 0.0
        ends = []
        for leased in self._pool:
            if leased.accepts_runs(now):
                self._capacity += leased.endpoint.offer.cores
                for run in leased.runs.values():
                    ends.append((_expected_end(leased, run, now), run.cores))
        ends.sort()
        self._ends = [end for end, _ in ends]
        self._freed = list(itertools.accumulate(cores for _, cores in ends))


def _expected_end(
    leased: leased_endpoint.LeasedEndpoint, run: runs.Run, now: float
) -> float:
    estimate_s = run.estimate_s * leased.slowness
    if not run.sent_at:
        return now + estimate_s
    if run.percent >= _MIN_PERCENT:
        estimate_s = (run.progressed_at - run.sent_at) * 100 / run.percent
    return max(run.sent_at + estimate_s, now + _OVERDUE_RATIO * run.estimate_s)
