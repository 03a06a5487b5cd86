"""Finds data centres that a leader may have which this instance does not reach."""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

from sesameroad.node import instance_registry


def unseen(
    *,
    visible: Mapping[str, int],
    served: Iterable[str],
    announced: Mapping[str, instance_registry.Announcement],
    reached: Container[str],
) -> list[str]:
    """Returns the data centres whose leader may be one that is not visible.

    A leader that was lost counts until its successor, which has a higher token, is
    visible: nothing else tells it from a leader behind a network partition.

    Args:
        visible: Highest token of a visible leader by data centre.
        served: Data centres with endpoints, which have a leader somewhere unless
            an election is going on.
        announced: Announcements of instances that lead data centres.
        reached: Instances that are connected, and this one. Their claims are
            visible, and their announcements are older.
    """
    names = {name for name in served if name not in visible}
    for instance, announcement in announced.items():
        if instance in reached:
            continue
        for data_centre, token in announcement.tokens.items():
            if token > visible.get(data_centre, 0):
                names.add(data_centre)
    return sorted(names)
