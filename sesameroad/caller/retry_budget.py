"""Bounds retries to a part of first sends."""

# A caller that has just started may retry a few times.
_RESERVE = 10.0


class RetryBudget:
    """A token bucket that first sends fill and retries empty."""

    __slots__ = ("_ratio", "_tokens")

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = _RESERVE

    def earn(self) -> None:
        """Counts a first send."""
        self._tokens = min(_RESERVE, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes a retry; returns whether there was one left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
