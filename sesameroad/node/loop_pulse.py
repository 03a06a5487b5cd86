"""Notices that the process has been paused before anything acts on what it knew."""

from sesameroad.model import clocks


class LoopPulse:
    """Time at which the event loop last ran its periodic step in time.

    After a pause, other code may run before that step. What it would decide by, such as
    the end of a caller's connection, may wait in the buffers of the system.
    """

    __slots__ = ("_at", "_clock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._at = clock.monotonic()

    def record(self) -> None:
        """Records the periodic step, after what had arrived before was read."""
        self._at = self._clock.monotonic()

    def is_older_than(self, seconds: float) -> bool:
        """Returns whether the last periodic step was longer ago."""
        return self._clock.monotonic() - self._at > seconds
