"""The current state of entries and endpoints."""

from collections.abc import Iterable
import enum

from sesameroad.configuration import document
from sesameroad.membership import leaving_mark
from sesameroad.membership import listing as listing_module
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import instances


class Availability(enum.Enum):
    """Whether an endpoint gets new work, and if not, why."""

    LIVE = "live"
    LEAVING = "leaving"
    DRAINED = "drained"


class Directory:
    """Merges the platform's list, the drained set and leaving marks."""

    __slots__ = (
        "_by_data_centre",
        "_clock",
        "_drained",
        "_endpoints",
        "_listing",
        "_marks",
        "_not_live",
        "_seeds",
    )

    def __init__(
        self,
        *,
        seeds: Iterable[instances.Instance],
        clock: clocks.Clock | None = None,
    ) -> None:
        self._seeds = tuple(seeds)
        self._clock = clock or clocks.Clock()
        self._listing = listing_module.Listing(version=0)
        self._drained = document.DrainedSet()
        self._marks: dict[str, leaving_mark.LeavingMark] = {}
        # Endpoints that recent lists did not show as live: the version of the
        # last such list, and the time since which they are not listed at all.
        self._not_live: dict[str, tuple[int, float]] = {}
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._by_data_centre: dict[str, list[endpoints.Endpoint]] = {}

    @property
    def listing(self) -> listing_module.Listing:
        """The newest list known."""
        return self._listing

    @property
    def entries(self) -> dict[str, instances.Instance]:
        """Entries by id; those of the list override those of the settings."""
        entries = {seed.id: seed for seed in self._seeds}
        entries.update({entry.id: entry for entry in self._listing.entries})
        return entries

    @property
    def data_centres(self) -> list[str]:
        """Names of all data centres that have endpoints or entries."""
        data_centres = {entry.data_centre for entry in self.entries.values()}
        return sorted(data_centres | self._by_data_centre.keys())

    @property
    def leaving_marks(self) -> tuple[leaving_mark.LeavingMark, ...]:
        """Leaving marks that have not expired."""
        return tuple(self._marks.values())

    def apply(self, listing: listing_module.Listing) -> bool:
        """Applies a list if it is newer; returns whether it was."""
        if listing.version <= self._listing.version:
            return False
        former = self._endpoints
        self._listing = listing
        self._endpoints = {e.id: e for e in listing.endpoints}
        self._by_data_centre = {}
        for endpoint in listing.endpoints:
            self._by_data_centre.setdefault(endpoint.data_centre, []).append(
                endpoint
            )
        self._record_not_live(former)
        for mark in self._marks.values():
            if not self._is_listed_live(mark.endpoint_id):
                mark.confirmed = True
        self.expire_marks()
        return True

    def expire_marks(self) -> bool:
        """Removes marks that have expired; returns whether there were any."""
        expired = [m for m in self._marks.values() if self._is_expired(m)]
        for mark in expired:
            del self._marks[mark.endpoint_id]
        return bool(expired)

    def drain(self, drained: document.DrainedSet) -> None:
        """Sets what the operators have taken out of service."""
        self._drained = drained

    def mark_leaving(
        self,
        endpoint_id: str,
        *,
        listing_version: int | None = None,
        age_s: float = 0.0,
    ) -> bool:
        """Marks an endpoint as leaving.

        Args:
            endpoint_id: The endpoint.
            listing_version: Version of the list where the mark was made, None
                for the current one.
            age_s: Time since the mark was made.

        Returns:
            Whether the mark was added.
        """
        if endpoint_id in self._marks:
            return False
        if listing_version is None:
            listing_version = self._listing.version
        mark = leaving_mark.LeavingMark(
            endpoint_id,
            listing_version,
            self._clock.monotonic() - age_s,
            confirmed=listing_version <= self._last_not_live(endpoint_id),
        )
        if self._is_expired(mark):
            return False
        self._marks[endpoint_id] = mark
        return True

    def age_s(self, mark: leaving_mark.LeavingMark) -> float:
        """Returns the time since a mark was made."""
        return self._clock.monotonic() - mark.made_at

    def find(self, endpoint_id: str) -> endpoints.Endpoint | None:
        """Returns a listed endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def select(
        self,
        *,
        data_centre: str | None = None,
        worker: str | None = None,
        rack: str | None = None,
    ) -> list[endpoints.Endpoint]:
        """Returns listed endpoints by location, including unavailable ones.

        Args:
            data_centre: Only of this data centre.
            worker: Only on this worker.
            rack: Only in this rack.
        """
        listed: Iterable[endpoints.Endpoint] = self._listing.endpoints
        if data_centre is not None:
            listed = self._by_data_centre.get(data_centre, [])
        return [
            endpoint
            for endpoint in listed
            if worker in (None, endpoint.worker)
            and rack in (None, endpoint.rack)
        ]

    def live_endpoints(self, data_centre: str) -> list[endpoints.Endpoint]:
        """Returns the endpoints of a data centre that may get new work."""
        return [
            endpoint
            for endpoint in self._by_data_centre.get(data_centre, [])
            if self.availability(endpoint) is Availability.LIVE
        ]

    def availability(self, endpoint: endpoints.Endpoint) -> Availability:
        """Returns whether an endpoint gets new work, and if not, why."""
        drained = self._drained
        if endpoint.leaving or endpoint.id in self._marks:
            return Availability.LEAVING
        if (
            endpoint.id in drained.endpoints
            or endpoint.worker in drained.workers
            or endpoint.rack in drained.racks
            or endpoint.data_centre in drained.data_centres
        ):
            return Availability.DRAINED
        return Availability.LIVE

    def is_leaving_entry(self, entry_id: str) -> bool:
        """Returns whether the list shows an entry as leaving."""
        return any(
            e.id == entry_id and e.leaving for e in self._listing.entries
        )

    def _is_listed_live(self, endpoint_id: str) -> bool:
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint is not None and not endpoint.leaving

    def _record_not_live(self, former: Iterable[str]) -> None:
        """Records the endpoints that the current list does not show as live.

        Marks that peers send later may be older than this list. Marks older
        than the maximum lag of the list have ended.
        """
        now = self._clock.monotonic()
        not_live: dict[str, tuple[int, float]] = {}
        for endpoint_id, (_, listed_at) in self._not_live.items():
            if now - listed_at < leaving_mark.LIST_LAG_S:
                version = self._last_not_live(endpoint_id)
                not_live[endpoint_id] = (version, listed_at)
        for endpoint_id in {*former, *self._endpoints}:
            if not self._is_listed_live(endpoint_id):
                not_live[endpoint_id] = (self._listing.version, now)
        self._not_live = not_live

    def _last_not_live(self, endpoint_id: str) -> int:
        """Returns the last version that did not show an endpoint as live."""
        if not self._is_listed_live(endpoint_id):
            return self._listing.version
        version, _ = self._not_live.get(endpoint_id, (-1, 0.0))
        return version

    def _is_expired(self, mark: leaving_mark.LeavingMark) -> bool:
        if mark.endpoint_id not in self._endpoints and mark.confirmed:
            return self.age_s(mark) >= leaving_mark.LIST_LAG_S
        return mark.is_expired(
            listing_version=self._listing.version,
            listed_live=self._is_listed_live(mark.endpoint_id),
            now=self._clock.monotonic(),
        )
