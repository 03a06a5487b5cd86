"""Time sources, replaceable in tests."""

import time


def elapsed_s() -> float:
    """Returns seconds of a clock that also counts while the host is suspended.

    Leases and silences are measured with it: the ordinary steady clock stands
    still during a suspension, so that what was granted before it would still
    look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Reads wall and monotonic time."""

    __slots__ = ()

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def monotonic(self) -> float:
        """Returns seconds of a clock that never goes back or stands still."""
        return elapsed_s()
