"""Starts without an answer, which keep their tasks at their endpoints."""

from collections.abc import Iterable
import dataclasses

from sesameroad.jobs import active_job
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs
from sesameroad.model import held_up
from sesameroad.model import jobs

# Starts of a task in a row without an answer after which the next ones wait for the
# pause of the endpoint: its path may hold up all of them.
_MAX_TRIES_AT_ONCE = 3
# Time between starts of a task in a row without success after which a job no longer
# counts on the endpoint; with the pauses of the endpoint, the seventh start.
_MAX_FAILING_S = 3.0


@dataclasses.dataclass(slots=True)
class _HeldUpStart:
    """A start that may still be carried out.

    Attributes:
        endpoint: Id of the endpoint to which it was sent.
        until: Time at which its run has ended, if there was any.
        number: Number of its run, 0 if another leader has sent it.
        tries: Number of starts in a row that were refused or not answered.
        failing_since: Time at which the first of them was sent.
        failed_at: Time at which the last of them was sent.
        retries_at_once: Whether the next start need not wait for the pause of
            the endpoint.
    """

    endpoint: str
    until: float
    number: int = 0
    tries: int = 0
    failing_since: float = 0.0
    failed_at: float = 0.0
    retries_at_once: bool = True

    def record_failure(self, sent_at: float) -> None:
        """Records a start that was refused or not answered."""
        if not self.tries:
            self.failing_since = sent_at
        self.tries += 1
        self.failed_at = sent_at

    @property
    def is_failing(self) -> bool:
        """Whether the endpoint can't be expected to accept the task soon."""
        return (
            self.tries > _MAX_TRIES_AT_ONCE
            and self.failed_at - self.failing_since >= _MAX_FAILING_S
        )


class HeldUpStarts:
    """Tasks that start at one endpoint only while a start may be carried out.

    An endpoint never has two runs of a task. But neither a stop nor a raised
    token nor the end of the lease prevents a start that arrives after its
    endpoint has started again. So the task of a start without an answer starts
    at the same endpoint, or nowhere, until that start can no longer come. If
    several endpoints may carry out starts of a task, it starts at none of them.
    """

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        # By task, then by endpoint.
        self._starts: dict[str, dict[str, _HeldUpStart]] = {}

    def __bool__(self) -> bool:
        return bool(self._starts)

    def add(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Adds the start of a run that neither an answer nor a list has shown.

        Its endpoint may carry it out until `held_up_until`. The run then lasts
        for a lease at most unless this leader finds it.
        """
        until = run.held_up_until + leased.lease.longest_s
        start = self._record(run.task, leased.endpoint.id, until)
        start.number = max(start.number, run.number)
        start.record_failure(run.sent_at)
        start.retries_at_once = start.tries <= _MAX_TRIES_AT_ONCE

    def adopt(
        self,
        job: jobs.Job,
        starts: Iterable[held_up.HeldUpStart],
        now: float,
    ) -> None:
        """Adds starts of the tasks of a job that another leader has sent."""
        for start in starts:
            self._record(
                job.task(start.index), start.endpoint, now + start.left_s
            )

    def _record(self, task: str, endpoint: str, until: float) -> _HeldUpStart:
        starts = self._starts.setdefault(task, {})
        start = starts.setdefault(endpoint, _HeldUpStart(endpoint, until))
        start.until = max(start.until, until)
        return start

    def record_refused(self, run: runs.Run) -> None:
        """Records that an endpoint has refused another start of a task."""
        for start in self._starts.get(run.task, {}).values():
            start.record_failure(run.sent_at)

    def record_accepted(self, task: str) -> None:
        """Records that an endpoint has accepted another start of a task."""
        for start in self._starts.get(task, {}).values():
            start.tries = 0

    def remove_expired(self, now: float) -> None:
        """Removes the starts whose runs have ended, if there were any."""
        for task, starts in list(self._starts.items()):
            for name, start in list(starts.items()):
                if now >= start.until:
                    del starts[name]
            if not starts:
                del self._starts[task]

    def starts_of(
        self, active: active_job.ActiveJob, now: float
    ) -> tuple[held_up.HeldUpStart, ...]:
        """Returns the starts of the tasks of a job that may still come."""
        if not self._starts:
            return ()
        return tuple(
            held_up.HeldUpStart(index, name, start.until - now)
            for index in active.job.indices
            for name, start in self._starts.get(
                active.job.task(index), {}
            ).items()
            if now < start.until
        )

    def tasks_at(self, endpoint: str) -> set[str]:
        """Returns the tasks that a start to an endpoint may begin later."""
        return {
            task for task, starts in self._starts.items() if endpoint in starts
        }

    def blocks(self, task: str) -> bool:
        """Returns whether a start of a task may still be carried out."""
        return task in self._starts

    def blocks_key(self, key: str) -> bool:
        """Returns whether any task of a caller's job has such a start."""
        return any(task.startswith(f"{key}.") for task in self._starts)

    def blocks_any(self, active: active_job.ActiveJob) -> bool:
        """Returns whether any waiting task of a job has such a start."""
        return bool(self._starts) and any(
            active.job.task(index) in self._starts for index in active.waiting
        )

    def may_start_at(self, task: str, endpoint: str) -> bool:
        """Returns whether no other endpoint may carry out a start of a task."""
        return self._starts.get(task, {}).keys() <= {endpoint}

    def retry(
        self,
        task: str,
        pool: endpoint_pool.EndpointPool,
        now: float,
    ) -> leased_endpoint.LeasedEndpoint | None:
        """Returns the endpoint at which a task may start again now, if any.

        Its lists have been read since it last was silent or started again, so
        that a run of a start that came late is known.
        """
        starts = self._starts.get(task, {})
        if len(starts) != 1:
            return None
        (start,) = starts.values()
        leased = pool.find(start.endpoint)
        if (
            leased is None
            or leased.is_start_queue_full
            or not leased.is_open
            or (leased.is_paused(now) and not start.retries_at_once)
        ):
            return None
        return leased

    def record_retry(self, task: str) -> int:
        """Records that a task is about to start again at its endpoint.

        Returns:
            Number of the run of the former start. The endpoint refuses it and
            lower ones after a stop.
        """
        (start,) = self._starts[task].values()
        start.retries_at_once = False
        return start.number

    def outlast(
        self,
        active: active_job.ActiveJob,
        pool: endpoint_pool.EndpointPool,
        now: float,
    ) -> bool:
        """Returns whether a job can't end in time because of its starts."""
        if not self._starts:
            return False
        job = active.job
        latest_start = min(job.expires_at, job.deadline_at) - job.estimate_s
        return any(
            self._earliest_start(starts.values(), active, pool, now)
            > latest_start
            for index in active.waiting
            if (starts := self._starts.get(job.task(index)))
        )

    def _earliest_start(
        self,
        starts: Iterable[_HeldUpStart],
        active: active_job.ActiveJob,
        pool: endpoint_pool.EndpointPool,
        now: float,
    ) -> float:
        """Returns the earliest time at which a task may start again.

        A leader that has just got a job may not have read its endpoints yet.
        """
        *others, last = sorted(starts, key=lambda start: start.until)
        leased = pool.find(last.endpoint)
        if leased is None:
            is_gone = now >= active.moved_runs_end_by
        else:
            is_gone = last.is_failing or not _may_run(leased, active.job, now)
        if is_gone:
            return last.until
        return others[-1].until if others else now


def _may_run(
    leased: leased_endpoint.LeasedEndpoint, job: jobs.Job, now: float
) -> bool:
    """Returns whether an endpoint can be expected to run tasks of a job.

    One that has just become silent may answer again within a lease.
    """
    endpoint = leased.endpoint
    return (
        leased.is_expected(now)
        and not leased.closed
        and job.service in endpoint.kinds
        and (not job.required_label or job.required_label in endpoint.labels)
        and job.need.fits(endpoint.offer)
    )
