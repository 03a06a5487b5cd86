"""The configuration in force, backed by a row of the platform's table."""

import asyncio
from collections.abc import Callable
import secrets

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.platform import table as table_module
from sesameroad.telemetry import log

ROW = "configuration/current"
# Attempts to write one change if answers are lost. Each is followed by a read.
_MAX_WRITE_ATTEMPTS = 3
_REWRITE_DELAY_S = 0.1

Edit = Callable[[document.Document], document.Document]


class Store:
    """Holds the newest known version and never reverts to an older one."""

    __slots__ = (
        "_on_accepted",
        "_current",
        "_last_store_version",
        "_was_read",
        "_table",
        "_reported_change_id",
    )

    def __init__(
        self,
        *,
        table: table_module.Table,
        fallback: document.Document | None,
        accepted: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialises the store with the fallback.

        Args:
            table: The platform's table.
            fallback: Document in force until a version is known.
            accepted: Called when a change, or the concurrent one that was
                written instead, has come into force.
        """
        self._table = table
        self._current = document.fallback_version(fallback)
        self._on_accepted = accepted
        # Version of the platform's store at the last read.
        self._last_store_version = 0
        self._was_read = False
        self._reported_change_id = ""

    @property
    def current(self) -> document.Version:
        """The version in force on this entry."""
        return self._current

    @property
    def was_read(self) -> bool:
        """Whether the table was read since the process started."""
        return self._was_read

    def apply(self, version: document.Version) -> bool:
        """Puts a version in force if it is newer; returns whether it was."""
        current = self._current
        if version.number > current.number:
            self._current = version
            return True
        if version.number == current.number and version.change_id not in (
            current.change_id,
            self._reported_change_id,
        ):
            # Only a table that has lost rows can cause this. The version in
            # force stays, and the next change, with a higher number, makes all
            # entries consistent again.
            self._reported_change_id = version.change_id
            log.problem(
                "two configurations have the same version number",
                step="apply configuration",
                version=version.number,
                kept=current.change_id,
                refused=version.change_id,
            )
        return False

    async def refresh(self) -> bool:
        """Reads the row; returns whether a newer version came into force.

        The row is transferred only if it has changed since the last read.

        Raises:
            PlatformError: If the platform fails or does not answer.
            ConfigurationError: If the row holds no valid version.
        """
        row, version = await self._table.read_if_changed(
            ROW, self._last_store_version, step="read configuration"
        )
        newer = False
        if row is not None:
            found = _decode(row)
            newer = found is not None and self.apply(found)
        # Updated only after decoding, so that a row that cannot be decoded is
        # read and reported again.
        self._last_store_version = version
        self._was_read = True
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
        """Applies a change to the newest version and puts the result in force.

        Args:
            edit: Returns the changed document.
            author: Operator who makes it.
            role: Role of the author; it owns one section of the document.
            summary: The command, for the history and for authors of changes
                that conflict with it.
            expected_version: The only version that the change may apply to,
                None for any.

        Returns:
            The accepted version.

        Raises:
            ConfigurationError: If the document would be invalid, or if the
                change touches a section of the other role. Nothing is written.
            PlatformError: If the newest version could not be read. Nothing is
                written.
            ConflictError: If a concurrent change was written first. This one
                never takes effect.
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
            self._on_accepted()
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
        forbidden_field = document.first_forbidden_field(
            role, base.document, edited
        )
        if forbidden_field:
            raise errors.ConfigurationError(
                f"{forbidden_field} may not be changed by role {role.value},"
                " which does not own it",
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

    async def _write(
        self, row: table_module.Row, version: document.Version
    ) -> None:
        """Writes a version if the row has not changed since it was read.

        After a lost answer the row is read back. If it is unchanged, the write
        may still take effect later, so it is not reported as failed. The same
        write is sent again; compare-and-set applies it at most once.
        """
        write = table_module.Write(ROW, row.version, version.to_json().decode())
        for attempt in range(_MAX_WRITE_ATTEMPTS):
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
        self, version: document.Version, row: table_module.Row, *, expected: int
    ) -> None:
        """Checks in a later row whether a version was written.

        Raises:
            ConflictError: If another change was written in its place.
            ChangeUnknownError: If the row does not show it.
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
            self._on_accepted()
        winner = next(
            (c for c in later.changes if c.number >= version.number),
            later.change,
        )
        raise _conflict(winner)

    async def _read(self) -> tuple[table_module.Row, document.Version | None]:
        row = await self._read_row()
        return row, _decode(row)

    async def _read_row(self) -> table_module.Row:
        rows = await self._table.read([ROW], step="read configuration")
        return rows[0]


def _decode(row: table_module.Row) -> document.Version | None:
    if row.version == table_module.ABSENT:
        return None
    return document.Version.from_json(row.value.encode())


def _conflict(winner: document.Change) -> errors.ConflictError:
    return errors.ConflictError(
        f"version {winner.number} by {winner.author} came first:"
        f" {winner.summary}",
        step="write configuration",
    )
