"""Decodes the rows in which endpoints register themselves in the store."""

import msgspec

from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.platform import row_store

TABLE = "servers"
_MILLICORES = 1_000
_STATES = {"ready": False, "draining": True}


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _EndpointRow(msgspec.Struct, rename="kebab"):
    # The pool of endpoints that it belongs to; queues name it as well.
    service: str
    address: str
    zone: str
    # "ready" or "draining"; a draining endpoint gets no new tasks.
    state: str
    slots: int = 0
    born: int = 0
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = msgspec.field(default_factory=list)


def decode(row: row_store.Row) -> endpoints.Endpoint | None:
    """Returns the endpoint of a row, or None if the row is not usable."""
    try:
        entry = msgspec.json.decode(row.value, type=_EndpointRow)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in _STATES or not host or not port.isdecimal():
        return None
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
    )
