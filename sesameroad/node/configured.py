"""The configuration in force, and the table of the store that it comes from."""

import asyncio

from sesameroad import errors
from sesameroad.jobs import catalogue as catalogues
from sesameroad.model import clock as clocks
from sesameroad.node import dependency as dependencies
from sesameroad.platform import configuration
from sesameroad.platform import row_store
from sesameroad.telemetry import log

_STEP = "watch configuration"
# Pause before the store is asked again; its calls are limited for all together.
_RETRY_S = 0.4


class Configured:
    """Keeps the newest configuration known; never goes back to an older one."""

    __slots__ = (
        "_applied_at",
        "_catalogue",
        "_clock",
        "_rows",
        "_text",
        "_wait_s",
    )

    def __init__(
        self, *, rows: row_store.RowStore, wait_s: float, clock: clocks.Clock
    ) -> None:
        """Starts without a configuration.

        Args:
            rows: The store.
            wait_s: Time that the store holds a request for changes.
            clock: Time source.
        """
        self._rows = rows
        self._wait_s = wait_s
        self._clock = clock
        self._catalogue = catalogues.Catalogue.empty()
        self._text = b""
        self._applied_at = 0.0

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """The configuration in force."""
        return self._catalogue

    @property
    def text(self) -> bytes:
        """The configuration in force as the operator wrote it."""
        return self._text

    @property
    def age_s(self) -> float:
        """Time since it came into force here."""
        return self._clock.monotonic() - self._applied_at

    def apply(self, text: bytes, *, source: str) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            text: The document.
            source: The platform or the peer that it comes from.
        """
        try:
            catalogue = configuration.decode(text)
        except errors.ConfigurationError as error:
            log.problem(
                "the configuration cannot be read; the last one stays in force",
                step=error.step,
                peer=source,
                error=str(error),
            )
            return
        if catalogue.version <= self._catalogue.version:
            return
        self._catalogue = catalogue
        self._text = text
        self._applied_at = self._clock.monotonic()
        log.event(
            "configuration in force",
            step="configure",
            peer=source,
            version=catalogue.version,
            queues=len(catalogue.queues),
        )

    async def watch(self) -> None:
        """Follows the operator's table; each change is applied at once."""
        after: int | None = None
        table = dependencies.Dependency("the configuration table", step=_STEP)
        while True:
            try:
                snapshot = await self._read(after)
            except errors.PlatformError as error:
                table.lost(error)
                await asyncio.sleep(_RETRY_S)
                continue
            table.present()
            after = snapshot.version
            for row in snapshot.rows:
                if row.key == configuration.KEY and not row.removed:
                    self.apply(row.value, source="platform")

    async def _read(self, after: int | None) -> row_store.Snapshot:
        if after is None:
            return await self._rows.read(configuration.TABLE, step=_STEP)
        return await self._rows.changes(
            configuration.TABLE, after=after, wait_s=self._wait_s, step=_STEP
        )
