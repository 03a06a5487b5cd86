"""The configuration in force, and the row of the platform's table behind it."""

from sesameroad.configuration import document
from sesameroad.platform import table as tables

ROW = "configuration/current"


class Store:
    """Keeps the newest version known; never goes back to an older one."""

    __slots__ = ("_current", "_table")

    def __init__(
        self, *, table: tables.Table, fallback: document.Document | None
    ) -> None:
        self._table = table
        self._current = document.fallback_version(fallback)

    @property
    def current(self) -> document.Version:
        """The version in force on this entry."""
        return self._current

    def apply(self, version: document.Version) -> bool:
        """Puts a version in force if it is newer; returns whether it was."""
        if version.number <= self._current.number:
            return False
        self._current = version
        return True

    async def refresh(self) -> bool:
        """Reads the row; returns whether a newer version came into force.

        Raises:
            PlatformError: If the platform fails or does not answer.
            ConfigurationError: If the row holds no valid version.
        """
        rows = await self._table.read([ROW], step="read configuration")
        if rows[0].version == tables.ABSENT:
            return False
        return self.apply(document.Version.from_json(rows[0].value.encode()))
