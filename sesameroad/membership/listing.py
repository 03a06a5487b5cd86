"""The platform's list of entries and endpoints, which lags."""

import dataclasses

import msgspec

from sesameroad import errors
from sesameroad.model import endpoints as endpoints_module
from sesameroad.model import instances
from sesameroad.model import strict_json
from sesameroad.platform import table as table_module
from sesameroad.telemetry import log

ROW = "fleet/listing"
_STEP = "read instance list"


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """One version of the list; higher versions are newer."""

    version: strict_json.Count
    entries: tuple[instances.Instance, ...] = ()
    endpoints: tuple[endpoints_module.Endpoint, ...] = ()


class _EncodedListing(msgspec.Struct):
    version: strict_json.Count
    entries: list[msgspec.Raw] = msgspec.field(default_factory=list)
    endpoints: list[msgspec.Raw] = msgspec.field(default_factory=list)


def decode(text: bytes | str) -> tuple[Listing, list[errors.MalformedError]]:
    """Decodes a list; leaves out the entries and endpoints that are malformed.

    Returns:
        The list, and the errors of what it leaves out.

    Raises:
        MalformedError: If the list as a whole is malformed.
    """
    encoded = strict_json.decode(text, _EncodedListing)
    entries, bad_entries = strict_json.decode_each(
        encoded.entries, instances.Instance
    )
    endpoints, bad_endpoints = strict_json.decode_each(
        encoded.endpoints, endpoints_module.Endpoint
    )
    listing = Listing(encoded.version, tuple(entries), tuple(endpoints))
    return listing, bad_entries + bad_endpoints


class ListingReader:
    """Reads the list, transferring it only if it has changed.

    At the design size the list takes 200 KB, forty times the control traffic
    that an entry may cause in a second.
    """

    __slots__ = ("_last_listing", "_last_store_version", "_table")

    def __init__(self, table: table_module.Table) -> None:
        self._table = table
        self._last_store_version = 0
        self._last_listing = Listing(version=0)

    async def read(self) -> Listing:
        """Returns the current list.

        Raises:
            PlatformError: If the platform fails or does not answer, or if the
                list cannot be decoded.
        """
        row, version = await self._table.read_if_changed(
            ROW, self._last_store_version, step=_STEP
        )
        if row is not None and row.version != table_module.ABSENT:
            try:
                self._last_listing, malformed = decode(row.value)
            except errors.MalformedError as error:
                raise errors.PlatformError(str(error), step=_STEP) from error
            if malformed:
                log.problem(
                    "parts of the instance list cannot be read",
                    step=_STEP,
                    version=row.version,
                    count=len(malformed),
                    error=str(malformed[0]),
                )
        # Updated only after decoding, so that a list that cannot be decoded is
        # read and reported again.
        self._last_store_version = version
        return self._last_listing
