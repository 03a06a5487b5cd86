"""Runs that an earlier steward started, and their jobs."""

from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.jobs import job_table
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import run as runs
from sesameroad.model import clock as clocks

# Time in which homes claim the runs of an earlier steward; they hear of the new
# one within a heartbeat.
_CLAIM_S = 0.5


class Takeover:
    """Gives runs found on endpoints to the jobs that homes offer again."""

    __slots__ = ("_clock", "_done", "_since", "_table")

    def __init__(
        self, *, table: job_table.JobTable, clock: clocks.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        self._since = clock.monotonic()
        # Tasks whose good end was found before their job was offered.
        self._done: set[str] = set()

    def survey(
        self, leased: leased_endpoint.LeasedEndpoint, listed: dict[str, int]
    ) -> None:
        """Notes the runs on the first list of an endpoint, by task."""
        for task, number in listed.items():
            if task not in leased.runs:
                leased.foreign[task] = number
        leased.foreign_since = self._clock.monotonic()

    def ended(self, task: str) -> None:
        """Notes that a task whose job is not known here has ended well."""
        self._done.add(task)

    def adopt(
        self,
        active: active_job.ActiveJob,
        held: Iterable[leased_endpoint.LeasedEndpoint],
    ) -> None:
        """Takes over the runs and good ends of a job that were found."""
        held = tuple(held)
        for index in tuple(active.waiting):
            task = active.job.task(index)
            if task in self._done:
                self._done.discard(task)
                active.waiting.remove(index)
                active.started = True
                active.done += 1
                continue
            for leased in held:
                number = leased.foreign.pop(task, None)
                if number is not None:
                    self._take(active, index, number, leased)
                    break

    def sweep(self, held: Iterable[leased_endpoint.LeasedEndpoint]) -> None:
        """Stops runs that nobody has claimed in time."""
        now = self._clock.monotonic()
        if now - self._since > _CLAIM_S:
            self._done.clear()
        for leased in held:
            if leased.foreign and now - leased.foreign_since >= _CLAIM_S:
                for task, number in leased.foreign.items():
                    leased.orders.put_nowait(runs.StopOrder(task, number))

    def _take(
        self,
        active: active_job.ActiveJob,
        index: int,
        number: int,
        leased: leased_endpoint.LeasedEndpoint,
    ) -> None:
        active.waiting.remove(index)
        active.started = True
        active.number_above(index, number)
        run = active.new_run(index, number)
        run.state = runs.State.RUNNING
        run.sent_at = run.confirmed_at = self._clock.monotonic()
        self._table.take(active, leased, run)
