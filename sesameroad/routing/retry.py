"""Decides what follows from the result of a send."""

import dataclasses

from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.routing import result as results
from sesameroad.scheduling import item as items

MAX_ATTEMPTS = 4


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


def decide(item: items.Item, result: results.Result) -> Decision:
    """Returns what to do with a task after a send."""
    more = item.attempts < MAX_ATTEMPTS
    match result:
        case results.Answered(body=body):
            return Keep(body)
        case results.Refused() | results.NeverSent():
            if more:
                return Again(nothing_ran=True)
            return Stop(
                outcomes.NotRun(
                    outcomes.Cause.RETRIES_EXHAUSTED,
                    f"{item.attempts} endpoints refused",
                    retry_after_s=1.0,
                ),
                nothing_ran=True,
            )
        case results.Withheld(detail=detail):
            return Stop(
                outcomes.NotRun(outcomes.Cause.DEADLINE, detail),
                nothing_ran=False,
            )
        case results.RanAndFailed(status=status, detail=detail):
            if item.work.idempotent and more:
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
            if item.work.idempotent and more:
                return Again(nothing_ran=False)
            return Stop(_lost(item.work, detail), nothing_ran=False)


def _lost(work: works.Work, detail: str) -> outcomes.Outcome:
    match work:
        case works.Submission() | works.Request(idempotent=True):
            return outcomes.Failed(
                outcomes.Cause.ENDPOINT_LOST, detail, may_have_run=True
            )
        case works.Request():
            return outcomes.Unknown(outcomes.Cause.ENDPOINT_LOST, detail)
