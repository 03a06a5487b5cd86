"""Slots of endpoints that this entry may use."""

import collections

from sesameroad.model import endpoint as endpoints


class Allocation:
    """Counts slots in use against this entry's share of each endpoint."""

    __slots__ = ("_entries", "_used")

    def __init__(self) -> None:
        self._used: collections.Counter[str] = collections.Counter()
        self._entries = 1

    def set_entries(self, count: int) -> None:
        """Sets how many live entries share the data centre's slots."""
        self._entries = max(1, count)

    def share(self, endpoint: endpoints.Endpoint) -> int:
        """Returns how many slots of an endpoint this entry may use."""
        return max(1, endpoint.slots // self._entries)

    def has_free(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether a slot of the endpoint may be used now."""
        return self._used[endpoint.id] < self.share(endpoint)

    def acquire(self, endpoint_id: str) -> None:
        """Counts a slot as used."""
        self._used[endpoint_id] += 1

    def release(self, endpoint_id: str) -> None:
        """Counts a slot as free again."""
        self._used[endpoint_id] -= 1

    def used(self, endpoint_id: str) -> int:
        """Returns how many slots of an endpoint are used."""
        return self._used[endpoint_id]
