"""Bounds on repeated sends, as a part of first sends."""

DEFAULT_RETRY_PERCENT = 10.0
DEFAULT_HEDGE_PERCENT = 1.0
# Lets an entry with little traffic repeat a few lost sends, and bounds what a
# long quiet period saves up for a brown-out.
_INITIAL_RETRIES = 5.0
_MAX_RETRIES = 50.0
_MAX_HEDGES = 5.0


class RetryBudget:
    """Token buckets that first sends fill and repeated sends empty."""

    __slots__ = ("_hedge_percent", "_hedges", "_percent", "_retries")

    def __init__(
        self,
        *,
        percent: float = DEFAULT_RETRY_PERCENT,
        hedge_percent: float = DEFAULT_HEDGE_PERCENT,
    ) -> None:
        self._hedge_percent = hedge_percent
        self._percent = percent
        self._retries = _INITIAL_RETRIES
        self._hedges = 0.0

    def configure(self, percent: float) -> None:
        """Sets the retries allowed for each hundred first sends."""
        self._percent = percent

    def deposit(self) -> None:
        """Counts the first send of a task."""
        self._retries = min(_MAX_RETRIES, self._retries + self._percent / 100)
        self._hedges = min(
            _MAX_HEDGES, self._hedges + self._hedge_percent / 100
        )

    def spend(self) -> bool:
        """Takes one retry; returns whether it is allowed."""
        if self._retries < 1 or self._percent <= 0:
            return False
        self._retries -= 1
        return True

    def hedge(self) -> bool:
        """Takes one hedged send; returns whether it is allowed."""
        if self._hedges < 1:
            return False
        self._hedges -= 1
        return True
