"""Rank order of the entries of a data centre, by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def order(data_centre: str, entries: Iterable[str]) -> list[str]:
    """Returns entry ids in rank order; the first entry becomes the allocator."""
    return sorted(
        entries,
        key=lambda entry: (
            xxhash.xxh3_64_intdigest(f"{data_centre}\0{entry}".encode()),
            entry,
        ),
    )


def fixed_share(
    name: str, capacity: int, *, entries: int, position: int
) -> int:
    """Returns the fixed share of an entry in a resource.

    The shares of all entries add up to the capacity. Which entries get the
    remainder depends on the name, so that it is not always the same ones.

    Args:
        name: Name of the endpoint, team or kind.
        capacity: Number of slots to divide.
        entries: Number of entries that share the resource.
        position: Position of the entry among them, from 0.
    """
    quotient, extra = divmod(capacity, max(1, entries))
    turn = (position + xxhash.xxh3_64_intdigest(name.encode())) % max(
        1, entries
    )
    return quotient + (turn < extra)
