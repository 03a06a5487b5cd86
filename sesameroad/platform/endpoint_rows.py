"""Decodes the rows in which endpoints register themselves in the store."""

import dataclasses
from typing import Annotated
from typing import Any

import msgspec

from sesameroad import errors
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.model import strict_json
from sesameroad.platform import row_store

TABLE = "servers"
_MILLICORES = 1_000
_STATES = {"ready": False, "draining": True}
# Far above any endpoint; each slot costs memory where slots are divided.
_MAX_SLOTS = 100_000
_MAX_SHOWN = 40
# Far above the time for which an endpoint is cold.
_MAX_COLD_MS = 3_600_000

_Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: strict_json.Count = 0
    mem_mb: strict_json.Count = 0
    gpu: strict_json.Count = 0


class _EndpointRow(msgspec.Struct, rename="kebab"):
    # The pool of endpoints that it belongs to; queues name it as well.
    service: strict_json.Name
    address: strict_json.HostPort
    zone: strict_json.Name
    # "ready" or "draining"; a draining endpoint gets no new tasks.
    state: str
    slots: _Slots = 0
    born: strict_json.Count = 0
    # How long it will still be slow. A hint, so that a row with another type of
    # value stays usable.
    cold_remaining_ms: Any = 0
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[strict_json.Name] = msgspec.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class Unusable:
    """A row that names no endpoint to use.

    Attributes:
        reason: What is wrong with it.
    """

    reason: str


def decode(row: row_store.Row) -> endpoints.Endpoint | Unusable:
    """Returns the endpoint of a row, or why the row is not usable."""
    try:
        entry = strict_json.decode(row.value, _EndpointRow)
    except errors.MalformedError as error:
        return Unusable(str(error))
    if entry.state not in _STATES:
        return Unusable(f"unknown state {entry.state[:_MAX_SHOWN]!r}")
    return endpoints.Endpoint(
        id=row.key,
        url=f"http://{entry.address}",
        data_centre=entry.zone,
        slots=entry.slots,
        kinds=(entry.service,),
        offer=needs.Need(
            entry.capacity.cpu / _MILLICORES,
            entry.capacity.mem_mb,
            entry.capacity.gpu,
        ),
        leaving=_STATES[entry.state],
        labels=tuple(entry.labels),
        born_ms=entry.born,
        cold_remaining_ms=_cold_ms(entry.cold_remaining_ms),
    )


def _cold_ms(value: Any) -> int:
    """Returns for how long an endpoint is cold, 0 if the value is no time."""
    match value:
        case int() | float() if 0 < value <= _MAX_COLD_MS:
            return int(value)
        case _:
            return 0
