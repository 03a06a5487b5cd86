"""The configuration in force, and the row of the platform's table behind it."""

import asyncio
from collections.abc import Callable
import secrets

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.platform import table as tables
from sesameroad.telemetry import log

ROW = "configuration/current"
# Writes of one change while their answers are lost. Each is followed by a read.
_MAX_WRITES = 3
_REWRITE_DELAY_S = 0.1

Edit = Callable[[document.Document], document.Document]


class Store:
    """Keeps the newest version known; never goes back to an older one."""

    __slots__ = (
        "_accepted",
        "_current",
        "_read_at_version",
        "_read_once",
        "_table",
        "_warned",
    )

    def __init__(
        self,
        *,
        table: tables.Table,
        fallback: document.Document | None,
        accepted: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts with the fallback.

        Args:
            table: The platform's table.
            fallback: Document in force until a version is known.
            accepted: Called when a change, or what it lost to, came into force.
        """
        self._table = table
        self._current = document.fallback_version(fallback)
        self._accepted = accepted
        # Version of the platform's store at the last read.
        self._read_at_version = 0
        self._read_once = False
        self._warned = ""

    @property
    def current(self) -> document.Version:
        """The version in force on this entry."""
        return self._current

    @property
    def was_read(self) -> bool:
        """Whether the table has been read since the start."""
        return self._read_once

    def apply(self, version: document.Version) -> bool:
        """Puts a version in force if it is newer; returns whether it was."""
        current = self._current
        if version.number > current.number:
            self._current = version
            return True
        if version.number == current.number and version.change_id not in (
            current.change_id,
            self._warned,
        ):
            # Only a table that lost rows can cause this. What is in force stays;
            # the next change has a higher number and brings all entries together.
            self._warned = version.change_id
            log.problem(
                "two configurations carry the same version",
                step="apply configuration",
                version=version.number,
                kept=current.change_id,
                refused=version.change_id,
            )
        return False

    async def refresh(self) -> bool:
        """Reads the row; returns whether a newer version came into force.

        The row is sent only if it has changed since the last read here.

        Raises:
            PlatformError: If the platform fails or does not answer.
            ConfigurationError: If the row holds no valid version.
        """
        row, version = await self._table.read_if_changed(
            ROW, self._read_at_version, step="read configuration"
        )
        newer = False
        if row is not None:
            found = _decode(row)
            newer = found is not None and self.apply(found)
        # Kept only now, so that a row that cannot be decoded is read and
        # reported again.
        self._read_at_version = version
        self._read_once = True
        return newer

    async def change(
        self,
        edit: Edit,
        *,
        author: str,
        role: document.Role,
        summary: str,
        expected_version: int | None = None,
    ) -> document.Version:
        """Makes a change to the newest version and puts it in force.

        Args:
            edit: Returns the changed document.
            author: Operator who makes it.
            role: Role of the author; it owns one section of the document.
            summary: The command, for the history and for whom it beats.
            expected_version: Version that the author has seen, if the change
                must not apply to any other.

        Returns:
            The accepted version.

        Raises:
            ConfigurationError: If the document would be invalid, or if the
                change touches a section of the other role. Nothing is written.
            PlatformError: If the newest version cannot be read. Nothing is
                written.
            ConflictError: If a concurrent change won; this one never takes
                effect.
            ChangeUnknownError: If the platform neither confirmed nor denied the
                write; the change may take effect.
        """
        row, stored = await self._read()
        base = self._current
        if stored is not None and stored.number >= base.number:
            base = stored
        if expected_version not in (None, base.number):
            raise _conflict(base.change)
        version = self._next_version(base, author, role, summary, edit)
        await self._write(row, version)
        if self.apply(version):
            self._accepted()
        return version

    def _next_version(
        self,
        base: document.Version,
        author: str,
        role: document.Role,
        summary: str,
        edit: Edit,
    ) -> document.Version:
        edited = edit(base.document)
        foreign = document.foreign_field(role, base.document, edited)
        if foreign:
            raise errors.ConfigurationError(
                f"{foreign} is not for role {role.value} to change",
                step="check configuration",
            )
        changes = base.changes if base.number else ()
        return document.Version(
            number=base.number + 1,
            author=author,
            role=role,
            change_id=secrets.token_hex(8),
            summary=summary[: document.MAX_SUMMARY],
            document=edited.check(),
            history=changes[-document.MAX_HISTORY :],
        )

    async def _write(self, row: tables.Row, version: document.Version) -> None:
        """Writes a version over a row as it was read.

        After a lost answer the row is read back. If it is unchanged, the write
        may still be on its way, so it is not reported as failed: the same write
        is sent again, and compare and set lets one copy through at most.
        """
        write = tables.Write(ROW, row.version, version.to_json().decode())
        for attempt in range(_MAX_WRITES):
            if attempt:
                await asyncio.sleep(_REWRITE_DELAY_S)
            try:
                results = await self._table.write(
                    [write], step="write configuration"
                )
                after = results[0].row
                applied = results[0].applied
            except errors.PlatformError:
                try:
                    after, applied = await self._read_row(), False
                except errors.PlatformError:
                    continue
            if applied:
                return
            if after.version > row.version:
                self._resolve(version, after, expected=row.version)
                return
        raise errors.ChangeUnknownError(
            f"change {version.change_id} to version {version.number} may or may"
            " not have taken effect",
            step="write configuration",
            peer="platform",
        )

    def _resolve(
        self, version: document.Version, row: tables.Row, *, expected: int
    ) -> None:
        """Tells from a later row whether a version was written.

        Raises:
            ConflictError: If another change was written in its place.
            ChangeUnknownError: If the row does not tell.
        """
        try:
            later = document.Version.from_json(row.value.encode())
        except errors.ConfigurationError as error:
            raise errors.ChangeUnknownError(
                f"change {version.change_id}: {error}",
                step="write configuration",
            ) from error
        if any(c.change_id == version.change_id for c in later.changes):
            return
        if row.version - expected > document.MAX_HISTORY:
            raise errors.ChangeUnknownError(
                f"change {version.change_id} is older than the kept history",
                step="write configuration",
            )
        if self.apply(later):
            self._accepted()
        winner = next(
            (c for c in later.changes if c.number >= version.number),
            later.change,
        )
        raise _conflict(winner)

    async def _read(self) -> tuple[tables.Row, document.Version | None]:
        row = await self._read_row()
        return row, _decode(row)

    async def _read_row(self) -> tables.Row:
        rows = await self._table.read([ROW], step="read configuration")
        return rows[0]


def _decode(row: tables.Row) -> document.Version | None:
    if row.version == tables.ABSENT:
        return None
    return document.Version.from_json(row.value.encode())


def _conflict(winner: document.Change) -> errors.ConflictError:
    return errors.ConflictError(
        f"version {winner.number} by {winner.author} came first:"
        f" {winner.summary}",
        step="write configuration",
    )
