"""Follows the runs of a leader's jobs by the events of its endpoints."""

import asyncio
from collections.abc import Callable
import math

from sesameroad.jobs import active_job
from sesameroad.jobs import backlog as backlog_module
from sesameroad.jobs import ending
from sesameroad.jobs import held_up_notices as held_up_notices_module
from sesameroad.jobs import held_up_starts as held_up_starts_module
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import job_table
from sesameroad.jobs import pending_starts as pending_starts_module
from sesameroad.jobs import takeover as takeover_module
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import orders
from sesameroad.leasing import runs
from sesameroad.model import clocks
from sesameroad.model import held_up
from sesameroad.model import outcomes
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Bounds the tasks named in a log line of an endpoint.
_MAX_LOGGED_TASKS = 16


class RunTracker:
    """Starts, ends and losses of runs, and the ends of jobs that follow.

    Attributes:
        token: Fencing token of all orders.
        stopped: Whether the leader has ended, so that no run may start.
    """

    __slots__ = (
        "_backlog",
        "_clock",
        "_held_up_notices",
        "_held_up_starts",
        "_interference",
        "_metrics",
        "_on_fenced",
        "_pending_starts",
        "_pool",
        "_table",
        "_takeover",
        "_wake",
        "_was_paused",
        "stopped",
        "token",
    )

    _pool: endpoint_pool.EndpointPool

    def __init__(
        self,
        *,
        token: int,
        table: job_table.JobTable,
        backlog: backlog_module.Backlog,
        takeover: takeover_module.Takeover,
        held_up_starts: held_up_starts_module.HeldUpStarts,
        held_up_notices: held_up_notices_module.HeldUpNotices,
        pending_starts: pending_starts_module.PendingStarts,
        interference: interference_module.Interference | None,
        clock: clocks.Clock,
        on_fenced: Callable[[str], None],
        was_paused: Callable[[], bool],
        metrics: job_metrics.JobMetrics,
        wake: asyncio.Event,
    ) -> None:
        """Creates a tracker; `attach` must be called before the first event.

        Args:
            token: Fencing token of all orders.
            table: The jobs and their runs.
            backlog: Gets the jobs whose tasks must start again.
            takeover: Runs of earlier leaders.
            held_up_starts: Tasks that a start without an answer blocks.
            held_up_notices: Tells other instances of such starts.
            pending_starts: Tells keepers of starts on their way.
            interference: Learns from the ends of runs, None if disabled.
            clock: Time source.
            on_fenced: Called with the data centre of an endpoint that has seen a
                higher token.
            was_paused: Returns whether this process has been paused, and has not
                read yet what arrived meanwhile.
            metrics: Counts starts and ends of runs.
            wake: Set when tasks may be placed.
        """
        self.token = token
        self.stopped = False
        self._table = table
        self._backlog = backlog
        self._takeover = takeover
        self._held_up_starts = held_up_starts
        self._held_up_notices = held_up_notices
        self._pending_starts = pending_starts
        self._interference = interference
        self._clock = clock
        self._on_fenced = on_fenced
        self._was_paused = was_paused
        self._metrics = metrics
        self._wake = wake

    def attach(self, pool: endpoint_pool.EndpointPool) -> None:
        """Sets the endpoints whose sessions call this tracker."""
        self._pool = pool

    def may_start(self, run: runs.Run) -> bool:
        """Returns whether a run may start; called just before its order."""
        active = self._table.job_of(run)
        if (
            not self.stopped
            and active is not None
            and not active.closing
            and active.has_live_origin
            and not self._was_paused()
            and self._clock.monotonic() < active.job.deadline_at
            and run.state is runs.State.STARTING
            and (leased := self._table.endpoint_of(run)).takes(run)
            and (
                not active.job.required_label
                or leased.has_label(active.job.required_label)
            )
            and self._may_share_lease(active, leased)
            and self._held_up_starts.may_start_at(run.task, leased.endpoint.id)
        ):
            if leased.is_start_queue_short and len(self._backlog):
                self._wake.set()
            active.started = True
            active.seen_started.add(run.index)
            active.sends += 1
            if not active.first_sent_at:
                active.first_sent_at = self._clock.monotonic()
                self._metrics.first_start(
                    active.first_sent_at - active.arrived_at
                )
            return True
        self.retry(run, "not sent")
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
        self._pending_starts.settle(run)
        self._held_up_starts.record_accepted(run.task)
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
        run.held_up_until = 0.0
        self._pending_starts.settle(run)
        self._held_up_starts.record_refused(run)
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
            self.retry(run, refusal.value)

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
        if run.held_up_until and not self.stopped:
            self._record_held_up(leased, run)
            self._pending_starts.settle(run)
        if run.state is runs.State.STARTING:
            self.stop_run(leased, run)

    def tell_added_starts(self) -> None:
        """Tells the keepers of the starts that have just been queued.

        A session sends one in a later turn of the event loop than its order was
        queued in, so that the message is ahead of it.
        """
        self._pending_starts.tell_added()

    def tell_settled_starts(self) -> None:
        """Tells the keepers which starts are still pending.

        All instances are told of those that were given up before.
        """
        self._held_up_notices.flush()
        self._pending_starts.tell_settled()

    def tell_starts_in_flight(self) -> None:
        """Tells other instances of the starts whose answer is not waited for.

        The next leader gets the jobs of a leader that ends.
        """
        now = self._clock.monotonic()
        for leased in self._pool:
            for run in leased.runs.values():
                if run.sent_at and now < run.held_up_until:
                    self._record_held_up(leased, run)
                self._pending_starts.settle(run)
        self.tell_settled_starts()

    def _record_held_up(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        # The last moment at which the start may be carried out begins a lease.
        until = run.held_up_until + leased.lease.longest_s
        left_s = until - self._clock.monotonic()
        self._held_up_notices.record(
            run.key, held_up.HeldUpStart(run.index, leased.endpoint.id, left_s)
        )

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
                self._pending_starts.settle(run)
                if run.state is runs.State.STARTING:
                    run.state = runs.State.RUNNING
                    run.confirmed_at = now
            elif run.is_gone(asked_at=asked_at, token=token):
                self._mark_lost(leased, run, "not listed any more")
        found = self._takeover.record_running(leased, listed)
        if found:
            self._log_late_starts(leased)
        if found or first or (report.ended and self._takeover.has_done):
            for active in self._table:
                self._takeover.adopt(active, self._pool)
                self.finish_if_complete(active)
        if leased.orphans:
            self._takeover.stop_unclaimed((leased,))
        if first or report.ended:
            self._wake.set()

    def _log_late_starts(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """Logs listed runs whose starts this leader had given up."""
        given_up = self._held_up_starts.tasks_at(leased.endpoint.id)
        late = sorted(given_up & leased.orphans.keys())
        if not late:
            return
        log.problem(
            "endpoint has carried out starts late",
            step="start",
            peer=leased.endpoint.id,
            tasks=late[:_MAX_LOGGED_TASKS],
            running_elsewhere=sum(self._table.has_run(task) for task in late),
            born_ms=leased.born_ms,
        )
        self._metrics.starts_late(len(late))

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
        if self.stopped:
            return
        log.problem(
            "an endpoint has seen a higher token",
            step="steward",
            peer=leased.endpoint.id,
            token=token,
            established=self._pool.is_established(leased.endpoint.data_centre),
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
        job there. An origin that is heard from now on has not.
        """
        now = self._clock.monotonic()
        for run in list(leased.runs.values()):
            if not run.sent_at:
                continue
            active = self._table.job_of(run)
            if active is not None:
                active.resumes_after = now
            self._mark_lost(leased, run, cause)
            if active is not None:
                self.end_if_held_up(active)

    # Ends of runs.

    def _apply_end(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        end: orders.End,
        now: float,
    ) -> None:
        run = leased.runs.get(end.task)
        if run is None or run.number != end.run:
            # A run of an earlier leader: its end is listed since before the first
            # acknowledgement, or its start was listed.
            earlier = (
                not leased.acknowledged
                or leased.orphans.get(end.task) == end.run
            )
            self._takeover.record_end(leased, end.task)
            if end.ending is orders.Ending.DONE and earlier:
                self._takeover.record_done(end.task)
            return
        active = self._table.job_of(run)
        self._remove_run(run, end.ending.value)
        if active is None or active.closing:
            return
        # A task has one run at a time, so no other one is left elsewhere.
        active.maybe_started.discard(run.index)
        match end.ending:
            case orders.Ending.DONE:
                leased.record_success(run, now)
                active.record_success(run.index)
                self.finish_if_complete(active)
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
        self.finish(
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
        """Removes a run that has ended without a report, and queues its task.

        The stop, the token and the lease hold in the present incarnation only.
        A start without an answer may be carried out by the next one.
        """
        now = self._clock.monotonic()
        held_up_s = max(0.0, run.held_up_until - now)
        if held_up_s:
            self._held_up_starts.add(leased, run)
            self._metrics.start_held_up()
        log.problem(
            "run lost",
            step="run",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            reason=cause,
            state=run.state.value,
            sent_ms_ago=int((now - run.sent_at) * 1_000),
            held_up_ms=int(held_up_s * 1_000),
            confirmed=run.confirmed_at > 0,
            token=run.token,
            born_ms=run.born_ms,
            reported_born_ms=leased.born_ms,
        )
        self.retry(run, cause)

    def retry(self, run: runs.Run, reason: str) -> None:
        """Removes a run that has ended, and queues its task again.

        Args:
            run: The run.
            reason: Why it counts as ended.
        """
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
        self._pending_starts.settle(run)
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

    def stop_run(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Queues the stop of a run that was sent, once."""
        run.state = runs.State.STOPPING
        if run.stop_sent:
            return
        run.stop_sent = True
        leased.stops.put_nowait(runs.StopOrder(run.task, run.number, run))
        leased.wake()

    # Ends of jobs.

    def finish(
        self, active: active_job.ActiveJob, outcome: outcomes.Outcome
    ) -> None:
        """Sends the outcome of a job and stops its remaining runs."""
        self.log_end(active, outcome)
        self._backlog.discard(active)
        end_by = active.runs_end_by(self._clock.monotonic())
        active.settle(outcome)
        for run in list(active.runs.values()):
            run.end_by = end_by
            if not run.sent_at:
                self._remove_run(run, "not sent")
            else:
                self.stop_run(self._table.endpoint_of(run), run)
        self._table.close(active)

    def finish_if_complete(self, active: active_job.ActiveJob) -> None:
        """Ends a job all of whose tasks have succeeded.

        Whatever adds to the tasks that have succeeded calls this afterwards.
        """
        if active.is_complete:
            self.finish(active, outcomes.Complete(()))

    def end_if_held_up(self, active: active_job.ActiveJob) -> None:
        """Ends a job whose held-up starts come for longer than is of use."""
        if self._held_up_starts.outlast(
            active, self._pool, self._clock.monotonic()
        ):
            self._metrics.job_held_up()
            self.finish(active, ending.held_up())

    def log_end(
        self, active: active_job.ActiveJob, outcome: outcomes.Outcome
    ) -> None:
        """Logs the outcome of a job with all of its runs."""
        ending.log_end(
            active,
            outcome,
            now=self._clock.monotonic(),
            waiting_jobs=len(self._backlog),
            token=self.token,
        )
