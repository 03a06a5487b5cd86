"""Endpoints that run tasks."""

import dataclasses

from sesameroad.model import needs
from sesameroad.model import strict_json


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """An executor that runs tasks.

    Attributes:
        id: Name that is unique in the fleet.
        url: Base URL with an IP address, without a trailing slash.
        data_centre: Data centre where it runs.
        worker: Worker that hosts it.
        rack: Rack of the worker.
        slots: Number of tasks that it runs at the same time.
        connections: Number of connections it accepts from all entries together.
        kinds: Kinds of work it accepts; empty means every kind.
        offer: Resources it offers to one task.
        leaving: Whether it is leaving the fleet and must get no new work.
        labels: Properties that work may require, for example the rack.
        born_ms: Wall time of its start, which distinguishes it from the same
            endpoint before a restart.
        cold_remaining_ms: Time for which it will still be slow, as of the last
            write of its description.
    """

    id: strict_json.Name
    url: str
    data_centre: strict_json.Name
    worker: str = ""
    rack: str = ""
    slots: strict_json.Count = 8
    connections: strict_json.Count = 64
    kinds: tuple[str, ...] = ()
    offer: needs.Need = needs.Need(cores=1.0, memory_mb=1024, accelerators=0)
    leaving: bool = False
    labels: tuple[str, ...] = ()
    born_ms: strict_json.Count = 0
    cold_remaining_ms: strict_json.Count = 0

    @property
    def group(self) -> str:
        """Name of the group of endpoints that accept the same tasks."""
        offer = self.offer
        return (
            f"{','.join(self.kinds)}/{offer.cores:g}/{offer.memory_mb}"
            f"/{offer.accelerators}"
        )

    def accepts(self, kind: str, need: needs.Need) -> bool:
        """Returns whether a task of this kind and need can run here."""
        if self.kinds and kind not in self.kinds:
            return False
        return need.fits(self.offer)


def as_leaving(endpoint: Endpoint) -> Endpoint:
    """Returns the endpoint marked as leaving, so that it gets no new work."""
    return dataclasses.replace(endpoint, leaving=True)
