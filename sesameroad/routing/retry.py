"""Decides what follows from the result of a send."""

import dataclasses

from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.routing import budget as budgets
from sesameroad.routing import result as results
from sesameroad.scheduling import item as items

MAX_ATTEMPTS = 4
# Endpoints that cannot be connected to are gone or cut off. A full endpoint is
# no reason to end work: its back-off keeps the attempts apart, and the deadline
# ends them.
MAX_UNREACHABLE = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Keep:
    """The task is answered."""

    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Again:
    """The task goes back to the queue.

    Attributes:
        nothing_ran: Whether the start is given back.
    """

    nothing_ran: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """The work ends with an outcome.

    Attributes:
        outcome: The outcome, if no other task of the work was started.
        nothing_ran: Whether the start of this task is given back.
    """

    outcome: outcomes.Outcome
    nothing_ran: bool


Decision = Keep | Again | Stop


def note(item: items.Item, endpoint_id: str, result: results.Result) -> None:
    """Records on a task what one send to an endpoint did."""
    match result:
        case results.Refused():
            item.refusals += 1
            return
        case results.NeverSent():
            item.unreachable += 1
            return
        case results.RanAndFailed() | results.Lost():
            item.attempts += 1
            item.may_have_run = True
        case results.Answered() | results.Withheld():
            return
    if endpoint_id not in item.tried:
        item.tried += (endpoint_id,)


def decide(
    item: items.Item, result: results.Result, budget: budgets.Budget
) -> Decision:
    """Returns what to do with a task after a send that was noted on it."""
    match result:
        case results.Answered(body=body):
            return Keep(body)
        case results.Refused():
            # An earlier send of an idempotent request may have run.
            return Again(nothing_ran=not item.may_have_run)
        case results.NeverSent():
            nothing_ran = not item.may_have_run
            if item.unreachable < MAX_UNREACHABLE:
                return Again(nothing_ran=nothing_ran)
            return Stop(
                _refusal(
                    item,
                    outcomes.Cause.RETRIES_EXHAUSTED,
                    f"{item.unreachable} endpoints could not be reached",
                ),
                nothing_ran=nothing_ran,
            )
        case results.Withheld(detail=detail):
            return Stop(
                _refusal(item, outcomes.Cause.DEADLINE, detail),
                nothing_ran=False,
            )
        case results.RanAndFailed(status=status, detail=detail):
            if _may_repeat(item, budget):
                return Again(nothing_ran=False)
            return Stop(
                outcomes.Failed(
                    outcomes.Cause.ENDPOINT_FAILED,
                    f"endpoint answered {status}: {detail}",
                    may_have_run=True,
                ),
                nothing_ran=False,
            )
        case results.Lost(detail=detail):
            if _may_repeat(item, budget):
                return Again(nothing_ran=False)
            return Stop(_lost(item.work, detail), nothing_ran=False)


def _may_repeat(item: items.Item, budget: budgets.Budget) -> bool:
    return (
        item.work.idempotent
        and not item.record.finished
        and item.attempts < MAX_ATTEMPTS
        and budget.spend()
    )


def _refusal(
    item: items.Item, cause: outcomes.Cause, detail: str
) -> outcomes.Outcome:
    if item.may_have_run:
        return outcomes.Failed(cause, detail, may_have_run=True)
    retry_after_s = 1.0 if cause is outcomes.Cause.RETRIES_EXHAUSTED else None
    return outcomes.NotRun(cause, detail, retry_after_s)


def _lost(work: works.Work, detail: str) -> outcomes.Outcome:
    match work:
        case works.Submission() | works.Request(idempotent=True):
            return outcomes.Failed(
                outcomes.Cause.ENDPOINT_LOST, detail, may_have_run=True
            )
        case works.Request():
            return outcomes.Unknown(outcomes.Cause.ENDPOINT_LOST, detail)
