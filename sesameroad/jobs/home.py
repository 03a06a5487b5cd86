"""Takes a job from its caller to a steward and brings the outcome back."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import job as jobs
from sesameroad.model import outcome as outcomes

# Part of the time up to its objective that a job may wait for a steward. A later
# refusal leaves its caller no time to turn elsewhere.
_SEARCH_SHARE = 0.25
_MIN_SEARCH_S = 0.05
# Time in which another steward of the same data centre is expected after one
# was lost: the silence of a peer, and the pause before a claim.
_SUCCESSION_S = 1.2
_RETRY_S = 0.02
_RETRY_AFTER_S = 1.0


class Route(Protocol):
    """A steward that can be asked."""

    @property
    def data_centre(self) -> str:
        """Data centre of its endpoints."""

    async def submit(self, job: jobs.Job, *, moved: bool) -> outcomes.Outcome:
        """Runs a job.

        Raises:
            PeerNotSentError: If the steward did not get the job.
            PeerError: If it may have got the job, and no answer came.
        """

    def cancel(self, key: str) -> None:
        """Ends a job there."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Where a job was sent so far."""

    data_centre: str = ""
    lost_at: float = 0.0

    @property
    def sent(self) -> bool:
        """Whether any task may have been started."""
        return bool(self.data_centre)


class Home:
    """Finds a steward for each job, and another one when it is lost.

    A job that may have started stays in the data centre of its first steward:
    the next steward there finds its runs, while one elsewhere could start a
    task that still runs.
    """

    __slots__ = ("_clock", "_routes")

    def __init__(
        self,
        *,
        routes: Callable[[jobs.Job, str], Route | None],
        clock: clocks.Clock,
    ) -> None:
        """Creates a home.

        Args:
            routes: Returns the best steward for a job; the second argument
                names the only data centre allowed, empty for any.
            clock: Time source.
        """
        self._routes = routes
        self._clock = clock

    async def run(self, job: jobs.Job) -> outcomes.Outcome:
        """Returns the outcome of a job; cancelling the call ends the job."""
        attempt = _Attempt()
        began = self._clock.monotonic()
        search_s = max(
            _MIN_SEARCH_S, (job.objective_at - began) * _SEARCH_SHARE
        )
        while True:
            now = self._clock.monotonic()
            if now >= job.deadline_at:
                return _give_up(attempt, outcomes.Cause.DEADLINE)
            route = self._routes(job, attempt.data_centre)
            if route is not None:
                outcome = await self._ask(route, job, attempt)
                if outcome is not None:
                    return outcome
            now = self._clock.monotonic()
            since, limit_s = (
                (attempt.lost_at, _SUCCESSION_S)
                if attempt.sent
                else (began, search_s)
            )
            if now - since > limit_s:
                return _give_up(attempt, outcomes.Cause.NO_ENDPOINT)
            await asyncio.sleep(_RETRY_S)

    async def _ask(
        self, route: Route, job: jobs.Job, attempt: _Attempt
    ) -> outcomes.Outcome | None:
        """Returns the outcome, or None if another steward must be asked."""
        moved = attempt.sent
        try:
            outcome = await route.submit(job, moved=moved)
        except asyncio.CancelledError:
            route.cancel(job.key)
            raise
        except errors.PeerNotSentError:
            return None
        except errors.PeerError:
            attempt.data_centre = route.data_centre
            attempt.lost_at = self._clock.monotonic()
            return None
        match outcome:
            case outcomes.NotRun(cause=outcomes.Cause.NOT_STEWARD):
                return None
            case outcomes.Unknown(cause=outcomes.Cause.STEWARD_LOST):
                attempt.data_centre = route.data_centre
                attempt.lost_at = self._clock.monotonic()
                return None
            case outcomes.NotRun() if moved:
                # An earlier steward may have started tasks.
                return outcomes.Unknown(outcome.cause, outcome.detail)
            case _:
                return outcome


def _give_up(attempt: _Attempt, cause: outcomes.Cause) -> outcomes.Outcome:
    if attempt.sent:
        return outcomes.Unknown(cause, "its steward was lost")
    return outcomes.NotRun(cause, "no steward was found", _RETRY_AFTER_S)
