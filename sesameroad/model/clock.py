"""Time sources, replaceable in tests."""

import time


class Clock:
    """Reads wall and monotonic time."""

    __slots__ = ()

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def monotonic(self) -> float:
        """Returns seconds of a clock that never goes back."""
        return time.monotonic()
