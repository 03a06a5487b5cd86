"""Outcomes that a home leaves behind when it stops gracefully."""

import array
import asyncio
import bisect
import collections
import dataclasses

import msgspec

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.ownership import ledger as ledgers
from sesameroad.platform import object_store
from sesameroad.telemetry import log

_OBJECT_PREFIX = "handoffs/"
_MAX_OUTCOME_BYTES = 2 * 1024 * 1024
_WRITE_TRIES = 3
_WRITE_RETRY_S = 0.5
_MAX_CACHED = 8
# How long it is remembered that an incarnation left no object. The object
# appears within this time of the end of a graceful stop.
_ABSENT_S = 1.0
_PATIENCE_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """One outcome; which attributes are set tells its type."""

    digest: str
    answers: tuple[bytes, ...] | None = None
    cause: str = ""
    detail: str = ""
    may_have_run: bool | None = None

    @classmethod
    def from_closed(cls, closed: ledgers.Closed) -> "Stored":
        """Returns the form of an outcome that is written."""
        match closed.outcome:
            case outcomes.Complete(answers=answers):
                return cls(closed.digest, answers=answers)
            case outcomes.Failed(cause, detail, may_have_run):
                return cls(
                    closed.digest,
                    cause=cause.value,
                    detail=detail,
                    may_have_run=may_have_run,
                )
            case outcomes.Unknown(cause, detail) | outcomes.NotRun(
                cause, detail
            ):
                return cls(closed.digest, cause=cause.value, detail=detail)

    @property
    def outcome(self) -> outcomes.Outcome:
        """The outcome."""
        if self.answers is not None:
            return outcomes.Complete(self.answers)
        cause = outcomes.Cause(self.cause)
        if self.may_have_run is not None:
            return outcomes.Failed(cause, self.detail, self.may_have_run)
        return outcomes.Unknown(cause, self.detail)

    @property
    def size(self) -> int:
        """Approximate size in the object."""
        answers = sum(len(answer) for answer in self.answers or ())
        return answers * 4 // 3 + len(self.detail) + 100


@dataclasses.dataclass(slots=True, frozen=True)
class Handoff:
    """What a stopped incarnation may have run; everything else it did not.

    Attributes:
        incarnation: The incarnation, which starts nothing any more.
        forgotten_ms: Keys that expire up to this wall time may have run.
        kept: Outcomes by key.
        spent: Hashes of keys that may have run, as sorted 64-bit numbers.
    """

    incarnation: str
    forgotten_ms: int
    kept: dict[str, Stored]
    spent: bytes

    @classmethod
    def from_snapshot(
        cls, incarnation: str, snapshot: ledgers.Snapshot
    ) -> "Handoff":
        """Returns the object of a snapshot, bounded in size.

        The newest outcomes are kept; of older ones only a hash of the key is.
        """
        spent = array.array("Q", snapshot.spent)
        kept: dict[str, Stored] = {}
        size = 0
        for key, closed in reversed(snapshot.closed.items()):
            stored = Stored.from_closed(closed)
            size += stored.size + len(key)
            if size <= _MAX_OUTCOME_BYTES:
                kept[key] = stored
            else:
                spent.append(ledgers.key_hash(key, incarnation))
        packed = array.array("Q", sorted(spent)).tobytes()
        return cls(incarnation, snapshot.forgotten_ms, kept, packed)

    def answer(
        self, key: str, *, digest: str | None, expiry_ms: int
    ) -> outcomes.Outcome:
        """Returns the outcome of a key of the incarnation.

        Args:
            key: Name of the work.
            digest: Hash of the body, None for a question about status.
            expiry_ms: Expiry of the key in wall time.
        """
        stored = self.kept.get(key)
        if stored is not None:
            if digest is not None and stored.digest not in {"", digest}:
                return outcomes.NotRun(
                    outcomes.Cause.KEY_REUSED, "the key names other work"
                )
            return stored.outcome
        if expiry_ms <= self.forgotten_ms or self._is_spent(key):
            return outcomes.Unknown(
                outcomes.Cause.HOME_STOPPED,
                "the home of the key has stopped without its outcome",
            )
        return outcomes.NotRun(
            outcomes.Cause.HOME_STOPPED,
            "the home of the key has stopped and did not run it",
        )

    def _is_spent(self, key: str) -> bool:
        wanted = ledgers.key_hash(key, self.incarnation)
        hashes = memoryview(self.spent).cast("Q")
        at = bisect.bisect_left(hashes, wanted)
        return at < len(hashes) and hashes[at] == wanted


class Handoffs:
    """Writes the object of this incarnation and reads those of others."""

    __slots__ = ("_absent_until", "_cache", "_clock", "_objects", "_reads")

    def __init__(
        self, *, objects: object_store.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._cache: collections.OrderedDict[str, Handoff] = (
            collections.OrderedDict()
        )
        self._absent_until: dict[str, float] = {}
        self._reads: dict[str, asyncio.Task[Handoff | None]] = {}

    async def write(self, incarnation: str, ledger: ledgers.Ledger) -> bool:
        """Writes the object of a stopped ledger; returns whether it is there.

        Without it, keys of the incarnation stay unknown.

        Raises:
            SesameroadError: If the ledger may still start something.
        """
        handoff = Handoff.from_snapshot(incarnation, ledger.snapshot())
        body = msgspec.json.encode(handoff)
        for _ in range(_WRITE_TRIES):
            try:
                await self._objects.put(
                    _OBJECT_PREFIX + incarnation, body, step="hand off"
                )
                return True
            except errors.PlatformError as error:
                log.problem(
                    "the hand-off is not written",
                    step=error.step,
                    peer=error.peer,
                    error=str(error),
                )
                await asyncio.sleep(_WRITE_RETRY_S)
        return False

    async def find(self, incarnation: str) -> Handoff | None:
        """Returns the object of an incarnation, None if it cannot be read.

        None says nothing about the incarnation: it may be alive, killed, about
        to write the object, or the platform may be down.
        """
        known = self._cache.get(incarnation)
        if known is not None:
            self._cache.move_to_end(incarnation)
            return known
        now = self._clock.monotonic()
        if now < self._absent_until.get(incarnation, 0.0):
            return None
        reading = self._reads.get(incarnation)
        if reading is None:
            reading = asyncio.create_task(
                self._read(incarnation), name=f"hand-off {incarnation}"
            )
            self._reads[incarnation] = reading
        await asyncio.wait([reading], timeout=_PATIENCE_S)
        return reading.result() if reading.done() else None

    async def _read(self, incarnation: str) -> Handoff | None:
        handoff = None
        try:
            body = await self._objects.get(
                _OBJECT_PREFIX + incarnation, step="read hand-off"
            )
            if body is not None:
                handoff = msgspec.json.decode(body, type=Handoff)
        except (errors.PlatformError, msgspec.MsgspecError) as error:
            log.problem(
                "a hand-off cannot be read",
                step="read hand-off",
                error=str(error),
            )
        finally:
            del self._reads[incarnation]
        now = self._clock.monotonic()
        if handoff is None:
            self._absent_until = {
                known: until
                for known, until in self._absent_until.items()
                if until > now
            }
            self._absent_until[incarnation] = now + _ABSENT_S
            return None
        self._cache[incarnation] = handoff
        if len(self._cache) > _MAX_CACHED:
            self._cache.popitem(last=False)
        return handoff
