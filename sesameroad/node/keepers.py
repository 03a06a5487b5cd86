"""Chooses the instances that keep what its sender may be lost with."""

from collections.abc import Collection
import zlib

from sesameroad.peering import links


def choose(
    own_id: str,
    candidates: Collection[links.Link],
    *,
    count: int,
    data_centres: Collection[str],
) -> list[links.Link]:
    """Returns the peers to tell, in other data centres where possible.

    An instance always chooses the same ones while they live, because a question makes
    a link busy, whose heartbeats are frequent.

    Args:
        own_id: Id of this instance.
        candidates: Peers that have not been told already.
        count: Number of peers to return if there are enough.
        data_centres: Data centres of the instances that have been told already.
    """
    ranked = sorted(
        candidates,
        key=lambda link: zlib.crc32(
            f"{own_id} {link.hello.instance_id}".encode()
        ),
    )
    chosen: list[links.Link] = []
    covered = set(data_centres)
    while ranked and len(chosen) < count:
        link = next(
            (k for k in ranked if k.hello.data_centre not in covered),
            ranked[0],
        )
        ranked.remove(link)
        chosen.append(link)
        covered.add(link.hello.data_centre)
    return chosen
