"""Detects a process that gets too little processor time to be a leader."""

import collections

# Delay above which a timer counts as late. The delay is added to the start of
# each task; 0.05 s is half of the time by which a task of 60 ms may be late.
_LATE_THRESHOLD_S = 0.05
# A process is slow if this many of its last timers were late. One pause of the
# process makes only one timer late and does not count.
_WINDOW = 12
_LATE_TIMERS = 5
# The process counts as slow for this time after it was last found slow.
_SLOW_HOLD_S = 4.0
# Weight of the last timer in the mean delay, which covers about half a second.
_SMOOTHING = 0.2
# Longest delay, in seconds, that counts in the mean, so that a single pause of
# the process does not look like a lack of processor time for seconds.
_MAX_DELAY_S = 0.2


class LoopLag:
    """Measures how late the timers of the event loop fire."""

    __slots__ = ("_delay_s", "_late", "_slow_until")

    def __init__(self) -> None:
        self._late: collections.deque[bool] = collections.deque(maxlen=_WINDOW)
        self._slow_until = 0.0
        self._delay_s = 0.0

    @property
    def delay_s(self) -> float:
        """Mean delay of the last timers, in seconds."""
        return self._delay_s

    def record(self, delay_s: float, now: float) -> None:
        """Records the delay of a timer.

        Args:
            delay_s: Delay in seconds.
            now: Current monotonic time.
        """
        bounded_s = min(max(0.0, delay_s), _MAX_DELAY_S)
        self._delay_s += (bounded_s - self._delay_s) * _SMOOTHING
        self._late.append(delay_s > _LATE_THRESHOLD_S)
        if sum(self._late) >= _LATE_TIMERS:
            self._slow_until = now + _SLOW_HOLD_S

    def is_slow(self, now: float) -> bool:
        """Returns whether the process counts as slow."""
        return now < self._slow_until
