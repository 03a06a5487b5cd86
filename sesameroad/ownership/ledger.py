"""The ledger: what this incarnation has accepted, started and finished."""

import asyncio
import dataclasses

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """What the ledger knows of one key.

    Attributes:
        work: The request or submission; its payloads are dropped on finish.
        digest: Hash of the body, to detect reuse of the key for other work.
        expiry_ms: Wall time after which nothing is started or answered.
        started: Tasks whose start is taken and not given back.
        answers: Answers so far, by task index.
        done: Completed with the outcome.
    """

    work: works.Work
    digest: str
    expiry_ms: int
    started: set[int]
    answers: dict[int, bytes]
    done: asyncio.Future[outcomes.Outcome]

    @property
    def finished(self) -> bool:
        """Whether the outcome is decided."""
        return self.done.done()

    @property
    def untouched(self) -> bool:
        """Whether nothing of the work may have run."""
        return not self.started


class Ledger:
    """Records of this incarnation, by key."""

    __slots__ = ("_clock", "_max_records", "_records")

    def __init__(self, *, clock: clocks.Clock, max_records: int) -> None:
        self._clock = clock
        self._max_records = max_records
        self._records: dict[str, Record] = {}

    @property
    def records(self) -> dict[str, Record]:
        """All records by key."""
        return self._records

    def find(self, key: str) -> Record | None:
        """Returns the record of a key, or None."""
        return self._records.get(key)

    def open(self, work: works.Work, *, digest: str, expiry_ms: int) -> Record:
        """Adds a record for work that has none yet.

        Raises:
            LedgerFullError: If the bound of the settings is reached.
        """
        if len(self._records) >= self._max_records:
            self.sweep()
        if len(self._records) >= self._max_records:
            raise errors.LedgerFullError(
                f"{len(self._records)} records held", step="accept"
            )
        record = Record(
            work=work,
            digest=digest,
            expiry_ms=expiry_ms,
            started=set(),
            answers={},
            done=asyncio.get_running_loop().create_future(),
        )
        self._records[work.key] = record
        return record

    def start(self, record: Record, index: int) -> None:
        """Takes the start of a task. Nothing is sent to an endpoint without it.

        Callers await nothing between this check and the write of the send, so
        that a pause of the process cannot come between a wait and the check.

        Raises:
            StartRefusedError: If the work is finished, the key has expired or
                a task that must not repeat was started before.
        """
        if self._records.get(record.work.key) is not record:
            raise errors.StartRefusedError("no record", step="start")
        if record.finished:
            raise errors.StartRefusedError("already finished", step="start")
        if self._clock.wall_ms() >= record.expiry_ms:
            raise errors.StartRefusedError("key expired", step="start")
        if index in record.started and not record.work.idempotent:
            raise errors.StartRefusedError("started before", step="start")
        record.started.add(index)

    def give_back(self, record: Record, index: int) -> None:
        """Returns a start of which certainly nothing ran."""
        record.started.discard(index)

    def finish(self, record: Record, outcome: outcomes.Outcome) -> None:
        """Decides the outcome of a record; later calls change nothing."""
        if not record.done.done():
            record.done.set_result(outcome)

    def drop(self, record: Record) -> None:
        """Forgets a finished record whose key no caller holds."""
        self._records.pop(record.work.key, None)

    def sweep(self) -> int:
        """Drops finished records whose key has expired; returns how many."""
        now_ms = self._clock.wall_ms()
        expired = [
            key
            for key, record in self._records.items()
            if record.finished and now_ms >= record.expiry_ms
        ]
        for key in expired:
            del self._records[key]
        return len(expired)
