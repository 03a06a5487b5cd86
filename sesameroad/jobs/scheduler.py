"""Schedules jobs on the endpoints that this leader holds."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import math

from sesameroad.jobs import active_job
from sesameroad.jobs import admission
from sesameroad.jobs import attempts
from sesameroad.jobs import backlog
from sesameroad.jobs import cancellations
from sesameroad.jobs import eligibility
from sesameroad.jobs import ending
from sesameroad.jobs import forecast
from sesameroad.jobs import headroom
from sesameroad.jobs import held_up_starts
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import interference_monitor
from sesameroad.jobs import job_table
from sesameroad.jobs import placer
from sesameroad.jobs import takeover
from sesameroad.jobs import whole_starts
from sesameroad.leasing import answer_times
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import orders
from sesameroad.leasing import runs
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
        """
        self._token = token
        self._clock = clock
        self._on_fenced = on_fenced
        self._metrics = metrics
        self._evacuations = evacuations
        self._scheduling = scheduling
        self._pool = endpoint_pool.EndpointPool(
            orders_=orders_,
            lease_s=lease_s,
            events=self,
            clock=clock,
            start_times=answer_times.AnswerTimes.of_starts(scheduling),
            poll_times=answer_times.AnswerTimes.of_polls(scheduling),
        )
        self._table = job_table.JobTable()
        self._takeover = takeover.Takeover(table=self._table, clock=clock)
        self._cancellations = cancellations.Cancellations()
        self._attempts = attempts.Attempts(
            table=self._table,
            clock=clock,
            peers=peers,
            notice_s=attempt_notice_s,
        )
        self._eligibility = eligibility.Eligibility(self._pool)
        self._backlog = backlog.Backlog(begun_first=scheduling.whole_starts)
        self._admission = admission.Admission(
            backlog=self._backlog,
            pool=self._pool,
            eligibility=self._eligibility,
        )
        self._held_up_starts = held_up_starts.HeldUpStarts()
        self._interference = interference
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
            whole_starts=(
                whole_starts.WholeStarts(forecast_)
                if scheduling.whole_starts
                else None
            ),
            interference=interference,
            headroom=self._headroom,
        )
        self._wake = asyncio.Event()
        self._stopped = False
        self.apply_evacuations()

    @property
    def token(self) -> int:
        """Fencing token of all orders."""
        return self._token

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
            while True:
                await self._wake.wait()
                self._wake.clear()
                began_at = self._clock.monotonic()
                self._placer.place(began_at)
                took_s = self._clock.monotonic() - began_at
                await asyncio.sleep(took_s * _PASS_PAUSE_RATIO)
        finally:
            checks.cancel()
            await self._close()

    def raise_token(self, token: int) -> None:
        """Raises the token after endpoints have seen one of another leader.

        The other leader may have started tasks until now, so the lists of all
        endpoints must be read again.
        """
        self._token = max(self._token, token)
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
                self._retry(run, "withdrawn")
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
        if self._stopped:
            return ending.not_leader()
        now = self._clock.monotonic()
        if self._cancellations.contains(job.key, now):
            return ending.cancelled()
        active = self._table.find(job.name)
        if active is not None and active.job.indices != job.indices:
            # An earlier attempt of the caller was partitioned differently.
            self._finish(active, ending.replaced())
            active = None
        if active is None:
            active = active_job.ActiveJob(job, now=now)
            if moved:
                active.record_move(now)
                self._pool.expect_held_up_starts()
            self._takeover.adopt(active, self._pool)
            is_held_back = self._attempts.hold(active, origin.id)
            if is_held_back and lent and not active.started:
                return outcomes.NotRun(
                    outcomes.Cause.NO_ROOM, "an earlier attempt may still run"
                )
            if is_held_back or self._held_up_starts.blocks_any(active):
                # An earlier attempt has sent a start that may still come.
                active.started = True
            is_known = active.started
            if lent and not is_known and not self._placer.has_room(job, now):
                return outcomes.NotRun(
                    outcomes.Cause.NO_ROOM, "no room at once"
                )
            if not is_known and not job.committed:
                refusal = self._admission.refusal(active, now)
                if refusal is not None:
                    self._log_end(active, refusal)
                    return refusal
            self._table.add(active)
            self._backlog.add(active, now)
            if self._headroom is not None:
                self._headroom.record(job, now)
            self._wake.set()
        else:
            if moved:
                # The origin has offered the job to another leader meanwhile.
                active.record_move(now)
            active.began_at = max(active.began_at, job.accepted_at)
            if self._attempts.hold(active, origin.id):
                active.started = True
        future = active.join(origin)
        if active.done >= job.count:
            self._finish(active, outcomes.Complete(()))
        self._answer_held_up(active)
        return await future

    def cancel(self, name: str, origin_id: str) -> None:
        """Cancels a job for an instance that no longer waits for it."""
        active = self._table.find(name)
        if active is None:
            return
        if active.origins != [origin_id]:
            active.leave(origin_id)
        else:
            self._finish(
                active,
                ending.abandoned(active, outcomes.Cause.CANCELLED, "cancelled"),
            )

    def cancel_key(self, key: str) -> bool:
        """Cancels a job, with all parts of it here, and its later attempts.

        Args:
            key: Name of the job that its caller has chosen.

        Returns:
            Whether any part of it was here.
        """
        self._cancellations.add(key, self._clock.monotonic())
        parts = list(self._table.of_key(key))
        for active in parts:
            self._finish(active, ending.cancelled())
        return bool(parts)

    def receive_notice(self, leader: str, notice: notices.Notice) -> None:
        """Handles a notice of another leader on attempts of a caller."""
        match notice:
            case notices.Running():
                self._attempts.record_running(leader, notice)
            case notices.Replaced():
                for active in self._attempts.replaced_by(notice):
                    self._finish(active, ending.replaced())
                if not self._may_run_beside(notice):
                    self._attempts.answer(leader, notice)
            case notices.Ended():
                self._attempts.record_ended(leader, notice)
                for active in self._table.of_key(notice.key):
                    active.release_expired(self._clock.monotonic())
                self._wake.set()

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

    # Events of the endpoint sessions.

    def may_start(self, run: runs.Run) -> bool:
        """Returns whether a run may start; called just before its order."""
        active = self._table.job_of(run)
        if (
            not self._stopped
            and active is not None
            and not active.closing
            and active.has_live_origin
            and run.state is runs.State.STARTING
            and (leased := self._table.endpoint_of(run)).takes(run)
            and (
                not active.job.required_label
                or leased.has_label(active.job.required_label)
            )
            and self._may_share_lease(active, leased)
        ):
            if leased.is_start_queue_short and len(self._backlog):
                self._wake.set()
            active.started = True
            active.sends += 1
            if not active.first_sent_at:
                active.first_sent_at = self._clock.monotonic()
                self._metrics.first_start(
                    active.first_sent_at - active.arrived_at
                )
            return True
        self._retry(run, "not sent")
        return False

    def _may_share_lease(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
    ) -> bool:
        """Returns whether the lease of an endpoint suits a run of a job.

        A lease is never shortened. One that was granted for other jobs must not
        outlast the time by which the run must end if its origin is lost.
        """
        if leased.orphans or not leased.reconciled:
            return False
        end_by = active.runs_end_by(self._clock.monotonic())
        return leased.lease.latest_end <= end_by

    def runs_end_by(self, leased: leased_endpoint.LeasedEndpoint) -> float:
        """Returns the earliest time by which a run there must have ended.

        A run that no job claims, or that is not known yet, belongs to an origin
        that another leader may hear. That leader takes it as ended when the
        lease expires which it has granted itself, so the lease is not extended
        here.
        """
        now = self._clock.monotonic()
        if leased.orphans or not leased.reconciled:
            return now
        earliest = math.inf
        for run in leased.runs.values():
            if not run.sent_at:
                continue
            earliest = min(earliest, run.end_by)
            active = self._table.job_of(run)
            if active is not None and not active.closing:
                earliest = min(earliest, active.runs_end_by(now))
        return earliest

    def on_accepted(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Handles a confirmed start."""
        run.held_up_until = 0.0
        if run.state is runs.State.STARTING:
            run.state = runs.State.RUNNING
        leased.wake()

    def on_refused(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs.Run,
        refusal: orders.Refusal,
    ) -> None:
        """Requeues a task whose start was refused without effect.

        After a refusal as an old run, the next report decides.
        """
        log.event(
            "endpoint refused a start",
            step="start",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            reason=refusal.value,
        )
        match refusal:
            case (
                orders.Refusal.NO_ROOM
                | orders.Refusal.UNHEALTHY
                | orders.Refusal.MISDIRECTED
                | orders.Refusal.TOO_LATE
            ):
                leased.pause(self._clock.monotonic())
            case orders.Refusal.OLD_RUN:
                # An unknown run of the task may be active on the endpoint.
                run.state = runs.State.STOPPING
                run.confirmed_at = self._clock.monotonic()
                leased.require_report()
                return
            case _:
                pass
        if run.state is runs.State.STOPPING:
            self._remove_run(run, refusal.value)
        else:
            self._retry(run, refusal.value)

    def on_unanswered(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run, detail: str
    ) -> None:
        """Stops a run whose start was not answered.

        The endpoint may carry out the start later, so the run is barred there
        before the task is started elsewhere.
        """
        log.problem(
            "start without an answer",
            step="start",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            error=detail,
        )
        leased.pause(self._clock.monotonic())
        if run.state is runs.State.STARTING:
            self._stop_run(leased, run)

    def on_reported(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        report: orders.Report,
        *,
        asked_at: float,
        token: int,
    ) -> None:
        """Applies the lists of running and ended runs of an endpoint."""
        now = self._clock.monotonic()
        first = not leased.reconciled
        leased.reconciled = True
        self._held_up_starts.remove_fenced(leased, token)
        for end in report.ended:
            if end.number <= leased.seen:
                continue
            self._apply_end(leased, end, now)
        if report.ended:
            leased.seen = max(leased.seen, report.ended[-1].number)
        listed = {entry.task: entry.run for entry in report.running}
        for entry in report.running:
            run = leased.runs.get(entry.task)
            if run is not None and run.number == entry.run and run.sent_at:
                leased.record_progress(run, entry.percent, now)
        for run in list(leased.runs.values()):
            if listed.get(run.task) == run.number:
                run.held_up_until = 0.0
                if run.state is runs.State.STARTING:
                    run.state = runs.State.RUNNING
                    run.confirmed_at = now
            elif run.is_gone(asked_at=asked_at, token=token):
                self._mark_lost(leased, run, "not listed any more")
        if self._takeover.record_running(leased, listed) or first:
            for active in self._table:
                self._takeover.adopt(active, self._pool)
        if leased.orphans:
            self._takeover.stop_unclaimed((leased,))
        if first or report.ended:
            self._wake.set()

    def on_restarted(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        report: orders.Report,
        *,
        former_born_ms: int,
    ) -> None:
        """Logs a restart; the next report shows which runs it has ended."""
        leased.orphans.clear()
        log.event(
            "endpoint started again",
            step="run",
            peer=leased.endpoint.id,
            born_ms=report.born_ms,
            former_born_ms=former_born_ms,
            listed=[f"{r.task}#{r.run}" for r in report.running],
        )

    def on_fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """Reports an endpoint that has seen a higher token of another leader."""
        if self._stopped:
            return
        log.problem(
            "an endpoint has seen a higher token",
            step="steward",
            peer=leased.endpoint.id,
            token=token,
            established=self.is_established(leased.endpoint.data_centre),
        )
        self._on_fenced(leased.endpoint.data_centre)

    def on_replaced(
        self, leased: leased_endpoint.LeasedEndpoint, url: str
    ) -> None:
        """Marks the runs as lost that were sent to an address of an endpoint.

        The endpoint may run others at the address that the list shows now.
        """
        for run in list(leased.runs.values()):
            if run.sent_at and run.url == url:
                self._mark_lost(leased, run, "another endpoint answers")

    def on_all_ended(
        self, leased: leased_endpoint.LeasedEndpoint, cause: str
    ) -> None:
        """Gives up all runs that were sent to an endpoint."""
        leased.orphans.clear()
        self._give_up_runs(leased, cause)

    def on_released(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """Marks all runs of a released endpoint as lost."""
        self._give_up_runs(leased, "the endpoint is gone")
        for run in list(leased.runs.values()):
            self._mark_lost(leased, run, "the endpoint is gone")

    def _give_up_runs(
        self, leased: leased_endpoint.LeasedEndpoint, cause: str
    ) -> None:
        """Marks the runs as lost whose lease has expired without a report.

        Another leader may have renewed it if the origin of a run has moved its
        job there. An origin that is heard from now on has not. A start without
        an answer may still be carried out if the endpoint starts again, so its
        task starts nowhere else for now.
        """
        now = self._clock.monotonic()
        for run in list(leased.runs.values()):
            if not run.sent_at:
                continue
            active = self._table.job_of(run)
            if active is not None:
                active.resumes_after = now
            if now < run.held_up_until:
                self._held_up_starts.add(leased, run)
            self._mark_lost(leased, run, cause)
            if active is not None:
                self._answer_held_up(active)

    # Ends of runs.

    def _apply_end(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        end: orders.End,
        now: float,
    ) -> None:
        run = leased.runs.get(end.task)
        if run is None or run.number != end.run:
            self._takeover.record_end(leased, end.task)
            if end.ending is orders.Ending.DONE and not leased.acknowledged:
                self._takeover.record_done(end.task)
            return
        active = self._table.job_of(run)
        self._remove_run(run, end.ending.value)
        if active is None or active.closing:
            return
        match end.ending:
            case orders.Ending.DONE:
                leased.record_success(run, now)
                active.done += 1
                if active.done >= active.job.count:
                    self._finish(active, outcomes.Complete(()))
            case orders.Ending.FAILED:
                self._fail(leased, active, run)
            case _:
                self._requeue(active, run.index)

    def _fail(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        active: active_job.ActiveJob,
        run: runs.Run,
    ) -> None:
        log.event(
            "run failed",
            step="run",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
        )
        leased.record_failure(run, self._clock.monotonic())
        active.avoided.add(leased.endpoint.id)
        if active.record_failure(run.index):
            self._requeue(active, run.index)
            return
        self._finish(
            active,
            outcomes.Failed(
                outcomes.Cause.TASK_FAILED,
                f"task {run.index} failed {active.job.max_attempts} times",
                may_have_run=True,
            ),
        )

    def _mark_lost(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run, cause: str
    ) -> None:
        log.problem(
            "run lost",
            step="run",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            reason=cause,
            state=run.state.value,
            sent_ms_ago=int((self._clock.monotonic() - run.sent_at) * 1_000),
        )
        self._retry(run, cause)

    def _retry(self, run: runs.Run, reason: str) -> None:
        active = self._table.job_of(run)
        self._remove_run(run, reason)
        if active is not None and not active.closing:
            self._requeue(active, run.index)

    def _requeue(self, active: active_job.ActiveJob, index: int) -> None:
        active.waiting.appendleft(index)
        self._backlog.add(active, self._clock.monotonic())
        self._wake.set()

    def _remove_run(self, run: runs.Run, reason: str) -> None:
        """Removes a run that has ended.

        Args:
            run: The run.
            reason: How it ended, or why it counts as ended.
        """
        active = self._table.job_of(run)
        leased = self._table.remove_run(run)
        if leased is None:
            return
        self._metrics.run_ended(reason)
        now = self._clock.monotonic()
        if self._interference is not None:
            done = active is not None and reason == orders.Ending.DONE.value
            tasks = active.job.count if done else 0
            self._interference.run_ended(leased, run, now=now, tasks=tasks)
        if active is not None:
            active.add_history(
                ending.describe_run(active, leased, run, reason, now)
            )
        self._wake.set()

    def _stop_run(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        run.state = runs.State.STOPPING
        if run.stop_sent:
            return
        run.stop_sent = True
        leased.stops.put_nowait(runs.StopOrder(run.task, run.number, run))
        leased.wake()

    # Ends of jobs.

    def _finish(
        self, active: active_job.ActiveJob, outcome: outcomes.Outcome
    ) -> None:
        """Sends the outcome of a job and stops its remaining runs."""
        self._log_end(active, outcome)
        self._backlog.discard(active)
        end_by = active.runs_end_by(self._clock.monotonic())
        active.settle(outcome)
        for run in list(active.runs.values()):
            run.end_by = end_by
            if not run.sent_at:
                self._remove_run(run, "not sent")
            else:
                self._stop_run(self._table.endpoint_of(run), run)
        self._table.close(active)

    def _answer_held_up(self, active: active_job.ActiveJob) -> None:
        """Ends a job that a held-up start blocks for longer than is of use."""
        if self._held_up_starts.outlast(active):
            self._finish(active, ending.held_up())

    def _log_end(
        self, active: active_job.ActiveJob, outcome: outcomes.Outcome
    ) -> None:
        ending.log_end(
            active,
            outcome,
            now=self._clock.monotonic(),
            waiting_jobs=len(self._backlog),
            token=self._token,
        )

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_PERIOD_S)
            now = self._clock.monotonic()
            self._held_up_starts.remove_expired(now)
            for active in self._table:
                self._check(active, now)
            for active in self._attempts.check(now):
                self._finish(active, ending.held_back())
            for active, refusal in list(self._admission.refusals(now)):
                self._finish(active, refusal)
            for leased in self._pool:
                self._stop_hanging(leased, now)
            self._takeover.stop_unclaimed(self._pool)
            self._pool.release_unlisted()
            self._pool.update_recovery()
            self._interference_monitor.check(now)
            self._wake.set()

    def _check(self, active: active_job.ActiveJob, now: float) -> None:
        """Ends a job without a live origin or past its time limits."""
        if not active.has_live_origin:
            self._finish(
                active,
                outcomes.Unknown(
                    outcomes.Cause.HOME_UNREACHABLE, "its home is silent"
                ),
            )
        elif now >= active.job.deadline_at:
            self._finish(
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
            self._finish(
                active,
                ending.abandoned(
                    active, outcomes.Cause.OVERLOAD, "no room while of use"
                ),
            )
        else:
            self._end_if_evacuated(active)

    def _end_if_evacuated(self, active: active_job.ActiveJob) -> None:
        """Ends a job whose waiting tasks only evacuated data centres can run.

        Tasks that an earlier leader may have started are no longer waiting once
        all endpoints have been read.
        """
        now = self._clock.monotonic()
        if not active.waiting or (
            active.moved
            and not (
                now >= active.moved_runs_end_by
                and self._pool.is_reconciled(now)
            )
        ):
            return
        refusal = self._eligibility.refusal(active.job)
        if refusal is not None:
            self._finish(
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
            self._stop_run(leased, run)

    async def _close(self) -> None:
        """Ends all jobs here; their origins submit them to the next leader."""
        self._stopped = True
        self._interference_monitor.close()
        await self._pool.close()
        for active in self._table:
            if active.started:
                outcome: outcomes.Outcome = outcomes.Unknown(
                    outcomes.Cause.STEWARD_LOST, "the leader has changed"
                )
            else:
                outcome = ending.not_leader()
            active.settle(outcome)
        self._table.clear()
