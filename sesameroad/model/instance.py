"""Entry instances of the system."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Instance:
    """An entry instance as the platform's list or the settings name it.

    Attributes:
        id: Name that is unique in the fleet.
        data_centre: Data centre where it runs.
        address: Host and port of its peer service, "host:port".
        leaving: Whether it is about to stop.
    """

    id: str
    data_centre: str
    address: str
    leaving: bool = False
