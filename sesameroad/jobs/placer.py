"""Places waiting tasks on endpoints in the order of the backlog."""

from sesameroad.jobs import active_job
from sesameroad.jobs import backlog as backlog_module
from sesameroad.jobs import headroom as headroom_module
from sesameroad.jobs import held_up_starts as held_up_starts_module
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import job_table
from sesameroad.jobs import pending_starts as pending_starts_module
from sesameroad.jobs import placement
from sesameroad.jobs import whole_starts as whole_starts_module
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs
from sesameroad.model import jobs

# Number of jobs that are tried in one pass after the first that does not fit.
_MAX_MISSES = 16


class Placer:
    """Assigns waiting tasks to endpoints and queues their start orders."""

    __slots__ = (
        "_backlog",
        "_headroom",
        "_held_up_starts",
        "_interference",
        "_pending_starts",
        "_pool",
        "_table",
        "_whole_starts",
    )

    def __init__(
        self,
        *,
        pool: endpoint_pool.EndpointPool,
        table: job_table.JobTable,
        backlog: backlog_module.Backlog,
        held_up_starts: held_up_starts_module.HeldUpStarts,
        pending_starts: pending_starts_module.PendingStarts,
        whole_starts: whole_starts_module.WholeStarts | None = None,
        interference: interference_module.Interference | None = None,
        headroom: headroom_module.Headroom | None = None,
    ) -> None:
        """Creates a placer.

        Args:
            pool: The endpoints.
            table: Gets the new runs.
            backlog: The waiting jobs.
            held_up_starts: Tasks that may start at one endpoint only.
            pending_starts: Gets the starts that are about to be sent.
            whole_starts: Decides whether a job may start, None if any may.
            interference: Queues to keep apart, None if detection is disabled.
            headroom: Reserves cores for urgent jobs, None if there are none.
        """
        self._interference = interference
        self._pool = pool
        self._table = table
        self._backlog = backlog
        self._held_up_starts = held_up_starts
        self._pending_starts = pending_starts
        self._whole_starts = whole_starts
        self._headroom = headroom

    def place(self, now: float) -> None:
        """Starts waiting tasks while there is capacity."""
        if not len(self._backlog):
            return
        candidates = placement.Candidates(self._pool, now, self._interference)
        misses = 0
        # Cores of the waiting tasks of the jobs that have begun.
        cores_ahead = 0.0
        partly_placed: list[active_job.ActiveJob] = []
        for active in self._backlog.ordered(now):
            if active.held_back_by or not active.may_resume(now):
                continue
            if active.moved and not (
                active.has_startable(now) and self._pool.is_reconciled(now)
            ):
                continue
            waiting = len(active.waiting)
            if self._held_up_starts:
                self._place_held_up(active, candidates, now)
            placed = False
            if not active.waiting:
                self._backlog.discard(active)
                continue
            if candidates.may_fit(
                active.job.need.cores
            ) and self._leaves_headroom(active, candidates, now):
                ranking = candidates.rank(active)
                if self._may_start(active, ranking, cores_ahead, now):
                    placed = self._place_job(active, candidates, ranking, now)
            if not placed:
                if len(active.waiting) < waiting:
                    partly_placed.append(active)
                if active.begun:
                    cores_ahead += len(active.waiting) * active.job.need.cores
                misses += 1
                if misses > _MAX_MISSES:
                    break
        for active in partly_placed:
            # With less work left, it has a better rank.
            self._backlog.add(active, now)

    def _leaves_headroom(
        self,
        active: active_job.ActiveJob,
        candidates: placement.Candidates,
        now: float,
    ) -> bool:
        rule = self._headroom
        if rule is None or active.begun:
            return True
        job = active.job
        reserved = rule.reserved_cores(job, now)
        if reserved <= 0:
            return True
        needed = len(active.waiting) * job.need.cores
        return candidates.free_cores - needed >= reserved

    def _may_start(
        self,
        active: active_job.ActiveJob,
        ranking: placement.Ranking,
        cores_ahead: float,
        now: float,
    ) -> bool:
        rule = self._whole_starts
        if rule is None or active.begun:
            return True
        room = ranking.room(len(active.waiting))
        return rule.may_start(
            active, room=room, cores_ahead=cores_ahead, now=now
        )

    def _place_held_up(
        self,
        active: active_job.ActiveJob,
        candidates: placement.Candidates,
        now: float,
    ) -> None:
        """Places the tasks of a job whose former starts may still come.

        Each starts at the endpoint of its former start, however slow that is.
        """
        end_by = candidates.end_by(active)
        for index in tuple(active.waiting):
            task = active.job.task(index)
            leased = self._held_up_starts.retry(task, self._pool, now)
            if (
                leased is None
                or self._is_blocked(active, index, candidates, now)
                or not candidates.is_fit(active, leased, end_by=end_by)
            ):
                continue
            number = self._held_up_starts.record_retry(task)
            active.raise_run_number(index, number)
            active.waiting.remove(index)
            self._order_start(active, index, leased)
            candidates.invalidate()

    def _is_blocked(
        self,
        active: active_job.ActiveJob,
        index: int,
        candidates: placement.Candidates,
        now: float,
    ) -> bool:
        """Returns whether another run of a task may not have ended.

        A run of an earlier attempt, or of an order that was carried out late,
        is still being stopped.
        """
        task = active.job.task(index)
        return (
            active.may_run_elsewhere(index, now)
            or self._table.has_run(task)
            or task in candidates.orphans
        )

    def _place_job(
        self,
        active: active_job.ActiveJob,
        candidates: placement.Candidates,
        ranking: placement.Ranking,
        now: float,
    ) -> bool:
        """Places tasks of a job and returns whether all have been placed."""
        blocked: list[int] = []
        while active.waiting:
            index = active.waiting[0]
            task = active.job.task(index)
            if self._held_up_starts.blocks(task) or self._is_blocked(
                active, index, candidates, now
            ):
                blocked.append(active.waiting.popleft())
                continue
            leased = ranking.best
            if leased is None:
                break
            active.waiting.popleft()
            self._order_start(active, index, leased)
            ranking.run_added()
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
        run = active.new_run(index, active.next_run_number(index))
        run.born_ms = leased.endpoint.born_ms
        self._table.add_run(active, leased, run)
        self._pending_starts.add(run, leased.endpoint.id)
        leased.starts.put_nowait(runs.StartOrder(run))

    def has_room(self, job: jobs.Job, now: float) -> bool:
        """Returns whether all tasks of a job can start immediately."""
        if len(self._backlog):
            return False
        return placement.Candidates(self._pool, now).room(job) >= job.count
