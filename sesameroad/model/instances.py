"""Entry instances."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Instance:
    """An entry instance, as listed by the platform or in the settings.

    Attributes:
        id: Name that is unique in the fleet.
        data_centre: Data centre where it runs.
        address: Host and port of its peer service, "host:port".
        leaving: Whether it is shutting down.
    """

    id: str
    data_centre: str
    address: str
    leaving: bool = False
