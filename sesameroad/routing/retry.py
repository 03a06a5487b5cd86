"""Decides what to do with a task after the result of a send."""

import dataclasses

from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.routing import results
from sesameroad.routing import retry_budget
from sesameroad.scheduling import pending_task

MAX_ATTEMPTS = 4
# Endpoints that cannot be connected to are gone or unreachable. Refusals of full
# endpoints have no such limit: back-off spaces the attempts out, and the deadline
# ends them.
MAX_UNREACHABLE = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Keep:
    """The task is answered."""

    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Requeue:
    """The task goes back to the queue.

    Attributes:
        nothing_ran: Whether the task has not run, so that its start is given
            back to the ledger.
    """

    nothing_ran: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """The work ends with an outcome.

    Attributes:
        outcome: The outcome, if no other task of the work was started.
        nothing_ran: Whether this task has not run, so that its start is given
            back to the ledger.
    """

    outcome: outcomes.Outcome
    nothing_ran: bool


Decision = Keep | Requeue | Stop


def record_result(
    pending: pending_task.PendingTask, endpoint_id: str, result: results.Result
) -> None:
    """Records on a task the result of one send to an endpoint."""
    match result:
        case results.Refused():
            pending.refusals += 1
            return
        case results.NeverSent():
            pending.unreachable += 1
            return
        case results.RanAndFailed() | results.Lost():
            pending.attempts += 1
            pending.may_have_run = True
        case results.Answered() | results.Withheld():
            return
    if endpoint_id not in pending.tried:
        pending.tried += (endpoint_id,)


def decide(
    pending: pending_task.PendingTask,
    result: results.Result,
    budget: retry_budget.RetryBudget,
) -> Decision:
    """Returns what to do with a task after a recorded result."""
    match result:
        case results.Answered(body=body):
            return Keep(body)
        case results.Refused():
            # An earlier send of an idempotent request may have run.
            return Requeue(nothing_ran=not pending.may_have_run)
        case results.NeverSent():
            nothing_ran = not pending.may_have_run
            if pending.unreachable < MAX_UNREACHABLE:
                return Requeue(nothing_ran=nothing_ran)
            return Stop(
                _unsent_outcome(
                    pending,
                    outcomes.Cause.RETRIES_EXHAUSTED,
                    f"{pending.unreachable} endpoints could not be reached",
                ),
                nothing_ran=nothing_ran,
            )
        case results.Withheld(detail=detail):
            return Stop(
                _unsent_outcome(pending, outcomes.Cause.DEADLINE, detail),
                nothing_ran=False,
            )
        case results.RanAndFailed(status=status, detail=detail):
            if _may_retry(pending, budget):
                return Requeue(nothing_ran=False)
            return Stop(
                outcomes.Failed(
                    outcomes.Cause.ENDPOINT_FAILED,
                    f"endpoint answered {status}: {detail}",
                    may_have_run=True,
                ),
                nothing_ran=False,
            )
        case results.Lost(detail=detail):
            if _may_retry(pending, budget):
                return Requeue(nothing_ran=False)
            return Stop(_lost_outcome(pending.work, detail), nothing_ran=False)


def _may_retry(
    pending: pending_task.PendingTask, budget: retry_budget.RetryBudget
) -> bool:
    return (
        pending.work.idempotent
        and not pending.record.finished
        and pending.attempts < MAX_ATTEMPTS
        and budget.take_retry()
    )


def _unsent_outcome(
    pending: pending_task.PendingTask, cause: outcomes.Cause, detail: str
) -> outcomes.Outcome:
    if pending.may_have_run:
        return outcomes.Failed(cause, detail, may_have_run=True)
    retry_after_s = 1.0 if cause is outcomes.Cause.RETRIES_EXHAUSTED else None
    return outcomes.NotRun(cause, detail, retry_after_s)


def _lost_outcome(work: work_module.Work, detail: str) -> outcomes.Outcome:
    match work:
        case work_module.Submission() | work_module.Request(idempotent=True):
            return outcomes.Failed(
                outcomes.Cause.ENDPOINT_LOST, detail, may_have_run=True
            )
        case work_module.Request():
            return outcomes.Unknown(outcomes.Cause.ENDPOINT_LOST, detail)
