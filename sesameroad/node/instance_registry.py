"""The instances that announce themselves in the store."""

import dataclasses
import math

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import instances
from sesameroad.model import strict_json
from sesameroad.telemetry import log

TABLE = "instances"
# A row whose write time is older than this is left over from an instance that
# is gone. The wall clocks of writer and reader may differ by several seconds.
_STALE_MS = 20_000
# A row that has not changed for this time is removed from the store. A live
# instance that could not write for so long will write its row again.
_ABANDONED_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """Content of the row in which an instance announces itself.

    Attributes:
        data_centre: Data centre where it runs.
        address: Host and port of its peer service.
        beat: Number of the write, which makes each write change the row.
        written_ms: Wall-clock time of the write, in milliseconds since 1970.
        tokens: Fencing token for each data centre that it is the leader of.
    """

    data_centre: strict_json.Name
    address: strict_json.HostPort
    beat: strict_json.Count = 0
    written_ms: strict_json.Count = 0
    tokens: dict[strict_json.Name, strict_json.Count] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _Entry:
    announcement: Announcement
    version: int
    first_seen_at: float
    changed_at: float


class InstanceRegistry:
    """Known instances by id, with the times of their announcements."""

    __slots__ = ("_clock", "_entries", "_fresh_s", "_read_at", "_unreadable")

    def __init__(self, *, clock: clocks.Clock, fresh_s: float) -> None:
        """Creates an empty registry.

        Args:
            clock: Time source.
            fresh_s: Maximum age of an announcement that shows a live instance.
        """
        self._clock = clock
        self._fresh_s = fresh_s
        self._entries: dict[str, _Entry] = {}
        # Time of the last read of the table.
        self._read_at = -math.inf
        # Last version of each row that was reported as unreadable.
        self._unreadable: dict[str, int] = {}

    @property
    def instances(self) -> list[instances.Instance]:
        """Instances that may be alive.

        Excludes stale rows: the row of a replaced instance stays for a while,
        and connecting to its address takes a second to fail, which would delay
        the start of this instance.
        """
        return [
            instances.Instance(
                name, entry.announcement.data_centre, entry.announcement.address
            )
            for name, entry in self._entries.items()
            if not self._is_stale(entry)
        ]

    @property
    def abandoned(self) -> dict[str, int]:
        """Versions of the rows to remove from the store, by instance id."""
        limit = self._clock.monotonic() - _ABANDONED_S
        return {
            name: entry.version
            for name, entry in self._entries.items()
            if max(entry.first_seen_at, entry.changed_at) < limit
        }

    def update(self, name: str, *, version: int, value: bytes) -> None:
        """Applies a row that was read; a malformed row removes its instance."""
        known = self._entries.get(name)
        if known is not None and known.version == version:
            return
        try:
            announcement = strict_json.decode(value, Announcement)
        except errors.MalformedError as error:
            self._entries.pop(name, None)
            self._log_unreadable(name, version, error)
            return
        now = self._clock.monotonic()
        if known is None:
            # The first read of a row does not show that its writer is alive;
            # only a change does.
            entry = _Entry(announcement, version, now, -math.inf)
        else:
            entry = _Entry(announcement, version, known.first_seen_at, now)
        self._entries[name] = entry

    def retain(self, names: set[str]) -> None:
        """Removes all instances except those named, at the end of a read."""
        self._read_at = self._clock.monotonic()
        for name in self._entries.keys() - names:
            del self._entries[name]

    def _log_unreadable(
        self, name: str, version: int, error: Exception
    ) -> None:
        """Logs an unreadable row, once per version."""
        if self._unreadable.get(name) == version:
            return
        self._unreadable[name] = version
        log.problem(
            "the row of an instance cannot be read",
            step="read instances",
            peer=name,
            version=version,
            error=str(error),
        )

    def _is_stale(self, entry: _Entry) -> bool:
        """Returns whether a row is old and has not changed since first read."""
        age_ms = self._clock.wall_ms() - entry.announcement.written_ms
        return entry.changed_at == -math.inf and age_ms > _STALE_MS

    def fresh_announcements(self) -> dict[str, Announcement]:
        """Returns the announcements that show a live instance."""
        limit = self._clock.monotonic() - self._fresh_s
        return {
            name: entry.announcement
            for name, entry in self._entries.items()
            if entry.changed_at >= limit
        }

    def announced_leaders(self) -> dict[str, Announcement]:
        """Returns the announcements of leaders that lived at the last read.

        While the store cannot be read, they stay as they were. The first read of a
        row counts as well, as its writer may be alive.
        """
        limit = self._read_at - self._fresh_s
        return {
            name: entry.announcement
            for name, entry in self._entries.items()
            if entry.announcement.tokens
            and max(entry.first_seen_at, entry.changed_at) >= limit
            and not self._is_stale(entry)
        }
