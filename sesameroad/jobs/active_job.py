"""State of a job at the leader that runs it."""

import asyncio
import collections
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import math
from typing import Protocol

from sesameroad.leasing import runs
from sesameroad.model import jobs
from sesameroad.model import outcomes

# Bounds the runs listed in the log line of a job; twice the tasks of a wide
# job.
_MAX_HISTORY = 64
# Time within which the runs of a job must have ended after its origin was lost
# or the job was given up. The caller submits it again after 1.3 s, possibly to a
# leader that does not know these runs.
_RETURN_S = 1.2
# Time after which runs of another leader have ended on endpoints that this leader
# does not know: a lease of 1 s on a clock that is 2% slow, plus the time to stop
# the runs. The endpoint list may lack an endpoint that the other leader held, for
# example after a network partition.
_ORPHAN_S = 1.2


class Origin(Protocol):
    """The instance whose caller waits for a job."""

    @property
    def id(self) -> str:
        """Instance id."""

    @property
    def live(self) -> bool:
        """Whether the instance was heard in time."""

    @property
    def silent_s(self) -> float:
        """Time since the instance was last heard, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Waiter:
    """An attempt of the caller that waits for a job.

    Attributes:
        origin: Instance that waits.
        answer: Gets the outcome.
        accepted_at: Time at which the origin accepted the attempt, or at which it
            arrived if that is unknown.
        offer: Number of its offer here, 0 if unknown.
    """

    origin: Origin
    answer: asyncio.Future[outcomes.Outcome]
    accepted_at: float
    offer: int


class ActiveJob:
    """One job: its waiting tasks, its runs and the origins that wait for it.

    Attributes:
        arrived_at: Time at which it arrived at this leader.
        first_sent_at: Time at which its first task was sent, 0 before.
        started: Whether any task has been sent to an endpoint.
        moved: Whether another leader may have started some of its tasks.
        moved_runs_end_by: Time by which such tasks have ended on endpoints that
            this leader does not know, 0 if there are none.
        maybe_started: Indices of tasks that another leader, or an earlier
            attempt, may have started.
        seen_started: Indices of tasks that this leader has sent, or found
            running or done.
        succeeded: Indices of tasks that have succeeded.
        avoided: Endpoints on which tasks of the job have failed.
        began_at: Time at which the earliest known attempt was accepted, or an
            earlier one from which it is old enough for other leaders to know.
        held_back_by: Leaders with runs for another offer, and the time by which
            these have ended at the latest. Nothing starts before.
        told: Sessions of other leaders that were told of it, with their ids.
        closing: Whether the outcome is decided and remaining runs are being
            stopped.
        done: Number of tasks that have succeeded.
        resumes_after: Time after which all live origins must have been heard
            before waiting tasks are started.
        waiting: Indices of tasks that wait for capacity.
        runs: Runs that have not ended, by task index.
        sends: Number of starts sent so far.
        history: Results of its runs, for the log.
    """

    __slots__ = (
        "_failures",
        "_job",
        "_numbers",
        "_waiters",
        "arrived_at",
        "avoided",
        "began_at",
        "closing",
        "done",
        "first_sent_at",
        "held_back_by",
        "history",
        "maybe_started",
        "moved",
        "moved_runs_end_by",
        "resumes_after",
        "runs",
        "seen_started",
        "sends",
        "started",
        "succeeded",
        "told",
        "waiting",
    )

    def __init__(self, job: jobs.Job, *, now: float) -> None:
        self._job = job
        self._failures: collections.Counter[int] = collections.Counter()
        self._numbers: dict[int, int] = {}
        self._waiters: dict[str, Waiter] = {}
        self.arrived_at = now
        self.began_at = job.accepted_at or now
        self.held_back_by: dict[str, float] = {}
        self.told: dict[Hashable, str] = {}
        self.first_sent_at = 0.0
        self.started = False
        self.moved = False
        self.moved_runs_end_by = 0.0
        self.maybe_started: set[int] = set()
        self.seen_started: set[int] = set()
        self.succeeded: set[int] = set()
        self.avoided: set[str] = set()
        self.closing = False
        self.done = 0
        self.resumes_after = -math.inf
        self.waiting: collections.deque[int] = collections.deque(job.indices)
        self.runs: dict[int, runs.Run] = {}
        self.sends = 0
        self.history: list[str] = []

    @property
    def job(self) -> jobs.Job:
        """The job as submitted."""
        return self._job

    @property
    def origins(self) -> list[str]:
        """Ids of the instances that wait for the outcome."""
        return list(self._waiters)

    @property
    def offers(self) -> dict[str, int]:
        """Number of the offer of each instance that waits, 0 if unknown."""
        return {name: w.offer for name, w in self._waiters.items()}

    @property
    def latest(self) -> Waiter:
        """The latest attempt that waits for the outcome."""
        return max(self._waiters.values(), key=lambda w: w.accepted_at)

    @property
    def has_live_origin(self) -> bool:
        """Whether the instance of the latest attempt is alive.

        The caller has left the earlier attempts. If that instance is lost, it may
        offer the job to a leader that knows nothing of the runs here, however
        long the instance of an earlier attempt goes on waiting.
        """
        return bool(self._waiters) and self.latest.origin.live

    def may_resume(self, now: float) -> bool:
        """Returns whether the caller waits and runs that were given up are gone.

        All origins that live must have been heard since then. A start is refused
        without a live origin of the latest attempt, or after the deadline; its
        task would be placed again at once.
        """
        if now >= self._job.deadline_at or not self.has_live_origin:
            return False
        return all(
            now - w.origin.silent_s >= self.resumes_after
            for w in self._waiters.values()
            if w.origin.live
        )

    def record_move(self, now: float, unstarted: Iterable[int] = ()) -> None:
        """Records that another leader may have started tasks until now.

        Args:
            now: Current time.
            unstarted: Indices of tasks that no other leader has started.
        """
        self.moved = True
        self.moved_runs_end_by = now + _ORPHAN_S
        self.maybe_started.update(set(self._job.indices).difference(unstarted))

    def record_success(self, index: int) -> None:
        """Counts a task that has succeeded and no longer waits or runs."""
        self.started = True
        self.seen_started.add(index)
        self.succeeded.add(index)
        self.done += 1

    def record_told(self, succeeded: Iterable[int]) -> None:
        """Counts the waiting tasks that have succeeded at another leader."""
        for index in succeeded:
            if index in self.waiting:
                self.waiting.remove(index)
                self.record_success(index)

    def record_earlier_attempt(self) -> None:
        """Records that an earlier attempt may have started any task."""
        self.started = True
        self.maybe_started.update(self._job.indices)

    def may_run_elsewhere(self, index: int, now: float) -> bool:
        """Returns whether an unknown endpoint may run a task of a moved job."""
        return now < self.moved_runs_end_by and index in self.maybe_started

    def has_startable(self, now: float) -> bool:
        """Returns whether any waiting task runs on no unknown endpoint."""
        return now >= self.moved_runs_end_by or any(
            index not in self.maybe_started for index in self.waiting
        )

    def hold_back(self, leader: str, until: float) -> None:
        """Starts nothing before the runs of another leader have ended."""
        self.held_back_by[leader] = max(
            until, self.held_back_by.get(leader, until)
        )

    def release(self, leader: str, until: float) -> None:
        """Records an earlier time by which runs of a leader have ended."""
        if leader in self.held_back_by:
            self.held_back_by[leader] = min(until, self.held_back_by[leader])

    def release_expired(self, now: float) -> None:
        """Removes the leaders whose runs have ended."""
        for leader, until in list(self.held_back_by.items()):
            if now >= until:
                del self.held_back_by[leader]

    @property
    def is_complete(self) -> bool:
        """Whether all tasks have succeeded."""
        return self.done >= self._job.count

    @property
    def is_accounted_for(self) -> bool:
        """Whether each task waits, has a run, or has succeeded.

        A job that is not complete would otherwise never end.
        """
        known = len(self.waiting) + len(self.runs) + self.done
        return known == self._job.count

    @property
    def unstarted(self) -> tuple[int, ...]:
        """Indices of the tasks that neither this nor another leader started."""
        return tuple(
            index
            for index in self._job.indices
            if index not in self.maybe_started
            and index not in self.seen_started
        )

    @property
    def begun(self) -> bool:
        """Whether tasks of it, or of another part of the job, may have run."""
        return bool(
            self.started or self.runs or self.moved or self._job.committed
        )

    @property
    def latest_start(self) -> float:
        """Latest start of the last task that still meets the objective."""
        return self._job.objective_at - self._job.estimate_s

    @property
    def waiting_core_seconds(self) -> float:
        """Declared work of the waiting tasks."""
        job = self._job
        return len(self.waiting) * job.need.cores * job.estimate_s

    def join(
        self, origin: Origin, job: jobs.Job, *, now: float
    ) -> asyncio.Future[outcomes.Outcome]:
        """Adds an instance that waits, replacing an earlier attempt of it.

        Args:
            origin: The instance.
            job: The job as it offers it.
            now: Current time.
        """
        previous = self._waiters.get(origin.id)
        if previous is not None and not previous.answer.done():
            previous.answer.set_result(
                outcomes.Unknown(
                    outcomes.Cause.CANCELLED, "replaced by a later attempt"
                )
            )
        future: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        accepted_at = job.accepted_at or now
        self.began_at = min(self.began_at, accepted_at)
        self._waiters[origin.id] = Waiter(
            origin, future, accepted_at, job.offer
        )
        # Other leaders are told again, with this origin.
        self.told = {}
        return future

    def leave(self, origin_id: str) -> None:
        """Removes an instance that no longer waits."""
        waiter = self._waiters.pop(origin_id, None)
        if waiter is not None and not waiter.answer.done():
            waiter.answer.set_result(
                outcomes.Unknown(outcomes.Cause.CANCELLED, "cancelled")
            )

    def runs_end_by(self, now: float) -> float:
        """Returns the time by which its runs end if it is given up now.

        The caller may have lost its instance when that was last heard.
        """
        silent_s = self.latest.origin.silent_s if self._waiters else 0.0
        return now - silent_s + _RETURN_S

    def settle(self, outcome: outcomes.Outcome) -> None:
        """Sends the outcome to all instances that wait."""
        self.closing = True
        self.waiting.clear()
        for waiter in self._waiters.values():
            if not waiter.answer.done():
                waiter.answer.set_result(outcome)
        self._waiters.clear()

    def add_history(self, text: str) -> None:
        """Adds an entry to the history unless it is full."""
        if len(self.history) < _MAX_HISTORY:
            self.history.append(text)

    def new_run(self, index: int, number: int) -> runs.Run:
        """Returns a new run of a task, not yet added to any table."""
        job = self._job
        return runs.Run(
            task=job.task(index),
            number=number,
            key=job.key,
            job=job.name,
            index=index,
            cores=job.need.cores,
            memory_mb=job.need.memory_mb,
            accelerators=job.need.accelerators,
            estimate_s=job.estimate_s,
            spec=job.spec,
            queue=job.queue,
        )

    def next_run_number(self, index: int) -> int:
        """Returns the number of the next run of a task."""
        number = self._numbers.get(index, 0) + 1
        self._numbers[index] = number
        return number

    def raise_run_number(self, index: int, number: int) -> None:
        """Makes sure that later runs of a task get a higher number."""
        self._numbers[index] = max(self._numbers.get(index, 0), number)

    def record_failure(self, index: int) -> bool:
        """Counts a failed run and returns whether the task may be retried."""
        self._failures[index] += 1
        return self._failures[index] < self._job.max_attempts
