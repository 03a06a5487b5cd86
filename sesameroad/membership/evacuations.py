"""The data centres that are evacuated, as of a version of the store.

Load: operators change the state a few times a day. It is read for each start
and for each arriving job, and compared with each heartbeat, a few hundred times
a second.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from sesameroad.telemetry import log

# Version of a state that neither the store nor a peer has shown.
UNKNOWN = 0


class Evacuations:
    """Holds the newest known state; a higher version replaces a lower one.

    The state is replaced as a whole, so that an old one never brings back an
    evacuation that has been revoked.
    """

    __slots__ = ("_changed", "_data_centres", "_known", "_table", "_version")

    def __init__(self, changed: Callable[[], None] = lambda: None) -> None:
        """Creates an unknown state without evacuated data centres.

        Args:
            changed: Called after the set of evacuated data centres has changed.
        """
        self._changed = changed
        self._version = UNKNOWN
        self._data_centres: frozenset[str] = frozenset()
        # What this instance itself has read. Changes in a feed refer to it and
        # not to a newer state of a peer.
        self._table: set[str] = set()
        self._known = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the store that the state was read at, 0 if unknown."""
        return self._version

    @property
    def data_centres(self) -> frozenset[str]:
        """The evacuated data centres."""
        return self._data_centres

    def covers(self, data_centre: str) -> bool:
        """Returns whether a data centre is evacuated."""
        return data_centre in self._data_centres

    async def wait_known(self, timeout_s: float) -> bool:
        """Waits until a state is known and returns whether one is."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._known.wait()
        except TimeoutError:
            return False
        return True

    def read(
        self,
        version: int,
        *,
        added: Iterable[str],
        removed: Iterable[str] = (),
        complete: bool,
    ) -> None:
        """Applies what the store has returned.

        Args:
            version: Version of the store at this read.
            added: Data centres whose rows were read.
            removed: Data centres whose rows have been removed.
            complete: Whether the whole table was read, not only its changes.
        """
        if complete:
            self._table.clear()
        self._table.update(added)
        self._table.difference_update(removed)
        self.adopt(version, self._table, source="platform")

    def adopt(
        self, version: int, data_centres: Iterable[str], *, source: str
    ) -> None:
        """Applies a state if it is newer than the known one.

        Args:
            version: Version of the store that it was read at.
            data_centres: The evacuated data centres.
            source: Origin of the state: "platform" or the id of a peer.
        """
        if version <= self._version:
            return
        self._version = version
        self._known.set()
        former, self._data_centres = self._data_centres, frozenset(data_centres)
        for text, names in (
            ("data centre evacuated", self._data_centres - former),
            ("data centre taken back", former - self._data_centres),
        ):
            for name in sorted(names):
                log.event(
                    text,
                    step="evacuate",
                    data_centre=name,
                    version=version,
                    peer=source,
                )
        if self._data_centres != former:
            self._changed()
