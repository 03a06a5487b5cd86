"""Submits a caller's job to the leaders and collects its outcome."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from sesameroad import errors
from sesameroad.jobs import partitioning
from sesameroad.membership import evacuations as evacuations_module
from sesameroad.model import clocks
from sesameroad.model import jobs
from sesameroad.model import outcomes

# Fraction of the time until its objective for which a job waits for a leader
# when none is expected soon. A later refusal leaves the caller no time for a
# retry elsewhere.
_SEARCH_SHARE = 0.25
_MIN_SEARCH_S = 0.05
# Time within which a leader is elected after the previous one was lost or all
# instances have started: the peer timeout plus the pause before a claim.
_ELECTION_S = 1.2
# Time to wait for the leaders of the other parts to report whether their tasks
# have started.
_CANCEL_TIMEOUT_S = 0.2
_RETRY_S = 0.02
_RETRY_AFTER_S = 1.0


class Route(Protocol):
    """Access to the leader of a data centre."""

    async def submit(
        self, job: jobs.Job, *, moved: bool, lent: bool
    ) -> outcomes.Outcome:
        """Runs a job.

        Raises:
            PeerNotSentError: If the job was not sent to the leader.
            PeerError: If the leader may have received the job but did not
                answer.
        """

    def cancel(self, name: str) -> None:
        """Cancels a job."""


class Leaders(Protocol):
    """The leaders that are reachable now."""

    @property
    def unserved_s(self) -> float:
        """Time for which no leader has been reachable, 0 if one is."""

    def offers(self) -> Iterable[partitioning.Offer]:
        """Returns the capacity that each leader reports."""

    def route(self, data_centre: str) -> Route | None:
        """Returns the route to the leader of a data centre, or None."""

    def reserve(self, data_centre: str, job: jobs.Job) -> None:
        """Reserves capacity for a job that is being sent."""

    def mark_full(self, data_centre: str) -> None:
        """Records that the leader has refused a part for lack of capacity."""


@dataclasses.dataclass(slots=True)
class _Part:
    """Tasks of a job that are submitted to one data centre.

    Attributes:
        job: The tasks.
        data_centre: Data centre to which they are submitted.
        lent: Whether they are there only because their own data centre is full.
        moved: Whether an earlier leader may have started them.
        lost_at: Time at which a leader was lost, 0 if none was.
        route: Route to the leader that has it, None while there is none.
        offered: Whether it was sent to any leader.
        refusal: Refusal of a leader without capacity, after which it was offered
            to another one.
        refused_in: Evacuated data centres whose leaders have refused it.
        confined: Whether only its data centre can run it.
    """

    job: jobs.Job
    data_centre: str
    lent: bool
    moved: bool = False
    lost_at: float = 0.0
    route: Route | None = None
    offered: bool = False
    refusal: outcomes.NotRun | None = None
    refused_in: set[str] = dataclasses.field(default_factory=set)
    confined: bool = False

    def record_move(
        self,
        now: float,
        *,
        unstarted: Iterable[int] = (),
        succeeded: Iterable[int] = (),
    ) -> None:
        """Records the loss of a leader that may have started tasks.

        Args:
            now: Current time.
            unstarted: Indices of tasks that the leader has not started.
            succeeded: Indices of tasks that have succeeded.
        """
        known = self.job.unstarted if self.moved else self.job.indices
        self.job = dataclasses.replace(
            self.job,
            unstarted=tuple(i for i in known if i in set(unstarted)),
            succeeded=tuple({*self.job.succeeded, *succeeded}),
        )
        self.moved = True
        self.lost_at = now


class JobCoordinator:
    """Partitions jobs among data centres and retries parts on leader changes.

    A part that may have started stays in its data centre when the leader there
    is lost: the next leader finds its runs, whereas a leader elsewhere could
    start a task that is still running.
    """

    __slots__ = (
        "_clock",
        "_confined_to",
        "_data_centre",
        "_evacuations",
        "_last_offer",
        "_leaders",
        "_left",
        "_parts",
        "_reroutes",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        leaders: Leaders,
        clock: clocks.Clock,
        evacuations: evacuations_module.Evacuations | None = None,
        confined_to: Callable[[jobs.Job], Sequence[str]] = lambda job: (),
        reroutes: bool = False,
        left: Callable[[jobs.Job], None] = lambda job: None,
    ) -> None:
        """Creates a coordinator.

        Args:
            data_centre: Data centre of this instance.
            leaders: The leaders that are reachable.
            clock: Time source.
            evacuations: The evacuated data centres; None if there are never
                any.
            confined_to: Returns the data centres that alone can run a job, none
                if all can: evacuated ones, whose leader knows whether an
                earlier attempt is running and refuses the job otherwise, or
                those of endpoints that may still carry out a start of it.
            reroutes: Whether a job that one leader refuses for want of capacity
                is offered once to another one.
            left: Called with a job, or part, that a leader may have started and
                that no leader has any more.
        """
        self._evacuations = evacuations
        self._confined_to = confined_to
        self._data_centre = data_centre
        self._leaders = leaders
        self._clock = clock
        self._reroutes = reroutes
        self._left = left
        # Number of the last offer to a leader.
        self._last_offer = 0
        # Parts of the running jobs, by key.
        self._parts: dict[str, list[_Part]] = {}

    def withdraw(self, key: str) -> None:
        """Asks the leaders to end a job; `run` then returns its outcome."""
        for part in self._parts.get(key, ()):
            if part.route is not None:
                part.route.cancel(part.job.name)

    def between_leaders(self) -> list[jobs.Job]:
        """Returns the offered jobs, or parts, that no leader has now."""
        return [
            part.job
            for parts in self._parts.values()
            for part in parts
            if part.offered and part.route is None
        ]

    def stopped(self, key: str) -> outcomes.Outcome:
        """Returns the outcome of a job that ends here before its leaders answer.

        Args:
            key: Key of a running job.
        """
        detail = "this instance stops"
        if any(part.offered for part in self._parts.get(key, ())):
            return outcomes.Unknown(outcomes.Cause.STOPPING, detail)
        return outcomes.NotRun(outcomes.Cause.STOPPING, detail, _RETRY_AFTER_S)

    async def run(self, job: jobs.Job) -> outcomes.Outcome:
        """Returns the outcome of a job; cancelling the call cancels the job."""
        parts = await self._partition(job)
        if not parts:
            return outcomes.NotRun(
                outcomes.Cause.NO_ENDPOINT,
                "no steward was found",
                _RETRY_AFTER_S,
            )
        self._parts[job.key] = parts
        try:
            return await self._run_parts(parts)
        finally:
            del self._parts[job.key]

    async def _run_parts(self, parts: list[_Part]) -> outcomes.Outcome:
        if len(parts) == 1:
            return await self._run_part(parts[0])
        tasks = [asyncio.create_task(self._run_part(part)) for part in parts]
        try:
            outcome = await self._gather(tasks)
            match outcome:
                case outcomes.NotRun():
                    return await self._cancel_parts(parts, tasks, outcome)
                case _:
                    return outcome
        finally:
            for task in tasks:
                task.cancel()

    async def _partition(self, job: jobs.Job) -> list[_Part]:
        """Partitions a job as soon as any leader is reachable."""
        for data_centre in self._confined_to(job):
            if self._leaders.route(data_centre) is not None:
                return [_Part(job, data_centre, lent=False, confined=True)]
        search_until = self._search_until(job)
        while True:
            assignments = partitioning.partition(
                job, self._leaders.offers(), own=self._data_centre
            )
            if assignments or self._clock.monotonic() > search_until:
                break
            await asyncio.sleep(_RETRY_S)
        for data_centre, part in assignments:
            self._leaders.reserve(data_centre, part)
        return [
            _Part(part, data_centre, lent=number > 0)
            for number, (data_centre, part) in enumerate(assignments)
        ]

    def _search_until(self, job: jobs.Job) -> float:
        """Returns the time until which a job waits for a leader.

        While an election is expected, the job waits as long as a response can
        still be of use; otherwise the caller gets an early refusal.
        """
        now = self._clock.monotonic()
        early = now + max(
            _MIN_SEARCH_S, (job.objective_at - now) * _SEARCH_SHARE
        )
        expected = now + _ELECTION_S - self._leaders.unserved_s
        useful = min(job.expires_at, job.deadline_at) - job.estimate_s
        return max(early, min(expected, useful))

    async def _gather(
        self, tasks: list[asyncio.Task[outcomes.Outcome]]
    ) -> outcomes.Outcome:
        """Combines the outcomes of all parts; the first failure decides."""
        for completed in asyncio.as_completed(tasks):
            outcome = await completed
            match outcome:
                case outcomes.Complete():
                    continue
                case _:
                    return outcome
        return outcomes.Complete(())

    async def _cancel_parts(
        self,
        parts: list[_Part],
        tasks: list[asyncio.Task[outcomes.Outcome]],
        refusal: outcomes.NotRun,
    ) -> outcomes.Outcome:
        """Cancels the other parts of a job of which one part was refused.

        Returns:
            The refusal if no other part has started, else an unknown outcome.
        """
        for part, task in zip(parts, tasks, strict=True):
            route = self._leaders.route(part.data_centre)
            if not task.done() and route is not None:
                route.cancel(part.job.name)
        await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_S)
        for task in tasks:
            if task.done() and isinstance(task.result(), outcomes.NotRun):
                continue
            return outcomes.Unknown(refusal.cause, refusal.detail)
        return refusal

    async def _run_part(self, part: _Part) -> outcomes.Outcome:
        """Runs a part to its end, across changes of the leader."""
        search_until = self._search_until(part.job)
        while True:
            now = self._clock.monotonic()
            if now >= part.job.deadline_at:
                return _abandoned(part, outcomes.Cause.DEADLINE)
            route = self._leaders.route(part.data_centre)
            if route is not None:
                outcome = await self._submit(route, part)
                if outcome is not None:
                    return outcome
                if self._clock.monotonic() - now > _RETRY_S:
                    # The leader had the job before it resigned.
                    search_until = self._search_until(part.job)
                    part.lost_at = self._clock.monotonic()
            elif not part.moved:
                self._reassign(part)
            until = part.lost_at + _ELECTION_S if part.moved else search_until
            if self._clock.monotonic() > until:
                return _abandoned(part, outcomes.Cause.NO_ENDPOINT)
            await asyncio.sleep(_RETRY_S)

    def _reassign(self, part: _Part) -> None:
        """Moves a part that has not started to a reachable leader."""
        if self._leaders.route(
            self._data_centre
        ) is not None and not self._is_evacuated(self._data_centre):
            part.data_centre = self._data_centre
        else:
            part.data_centre = self._best(part) or part.data_centre

    def _best(self, part: _Part) -> str:
        """Returns the best data centre that has not refused a part, or ""."""
        offers = [
            offer
            for offer in self._leaders.offers()
            if offer.data_centre not in part.refused_in
        ]
        if not offers:
            return ""
        return min(offers, key=partitioning.preference).data_centre

    def _is_evacuated(self, data_centre: str) -> bool:
        return self._evacuations is not None and self._evacuations.covers(
            data_centre
        )

    async def _submit(
        self, route: Route, part: _Part
    ) -> outcomes.Outcome | None:
        """Returns the outcome, or None if another leader must be tried."""
        moved = part.moved
        part.route = route
        part.offered = True
        job = dataclasses.replace(part.job, offer=self._next_offer())
        try:
            outcome = await route.submit(
                job, moved=moved, lent=part.lent and not moved
            )
        except asyncio.CancelledError:
            route.cancel(part.job.name)
            raise
        except errors.PeerNotSentError:
            return None
        except errors.PeerError:
            part.record_move(self._clock.monotonic())
            self._left(part.job)
            return None
        finally:
            part.route = None
        match outcome:
            case outcomes.NotRun(cause=outcomes.Cause.OVERLOAD) if (
                not moved and part.refusal is None
            ):
                return await self._reroute(part, outcome)
            case outcomes.NotRun(cause=outcomes.Cause.NO_ROOM) if (
                part.refusal is not None and not moved
            ):
                # Both leaders have refused it, so none has started a task.
                self._leaders.mark_full(part.data_centre)
                return part.refusal
            case outcomes.NotRun(cause=outcomes.Cause.NO_ROOM) if not moved:
                # Other jobs have taken the capacity in the meantime; the part
                # waits in its own data centre instead.
                self._leaders.mark_full(part.data_centre)
                part.data_centre = self._data_centre
                if self._is_evacuated(self._data_centre):
                    part.data_centre = self._best(part) or self._data_centre
                part.lent = False
                return await self._resubmit(part)
            case outcomes.NotRun(cause=outcomes.Cause.NO_ENDPOINT) if not (
                moved or part.confined
            ) and self._is_evacuated(part.data_centre):
                # The data centre was evacuated after the part was sent there.
                part.refused_in.add(part.data_centre)
                elsewhere = self._best(part)
                if not elsewhere:
                    return outcome
                part.data_centre = elsewhere
                part.lent = False
                return await self._resubmit(part)
            case outcomes.NotRun(cause=outcomes.Cause.NOT_STEWARD):
                return None
            case outcomes.Unknown(cause=outcomes.Cause.STEWARD_LOST):
                part.record_move(
                    self._clock.monotonic(),
                    unstarted=outcome.unstarted,
                    succeeded=outcome.succeeded,
                )
                self._left(part.job)
                return None
            case outcomes.NotRun() if moved:
                # An earlier leader may have started tasks.
                return outcomes.Unknown(outcome.cause, outcome.detail)
            case _:
                return outcome

    def _next_offer(self) -> int:
        """Returns a number above those of all offers, also before a restart."""
        self._last_offer = max(self._last_offer + 1, self._clock.wall_ms())
        return self._last_offer

    async def _reroute(
        self, part: _Part, refusal: outcomes.NotRun
    ) -> outcomes.Outcome | None:
        """Offers a refused job once to a leader with room for all of it.

        Load that peaks in one data centre makes its leader refuse jobs while
        others have free cores. What they report is up to a heartbeat old, so
        the other leader takes the job only if it can start at once.
        """
        job = part.job
        if not self._reroutes or job.committed:
            return refusal
        offers = [
            offer
            for offer in self._leaders.offers()
            if offer.data_centre != part.data_centre
            and not self._is_evacuated(offer.data_centre)
            and offer.room(job) >= job.count
        ]
        if not offers:
            return refusal
        best = min(offers, key=partitioning.preference)
        part.refusal = refusal
        part.data_centre = best.data_centre
        part.lent = True
        self._leaders.reserve(best.data_centre, job)
        return await self._resubmit(part)

    async def _resubmit(self, part: _Part) -> outcomes.Outcome | None:
        route = self._leaders.route(part.data_centre)
        return None if route is None else await self._submit(route, part)


def _abandoned(part: _Part, cause: outcomes.Cause) -> outcomes.Outcome:
    if part.moved:
        return outcomes.Unknown(cause, "its leader was lost")
    return outcomes.NotRun(cause, "no steward was found", _RETRY_AFTER_S)
