"""Index of a leader's jobs and their live runs."""

from collections.abc import Iterable
from collections.abc import Iterator

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs


class JobTable:
    """Looks up jobs by name, and the endpoint and the job of each run.

    A finished job is kept as closing until its last run has ended. A later
    attempt of the same job is a separate entry.
    """

    __slots__ = ("_active", "_closing", "_runs")

    def __init__(self) -> None:
        self._active: dict[str, active_job.ActiveJob] = {}
        self._closing: dict[str, active_job.ActiveJob] = {}
        self._runs: dict[
            str, tuple[leased_endpoint.LeasedEndpoint, runs.Run]
        ] = {}

    def __iter__(self) -> Iterator[active_job.ActiveJob]:
        """Iterates over the unfinished jobs."""
        return iter(tuple(self._active.values()))

    def find(self, name: str) -> active_job.ActiveJob | None:
        """Returns the unfinished job of this name, or None."""
        return self._active.get(name)

    def of_key(self, key: str) -> list[active_job.ActiveJob]:
        """Returns the unfinished parts of a caller's job."""
        return [a for a in self._active.values() if a.job.key == key]

    @property
    def unaccounted(self) -> list[active_job.ActiveJob]:
        """Unfinished jobs that nothing would end: a task of them is lost track of.

        Each task of an unfinished job waits, has a run, or has succeeded, and
        one at least has not succeeded.
        """
        return [
            active
            for active in self._active.values()
            if active.is_complete or not active.is_accounted_for
        ]

    def has_runs_beside(
        self, key: str, origin: str, indices: Iterable[int]
    ) -> bool:
        """Returns whether a job runs, or is about to, beside an attempt.

        Args:
            key: Key of the job.
            origin: Instance that waits for the attempt.
            indices: Tasks of the attempt that run elsewhere.
        """
        prefix = f"{key}."
        elsewhere = set(indices)
        for active in self.of_key(key):
            if origin not in active.origins or not elsewhere.isdisjoint(
                active.job.indices
            ):
                return True
        for task, (_, run) in self._runs.items():
            if not task.startswith(prefix):
                continue
            former = self.job_of(run)
            if former is None or former.closing:
                return True
        return False

    def add(self, active: active_job.ActiveJob) -> None:
        """Adds an unfinished job."""
        self._active[active.job.name] = active

    def close(self, active: active_job.ActiveJob) -> None:
        """Moves a finished job to the closing ones if it still has runs."""
        self._active.pop(active.job.name, None)
        if active.runs:
            self._closing[active.job.name] = active

    def has_run(self, task: str) -> bool:
        """Returns whether a task has a run that has not ended."""
        return task in self._runs

    def endpoint_of(self, run: runs.Run) -> leased_endpoint.LeasedEndpoint:
        """Returns the endpoint of a run that has not ended."""
        return self._runs[run.task][0]

    def job_of(self, run: runs.Run) -> active_job.ActiveJob | None:
        """Returns the job, or the attempt of it, that a run belongs to."""
        for jobs in (self._active, self._closing):
            active = jobs.get(run.job)
            if active is not None and active.runs.get(run.index) is run:
                return active
        return None

    def add_run(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs.Run,
    ) -> None:
        """Adds a run of a job on an endpoint."""
        active.runs[run.index] = run
        self._runs[run.task] = (leased, run)
        leased.add(run)

    def remove_run(
        self, run: runs.Run
    ) -> leased_endpoint.LeasedEndpoint | None:
        """Removes a run; returns its endpoint, None if it is unknown."""
        known = self._runs.get(run.task)
        if known is None or known[1] is not run:
            return None
        active = self.job_of(run)
        del self._runs[run.task]
        known[0].remove(run)
        if active is not None:
            del active.runs[run.index]
            if active.closing and not active.runs:
                self._closing.pop(run.job, None)
        return known[0]

    def clear(self) -> None:
        """Removes all unfinished jobs."""
        self._active.clear()
