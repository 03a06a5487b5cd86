"""Keys of jobs that their callers have cancelled."""

import collections
import enum

# Time for which a cancelled key is kept. A request that was sent before the cancel
# may arrive seconds after it, and a caller without an answer sends it again.
KEPT_S = 30.0
# Bounds the memory of a flood of cancels to a few megabytes.
_MAX_KEYS = 20_000


class Result(enum.Enum):
    """What a cancel has found.

    Attributes:
        CANCELLED: A job was cancelled.
        NO_SUCH_JOB: No leader has a job of this key.
        UNCERTAIN: A leader did not answer; it may have the job.
    """

    CANCELLED = enum.auto()
    NO_SUCH_JOB = enum.auto()
    UNCERTAIN = enum.auto()


class Cancellations:
    """Recently cancelled keys, whose later attempts are not run."""

    __slots__ = ("_cancelled_at",)

    def __init__(self) -> None:
        # Time of the cancel by key, in the order in which they were added.
        self._cancelled_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._cancelled_at)

    def add(self, key: str, cancelled_at: float) -> None:
        """Adds a key; the one added first is dropped if there are too many.

        Args:
            key: The key.
            cancelled_at: Time of the cancel, which another instance may have
                taken before. The latest one of a key counts.
        """
        known = self._cancelled_at.get(key, cancelled_at)
        self._cancelled_at[key] = max(known, cancelled_at)
        self._cancelled_at.move_to_end(key)
        if len(self._cancelled_at) > _MAX_KEYS:
            self._cancelled_at.popitem(last=False)

    def contains(self, key: str, now: float) -> bool:
        """Returns whether a key was cancelled recently."""
        self._remove_expired(now)
        cancelled_at = self._cancelled_at.get(key)
        return cancelled_at is not None and now - cancelled_at < KEPT_S

    def recent(self, now: float) -> dict[str, float]:
        """Returns the age in seconds of each recent cancel by its key."""
        self._remove_expired(now)
        return {
            key: now - cancelled_at
            for key, cancelled_at in self._cancelled_at.items()
            if now - cancelled_at < KEPT_S
        }

    def _remove_expired(self, now: float) -> None:
        """Removes expired keys; one that was added late waits for its turn."""
        while self._cancelled_at:
            key, cancelled_at = next(iter(self._cancelled_at.items()))
            if now - cancelled_at < KEPT_S:
                return
            del self._cancelled_at[key]
