"""Client of the platform's row store: reads, change feeds, transactions."""

import base64
import binascii
from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import TypeVar
import urllib.parse

import msgspec

from sesameroad import errors
from sesameroad.model import strict_json
from sesameroad.platform import platform_client
from sesameroad.telemetry import log

# Limit of one transaction. A conditional write counts as two entries.
MAX_ENTRIES = 100
# Version of a row that does not exist.
ABSENT = 0
_PEER = "platform"
_OK = 200
_HISTORY_GONE = 410
_CONDITION_FAILED = 412
# Added to the wait of a feed to get the timeout of its request.
_FEED_TIMEOUT_MARGIN_S = 0.7
_MAX_PAGES = 100

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of the store.

    Attributes:
        key: Key within its table.
        version: Version of the transaction that wrote it.
        value: Content; empty if the row was removed or is not base64.
        removed: Whether the row was removed.
        table: Name of its table.
    """

    key: str
    version: int
    value: bytes
    removed: bool = False
    table: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """The rows of a table, or those that have changed.

    Attributes:
        rows: The rows.
        version: Version of the store that the rows were read at.
        complete: Whether the snapshot holds all rows of the table.
    """

    rows: tuple[Row, ...]
    version: int
    complete: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Expected:
    """The version that a row must have; ABSENT if it must not exist."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """A write of a row in a transaction."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """The transaction was applied; its rows have this version."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Nothing was written; contains the expected rows that exist."""

    rows: tuple[Row, ...]


class _EncodedRow(msgspec.Struct):
    key: str
    ver: strict_json.Count = 0
    value: str = ""
    deleted: bool = False
    table: str = ""


class _Page(msgspec.Struct, rename="kebab"):
    rows: list[_EncodedRow]
    ver: strict_json.Count = 0
    has_more: bool = False


class _Version(msgspec.Struct):
    ver: strict_json.Count


class RowStore:
    """Reads and writes rows; uses only the empty part of each table."""

    __slots__ = ("_client", "_unreadable")

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self._client = client
        # Last version of each row that was reported as unreadable.
        self._unreadable: dict[tuple[str, str], int] = {}

    async def read(
        self, table: str, *, step: str, key: str | None = None
    ) -> Snapshot:
        """Reads all rows of a table, or only the row with the given key.

        Raises:
            PlatformError: If the store reports an error or does not respond.
        """
        rows: list[Row] = []
        version = 0
        query = {"table": table, "part": ""}
        if key is not None:
            query |= {"from": key, "to": _next_key(key)}
        for _ in range(_MAX_PAGES):
            page = await self._get("/api/rows-get", query, step, None)
            rows += self._decode_rows(page)
            # The version of the first page: a feed from it also returns the
            # changes made while later pages were read.
            version = version or page.ver
            if not page.has_more or not page.rows:
                break
            query["from"] = _next_key(page.rows[-1].key)
        return Snapshot(tuple(rows), version, complete=key is None)

    async def changes(
        self, table: str, *, after: int, wait_s: float, step: str
    ) -> Snapshot:
        """Waits until rows change after a version, at most for `wait_s`.

        Returns:
            The changed rows; all rows if the store no longer has the history.

        Raises:
            PlatformError: If the store reports an error or does not respond.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait-ms": str(int(wait_s * 1_000)),
        }
        try:
            page = await self._get(
                "/api/rows-feed", query, step, wait_s + _FEED_TIMEOUT_MARGIN_S
            )
        except _HistoryGoneError:
            return await self.read(table, step=step)
        return Snapshot(
            tuple(self._decode_rows(page)), page.ver, complete=False
        )

    async def put(
        self, table: str, key: str, value: bytes, *, step: str
    ) -> None:
        """Writes a row unconditionally.

        Raises:
            PlatformError: If the store reports an error or does not respond.
                Without a response, the write may still take effect.
        """
        await self.transact(puts=[Put(table, key, value)], step=step)

    async def transact(
        self,
        *,
        expected: Iterable[Expected] = (),
        puts: Iterable[Put] = (),
        removed: Iterable[Expected] = (),
        step: str,
    ) -> Committed | Conflict:
        """Writes and removes rows atomically.

        Args:
            expected: Versions that rows must have.
            puts: Rows to write.
            removed: Rows to remove, with the versions that they must have.
            step: Step to name in errors.

        Raises:
            PlatformError: As for `put`.
        """
        removed = list(removed)
        body: dict[str, Any] = {
            "expected-rev": [
                _encode_key(e) | {"ver": e.version}
                for e in [*expected, *removed]
            ],
            "puts": [
                _encode_key(put)
                | {"value": base64.b64encode(put.value).decode()}
                for put in puts
            ],
            "remove": [_encode_key(e) for e in removed],
        }
        response = await self._client.call(
            "POST",
            "/api/rows-tx",
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            step=step,
        )
        match response.status:
            case status if status == _OK:
                version = _decode(response.body, _Version, step).ver
                return Committed(version)
            case status if status == _CONDITION_FAILED:
                page = _decode(response.body, _Page, step)
                return Conflict(tuple(self._decode_rows(page)))
            case status:
                raise _status_error(status, step)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        step: str,
        timeout_s: float | None,
    ) -> _Page:
        response = await self._client.call(
            "GET",
            f"{path}?{urllib.parse.urlencode(query)}",
            step=step,
            timeout_s=timeout_s,
        )
        if response.status == _HISTORY_GONE:
            raise _HistoryGoneError("history dropped", step=step, peer=_PEER)
        if response.status != _OK:
            raise _status_error(response.status, step)
        return _decode(response.body, _Page, step)

    def _decode_rows(self, page: _Page) -> list[Row]:
        rows = []
        for row in page.rows:
            try:
                value = base64.b64decode(row.value, validate=True)
            except (binascii.Error, ValueError) as error:
                # Other programs write to these tables too. Whoever reads the
                # row decides what an empty value means.
                value = b""
                self._log_unreadable(row, error)
            rows.append(Row(row.key, row.ver, value, row.deleted, row.table))
        return rows

    def _log_unreadable(self, row: _EncodedRow, error: Exception) -> None:
        """Logs an unreadable row, once per version."""
        name = row.table, row.key
        if self._unreadable.get(name) == row.ver:
            return
        self._unreadable[name] = row.ver
        log.problem(
            "a row is not base64 and counts as empty",
            step="read rows",
            peer=_PEER,
            table=row.table,
            key=row.key,
            version=row.ver,
            error=str(error),
        )


class _HistoryGoneError(errors.PlatformError):
    """The store no longer has the requested changes."""


def _next_key(key: str) -> str:
    """Returns the first key in sort order after a key."""
    return key + "\0"


def _encode_key(row: Expected | Put) -> dict[str, Any]:
    return {"table": row.table, "part": "", "key": row.key}


def _status_error(status: int, step: str) -> errors.PlatformError:
    return errors.PlatformError(f"status {status}", step=step, peer=_PEER)


def _decode(body: bytes, expected: type[_T], step: str) -> _T:
    try:
        return strict_json.decode(body, expected)
    except errors.MalformedError as error:
        raise errors.PlatformError(str(error), step=step, peer=_PEER) from error
