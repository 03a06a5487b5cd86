"""Entry instances."""

import dataclasses

from sesameroad.model import strict_json


@dataclasses.dataclass(slots=True, frozen=True)
class Instance:
    """An entry instance, as listed by the platform or in the settings.

    Attributes:
        id: Name that is unique in the fleet.
        data_centre: Data centre where it runs.
        address: Host and port of its peer service, "host:port".
        leaving: Whether it is shutting down.
    """

    id: strict_json.Name
    data_centre: strict_json.Name
    address: strict_json.HostPort
    leaving: bool = False
