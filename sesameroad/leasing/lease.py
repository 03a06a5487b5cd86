"""Time of an endpoint's lease, seen from the steward."""

# The steady clock of an endpoint may run this much slower than the steward's.
MAX_CLOCK_DRIFT = 0.02
# Covers the time between the expiry of a lease and the end of its runs.
EXPIRY_MARGIN_S = 0.05


class Lease:
    """Estimates the endpoint's clock, and when everything there has ended.

    The estimate never runs ahead of the endpoint's clock: the clock was read
    before the answer arrived, and the drift is subtracted.
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
    def latest_end(self) -> float:
        """Time after which nothing started or renewed so far still runs."""
        return self._latest_end

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Takes the endpoint's clock from an answer."""
        if self._clock_ms is None or clock_ms > self._estimate_ms(now):
            self._clock_ms = clock_ms
            self._read_at = now

    def reset_clock(self) -> None:
        """Forgets the clock, which starts again with each life."""
        self._clock_ms = None

    def extend(self, now: float) -> int:
        """Notes an order that extends the lease.

        Returns:
            The end of the lease on the endpoint's clock, in milliseconds.
        """
        slowest_s = self._duration_s / (1 - MAX_CLOCK_DRIFT)
        self._latest_end = max(
            self._latest_end, now + slowest_s + EXPIRY_MARGIN_S
        )
        return int(self._estimate_ms(now) + self._duration_s * 1_000)

    def assume_extended(self, now: float) -> None:
        """Notes that an earlier steward may have extended the lease until now."""
        self.extend(now)

    def _estimate_ms(self, now: float) -> float:
        passed_s = (now - self._read_at) * (1 - MAX_CLOCK_DRIFT)
        return (self._clock_ms or 0) + passed_s * 1_000
