"""The life of a request or submission at its home."""

import asyncio
from collections.abc import Callable

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.ownership import ledger as ledgers
from sesameroad.routing import result as results
from sesameroad.routing import retry
from sesameroad.scheduling import admission as admissions
from sesameroad.scheduling import item as items
from sesameroad.scheduling import matcher as matchers

_OVERLOAD_RETRY_S = 1.0

Observe = Callable[[works.Work, outcomes.Outcome, float], None]


class Dispatcher:
    """Accepts work, queues its tasks and decides its outcome."""

    __slots__ = (
        "_admission",
        "_clock",
        "_ledger",
        "_matcher",
        "_observe",
        "_queued",
        "_stopping",
    )

    def __init__(
        self,
        *,
        ledger: ledgers.Ledger,
        matcher: matchers.Matcher,
        admission: admissions.Admission,
        clock: clocks.Clock,
        observe: Observe,
    ) -> None:
        self._ledger = ledger
        self._matcher = matcher
        self._admission = admission
        self._clock = clock
        self._observe = observe
        self._queued: dict[str, list[items.Item]] = {}
        self._stopping = False
        matcher.watch(screen=self._screen)

    @property
    def in_flight(self) -> int:
        """Number of records whose outcome is not decided."""
        return len(self._queued)

    def stop_accepting(self) -> None:
        """Refuses new work from now on."""
        self._stopping = True

    async def dispatch(
        self, work: works.Work, *, digest: str, expiry_ms: int, remember: bool
    ) -> outcomes.Outcome:
        """Runs work of which this incarnation is the home.

        Work that is already known under its key is joined, not run again.

        Args:
            work: The request or submission.
            digest: Hash of its body; a key may not be reused for another body.
            expiry_ms: Expiry of its key in wall time.
            remember: Whether the caller holds the key, so that the outcome is
                kept until the key expires.
        """
        record = self._ledger.find(work.key)
        if record is not None and record.digest != digest:
            return outcomes.NotRun(
                outcomes.Cause.KEY_REUSED, "the key names other work"
            )
        if record is not None:
            return await self._await_outcome(record)
        began = self._clock.monotonic()
        try:
            record = self._ledger.open(work, digest=digest, expiry_ms=expiry_ms)
        except errors.LedgerFullError as error:
            return outcomes.NotRun(
                outcomes.Cause.OVERLOAD, str(error), _OVERLOAD_RETRY_S
            )
        refusal = self._refusal(work)
        if refusal is None:
            self._enqueue(record, began)
        else:
            self._finish(record, refusal)
        outcome = await self._await_outcome(record)
        self._observe(work, outcome, self._clock.monotonic() - began)
        if not remember and record.finished:
            self._ledger.drop(record)
        return outcome

    def settle(self, item: items.Item, result: results.Result) -> None:
        """Records what became of a send and decides what follows."""
        record = item.record
        match retry.decide(item, result):
            case retry.Keep(body=body):
                self._keep(item, body)
            case retry.Again(nothing_ran=nothing_ran):
                if nothing_ran:
                    self._ledger.give_back(record, item.index)
                if not record.finished:
                    self._matcher.submit(item, front=True)
            case retry.Stop(outcome=outcome, nothing_ran=nothing_ran):
                if nothing_ran:
                    self._ledger.give_back(record, item.index)
                self._finish(record, self._as_whole(record, outcome))

    def cancel(self, key: str) -> bool:
        """Withdraws the waiting tasks of a key; returns whether it is known."""
        record = self._ledger.find(key)
        if record is None:
            return False
        if not record.finished:
            cancelled = outcomes.NotRun(outcomes.Cause.CANCELLED, "cancelled")
            self._finish(record, self._as_whole(record, cancelled))
        return True

    async def drain(self) -> None:
        """Waits until the outcome of all accepted work is decided."""
        while self._queued:
            record = next(iter(self._queued.values()))[0].record
            await asyncio.wait([record.done])

    def _refusal(self, work: works.Work) -> outcomes.NotRun | None:
        if self._stopping:
            return outcomes.NotRun(
                outcomes.Cause.STOPPING, "this entry is stopping", 0.0
            )
        return self._admission.refusal(work, now_ms=self._clock.wall_ms())

    def _screen(self, item: items.Item) -> bool:
        """Returns whether a task may still be sent; refuses its work if not."""
        if not self._admission.is_late(
            item,
            now=self._clock.monotonic(),
            now_ms=self._clock.wall_ms(),
        ):
            return True
        late = outcomes.NotRun(
            outcomes.Cause.DEADLINE, "no slot in time before the deadline"
        )
        self._finish(item.record, self._as_whole(item.record, late))
        return False

    def _enqueue(self, record: ledgers.Record, began: float) -> None:
        queued = [
            items.Item(record, index, began)
            for index in range(len(record.work.tasks))
        ]
        self._queued[record.work.key] = queued
        for item in queued:
            self._matcher.submit(item)

    async def _await_outcome(self, record: ledgers.Record) -> outcomes.Outcome:
        """Waits for the outcome, at most until the deadline of the work."""
        remaining_ms = record.work.deadline_ms - self._clock.wall_ms()
        await asyncio.wait([record.done], timeout=max(0, remaining_ms) / 1_000)
        if not record.finished:
            self._expire(record)
        if record.finished:
            return record.done.result()
        return outcomes.Unknown(
            outcomes.Cause.DEADLINE,
            "the endpoint has not answered yet",
            ask_again_at_ms=record.expiry_ms,
        )

    def _expire(self, record: ledgers.Record) -> None:
        """Withdraws work at its deadline unless its one task is being run."""
        match record.work:
            case works.Request(idempotent=False) if record.started:
                return
            case _:
                late = outcomes.NotRun(
                    outcomes.Cause.DEADLINE, "no slot before the deadline"
                )
                self._finish(record, self._as_whole(record, late))

    def _keep(self, item: items.Item, body: bytes) -> None:
        record = item.record
        if record.finished:
            return
        record.answers[item.index] = body
        if len(record.answers) == len(record.work.tasks):
            answers = tuple(
                record.answers[index] for index in range(len(record.answers))
            )
            self._finish(record, outcomes.Complete(answers))

    def _as_whole(
        self, record: ledgers.Record, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Turns the refusal of a task into the outcome of the whole work."""
        match outcome:
            case outcomes.NotRun() if not record.untouched:
                return outcomes.Failed(
                    outcome.cause, outcome.detail, may_have_run=True
                )
            case _:
                return outcome

    def _finish(
        self, record: ledgers.Record, outcome: outcomes.Outcome
    ) -> None:
        self._matcher.withdraw(self._queued.pop(record.work.key, ()))
        self._ledger.finish(record, outcome)
