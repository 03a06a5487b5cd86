"""The other instances, as their rows in the store name them."""

import dataclasses

import msgspec

from sesameroad.model import clock as clocks
from sesameroad.model import instance as instances

TABLE = "instances"


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """What an instance says of itself in its row.

    Attributes:
        data_centre: Data centre where it runs.
        address: Host and port of its peer service.
        beat: Counts its writes, so that each write changes the row.
        tokens: Token of each data centre whose steward it is.
    """

    data_centre: str
    address: str
    beat: int = 0
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Entry:
    announcement: Announcement
    version: int
    changed_at: float


class Roster:
    """Instances by id, with the age of their last announcement."""

    __slots__ = ("_clock", "_entries", "_fresh_s")

    def __init__(self, *, clock: clocks.Clock, fresh_s: float) -> None:
        """Creates an empty roster.

        Args:
            clock: Time source.
            fresh_s: Age up to which an announcement shows a live instance.
        """
        self._clock = clock
        self._fresh_s = fresh_s
        self._entries: dict[str, _Entry] = {}

    @property
    def instances(self) -> list[instances.Instance]:
        """All instances known."""
        return [
            instances.Instance(
                name, entry.announcement.data_centre, entry.announcement.address
            )
            for name, entry in self._entries.items()
        ]

    def read(self, name: str, *, version: int, value: bytes) -> None:
        """Takes a row; a row that cannot be read names no instance."""
        known = self._entries.get(name)
        if known is not None and known.version == version:
            return
        try:
            announcement = msgspec.json.decode(value, type=Announcement)
        except msgspec.MsgspecError:
            self._entries.pop(name, None)
            return
        # The first sight of a row says nothing of its age.
        changed_at = self._clock.monotonic() if known is not None else -1e9
        self._entries[name] = _Entry(announcement, version, changed_at)

    def keep(self, names: set[str]) -> None:
        """Forgets instances whose rows were removed."""
        for name in self._entries.keys() - names:
            del self._entries[name]

    def fresh(self) -> dict[str, Announcement]:
        """Returns the announcements that show a live instance."""
        since = self._clock.monotonic() - self._fresh_s
        return {
            name: entry.announcement
            for name, entry in self._entries.items()
            if entry.changed_at >= since
        }
