"""Runs jobs on the endpoints of one data centre, as its only steward."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from sesameroad.jobs import active as actives
from sesameroad.jobs import admission as admissions
from sesameroad.jobs import backlog as backlogs
from sesameroad.jobs import placement
from sesameroad.leasing import holding as holdings
from sesameroad.leasing import keeper as keepers
from sesameroad.leasing import lease as leases
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
# Time in which homes claim the runs of an earlier steward; they hear of the new
# one within a heartbeat.
_FOREIGN_S = 0.5
# A run whose progress has not changed for this long, and for half of its declared
# time, stands still. It is stopped and started elsewhere.
_HANG_S = 0.4
_HANG_RATIO = 0.5
# Time after which a job that was given up is worth another try.
_RETRY_AFTER_S = 1.0
# Least need that is divided by: a task may need no cores at all.
_MIN_CORES = 0.001
# Waiting jobs that are tried in one pass after the first one without room.
_MAX_MISSES = 16


class Scheduler:
    """Holds the endpoints of a data centre and places tasks on them."""

    def __init__(
        self,
        *,
        data_centre: str,
        token: int,
        orders_: orders.Orders,
        lease_s: float,
        clock: clocks.Clock,
        lost: Callable[[str], None],
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Creates a scheduler that holds nothing yet.

        Args:
            data_centre: Data centre of the endpoints.
            token: Fencing token of all orders.
            orders_: Sends orders.
            lease_s: Longest lease that an endpoint grants, in seconds.
            clock: Time source.
            lost: Called when an endpoint has seen a higher token.
            metrics: Where starts and ends of runs are counted.
        """
        self._data_centre = data_centre
        self._token = token
        self._orders = orders_
        self._lease_s = lease_s
        self._clock = clock
        self._lost = lost
        self._metrics = metrics
        self._since = clock.monotonic()
        self._holdings: dict[str, holdings.Holding] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._active: dict[str, actives.Active] = {}
        self._closing: dict[str, actives.Active] = {}
        self._live: dict[str, tuple[holdings.Holding, runs.Run]] = {}
        self._found_done: set[str] = set()
        self._unlisted: set[str] = set()
        self._backlog = backlogs.Backlog()
        self._admission = admissions.Admission(
            backlog=self._backlog, holdings_=self._holdings
        )
        self._wake = asyncio.Event()
        self._stopped = False

    @property
    def data_centre(self) -> str:
        """Data centre of the endpoints."""
        return self._data_centre

    @property
    def token(self) -> int:
        """Fencing token of all orders."""
        return self._token

    @property
    def established(self) -> bool:
        """Whether any endpoint has answered with this token."""
        return any(holding.surveyed for holding in self._holdings.values())

    @property
    def free_cores(self) -> float:
        """Processor cores that no task uses."""
        now = self._clock.monotonic()
        return sum(
            holding.free.cores
            for holding in self._holdings.values()
            if holding.open(now)
        )

    @property
    def wait_s(self) -> float:
        """Time that a new job waits for its first task."""
        return self._admission.wait_s(float("inf"))

    @property
    def pending(self) -> dict[str, int]:
        """Jobs for which no task was sent, by queue."""
        counts: dict[str, int] = {}
        for active in self._active.values():
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
                self._place()
        finally:
            sweep.cancel()
            await self._close()

    def raise_token(self, token: int) -> None:
        """Takes a higher token, when endpoints remember an earlier steward.

        That one may have started tasks until now, so that all lists must be read
        again before it is known what runs.
        """
        self._token = max(self._token, token)
        now = self._clock.monotonic()
        for holding in self._holdings.values():
            holding.doubt(now)

    def update(self, listed: Iterable[endpoints.Endpoint]) -> None:
        """Holds the endpoints that are listed, and releases the others."""
        wanted = {endpoint.id: endpoint for endpoint in listed}
        for name in self._holdings.keys() - wanted.keys():
            # Its runs may go on although it is not listed any more.
            holding = self._holdings[name]
            holding.endpoint = endpoints.leave(holding.endpoint)
            self._unlisted.add(name)
        self._unlisted -= wanted.keys()
        for name, endpoint in wanted.items():
            holding = self._holdings.get(name)
            if holding is None:
                self._hold(endpoint)
                continue
            before = holding.endpoint
            holding.endpoint = endpoint
            if (
                before.born_ms != endpoint.born_ms
                and before.born_ms
                and endpoint.born_ms
            ):
                self._restart(holding, "the endpoint started again")
        self._wake.set()

    async def submit(
        self,
        job: jobs.Job,
        home: actives.Home,
        *,
        moved: bool = False,
        lent: bool = False,
    ) -> outcomes.Outcome:
        """Runs a job, or a part of one, and returns its outcome.

        Args:
            job: The job.
            home: Instance whose caller waits.
            moved: Whether an earlier steward may have started tasks of it.
            lent: Whether to refuse it unless there is room at once.
        """
        if self._stopped:
            return _not_steward(self._data_centre)
        now = self._clock.monotonic()
        active = self._active.get(job.name)
        if active is not None and active.job.indices != job.indices:
            # An earlier attempt of the caller was divided in another way.
            self._finish(active, _replaced())
            active = None
        if active is None and lent and not self._has_room(job, now):
            return outcomes.NotRun(
                outcomes.Cause.NO_ROOM, f"no room in {self._data_centre}"
            )
        if active is None:
            active = actives.Active(job, now=now, moved=moved)
            self._adopt(active)
            if not (active.runs or active.done or job.committed):
                refusal = self._admission.refusal(active, now)
                if refusal is not None:
                    self._log_end(active, refusal)
                    return refusal
            self._active[job.name] = active
            self._backlog.add(active)
            self._wake.set()
        future = active.join(home)
        if active.done >= job.count:
            self._finish(active, outcomes.Complete(()))
        return await future

    def cancel(self, name: str, home_id: str) -> None:
        """Ends a job that an instance no longer waits for."""
        active = self._active.get(name)
        if active is None:
            return
        if active.homes != [home_id]:
            active.leave(home_id)
        else:
            self._finish(
                active, _given_up(active, outcomes.Cause.CANCELLED, "cancelled")
            )

    # Events of the keepers.

    def may_start(self, run: runs.Run) -> bool:
        """Returns whether a run may still start, directly before its order."""
        active = self._owner(run)
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

    def accepted(self, holding: holdings.Holding, run: runs.Run) -> None:
        """A start was confirmed."""
        if run.state is runs.State.STARTING:
            run.state = runs.State.RUNNING
        holding.wake()

    def refused(
        self, holding: holdings.Holding, run: runs.Run, why: orders.Refusal
    ) -> None:
        """A start did nothing; the task waits for another endpoint."""
        log.event(
            "endpoint refused a start",
            step="start",
            peer=holding.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            reason=why.value,
        )
        match why:
            case orders.Refusal.NO_ROOM | orders.Refusal.UNHEALTHY:
                holding.pause(self._clock.monotonic())
            case _:
                pass
        if run.state is runs.State.STOPPING:
            self._conclude(run, why.value)
        else:
            self._retry(run, why.value)

    def unanswered(
        self, holding: holdings.Holding, run: runs.Run, detail: str
    ) -> None:
        """A start may be carried out later, so the run is barred first."""
        log.problem(
            "start without an answer",
            step="start",
            peer=holding.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            error=detail,
        )
        holding.pause(self._clock.monotonic())
        if run.state is runs.State.STARTING:
            self._stop_run(holding, run)

    def reported(
        self,
        holding: holdings.Holding,
        report: orders.Report,
        *,
        asked_at: float,
    ) -> None:
        """Applies both lists of an endpoint."""
        now = self._clock.monotonic()
        born_ms = holding.endpoint.born_ms
        if report.born_ms and born_ms and report.born_ms != born_ms:
            if report.born_ms < born_ms:
                # The list already names a newer life than this answer.
                return
            holding.endpoint = endpoints.renew(holding.endpoint, report.born_ms)
            self._restart(holding, "the endpoint started again")
        first = not holding.surveyed
        holding.surveyed = True
        for end in report.ended:
            if end.number <= holding.seen:
                continue
            self._apply_end(holding, end, now)
        if report.ended:
            holding.seen = max(holding.seen, report.ended[-1].number)
        listed = {entry.task: entry.run for entry in report.running}
        for entry in report.running:
            run = holding.runs.get(entry.task)
            if run is not None and run.number == entry.run and run.sent_at:
                holding.progress(run, entry.percent, now)
        if first:
            self._survey(holding, listed)
        for task in list(holding.foreign):
            if task not in listed:
                del holding.foreign[task]
        for run in list(holding.runs.values()):
            if listed.get(run.task) == run.number:
                if run.state is runs.State.STARTING:
                    run.state = runs.State.RUNNING
                    run.confirmed_at = now
            elif run.confirmed_at and run.confirmed_at < asked_at:
                # Confirmed before the lists were read, and on neither of them.
                self._lose(holding, run, "not listed any more")
        self._wake.set()

    def fenced(self, holding: holdings.Holding, token: int) -> None:
        """The endpoint has seen a higher token than that of the order."""
        if self._stopped or token != self._token:
            return
        log.problem(
            "an endpoint has seen a higher token",
            step="steward",
            peer=holding.endpoint.id,
            token=token,
            established=self.established,
        )
        self._lost(self._data_centre)

    def ended_all(self, holding: holdings.Holding, cause: str) -> None:
        """Nothing that was started on an endpoint runs any more."""
        holding.foreign.clear()
        for run in list(holding.runs.values()):
            if run.sent_at:
                self._lose(holding, run, cause)

    # Placement.

    def _place(self) -> None:
        now = self._clock.monotonic()
        misses = 0
        if not len(self._backlog):
            return
        barrier = self._is_survey_complete(now)
        usual = placement.median_slowness(self._holdings.values())
        for active in self._backlog.ordered(now):
            if active.moved and not barrier:
                continue
            if not self._place_job(active, now, usual):
                misses += 1
                if misses > _MAX_MISSES:
                    return

    def _place_job(
        self, active: actives.Active, now: float, usual: float
    ) -> bool:
        """Places tasks of a job; returns whether none is left waiting."""
        blocked: list[int] = []
        while active.waiting:
            index = active.waiting[0]
            task = active.job.task(index)
            if task in self._live:
                # A run of an earlier attempt is being stopped.
                blocked.append(active.waiting.popleft())
                continue
            holding = placement.choose(
                active, self._holdings.values(), now, usual=usual
            )
            if holding is None:
                active.waiting.extend(blocked)
                return False
            active.waiting.popleft()
            self._order_start(active, index, holding)
        active.waiting.extend(blocked)
        if not active.waiting:
            self._backlog.discard(active)
            return True
        return False

    def _order_start(
        self, active: actives.Active, index: int, holding: holdings.Holding
    ) -> None:
        job = active.job
        run = _new_run(active, index, active.next_number(index))
        run.spec = job.spec
        self._take(active, index, holding, run)
        holding.orders.put_nowait(runs.StartOrder(run))

    def _take(
        self,
        active: actives.Active,
        index: int,
        holding: holdings.Holding,
        run: runs.Run,
    ) -> None:
        """Takes a run into all books."""
        active.runs[index] = run
        self._live[run.task] = (holding, run)
        holding.add(run)

    def _has_room(self, job: jobs.Job, now: float) -> bool:
        """Returns whether all tasks of a job may start at once."""
        room = sum(
            int(holding.free.cores / max(job.need.cores, _MIN_CORES))
            for holding in self._holdings.values()
            if holding.open(now)
        )
        return len(self._backlog) == 0 and room >= job.count

    def _is_survey_complete(self, now: float) -> bool:
        """Whether no run of an earlier steward can be unknown here."""
        return all(
            holding.surveyed or now >= holding.doubted_until
            for holding in self._holdings.values()
        )

    # Ends of runs.

    def _apply_end(
        self, holding: holdings.Holding, end: orders.End, now: float
    ) -> None:
        run = holding.runs.get(end.task)
        if run is None or run.number != end.run:
            holding.foreign.pop(end.task, None)
            if end.how is orders.Ending.DONE and not holding.acknowledged:
                self._found_done.add(end.task)
            return
        active = self._owner(run)
        self._conclude(run, end.how.value)
        if active is None or active.closing:
            return
        match end.how:
            case orders.Ending.DONE:
                holding.succeed(run, now)
                active.done += 1
                if active.done >= active.job.count:
                    self._finish(active, outcomes.Complete(()))
            case orders.Ending.FAILED:
                self._fail(holding, active, run)
            case _:
                self._wait_again(active, run.index)

    def _fail(
        self, holding: holdings.Holding, active: actives.Active, run: runs.Run
    ) -> None:
        log.event(
            "run failed",
            step="run",
            peer=holding.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
        )
        holding.fail(run, self._clock.monotonic())
        active.avoided.add(holding.endpoint.id)
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
        self, holding: holdings.Holding, run: runs.Run, cause: str
    ) -> None:
        log.problem(
            "run lost",
            step="run",
            peer=holding.endpoint.id,
            request=run.key,
            task=run.task,
            run=run.number,
            reason=cause,
        )
        self._retry(run, cause)

    def _retry(self, run: runs.Run, how: str) -> None:
        active = self._owner(run)
        self._conclude(run, how)
        if active is not None and not active.closing:
            self._wait_again(active, run.index)

    def _wait_again(self, active: actives.Active, index: int) -> None:
        active.waiting.appendleft(index)
        self._backlog.add(active)
        self._wake.set()

    def _conclude(self, run: runs.Run, how: str) -> None:
        """Takes a run that has ended out of all books.

        Args:
            run: The run.
            how: How it ended, or why it counts as ended.
        """
        known = self._live.get(run.task)
        if known is None or known[1] is not run:
            return
        del self._live[run.task]
        known[0].remove(run)
        self._metrics.run_ended(how)
        active = self._owner(run)
        if active is not None:
            active.note(self._describe(active, known[0], run, how))
            del active.runs[run.index]
            if active.closing and not active.runs:
                self._closing.pop(run.job, None)
        self._wake.set()

    def _owner(self, run: runs.Run) -> actives.Active | None:
        """Returns the job that a run belongs to; a later attempt is another."""
        for books in (self._active, self._closing):
            active = books.get(run.job)
            if active is not None and active.runs.get(run.index) is run:
                return active
        return None

    def _stop_run(self, holding: holdings.Holding, run: runs.Run) -> None:
        run.state = runs.State.STOPPING
        if run.stop_sent:
            return
        run.stop_sent = True
        holding.orders.put_nowait(runs.StopOrder(run.task, run.number, run))
        holding.wake()

    # Ends of jobs.

    def _finish(
        self, active: actives.Active, outcome: outcomes.Outcome
    ) -> None:
        """Answers a job and stops what still runs of it."""
        self._log_end(active, outcome)
        self._active.pop(active.job.name, None)
        self._backlog.discard(active)
        active.settle(outcome)
        for run in list(active.runs.values()):
            holding, _ = self._live[run.task]
            if not run.sent_at:
                self._conclude(run, "not sent")
            else:
                self._stop_run(holding, run)
        if active.runs:
            self._closing[active.job.name] = active

    def _log_end(
        self, active: actives.Active, outcome: outcomes.Outcome
    ) -> None:
        now = self._clock.monotonic()
        match outcome:
            case outcomes.Complete():
                cause = ""
            case _:
                cause = f"{outcome.cause.value}: {outcome.detail}"
        log.event(
            "job ended",
            step="schedule",
            request=active.job.key,
            queue=active.job.queue,
            outcome=outcomes.label(outcome),
            cause=cause,
            tasks=active.job.count,
            done=active.done,
            sends=active.sends,
            part=active.job.indices[0],
            moved=active.moved,
            runs=active.history,
            waiting_jobs=len(self._backlog),
            token=self._token,
            first_send_ms=int(
                ((active.first_sent_at or now) - active.arrived_at) * 1_000
            ),
            took_ms=int((now - active.arrived_at) * 1_000),
        )

    def _describe(
        self,
        active: actives.Active,
        holding: holdings.Holding,
        run: runs.Run,
        how: str,
    ) -> str:
        """Returns a run for the log: place, time of its start and end, cause."""
        begin_ms = int((run.sent_at - active.arrived_at) * 1_000)
        end_ms = int((self._clock.monotonic() - active.arrived_at) * 1_000)
        sent = f"{begin_ms}" if run.sent_at else "-"
        return (
            f"{run.index}#{run.number}@{holding.endpoint.id}"
            f" {sent}..{end_ms} ms {how}"
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = self._clock.monotonic()
            for active in list(self._active.values()):
                self._check(active, now)
            for holding in list(self._holdings.values()):
                self._stop_foreign(holding, now)
                self._stop_hanging(holding, now)
                if holding.endpoint.id in self._unlisted and not holding.runs:
                    self._release(holding.endpoint.id)
            if now - self._since > _FOREIGN_S:
                self._found_done.clear()
            self._wake.set()

    def _check(self, active: actives.Active, now: float) -> None:
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
                _given_up(
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
                _given_up(
                    active, outcomes.Cause.OVERLOAD, "no room while of use"
                ),
            )
        elif not (active.started or active.moved or active.job.committed):
            refusal = self._admission.refusal(active, now)
            if refusal is not None:
                self._finish(active, refusal)

    def _stop_hanging(self, holding: holdings.Holding, now: float) -> None:
        for run in list(holding.runs.values()):
            limit_s = max(_HANG_S, _HANG_RATIO * run.estimate_s)
            if (
                run.state is runs.State.RUNNING
                and run.progressed_at
                and now - run.progressed_at > limit_s
            ):
                log.problem(
                    "run stopped because it makes no progress",
                    step="run",
                    peer=holding.endpoint.id,
                    request=run.key,
                    task=run.task,
                    run=run.number,
                    percent=run.percent,
                    estimate_ms=int(run.estimate_s * 1_000),
                )
                holding.hang(now)
                self._stop_run(holding, run)

    # Runs of an earlier steward.

    def _survey(
        self, holding: holdings.Holding, listed: dict[str, int]
    ) -> None:
        for task, number in listed.items():
            if task not in holding.runs:
                holding.foreign[task] = number
        holding.foreign_since = self._clock.monotonic()
        for active in list(self._active.values()):
            self._adopt(active)

    def _adopt(self, active: actives.Active) -> None:
        """Takes over runs of a job that an earlier steward started."""
        job = active.job
        for index in list(active.waiting):
            task = job.task(index)
            if task in self._found_done:
                self._found_done.discard(task)
                active.waiting.remove(index)
                active.started = True
                active.done += 1
                continue
            for holding in self._holdings.values():
                number = holding.foreign.pop(task, None)
                if number is None:
                    continue
                active.waiting.remove(index)
                active.started = True
                active.number_above(index, number)
                run = _new_run(active, index, number)
                run.state = runs.State.RUNNING
                run.sent_at = run.confirmed_at = self._clock.monotonic()
                self._take(active, index, holding, run)
                break

    def _stop_foreign(self, holding: holdings.Holding, now: float) -> None:
        if not holding.foreign or now - holding.foreign_since < _FOREIGN_S:
            return
        for task, number in holding.foreign.items():
            holding.orders.put_nowait(runs.StopOrder(task, number))

    # Endpoints.

    def _hold(self, endpoint: endpoints.Endpoint) -> None:
        holding = holdings.Holding(
            endpoint, lease=leases.Lease(duration_s=self._lease_s)
        )
        holding.doubt(self._clock.monotonic())
        self._holdings[endpoint.id] = holding
        keeper = keepers.Keeper(
            holding, orders_=self._orders, events=self, clock=self._clock
        )
        self._keepers[endpoint.id] = asyncio.create_task(
            self._keep(holding, keeper), name=f"endpoint {endpoint.id}"
        )

    async def _keep(
        self, holding: holdings.Holding, keeper: keepers.Keeper
    ) -> None:
        try:
            await keeper.run()
        except ExceptionGroup as error:
            log.problem(
                "the task of an endpoint failed",
                step="keep endpoint",
                peer=holding.endpoint.id,
                error=repr(error.exceptions[0]),
            )
            # Without its keeper the endpoint is not renewed: its runs end with
            # the lease, and the next list holds it again.
            await asyncio.sleep(self._lease_s)
            self._release(holding.endpoint.id)

    def _release(self, name: str) -> None:
        """Gives an endpoint up, with everything that still counts as running."""
        holding = self._holdings.pop(name)
        self._unlisted.discard(name)
        task = self._keepers.pop(name, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        for run in list(holding.runs.values()):
            self._lose(holding, run, "the endpoint is gone")

    def _restart(self, holding: holdings.Holding, cause: str) -> None:
        holding.lease.reset()
        holding.seen = holding.acknowledged = 0
        self.ended_all(holding, cause)

    async def _close(self) -> None:
        """Ends all jobs here; their homes submit them to the next steward."""
        self._stopped = True
        tasks = list(self._keepers.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for active in list(self._active.values()):
            if active.started:
                outcome: outcomes.Outcome = outcomes.Unknown(
                    outcomes.Cause.STEWARD_LOST, "the steward has changed"
                )
            else:
                outcome = _not_steward(self._data_centre)
            active.settle(outcome)
        self._active.clear()


def _new_run(active: actives.Active, index: int, number: int) -> runs.Run:
    job = active.job
    return runs.Run(
        task=job.task(index),
        number=number,
        key=job.key,
        job=job.name,
        index=index,
        cores=job.need.cores,
        memory_mb=job.need.memory_mb,
        accelerators=job.need.accelerators,
        estimate_s=job.estimate_s,
        spec="",
    )


def _replaced() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Cause.CANCELLED, "replaced by a later attempt"
    )


def _not_steward(data_centre: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Cause.NOT_STEWARD, f"no steward of {data_centre} here"
    )


def _given_up(
    active: actives.Active, cause: outcomes.Cause, detail: str
) -> outcomes.Outcome:
    """Returns the outcome of a job that is not served."""
    if active.started or active.moved:
        return outcomes.Unknown(cause, detail)
    return outcomes.NotRun(cause, detail, _RETRY_AFTER_S)
