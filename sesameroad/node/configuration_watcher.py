"""Follows what operators write to the store: configuration and evacuations."""

import asyncio
from collections.abc import Callable

from sesameroad import errors
from sesameroad.jobs import catalogue as catalogue_module
from sesameroad.membership import evacuations as evacuations_module
from sesameroad.model import clocks
from sesameroad.node import dependency
from sesameroad.platform import configuration
from sesameroad.platform import evacuation_rows
from sesameroad.platform import row_store
from sesameroad.telemetry import log

_STEP = "watch configuration"
# Delay before a failed read is repeated. The store limits the call rate of all
# instances together.
_RETRY_S = 0.4


class ConfigurationWatcher:
    """Holds the newest configuration; never returns to an older version."""

    __slots__ = (
        "_applied_at",
        "_catalogue",
        "_changed",
        "_clock",
        "_configured",
        "_store",
        "_document",
        "_evacuations",
        "_wait_s",
    )

    def __init__(
        self,
        *,
        store: row_store.RowStore,
        wait_s: float,
        clock: clocks.Clock,
        changed: Callable[[], None],
        evacuations: evacuations_module.Evacuations,
    ) -> None:
        """Creates a watcher without a configuration.

        Args:
            store: Row store of the platform.
            wait_s: Maximum wait of one request for changes, in seconds.
            clock: Time source.
            changed: Called after a configuration was applied.
            evacuations: Receives the evacuated data centres of each read.
        """
        self._store = store
        self._wait_s = wait_s
        self._clock = clock
        self._changed = changed
        self._evacuations = evacuations
        self._catalogue = catalogue_module.Catalogue.empty()
        self._document = b""
        self._applied_at = 0.0
        # Set by the first configuration.
        self._configured = asyncio.Event()

    @property
    def catalogue(self) -> catalogue_module.Catalogue:
        """The current configuration."""
        return self._catalogue

    @property
    def document(self) -> bytes:
        """Document of the current configuration, as the operator wrote it."""
        return self._document

    @property
    def age_s(self) -> float:
        """Time since it was applied on this instance, in seconds."""
        return self._clock.monotonic() - self._applied_at

    async def wait_first(self, timeout_s: float) -> None:
        """Waits until there is a configuration, at most for a time."""
        if self._configured.is_set():
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._configured.wait()
        except TimeoutError:
            return

    def apply(self, document: bytes, *, source: str) -> None:
        """Applies a configuration if it is newer than the current one.

        Args:
            document: Encoded configuration.
            source: Origin of the document: "platform" or the id of a peer.
        """
        try:
            catalogue = configuration.decode(document)
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
        self._document = document
        self._applied_at = self._clock.monotonic()
        self._configured.set()
        log.event(
            "configuration in force",
            step="configure",
            peer=source,
            version=catalogue.version,
            queues=len(catalogue.queues),
        )
        self._changed()

    async def run(self) -> None:
        """Applies each change of the configuration until cancelled."""
        after: int | None = None
        table = dependency.Dependency("the configuration table", step=_STEP)
        while True:
            try:
                snapshot = await self._read(after)
            except errors.PlatformError as error:
                table.record_failure(error)
                await asyncio.sleep(_RETRY_S)
                continue
            table.record_success()
            after = snapshot.version
            for row in snapshot.rows:
                if row.key == configuration.KEY and not row.removed:
                    self.apply(row.value, source="platform")
            self._apply_evacuations(snapshot)

    def _apply_evacuations(self, snapshot: row_store.Snapshot) -> None:
        added: set[str] = set()
        removed: set[str] = set()
        for row in sorted(snapshot.rows, key=lambda row: row.version):
            data_centre = evacuation_rows.decode(row)
            if data_centre is None:
                continue
            # The last change of a row counts.
            present, absent = (
                (removed, added) if row.removed else (added, removed)
            )
            present.add(data_centre)
            absent.discard(data_centre)
        self._evacuations.read(
            snapshot.version,
            added=added,
            removed=removed,
            complete=snapshot.complete,
        )

    async def _read(self, after: int | None) -> row_store.Snapshot:
        if after is None:
            return await self._store.read(configuration.TABLE, step=_STEP)
        return await self._store.changes(
            configuration.TABLE, after=after, wait_s=self._wait_s, step=_STEP
        )
