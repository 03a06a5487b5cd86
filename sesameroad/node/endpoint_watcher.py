"""Reads the list of endpoints often enough to notice draining endpoints."""

import asyncio
from collections.abc import Callable

import msgspec

from sesameroad import errors
from sesameroad.model import endpoints
from sesameroad.model import strict_json
from sesameroad.node import dependency
from sesameroad.node import endpoint_list as endpoint_list_module
from sesameroad.platform import endpoint_rows
from sesameroad.platform import row_store
from sesameroad.telemetry import log

_STEP = "watch endpoints"
# Delay before a failed read is repeated. The store limits the call rate of all
# instances together.
_RETRY_S = 0.4


class EndpointWatcher:
    """Updates the list of endpoints from the store, or once from a peer."""

    __slots__ = (
        "_changed",
        "_endpoint_list",
        "_failed",
        "_read_requested",
        "_period_s",
        "_store",
        "_unusable",
    )

    def __init__(
        self,
        *,
        store: row_store.RowStore,
        endpoint_list: endpoint_list_module.EndpointList,
        period_s: Callable[[], float],
        changed: Callable[[], None],
        failed: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a watcher that has not read anything yet.

        Args:
            store: Row store of the platform.
            endpoint_list: Receives each list that is read.
            period_s: Returns the time between reads, in seconds.
            changed: Called after each read.
            failed: Called after each read that has failed.
        """
        self._store = store
        self._endpoint_list = endpoint_list
        self._period_s = period_s
        self._changed = changed
        self._failed = failed
        self._read_requested = asyncio.Event()
        # Last version of each row that was reported as unusable.
        self._unusable: dict[str, int] = {}

    def read_now(self) -> None:
        """Reads the list without waiting for the end of the period."""
        self._read_requested.set()

    async def run(self) -> None:
        """Reads the list until cancelled."""
        table = dependency.Dependency("the endpoint table", step=_STEP)
        period_s = due_s = self._period_s()
        failed = False
        while True:
            if not failed:
                # A new leader reads before the long period of an idle instance
                # ends, which must not look like an outage of the store.
                due_s = min(period_s, self._endpoint_list.age_s)
            period_s = self._period_s()
            # A request during the read is for a later list than the one that
            # is being read.
            self._read_requested.clear()
            self._endpoint_list.begin_read()
            try:
                snapshot = await self._store.read(
                    endpoint_rows.TABLE, step=_STEP
                )
                failed = False
                table.record_success()
                self._apply(snapshot, due_s)
            except errors.PlatformError as error:
                failed = True
                table.record_failure(error)
                period_s = _RETRY_S
                self._failed()
            try:
                async with asyncio.timeout(period_s):
                    await self._read_requested.wait()
            except TimeoutError:
                continue

    def encode(self) -> bytes:
        """Encodes the endpoints in use for a peer."""
        return msgspec.json.encode(list(self._endpoint_list.live))

    def adopt(self, content: bytes, *, source: str) -> None:
        """Uses the endpoints of a peer until the store can be read."""
        try:
            rows = strict_json.decode(content, list[msgspec.Raw])
            adopted, malformed = strict_json.decode_each(
                rows, endpoints.Endpoint
            )
        except errors.MalformedError as error:
            adopted, malformed = [], [error]
        if malformed:
            log.problem(
                "endpoints of a peer cannot be read",
                step="receive",
                peer=source,
                count=len(malformed),
                error=str(malformed[0]),
            )
        if not adopted:
            return
        if self._endpoint_list.adopt(adopted):
            log.event(
                "endpoints taken from a peer",
                step=_STEP,
                peer=source,
                count=len(adopted),
            )
            self._changed()

    def _apply(self, snapshot: row_store.Snapshot, due_s: float) -> None:
        before = {e.id: e.leaving for e in self._endpoint_list.live}
        listed: list[endpoints.Endpoint] = []
        unusable: set[str] = set()
        for row in snapshot.rows:
            match endpoint_rows.decode(row):
                case endpoint_rows.Unusable(reason=reason):
                    unusable.add(row.key)
                    self._log_unusable(row, reason)
                case endpoints.Endpoint() as endpoint:
                    listed.append(endpoint)
        self._endpoint_list.apply(listed, period_s=due_s, unusable=unusable)
        after = {e.id: e.leaving for e in self._endpoint_list.live}
        if after != before:
            log.event(
                "endpoints changed",
                step=_STEP,
                added=sorted(after.keys() - before.keys()),
                gone=sorted(before.keys() - after.keys()),
                leaving=sorted(
                    name for name, is_leaving in after.items() if is_leaving
                ),
            )
        self._changed()

    def _log_unusable(self, row: row_store.Row, reason: str) -> None:
        """Logs a row without a usable endpoint, once per version."""
        if self._unusable.get(row.key) == row.version:
            return
        self._unusable[row.key] = row.version
        log.problem(
            "a row of the endpoint table names no endpoint to use",
            step=_STEP,
            peer=row.key,
            version=row.version,
            error=reason,
        )
