"""Expiry of an endpoint's lease, as estimated by the leader."""

import math

# The monotonic clock of an endpoint may run slower than the leader's by this
# ratio.
MAX_CLOCK_DRIFT = 0.02
# Time from the expiry of a lease until its runs have ended.
EXPIRY_MARGIN_S = 0.05
# Clocks are read in whole milliseconds.
_ROUNDING_MS = 1


class Lease:
    """Estimates an endpoint's clock and the time when its runs have ended.

    The estimate never runs ahead of the endpoint's clock: the clock was read
    before the answer arrived, and the maximum drift is subtracted.
    """

    __slots__ = ("_clock_ms", "_duration_s", "_latest_end", "_read_at")

    def __init__(self, *, duration_s: float) -> None:
        """Creates a lease.

        Args:
            duration_s: Longest lease that an endpoint grants, in seconds.
        """
        self._duration_s = duration_s
        self._clock_ms: float | None = None
        self._read_at = 0.0
        self._latest_end = 0.0

    @property
    def clock_known(self) -> bool:
        """Whether the endpoint's clock has been read."""
        return self._clock_ms is not None

    @property
    def longest_s(self) -> float:
        """Time within which a run without a renewal has ended."""
        return self._duration_s / (1 - MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_S

    @property
    def latest_end(self) -> float:
        """Time at which everything started or renewed so far has ended."""
        return self._latest_end

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Updates the estimate from the clock in an answer."""
        if self._clock_ms is None or clock_ms > self._estimate_ms(now):
            self._clock_ms = clock_ms
            self._read_at = now

    def shows_restart(self, clock_ms: int, sent_at: float) -> bool:
        """Returns whether a clock in an answer has gone back.

        Args:
            clock_ms: Clock of the endpoint when it carried out the order.
            sent_at: Time at which the order was sent.
        """
        if self._clock_ms is None:
            return False
        earliest_ms = self._estimate_ms(sent_at)
        if sent_at < self._read_at:
            earliest_ms = self._clock_ms - (self._read_at - sent_at) * 1_000
        return clock_ms + _ROUNDING_MS < earliest_ms

    def reset_clock(self) -> None:
        """Forgets the clock, which starts anew when the endpoint restarts."""
        self._clock_ms = None

    def extend(self, now: float, *, end_by: float = math.inf) -> int:
        """Records an order that extends the lease.

        Args:
            now: Time at which the order is sent.
            end_by: Time by which the runs must have ended, whichever clock is
                slow. An earlier end that was granted before still holds.

        Returns:
            End of the lease on the endpoint's clock, in milliseconds.
        """
        left_s = max(0.0, end_by - now - EXPIRY_MARGIN_S)
        duration_s = min(self._duration_s, left_s * (1 - MAX_CLOCK_DRIFT))
        slowest_s = duration_s / (1 - MAX_CLOCK_DRIFT)
        self._latest_end = max(
            self._latest_end, now + slowest_s + EXPIRY_MARGIN_S
        )
        return int(self._estimate_ms(now) + duration_s * 1_000)

    def assume_extended(self, now: float) -> None:
        """Assumes that an order of which nothing is known has extended it."""
        self.extend(now)

    def _estimate_ms(self, now: float) -> float:
        passed_s = (now - self._read_at) * (1 - MAX_CLOCK_DRIFT)
        return (self._clock_ms or 0) + passed_s * 1_000
