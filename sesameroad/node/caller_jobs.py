"""The jobs of the callers of this instance, each of which is owed an answer."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from sesameroad.jobs import cancellations as cancellations_module
from sesameroad.jobs import ending
from sesameroad.model import clocks
from sesameroad.model import jobs
from sesameroad.model import outcomes
from sesameroad.telemetry import log

# Time within which the leaders report whether a withdrawn job has started.
_WITHDRAW_TIMEOUT_S = 0.3
_RETRY_AFTER_S = 1.0
_CANCELLED = outcomes.Unknown(
    outcomes.Cause.CANCELLED, "its task was cancelled"
)

# Called at the end of each job with its outcome, None if its callers have left,
# and the time at which it began.
Ended = Callable[[jobs.Job, outcomes.Outcome | None, float], None]


class Coordinator(Protocol):
    """Runs jobs at the leaders."""

    async def run(self, job: jobs.Job) -> outcomes.Outcome:
        """Returns the outcome of a job; cancelling the call cancels the job."""

    def withdraw(self, key: str) -> None:
        """Asks the leaders to end a job."""

    def stopped(self, key: str) -> outcomes.Outcome:
        """Returns the outcome of a job whose leaders have not answered."""


@dataclasses.dataclass(slots=True)
class _RunningJob:
    """A job, the answer to its callers, and the number of calls that wait."""

    job: jobs.Job
    task: asyncio.Task[outcomes.Outcome]
    answer: asyncio.Future[outcomes.Outcome]
    callers: int = 0


class CallerJobs:
    """Runs each job once for all calls that wait for it, and answers them."""

    __slots__ = (
        "_cancellations",
        "_clock",
        "_coordinator",
        "_ended",
        "_jobs",
        "_withdrawn",
    )

    def __init__(
        self,
        *,
        coordinator: Coordinator,
        ended: Ended,
        clock: clocks.Clock,
        cancellations: cancellations_module.Cancellations | None = None,
    ) -> None:
        """Creates the table without jobs.

        Args:
            coordinator: Runs the jobs.
            ended: Called at the end of each job.
            clock: Time source.
            cancellations: Cancelled keys that this instance knows, none by
                default.
        """
        self._coordinator = coordinator
        self._ended = ended
        self._clock = clock
        self._jobs: dict[str, _RunningJob] = {}
        self._cancellations = (
            cancellations_module.Cancellations()
            if cancellations is None
            else cancellations
        )
        # Whether no job may begin any more.
        self._withdrawn = False

    def __len__(self) -> int:
        return len(self._jobs)

    def is_running(self, key: str) -> bool:
        """Returns whether a job of this key is running."""
        return key in self._jobs

    async def run(self, job: jobs.Job) -> outcomes.Outcome:
        """Runs a job for a caller; it ends once all its callers have left.

        A caller may repeat its request while the job is running, and the loss
        of its former connection may be noticed only after that.
        """
        if self._cancellations.contains(job.key, self._clock.monotonic()):
            return ending.cancelled()
        running = self._jobs.get(job.key)
        while running is not None and running.task.cancelling():
            await asyncio.wait([running.task])
            running = self._jobs.get(job.key)
        if running is None:
            if self._withdrawn:
                return outcomes.NotRun(
                    outcomes.Cause.STOPPING,
                    "this instance stops",
                    _RETRY_AFTER_S,
                )
            running = self._begin(job)
        running.callers += 1
        try:
            return await asyncio.shield(running.answer)
        finally:
            running.callers -= 1
            if not running.callers and not running.task.done():
                running.task.cancel()
                await asyncio.wait([running.task])

    def cancel(self, key: str) -> bool:
        """Cancels a job and later attempts; returns whether one was running."""
        self._cancellations.add(key, self._clock.monotonic())
        running = self._jobs.get(key)
        if running is None:
            return False
        self._answer(running, ending.cancelled())
        running.task.cancel()
        return True

    async def withdraw_all(self) -> None:
        """Ends all jobs and answers their callers.

        A job that waits at a leader without a started task is answered as not
        run. One whose leaders do not answer in time may have started. Jobs that
        arrive later are refused.
        """
        self._withdrawn = True
        for key in list(self._jobs):
            self._coordinator.withdraw(key)
        remaining = [running.task for running in self._jobs.values()]
        if remaining:
            await asyncio.wait(remaining, timeout=_WITHDRAW_TIMEOUT_S)
        for key, running in list(self._jobs.items()):
            if not running.task.done():
                self._answer(running, self._coordinator.stopped(key))
                running.task.cancel()

    def _begin(self, job: jobs.Job) -> _RunningJob:
        began_at = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        running = _RunningJob(
            job,
            asyncio.create_task(self._coordinator.run(job)),
            loop.create_future(),
        )
        self._jobs[job.key] = running

        def end(task: asyncio.Task[outcomes.Outcome]) -> None:
            del self._jobs[job.key]
            if not task.cancelled():
                error = task.exception()
                if error is None:
                    self._answer(running, task.result())
                elif not running.answer.done():
                    running.answer.set_exception(error)
            elif running.callers and not running.answer.done():
                # Otherwise the connections of its callers would be closed.
                log.problem(
                    "job was cancelled while a caller waits",
                    step="answer",
                    request=job.key,
                )
                self._answer(running, _CANCELLED)
            running.answer.cancel()
            answered = (
                not running.answer.cancelled()
                and running.answer.exception() is None
            )
            outcome = running.answer.result() if answered else None
            self._ended(job, outcome, began_at)

        running.task.add_done_callback(end)
        return running

    def _answer(self, running: _RunningJob, outcome: outcomes.Outcome) -> None:
        if not running.answer.done():
            running.answer.set_result(outcome)
