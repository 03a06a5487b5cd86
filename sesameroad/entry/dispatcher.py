"""The life of a request or submission at its home."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from sesameroad import errors
from sesameroad.entry import spill as spills
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.ownership import ledger as ledgers
from sesameroad.routing import result as results
from sesameroad.routing import retry
from sesameroad.routing import retry_budget
from sesameroad.scheduling import admission as admissions
from sesameroad.scheduling import matcher as matchers
from sesameroad.scheduling import pending_task

_OVERLOAD_RETRY_S = 1.0
_ASK_AGAIN_MS = 1_000
_KEY_REUSED = outcomes.NotRun(
    outcomes.Cause.KEY_REUSED, "the key names other work"
)
_EXPIRED = outcomes.Unknown(
    outcomes.Cause.KEY_EXPIRED, "the key expired before the answer came"
)

Observe = Callable[[works.Work, outcomes.Outcome, float], None]


class Dispatcher:
    """Accepts work, queues its tasks and decides its outcome."""

    __slots__ = (
        "_admission",
        "_budget",
        "_clock",
        "_ledger",
        "_matcher",
        "_observe",
        "_placements",
        "_queued",
        "_spill",
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
        budget: retry_budget.RetryBudget | None = None,
        spill: spills.Spill | None = None,
    ) -> None:
        self._spill = spill
        self._budget = budget or retry_budget.RetryBudget()
        self._ledger = ledger
        self._matcher = matcher
        self._admission = admission
        self._clock = clock
        self._observe = observe
        self._queued: dict[str, list[pending_task.PendingTask]] = {}
        self._placements: set[asyncio.Task[None]] = set()
        self._stopping = False
        matcher.set_callbacks(screen=self._screen)

    @property
    def in_flight(self) -> int:
        """Number of records whose outcome is not decided."""
        return len(self._queued)

    @property
    def open_tasks(self) -> Mapping[str, list[pending_task.PendingTask]]:
        """Tasks of each key whose outcome is not decided."""
        return self._queued

    @property
    def stopping(self) -> bool:
        """Whether new work is refused because the entry stops."""
        return self._stopping

    def stop_accepting(self) -> None:
        """Refuses new work from now on."""
        self._stopping = True

    async def dispatch(
        self,
        work: works.Work,
        *,
        digest: str,
        expiry_ms: int,
        remember: bool,
        spilled: bool = False,
    ) -> outcomes.Outcome:
        """Runs work of which this incarnation is the home.

        Work that is already known under its key is joined, not run again. A
        caller that goes away does not end the work.

        Args:
            work: The request or submission.
            digest: Hash of its body; a key may not be reused for another body.
            expiry_ms: Expiry of its key in wall time.
            remember: Whether the caller holds the key, so that the outcome is
                kept until the key expires.
            spilled: Whether the home of the key, in another data centre, has
                delegated the work to this entry.
        """
        match self._ledger.find(work.key):
            case ledgers.Record() as record:
                if record.digest != digest:
                    return _KEY_REUSED
                return await self._await_outcome(record, work.deadline_ms)
            case ledgers.ClosedRecord() as closed:
                return (
                    closed.outcome
                    if closed.matches_digest(digest)
                    else _KEY_REUSED
                )
            case None:
                return await self._accept(
                    work, digest, expiry_ms, remember=remember, spilled=spilled
                )

    def outcome(self, key: str) -> outcomes.Outcome | None:
        """Returns the outcome of a key so far, None while it is being run."""
        match self._ledger.find(key):
            case ledgers.Record():
                return None
            case ledgers.ClosedRecord(outcome=outcome):
                return outcome
            case None:
                return outcomes.Unknown(
                    outcomes.Cause.NOT_FOUND, "no work is known under this key"
                )

    async def _accept(
        self,
        work: works.Work,
        digest: str,
        expiry_ms: int,
        *,
        remember: bool,
        spilled: bool,
    ) -> outcomes.Outcome:
        # Nothing is answered "complete" after expiry, so waiting ends then.
        if work.deadline_ms > expiry_ms:
            work = dataclasses.replace(work, deadline_ms=expiry_ms)
        try:
            self._ledger.check(expiry_ms=expiry_ms, remember=remember)
            refusal = self._refusal(work)
            delegate = self._may_delegate(work, spilled=spilled)
            if refusal is None and spilled and self._spill is not None:
                refusal = self._spill.refusal(work)
            if refusal is not None and not delegate:
                return self._refuse(work, refusal, expiry_ms, remember)
            record = self._ledger.open(
                work, digest=digest, expiry_ms=expiry_ms, remember=remember
            )
        except errors.KeyExpiredError as error:
            return outcomes.Unknown(outcomes.Cause.KEY_EXPIRED, str(error))
        except errors.LedgerStoppedError as error:
            refusal = outcomes.NotRun(outcomes.Cause.STOPPING, str(error), 0.0)
            return self._refuse(work, refusal, expiry_ms, remember)
        except errors.LedgerFullError as error:
            refusal = outcomes.NotRun(
                outcomes.Cause.OVERLOAD, str(error), _OVERLOAD_RETRY_S
            )
            return self._refuse(work, refusal, expiry_ms, remember)
        if delegate:
            # A graceful stop waits for delegated work as well.
            self._queued[work.key] = [
                pending_task.PendingTask(record, 0, record.accepted_at)
            ]
            placement = asyncio.create_task(
                self._place(record), name=f"spill {work.key}"
            )
            self._placements.add(placement)
            placement.add_done_callback(self._placements.discard)
        else:
            self._enqueue(record)
        return await self._await_outcome(record, work.deadline_ms)

    def _may_delegate(self, work: works.Work, *, spilled: bool) -> bool:
        """Returns whether another data centre is asked before this one.

        Work that this data centre would refuse for lack of time goes there too.
        """
        if self._spill is None or spilled or self._stopping:
            return False
        return self._spill.wanted(work)

    async def _place(self, record: ledgers.Record) -> None:
        """Delegates work to another data centre, or queues it here."""
        outcome = None
        if self._spill is not None:
            outcome = await self._spill.place(record)
        if record.finished:
            return
        if outcome is None:
            # A graceful stop still runs it: the work was accepted before.
            outcome = self._admission.refusal(
                record.work, now_ms=self._clock.wall_ms()
            )
        if outcome is None:
            self._enqueue(record)
        else:
            self._finish(record, self._as_whole(record, outcome))

    def _refuse(
        self,
        work: works.Work,
        refusal: outcomes.NotRun,
        expiry_ms: int,
        remember: bool,
    ) -> outcomes.Outcome:
        """Refuses work; a key that a caller holds then stays refused."""
        outcome: outcomes.Outcome = refusal
        if remember and not self._ledger.refuse(
            work.key, expiry_ms=expiry_ms, cause=refusal.cause
        ):
            outcome = outcomes.Unknown(
                refusal.cause,
                "not run so far; the refusal cannot be kept",
                ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_MS,
            )
        self._observe(work, outcome, 0.0)
        return outcome

    def settle(
        self, pending: pending_task.PendingTask, result: results.Result
    ) -> None:
        """Records what became of a send and decides what follows."""
        record = pending.record
        match retry.decide(pending, result, self._budget):
            case retry.Keep(body=body):
                self._keep(pending, body)
            case retry.Requeue(nothing_ran=nothing_ran):
                if nothing_ran:
                    self._ledger.return_start(record, pending.index)
                if not record.finished:
                    self._matcher.submit(pending, front=True)
            case retry.Stop(outcome=outcome, nothing_ran=nothing_ran):
                if nothing_ran:
                    self._ledger.return_start(record, pending.index)
                self._finish(record, self._as_whole(record, outcome))

    def cancel(self, key: str, *, expiry_ms: int | None = None) -> None:
        """Withdraws the waiting tasks of a key.

        Args:
            key: Name of the work.
            expiry_ms: Expiry of a key whose home this is and that a caller
                holds; work that comes under it later is then refused.
        """
        match self._ledger.find(key):
            case ledgers.Record() as record:
                cancelled = outcomes.NotRun(
                    outcomes.Cause.CANCELLED, "cancelled"
                )
                self._finish(record, self._as_whole(record, cancelled))
            case None if expiry_ms is not None:
                try:
                    self._ledger.check(expiry_ms=expiry_ms, remember=True)
                except (errors.KeyExpiredError, errors.LedgerStoppedError):
                    return
                self._ledger.refuse(
                    key, expiry_ms=expiry_ms, cause=outcomes.Cause.CANCELLED
                )

    def sweep(self) -> None:
        """Ends work past its deadline and drops outcomes of expired keys.

        Callers that wait do the first for their own work; this covers work
        whose callers are gone and sends that never return.
        """
        now_ms = self._clock.wall_ms()
        for record in tuple(self._ledger.records.values()):
            if now_ms >= record.work.deadline_ms:
                self._expire(record)
        self._ledger.sweep()

    def end(self) -> None:
        """Ends all starts for good, then decides the outcome of all work."""
        self._stopping = True
        self._ledger.stop()
        for record in tuple(self._ledger.records.values()):
            stopped = outcomes.NotRun(
                outcomes.Cause.STOPPING, "this entry is stopping", 0.0
            )
            self._finish(record, self._as_ended(record, stopped))

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

    def _screen(self, pending: pending_task.PendingTask) -> bool:
        """Returns whether a task may still be sent; refuses its work if not."""
        if not self._admission.is_late(
            pending,
            now=self._clock.monotonic(),
            now_ms=self._clock.wall_ms(),
        ):
            return True
        late = outcomes.NotRun(
            outcomes.Cause.DEADLINE, "no slot in time before the deadline"
        )
        self._finish(pending.record, self._as_whole(pending.record, late))
        return False

    def _enqueue(self, record: ledgers.Record) -> None:
        queued = [
            pending_task.PendingTask(
                record,
                index,
                record.accepted_at,
                may_have_run=bool(record.starts[index]),
            )
            for index in range(len(record.work.tasks))
        ]
        self._queued[record.work.key] = queued
        self._matcher.submit_all(queued)

    async def _await_outcome(
        self, record: ledgers.Record, deadline_ms: int
    ) -> outcomes.Outcome:
        """Waits for the outcome, at most until a caller's deadline.

        A caller that resubmits may wait longer than the work's own deadline
        for a task that is being run.
        """
        await self._wait(record, record.work.deadline_ms)
        if not record.finished:
            self._expire(record)
        if not record.finished:
            await self._wait(record, min(deadline_ms, record.expiry_ms))
        now_ms = self._clock.wall_ms()
        if not record.finished and now_ms >= record.expiry_ms:
            self._expire(record)
        if record.finished:
            return record.done.result()
        # The caller is told the key and may ask for the outcome later.
        record.remember = True
        return outcomes.Unknown(
            outcomes.Cause.DEADLINE,
            "the endpoint has not answered yet",
            ask_again_at_ms=min(now_ms + _ASK_AGAIN_MS, record.expiry_ms),
        )

    async def _wait(self, record: ledgers.Record, until_ms: int) -> None:
        remaining_ms = until_ms - self._clock.wall_ms()
        if not record.finished and remaining_ms > 0:
            await asyncio.wait([record.done], timeout=remaining_ms / 1_000)

    def _expire(self, record: ledgers.Record) -> None:
        """Withdraws work at its deadline unless its one task is being run."""
        late = outcomes.NotRun(
            outcomes.Cause.DEADLINE, "no slot before the deadline"
        )
        if self._clock.wall_ms() >= record.expiry_ms:
            self._finish(record, self._as_ended(record, late))
            return
        match record.work:
            case works.Request(idempotent=False) if record.started:
                return
            case _:
                self._finish(record, self._as_whole(record, late))

    def _keep(self, pending: pending_task.PendingTask, body: bytes) -> None:
        record = pending.record
        if record.finished:
            return
        try:
            self._ledger.add_answer(record, pending.index, body)
        except errors.LedgerFullError as error:
            full = outcomes.Failed(
                outcomes.Cause.OVERLOAD, str(error), may_have_run=True
            )
            self._finish(record, full)
            return
        if len(record.answers) < len(record.work.tasks):
            return
        if self._clock.wall_ms() >= record.expiry_ms:
            self._finish(record, _EXPIRED)
            return
        answers = tuple(
            record.answers[index] for index in range(len(record.answers))
        )
        self._finish(record, outcomes.Complete(answers))

    def _as_ended(
        self, record: ledgers.Record, refusal: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Returns the outcome of work whose task in flight is given up."""
        match record.work:
            case works.Request(idempotent=False) if record.started:
                return outcomes.Unknown(
                    refusal.cause, "no answer of the endpoint so far"
                )
            case _:
                return self._as_whole(record, refusal)

    def _as_whole(
        self, record: ledgers.Record, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Turns the refusal of a task into the outcome of the whole work."""
        match outcome:
            case outcomes.NotRun() if not record.not_started:
                return outcomes.Failed(
                    outcome.cause, outcome.detail, may_have_run=True
                )
            case _:
                return outcome

    def _finish(
        self, record: ledgers.Record, outcome: outcomes.Outcome
    ) -> None:
        work = record.work
        if not self._ledger.finish(record, outcome):
            return
        self._matcher.withdraw(self._queued.pop(work.key, ()))
        seconds = self._clock.monotonic() - record.accepted_at
        self._observe(work, outcome, seconds)
