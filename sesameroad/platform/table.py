"""Reads rows by name and writes each by an independent compare-and-set."""

from collections.abc import Sequence
import dataclasses

from sesameroad import errors
from sesameroad.platform import row_store

ABSENT = row_store.ABSENT
# A conditional write counts as two entries of a transaction.
_MAX_WRITES = row_store.MAX_ENTRIES // 2
_MAX_READS = row_store.MAX_ENTRIES


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as it was read. Version ABSENT means that it does not exist.

    Attributes:
        name: Name of the form "table/key".
        version: Version; it increases with each write.
        value: Content.
    """

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
    """Whether a write was applied, and the current row."""

    applied: bool
    row: Row


class Table:
    """Reads and writes rows; each write of a call is independent."""

    __slots__ = ("_store",)

    def __init__(self, store: row_store.RowStore) -> None:
        self._store = store

    async def read(self, names: Sequence[str], *, step: str) -> list[Row]:
        """Reads rows.

        Raises:
            PlatformError: If the platform reports an error or does not respond.
        """
        if len(names) == 1:
            return [await self._read_one(names[0], step)]
        found: list[Row] = []
        for start in range(0, len(names), _MAX_READS):
            found += await self._read_many(
                names[start : start + _MAX_READS], step
            )
        return found

    async def read_if_changed(
        self, name: str, after: int, *, step: str
    ) -> tuple[Row | None, int]:
        """Reads a row if it has changed since a version of the store.

        Args:
            name: Name of the row.
            after: Version of the store at the previous read, 0 to always read.
            step: Step to name in errors.

        Returns:
            The row, or None if it has not changed, and the version of the
            store at this read.

        Raises:
            PlatformError: If the platform reports an error or does not respond.
        """
        table, key = _split(name)
        if after:
            snapshot = await self._store.changes(
                table, after=after, wait_s=0, step=step
            )
        else:
            snapshot = await self._store.read(table, key=key, step=step)
        for row in reversed(snapshot.rows):
            if row.key == key:
                return _row(name, row), snapshot.version
        return None, snapshot.version

    async def write(
        self, writes: Sequence[Write], *, step: str
    ) -> list[WriteResult]:
        """Writes rows, each by its own compare-and-set.

        Raises:
            PlatformError: If the platform reports an error or does not respond;
                any of the writes may have taken effect or may still do so.
        """
        results: dict[str, WriteResult] = {}
        for start in range(0, len(writes), _MAX_WRITES):
            batch = list(writes[start : start + _MAX_WRITES])
            results |= await self._write_batch(batch, step)
        return [results[write.name] for write in writes]

    async def _write_batch(
        self, batch: list[Write], step: str
    ) -> dict[str, WriteResult]:
        """Writes a batch; repeats it without the rows that are in conflict."""
        results: dict[str, WriteResult] = {}
        while batch:
            outcome = await self._store.transact(
                expected=[_expected(w.name, w.expected) for w in batch],
                puts=[
                    row_store.Put(*_split(w.name), w.value.encode())
                    for w in batch
                ],
                step=step,
            )
            match outcome:
                case row_store.Committed(version=version):
                    for write in batch:
                        row = Row(write.name, version, write.value)
                        results[write.name] = WriteResult(True, row)
                    return results
                case row_store.Conflict(rows=rows):
                    conflicts = _find_conflicts(batch, rows)
            if not conflicts:
                raise errors.PlatformError(
                    "transaction conflict without a conflicting row",
                    step=step,
                    peer="platform",
                )
            results |= conflicts
            batch = [write for write in batch if write.name not in conflicts]
        return results

    async def _read_one(self, name: str, step: str) -> Row:
        table, key = _split(name)
        snapshot = await self._store.read(table, key=key, step=step)
        for row in snapshot.rows:
            return _row(name, row)
        return Row(name, ABSENT)

    async def _read_many(self, names: Sequence[str], step: str) -> list[Row]:
        """Reads rows in one call.

        It sends a transaction without writes that expects all rows to be
        absent. The response to a conflict contains the rows that exist.
        """
        outcome = await self._store.transact(
            expected=[_expected(name, ABSENT) for name in names], step=step
        )
        match outcome:
            case row_store.Committed():
                return [Row(name, ABSENT) for name in names]
            case row_store.Conflict(rows=rows):
                found = {(row.table, row.key): row for row in rows}
                return [_row(n, found.get(_split(n))) for n in names]


def _split(name: str) -> tuple[str, str]:
    """Splits a name into table and key."""
    table, _, key = name.partition("/")
    return table, key


def _expected(name: str, version: int) -> row_store.Expected:
    return row_store.Expected(*_split(name), version)


def _row(name: str, row: row_store.Row | None) -> Row:
    if row is None or row.removed:
        return Row(name, ABSENT)
    return Row(name, row.version, row.value.decode(errors="replace"))


def _find_conflicts(
    batch: list[Write], rows: Sequence[row_store.Row]
) -> dict[str, WriteResult]:
    """Returns the results of the writes whose rows have another version."""
    found = {(row.table, row.key): row for row in rows}
    conflicts = {}
    for write in batch:
        row = _row(write.name, found.get(_split(write.name)))
        if row.version != write.expected:
            conflicts[write.name] = WriteResult(False, row)
    return conflicts
