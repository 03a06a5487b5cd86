"""Rows of the platform's store: reads, changes since a version, writes."""

import base64
import binascii
from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import TypeVar
import urllib.parse

import msgspec

from sesameroad import errors
from sesameroad.platform import platform_client
from sesameroad.telemetry import log

# Entries of one transaction, of which each conditional write takes two.
MAX_ENTRIES = 100
ABSENT = 0
_PEER = "platform"
_OK = 200
_HISTORY_GONE = 410
_CONDITION_FAILED = 412
# Time beyond the wait of a feed after which its connection counts as silent.
_FEED_MARGIN_S = 0.7
_MAX_PAGES = 100

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as the store holds it.

    Attributes:
        key: Key within its table.
        version: Version of the transaction that wrote it.
        value: Content; empty if the row was removed.
        removed: Whether it was removed.
        table: Name of its table.
    """

    key: str
    version: int
    value: bytes
    removed: bool = False
    table: str = ""


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


@dataclasses.dataclass(slots=True, frozen=True)
class Expected:
    """A row and the version that it must have; ABSENT if it must not exist."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """A row that a transaction writes."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """All rows of a transaction were written, with this version."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Nothing was written; the expected rows that exist, as they are."""

    rows: tuple[Row, ...]


class _Row(msgspec.Struct):
    key: str
    ver: int = 0
    value: str = ""
    deleted: bool = False
    table: str = ""


class _Rows(msgspec.Struct, rename="kebab"):
    rows: list[_Row]
    ver: int = 0
    has_more: bool = False


class _Version(msgspec.Struct):
    ver: int


class RowStore:
    """Reads and writes rows whose part is empty."""

    __slots__ = ("_client", "_unreadable")

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self._client = client
        # Version of each row that was reported as unreadable.
        self._unreadable: dict[tuple[str, str], int] = {}

    async def read(
        self, table: str, *, step: str, key: str | None = None
    ) -> Snapshot:
        """Reads all rows of a table, or the one with a key.

        Raises:
            PlatformError: If the store fails or does not answer.
        """
        found: list[Row] = []
        version = 0
        query = {"table": table, "part": ""}
        if key is not None:
            query |= {"from": key, "to": _after(key)}
        for _ in range(_MAX_PAGES):
            page = await self._get("/api/rows-get", query, step, None)
            found += self._decode_rows(page)
            # The oldest page counts: later changes come with the next feed.
            version = version or page.ver
            if not page.has_more or not page.rows:
                break
            query["from"] = _after(page.rows[-1].key)
        return Snapshot(tuple(found), version, complete=key is None)

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
        return Snapshot(
            tuple(self._decode_rows(page)), page.ver, complete=False
        )

    async def put(
        self, table: str, key: str, value: bytes, *, step: str
    ) -> None:
        """Writes a row whatever it holds.

        Raises:
            PlatformError: If no answer came, or an error; after no answer the
                write may still take effect.
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
        """Writes and removes rows, all of them or none.

        Args:
            expected: Rows that must be as stated.
            puts: Rows to write.
            removed: Rows to remove if they are still as stated.
            step: What the rows are written for.

        Raises:
            PlatformError: As for `put`.
        """
        removed = list(removed)
        body: dict[str, Any] = {
            "expected-rev": [
                _address(e) | {"ver": e.version} for e in [*expected, *removed]
            ],
            "puts": [
                _address(put) | {"value": base64.b64encode(put.value).decode()}
                for put in puts
            ],
            "remove": [_address(e) for e in removed],
        }
        answer = await self._client.call(
            "POST",
            "/api/rows-tx",
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            step=step,
        )
        match answer.status:
            case status if status == _OK:
                version = _decode(answer.body, _Version, step).ver
                return Committed(version)
            case status if status == _CONDITION_FAILED:
                page = _decode(answer.body, _Rows, step)
                return Conflict(tuple(self._decode_rows(page)))
            case status:
                raise _refused(status, step)

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
            raise _refused(answer.status, step)
        return _decode(answer.body, _Rows, step)

    def _decode_rows(self, page: _Rows) -> list[Row]:
        found = []
        for row in page.rows:
            try:
                value = base64.b64decode(row.value, validate=True)
            except (binascii.Error, ValueError) as error:
                # Other writers share the tables; the owner of the row decides
                # what an empty value means.
                value = b""
                self._report(row, error)
            found.append(Row(row.key, row.ver, value, row.deleted, row.table))
        return found

    def _report(self, row: _Row, error: Exception) -> None:
        """Logs an unreadable row once for each of its versions."""
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
    """The store has dropped the changes that were asked for."""


def _after(key: str) -> str:
    """Returns the least key that sorts after a key."""
    return key + "\0"


def _address(row: Expected | Put) -> dict[str, Any]:
    return {"table": row.table, "part": "", "key": row.key}


def _refused(status: int, step: str) -> errors.PlatformError:
    return errors.PlatformError(f"status {status}", step=step, peer=_PEER)


def _decode(body: bytes, expected: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(body, type=expected)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(str(error), step=step, peer=_PEER) from error
