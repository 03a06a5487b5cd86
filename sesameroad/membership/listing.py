"""The platform's lagging list of entry instances and endpoints."""

import dataclasses

import msgspec

from sesameroad import errors
from sesameroad.model import endpoint as endpoint_module
from sesameroad.model import instance as instance_module
from sesameroad.platform import table as tables

ROW = "fleet/listing"
_STEP = "read instance list"


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """The list as of one version; higher versions are newer."""

    version: int
    entries: tuple[instance_module.Instance, ...] = ()
    endpoints: tuple[endpoint_module.Endpoint, ...] = ()


class ListingReader:
    """Reads the list, and transfers it only if it has changed.

    At the design size the list takes 200 KB, forty times what an entry's
    control traffic may take in a second.
    """

    __slots__ = ("_last", "_read_at_version", "_table")

    def __init__(self, table: tables.Table) -> None:
        self._table = table
        self._read_at_version = 0
        self._last = Listing(version=0)

    async def read(self) -> Listing:
        """Returns the current list.

        Raises:
            PlatformError: If the platform fails or does not answer, or if the
                list cannot be decoded.
        """
        row, version = await self._table.read_if_changed(
            ROW, self._read_at_version, step=_STEP
        )
        if row is not None and row.version != tables.ABSENT:
            try:
                self._last = msgspec.json.decode(row.value, type=Listing)
            except msgspec.MsgspecError as error:
                raise errors.PlatformError(str(error), step=_STEP) from error
        # Kept only now, so that a list that cannot be decoded is read and
        # reported again.
        self._read_at_version = version
        return self._last
