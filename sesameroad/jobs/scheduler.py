"""Schedules jobs on the endpoints that this leader holds."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.jobs import admission
from sesameroad.jobs import attempts
from sesameroad.jobs import backlog
from sesameroad.jobs import cancel_reports as cancel_reports_module
from sesameroad.jobs import cancellations as cancellations_module
from sesameroad.jobs import eligibility
from sesameroad.jobs import ending
from sesameroad.jobs import forecast
from sesameroad.jobs import handover
from sesameroad.jobs import headroom
from sesameroad.jobs import held_up_notices as held_up_notices_module
from sesameroad.jobs import held_up_starts
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import interference_monitor
from sesameroad.jobs import job_table
from sesameroad.jobs import pending_starts as pending_starts_module
from sesameroad.jobs import placer
from sesameroad.jobs import run_tracker
from sesameroad.jobs import start_gate as start_gate_module
from sesameroad.jobs import takeover
from sesameroad.jobs import whole_starts
from sesameroad.leasing import answer_times
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import orders
from sesameroad.membership import evacuations as evacuations_module
from sesameroad.model import attempts as notices
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import outcomes
from sesameroad.model import scheduling as scheduling_module
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Period of the checks that no event triggers: live origins, deadlines, runs
# without progress, endpoints that accept runs again.
_CHECK_PERIOD_S = 0.1
# Pause after a placement pass, as a multiple of its duration, so that placement
# leaves most of the processor time to the orders.
_PASS_PAUSE_RATIO = 4.0
# Longest wait of a new leader for the evacuated data centres. Without the store
# and without a peer that knows them, it assumes that there are none.
_EVACUATIONS_WAIT_S = 0.5
# Difference in the time left below which two notices tell of the same start. The
# allowance for clocks of peers adds 2% of 13 s each time one is passed on.
_SAME_START_S = 0.5
_DEFAULT_SCHEDULING = scheduling_module.Scheduling()


class Scheduler:
    """Holds leases on endpoints and runs the tasks of jobs on them."""

    def __init__(
        self,
        *,
        token: int,
        orders_: orders.Orders,
        lease_s: float,
        clock: clocks.Clock,
        on_fenced: Callable[[str], None],
        metrics: job_metrics.JobMetrics,
        evacuations: evacuations_module.Evacuations | None = None,
        peers: attempts.Peers | None = None,
        attempt_notice_s: float = 0.0,
        scheduling: scheduling_module.Scheduling = _DEFAULT_SCHEDULING,
        interference: interference_module.Interference | None = None,
        cancellations: cancellations_module.Cancellations | None = None,
        cancel_reports: cancel_reports_module.CancelReports | None = None,
        start_gate: start_gate_module.StartGate | None = None,
        held_up_notices: held_up_notices_module.HeldUpNotices | None = None,
        pending_starts: pending_starts_module.PendingStarts | None = None,
        was_paused: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a scheduler without endpoints.

        Args:
            token: Fencing token of all orders.
            orders_: Sends orders.
            lease_s: Longest lease that an endpoint grants, in seconds.
            clock: Time source.
            on_fenced: Called with the data centre of an endpoint that has seen a
                higher token.
            metrics: Counts starts and ends of runs.
            evacuations: The evacuated data centres; None if there are never
                any.
            peers: Other leaders, None if there never are any.
            attempt_notice_s: Age from which they are told of a job, in seconds;
                0 for never.
            scheduling: Options for a shortage of capacity.
            interference: Learns which queues to keep apart, None if disabled.
            cancellations: Cancelled keys that this instance knows, none by
                default.
            cancel_reports: Peers that tell of further ones, before which no
                task starts; None if there are none.
            start_gate: Holds back the first starts, None if nothing does.
            held_up_notices: Starts without an answer that this instance knows
                of, none by default.
            pending_starts: Tells keepers of starts on their way; nobody is told
                by default.
            was_paused: Returns whether this process has been paused, and has not
                read yet what arrived meanwhile.
        """
        self._clock = clock
        self._metrics = metrics
        self._evacuations = evacuations
        self._start_gate = start_gate
        self._was_paused = was_paused
        self._scheduling = scheduling
        self._table = job_table.JobTable()
        self._takeover = takeover.Takeover(table=self._table, clock=clock)
        self._backlog = backlog.Backlog(begun_first=scheduling.whole_starts)
        self._held_up_starts = held_up_starts.HeldUpStarts()
        self._held_up_notices = (
            held_up_notices_module.HeldUpNotices(clock=clock)
            if held_up_notices is None
            else held_up_notices
        )
        self._held_up_notices.begin_term()
        if pending_starts is None:
            pending_starts = pending_starts_module.PendingStarts()
        self._wake = asyncio.Event()
        self._tracker = run_tracker.RunTracker(
            token=token,
            table=self._table,
            backlog=self._backlog,
            takeover=self._takeover,
            held_up_starts=self._held_up_starts,
            held_up_notices=self._held_up_notices,
            pending_starts=pending_starts,
            interference=interference,
            clock=clock,
            on_fenced=on_fenced,
            was_paused=was_paused,
            metrics=metrics,
            wake=self._wake,
        )
        self._pool = endpoint_pool.EndpointPool(
            orders_=orders_,
            lease_s=lease_s,
            events=self._tracker,
            clock=clock,
            start_times=answer_times.AnswerTimes.of_starts(scheduling),
            poll_times=answer_times.AnswerTimes.of_polls(scheduling),
        )
        self._tracker.attach(self._pool)
        self._cancellations = (
            cancellations_module.Cancellations()
            if cancellations is None
            else cancellations
        )
        self._cancel_reports = cancel_reports
        self._attempts = attempts.Attempts(
            table=self._table,
            clock=clock,
            peers=peers,
            notice_s=attempt_notice_s,
        )
        self._eligibility = eligibility.Eligibility(self._pool)
        self._admission = admission.Admission(
            backlog=self._backlog,
            pool=self._pool,
            eligibility=self._eligibility,
        )
        self._interference_monitor = interference_monitor.InterferenceMonitor(
            interference, metrics=metrics
        )
        forecast_ = forecast.Forecast(self._pool)
        self._headroom = (
            headroom.Headroom(forecast_) if scheduling.headroom else None
        )
        self._placer = placer.Placer(
            pool=self._pool,
            table=self._table,
            backlog=self._backlog,
            held_up_starts=self._held_up_starts,
            pending_starts=pending_starts,
            whole_starts=(
                whole_starts.WholeStarts(forecast_)
                if scheduling.whole_starts
                else None
            ),
            interference=interference,
            headroom=self._headroom,
        )
        self.apply_evacuations()

    @property
    def token(self) -> int:
        """Fencing token of all orders."""
        return self._tracker.token

    @property
    def free_cores(self) -> float:
        """Processor cores on which a job can start immediately.

        A leader that is short of processor time has none, so that jobs go to
        other leaders while these have some.
        """
        if self._admission.is_short_of_processor:
            return 0.0
        return self._pool.free_cores

    @property
    def wait_s(self) -> float:
        """Expected wait of a new job that is placed after all others."""
        return self._admission.wait_s

    @property
    def evacuated_runs(self) -> int:
        """Number of runs that are left in evacuated data centres."""
        return sum(
            len(leased.runs) for leased in self._pool if leased.evacuated
        )

    @property
    def pending(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for active in self._table:
            if not active.started:
                name = active.job.queue
                counts[name] = counts.get(name, 0) + 1
        return counts

    @property
    def unaccounted_jobs(self) -> list[str]:
        """Keys of unfinished jobs that nothing would end, by a fault here."""
        return [active.job.key for active in self._table.unaccounted]

    @property
    def interference_report(self) -> list[dict[str, object]]:
        """Pairs of queues that interfere, with delay and evidence."""
        return self._interference_monitor.report(self._clock.monotonic())

    def set_loop_delay(self, delay_s: float) -> None:
        """Sets the mean delay of the event loop of this process, in seconds."""
        self._admission.loop_delay_s = delay_s

    async def run(self) -> None:
        """Places tasks until cancelled."""
        checks = asyncio.create_task(
            self._check_periodically(), name="sweep jobs"
        )
        try:
            if self._evacuations is not None:
                await self._evacuations.wait_known(_EVACUATIONS_WAIT_S)
            if self._cancel_reports is not None:
                await self._cancel_reports.wait()
            if self._start_gate is not None:
                await self._start_gate.wait()
            while True:
                await self._wake.wait()
                self._wake.clear()
                began_at = self._clock.monotonic()
                self._run_step("place tasks", self._place)
                took_s = self._clock.monotonic() - began_at
                await asyncio.sleep(took_s * _PASS_PAUSE_RATIO)
        finally:
            checks.cancel()
            await self.close()

    async def close(self) -> None:
        """Ends all jobs here; their origins submit them to the next leader.

        `run` does so at its end, unless it was cancelled before it began.
        """
        if self._tracker.stopped:
            return
        self._tracker.tell_starts_in_flight()
        self._tracker.stopped = True
        self._interference_monitor.close()
        # Origins must not wait until the sessions with endpoints have ended, of
        # which each may be in an order.
        self._pool.cancel()
        for active in self._table:
            active.settle(
                handover.outcome(
                    active,
                    table=self._table,
                    pool=self._pool,
                    held_up_starts=self._held_up_starts,
                )
            )
        self._table.clear()
        await self._pool.wait_ended()

    def raise_token(self, token: int) -> None:
        """Raises the token after endpoints have seen one of another leader.

        The other leader may have started tasks until now, so the lists of all
        endpoints must be read again.
        """
        self._tracker.token = max(self._tracker.token, token)
        self._pool.invalidate()

    def is_established(self, data_centre: str) -> bool:
        """Whether any endpoint of a data centre has accepted this token."""
        return self._pool.is_established(data_centre)

    def update(self, listed: Iterable[endpoints.Endpoint]) -> None:
        """Adds newly listed endpoints and releases those no longer listed."""
        self._pool.update(listed)
        self._eligibility.clear()
        self._withdraw_starts()
        self._wake.set()

    def apply_evacuations(self) -> None:
        """Applies a change of the evacuated data centres."""
        if self._evacuations is None:
            return
        self._pool.evacuate(self._evacuations.data_centres)
        self._eligibility.clear()
        self._withdraw_starts()
        for active in self._table:
            self._end_if_evacuated(active)
        self._wake.set()

    def _withdraw_starts(self) -> None:
        """Places tasks anew whose queued starts their endpoints must not get."""
        for leased in self._pool:
            withdrawn = leased.withdraw_starts()
            for run in reversed(withdrawn):
                self._tracker.retry(run, "withdrawn")
            if withdrawn:
                log.event(
                    "queued starts withdrawn",
                    step="schedule",
                    peer=leased.endpoint.id,
                    count=len(withdrawn),
                    evacuated=leased.evacuated,
                    leaving=leased.endpoint.leaving,
                )

    async def submit(
        self,
        job: jobs.Job,
        origin: active_job.Origin,
        *,
        moved: bool = False,
        lent: bool = False,
    ) -> outcomes.Outcome:
        """Runs a job, or a part of one, and returns its outcome.

        Args:
            job: The job.
            origin: Instance whose caller waits.
            moved: Whether an earlier leader may have started tasks of it.
            lent: Whether to refuse it unless all tasks can start immediately.
        """
        if self._tracker.stopped:
            return ending.not_leader()
        now = self._clock.monotonic()
        if self._cancellations.contains(job.key, now):
            return ending.cancelled()
        active = self._table.find(job.name)
        if active is not None and active.job.indices != job.indices:
            # An earlier attempt of the caller was partitioned differently.
            self._tracker.finish(active, ending.replaced())
            active = None
        if active is None:
            active = active_job.ActiveJob(job, now=now)
            future = active.join(origin, job, now=now)
            if moved:
                active.record_move(now, job.unstarted)
                active.record_told(job.succeeded)
                self._pool.expect_held_up_starts()
            self._takeover.adopt(active, self._pool)
            is_held_back = self._attempts.hold(active)
            if is_held_back and lent and not active.started:
                return outcomes.NotRun(
                    outcomes.Cause.NO_ROOM, "an earlier attempt may still run"
                )
            self._adopt_held_up(active, now)
            if is_held_back or self._held_up_starts.blocks_any(active):
                # An earlier attempt has sent a start that may still come.
                active.record_earlier_attempt()
            is_known = active.started
            if lent and not is_known and not self._placer.has_room(job, now):
                return outcomes.NotRun(
                    outcomes.Cause.NO_ROOM, "no room at once"
                )
            if not (is_known or moved or job.committed):
                refusal = self._admission.refusal(active, now)
                if refusal is not None:
                    self._tracker.log_end(active, refusal)
                    return refusal
            self._table.add(active)
            self._backlog.add(active, now)
            if self._headroom is not None:
                self._headroom.record(job, now)
            self._wake.set()
        else:
            future = active.join(origin, job, now=now)
            if moved:
                # The origin has offered the job to another leader meanwhile.
                active.record_move(now, job.unstarted)
                active.record_told(job.succeeded)
            log.event(
                "attempt joins one that runs here",
                step="schedule",
                request=job.key,
                part=job.indices[0],
                home=origin.id,
                homes=active.origins,
                moved=moved,
                runs=len(active.runs),
            )
            if self._attempts.hold(active):
                active.record_earlier_attempt()
        self._attempts.tell(active)
        self._tracker.finish_if_complete(active)
        self._tracker.end_if_held_up(active)
        return await future

    def cancel(self, name: str, origin_id: str) -> None:
        """Cancels a job for an instance that no longer waits for it."""
        active = self._table.find(name)
        if active is None:
            return
        if active.origins != [origin_id]:
            active.leave(origin_id)
        else:
            self._tracker.finish(
                active,
                ending.abandoned(active, outcomes.Cause.CANCELLED, "cancelled"),
            )

    def cancel_key(self, key: str, *, age_s: float = 0.0) -> bool:
        """Cancels a job, with all parts of it here, and its later attempts.

        Args:
            key: Name of the job that its caller has chosen.
            age_s: Time since the caller cancelled it, in seconds.

        Returns:
            Whether any part of it was here.
        """
        self._cancellations.add(key, self._clock.monotonic() - age_s)
        parts = list(self._table.of_key(key))
        for active in parts:
            self._tracker.finish(active, ending.cancelled())
        return bool(parts)

    def apply_held_up(self, keys: Iterable[str]) -> None:
        """Applies what another instance has told of starts without an answer.

        Args:
            keys: Keys of their jobs.
        """
        now = self._clock.monotonic()
        told = set(keys)
        for active in self._table:
            if active.job.key in told:
                self._adopt_held_up(active, now)

    def _adopt_held_up(self, active: active_job.ActiveJob, now: float) -> None:
        """Blocks the tasks of a job that another leader's starts may begin."""
        job = active.job
        told = [
            start
            for start in self._held_up_notices.of(job.key, foreign=True)
            if start.index in job.indices
        ]
        if not told:
            return
        active.started = True
        active.maybe_started.update(start.index for start in told)
        known = {
            (start.index, start.endpoint): start.left_s + _SAME_START_S
            for start in self._held_up_starts.starts_of(active, now)
        }
        # A start that was told before does not block its task again.
        starts = [
            start
            for start in told
            if start.left_s > known.get((start.index, start.endpoint), 0.0)
        ]
        if not starts:
            return
        self._held_up_starts.adopt(job, starts, now)
        for start in starts:
            leased = self._pool.find(start.endpoint)
            if leased is not None:
                leased.expect_held_up_start(now)
        log.event(
            "starts of another leader may still be carried out",
            step="schedule",
            request=job.key,
            part=job.indices[0],
            tasks=[f"{start.index}@{start.endpoint}" for start in starts],
            left_ms=int(max(start.left_s for start in starts) * 1_000),
        )

    def receive_notice(
        self, leader: str, notice: notices.Notice, *, left_s: float = 0.0
    ) -> None:
        """Handles a notice of another leader on attempts of a caller.

        Args:
            leader: The other leader.
            notice: The notice.
            left_s: Time in seconds for which other leaders may have left runs of
                the job of a caller of this instance.
        """
        match notice:
            case notices.Running():
                self._attempts.record_running(leader, notice)
            case notices.Replaced():
                for active in self._attempts.replaced_by(notice):
                    self._tracker.finish(active, ending.replaced())
                if not self._may_run_beside(notice):
                    self._attempts.answer(leader, notice, left_s=left_s)
            case notices.Ended():
                self._attempts.record_ended(leader, notice)
                for active in self._table.of_key(notice.key):
                    active.release_expired(self._clock.monotonic())
                self._wake.set()

    def tell_attempts(self) -> None:
        """Tells other leaders of the attempts that they should know by now."""
        self._attempts.tell_all()

    def _may_run_beside(self, notice: notices.Replaced) -> bool:
        """Returns whether runs of other attempts may be left here."""
        key = notice.key
        return (
            self._table.has_runs_beside(key, notice.origin, notice.indices)
            or self._held_up_starts.blocks_key(key)
            or not self._pool.is_reconciled(self._clock.monotonic())
            or any(
                task.startswith(f"{key}.")
                for leased in self._pool
                for task in leased.orphans
            )
        )

    def _run_step(self, name: str, step: Callable[[], None]) -> None:
        """Runs a step that is repeated; one that fails must not end the leader.

        Without placement or checks, nothing would end its jobs.
        """
        try:
            step()
        except Exception as error:  # noqa: BLE001
            log.problem(
                "step of a leader failed; it is repeated",
                step=name,
                error=repr(error),
            )

    def _place(self) -> None:
        if self._was_paused():
            # The next check, after 0.1 s, places them.
            return
        self._placer.place(self._clock.monotonic())
        self._tracker.tell_added_starts()

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_PERIOD_S)
            self._run_step("sweep jobs", self._check_all)

    def _check_all(self) -> None:
        now = self._clock.monotonic()
        self._held_up_starts.remove_expired(now)
        for active in self._table.unaccounted:
            self._end_unaccounted(active)
        for active in self._table:
            self._check(active, now)
        for active in self._attempts.check(now):
            self._tracker.finish(active, ending.held_back())
        for active, refusal in list(self._admission.refusals(now)):
            self._tracker.finish(active, refusal)
        for leased in self._pool:
            self._stop_hanging(leased, now)
        self._takeover.stop_unclaimed(self._pool)
        self._pool.release_unlisted()
        self._pool.update_recovery()
        self._interference_monitor.check(now)
        self._tracker.tell_settled_starts()
        self._wake.set()

    def _check(self, active: active_job.ActiveJob, now: float) -> None:
        """Ends a job without a live origin or past its time limits."""
        if not active.has_live_origin:
            self._tracker.finish(
                active,
                outcomes.Unknown(
                    outcomes.Cause.HOME_UNREACHABLE, "its home is silent"
                ),
            )
        elif now >= active.job.deadline_at:
            self._tracker.finish(
                active,
                ending.abandoned(
                    active,
                    outcomes.Cause.DEADLINE,
                    "its caller no longer waits",
                ),
            )
        elif active.waiting and self._is_useless(active, now):
            # Runs in progress may still finish late with some value. Tasks that
            # would start now could not finish before the response is worthless.
            self._tracker.finish(
                active,
                ending.abandoned(
                    active, outcomes.Cause.OVERLOAD, "no room while of use"
                ),
            )
        else:
            self._tracker.end_if_held_up(active)
            self._end_if_evacuated(active)

    def _end_unaccounted(self, active: active_job.ActiveJob) -> None:
        """Ends a job that would otherwise wait until its caller leaves."""
        log.problem(
            "a task of a job was lost track of",
            step="schedule",
            request=active.job.key,
            tasks=active.job.count,
            waiting=len(active.waiting),
            running=len(active.runs),
            done=active.done,
        )
        self._metrics.job_unaccounted()
        self._tracker.finish(active, ending.unaccounted())

    def _end_if_evacuated(self, active: active_job.ActiveJob) -> None:
        """Ends a job whose waiting tasks only evacuated data centres can run.

        Tasks that an earlier leader may have started are no longer waiting once
        all endpoints have been read.
        """
        now = self._clock.monotonic()
        if (
            active.closing
            or not active.waiting
            or (
                active.moved
                and not (
                    now >= active.moved_runs_end_by
                    and self._pool.is_reconciled(now)
                )
            )
        ):
            return
        refusal = self._eligibility.refusal(active.job)
        if refusal is not None:
            self._tracker.finish(
                active, ending.abandoned(active, refusal.cause, refusal.detail)
            )

    def _is_useless(self, active: active_job.ActiveJob, now: float) -> bool:
        """Returns whether waiting tasks of a job can no longer be of use."""
        if self._scheduling.whole_starts and active.begun:
            return not whole_starts.is_of_use(active, now)
        return now >= active.job.expires_at

    def _stop_hanging(
        self, leased: leased_endpoint.LeasedEndpoint, now: float
    ) -> None:
        for run in leased.hanging_runs():
            log.problem(
                "run stopped because it makes no progress",
                step="run",
                peer=leased.endpoint.id,
                request=run.key,
                task=run.task,
                run=run.number,
                percent=run.percent,
                estimate_ms=int(run.estimate_s * 1_000),
            )
            leased.record_hang(now)
            self._tracker.stop_run(leased, run)
