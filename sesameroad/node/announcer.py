"""Announces this instance in the store and reads the other announcements."""

import asyncio
from collections.abc import Callable

import msgspec

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.node import dependency
from sesameroad.node import instance_registry
from sesameroad.platform import row_store
from sesameroad.settings import node
from sesameroad.telemetry import log

_STEP = "announce"
# Period while no other instance is known. It is short because instances usually
# start together and should find each other soon.
_ALONE_PERIOD_S = 0.4


class Announcer:
    """Keeps the registry of instances up to date, this one included."""

    __slots__ = (
        "_beat",
        "_changed",
        "_clock",
        "_registry",
        "_store",
        "_settings",
        "_tokens",
    )

    def __init__(
        self,
        *,
        settings: node.Node,
        store: row_store.RowStore,
        registry: instance_registry.InstanceRegistry,
        tokens: Callable[[], dict[str, int]],
        changed: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        """Creates an announcer that has not written anything yet.

        Args:
            settings: Settings of this instance.
            store: Row store of the platform.
            registry: Receives the rows of all instances.
            tokens: Returns the fencing token for each data centre that this
                instance is the leader of.
            changed: Called after each read.
            clock: Time source.
        """
        self._settings = settings
        self._store = store
        self._registry = registry
        self._tokens = tokens
        self._changed = changed
        self._clock = clock
        self._beat = 0

    async def run(self) -> None:
        """Announces this instance until cancelled."""
        table = dependency.Dependency("the instance table", step=_STEP)
        while True:
            try:
                await self._announce()
                table.record_success()
            except errors.PlatformError as error:
                table.record_failure(error)
            period_s = self._settings.timing.announce_period_s
            if len(self._registry.instances) <= 1:
                period_s = _ALONE_PERIOD_S
            await asyncio.sleep(period_s)

    async def _announce(self) -> None:
        await self._store.put(
            instance_registry.TABLE,
            self._settings.instance_id,
            msgspec.json.encode(self._announcement()),
            step=_STEP,
        )
        snapshot = await self._store.read(instance_registry.TABLE, step=_STEP)
        for row in snapshot.rows:
            self._registry.update(row.key, version=row.version, value=row.value)
        self._registry.retain({row.key for row in snapshot.rows})
        self._changed()
        for name, version in self._registry.abandoned.items():
            await self._remove(name, version)

    def _announcement(self) -> instance_registry.Announcement:
        self._beat += 1
        return instance_registry.Announcement(
            data_centre=self._settings.data_centre,
            address=self._settings.peer,
            beat=self._beat,
            written_ms=self._clock.wall_ms(),
            tokens=self._tokens(),
        )

    async def _remove(self, name: str, version: int) -> None:
        """Removes the row of an instance that is gone, if still unchanged."""
        row = row_store.Expected(instance_registry.TABLE, name, version)
        match await self._store.transact(removed=[row], step=_STEP):
            case row_store.Committed():
                log.event(
                    "row of an instance that is gone removed",
                    step=_STEP,
                    peer=name,
                )
            case row_store.Conflict():
                # Its writer is alive, or another instance removed the row.
                return
