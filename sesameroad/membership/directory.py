"""The live view of entries and endpoints."""

from collections.abc import Iterable

from sesameroad.configuration import document
from sesameroad.model import endpoint as endpoints
from sesameroad.model import instance
from sesameroad.platform import instances


class Directory:
    """Merges the platform's list, the operators' drains and leaving marks."""

    __slots__ = ("_drained", "_leaving", "_listing", "_seeds")

    def __init__(self, *, seeds: Iterable[instance.Instance]) -> None:
        self._seeds = tuple(seeds)
        self._listing = instances.Listing(version=0)
        self._drained = document.Membership()
        self._leaving: set[str] = set()

    @property
    def listing(self) -> instances.Listing:
        """The newest list known."""
        return self._listing

    @property
    def entries(self) -> dict[str, instance.Instance]:
        """Entries by id, from the list and the settings."""
        known = {seed.id: seed for seed in self._seeds}
        known.update({entry.id: entry for entry in self._listing.entries})
        return known

    def apply(self, listing: instances.Listing) -> bool:
        """Takes a list if it is newer; returns whether it was."""
        if listing.version <= self._listing.version:
            return False
        self._listing = listing
        return True

    def drain(self, drained: document.Membership) -> None:
        """Applies what the operators have taken out of service."""
        self._drained = drained

    def mark_leaving(self, endpoint_id: str) -> None:
        """Notes that an endpoint said it is leaving."""
        self._leaving.add(endpoint_id)

    def live_endpoints(self, data_centre: str) -> list[endpoints.Endpoint]:
        """Returns the endpoints of a data centre that may get new work."""
        return [
            endpoint
            for endpoint in self._listing.endpoints
            if endpoint.data_centre == data_centre and self._may_work(endpoint)
        ]

    def _may_work(self, endpoint: endpoints.Endpoint) -> bool:
        drained = self._drained
        return not (
            endpoint.leaving
            or endpoint.id in self._leaving
            or endpoint.id in drained.endpoints
            or endpoint.worker in drained.workers
            or endpoint.rack in drained.racks
            or endpoint.data_centre in drained.data_centres
        )
