"""Claims of keys that callers choose, in the platform's table."""

import dataclasses
import secrets

import msgspec

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.platform import table as tables

_ROW_PREFIX = "claims/"


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """Who may start the tasks of a key.

    Attributes:
        incarnation: The home of the key.
        data_centre: Data centre of the home.
        expiry_ms: Wall time after which the home starts nothing for the key.
        token: Random identifier that tells a lost write answer from a lost race.
    """

    incarnation: str
    data_centre: str
    expiry_ms: int
    token: str


class Claims:
    """Inserts claim rows under this incarnation."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_incarnation",
        "_lifetime_ms",
        "_table",
    )

    def __init__(
        self,
        *,
        table: tables.Table,
        clock: clocks.Clock,
        incarnation: str,
        data_centre: str,
        lifetime_ms: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._lifetime_ms = lifetime_ms

    async def claim(self, team: str, key: str) -> Claim:
        """Returns the claim of a key, made now if there was none.

        Raises:
            PlatformError: If it is not certain who holds the key. This
                incarnation must then start nothing for it now.
        """
        wanted = Claim(
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            expiry_ms=self._clock.wall_ms() + self._lifetime_ms,
            token=secrets.token_hex(8),
        )
        name = f"{_ROW_PREFIX}{team}/{key}"
        write = tables.Write(
            name, tables.ABSENT, msgspec.json.encode(wanted).decode()
        )
        try:
            (result,) = await self._table.write([write], step="claim")
            row = result.row
        except errors.PlatformError:
            (row,) = await self._table.read([name], step="read claim back")
            if row.version == tables.ABSENT:
                raise
        return msgspec.json.decode(row.value, type=Claim)
