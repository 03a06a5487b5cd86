"""Decides how long a leader waits for the answer to a start.

Addresses starts that are held up on their way: each keeps its capacity and its
task until it is given up, and a task of 60 ms is late by then.
"""

import asyncio
from collections.abc import Callable
from typing import Self

from sesameroad.model import scheduling

# Weight of one answer in the moving averages. One answer that is given up hardly
# changes them, and when all become slow, the wait doubles after a few dozen.
_SMOOTHING = 0.02
# Mean deviations beyond the mean time of an answer after which it counts as
# missing, as in the retransmission timer of TCP (RFC 6298).
_DEVIATIONS = 4.0
# Longest wait, in seconds: the timeout of an order.
_MAX_S = 0.3
# Time in which answers are read that have arrived while the process was paused:
# its timers come before them.
_READ_S = 0.002


class AnswerTimes:
    """Times to the answers of starts, and the wait that follows from them.

    The times include the delay of the leader's own event loop, so that a leader
    that is short of processor time waits longer.
    """

    __slots__ = ("_deviation_s", "_mean_s", "_min_s")

    def __init__(self, *, min_s: float) -> None:
        """Creates a wait without answers so far.

        Args:
            min_s: Shortest wait in seconds.
        """
        self._min_s = min_s
        self._mean_s = min_s / 2
        self._deviation_s = 0.0

    @classmethod
    def of_starts(cls, options: scheduling.Scheduling) -> Self | None:
        """Creates a wait; None if the options leave it to the orders."""
        if not options.start_answer_ms:
            return None
        return cls(min_s=options.start_answer_ms / 1_000)

    @classmethod
    def of_polls(cls, options: scheduling.Scheduling) -> Self | None:
        """Creates a wait; None if the options leave it to the orders."""
        if not options.poll_answer_ms:
            return None
        return cls(min_s=options.poll_answer_ms / 1_000)

    @property
    def wait_s(self) -> float:
        """Time after which a start counts as unanswered, in seconds."""
        wait_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(self._min_s, wait_s), _MAX_S)

    def record(self, seconds: float) -> None:
        """Records the time to an answer, or until it was given up."""
        error_s = seconds - self._mean_s
        self._mean_s += error_s * _SMOOTHING
        self._deviation_s += (abs(error_s) - self._deviation_s) * _SMOOTHING


class Limit:
    """Reports that an answer is late, unless it has arrived by then."""

    __slots__ = ("_late", "_loop", "_timer")

    def __init__(self, wait_s: float, late: Callable[[], None]) -> None:
        """Starts the wait.

        Args:
            wait_s: Time until the answer is late, in seconds.
            late: Called then.
        """
        self._late = late
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(wait_s, self._read)

    def cancel(self) -> None:
        """Ends the wait after an answer."""
        self._timer.cancel()

    def _read(self) -> None:
        self._timer = self._loop.call_later(_READ_S, self._late)
