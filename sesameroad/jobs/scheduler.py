"""Runs jobs on endpoints, as their only steward."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.jobs import admission as admissions
from sesameroad.jobs import backlog as backlogs
from sesameroad.jobs import ending
from sesameroad.jobs import job_table
from sesameroad.jobs import placer
from sesameroad.jobs import takeover
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import order as orders
from sesameroad.leasing import run as runs
from sesameroad.model import clock as clocks
from sesameroad.model import endpoint as endpoints
from sesameroad.model import job as jobs
from sesameroad.model import outcome as outcomes
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Period of the checks that no event triggers: homes, deadlines, stragglers.
_SWEEP_S = 0.1


class Scheduler:
    """Holds endpoints and places tasks on them."""

    def __init__(
        self,
        *,
        token: int,
        orders_: orders.Orders,
        lease_s: float,
        clock: clocks.Clock,
        lost: Callable[[str], None],
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Creates a scheduler that holds nothing yet.

        Args:
            token: Fencing token of all orders.
            orders_: Sends orders.
            lease_s: Longest lease that an endpoint grants, in seconds.
            clock: Time source.
            lost: Called with the data centre of an endpoint that has seen a
                higher token.
            metrics: Where starts and ends of runs are counted.
        """
        self._token = token
        self._clock = clock
        self._lost = lost
        self._metrics = metrics
        self._pool = endpoint_pool.EndpointPool(
            orders_=orders_, lease_s=lease_s, events=self, clock=clock
        )
        self._table = job_table.JobTable()
        self._takeover = takeover.Takeover(table=self._table, clock=clock)
        self._backlog = backlogs.Backlog()
        self._admission = admissions.Admission(
            backlog=self._backlog, pool=self._pool
        )
        self._placer = placer.Placer(
            pool=self._pool, table=self._table, backlog=self._backlog
        )
        self._wake = asyncio.Event()
        self._stopped = False

    @property
    def token(self) -> int:
        """Fencing token of all orders."""
        return self._token

    @property
    def free_cores(self) -> float:
        """Processor cores that no task uses."""
        return self._pool.free_cores

    @property
    def wait_s(self) -> float:
        """Time that a new job waits if it is placed after all others."""
        return self._admission.wait_s

    @property
    def pending(self) -> dict[str, int]:
        """Jobs for which no task was sent, by queue."""
        counts: dict[str, int] = {}
        for active in self._table:
            if not active.started:
                name = active.job.queue
                counts[name] = counts.get(name, 0) + 1
        return counts

    async def run(self) -> None:
        """Places tasks until cancelled."""
        sweep = asyncio.create_task(self._sweep(), name="sweep jobs")
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                self._placer.place(self._clock.monotonic())
        finally:
            sweep.cancel()
            await self._close()

    def raise_token(self, token: int) -> None:
        """Takes a higher token, when endpoints remember an earlier steward.

        That one may have started tasks until now, so that all lists must be read
        again before it is known what runs.
        """
        self._token = max(self._token, token)
        self._pool.doubt()

    def is_established(self, data_centre: str) -> bool:
        """Whether any endpoint of a data centre has answered with this token."""
        return self._pool.is_established(data_centre)

    def update(self, listed: Iterable[endpoints.Endpoint]) -> None:
        """Holds the endpoints that are listed, and releases the others."""
        self._pool.update(listed)
        self._wake.set()

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
            moved: Whether an earlier steward may have started tasks of it.
            lent: Whether to refuse it unless there is room at once.
        """
        if self._stopped:
            return ending.not_leader()
        now = self._clock.monotonic()
        active = self._table.find(job.name)
        if active is not None and active.job.indices != job.indices:
            # An earlier attempt of the caller was divided in another way.
            self._finish(active, ending.replaced())
            active = None
        if active is None and lent and not self._placer.has_room(job, now):
            return outcomes.NotRun(outcomes.Cause.NO_ROOM, "no room at once")
        if active is None:
            active = active_job.ActiveJob(job, now=now, moved=moved)
            self._takeover.adopt(active, self._pool)
            if not (active.runs or active.done or job.committed):
                refusal = self._admission.refusal(active, now)
                if refusal is not None:
                    self._log_end(active, refusal)
                    return refusal
            self._table.add(active)
            self._backlog.add(active)
            self._wake.set()
        future = active.join(origin)
        if active.done >= job.count:
            self._finish(active, outcomes.Complete(()))
        return await future

    def cancel(self, name: str, origin_id: str) -> None:
        """Ends a job that an instance no longer waits for."""
        active = self._table.find(name)
        if active is None:
            return
        if active.origins != [origin_id]:
            active.leave(origin_id)
        else:
            self._finish(
                active,
                ending.given_up(active, outcomes.Cause.CANCELLED, "cancelled"),
            )

    # Events of the endpoint_session.

    def may_start(self, run: runs.Run) -> bool:
        """Returns whether a run may still start, directly before its order."""
        active = self._table.owner(run)
        if (
            not self._stopped
            and active is not None
            and not active.closing
            and active.wanted
            and run.state is runs.State.STARTING
        ):
            active.started = True
            active.sends += 1
            if not active.first_sent_at:
                active.first_sent_at = self._clock.monotonic()
                self._metrics.first_start(
                    active.first_sent_at - active.arrived_at
                )
            return True
        self._conclude(run, "not sent")
        return False

    def accepted(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """A start was confirmed."""
        if run.state is runs.State.STARTING:
            run.state = runs.State.RUNNING
        leased.wake()

    def refused(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs.Run,
        why: orders.Refusal,
    ) -> None:
        """A start did nothing; the task waits for another endpoint."""
        log.event(
            "endpoint refused a start",
            step="start",
            peer=leased.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            reason=why.value,
        )
        match why:
            case orders.Refusal.NO_ROOM | orders.Refusal.UNHEALTHY:
                leased.pause(self._clock.monotonic())
            case _:
                pass
        if run.state is runs.State.STOPPING:
            self._conclude(run, why.value)
        else:
            self._retry(run, why.value)

    def unanswered(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run, detail: str
    ) -> None:
        """A start may be carried out later, so the run is barred first."""
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

    def reported(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        report: orders.Report,
        *,
        asked_at: float,
    ) -> None:
        """Applies both lists of an endpoint."""
        now = self._clock.monotonic()
        born_ms = leased.endpoint.born_ms
        if report.born_ms and born_ms and report.born_ms != born_ms:
            if report.born_ms < born_ms:
                # The list already names a newer life than this answer.
                return
            leased.endpoint = endpoints.renew(leased.endpoint, report.born_ms)
            self._pool.restarted(leased)
        first = not leased.surveyed
        leased.surveyed = True
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
                leased.progress(run, entry.percent, now)
        if first:
            self._takeover.survey(leased, listed)
            for active in self._table:
                self._takeover.adopt(active, self._pool)
        for task in list(leased.foreign):
            if task not in listed:
                del leased.foreign[task]
        for run in list(leased.runs.values()):
            if listed.get(run.task) == run.number:
                if run.state is runs.State.STARTING:
                    run.state = runs.State.RUNNING
                    run.confirmed_at = now
            elif run.confirmed_at and run.confirmed_at < asked_at:
                # Confirmed before the lists were read, and on neither of them.
                self._lose(leased, run, "not listed any more")
        self._wake.set()

    def fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """The endpoint has seen a higher token than that of the order."""
        if self._stopped or token != self._token:
            return
        log.problem(
            "an endpoint has seen a higher token",
            step="steward",
            peer=leased.endpoint.id,
            token=token,
            established=self.is_established(leased.endpoint.data_centre),
        )
        self._lost(leased.endpoint.data_centre)

    def ended_all(
        self, leased: leased_endpoint.LeasedEndpoint, cause: str
    ) -> None:
        """Nothing that was started on an endpoint runs any more."""
        leased.foreign.clear()
        for run in list(leased.runs.values()):
            if run.sent_at:
                self._lose(leased, run, cause)

    def released(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """The endpoint is given up; what is in its books counts as ended."""
        for run in list(leased.runs.values()):
            self._lose(leased, run, "the endpoint is gone")

    # Ends of runs.

    def _apply_end(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        end: orders.End,
        now: float,
    ) -> None:
        run = leased.runs.get(end.task)
        if run is None or run.number != end.run:
            leased.foreign.pop(end.task, None)
            if end.how is orders.Ending.DONE and not leased.acknowledged:
                self._takeover.ended(end.task)
            return
        active = self._table.owner(run)
        self._conclude(run, end.how.value)
        if active is None or active.closing:
            return
        match end.how:
            case orders.Ending.DONE:
                leased.succeed(run, now)
                active.done += 1
                if active.done >= active.job.count:
                    self._finish(active, outcomes.Complete(()))
            case orders.Ending.FAILED:
                self._fail(leased, active, run)
            case _:
                self._wait_again(active, run.index)

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
        leased.fail(run, self._clock.monotonic())
        active.avoided.add(leased.endpoint.id)
        if active.fail(run.index):
            self._wait_again(active, run.index)
            return
        self._finish(
            active,
            outcomes.Failed(
                outcomes.Cause.TASK_FAILED,
                f"task {run.index} failed {active.job.max_attempts} times",
                may_have_run=True,
            ),
        )

    def _lose(
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
        )
        self._retry(run, cause)

    def _retry(self, run: runs.Run, how: str) -> None:
        active = self._table.owner(run)
        self._conclude(run, how)
        if active is not None and not active.closing:
            self._wait_again(active, run.index)

    def _wait_again(self, active: active_job.ActiveJob, index: int) -> None:
        active.waiting.appendleft(index)
        self._backlog.add(active)
        self._wake.set()

    def _conclude(self, run: runs.Run, how: str) -> None:
        """Takes a run that has ended out of all books.

        Args:
            run: The run.
            how: How it ended, or why it counts as ended.
        """
        active = self._table.owner(run)
        leased = self._table.remove(run)
        if leased is None:
            return
        self._metrics.run_ended(how)
        if active is not None:
            now = self._clock.monotonic()
            active.note(ending.describe(active, leased, run, how, now))
        self._wake.set()

    def _stop_run(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        run.state = runs.State.STOPPING
        if run.stop_sent:
            return
        run.stop_sent = True
        leased.orders.put_nowait(runs.StopOrder(run.task, run.number, run))
        leased.wake()

    # Ends of jobs.

    def _finish(
        self, active: active_job.ActiveJob, outcome: outcomes.Outcome
    ) -> None:
        """Answers a job and stops what still runs of it."""
        self._log_end(active, outcome)
        self._backlog.discard(active)
        active.settle(outcome)
        for run in list(active.runs.values()):
            if not run.sent_at:
                self._conclude(run, "not sent")
            else:
                self._stop_run(self._table.endpoint_of(run), run)
        self._table.close(active)

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

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = self._clock.monotonic()
            for active in self._table:
                self._check(active, now)
            for active, refusal in list(self._admission.hopeless(now)):
                self._finish(active, refusal)
            for leased in self._pool:
                self._stop_hanging(leased, now)
            self._takeover.sweep(self._pool)
            self._pool.release_unlisted()
            self._wake.set()

    def _check(self, active: active_job.ActiveJob, now: float) -> None:
        """Ends a job that nobody waits for or that cannot be served."""
        if not active.wanted:
            self._finish(
                active,
                outcomes.Unknown(
                    outcomes.Cause.HOME_UNREACHABLE, "its home is silent"
                ),
            )
        elif now >= active.job.deadline_at:
            self._finish(
                active,
                ending.given_up(
                    active,
                    outcomes.Cause.DEADLINE,
                    "its caller no longer waits",
                ),
            )
        elif active.waiting and now >= active.job.expires_at:
            # What runs already may still be delivered late; what would have to
            # start now cannot be of use any more.
            self._finish(
                active,
                ending.given_up(
                    active, outcomes.Cause.OVERLOAD, "no room while of use"
                ),
            )

    def _stop_hanging(
        self, leased: leased_endpoint.LeasedEndpoint, now: float
    ) -> None:
        for run in leased.hanging(now):
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
            leased.hang(now)
            self._stop_run(leased, run)

    async def _close(self) -> None:
        """Ends all jobs here; their homes submit them to the next steward."""
        self._stopped = True
        await self._pool.close()
        for active in self._table:
            if active.started:
                outcome: outcomes.Outcome = outcomes.Unknown(
                    outcomes.Cause.STEWARD_LOST, "the steward has changed"
                )
            else:
                outcome = ending.not_leader()
            active.settle(outcome)
        self._table.clear()
