"""Rendezvous hashing of the entries of a data centre."""

from collections.abc import Iterable

import xxhash


def order(data_centre: str, entries: Iterable[str]) -> list[str]:
    """Returns entry ids by rank; the first one is the allocator."""
    return sorted(
        entries,
        key=lambda entry: (
            xxhash.xxh3_64_intdigest(f"{data_centre}\0{entry}".encode()),
            entry,
        ),
    )


def fixed_share(name: str, capacity: int, *, entries: int, place: int) -> int:
    """Returns an entry's fixed part of a resource.

    The parts of all entries add up to the capacity. Which entries get the
    remainder depends on the name, so that no entry is at a loss everywhere.

    Args:
        name: Name of the endpoint, team or kind.
        capacity: Slots to divide.
        entries: Number of entries that share.
        place: Place of the entry among them, from 0.
    """
    base, extra = divmod(capacity, max(1, entries))
    turn = (place + xxhash.xxh3_64_intdigest(name.encode())) % max(1, entries)
    return base + (turn < extra)
