"""Several leaders under cuts, moves of jobs and repeated attempts, in virtual time.

Schedules overlap cuts between a leader and endpoints, claims of next leaders,
origins that move their jobs and may still be heard where they were, are lost or have
their heartbeats held up, callers that come again while the former origin lives, and
faults of endpoints.

Not generated, because two runs are possible then (docs/guarantees.md):

- Late starts in one schedule with restarts if origins move away from a leader that
  lives. With leaders that end by plan or are killed they come together.
- A later attempt while the former origin lives, if the leaders do not reach each other
  (`tests.test_cut_off_leaders`).

Clocks of endpoints are not slow here.
"""

import asyncio
import dataclasses
import itertools
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
_FAULTS_S = 4.0
_START_TIMEOUT_S = 0.3
# Delay of the reset of a broken path.
_RESET_S = 0.001
# Time without a leader after which another one claims its endpoints.
_CLAIM_PAUSE_S = 0.25
# Time after which a caller without an answer comes again, at the earliest.
_RETURN_S = 1.3
# Age from which leaders tell each other of a job, by default.
_NOTICE_S = 0.5
# Distance of the tokens of two leaders, which raise them by one at a time.
_TOKEN_STEP = 2**18
_MAX_LEADERS = 3
# Time for which a caller waits, and time within which an outcome must come
# after that.
_DEADLINE_S = 9.0
_OVERDUE_S = 1.0
_LOOK_PERIOD_S = 0.05
_CORES = 16.0
_ENDPOINTS = st.frozensets(st.integers(0, 3), min_size=1, max_size=3)
_ORIGINS = st.integers(0, 3)
_LEADERS = st.integers(0, _MAX_LEADERS - 1)


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """A job."""

    at: float
    origin: int
    tasks: int
    run_s: float
    cores: float


@dataclasses.dataclass(frozen=True)
class _Cut:
    """A cut between a leader and endpoints; paths are reset or drop orders."""

    at: float
    leader: int
    endpoints: frozenset
    reset: bool
    for_s: float


@dataclasses.dataclass(frozen=True)
class _Claim:
    """The next leader claims endpoints."""

    at: float
    endpoints: frozenset


@dataclasses.dataclass(frozen=True)
class _Close:
    """A leader ends; its origins notice it after a pause."""

    at: float
    leader: int
    pause_s: float


@dataclasses.dataclass(frozen=True)
class _Kill:
    """A leader is killed; its origins notice it after a pause."""

    at: float
    leader: int
    pause_s: float


@dataclasses.dataclass(frozen=True)
class _Move:
    """The stream of an origin ends; it offers its jobs to another leader.

    The former leader goes on hearing the origin for a time.
    """

    at: float
    origin: int
    leader: int
    pause_s: float
    heard_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Loss:
    """An origin is lost; its callers come again at another one."""

    at: float
    origin: int
    return_s: float
    next_origin: int


@dataclasses.dataclass(frozen=True)
class _Repeat:
    """Callers of an origin that lives come again at another one."""

    at: float
    origin: int
    next_origin: int


@dataclasses.dataclass(frozen=True)
class _Delay:
    """The heartbeats of an origin are held up on their way."""

    at: float
    origin: int
    delay_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class _LostStops:
    """The next stops that are sent to an endpoint are lost."""

    at: float
    endpoint: int
    count: int


@dataclasses.dataclass(frozen=True)
class _LateStarts:
    """An endpoint carries out starts late and does not answer them."""

    at: float
    endpoint: int
    late_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class _Restart:
    """An endpoint starts again under its id."""

    at: float
    endpoint: int
    down_s: float


@dataclasses.dataclass(frozen=True)
class _Schedule:
    endpoints: int
    # Time of the heartbeats of each origin within their period.
    phases: list
    events: list


class _Paths:
    """Paths of one leader to the endpoints, as `leasing.orders.Orders`."""

    def __init__(self, fleet):
        self._fleet = fleet
        # Whether the path is reset, by endpoint that is cut off.
        self._cuts = {}
        self._in_flight = {}

    def cut(self, name, *, reset):
        self._cuts[name] = reset
        if reset:
            for task in self._in_flight.get(name, ()):
                task.cancel()

    def join(self, name):
        self._cuts.pop(name, None)

    async def start(self, endpoint, **order):
        send = self._fleet.start(endpoint, **order)
        return await self._send(send, endpoint.id, _START_TIMEOUT_S)

    async def stop(self, endpoint, **order):
        send = self._fleet.stop(endpoint, **order)
        return await self._send(send, endpoint.id, order_client.STOP_TIMEOUT_S)

    async def poll(self, endpoint, **order):
        send = self._fleet.poll(endpoint, **order)
        return await self._send(send, endpoint.id, order["timeout_s"])

    async def _send(self, send, name, timeout_s):
        if name in self._cuts:
            send.close()
            await asyncio.sleep(_RESET_S if self._cuts[name] else timeout_s)
            return orders.NoAnswer("cut off")
        sending = asyncio.ensure_future(send)
        in_flight = self._in_flight.setdefault(name, set())
        in_flight.add(sending)
        try:
            await asyncio.wait((sending,))
        finally:
            in_flight.discard(sending)
            sending.cancel()
        if sending.cancelled():
            return orders.NoAnswer("the path was reset")
        if name not in self._cuts:
            return sending.result()
        await asyncio.sleep(timeout_s)
        return orders.NoAnswer("cut off")


class _Leader:
    """A leader, and the endpoints that it lists."""

    def __init__(self, play, token, names):
        self.paths = _Paths(play.site.fleet)
        self.names = set(names)
        self.closed = False
        self.killed = False
        self._play = play
        self.name = f"leader{token}"
        self._scheduler = scheduler_module.Scheduler(
            token=token,
            orders_=self.paths,
            lease_s=1.0,
            clock=play.site.clock,
            on_fenced=self._on_fenced,
            metrics=job_metrics.JobMetrics(),
            peers=play.site.links.open(self.name),
            attempt_notice_s=_NOTICE_S,
            cancel_reports=_jobs.PeerReports(play.site.links, self.name),
            held_up_notices=play.site.links.held_up(self.name),
            pending_starts=play.site.links.pending(self.name),
        )
        play.site.links.add(self.name, self._scheduler)
        self._update()
        self._task = asyncio.create_task(self._scheduler.run())
        self._check = asyncio.create_task(
            _jobs.find_unaccounted_job(self._scheduler)
        )

    @property
    def submit(self):
        return self._scheduler.submit

    def claim(self, names):
        self.names |= names
        self._update()

    def close(self):
        self.closed = True
        self._play.site.links.remove(self.name)
        self._task.cancel()

    def kill(self):
        """Ends all paths and streams at once, without a word to anyone."""
        self.killed = True
        for endpoint in self._play.site.endpoints:
            self.paths.cut(endpoint.id, reset=True)
        self._play.site.links.cut.add(self.name)
        self._play.site.links.lose(self.name)

    async def wait_closed(self):
        await asyncio.gather(self._task, return_exceptions=True)
        if self._check.done():
            raise AssertionError(f"unaccounted for: {self._check.result()}")
        self._check.cancel()

    def _update(self):
        self._scheduler.update(
            [e for e in self._play.site.endpoints if e.id in self.names]
        )

    def _on_fenced(self, data_centre):
        if self.closed:
            return
        if self._scheduler.is_established(data_centre):
            self._play.spawn(self._play.close(self, pause_s=0.0))
        else:
            self._scheduler.raise_token(self._play.next_token())


class _Instance:
    """An origin: its stream to a leader, and the jobs that it has offered."""

    def __init__(self, name, phase_s, leader):
        self.name = name
        self.phase_s = phase_s
        self.leader = leader
        self.link = _jobs.HeartbeatOrigin(name, phase_s=phase_s)
        self.lost = False
        # Links to leaders that it has left, and when these lose it.
        self._heard = []
        # Number of streams that have ended.
        self.ended = 0
        # Number of its last offer.
        self.offers = 0
        # Unanswered jobs by key, and whether they have been offered before.
        self.jobs = {}

    def leave(self, *, heard_s=0.0):
        self.ended += 1
        if heard_s:
            loop = asyncio.get_running_loop()
            self._heard.append(
                (self.link, loop.call_later(heard_s, self.link.lose))
            )
        else:
            self.link.lose()
        self.leader = None

    def lose(self):
        self.lost = True
        self.leave()
        for link, timer in self._heard:
            if timer.when() > asyncio.get_running_loop().time():
                timer.cancel()
                link.lose()


class _Play:
    """Plays a schedule.

    Attributes:
        overdue: Keys of jobs whose outcome came late, or not at all.
    """

    def __init__(self, schedule):
        self.site = _jobs.Site(count=schedule.endpoints, cores=_CORES)
        self.overdue = []
        # Number of jobs that moved with tasks that no leader has started.
        self.told = 0
        self._schedule = schedule
        self._tokens = itertools.count(_TOKEN_STEP, _TOKEN_STEP)
        self._tasks = set()
        self._leaders = []
        self._instances = []
        self._keys = itertools.count()
        self._last_deadline_at = 0.0
        self._faults_end_at = 0.0

    async def run(self):
        self._faults_end_at = self.site.clock.monotonic() + _FAULTS_S
        first = self._open(self._names(frozenset(range(4))))
        self._instances = [
            _Instance(f"origin{number}", phase_s, first)
            for number, phase_s in enumerate(self._schedule.phases)
        ]
        loop = asyncio.get_running_loop()
        for event in sorted(self._schedule.events, key=lambda e: e.at):
            await asyncio.sleep(max(0.0, event.at - loop.time()))
            self.spawn(self._apply(event))
        while self._tasks:
            done, self._tasks = self._tasks, set()
            await asyncio.gather(*done)
        for leader in self._leaders:
            leader.close()
            await leader.wait_closed()
        return self.site.history.overlapping

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    def next_token(self):
        return next(self._tokens)

    async def close(self, leader, *, pause_s):
        """Ends a leader; another one claims what it held."""
        if leader.closed:
            return
        leader.close()
        for instance in self._instances:
            if instance.leader is leader:
                self.spawn(self._move(instance, 0, pause_s))
        await asyncio.sleep(_CLAIM_PAUSE_S)
        held = set().union(*(one.names for one in self._open_leaders()))
        free = {e.id for e in self.site.endpoints} - held
        if not free:
            return
        if self._open_leaders():
            self._open_leaders()[-1].claim(free)
        else:
            self._open(free)

    def _open_leaders(self):
        return [leader for leader in self._leaders if not leader.closed]

    def _open(self, names):
        leader = _Leader(self, self.next_token(), names)
        self._leaders.append(leader)
        return leader

    def _names(self, numbers):
        count = self._schedule.endpoints
        return {f"e{number % count}" for number in numbers}

    def _simulated(self, number):
        return self.site.fleet.endpoints[
            f"e{number % self._schedule.endpoints}"
        ]

    def _instance(self, number):
        return self._instances[number % len(self._instances)]

    async def _apply(self, event):
        match event:
            case _Arrival():
                self._arrive(event)
            case _Cut():
                await self._cut(event)
            case _Claim():
                if len(self._leaders) < _MAX_LEADERS:
                    self._open(self._names(event.endpoints))
            case _Close():
                if event.leader < len(self._leaders):
                    await self.close(
                        self._leaders[event.leader], pause_s=event.pause_s
                    )
            case _Kill():
                if event.leader < len(self._leaders):
                    leader = self._leaders[event.leader]
                    if not leader.closed:
                        leader.kill()
                        await self.close(leader, pause_s=event.pause_s)
            case _Move():
                instance = self._instance(event.origin)
                if not instance.lost and instance.leader is not None:
                    await self._move(
                        instance,
                        event.leader,
                        event.pause_s,
                        heard_s=event.heard_s,
                    )
            case _Loss():
                await self._lose(event)
            case _Repeat():
                self._repeat(event)
            case _Delay():
                link = self._instance(event.origin).link
                link.delay_s = event.delay_s
                await asyncio.sleep(event.for_s)
                link.delay_s = 0.0
            case _LostStops():
                self._simulated(event.endpoint).fault.lost_stops = event.count
            case _LateStarts():
                fault = self._simulated(event.endpoint).fault
                fault.late_s = event.late_s
                await asyncio.sleep(event.for_s)
                fault.late_s = 0.0
            case _Restart():
                self._simulated(event.endpoint).crash(down_s=event.down_s)

    def _arrive(self, arrival):
        instance = self._instance(arrival.origin)
        if instance.lost:
            return
        job = self.site.job(
            f"{next(self._keys):016x}",
            count=arrival.tasks,
            run_s=arrival.run_s,
            cores=arrival.cores,
            deadline_s=_DEADLINE_S,
            stretch=4.0,
        )
        accepted_at = self.site.clock.monotonic()
        self._offer(instance, dataclasses.replace(job, accepted_at=accepted_at))

    async def _cut(self, cut):
        if cut.leader >= len(self._leaders):
            return
        paths = self._leaders[cut.leader].paths
        for name in self._names(cut.endpoints):
            paths.cut(name, reset=cut.reset)
        await asyncio.sleep(cut.for_s)
        for name in self._names(cut.endpoints):
            paths.join(name)

    async def _move(self, instance, number, pause_s, *, heard_s=0.0):
        former = instance.leader
        instance.leave(heard_s=heard_s)
        ended = instance.ended
        await asyncio.sleep(pause_s)
        while not (
            others := [o for o in self._open_leaders() if o is not former]
        ):
            if instance.lost or self._is_over():
                return
            await asyncio.sleep(_LOOK_PERIOD_S)
        if instance.lost or instance.ended != ended:
            return
        instance.leader = others[number % len(others)]
        instance.link = _jobs.HeartbeatOrigin(
            instance.name, phase_s=instance.phase_s
        )
        for job in list(instance.jobs.values()):
            self._offer(instance, job[0])

    def _is_over(self):
        now = self.site.clock.monotonic()
        return now > max(self._last_deadline_at, self._faults_end_at)

    async def _lose(self, loss):
        instance = self._instance(loss.origin)
        if instance.lost:
            return
        instance.lose()
        jobs = [job for job, _ in instance.jobs.values()]
        instance.jobs.clear()
        await asyncio.sleep(loss.return_s)
        live = [one for one in self._instances if not one.lost]
        if not live:
            return
        for job in jobs:
            self._offer_again(live[loss.next_origin % len(live)], job)

    def _repeat(self, repeat):
        instance = self._instance(repeat.origin)
        other = self._instance(repeat.next_origin)
        now = self.site.clock.monotonic()
        if (
            instance is other
            or instance.lost
            or other.lost
            or other.leader is None
        ):
            return
        for job, _ in list(instance.jobs.values()):
            if now - job.accepted_at >= _RETURN_S:
                self._offer_again(other, job)

    def _offer_again(self, instance, job):
        """Offers a later attempt of a caller."""
        now = self.site.clock.monotonic()
        again = dataclasses.replace(
            job,
            accepted_at=now,
            objective_at=now + 4.0 * job.estimate_s,
            expires_at=now + 12.0 * job.estimate_s,
            deadline_at=now + _DEADLINE_S,
            unstarted=(),
            succeeded=(),
        )
        self._offer(instance, again)

    def _offer(self, instance, job):
        """Offers a job to the leader of its origin, or keeps it for the next."""
        self._last_deadline_at = max(self._last_deadline_at, job.deadline_at)
        instance.offers += 1
        job = dataclasses.replace(job, offer=instance.offers)
        _, moved = instance.jobs.get(job.key, (job, False))
        if instance.leader is None:
            instance.jobs[job.key] = job, moved
            return
        # Until the leader answers, it may have started any task.
        kept = dataclasses.replace(job, unstarted=())
        instance.jobs[job.key] = kept, True
        self.spawn(
            self._submit(
                instance, job, kept, instance.leader, instance.link, moved=moved
            )
        )

    async def _submit(self, instance, job, kept, leader, link, *, moved):
        late_s = job.deadline_at + _OVERDUE_S - self.site.clock.monotonic()
        self.site.links.pass_on(instance.name, leader.name, job.key)
        try:
            async with asyncio.timeout(max(0.001, late_s)):
                outcome = await leader.submit(job, link, moved=moved)
        except TimeoutError:
            self.overdue.append(job.key)
            outcome = None
        if leader.killed:
            outcome = None
        match outcome:
            case outcomes.Unknown(
                cause=outcomes.Cause.STEWARD_LOST,
                unstarted=unstarted,
                succeeded=succeeded,
            ) if instance.jobs.get(job.key, (None,))[0] is kept:
                known = set(job.unstarted if moved else job.indices)
                told = dataclasses.replace(
                    kept,
                    unstarted=tuple(i for i in unstarted if i in known),
                    succeeded=tuple({*kept.succeeded, *succeeded}),
                )
                instance.jobs[job.key] = told, True
                self.told += bool(told.unstarted)
            case _:
                pass
        # A closing leader answers as well; the next one gets the job.
        if (
            instance.link is link
            and instance.leader is leader
            and not leader.closed
        ):
            instance.jobs.pop(job.key, None)


def _seconds(low, high):
    return st.integers(round(low * 100), round(high * 100)).map(
        lambda hundredths: hundredths / 100
    )


def _times():
    return _seconds(0.1, _FAULTS_S)


# Time for which a leader hears an origin that has left it.
_HEARD_S = st.just(0.0) | st.just(0.0) | _seconds(0.1, 3.0)


@st.composite
def _incidents(draw):
    """Draws a cut, and what follows from it on its other side."""
    at = draw(_seconds(0.5, 2.5))
    names = draw(_ENDPOINTS)
    claim_s = draw(_seconds(0.25, 1.4) | _seconds(0.5, 1.0))

    def later(low, high):
        return round(max(0.1, at + draw(_seconds(low, high))), 2)

    def claimed(low, high):
        return round(max(0.1, at + claim_s + draw(_seconds(low, high))), 2)

    events = [
        _Cut(
            at,
            leader=draw(st.sampled_from([0, 0, 0, 1])),
            endpoints=names,
            reset=draw(st.booleans()),
            for_s=draw(st.just(20.0) | _seconds(0.2, 2.5)),
        ),
        _Claim(
            round(at + claim_s, 2),
            endpoints=draw(st.just(names) | st.just(names) | _ENDPOINTS),
        ),
    ]
    for origin in draw(st.frozensets(_ORIGINS, min_size=1, max_size=2)):
        move = _Move(
            claimed(-0.4, 0.3),
            origin=origin,
            leader=draw(_LEADERS),
            pause_s=draw(_seconds(0.0, 0.3)),
            heard_s=draw(_HEARD_S),
        )
        events.append(move)
        if draw(st.sampled_from([False, False, True])):
            back_at = move.at + move.pause_s + draw(_seconds(0.05, 0.8))
            events.append(dataclasses.replace(move, at=round(back_at, 2)))
        if draw(st.sampled_from([True, True, False])):
            # Callers of an origin that has not moved come again at this one.
            events.append(
                _Repeat(
                    max(1.5, round(move.at + draw(_seconds(0.3, 1.5)), 2)),
                    origin=draw(_ORIGINS),
                    next_origin=origin,
                )
            )
    if draw(st.sampled_from([True, True, False])):
        events.append(
            _LostStops(
                later(0.0, 1.4),
                endpoint=draw(st.sampled_from(sorted(names))),
                count=draw(st.sampled_from([2, 5, 10, 30])),
            )
        )
    if draw(st.sampled_from([False, False, True])):
        events.append(
            _Loss(
                later(-0.6, 0.6),
                origin=draw(_ORIGINS),
                return_s=draw(_seconds(1.3, 1.4)),
                next_origin=draw(_ORIGINS),
            )
        )
    return events


def _schedule(endpoints, phases, incidents, *others):
    events = [event for incident in incidents for event in incident]
    for more in others:
        events += more
    return _Schedule(endpoints, phases, events)


def _arrivals(times, run_times):
    return st.builds(
        _Arrival,
        at=times,
        origin=_ORIGINS,
        tasks=st.integers(1, 3),
        run_s=run_times,
        cores=st.sampled_from([2.0, 4.0, 8.0]),
    )


def _schedules():
    late = st.builds(
        _LateStarts,
        at=_times(),
        endpoint=st.integers(0, 3),
        late_s=_seconds(0.05, 1.2) | _seconds(2.0, 12.0),
        for_s=_seconds(0.05, 0.8),
    )
    restarts = st.builds(
        _Restart,
        at=_times(),
        endpoint=st.integers(0, 3),
        down_s=_seconds(0.0, 0.5),
    )
    return st.builds(
        _schedule,
        st.integers(2, 4),
        st.lists(_seconds(0.0, 0.24), min_size=2, max_size=4),
        st.lists(_incidents(), min_size=1, max_size=2),
        st.lists(
            _arrivals(_seconds(0.05, 0.4), _seconds(2.0, 4.0))
            | _arrivals(_seconds(0.05, 2.5), _seconds(0.3, 3.0)),
            min_size=5,
            max_size=8,
        ),
        st.lists(
            st.builds(
                _Move,
                at=_times(),
                origin=_ORIGINS,
                leader=_LEADERS,
                pause_s=_seconds(0.0, 0.6),
                heard_s=_HEARD_S,
            ),
            max_size=1,
        ),
        st.lists(
            st.builds(
                _Loss,
                at=_times(),
                origin=_ORIGINS,
                return_s=_seconds(1.3, 2.0),
                next_origin=_ORIGINS,
            ),
            max_size=1,
        ),
        st.lists(
            st.builds(
                _Close,
                at=_times(),
                leader=_LEADERS,
                pause_s=_seconds(0.0, 0.75),
            ),
            max_size=1,
        ),
        st.lists(
            st.builds(
                _Repeat,
                at=_seconds(1.4, _FAULTS_S),
                origin=_ORIGINS,
                next_origin=_ORIGINS,
            ),
            max_size=2,
        ),
        st.lists(
            st.builds(
                _Delay,
                at=_times(),
                origin=_ORIGINS,
                delay_s=_seconds(0.1, 0.7),
                for_s=_seconds(0.2, 2.0),
            ),
            max_size=1,
        ),
        st.lists(late, max_size=2) | st.lists(restarts, max_size=2),
    )


@st.composite
def _restarts_beside_late_starts(draw):
    """Draws starts that an endpoint carries out late, and its restart."""
    late = _LateStarts(
        draw(_seconds(0.0, 3.0)),
        endpoint=draw(st.integers(0, 3)),
        late_s=draw(_seconds(0.2, 3.0)),
        for_s=draw(_seconds(0.1, 1.0)),
    )
    restart_at = late.at + draw(_seconds(0.1, 2.0) | _seconds(0.3, 4.0))
    restart = _Restart(
        round(restart_at, 2),
        endpoint=late.endpoint,
        down_s=draw(_seconds(0.0, 0.5)),
    )
    return [late, restart]


def _late_start_schedules():
    """Returns schedules in which leaders end or are killed after late starts."""
    ends = (
        st.builds(
            kind,
            at=_times(),
            leader=_LEADERS,
            pause_s=_seconds(0.0, 0.75),
        )
        for kind in (_Close, _Kill)
    )
    return st.builds(
        _schedule,
        st.integers(2, 4),
        st.lists(_seconds(0.0, 0.24), min_size=2, max_size=4),
        st.lists(_restarts_beside_late_starts(), min_size=1, max_size=3),
        st.lists(
            _arrivals(_seconds(0.05, 3.0), _seconds(0.3, 4.0)),
            min_size=3,
            max_size=8,
        ),
        st.lists(st.one_of(*ends), min_size=1, max_size=3),
        st.lists(_kills_beside_late_starts(), max_size=2).map(
            lambda incidents: [
                event for events in incidents for event in events
            ]
        ),
    )


@st.composite
def _kills_beside_late_starts(draw):
    """Draws a late start, the kill of its leader, and the endpoint's restart.

    The endpoint listens again shortly before the start is carried out.
    """
    late = _LateStarts(
        draw(_seconds(0.0, 3.0)),
        endpoint=draw(st.integers(0, 3)),
        late_s=draw(_seconds(0.8, 3.0)),
        for_s=draw(_seconds(0.1, 0.4)),
    )
    arrival = draw(_arrivals(st.just(late.at), _seconds(2.0, 4.0)))
    killed_s = draw(_seconds(0.05, 0.4))
    kill = _Kill(
        round(late.at + killed_s, 2), draw(_LEADERS), draw(_seconds(0.0, 0.3))
    )
    down_s = draw(_seconds(0.1, 0.5))
    restart = _Restart(
        round(late.at + late.late_s - down_s, 2),
        endpoint=late.endpoint,
        down_s=down_s,
    )
    return [late, arrival, kill, restart]


def _one_leader_schedules():
    """Returns schedules in which no other leader gets a job."""
    return st.builds(
        _schedule,
        st.integers(2, 4),
        st.lists(_seconds(0.0, 0.24), min_size=2, max_size=4),
        st.lists(_restarts_beside_late_starts(), min_size=1, max_size=3),
        st.lists(
            _arrivals(_seconds(0.05, 3.0), _seconds(0.3, 4.0)),
            min_size=3,
            max_size=8,
        ),
        st.lists(
            st.builds(
                _Cut,
                at=_times(),
                leader=st.just(0),
                endpoints=_ENDPOINTS,
                reset=st.booleans(),
                for_s=_seconds(0.1, 2.5),
            ),
            max_size=2,
        ),
        st.lists(
            st.builds(
                _Repeat,
                at=_seconds(1.4, _FAULTS_S),
                origin=_ORIGINS,
                next_origin=_ORIGINS,
            )
            | st.builds(
                _Loss,
                at=_times(),
                origin=_ORIGINS,
                return_s=_seconds(1.3, 2.0),
                next_origin=_ORIGINS,
            )
            | st.builds(
                _LostStops,
                at=_times(),
                endpoint=st.integers(0, 3),
                count=st.sampled_from([2, 5, 10, 30]),
            ),
            max_size=2,
        ),
    )


# The former leader starts the task elsewhere, as the lease that it has granted ends
# before it misses the origin. The next leader has renewed the run.
_MOVED_RUN = _Schedule(
    endpoints=2,
    phases=[0.15],
    events=[
        _Arrival(0.05, origin=0, tasks=1, run_s=2.0, cores=2.0),
        _Cut(0.5, leader=0, endpoints=frozenset({0}), reset=False, for_s=20.0),
        _Claim(0.75, endpoints=frozenset({0})),
        _Move(0.75, origin=0, leader=0, pause_s=0.0),
    ],
)
# The same with a path that is reset and restored.
_RESTORED_PATH = _Schedule(
    endpoints=4,
    phases=[0.18, 0.14, 0.05],
    events=[
        _Arrival(0.33, origin=0, tasks=1, run_s=2.15, cores=4.0),
        _Cut(1.44, leader=0, endpoints=frozenset({0}), reset=True, for_s=1.39),
        _Move(2.04, origin=0, leader=1, pause_s=0.14),
        _Claim(2.13, endpoints=frozenset({0})),
    ],
)

# The later attempt waits for room at its leader, without a run, as the origin of the
# earlier one offers its job to another leader again.
_EARLIER_COMES_BACK = _Schedule(
    endpoints=4,
    phases=[0.11, 0.08, 0.11, 0.16],
    events=[
        _Arrival(0.62, origin=2, tasks=3, run_s=2.43, cores=8.0),
        _Cut(2.0, leader=0, endpoints=frozenset({1}), reset=False, for_s=20.0),
        _Repeat(2.22, origin=2, next_origin=1),
        _Move(2.25, origin=1, leader=0, pause_s=0.07),
        _Claim(2.73, endpoints=frozenset({1})),
        _Move(2.75, origin=2, leader=0, pause_s=0.24),
        _Move(3.54, origin=2, leader=0, pause_s=0.24),
    ],
)
# The later attempt joins the earlier one at the leader that its origin has left.
_JOINS_AFTER_MOVE = _Schedule(
    endpoints=4,
    phases=[0.0, 0.03, 0.17],
    events=[
        _Arrival(0.05, origin=0, tasks=3, run_s=3.17, cores=4.0),
        _Arrival(0.1, origin=0, tasks=3, run_s=3.68, cores=2.0),
        _Arrival(0.29, origin=1, tasks=2, run_s=3.67, cores=8.0),
        _Cut(
            1.9, leader=0, endpoints=frozenset({1, 2}), reset=True, for_s=1.55
        ),
        _Move(1.92, origin=0, leader=1, pause_s=0.03),
        _Claim(2.19, endpoints=frozenset({1, 2})),
        _Repeat(2.28, origin=0, next_origin=1),
    ],
)
# The same after the origin has come back to the other leader.
_JOINS_AFTER_RETURN = _Schedule(
    endpoints=4,
    phases=[0.12, 0.04, 0.16],
    events=[
        _Arrival(0.3, origin=2, tasks=1, run_s=2.61, cores=8.0),
        _Arrival(1.47, origin=0, tasks=1, run_s=1.29, cores=2.0),
        _Cut(
            1.91,
            leader=0,
            endpoints=frozenset({0, 1, 3}),
            reset=True,
            for_s=20.0,
        ),
        _Claim(2.9, endpoints=frozenset({0, 3})),
        _Move(2.94, origin=2, leader=0, pause_s=0.09),
        _Move(2.96, origin=0, leader=2, pause_s=0.25),
        _Move(3.42, origin=2, leader=0, pause_s=0.09),
        _Repeat(3.7, origin=2, next_origin=0),
    ],
)

# The later attempt joins the earlier one, and its origin then moves to the next
# leader, while that of the earlier attempt stays.
_JOINED_ATTEMPT_MOVES = _Schedule(
    endpoints=2,
    phases=[0.09, 0.05, 0.18],
    events=[
        _Arrival(0.06, origin=3, tasks=2, run_s=3.4, cores=8.0),
        _Arrival(0.11, origin=1, tasks=2, run_s=2.53, cores=2.0),
        _Cut(1.24, leader=0, endpoints=frozenset({1}), reset=False, for_s=20.0),
        _Repeat(1.59, origin=1, next_origin=2),
        _Claim(2.05, endpoints=frozenset({1})),
        _Move(2.16, origin=2, leader=2, pause_s=0.13),
    ],
)

# The same as the next leader has just claimed; the caller comes there once more.
_REPEATED_AT_NEXT_LEADER = _Schedule(
    endpoints=4,
    phases=[0.14, 0.18, 0.15, 0.08],
    events=[
        _Arrival(0.05, origin=1, tasks=1, run_s=2.0, cores=2.0),
        _Arrival(0.05, origin=0, tasks=2, run_s=2.0, cores=2.0),
        _Restart(0.2, endpoint=0, down_s=0.03),
        _Repeat(1.4, origin=0, next_origin=2),
        _Claim(1.62, endpoints=frozenset({0, 2, 3})),
        _Move(1.62, origin=3, leader=0, pause_s=0.0),
        _Repeat(1.92, origin=0, next_origin=3),
    ],
)


# A start that was given up comes as the first order of the next incarnation, beside
# the next run of its task.
_LATE_AFTER_RESTART = _Schedule(
    endpoints=4,
    phases=[0.2, 0.19, 0.23, 0.22],
    events=[
        _Arrival(0.12, origin=2, tasks=3, run_s=3.44, cores=4.0),
        _Arrival(0.29, origin=1, tasks=3, run_s=0.31, cores=8.0),
        _Arrival(0.38, origin=3, tasks=2, run_s=2.18, cores=4.0),
        _LateStarts(1.94, endpoint=2, late_s=2.05, for_s=0.43),
        _Arrival(1.96, origin=0, tasks=1, run_s=1.94, cores=8.0),
        _Restart(3.93, endpoint=2, down_s=0.16),
    ],
)


# A leader is killed 0.08 s after a start, before it gives up the answer.
_KILLED_WITH_A_START_ON_ITS_WAY = _Schedule(
    endpoints=4,
    phases=[0.23, 0.23, 0.04, 0.01],
    events=[
        _Arrival(0.13, origin=0, tasks=3, run_s=3.18, cores=4.0),
        _LateStarts(2.84, endpoint=1, late_s=2.68, for_s=0.36),
        _Arrival(2.84, origin=1, tasks=3, run_s=3.15, cores=2.0),
        _Kill(2.92, leader=0, pause_s=0.16),
        _Restart(5.29, endpoint=1, down_s=0.23),
    ],
)


# The origin of the latest attempt is silent, that of an earlier one lives. A leader that
# places a task which may not start does so again and again, at one moment.
_LATEST_ORIGIN_IS_SILENT = _Schedule(
    endpoints=3,
    phases=[0.11, 0.09],
    events=[
        _Arrival(0.23, origin=2, tasks=2, run_s=3.81, cores=2.0),
        _Arrival(0.23, origin=2, tasks=2, run_s=0.3, cores=2.0),
        _Arrival(0.25, origin=1, tasks=3, run_s=1.72, cores=8.0),
        _Arrival(0.25, origin=1, tasks=3, run_s=2.77, cores=2.0),
        _Arrival(0.48, origin=1, tasks=3, run_s=0.84, cores=4.0),
        _Arrival(0.69, origin=0, tasks=1, run_s=2.23, cores=8.0),
        _Cut(
            0.85,
            leader=0,
            endpoints=frozenset({0, 2, 3}),
            reset=False,
            for_s=1.33,
        ),
        _Arrival(1.37, origin=0, tasks=2, run_s=0.3, cores=8.0),
        _Claim(1.85, endpoints=frozenset({3})),
        _Move(1.88, origin=3, leader=2, pause_s=0.18),
        _Move(2.03, origin=2, leader=2, pause_s=0.21),
        _Repeat(2.93, origin=0, next_origin=3),
        _Move(3.03, origin=1, leader=2, pause_s=0.33),
    ],
)


# An origin moves a job that is 0.6 s old, and its former leader hears it for 0.26 s more.
_HEARD_AFTER_MOVE = _Schedule(
    endpoints=3,
    phases=[0.0, 0.15, 0.23, 0.17],
    events=[
        _Arrival(0.09, origin=1, tasks=3, run_s=3.63, cores=2.0),
        _Delay(1.65, origin=1, delay_s=0.47, for_s=1.92),
        _Arrival(1.88, origin=0, tasks=2, run_s=1.36, cores=2.0),
        _Cut(1.95, leader=0, endpoints=frozenset({3}), reset=True, for_s=1.91),
        _Claim(2.49, endpoints=frozenset({0, 2, 3})),
        _Move(2.5, origin=0, leader=0, pause_s=0.0, heard_s=0.26),
    ],
)


class LeaderSchedulesTest(unittest.TestCase):

    @_properties.examples(100)
    @hypothesis.given(_one_leader_schedules())
    @hypothesis.example(_LATE_AFTER_RESTART)
    def test_tasks_of_late_starts_run_once_at_a_time(self, schedule):
        """Guards against a run beside a start that comes after a restart.

        Also against a job that waits for such a start beyond its deadline.
        """
        play = _Play(schedule)
        self.assertEqual(_virtual.run(play.run()), [])
        self.assertEqual(play.overdue, [])

    @_properties.examples(50)
    @hypothesis.given(_late_start_schedules())
    @hypothesis.example(_KILLED_WITH_A_START_ON_ITS_WAY)
    def test_tasks_of_late_starts_at_the_next_leader_run_once_at_a_time(
        self, schedule
    ):
        """Guards against a run beside a start that the former leader has sent.

        It has told of the start, or was killed before.
        """
        self.assertEqual(_virtual.run(_Play(schedule).run()), [])

    def test_joined_attempt_that_moves_runs_once_at_a_time(self):
        """Guards against two leaders that run one attempt for two origins."""
        play = _Play(_JOINED_ATTEMPT_MOVES)
        self.assertEqual(_virtual.run(play.run()), [])

    @_properties.examples(100)
    @hypothesis.given(_schedules())
    @hypothesis.example(_MOVED_RUN)
    @hypothesis.example(_RESTORED_PATH)
    @hypothesis.example(_EARLIER_COMES_BACK)
    @hypothesis.example(_JOINS_AFTER_MOVE)
    @hypothesis.example(_JOINS_AFTER_RETURN)
    @hypothesis.example(_REPEATED_AT_NEXT_LEADER)
    @hypothesis.example(_LATEST_ORIGIN_IS_SILENT)
    @hypothesis.example(_HEARD_AFTER_MOVE)
    def test_tasks_of_several_leaders_run_once_at_a_time(self, schedule):
        """Guards against leaders that rely on the end of the same lease.

        Also against a leader that busy-waits, which ends no play in virtual time.
        """
        self.assertEqual(_virtual.run(_Play(schedule).run()), [])
