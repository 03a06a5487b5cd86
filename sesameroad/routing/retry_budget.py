"""Limits retries and hedged sends to a percentage of first sends."""

DEFAULT_RETRY_PERCENT = 10.0
DEFAULT_HEDGE_PERCENT = 1.0
# The initial tokens let an entry with little traffic retry a few lost sends. The
# maxima bound the tokens that a long quiet period saves up for a brown-out.
_INITIAL_RETRIES = 5.0
_MAX_RETRIES = 50.0
_MAX_HEDGES = 5.0


class RetryBudget:
    """Token buckets that first sends fill and repeated sends drain."""

    __slots__ = ("_hedge_percent", "_hedges", "_retries", "_retry_percent")

    def __init__(
        self,
        *,
        percent: float = DEFAULT_RETRY_PERCENT,
        hedge_percent: float = DEFAULT_HEDGE_PERCENT,
    ) -> None:
        self._hedge_percent = hedge_percent
        self._retry_percent = percent
        self._retries = _INITIAL_RETRIES
        self._hedges = 0.0

    def configure(self, percent: float) -> None:
        """Sets the number of retries allowed per hundred first sends."""
        self._retry_percent = percent

    def record_first_send(self) -> None:
        """Adds the tokens for the first send of a task."""
        self._retries = min(
            _MAX_RETRIES, self._retries + self._retry_percent / 100
        )
        self._hedges = min(
            _MAX_HEDGES, self._hedges + self._hedge_percent / 100
        )

    def take_retry(self) -> bool:
        """Takes the token of one retry; returns whether there was one."""
        if self._retries < 1 or self._retry_percent <= 0:
            return False
        self._retries -= 1
        return True

    def take_hedge(self) -> bool:
        """Takes the token of one hedged send; returns whether there was one."""
        if self._hedges < 1:
            return False
        self._hedges -= 1
        return True
