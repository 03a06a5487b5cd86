"""How load returns to an endpoint whose data centre has been taken back.

Load: all endpoints of a data centre, up to 176, accept runs again at the same
moment. Evaluated ten times a second for each of them, for two seconds.
"""

# Share of its cores that an endpoint may use at once, and the time until it may use
# all of them. Without a ramp every waiting task would go to the idle endpoints of
# the data centre, which may still be cold.
_FIRST_SHARE = 0.25
_DURATION_S = 2.0


class Ramp:
    """The share of an endpoint's cores that runs may use, rising to 1."""

    __slots__ = ("_began_at", "_first_share")

    def __init__(self, began_at: float, *, used_share: float) -> None:
        """Begins a ramp.

        Args:
            began_at: Monotonic time at which the data centre was taken back.
            used_share: Share of the cores that runs use at this time. It is not
                reduced: an evacuation may be revoked before they have ended.
        """
        self._began_at = began_at
        self._first_share = min(max(_FIRST_SHARE, used_share), 1.0)

    def share(self, now: float) -> float:
        """Returns the share of the cores that may be in use."""
        progress = min(max(0.0, (now - self._began_at) / _DURATION_S), 1.0)
        return self._first_share + (1.0 - self._first_share) * progress
