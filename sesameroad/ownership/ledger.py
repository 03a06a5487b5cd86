"""The ledger: what this incarnation has accepted, started and finished."""

import array
import asyncio
from collections.abc import Iterator
import dataclasses
from typing import Self

import xxhash

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works

# Marks are dropped together when the last key of their period has expired.
_MARK_PERIOD_MS = 30_000
_ANY_DIGEST = ""
_NOT_KEPT = outcomes.Unknown(
    outcomes.Cause.OVERLOAD, "the outcome of the key is no longer kept"
)


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """Accepted work whose outcome is not decided, or was decided just now.

    Attributes:
        work: The request or submission; its payloads are dropped on finish.
        digest: Hash of the body, to detect reuse of the key for other work.
        expiry_ms: Wall time after which nothing is started or answered.
        remember: Whether the outcome is kept until the key expires.
        accepted_at: Monotonic seconds when the work was accepted.
        starts: For each task, the starts taken and not given back. An
            idempotent request may have several.
        started: Sum of the starts.
        answers: Answers so far, by task index.
        held_bytes: Size of payloads and answers.
        done: Completed with the outcome.
    """

    work: works.Work
    digest: str
    expiry_ms: int
    remember: bool
    accepted_at: float
    starts: bytearray
    started: int
    answers: dict[int, bytes]
    held_bytes: int
    done: asyncio.Future[outcomes.Outcome]

    @classmethod
    def from_work(
        cls,
        work: works.Work,
        *,
        digest: str,
        expiry_ms: int,
        remember: bool = False,
        accepted_at: float = 0.0,
    ) -> Self:
        """Returns a record of work of which nothing has started."""
        return cls(
            work=work,
            digest=digest,
            expiry_ms=expiry_ms,
            remember=remember,
            accepted_at=accepted_at,
            starts=bytearray(len(work.tasks)),
            started=0,
            answers={},
            held_bytes=sum(len(task.payload) for task in work.tasks),
            done=asyncio.get_running_loop().create_future(),
        )

    @property
    def finished(self) -> bool:
        """Whether the outcome is decided."""
        return self.done.done()

    @property
    def not_started(self) -> bool:
        """Whether nothing of the work may have run."""
        return not self.started


@dataclasses.dataclass(slots=True, frozen=True)
class ClosedRecord:
    """The decided outcome of a key that a caller holds.

    Attributes:
        digest: Hash of the body, empty if it is no longer known.
        expiry_ms: Wall time after which the outcome is dropped.
        outcome: The outcome.
    """

    digest: str
    expiry_ms: int
    outcome: outcomes.Outcome

    def matches_digest(self, digest: str) -> bool:
        """Returns whether a body may be the one that the key names."""
        return self.digest in {_ANY_DIGEST, digest}


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """What a stopped ledger knows, for the hand-off.

    Attributes:
        closed: Decided outcomes, refusals left out.
        spent: Hashes of keys that may have run and whose outcome is not known.
        forgotten_ms: Keys that expire up to this wall time may have run.
    """

    closed: dict[str, ClosedRecord]
    spent: array.array
    forgotten_ms: int


def key_hash(key: str, incarnation: str) -> int:
    """Returns the 64 bits that stand for a key in marks of an incarnation.

    Another key with the same hash is refused or answered "unknown" although it
    was never seen, which is true: a marked key is not run.
    """
    return xxhash.xxh3_64_intdigest(key.encode(), seed=int(incarnation, 16))


class Ledger:
    """Records of this incarnation, by key.

    A key passes from an open record to a closed one, or to a mark, which is a
    hash of the key and a shared outcome: about a tenth of the size of a record.
    Refusals become marks at once; closed records do when room is needed.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_closed",
        "_forgotten_ms",
        "_held_bytes",
        "_incarnation",
        "_mark_count",
        "_marks",
        "_max_held_bytes",
        "_max_marks",
        "_max_records",
        "_records",
        "_refusals",
        "_stopped",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        max_records: int,
        max_marks: int,
        max_held_bytes: int,
        incarnation: str,
    ) -> None:
        self._clock = clock
        self._max_records = max_records
        self._max_marks = max_marks
        self._max_held_bytes = max_held_bytes
        self._incarnation = incarnation
        self._records: dict[str, Record] = {}
        self._closed: dict[str, ClosedRecord] = {}
        # Keys of closed records with answers, the oldest first, and their size.
        self._answered: dict[str, int] = {}
        self._marks: dict[int, dict[int, outcomes.Outcome]] = {}
        self._mark_count = 0
        self._refusals: dict[outcomes.Cause, outcomes.NotRun] = {}
        self._held_bytes = 0
        self._forgotten_ms = 0
        self._stopped = False

    @property
    def records(self) -> dict[str, Record]:
        """Records whose outcome is not decided, by key."""
        return self._records

    @property
    def size(self) -> int:
        """Number of open and closed records."""
        return len(self._records) + len(self._closed)

    @property
    def marks(self) -> int:
        """Number of marks."""
        return self._mark_count

    @property
    def held_bytes(self) -> int:
        """Size of all payloads and answers held."""
        return self._held_bytes

    @property
    def forgotten_ms(self) -> int:
        """Latest expiry of a key that was dropped.

        A key that expires up to then is not accepted again, so that a clock
        that is set back cannot bring a dropped key to a second run.
        """
        return self._forgotten_ms

    def find(self, key: str) -> Record | ClosedRecord | None:
        """Returns what is known of a key, or None."""
        known = self._records.get(key) or self._closed.get(key)
        if known is not None or not self._mark_count:
            return known
        hashed = key_hash(key, self._incarnation)
        for period, marks in self._marks.items():
            outcome = marks.get(hashed)
            if outcome is not None:
                return ClosedRecord(
                    _ANY_DIGEST, (period + 1) * _MARK_PERIOD_MS, outcome
                )
        return None

    def check(self, *, expiry_ms: int, remember: bool) -> None:
        """Checks that a key without a record was never accepted here.

        Raises:
            KeyExpiredError: If the key has expired, or may have been dropped.
            LedgerStoppedError: If this incarnation starts nothing any more.
        """
        if self._clock.wall_ms() >= expiry_ms or (
            remember and expiry_ms <= self._forgotten_ms
        ):
            raise errors.KeyExpiredError("the key has expired", step="accept")
        if self._stopped:
            raise errors.LedgerStoppedError(
                "this entry is stopping", step="accept"
            )

    def open(
        self, work: works.Work, *, digest: str, expiry_ms: int, remember: bool
    ) -> Record:
        """Adds a record for work that has none yet.

        Args:
            work: The request or submission.
            digest: Hash of its body.
            expiry_ms: Wall time when its key expires.
            remember: Whether to keep the outcome until then.

        Raises:
            KeyExpiredError: If the key has expired, or may have been dropped.
            LedgerStoppedError: If this incarnation starts nothing any more.
            LedgerFullError: If a bound of the settings is reached.
        """
        self.check(expiry_ms=expiry_ms, remember=remember)
        payload_bytes = sum(len(task.payload) for task in work.tasks)
        self._make_room(payload_bytes)
        record = Record.from_work(
            work,
            digest=digest,
            expiry_ms=expiry_ms,
            remember=remember,
            accepted_at=self._clock.monotonic(),
        )
        self._records[work.key] = record
        self._held_bytes += payload_bytes
        return record

    def refuse(
        self, key: str, *, expiry_ms: int, cause: outcomes.Cause
    ) -> bool:
        """Keeps the refusal of a key without a record; returns whether it can.

        The ledger of a stopped incarnation keeps every refusal, because it
        starts nothing any more.
        """
        return self._stopped or self._mark(
            key, expiry_ms, self._shared_refusal(cause)
        )

    def start(self, record: Record, index: int) -> None:
        """Takes the start of a task. Nothing is sent to an endpoint without it.

        Callers await nothing between this check and the write of the send, so
        that a pause of the process cannot come between a wait and the check.

        Raises:
            StartRefusedError: If the work is finished, the key has expired,
                this incarnation has stopped, or a task that must not repeat was
                started before.
        """
        if self._stopped:
            raise errors.StartRefusedError("stopped", step="start")
        if record.finished:
            raise errors.StartRefusedError("already finished", step="start")
        if self._records.get(record.work.key) is not record:
            raise errors.StartRefusedError("no record", step="start")
        if self._clock.wall_ms() >= record.expiry_ms:
            raise errors.StartRefusedError("key expired", step="start")
        if record.starts[index] and not record.work.idempotent:
            raise errors.StartRefusedError("started before", step="start")
        record.starts[index] += 1
        record.started += 1

    def return_start(self, record: Record, index: int) -> None:
        """Returns one start of which certainly nothing ran."""
        if record.starts[index]:
            record.starts[index] -= 1
            record.started -= 1

    def add_answer(self, record: Record, index: int, body: bytes) -> None:
        """Adds the answer of a task to a record that is not finished.

        Raises:
            LedgerFullError: If answers of unfinished work exceed the bound. The
                last answer of a work is always kept, since it leaves at once.
        """
        if index in record.answers:
            return
        last = len(record.answers) + 1 == len(record.work.tasks)
        if not last:
            self._evict_answers(len(body))
            if self._held_bytes + len(body) > self._max_held_bytes:
                raise errors.LedgerFullError(
                    f"{self._held_bytes} bytes held", step="keep answer"
                )
        record.answers[index] = body
        record.held_bytes += len(body)
        self._held_bytes += len(body)

    def finish(self, record: Record, outcome: outcomes.Outcome) -> bool:
        """Decides the outcome of a record; returns False if it was before."""
        if record.finished:
            return False
        record.done.set_result(outcome)
        key = record.work.key
        del self._records[key]
        self._held_bytes -= record.held_bytes
        record.work = _without_payloads(record.work)
        record.answers = {}
        if record.remember:
            self._remember(
                key, ClosedRecord(record.digest, record.expiry_ms, outcome)
            )
        return True

    def sweep(self) -> int:
        """Drops outcomes whose key has expired; returns how many."""
        now_ms = self._clock.wall_ms()
        expired = [
            key
            for key, closed in self._closed.items()
            if now_ms >= closed.expiry_ms
        ]
        for key in expired:
            closed = self._remove_closed(key)
            self._forget(closed.expiry_ms)
        dropped = len(expired)
        for period in tuple(self._marks):
            end_ms = (period + 1) * _MARK_PERIOD_MS
            if now_ms >= end_ms:
                dropped += len(self._marks[period])
                self._mark_count -= len(self._marks.pop(period))
                self._forget(end_ms - 1)
        return dropped

    def stop(self) -> None:
        """Ends all starts of this incarnation, for good."""
        self._stopped = True

    def snapshot(self) -> Snapshot:
        """Returns what is known of all keys that may have run.

        Raises:
            SesameroadError: If this incarnation may still start something; a
                key that is left out could then run after it was called not run.
        """
        if not self._stopped:
            raise errors.SesameroadError(
                "the ledger is not stopped", step="hand off"
            )
        spent = array.array("Q", self._spent_marks())
        for key, record in self._records.items():
            if not record.not_started:
                spent.append(key_hash(key, self._incarnation))
        closed = {
            key: known
            for key, known in self._closed.items()
            if not isinstance(known.outcome, outcomes.NotRun)
        }
        return Snapshot(closed, spent, self._forgotten_ms)

    def _spent_marks(self) -> Iterator[int]:
        for marks in self._marks.values():
            for hashed, outcome in marks.items():
                if outcome is _NOT_KEPT:
                    yield hashed

    def _make_room(self, payload_bytes: int) -> None:
        """Makes room for one record, at the cost of old outcomes.

        Raises:
            LedgerFullError: If there is none.
        """
        if self.size >= self._max_records and not self._compact_oldest():
            raise errors.LedgerFullError(
                f"{self.size} records held", step="accept"
            )
        self._evict_answers(payload_bytes)
        if self._held_bytes + payload_bytes > self._max_held_bytes:
            raise errors.LedgerFullError(
                f"{self._held_bytes} bytes held", step="accept"
            )

    def _compact_oldest(self) -> bool:
        """Turns the oldest closed record into a mark that bars its key."""
        key = next(iter(self._closed), None)
        if key is None:
            return False
        if not self._mark(key, self._closed[key].expiry_ms, _NOT_KEPT):
            return False
        self._remove_closed(key)
        return True

    def _evict_answers(self, wanted_bytes: int) -> None:
        """Drops the oldest answers until as many more bytes fit."""
        while (
            self._answered
            and self._held_bytes + wanted_bytes > self._max_held_bytes
        ):
            key = next(iter(self._answered))
            self._held_bytes -= self._answered.pop(key)
            self._closed[key] = dataclasses.replace(
                self._closed[key], outcome=_NOT_KEPT
            )

    def _remember(self, key: str, closed: ClosedRecord) -> None:
        match closed.outcome:
            case outcomes.NotRun(cause=cause):
                refusal = self._shared_refusal(cause)
                if not self._mark(key, closed.expiry_ms, refusal):
                    self._closed[key] = closed
            case outcomes.Complete(answers=answers):
                size = sum(len(answer) for answer in answers)
                self._closed[key] = closed
                self._answered[key] = size
                self._held_bytes += size
                self._evict_answers(0)
            case _:
                self._closed[key] = closed

    def _remove_closed(self, key: str) -> ClosedRecord:
        self._held_bytes -= self._answered.pop(key, 0)
        return self._closed.pop(key)

    def _mark(
        self, key: str, expiry_ms: int, outcome: outcomes.Outcome
    ) -> bool:
        if self._mark_count >= self._max_marks:
            return False
        marks = self._marks.setdefault(expiry_ms // _MARK_PERIOD_MS, {})
        before = len(marks)
        hashed = key_hash(key, self._incarnation)
        # A key that may have run is not called "not run" for a collision.
        if marks.get(hashed) is not _NOT_KEPT:
            marks[hashed] = outcome
        self._mark_count += len(marks) - before
        return True

    def _shared_refusal(self, cause: outcomes.Cause) -> outcomes.NotRun:
        return self._refusals.setdefault(
            cause, outcomes.NotRun(cause, "the key was refused before")
        )

    def _forget(self, expiry_ms: int) -> None:
        self._forgotten_ms = max(self._forgotten_ms, expiry_ms)


def _without_payloads(work: works.Work) -> works.Work:
    """Returns the work with its needs, which scheduling still reads."""
    match work:
        case works.Request(task=task):
            return dataclasses.replace(work, task=works.Task(b"", task.need))
        case works.Submission(tasks=tasks):
            shared = {
                need: works.Task(b"", need) for need in {t.need for t in tasks}
            }
            return dataclasses.replace(
                work, tasks=tuple(shared[task.need] for task in tasks)
            )
