"""Hand-offs: outcomes that a home stores when it stops gracefully."""

import array
import asyncio
import bisect
import collections
import dataclasses

import msgspec

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.model import strict_json
from sesameroad.ownership import ledger as ledger_module
from sesameroad.platform import object_store
from sesameroad.telemetry import log

_OBJECT_PREFIX = "handoffs/"
_MAX_OUTCOME_BYTES = 2 * 1024 * 1024
_WRITE_ATTEMPTS = 3
_WRITE_RETRY_DELAY_S = 0.5
_MAX_CACHED = 8
# How long the absence of an object is cached. An incarnation that stops
# gracefully writes its object within this time of the end of the stop.
_ABSENT_TTL_S = 1.0
_READ_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class StoredOutcome:
    """An encoded outcome. The attributes that are set determine its type."""

    digest: str
    answers: tuple[bytes, ...] | None = None
    cause: str = ""
    detail: str = ""
    may_have_run: bool | None = None

    @classmethod
    def from_closed(cls, closed: ledger_module.ClosedRecord) -> "StoredOutcome":
        """Returns the encodable form of a closed record."""
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
        """Approximate size in bytes in the encoded object."""
        answers = sum(len(answer) for answer in self.answers or ())
        return answers * 4 // 3 + len(self.detail) + 100


@dataclasses.dataclass(slots=True, frozen=True)
class Handoff:
    """The keys that a stopped incarnation may have run; it ran no others.

    Attributes:
        incarnation: The stopped incarnation, which starts no more tasks.
        forgotten_ms: Keys that expire up to this wall time may have run.
        kept: Outcomes by key.
        spent: Hashes of keys that may have run, as sorted 64-bit numbers.
    """

    incarnation: str
    forgotten_ms: int
    kept: dict[str, StoredOutcome]
    spent: bytes

    @classmethod
    def from_snapshot(
        cls, incarnation: str, snapshot: ledger_module.Snapshot
    ) -> "Handoff":
        """Returns the hand-off of a snapshot, bounded in size.

        The newest outcomes are kept. Older ones are reduced to key hashes.
        """
        spent = array.array("Q", snapshot.spent)
        kept: dict[str, StoredOutcome] = {}
        size = 0
        for key, closed in reversed(snapshot.closed.items()):
            stored = StoredOutcome.from_closed(closed)
            size += stored.size + len(key)
            if size <= _MAX_OUTCOME_BYTES:
                kept[key] = stored
            else:
                spent.append(ledger_module.key_hash(key, incarnation))
        packed = array.array("Q", sorted(spent)).tobytes()
        return cls(incarnation, snapshot.forgotten_ms, kept, packed)

    def answer(
        self, key: str, *, digest: str | None, expiry_ms: int
    ) -> outcomes.Outcome:
        """Returns the outcome of a key whose home was the incarnation.

        Args:
            key: Name of the work.
            digest: Hash of the body, None for a status query.
            expiry_ms: Wall time when the key expires.
        """
        stored = self.kept.get(key)
        if stored is not None:
            if digest is not None and stored.digest not in {"", digest}:
                return outcomes.NotRun(
                    outcomes.Cause.KEY_REUSED, "the key names other work"
                )
            return stored.outcome
        if expiry_ms <= self.forgotten_ms or self._may_have_run(key):
            return outcomes.Unknown(
                outcomes.Cause.HOME_STOPPED,
                "the home of the key has stopped without its outcome",
            )
        return outcomes.NotRun(
            outcomes.Cause.HOME_STOPPED,
            "the home of the key has stopped and did not run it",
        )

    def _may_have_run(self, key: str) -> bool:
        key_hash = ledger_module.key_hash(key, self.incarnation)
        hashes = memoryview(self.spent).cast("Q")
        index = bisect.bisect_left(hashes, key_hash)
        return index < len(hashes) and hashes[index] == key_hash


class HandoffStore:
    """Writes the hand-off of this incarnation and reads those of others."""

    __slots__ = ("_absent_until", "_cache", "_clock", "_objects", "_read_tasks")

    def __init__(
        self, *, objects: object_store.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._cache: collections.OrderedDict[str, Handoff] = (
            collections.OrderedDict()
        )
        self._absent_until: dict[str, float] = {}
        self._read_tasks: dict[str, asyncio.Task[Handoff | None]] = {}

    async def write(
        self, incarnation: str, ledger: ledger_module.Ledger
    ) -> bool:
        """Writes the hand-off of a stopped ledger; returns whether that worked.

        Without a hand-off, the outcomes of the incarnation's keys are unknown.

        Raises:
            SesameroadError: If the ledger may still start tasks.
        """
        handoff = Handoff.from_snapshot(incarnation, ledger.snapshot())
        body = msgspec.json.encode(handoff)
        for _ in range(_WRITE_ATTEMPTS):
            try:
                await self._objects.put(
                    _OBJECT_PREFIX + incarnation, body, step="hand off"
                )
                return True
            except errors.PlatformError as error:
                log.problem(
                    "the hand-off could not be written",
                    step=error.step,
                    peer=error.peer,
                    error=str(error),
                )
                await asyncio.sleep(_WRITE_RETRY_DELAY_S)
        return False

    async def find(self, incarnation: str) -> Handoff | None:
        """Returns the hand-off of an incarnation, or None if it cannot be read.

        None does not tell the state of the incarnation: it may be alive, killed
        or about to write its hand-off, or the platform may be down.
        """
        cached = self._cache.get(incarnation)
        if cached is not None:
            self._cache.move_to_end(incarnation)
            return cached
        now = self._clock.monotonic()
        if now < self._absent_until.get(incarnation, 0.0):
            return None
        read_task = self._read_tasks.get(incarnation)
        if read_task is None:
            read_task = asyncio.create_task(
                self._read(incarnation), name=f"hand-off {incarnation}"
            )
            self._read_tasks[incarnation] = read_task
        await asyncio.wait([read_task], timeout=_READ_TIMEOUT_S)
        return read_task.result() if read_task.done() else None

    async def _read(self, incarnation: str) -> Handoff | None:
        handoff = None
        try:
            body = await self._objects.get(
                _OBJECT_PREFIX + incarnation, step="read hand-off"
            )
            if body is not None:
                handoff = strict_json.decode(body, Handoff)
        except (errors.PlatformError, errors.MalformedError) as error:
            log.problem(
                "a hand-off could not be read",
                step="read hand-off",
                error=str(error),
            )
        finally:
            del self._read_tasks[incarnation]
        now = self._clock.monotonic()
        if handoff is None:
            self._absent_until = {
                absent: until
                for absent, until in self._absent_until.items()
                if until > now
            }
            self._absent_until[incarnation] = now + _ABSENT_TTL_S
            return None
        self._cache[incarnation] = handoff
        if len(self._cache) > _MAX_CACHED:
            self._cache.popitem(last=False)
        return handoff
