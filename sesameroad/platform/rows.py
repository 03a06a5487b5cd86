"""Rows of the platform's store: reads, changes since a version, writes."""

import base64
import binascii
import dataclasses
from typing import Any
import urllib.parse

import msgspec

from sesameroad import errors
from sesameroad.platform import client as clients

_PEER = "platform"
_OK = 200
_HISTORY_GONE = 410
# Time beyond the wait of a feed after which its connection counts as silent.
_FEED_MARGIN_S = 0.7
_MAX_PAGES = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as the store holds it.

    Attributes:
        key: Key within its table.
        version: Version of the transaction that wrote it.
        value: Content; empty if the row was removed.
        removed: Whether it was removed.
    """

    key: str
    version: int
    value: bytes
    removed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Rows of a table, or those that changed.

    Attributes:
        rows: The rows.
        version: Newest version of the store at that moment.
        complete: Whether these are all rows of the table.
    """

    rows: tuple[Row, ...]
    version: int
    complete: bool


class _Row(msgspec.Struct):
    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False


class _Rows(msgspec.Struct, rename="kebab"):
    rows: list[_Row]
    ver: int
    has_more: bool = False


class Rows:
    """Reads and writes rows whose part is empty."""

    __slots__ = ("_client",)

    def __init__(self, client: clients.Client) -> None:
        self._client = client

    async def read(self, table: str, *, step: str) -> Snapshot:
        """Reads all rows of a table.

        Raises:
            PlatformError: If the store fails or does not answer.
        """
        found: list[Row] = []
        version = 0
        start = ""
        for _ in range(_MAX_PAGES):
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            page = await self._get("/api/rows-get", query, step, None)
            found += _rows(page)
            # The oldest page counts: later changes come with the next feed.
            version = version or page.ver
            if not page.has_more or not page.rows:
                break
            start = page.rows[-1].key + "\0"
        return Snapshot(tuple(found), version, complete=True)

    async def changes(
        self, table: str, *, after: int, wait_s: float, step: str
    ) -> Snapshot:
        """Waits for rows that changed after a version.

        Returns:
            The changed rows; all rows if the store has dropped the history.

        Raises:
            PlatformError: If the store fails or does not answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait-ms": str(int(wait_s * 1_000)),
        }
        try:
            page = await self._get(
                "/api/rows-feed", query, step, wait_s + _FEED_MARGIN_S
            )
        except _HistoryGoneError:
            return await self.read(table, step=step)
        return Snapshot(tuple(_rows(page)), page.ver, complete=False)

    async def put(
        self, table: str, key: str, value: bytes, *, step: str
    ) -> None:
        """Writes a row whatever it holds.

        Raises:
            PlatformError: If no answer came, or an error; after no answer the
                write may still take effect.
        """
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        await self._transact({"expected-rev": [], "puts": [row]}, step)

    async def remove(self, table: str, key: str, *, step: str) -> None:
        """Removes a row.

        Raises:
            PlatformError: As for `put`.
        """
        row = {"table": table, "part": "", "key": key}
        await self._transact({"expected-rev": [], "remove": [row]}, step)

    async def _transact(self, body: dict[str, Any], step: str) -> None:
        await self._client.post(
            "/api/rows-tx", {"puts": [], "remove": [], **body}, step=step
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        step: str,
        timeout_s: float | None,
    ) -> _Rows:
        answer = await self._client.call(
            "GET",
            f"{path}?{urllib.parse.urlencode(query)}",
            step=step,
            timeout_s=timeout_s,
        )
        if answer.status == _HISTORY_GONE:
            raise _HistoryGoneError("history dropped", step=step, peer=_PEER)
        if answer.status != _OK:
            raise errors.PlatformError(
                f"status {answer.status}", step=step, peer=_PEER
            )
        try:
            return msgspec.json.decode(answer.body, type=_Rows)
        except msgspec.MsgspecError as error:
            raise errors.PlatformError(
                str(error), step=step, peer=_PEER
            ) from error


class _HistoryGoneError(errors.PlatformError):
    """The store has dropped the changes that were asked for."""


def _rows(page: _Rows) -> list[Row]:
    found = []
    for row in page.rows:
        try:
            value = base64.b64decode(row.value, validate=True)
        except (binascii.Error, ValueError):
            # Other writers share the tables; the owner of the row decides
            # what an empty value means.
            value = b""
        found.append(Row(row.key, row.ver, value, row.deleted))
    return found
