"""The endpoints that a configuration is checked against."""

from collections.abc import Iterable

from sesameroad.model import endpoints


class Inventory:
    """What the listed endpoints are and have.

    Attributes:
        endpoints: Ids of endpoints.
        workers: Names of their workers.
        racks: Names of their racks.
        data_centres: Names of their data centres.
        slots: Slots by data centre.
    """

    __slots__ = (
        "_any_kind",
        "_kinds",
        "data_centres",
        "endpoints",
        "racks",
        "slots",
        "workers",
    )

    def __init__(self, listed: Iterable[endpoints.Endpoint]) -> None:
        self.endpoints: set[str] = set()
        self.workers: set[str] = set()
        self.racks: set[str] = set()
        self.data_centres: set[str] = set()
        self.slots: dict[str, int] = {}
        self._kinds: set[str] = set()
        self._any_kind = False
        for endpoint in listed:
            data_centre = endpoint.data_centre
            self.endpoints.add(endpoint.id)
            self.workers.add(endpoint.worker)
            self.racks.add(endpoint.rack)
            self.data_centres.add(data_centre)
            self.slots[data_centre] = (
                self.slots.get(data_centre, 0) + endpoint.slots
            )
            self._kinds.update(endpoint.kinds)
            self._any_kind = self._any_kind or not endpoint.kinds

    @property
    def most_slots(self) -> int:
        """Slots of the data centre that has most."""
        return max(self.slots.values(), default=0)

    @property
    def least_slots(self) -> int:
        """Slots of the data centre that has least."""
        return min(self.slots.values(), default=0)

    def accepts(self, kind: str) -> bool:
        """Returns whether any endpoint accepts a kind or is of a service."""
        return self._any_kind or kind in self._kinds
