"""The platform's table service: versioned rows, written by compare and set."""

from collections.abc import Sequence
import dataclasses
from typing import TypeVar

import msgspec

from sesameroad import errors
from sesameroad.platform import client as clients

ABSENT = 0

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as read. Version 0 means that the row does not exist."""

    name: str
    version: int
    value: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """A write that is applied only if the row has the expected version."""

    name: str
    expected: int
    value: str


@dataclasses.dataclass(slots=True, frozen=True)
class WriteResult:
    """Whether a write was applied, and the row as it is after it."""

    applied: bool
    row: Row


class Table:
    """Reads and writes rows; each write of a call stands alone."""

    __slots__ = ("_client",)

    def __init__(self, client: clients.Client) -> None:
        self._client = client

    async def read(self, names: Sequence[str], *, step: str) -> list[Row]:
        """Reads rows.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        body = await self._client.post(
            "/table/v1/reads", {"names": list(names)}, step=step
        )
        return _decode(body, list[Row], step)

    async def read_if_changed(
        self, name: str, etag: str, *, step: str
    ) -> tuple[Row, str] | None:
        """Reads a row unless it still has an entity tag.

        Args:
            name: Name of the row.
            etag: Tag of the row as it was read before, or empty.
            step: What the row is read for.

        Returns:
            The row and its tag, or None if the tag is still right.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        answer = await self._client.get_if_changed(
            f"/table/v1/rows/{name}", etag, step=step
        )
        if answer is None:
            return None
        return _decode(answer[0], Row, step), answer[1]

    async def write(
        self, writes: Sequence[Write], *, step: str
    ) -> list[WriteResult]:
        """Writes rows, each by compare and set on its own.

        Raises:
            PlatformError: If no answer came; any of the writes may have taken
                effect, or may still do so.
        """
        body = await self._client.post(
            "/table/v1/writes", {"writes": list(writes)}, step=step
        )
        return _decode(body, list[WriteResult], step)


def _decode(body: bytes, expected: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(body, type=expected)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(str(error), step=step) from error
