"""The list of endpoints in use, which survives outages of the store."""

from collections.abc import Container
from collections.abc import Iterable

from sesameroad.model import clocks
from sesameroad.model import endpoints

# Rows of live endpoints that expired during an outage of the store are written
# again within about two seconds of its end.
_RECOVERY_S = 2.5
# A delay of a read by more than this counts as an outage.
_OUTAGE_S = 2.0


class EndpointList:
    """Holds the endpoints that the store lists.

    Endpoints that are missing right after an outage of the store stay in use
    for a short time, since their rows may only have expired.
    """

    __slots__ = (
        "_applied_asked_at",
        "_asked_at",
        "_clock",
        "_endpoints",
        "_read_at",
        "_recovered_at",
    )

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._asked_at = 0.0
        self._applied_asked_at = 0.0
        self._read_at = 0.0
        self._recovered_at = 0.0

    @property
    def live(self) -> Iterable[endpoints.Endpoint]:
        """Endpoints in use."""
        return self._endpoints.values()

    @property
    def known(self) -> bool:
        """Whether any endpoints are known, from the store or from a peer."""
        return bool(self._endpoints)

    @property
    def age_s(self) -> float:
        """Time since the last read of the store, in seconds."""
        return self._clock.monotonic() - self._read_at

    @property
    def asked_at(self) -> float:
        """Time at which the last read of the store began, 0 before."""
        return self._asked_at

    @property
    def applied_asked_at(self) -> float:
        """Time at which the read began whose list is in use, 0 before."""
        return self._applied_asked_at

    def begin_read(self) -> None:
        """Records that the store is asked for the list now."""
        self._asked_at = self._clock.monotonic()

    def in_data_centre(self, data_centre: str) -> list[endpoints.Endpoint]:
        """Returns the endpoints of a data centre."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.data_centre == data_centre
        ]

    def adopt(self, adopted: Iterable[endpoints.Endpoint]) -> bool:
        """Uses the endpoints of a peer if none are known.

        Returns:
            Whether the endpoints are used.
        """
        if self._endpoints or self._read_at:
            return False
        self._endpoints = {endpoint.id: endpoint for endpoint in adopted}
        return True

    def apply(
        self,
        listed: Iterable[endpoints.Endpoint],
        *,
        period_s: float,
        unusable: Container[str] = (),
    ) -> None:
        """Applies a complete list that was just read from the store.

        `begin_read` is called before it is asked for.

        Args:
            listed: All endpoints that the store lists.
            period_s: Time after the last read at which this one was due, in
                seconds.
            unusable: Ids with a row that names no endpoint to use.
        """
        now = self._clock.monotonic()
        if self._read_at and now - self._read_at > period_s + _OUTAGE_S:
            self._recovered_at = now + _RECOVERY_S
        self._read_at = now
        self._applied_asked_at = self._asked_at
        updated = {endpoint.id: endpoint for endpoint in listed}
        if now < self._recovered_at:
            kept = {
                name: endpoint
                for name, endpoint in self._endpoints.items()
                if name not in unusable
            }
            updated = {**kept, **updated}
        self._endpoints = updated
