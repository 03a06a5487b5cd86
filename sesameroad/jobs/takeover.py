"""Takeover of runs that an earlier leader started."""

from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.jobs import job_table
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs
from sesameroad.model import clocks
from sesameroad.telemetry import log

# Time for origins to submit the jobs of an earlier leader again before their
# runs are stopped. A new leader tells all of them at once. The leases of other
# runs on the endpoint are not renewed before, so this is short against 1 s.
_RESUBMIT_TIMEOUT_S = 0.2
# Time for which tasks that were found done count for jobs that are submitted
# later. An origin looks for the next leader for up to 1.2 s after the loss of the
# former one.
_DONE_KEPT_S = 2.0


class Takeover:
    """Assigns runs found on endpoints to the jobs that are submitted again."""

    __slots__ = ("_clock", "_done", "_table")

    def __init__(
        self, *, table: job_table.JobTable, clock: clocks.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        # Tasks that were found to have succeeded before their job was
        # submitted, and when, in that order.
        self._done: dict[str, float] = {}

    @property
    def has_done(self) -> bool:
        """Whether any task was found done that no job has claimed yet."""
        return bool(self._done)

    def record_running(
        self, leased: leased_endpoint.LeasedEndpoint, listed: dict[str, int]
    ) -> bool:
        """Records the listed runs that this leader does not know as orphans.

        They were started by an earlier leader, or by an order that was carried
        out after its run had been given up.

        Returns:
            Whether there are orphans that were not listed before.
        """
        orphans = {
            task: number
            for task, number in listed.items()
            if task not in leased.runs or leased.runs[task].number != number
        }
        found = {
            task: number
            for task, number in orphans.items()
            if leased.orphans.get(task) != number
        }
        for task in leased.orphans.keys() - orphans.keys():
            self._log_unclaimed("unclaimed run has ended", leased, task)
        leased.orphans = orphans
        if not found:
            return False
        leased.orphans_since = self._clock.monotonic()
        leased.lease.assume_extended(leased.orphans_since)
        log.event(
            "endpoint lists runs that this leader has not started",
            step="run",
            peer=leased.endpoint.id,
            listed=[f"{task}#{number}" for task, number in found.items()],
            born_ms=leased.born_ms,
        )
        return True

    def record_end(
        self, leased: leased_endpoint.LeasedEndpoint, task: str
    ) -> None:
        """Records the end of a run that this leader does not know."""
        if task in leased.orphans:
            self._log_unclaimed("unclaimed run has ended", leased, task)
            del leased.orphans[task]

    def record_done(self, task: str) -> None:
        """Records the success of a task whose job is not known yet."""
        # Added at the end, as `_forget_done` expects the order of times.
        self._done.pop(task, None)
        self._done[task] = self._clock.monotonic()

    def adopt(
        self,
        active: active_job.ActiveJob,
        pool: Iterable[leased_endpoint.LeasedEndpoint],
    ) -> None:
        """Assigns the runs and successes found on endpoints to their job."""
        holders = [leased for leased in pool if leased.orphans]
        if not (holders or self._done):
            return
        for index in tuple(active.waiting):
            task = active.job.task(index)
            if task in self._done:
                del self._done[task]
                active.waiting.remove(index)
                active.record_success(index)
                continue
            if self._table.has_run(task):
                # It runs for an earlier attempt that is being ended. The table
                # has one run of a task, and `stop_unclaimed` stops the others.
                continue
            for leased in holders:
                number = leased.orphans.pop(task, None)
                if number is not None:
                    self._adopt_run(active, index, number, leased)
                    break

    def stop_unclaimed(
        self, pool: Iterable[leased_endpoint.LeasedEndpoint]
    ) -> None:
        """Stops orphans that no job claims in time, or that run elsewhere."""
        now = self._clock.monotonic()
        self._forget_done(now)
        for leased in pool:
            if not leased.stops.empty():
                # Stops of the last time have not been sent yet.
                continue
            unclaimed = now - leased.orphans_since >= _RESUBMIT_TIMEOUT_S
            for task, number in leased.orphans.items():
                if unclaimed or self._table.has_run(task):
                    self._log_unclaimed("unclaimed run stopped", leased, task)
                    leased.stops.put_nowait(runs.StopOrder(task, number))

    def _forget_done(self, now: float) -> None:
        """Forgets the successes that no job has claimed in time."""
        while self._done:
            task, found_at = next(iter(self._done.items()))
            if now - found_at < _DONE_KEPT_S:
                return
            del self._done[task]

    def _adopt_run(
        self,
        active: active_job.ActiveJob,
        index: int,
        number: int,
        leased: leased_endpoint.LeasedEndpoint,
    ) -> None:
        active.waiting.remove(index)
        active.started = True
        active.seen_started.add(index)
        active.raise_run_number(index, number)
        run = active.new_run(index, number)
        run.state = runs.State.RUNNING
        run.sent_at = run.confirmed_at = self._clock.monotonic()
        self._table.add_run(active, leased, run)
        log.event(
            "run of an earlier leader continues",
            step="run",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=number,
        )

    def _log_unclaimed(
        self, message: str, leased: leased_endpoint.LeasedEndpoint, task: str
    ) -> None:
        log.event(
            message,
            step="run",
            peer=leased.endpoint.id,
            task=task,
            run=leased.orphans[task],
            listed_ms_ago=int(
                (self._clock.monotonic() - leased.orphans_since) * 1_000
            ),
        )
