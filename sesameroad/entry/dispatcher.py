"""Runs requests and submissions at the home of their key."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from sesameroad import errors
from sesameroad.entry import spill as spill_module
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.routing import results
from sesameroad.routing import retry
from sesameroad.routing import retry_budget
from sesameroad.scheduling import admission as admission_module
from sesameroad.scheduling import matcher as matcher_module
from sesameroad.scheduling import pending_task

_OVERLOAD_RETRY_S = 1.0
_ASK_AGAIN_MS = 1_000
_KEY_REUSED = outcomes.NotRun(
    outcomes.Cause.KEY_REUSED, "the key names other work"
)
_EXPIRED = outcomes.Unknown(
    outcomes.Cause.KEY_EXPIRED, "the key expired before the answer came"
)

Observe = Callable[[work_module.Work, outcomes.Outcome, float], None]


class Dispatcher:
    """Accepts work, queues its tasks, retries them and decides its outcome."""

    __slots__ = (
        "_admission",
        "_budget",
        "_clock",
        "_delegations",
        "_ledger",
        "_matcher",
        "_observe",
        "_open_tasks",
        "_spill",
        "_stopping",
    )

    def __init__(
        self,
        *,
        ledger: ledger_module.Ledger,
        matcher: matcher_module.Matcher,
        admission: admission_module.Admission,
        clock: clocks.Clock,
        observe: Observe,
        budget: retry_budget.RetryBudget | None = None,
        spill: spill_module.Spill | None = None,
    ) -> None:
        self._spill = spill
        self._budget = budget or retry_budget.RetryBudget()
        self._ledger = ledger
        self._matcher = matcher
        self._admission = admission
        self._clock = clock
        self._observe = observe
        self._open_tasks: dict[str, list[pending_task.PendingTask]] = {}
        self._delegations: set[asyncio.Task[None]] = set()
        self._stopping = False
        matcher.set_callbacks(screen=self._may_send)

    @property
    def in_flight(self) -> int:
        """Number of accepted requests and submissions without an outcome."""
        return len(self._open_tasks)

    @property
    def open_tasks(self) -> Mapping[str, list[pending_task.PendingTask]]:
        """Tasks of the accepted work without an outcome, by key."""
        return self._open_tasks

    @property
    def stopping(self) -> bool:
        """Whether new work is refused because the entry is stopping."""
        return self._stopping

    def stop_accepting(self) -> None:
        """Makes the dispatcher refuse new work."""
        self._stopping = True

    async def dispatch(
        self,
        work: work_module.Work,
        *,
        digest: str,
        expiry_ms: int,
        remember: bool,
        spilled: bool = False,
    ) -> outcomes.Outcome:
        """Runs work whose key has its home at this incarnation.

        If the key is already known, the call waits for the existing work
        instead of running it again. Work goes on if its caller disconnects.

        Args:
            work: The request or submission.
            digest: Hash of the request body. A key may not be used again with
                another body.
            expiry_ms: Expiry of its key in wall time.
            remember: Whether to keep the outcome until the key expires, because
                the caller knows the key.
            spilled: Whether the home of the key is in another data centre and
                has delegated the work to this entry.
        """
        match self._ledger.find(work.key):
            case ledger_module.Record() as record:
                if record.digest != digest:
                    return _KEY_REUSED
                return await self._await_outcome(record, work.deadline_ms)
            case ledger_module.ClosedRecord() as closed:
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
        """Returns the current outcome of a key, or None while it has none."""
        match self._ledger.find(key):
            case ledger_module.Record():
                return None
            case ledger_module.ClosedRecord(outcome=outcome):
                return outcome
            case None:
                return outcomes.Unknown(
                    outcomes.Cause.NOT_FOUND, "no work is known under this key"
                )

    async def _accept(
        self,
        work: work_module.Work,
        digest: str,
        expiry_ms: int,
        *,
        remember: bool,
        spilled: bool,
    ) -> outcomes.Outcome:
        # No outcome is "complete" after the key has expired, so the deadline
        # cannot be later than that.
        if work.deadline_ms > expiry_ms:
            work = dataclasses.replace(work, deadline_ms=expiry_ms)
        try:
            self._ledger.check(expiry_ms=expiry_ms, remember=remember)
            refusal = self._check_admission(work)
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
            # Counts as open, so that a graceful stop waits for delegated work.
            self._open_tasks[work.key] = [
                pending_task.PendingTask(record, 0, record.accepted_at)
            ]
            delegation = asyncio.create_task(
                self._delegate_or_queue(record), name=f"spill {work.key}"
            )
            self._delegations.add(delegation)
            delegation.add_done_callback(self._delegations.discard)
        else:
            self._enqueue(record)
        return await self._await_outcome(record, work.deadline_ms)

    def _may_delegate(self, work: work_module.Work, *, spilled: bool) -> bool:
        """Returns whether to try another data centre before this one.

        This includes work that this data centre would refuse because it has too
        little time left.
        """
        if self._spill is None or spilled or self._stopping:
            return False
        return self._spill.should_delegate(work)

    async def _delegate_or_queue(self, record: ledger_module.Record) -> None:
        """Delegates work to another data centre, or else queues it here."""
        outcome = None
        if self._spill is not None:
            outcome = await self._spill.delegate(record)
        if record.finished:
            return
        if outcome is None:
            # Checks only admission, not whether the entry is stopping: the work
            # was accepted before the stop, which waits for it.
            outcome = self._admission.refusal(
                record.work, now_ms=self._clock.wall_ms()
            )
        if outcome is None:
            self._enqueue(record)
        else:
            self._finish(record, self._work_outcome(record, outcome))

    def _refuse(
        self,
        work: work_module.Work,
        refusal: outcomes.NotRun,
        expiry_ms: int,
        remember: bool,
    ) -> outcomes.Outcome:
        """Refuses work, and keeps the refusal if the caller knows the key.

        Without a kept refusal, work could later run under a key that was
        answered "not run". If it cannot be kept, the outcome is unknown.
        """
        outcome: outcomes.Outcome = refusal
        if remember and not self._ledger.refuse(
            work.key, expiry_ms=expiry_ms, cause=refusal.cause
        ):
            outcome = outcomes.Unknown(
                refusal.cause,
                "not run so far, but the refusal could not be kept",
                ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_MS,
            )
        self._observe(work, outcome, 0.0)
        return outcome

    def handle_send_result(
        self, pending: pending_task.PendingTask, result: results.Result
    ) -> None:
        """Keeps the answer of a send, requeues its task or ends its work."""
        record = pending.record
        match retry.decide(pending, result, self._budget):
            case retry.Keep(body=body):
                self._keep_answer(pending, body)
            case retry.Requeue(nothing_ran=nothing_ran):
                if nothing_ran:
                    self._ledger.return_start(record, pending.index)
                if not record.finished:
                    self._matcher.submit(pending, front=True)
            case retry.Stop(outcome=outcome, nothing_ran=nothing_ran):
                if nothing_ran:
                    self._ledger.return_start(record, pending.index)
                self._finish(record, self._work_outcome(record, outcome))

    def cancel(self, key: str, *, expiry_ms: int | None = None) -> None:
        """Ends the work of a key and withdraws its waiting tasks.

        Args:
            key: Name of the work.
            expiry_ms: Expiry of the key. If given, work that arrives under the
                key later is refused; give it only if this entry is the home
                and callers may submit work under the key.
        """
        match self._ledger.find(key):
            case ledger_module.Record() as record:
                cancelled = outcomes.NotRun(
                    outcomes.Cause.CANCELLED, "cancelled"
                )
                self._finish(record, self._work_outcome(record, cancelled))
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

        While a caller waits, its call ends the work at the deadline. The sweep
        covers work whose callers have disconnected and sends that never return.
        """
        now_ms = self._clock.wall_ms()
        for record in tuple(self._ledger.records.values()):
            if now_ms >= record.work.deadline_ms:
                self._expire(record)
        self._ledger.sweep()

    def shut_down(self) -> None:
        """Stops all starts for good, then ends all open work."""
        self._stopping = True
        self._ledger.stop()
        for record in tuple(self._ledger.records.values()):
            stopped = outcomes.NotRun(
                outcomes.Cause.STOPPING, "this entry is stopping", 0.0
            )
            self._finish(record, self._outcome_when_abandoned(record, stopped))

    async def drain(self) -> None:
        """Waits until all accepted work has an outcome."""
        while self._open_tasks:
            record = next(iter(self._open_tasks.values()))[0].record
            await asyncio.wait([record.done])

    def _check_admission(
        self, work: work_module.Work
    ) -> outcomes.NotRun | None:
        if self._stopping:
            return outcomes.NotRun(
                outcomes.Cause.STOPPING, "this entry is stopping", 0.0
            )
        return self._admission.refusal(work, now_ms=self._clock.wall_ms())

    def _may_send(self, pending: pending_task.PendingTask) -> bool:
        """Returns whether a task may be sent; ends its work if it is late."""
        if not self._admission.is_late(
            pending,
            now=self._clock.monotonic(),
            now_ms=self._clock.wall_ms(),
        ):
            return True
        late = outcomes.NotRun(
            outcomes.Cause.DEADLINE,
            "no slot became free in time before the deadline",
        )
        self._finish(pending.record, self._work_outcome(pending.record, late))
        return False

    def _enqueue(self, record: ledger_module.Record) -> None:
        tasks = [
            pending_task.PendingTask(
                record,
                index,
                record.accepted_at,
                may_have_run=bool(record.starts[index]),
            )
            for index in range(len(record.work.tasks))
        ]
        self._open_tasks[record.work.key] = tasks
        self._matcher.submit_all(tasks)

    async def _await_outcome(
        self, record: ledger_module.Record, deadline_ms: int
    ) -> outcomes.Outcome:
        """Waits for the outcome, at most until the deadline of a caller.

        A caller that submits the key again may have a later deadline than the
        work, and then waits longer for a task that is running.
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
        # The response contains the key, so the caller may query the outcome
        # later.
        record.remember = True
        return outcomes.Unknown(
            outcomes.Cause.DEADLINE,
            "the endpoint has not answered yet",
            ask_again_at_ms=min(now_ms + _ASK_AGAIN_MS, record.expiry_ms),
        )

    async def _wait(self, record: ledger_module.Record, until_ms: int) -> None:
        remaining_ms = until_ms - self._clock.wall_ms()
        if not record.finished and remaining_ms > 0:
            await asyncio.wait([record.done], timeout=remaining_ms / 1_000)

    def _expire(self, record: ledger_module.Record) -> None:
        """Ends work whose deadline has passed.

        A started request that is not idempotent goes on until its key expires.
        """
        late = outcomes.NotRun(
            outcomes.Cause.DEADLINE, "no slot became free before the deadline"
        )
        if self._clock.wall_ms() >= record.expiry_ms:
            self._finish(record, self._outcome_when_abandoned(record, late))
            return
        match record.work:
            case work_module.Request(idempotent=False) if record.started:
                return
            case _:
                self._finish(record, self._work_outcome(record, late))

    def _keep_answer(
        self, pending: pending_task.PendingTask, body: bytes
    ) -> None:
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

    def _outcome_when_abandoned(
        self, record: ledger_module.Record, refusal: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Returns the outcome of work that ends with tasks still running.

        The outcome of a started request that is not idempotent is unknown,
        because it may still complete.
        """
        match record.work:
            case work_module.Request(idempotent=False) if record.started:
                return outcomes.Unknown(
                    refusal.cause, "the endpoint has not answered"
                )
            case _:
                return self._work_outcome(record, refusal)

    def _work_outcome(
        self, record: ledger_module.Record, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Turns the outcome of one task into the outcome of its work.

        "Not run" becomes "failed" if any task of the work may have run.
        """
        match outcome:
            case outcomes.NotRun() if not record.not_started:
                return outcomes.Failed(
                    outcome.cause, outcome.detail, may_have_run=True
                )
            case _:
                return outcome

    def _finish(
        self, record: ledger_module.Record, outcome: outcomes.Outcome
    ) -> None:
        work = record.work
        if not self._ledger.finish(record, outcome):
            return
        self._matcher.withdraw(self._open_tasks.pop(work.key, ()))
        seconds = self._clock.monotonic() - record.accepted_at
        self._observe(work, outcome, seconds)
