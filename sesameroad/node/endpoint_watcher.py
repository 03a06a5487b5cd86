"""Reads the endpoints from the store in time for drains to be noticed."""

import asyncio
from collections.abc import Callable

import msgspec

from sesameroad import errors
from sesameroad.model import endpoint as endpoints
from sesameroad.node import dependency as dependencies
from sesameroad.node import listing as listings
from sesameroad.platform import endpoint_rows
from sesameroad.platform import row_store
from sesameroad.telemetry import log

_STEP = "watch endpoints"
# Pause before the store is asked again; its calls are limited for all together.
_RETRY_S = 0.4


class EndpointWatcher:
    """Keeps the list of endpoints up to date, from the store or from a peer."""

    __slots__ = (
        "_changed",
        "_listing",
        "_now",
        "_period_s",
        "_rows",
        "_unreadable",
    )

    def __init__(
        self,
        *,
        rows: row_store.RowStore,
        listing: listings.Listing,
        period_s: Callable[[], float],
        changed: Callable[[], None],
    ) -> None:
        """Creates a watcher that has read nothing yet.

        Args:
            rows: The store.
            listing: Takes each list.
            period_s: Returns the time between reads, in seconds.
            changed: Called after each read.
        """
        self._rows = rows
        self._listing = listing
        self._period_s = period_s
        self._changed = changed
        self._now = asyncio.Event()
        # Version of each row that was reported as unreadable.
        self._unreadable: dict[str, int] = {}

    def read_now(self) -> None:
        """Reads the list without waiting for the end of the period."""
        self._now.set()

    async def run(self) -> None:
        """Reads the list until cancelled."""
        table = dependencies.Dependency("the endpoint table", step=_STEP)
        while True:
            period_s = self._period_s()
            try:
                snapshot = await self._rows.read(
                    endpoint_rows.TABLE, step=_STEP
                )
                table.present()
                self._apply(snapshot, period_s)
            except errors.PlatformError as error:
                table.lost(error)
                period_s = _RETRY_S
            self._now.clear()
            try:
                async with asyncio.timeout(period_s):
                    await self._now.wait()
            except TimeoutError:
                continue

    def encode(self) -> bytes:
        """Returns the endpoints in use, for a peer."""
        return msgspec.json.encode(list(self._listing.live))

    def adopt(self, text: bytes, *, source: str) -> None:
        """Takes the endpoints of a peer into use until the list can be read."""
        try:
            found = msgspec.json.decode(text, type=list[endpoints.Endpoint])
        except msgspec.MsgspecError as error:
            log.problem(
                "endpoints of a peer cannot be read",
                step="receive",
                peer=source,
                error=str(error),
            )
            return
        if self._listing.adopt(found):
            log.event(
                "endpoints taken from a peer",
                step=_STEP,
                peer=source,
                count=len(found),
            )
            self._changed()

    def _apply(self, snapshot: row_store.Snapshot, period_s: float) -> None:
        before = {e.id: e.leaving for e in self._listing.live}
        listed: list[endpoints.Endpoint] = []
        for row in snapshot.rows:
            endpoint = endpoint_rows.decode(row)
            if endpoint is None:
                self._report(row)
            else:
                listed.append(endpoint)
        self._listing.apply(listed, period_s=period_s)
        after = {e.id: e.leaving for e in self._listing.live}
        if after != before:
            log.event(
                "endpoints changed",
                step=_STEP,
                added=sorted(after.keys() - before.keys()),
                gone=sorted(before.keys() - after.keys()),
                leaving=sorted(name for name, left in after.items() if left),
            )
        self._changed()

    def _report(self, row: row_store.Row) -> None:
        """Logs a row that names no endpoint, once for each of its versions."""
        if self._unreadable.get(row.key) == row.version:
            return
        self._unreadable[row.key] = row.version
        log.problem(
            "a row of the endpoint table names no endpoint to use",
            step=_STEP,
            peer=row.key,
            version=row.version,
        )
