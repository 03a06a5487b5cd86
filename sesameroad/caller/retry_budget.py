"""Limits the retries of a client to a fraction of its first sends."""

# The bucket starts full, so that a client that has just started may retry a few
# times.
_CAPACITY = 10.0


class RetryBudget:
    """Token bucket that first sends fill and retries drain."""

    __slots__ = ("_ratio", "_tokens")

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = _CAPACITY

    def record_first_send(self) -> None:
        """Adds the tokens for one first send."""
        self._tokens = min(_CAPACITY, self._tokens + self._ratio)

    def take_retry(self) -> bool:
        """Takes the token of one retry; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
