"""Time sources, replaceable in tests."""

import time


def elapsed_s() -> float:
    """Returns the time of a clock that also counts while the host is suspended.

    Leases and the silence of peers are measured with it. The ordinary monotonic
    clock stops during a suspension, so that a lease granted before it would
    still look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Reads wall and monotonic time."""

    __slots__ = ()

    def wall_ms(self) -> int:
        """Returns the wall time in milliseconds since 1970."""
        return time.time_ns() // 1_000_000

    def monotonic(self) -> float:
        """Returns the seconds of a clock that never goes back or stops."""
        return elapsed_s()
