"""Takes a job from its caller to stewards and brings the outcome back."""

import asyncio
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from sesameroad import errors
from sesameroad.jobs import partitioning
from sesameroad.model import clock as clocks
from sesameroad.model import job as jobs
from sesameroad.model import outcome as outcomes

# Part of the time up to its objective that a job may wait for a steward where
# none is expected. A later refusal leaves its caller no time to turn elsewhere.
_SEARCH_SHARE = 0.25
_MIN_SEARCH_S = 0.05
# Time in which a steward is expected after one was lost, or after the start of
# all instances: the silence of a peer, and the pause before a claim.
_SUCCESSION_S = 1.2
# Time for the stewards of other parts to say whether these have started.
_WITHDRAWAL_S = 0.2
_RETRY_S = 0.02
_RETRY_AFTER_S = 1.0


class Route(Protocol):
    """A steward that can be asked."""

    async def submit(
        self, job: jobs.Job, *, moved: bool, lent: bool
    ) -> outcomes.Outcome:
        """Runs a job.

        Raises:
            PeerNotSentError: If the steward did not get the job.
            PeerError: If it may have got the job, and no answer came.
        """

    def cancel(self, name: str) -> None:
        """Ends a job there."""


class Leaders(Protocol):
    """The stewards that can be asked now."""

    @property
    def unserved_s(self) -> float:
        """Time for which no steward could be asked, 0 if one can be."""

    def offers(self) -> Iterable[partitioning.Offer]:
        """Returns what each has to offer."""

    def route(self, data_centre: str) -> Route | None:
        """Returns the way to the steward of a data centre, or None."""

    def expect(self, data_centre: str, job: jobs.Job) -> None:
        """Notes that a job is on its way there."""

    def refused(self, data_centre: str) -> None:
        """Notes that there is no room after all."""


@dataclasses.dataclass(slots=True)
class _Part:
    """Tasks that stay in one data centre once they may have started.

    Attributes:
        job: The tasks.
        data_centre: Where they are offered.
        lent: Whether they are there only for lack of room in their own.
        moved: Whether an earlier steward may have started them.
        lost_at: Time at which a steward was lost, 0 if none was.
    """

    job: jobs.Job
    data_centre: str
    lent: bool
    moved: bool = False
    lost_at: float = 0.0


class JobCoordinator:
    """Divides each job among data centres, and follows each part to its end.

    A part that may have started stays in its data centre when the steward there
    is lost: the next one finds its runs, while a steward elsewhere could start a
    task that still runs.
    """

    __slots__ = ("_clock", "_data_centre", "_leaders")

    def __init__(
        self, *, data_centre: str, leaders: Leaders, clock: clocks.Clock
    ) -> None:
        """Creates a home.

        Args:
            data_centre: Data centre of this instance.
            leaders: The stewards that can be asked.
            clock: Time source.
        """
        self._data_centre = data_centre
        self._leaders = leaders
        self._clock = clock

    async def run(self, job: jobs.Job) -> outcomes.Outcome:
        """Returns the outcome of a job; cancelling the call ends the job."""
        parts = await self._divide(job)
        if not parts:
            return outcomes.NotRun(
                outcomes.Cause.NO_ENDPOINT,
                "no steward was found",
                _RETRY_AFTER_S,
            )
        if len(parts) == 1:
            return await self._follow(parts[0])
        tasks = [asyncio.create_task(self._follow(part)) for part in parts]
        try:
            outcome = await self._gather(tasks)
            match outcome:
                case outcomes.NotRun():
                    return await self._withdraw(parts, tasks, outcome)
                case _:
                    return outcome
        finally:
            for task in tasks:
                task.cancel()

    async def _divide(self, job: jobs.Job) -> list[_Part]:
        """Divides a job as soon as any steward can be asked."""
        search_until = self._search_until(job)
        while True:
            divided = partitioning.partition(
                job, self._leaders.offers(), own=self._data_centre
            )
            if divided or self._clock.monotonic() > search_until:
                break
            await asyncio.sleep(_RETRY_S)
        for data_centre, part in divided:
            self._leaders.expect(data_centre, part)
        return [
            _Part(part, data_centre, lent=number > 0)
            for number, (data_centre, part) in enumerate(divided)
        ]

    def _search_until(self, job: jobs.Job) -> float:
        """Returns the time up to which a job may wait for a steward.

        While one is expected it is worth waiting for as long as an answer is of
        use; otherwise the caller is told soon.
        """
        now = self._clock.monotonic()
        soon = now + max(
            _MIN_SEARCH_S, (job.objective_at - now) * _SEARCH_SHARE
        )
        expected = now + _SUCCESSION_S - self._leaders.unserved_s
        useful = min(job.expires_at, job.deadline_at) - job.estimate_s
        return max(soon, min(expected, useful))

    async def _gather(
        self, tasks: list[asyncio.Task[outcomes.Outcome]]
    ) -> outcomes.Outcome:
        """Returns the outcome of all parts; the first failure decides."""
        for following in asyncio.as_completed(tasks):
            outcome = await following
            match outcome:
                case outcomes.Complete():
                    continue
                case _:
                    return outcome
        return outcomes.Complete(())

    async def _withdraw(
        self,
        parts: list[_Part],
        tasks: list[asyncio.Task[outcomes.Outcome]],
        refusal: outcomes.NotRun,
    ) -> outcomes.Outcome:
        """Ends the other parts of a job of which one part was refused.

        Returns:
            The refusal, if no other part has started.
        """
        for part, task in zip(parts, tasks, strict=True):
            route = self._leaders.route(part.data_centre)
            if not task.done() and route is not None:
                route.cancel(part.job.name)
        await asyncio.wait(tasks, timeout=_WITHDRAWAL_S)
        for task in tasks:
            if task.done() and isinstance(task.result(), outcomes.NotRun):
                continue
            return outcomes.Unknown(refusal.cause, refusal.detail)
        return refusal

    async def _follow(self, part: _Part) -> outcomes.Outcome:
        """Returns the outcome of a part, from however many stewards it takes."""
        search_until = self._search_until(part.job)
        while True:
            now = self._clock.monotonic()
            if now >= part.job.deadline_at:
                return _give_up(part, outcomes.Cause.DEADLINE)
            route = self._leaders.route(part.data_centre)
            if route is not None:
                outcome = await self._ask(route, part)
                if outcome is not None:
                    return outcome
            elif not part.moved:
                self._move(part)
            until = part.lost_at + _SUCCESSION_S if part.moved else search_until
            if self._clock.monotonic() > until:
                return _give_up(part, outcomes.Cause.NO_ENDPOINT)
            await asyncio.sleep(_RETRY_S)

    def _move(self, part: _Part) -> None:
        """Offers a part that has not started where a steward can be asked."""
        if self._leaders.route(self._data_centre) is not None:
            part.data_centre = self._data_centre
            return
        offers = list(self._leaders.offers())
        if offers:
            best = min(offers, key=partitioning.attraction)
            part.data_centre = best.data_centre

    async def _ask(self, route: Route, part: _Part) -> outcomes.Outcome | None:
        """Returns the outcome, or None if another steward must be asked."""
        moved = part.moved
        try:
            outcome = await route.submit(
                part.job, moved=moved, lent=part.lent and not moved
            )
        except asyncio.CancelledError:
            route.cancel(part.job.name)
            raise
        except errors.PeerNotSentError:
            return None
        except errors.PeerError:
            part.moved = True
            part.lost_at = self._clock.monotonic()
            return None
        match outcome:
            case outcomes.NotRun(cause=outcomes.Cause.NO_ROOM) if not moved:
                # The room went to others meanwhile; it waits at home instead.
                self._leaders.refused(part.data_centre)
                part.data_centre = self._data_centre
                part.lent = False
                return await self._ask_again(part)
            case outcomes.NotRun(cause=outcomes.Cause.NOT_STEWARD):
                return None
            case outcomes.Unknown(cause=outcomes.Cause.STEWARD_LOST):
                part.moved = True
                part.lost_at = self._clock.monotonic()
                return None
            case outcomes.NotRun() if moved:
                # An earlier steward may have started tasks.
                return outcomes.Unknown(outcome.cause, outcome.detail)
            case _:
                return outcome

    async def _ask_again(self, part: _Part) -> outcomes.Outcome | None:
        route = self._leaders.route(part.data_centre)
        return None if route is None else await self._ask(route, part)


def _give_up(part: _Part, cause: outcomes.Cause) -> outcomes.Outcome:
    if part.moved:
        return outcomes.Unknown(cause, "its steward was lost")
    return outcomes.NotRun(cause, "no steward was found", _RETRY_AFTER_S)
