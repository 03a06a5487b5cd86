"""The ledger of work that this incarnation accepted, started or finished."""

import array
import asyncio
from collections.abc import Iterator
import dataclasses
from typing import Self

import xxhash

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.model import work as work_module

# Marks are grouped by expiry. A group is dropped when its last key has expired.
_MARK_PERIOD_MS = 30_000
_ANY_DIGEST = ""
_DISCARDED = outcomes.Unknown(
    outcomes.Cause.OVERLOAD, "the outcome of the key is no longer kept"
)


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """An open record: accepted work whose outcome is not decided.

    Callers that wait on it may still hold it after the outcome is decided.

    Attributes:
        work: The request or submission; finishing drops its payloads.
        digest: Hash of the body, to detect reuse of the key for other work.
        expiry_ms: Wall time after which no task is started or answered.
        remember: Whether the outcome is kept until the key expires.
        accepted_at: Monotonic seconds when the work was accepted.
        starts: Number of starts of each task, without returned ones. An
            idempotent request may have several.
        started: Sum of the starts.
        answers: Answers received so far, by task index.
        held_bytes: Size of payloads and answers.
        done: Completed with the outcome.
    """

    work: work_module.Work
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
        work: work_module.Work,
        *,
        digest: str,
        expiry_ms: int,
        remember: bool = False,
        accepted_at: float = 0.0,
    ) -> Self:
        """Returns a record of work that has not started."""
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
        """Whether no task of the work may have run."""
        return not self.started


@dataclasses.dataclass(slots=True, frozen=True)
class ClosedRecord:
    """A closed record: the decided outcome of a key that a caller holds.

    Attributes:
        digest: Hash of the body, empty if it is no longer known.
        expiry_ms: Wall time after which the outcome is dropped.
        outcome: The outcome.
    """

    digest: str
    expiry_ms: int
    outcome: outcomes.Outcome

    def matches_digest(self, digest: str) -> bool:
        """Returns whether a body matches the key, or its digest is unknown."""
        return self.digest in {_ANY_DIGEST, digest}


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """The contents of a stopped ledger, for the hand-off.

    Attributes:
        closed: Decided outcomes except refusals.
        spent: Hashes of keys that may have run and have no known outcome.
        forgotten_ms: Keys that expire up to this wall time may have run.
    """

    closed: dict[str, ClosedRecord]
    spent: array.array
    forgotten_ms: int


def key_hash(key: str, incarnation: str) -> int:
    """Returns the 64-bit hash of a key in the marks of an incarnation.

    A new key whose hash collides with a mark is refused or answered "unknown".
    Both answers are correct, because such a key is not run.
    """
    return xxhash.xxh3_64_intdigest(key.encode(), seed=int(incarnation, 16))


class Ledger:
    """Open records, closed records and marks of this incarnation, by key.

    An open record becomes a closed record or a mark. A mark is a hash of the
    key with a shared outcome and takes about a tenth of the memory of a record.
    Refusals become marks at once, closed records when the ledger is full.
    """

    __slots__ = (
        "_answer_sizes",
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
        # Sizes of the answers of closed records by key, oldest first.
        self._answer_sizes: dict[str, int] = {}
        self._marks: dict[int, dict[int, outcomes.Outcome]] = {}
        self._mark_count = 0
        self._refusals: dict[outcomes.Cause, outcomes.NotRun] = {}
        self._held_bytes = 0
        self._forgotten_ms = 0
        self._stopped = False

    @property
    def records(self) -> dict[str, Record]:
        """Open records by key."""
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
        """Size in bytes of all payloads and answers held."""
        return self._held_bytes

    @property
    def forgotten_ms(self) -> int:
        """Latest expiry, as wall time, among the keys that were dropped.

        Keys that expire no later are not accepted. Otherwise a clock that is
        set back could let a dropped key run a second time.
        """
        return self._forgotten_ms

    def find(self, key: str) -> Record | ClosedRecord | None:
        """Returns the record or mark of a key, or None."""
        record = self._records.get(key) or self._closed.get(key)
        if record is not None or not self._mark_count:
            return record
        hash_ = key_hash(key, self._incarnation)
        for period, marks in self._marks.items():
            outcome = marks.get(hash_)
            if outcome is not None:
                return ClosedRecord(
                    _ANY_DIGEST, (period + 1) * _MARK_PERIOD_MS, outcome
                )
        return None

    def check(self, *, expiry_ms: int, remember: bool) -> None:
        """Checks that a key without a record cannot have been accepted before.

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
        self,
        work: work_module.Work,
        *,
        digest: str,
        expiry_ms: int,
        remember: bool,
    ) -> Record:
        """Adds a record for work that has none.

        Args:
            work: The request or submission.
            digest: Hash of its body.
            expiry_ms: Wall time when its key expires.
            remember: Whether to keep the outcome until the key expires.

        Raises:
            KeyExpiredError: If the key has expired, or may have been dropped.
            LedgerStoppedError: If this incarnation starts nothing any more.
            LedgerFullError: If a limit in the settings is reached.
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
        """Records the refusal of a key that has no record.

        Returns False if there is no room for it. A stopped ledger always
        returns True, because it starts no more tasks.
        """
        return self._stopped or self._add_mark(
            key, expiry_ms, self._shared_refusal(cause)
        )

    def start(self, record: Record, index: int) -> None:
        """Registers the start of a task, which must precede each send of it.

        Callers must not await between this check and the write of the send. A
        process that was paused during an await thus repeats the check before it
        sends.

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
        """Takes back a start whose task certainly did not run."""
        if record.starts[index]:
            record.starts[index] -= 1
            record.started -= 1

    def add_answer(self, record: Record, index: int, body: bytes) -> None:
        """Adds the answer of a task to a record that is not finished.

        Raises:
            LedgerFullError: If answers of unfinished work exceed the limit. The
                last answer of a record is always accepted, because all of them
                are then released at once.
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
        """Sets the outcome of a record; returns False if it already had one."""
        if record.finished:
            return False
        record.done.set_result(outcome)
        key = record.work.key
        del self._records[key]
        self._held_bytes -= record.held_bytes
        record.work = _without_payloads(record.work)
        record.answers = {}
        if record.remember:
            self._close(
                key, ClosedRecord(record.digest, record.expiry_ms, outcome)
            )
        return True

    def sweep(self) -> int:
        """Drops the outcomes of expired keys; returns their number."""
        now_ms = self._clock.wall_ms()
        expired = [
            key
            for key, closed in self._closed.items()
            if now_ms >= closed.expiry_ms
        ]
        for key in expired:
            closed = self._remove_closed(key)
            self._update_forgotten_ms(closed.expiry_ms)
        dropped = len(expired)
        for period in tuple(self._marks):
            end_ms = (period + 1) * _MARK_PERIOD_MS
            if now_ms >= end_ms:
                dropped += len(self._marks[period])
                self._mark_count -= len(self._marks.pop(period))
                self._update_forgotten_ms(end_ms - 1)
        return dropped

    def stop(self) -> None:
        """Refuses all further starts of this incarnation."""
        self._stopped = True

    def snapshot(self) -> Snapshot:
        """Returns all keys that may have run, with their outcomes if known.

        Raises:
            SesameroadError: If this incarnation may still start tasks. A key
                missing from the snapshot could then run after another entry has
                reported it as not run.
        """
        if not self._stopped:
            raise errors.SesameroadError(
                "the ledger is not stopped", step="hand off"
            )
        spent = array.array("Q", self._spent_hashes())
        for key, record in self._records.items():
            if not record.not_started:
                spent.append(key_hash(key, self._incarnation))
        closed = {
            key: known
            for key, known in self._closed.items()
            if not isinstance(known.outcome, outcomes.NotRun)
        }
        return Snapshot(closed, spent, self._forgotten_ms)

    def _spent_hashes(self) -> Iterator[int]:
        for marks in self._marks.values():
            for hash_, outcome in marks.items():
                if outcome is _DISCARDED:
                    yield hash_

    def _make_room(self, payload_bytes: int) -> None:
        """Makes room for one record by discarding old outcomes.

        Raises:
            LedgerFullError: If there is not enough room.
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
        """Replaces the oldest closed record by a mark, if possible."""
        key = next(iter(self._closed), None)
        if key is None:
            return False
        if not self._add_mark(key, self._closed[key].expiry_ms, _DISCARDED):
            return False
        self._remove_closed(key)
        return True

    def _evict_answers(self, wanted_bytes: int) -> None:
        """Discards the oldest answers until as many more bytes fit."""
        while (
            self._answer_sizes
            and self._held_bytes + wanted_bytes > self._max_held_bytes
        ):
            key = next(iter(self._answer_sizes))
            self._held_bytes -= self._answer_sizes.pop(key)
            self._closed[key] = dataclasses.replace(
                self._closed[key], outcome=_DISCARDED
            )

    def _close(self, key: str, closed: ClosedRecord) -> None:
        match closed.outcome:
            case outcomes.NotRun(cause=cause):
                refusal = self._shared_refusal(cause)
                if not self._add_mark(key, closed.expiry_ms, refusal):
                    self._closed[key] = closed
            case outcomes.Complete(answers=answers):
                size = sum(len(answer) for answer in answers)
                self._closed[key] = closed
                self._answer_sizes[key] = size
                self._held_bytes += size
                self._evict_answers(0)
            case _:
                self._closed[key] = closed

    def _remove_closed(self, key: str) -> ClosedRecord:
        self._held_bytes -= self._answer_sizes.pop(key, 0)
        return self._closed.pop(key)

    def _add_mark(
        self, key: str, expiry_ms: int, outcome: outcomes.Outcome
    ) -> bool:
        if self._mark_count >= self._max_marks:
            return False
        marks = self._marks.setdefault(expiry_ms // _MARK_PERIOD_MS, {})
        count_before = len(marks)
        hash_ = key_hash(key, self._incarnation)
        # A hash collision must not report a key that may have run as "not run".
        if marks.get(hash_) is not _DISCARDED:
            marks[hash_] = outcome
        self._mark_count += len(marks) - count_before
        return True

    def _shared_refusal(self, cause: outcomes.Cause) -> outcomes.NotRun:
        return self._refusals.setdefault(
            cause, outcomes.NotRun(cause, "the key was refused before")
        )

    def _update_forgotten_ms(self, expiry_ms: int) -> None:
        self._forgotten_ms = max(self._forgotten_ms, expiry_ms)


def _without_payloads(work: work_module.Work) -> work_module.Work:
    """Returns the work without payloads; scheduling still reads its needs."""
    match work:
        case work_module.Request(task=task):
            return dataclasses.replace(
                work, task=work_module.Task(b"", task.need)
            )
        case work_module.Submission(tasks=tasks):
            shared = {
                need: work_module.Task(b"", need)
                for need in {t.need for t in tasks}
            }
            return dataclasses.replace(
                work, tasks=tuple(shared[task.need] for task in tasks)
            )
