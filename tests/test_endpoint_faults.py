"""Leaders under restarts of endpoints and faults of orders, in virtual time.

Schedules overlap restarts under the same id, orders that are lost, unanswered or
late, lists of endpoints that are out of date, and changes of the leader.

Not generated, because no leader can prevent a second run: a late order that
another incarnation carries out before its leader could notice that incarnation
and has had a later call answered by it; and orders of a replaced leader to an
endpoint that its successor has not reached, on which only the fencing token
could stop them.
"""

import asyncio
import contextlib
import dataclasses
import functools
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.leasing import orders
from sesameroad.model import outcomes
from sesameroad.platform import order_client
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _properties
from tests import _virtual

# Faults begin and jobs arrive within this time, in seconds.
_FAULTS_S = 8.0
# Longest time after which a late order is carried out.
_MAX_LATE_S = 2.5
_ORDER_TIMEOUT_S = 0.3
# Time after which a leader notices that an instance is lost, and time without
# a leader after that, as in `settings.node.Timing`.
_PEER_TIMEOUT_S = 0.75
_CLAIM_PAUSE_S = 0.15
# Time after which a caller sends a job again.
_RESUBMIT_S = 1.3
_MAX_ATTEMPTS = 5
# Longest time for which a replaced leader goes on before it sees the claim of
# its successor.
_OVERLAP_S = 0.3
_FIRST_TOKEN, _SECOND_TOKEN = 1_000, 2_000
# Time from the last fault until each endpoint must be usable, and from the end
# of the last job until nothing may run.
_USABLE_S = 4.0
_IDLE_S = 3.0
_CORES = 16.0
_ENDPOINTS = st.integers(0, 5)


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """A job; its origin is lost after a while unless that is None."""

    at: float
    tasks: int
    run_s: float
    cores: float
    origin_lost_s: float | None


@dataclasses.dataclass(frozen=True)
class _Restart:
    """A restart of an endpoint, which shows a start time of this kind."""

    endpoint: int
    at: float
    down_s: float
    born: str


@dataclasses.dataclass(frozen=True)
class _OrderFault:
    """A fault of this share of the orders to an endpoint for some time.

    "lost" orders are neither carried out nor answered, "unanswered" ones are
    carried out, and "late" ones are carried out later and not answered.
    """

    order: str
    kind: str
    endpoint: int
    at: float
    for_s: float
    share: float


@dataclasses.dataclass(frozen=True)
class _Listing:
    """A list of endpoints that reaches the leader.

    It is some restarts old and lacks some endpoints.
    """

    at: float
    age: int
    missing: frozenset


@dataclasses.dataclass(frozen=True)
class _HandOver:
    """A change of the leader.

    The first leader ends before it ("stop"), shortly after it ("overlap"), or
    is paused before it and resumes some time later ("pause").
    """

    kind: str
    at: float
    paused_s: float


@dataclasses.dataclass(frozen=True)
class _Schedule:
    seed: int
    endpoints: int
    arrivals: list
    restarts: list
    order_faults: list
    listings: list
    # Restarts that the list does not show yet when the last fault is over.
    last_age: int
    hand_over: _HandOver | None


class _FaultyOrders:
    """Orders of one leader, as `leasing.orders.Orders`, with faults."""

    def __init__(self, play):
        self.cut = False
        self.replaced = False
        self._play = play
        self._fleet = play.site.fleet
        # Time at which the leader could first notice an incarnation: by the
        # start time or the clock in an answer, or by the list.
        self._noticed_at = {}
        # Incarnations that have answered a call sent after that.
        self._known = set()

    async def start(self, endpoint, **order):
        def carry_out():
            self._fleet.endpoints[endpoint.id].start(
                until_ms=order.pop("lease_until_ms"), **order
            )

        return await self._send(
            "start",
            endpoint,
            functools.partial(self._fleet.start, endpoint, **order),
            carry_out,
            _ORDER_TIMEOUT_S,
        )

    async def stop(self, endpoint, **order):
        return await self._send(
            "stop",
            endpoint,
            functools.partial(self._fleet.stop, endpoint, **order),
            None,
            order_client.STOP_TIMEOUT_S,
        )

    async def poll(self, endpoint, **order):
        def carry_out():
            self._play.spawn(
                self._fleet.endpoints[endpoint.id].poll(
                    token=order["token"],
                    seen=order["seen"],
                    until_ms=order["lease_until_ms"],
                    wait_s=0.0,
                )
            )

        return await self._send(
            "poll",
            endpoint,
            functools.partial(self._fleet.poll, endpoint, **order),
            carry_out,
            order["timeout_s"],
        )

    async def _send(self, order, endpoint, deliver, carry_out_late, timeout_s):
        simulated = self._fleet.endpoints[endpoint.id]
        sent_at = self._play.now
        kind = self._play.fault_of(order, endpoint.id)
        if self._is_cut(simulated) or kind == "lost":
            return await self._no_answer(sent_at, timeout_s)
        if kind == "late":
            asyncio.get_running_loop().call_later(
                self._play.random.uniform(0.05, _MAX_LATE_S),
                self._carry_out_late,
                simulated,
                simulated.incarnation,
                carry_out_late,
            )
            return await self._no_answer(sent_at, timeout_s)
        answer = await deliver()
        if isinstance(answer, orders.NoAnswer):
            return answer
        if self.cut or kind == "unanswered":
            return await self._no_answer(sent_at, timeout_s)
        self._record_answer(simulated, answer, sent_at)
        return answer

    def _is_cut(self, simulated):
        return self.cut or (self.replaced and simulated.token < _SECOND_TOKEN)

    async def _no_answer(self, sent_at, timeout_s):
        await asyncio.sleep(max(0.0, sent_at + timeout_s - self._play.now))
        return orders.NoAnswer("timeout")

    def _carry_out_late(self, simulated, incarnation, carry_out):
        current = (simulated.endpoint.id, simulated.incarnation)
        if simulated.down:
            return
        if simulated.incarnation == incarnation or current in self._known:
            carry_out()

    def _record_answer(self, simulated, answer, sent_at):
        current = (simulated.endpoint.id, simulated.incarnation)
        noticed_at = self._noticed_at.get(current)
        if noticed_at is not None and sent_at > noticed_at:
            self._known.add(current)
        if isinstance(answer, orders.Report) or getattr(answer, "clock_ms", 0):
            self._noticed_at.setdefault(current, self._play.now)

    def record_list(self, listed):
        """Records the incarnations that a list shows to the leader."""
        for endpoint in listed:
            simulated = self._fleet.endpoints[endpoint.id]
            if simulated.endpoint.born_ms == endpoint.born_ms:
                self._noticed_at.setdefault(
                    (endpoint.id, simulated.incarnation), self._play.now
                )


class _Leader:
    """A leader that resigns when its successor has fenced it."""

    def __init__(self, play, token):
        self.gone = asyncio.Event()
        self.orders = _FaultyOrders(play)
        self.scheduler = scheduler_module.Scheduler(
            token=token,
            orders_=self.orders,
            lease_s=1.0,
            clock=play.site.clock,
            on_fenced=self._handle_fenced,
            metrics=job_metrics.JobMetrics(),
        )
        self.task = asyncio.create_task(self.scheduler.run())

    def _handle_fenced(self, data_centre):
        if self.orders.replaced:
            self.task.cancel()

    def update(self, listed):
        self.orders.record_list(listed)
        self.scheduler.update(listed)

    async def close(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class _Play:
    """Plays one schedule and collects what goes wrong."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.random = random.Random(schedule.seed)
        self.site = _jobs.Site(count=schedule.endpoints, cores=_CORES)
        self.problems = []
        self.leader = None
        self._led = asyncio.Event()
        self._leaders = []
        self._not_run = []
        self._tasks = set()
        self._lists = [list(self.site.endpoints)]
        self._born = {endpoint.born_ms for endpoint in self.site.endpoints}
        self._began_at = 0.0

    @property
    def now(self):
        return self.site.clock.monotonic()

    def spawn(self, coroutine):
        """Runs a coroutine besides the play and keeps a reference to it."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def fault_of(self, order, endpoint_id):
        """Returns the kind of fault that an order sent now has, or ""."""
        elapsed = self.now - self._began_at
        for fault in self.schedule.order_faults:
            if (
                fault.order == order
                and self._name(fault.endpoint) == endpoint_id
                and fault.at <= elapsed < fault.at + fault.for_s
                and self.random.random() < fault.share
            ):
                return fault.kind
        return ""

    def _name(self, number):
        return f"e{number % self.schedule.endpoints}"

    def _last_fault(self):
        schedule = self.schedule
        return max(
            [0.0]
            + [restart.at + restart.down_s for restart in schedule.restarts]
            + [
                fault.at
                + fault.for_s
                + (_MAX_LATE_S if fault.kind == "late" else 0.0)
                for fault in schedule.order_faults
            ]
            + [listing.at for listing in schedule.listings]
            + (
                [
                    schedule.hand_over.at
                    + schedule.hand_over.paused_s
                    + _OVERLAP_S
                ]
                if schedule.hand_over is not None
                else []
            )
        )

    async def run(self):
        """Plays the schedule and returns the problems found."""
        schedule = self.schedule
        self._began_at = self.now
        self._lead(_FIRST_TOKEN)
        await asyncio.sleep(0.05)
        events = [
            self.spawn(self._at(event.at, play, event))
            for play, group in (
                (self._restart, schedule.restarts),
                (self._list, schedule.listings),
                (
                    self._hand_over,
                    [schedule.hand_over] if schedule.hand_over else [],
                ),
            )
            for event in group
        ]
        callers = [
            self.spawn(self._call(f"{number:016x}", arrival))
            for number, arrival in enumerate(schedule.arrivals)
        ]
        await asyncio.sleep(
            self._began_at + self._last_fault() + 0.01 - self.now
        )
        await asyncio.gather(*events)
        await self._list(
            _Listing(self._last_fault(), schedule.last_age, frozenset())
        )
        await asyncio.sleep(_USABLE_S)
        await self._check_usable()
        await asyncio.gather(*callers)
        await asyncio.sleep(_IDLE_S)
        self._check_end()
        for leader in self._leaders:
            await leader.close()
        return self.problems

    async def _at(self, at, play, event):
        await asyncio.sleep(max(0.0, self._began_at + at - self.now))
        await play(event)

    def _lead(self, token):
        self.leader = _Leader(self, token)
        self._leaders.append(self.leader)
        self._led.set()
        self.leader.update(self._lists[-1])

    def _end_term(self):
        self.leader = None
        self._led.clear()

    async def _restart(self, restart):
        simulated = self.site.fleet.endpoints[self._name(restart.endpoint)]
        born_ms = simulated.endpoint.born_ms
        match restart.born:
            case "elapsed":
                born_ms = 1_000 + int((self.now - self._began_at) * 1_000)
            case "step":
                born_ms += 1_000
            case "earlier":
                born_ms //= 2
        while born_ms in self._born:
            born_ms += 1
        self._born.add(born_ms)
        simulated.crash(born_ms=born_ms, down_s=restart.down_s)
        incarnation = simulated.incarnation
        await asyncio.sleep(restart.down_s)
        if simulated.incarnation == incarnation:
            # The list shows the new start time once the endpoint is up.
            self._lists.append(
                [
                    (
                        simulated.endpoint
                        if endpoint.id == simulated.endpoint.id
                        else endpoint
                    )
                    for endpoint in self._lists[-1]
                ]
            )

    async def _list(self, listing):
        listed = self._lists[max(0, len(self._lists) - 1 - listing.age)]
        missing = {self._name(number) for number in listing.missing}
        if self.leader is not None:
            self.leader.update(
                [endpoint for endpoint in listed if endpoint.id not in missing]
            )

    async def _hand_over(self, hand_over):
        former = self.leader
        match hand_over.kind:
            case "stop":
                self._end_term()
                await former.close()
                await asyncio.sleep(_CLAIM_PAUSE_S)
                self._lead(_SECOND_TOKEN)
            case "overlap":
                former.orders.replaced = True
                self._lead(_SECOND_TOKEN)
                await asyncio.sleep(_OVERLAP_S)
                await former.close()
            case "pause":
                former.orders.cut = True
                await asyncio.sleep(_PEER_TIMEOUT_S)
                self._end_term()
                former.gone.set()
                await asyncio.sleep(_CLAIM_PAUSE_S)
                former.orders.replaced = True
                self._lead(_SECOND_TOKEN)
                await asyncio.sleep(hand_over.paused_s)
                former.orders.cut = False
                await asyncio.sleep(_OVERLAP_S)
                await former.close()

    async def _call(self, key, arrival):
        """Submits a job, and again until its outcome is known."""
        await asyncio.sleep(max(0.0, self._began_at + arrival.at - self.now))
        for attempt in range(_MAX_ATTEMPTS):
            job = self.site.job(
                key,
                count=arrival.tasks,
                run_s=arrival.run_s,
                cores=arrival.cores,
                deadline_s=3.0,
            )
            lost_s = None if attempt else arrival.origin_lost_s
            moved, outcome = await self._submit(
                job, _jobs.Origin(f"{key} {attempt}"), lost_s
            )
            match outcome:
                case outcomes.Complete():
                    missing = {
                        job.task(index) for index in job.indices
                    }.difference(self.site.history.done)
                    if missing:
                        self.problems.append(f"complete, not done: {missing}")
                    return
                case outcomes.NotRun() if not moved:
                    # An earlier attempt may have started tasks.
                    if not attempt:
                        self._not_run.append(job)
                        self._check_not_run(job, "before")
                    return
            await asyncio.sleep(_RESUBMIT_S)

    async def _submit(self, job, origin, lost_s):
        """Submits a job to one leader after the other.

        Returns:
            Whether it may have started at a former leader, and its outcome,
            None if its origin was lost.
        """
        moved = False
        lost_at = None if lost_s is None else self.now + lost_s
        while True:
            await self._led.wait()
            leader = self.leader
            answer = asyncio.create_task(
                leader.scheduler.submit(job, origin, moved=moved)
            )
            gone = asyncio.create_task(leader.gone.wait())
            await asyncio.wait(
                [answer, gone],
                timeout=None if lost_at is None else lost_at - self.now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            gone.cancel()
            if not answer.done():
                answer.cancel()
                if leader.gone.is_set():
                    moved = True
                    continue
                origin.lose()
                return moved, None
            match answer.result():
                case outcomes.NotRun(cause=outcomes.Cause.NOT_STEWARD):
                    await asyncio.sleep(0.05)
                case outcomes.Unknown(cause=outcomes.Cause.STEWARD_LOST):
                    moved = True
                case outcome:
                    return moved, outcome
            if self.now >= job.deadline_at:
                return True, None

    def _check_not_run(self, job, when):
        starts = [
            task
            for task in self.site.history.starts
            if task.startswith(f"{job.key}.")
        ]
        if starts:
            self.problems.append(f"not run, {when} started: {starts}")

    async def _check_usable(self):
        """Checks that each endpoint accepts a task that needs all of it."""
        job = self.site.job(
            "f" * 16,
            count=self.schedule.endpoints,
            run_s=0.2,
            cores=_CORES,
            deadline_s=5.0,
            stretch=20.0,
        )
        _, outcome = await self._submit(job, _jobs.Origin("usable"), None)
        if outcome != outcomes.Complete(()):
            self.problems.append(f"endpoints are not usable: {outcome}")

    def _check_end(self):
        history = self.site.history
        for job in self._not_run:
            self._check_not_run(job, "later")
        if history.overlapping:
            self.problems.append(f"overlapping runs: {history.overlapping}")
        if history.running:
            self.problems.append(f"still running: {history.running}")
        for leader in self._leaders:
            with contextlib.suppress(asyncio.CancelledError):
                if leader.task.done() and leader.task.exception():
                    self.problems.append(f"leader failed: {leader.task}")


def _times():
    return st.floats(0.2, _FAULTS_S).map(lambda at: round(at, 3))


def _durations(longest):
    return st.floats(0.0, longest).map(lambda time: round(time, 3))


def _order_faults(endpoints, times):
    return st.builds(
        lambda order_kind, **fields: _OrderFault(*order_kind, **fields),
        st.sampled_from(
            [
                ("start", "lost"),
                ("start", "unanswered"),
                ("start", "late"),
                ("start", "late"),
                ("stop", "lost"),
                ("stop", "unanswered"),
                ("poll", "lost"),
                ("poll", "unanswered"),
                ("poll", "late"),
            ]
        ),
        endpoint=endpoints,
        at=times,
        for_s=st.floats(0.05, 1.5).map(lambda time: round(time, 3)),
        share=st.sampled_from([0.3, 0.7, 1.0]),
    )


@st.composite
def _incidents(draw):
    """Returns a restart and faults of orders to that endpoint around it."""
    restart = draw(
        st.builds(
            _Restart,
            endpoint=_ENDPOINTS,
            at=_times(),
            down_s=st.just(0.0) | _durations(1.0),
            born=st.sampled_from(["elapsed", "step", "earlier"]),
        )
    )
    times = st.floats(-1.5, 0.5).map(
        lambda offset: round(max(0.1, restart.at + offset), 3)
    )
    faults = draw(
        st.lists(
            _order_faults(st.just(restart.endpoint), times),
            min_size=1,
            max_size=3,
        )
    )
    return restart, faults


def _schedule(incidents, order_faults, **fields):
    return _Schedule(
        restarts=[restart for restart, _ in incidents],
        order_faults=order_faults
        + [fault for _, faults in incidents for fault in faults],
        **fields,
    )


def _schedules():
    return st.builds(
        _schedule,
        seed=st.integers(0, 2**32),
        endpoints=st.integers(3, 6),
        arrivals=st.lists(
            st.builds(
                _Arrival,
                at=_times(),
                tasks=st.integers(1, 6),
                run_s=st.floats(0.05, 1.5).map(lambda run_s: round(run_s, 3)),
                cores=st.sampled_from([2.0, 4.0, 8.0, 16.0]),
                origin_lost_s=st.none() | st.none() | _durations(1.0),
            ),
            min_size=8,
            max_size=24,
        ),
        incidents=st.lists(_incidents(), min_size=1, max_size=6),
        order_faults=st.lists(
            _order_faults(_ENDPOINTS, _times()), min_size=1, max_size=6
        ),
        listings=st.lists(
            st.builds(
                _Listing,
                at=_times(),
                age=st.integers(0, 3),
                missing=st.just(frozenset())
                | st.frozensets(_ENDPOINTS, max_size=3),
            ),
            max_size=8,
        ),
        last_age=st.integers(0, 2),
        hand_over=st.none()
        | st.builds(
            _HandOver,
            kind=st.sampled_from(["stop", "overlap", "pause"]),
            at=_times(),
            paused_s=_durations(3.0),
        ),
    )


# A late start met an incarnation that only the clocks in answers to stops had
# shown, as polls were carried out but not answered.
_RESTART_SHOWN_BY_A_CLOCK = _Schedule(
    seed=119,
    endpoints=6,
    arrivals=[
        _Arrival(0.5, tasks=6, run_s=1.026, cores=4.0, origin_lost_s=None),
        _Arrival(0.5, tasks=1, run_s=1.007, cores=16.0, origin_lost_s=None),
        _Arrival(0.5, tasks=6, run_s=1.026, cores=4.0, origin_lost_s=None),
    ],
    restarts=[
        _Restart(3, at=1.281, down_s=0.175, born="elapsed"),
        _Restart(3, at=0.704, down_s=0.0, born="step"),
    ],
    order_faults=[
        _OrderFault("start", "late", 3, at=0.369, for_s=1.1, share=1.0),
        _OrderFault("poll", "unanswered", 3, at=0.956, for_s=1.5, share=1.0),
    ],
    listings=[],
    last_age=2,
    hand_over=None,
)


class EndpointFaultsTest(unittest.TestCase):
    """Guards against two runs of a task at the same time, and lost endpoints."""

    @_properties.examples(60)
    @hypothesis.given(_schedules())
    @hypothesis.example(_RESTART_SHOWN_BY_A_CLOCK)
    def test_each_task_has_one_run_at_a_time(self, schedule):
        """Guards against faults that only do harm in series.

        Also against wrong outcomes, and against endpoints that stay unused or
        busy once the faults are over.
        """
        self.assertEqual(_virtual.run(_Play(schedule).run()), [])
