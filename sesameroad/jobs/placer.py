"""Places waiting tasks on endpoints, in the order of the backlog."""

from sesameroad.jobs import active_job
from sesameroad.jobs import backlog as backlogs
from sesameroad.jobs import job_table
from sesameroad.jobs import placement
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import run as runs
from sesameroad.model import job as jobs

# Time after which runs of an earlier steward have ended on endpoints that are not
# known here: a lease of 1 s on a clock that is 2% slow, and the end of the runs. The
# list may miss an endpoint that the earlier steward held, after a cut for example.
_ORPHAN_S = 1.2
# Waiting jobs that are tried in one pass after the first one without room.
_MAX_MISSES = 16


class Placer:
    """Gives room on endpoints to the jobs that come first."""

    __slots__ = ("_backlog", "_pool", "_table")

    def __init__(
        self,
        *,
        pool: endpoint_pool.EndpointPool,
        table: job_table.JobTable,
        backlog: backlogs.Backlog,
    ) -> None:
        self._pool = pool
        self._table = table
        self._backlog = backlog

    def place(self, now: float) -> None:
        """Orders the start of waiting tasks while there is room."""
        if not len(self._backlog):
            return
        candidates = placement.Candidates(self._pool, now)
        surveyed = self._pool.is_surveyed(now)
        misses = 0
        for active in self._backlog.ordered(now):
            if active.moved and not (
                surveyed and now >= active.arrived_at + _ORPHAN_S
            ):
                continue
            if not self._place_job(active, candidates):
                misses += 1
                if misses > _MAX_MISSES:
                    return

    def _place_job(
        self, active: active_job.ActiveJob, candidates: placement.Candidates
    ) -> bool:
        """Places tasks of a job; returns whether none is left waiting."""
        blocked: list[int] = []
        while active.waiting:
            index = active.waiting[0]
            if self._table.is_live(active.job.task(index)):
                # A run of an earlier attempt is being stopped.
                blocked.append(active.waiting.popleft())
                continue
            leased = candidates.choose(active)
            if leased is None:
                break
            active.waiting.popleft()
            self._order_start(active, index, leased)
            candidates.taken(leased)
        active.waiting.extend(blocked)
        if not active.waiting:
            self._backlog.discard(active)
            return True
        return False

    def _order_start(
        self,
        active: active_job.ActiveJob,
        index: int,
        leased: leased_endpoint.LeasedEndpoint,
    ) -> None:
        run = active.new_run(index, active.next_number(index))
        self._table.take(active, leased, run)
        leased.orders.put_nowait(runs.StartOrder(run))

    def has_room(self, job: jobs.Job, now: float) -> bool:
        """Returns whether all tasks of a job may start at once."""
        if len(self._backlog):
            return False
        return placement.Candidates(self._pool, now).room(job) >= job.count
