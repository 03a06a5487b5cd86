"""Resources that a task needs or that an endpoint offers to one task."""

import dataclasses

from sesameroad.model import strict_json


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """An amount of each resource.

    Attributes:
        cores: Number of processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    # Negative needs are refused where work is accepted, with their own cause.
    cores: float = 0.0
    memory_mb: strict_json.Whole = 0
    accelerators: strict_json.Whole = 0

    def fits(self, offer: "Need") -> bool:
        """Returns whether the offer covers this need."""
        return (
            self.cores <= offer.cores
            and self.memory_mb <= offer.memory_mb
            and self.accelerators <= offer.accelerators
        )
