"""The jobs of a steward, and the runs that have not ended."""

from collections.abc import Iterator

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import run as runs


class JobTable:
    """Finds jobs by name, and the endpoint and the job of each run.

    A job that was answered is kept as a closing one until its last run ended.
    A later attempt of the same job is another entry.
    """

    __slots__ = ("_active", "_closing", "_live")

    def __init__(self) -> None:
        self._active: dict[str, active_job.ActiveJob] = {}
        self._closing: dict[str, active_job.ActiveJob] = {}
        self._live: dict[
            str, tuple[leased_endpoint.LeasedEndpoint, runs.Run]
        ] = {}

    def __iter__(self) -> Iterator[active_job.ActiveJob]:
        """Iterates over the jobs that are not answered."""
        return iter(tuple(self._active.values()))

    def find(self, name: str) -> active_job.ActiveJob | None:
        """Returns the job of a name that is not answered, or None."""
        return self._active.get(name)

    def add(self, active: active_job.ActiveJob) -> None:
        """Adds a job."""
        self._active[active.job.name] = active

    def close(self, active: active_job.ActiveJob) -> None:
        """Notes that a job was answered."""
        self._active.pop(active.job.name, None)
        if active.runs:
            self._closing[active.job.name] = active

    def is_live(self, task: str) -> bool:
        """Returns whether a run of a task has not ended."""
        return task in self._live

    def endpoint_of(self, run: runs.Run) -> leased_endpoint.LeasedEndpoint:
        """Returns the endpoint of a run that has not ended."""
        return self._live[run.task][0]

    def owner(self, run: runs.Run) -> active_job.ActiveJob | None:
        """Returns the job that a run belongs to; a later attempt is another."""
        for jobs in (self._active, self._closing):
            active = jobs.get(run.job)
            if active is not None and active.runs.get(run.index) is run:
                return active
        return None

    def take(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs.Run,
    ) -> None:
        """Adds a run of a job at an endpoint."""
        active.runs[run.index] = run
        self._live[run.task] = (leased, run)
        leased.add(run)

    def remove(self, run: runs.Run) -> leased_endpoint.LeasedEndpoint | None:
        """Takes a run out; returns its endpoint, None if it was not there."""
        known = self._live.get(run.task)
        if known is None or known[1] is not run:
            return None
        active = self.owner(run)
        del self._live[run.task]
        known[0].remove(run)
        if active is not None:
            del active.runs[run.index]
            if active.closing and not active.runs:
                self._closing.pop(run.job, None)
        return known[0]

    def clear(self) -> None:
        """Forgets the jobs that are not answered."""
        self._active.clear()
