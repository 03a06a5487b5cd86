"""Jobs that are divided among the leaders of several data centres, in virtual time.

Instances are origins and leaders at once, as in a fleet in which each data centre has its
own leader. They are killed, resign, claim further data centres, and are cut off from
each other, while callers lose their connections and come again at another instance, which
divides the job differently. Endpoints carry out starts late and start again.

Not generated, because two runs are possible then (docs/guarantees.md): a caller that
comes again unnoticed while leaders do not reach each other.
"""

import asyncio
import dataclasses
import functools
import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad import errors
from sesameroad.jobs import attempts
from sesameroad.jobs import coordinator
from sesameroad.jobs import partitioning
from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.model import attempts as notices
from sesameroad.model import outcomes
from sesameroad.node import caller_jobs
from sesameroad.node import routes
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _properties
from tests import _virtual
from tests import test_leader_schedules as schedules

_DATA_CENTRES = ("dc1", "dc2")
_INSTANCES = 5
_ENDPOINTS = 4
_CORES = 16.0
# Time until an origin learns that a leader was killed: its stream is reset, or silent.
_SILENCE_S = 0.75
_DELAY_S = 0.001
_RETURN_S = 1.3
_DEADLINE_S = 9.0
# Faults begin, and jobs arrive, within this time.
_FAULTS_S = 4.0
_TOKEN_STEP = 2**18


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """A job that a caller sends to an instance."""

    at: float
    instance: int
    tasks: int
    run_s: float
    cores: float


@dataclasses.dataclass(frozen=True)
class _Break:
    """Callers of an instance lose their connections, and come again elsewhere.

    The instance notices it after a time, or never.
    """

    at: float
    instance: int
    next_instance: int
    return_s: float
    noticed_s: float | None


@dataclasses.dataclass(frozen=True)
class _Kill:
    """An instance is killed; callers come again, another one claims."""

    at: float
    instance: int
    next_instance: int
    reset: bool
    claimant: int
    claim_s: float


@dataclasses.dataclass(frozen=True)
class _Resign:
    """An instance resigns a data centre, which another one claims."""

    at: float
    data_centre: int
    claimant: int
    claim_s: float


@dataclasses.dataclass(frozen=True)
class _CutOrders:
    """The leader of a data centre loses its paths to endpoints."""

    at: float
    data_centre: int
    endpoints: frozenset
    for_s: float


@dataclasses.dataclass(frozen=True)
class _Schedule:
    events: list
    # Time of the heartbeats of each instance within their period.
    phases: list


class _Route:
    """Access of an instance to a leader on another one."""

    def __init__(self, play, source, leader):
        self._play = play
        self._source = source
        self._leader = leader

    async def submit(self, job, *, moved, lent):
        await asyncio.sleep(_DELAY_S)
        link = self._source.link_to(self._leader)
        self._play.site.links.pass_on(
            self._source.name, self._leader.name, job.key
        )
        submit = self._leader.submit(job, link, moved=moved, lent=lent)
        answered = asyncio.ensure_future(submit)
        broken = asyncio.ensure_future(self._source.wait_lost(self._leader))
        try:
            await asyncio.wait(
                (answered, broken), return_when=asyncio.FIRST_COMPLETED
            )
            if broken.done():
                raise errors.PeerError("lost", step="offer job")
            await asyncio.sleep(_DELAY_S)
            return answered.result()
        finally:
            broken.cancel()

    def cancel(self, name):
        if not (self._leader.killed or self._source.killed):
            asyncio.get_running_loop().call_later(
                _DELAY_S, self._leader.cancel, name, self._source.name
            )


class _Instance:
    """One process: an origin, and at times a leader."""

    def __init__(self, play, number, phase_s):
        self.name = f"i{number}"
        self.data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        self.killed = False
        self.phase_s = phase_s
        self.orders = _jobs.CutOrders(play.site.fleet)
        self.led = set()
        # Callers' jobs by key, each with the task that runs it.
        self.jobs = {}
        self._play = play
        self._scheduler = None
        self._task = None
        self._links = {}
        self._lost = {}
        self._origin = routes.LocalOrigin(self.name)
        self._coordinator = coordinator.JobCoordinator(
            data_centre=self.data_centre,
            leaders=self,
            clock=play.site.clock,
            confined_to=self._confined_to,
            left=self._tell_left,
        )
        self.callers = caller_jobs.CallerJobs(
            coordinator=self._coordinator,
            ended=lambda *_: None,
            clock=play.site.clock,
        )
        # Jobs of callers here that have lost their leader, as `node.leaders`.
        self._left = {}
        play.site.links.remove(self.name)
        play.site.links.held_up(self.name)

    # The leaders, as the coordinator sees them.

    @property
    def unserved_s(self):
        return 0.0

    def offers(self):
        return [
            partitioning.Offer(name, leader.free_cores, leader.wait_s)
            for name in _DATA_CENTRES
            if (leader := self._visible(name)) is not None
        ]

    def route(self, data_centre):
        leader = self._visible(data_centre)
        if leader is None:
            return None
        if leader is self:
            return routes.LocalRoute(self._scheduler, self._origin)
        return _Route(self._play, self, leader)

    def reserve(self, data_centre, job):
        pass

    def mark_full(self, data_centre):
        pass

    def _visible(self, data_centre):
        leader = self._play.leader(data_centre)
        return None if leader in self._lost else leader

    def _confined_to(self, job):
        names = {
            start.endpoint
            for start in self._play.site.links.held_up(self.name).of(job.key)
        }
        found = {
            e.data_centre for e in self._play.site.endpoints if e.id in names
        }
        return tuple(sorted(found))

    # Streams.

    def link_to(self, leader):
        if leader not in self._links:
            self._links[leader] = _jobs.HeartbeatOrigin(
                self.name, phase_s=self.phase_s
            )
        return self._links[leader]

    async def wait_lost(self, leader):
        while leader not in self._lost:  # noqa: ASYNC110
            await asyncio.sleep(_DELAY_S)

    def lose(self, peer):
        """Ends the stream to a peer for good."""
        self._lost[peer] = True

    def end_links(self):
        for link in self._links.values():
            link.lose()

    # Notices on attempts, as `node.leaders` sends and answers them.

    def _tell_left(self, job):
        links = self._play.site.links
        notice = self._left_notice(job)
        for leader in links.sessions(self.name).values():
            links.send(self.name, leader, notice)
        if self._scheduler is not None:
            self._scheduler.receive_notice(self.name, notice)

    def tell_moving(self, leader):
        if not self.killed:
            for job in self._coordinator.between_leaders():
                self._play.site.links.send(
                    self.name, leader.name, self._left_notice(job)
                )

    def _left_notice(self, job):
        now = self._play.site.clock.monotonic()
        self._left[job.key] = now + attempts.RESIGNED_S
        age_s = now - job.accepted_at
        return notices.Running(
            job.key, {self.name: 0}, age_s, attempts.RESIGNED_S, job.indices
        )

    def receive_notice(self, leader, notice):
        left_until = self._left.get(notice.key, 0.0)
        left_s = max(0.0, left_until - self._play.site.clock.monotonic())
        self._scheduler.receive_notice(leader, notice, left_s=left_s)

    def tell_attempts(self):
        self._scheduler.tell_attempts()

    def apply_held_up(self, keys):
        self._scheduler.apply_held_up(keys)

    # The leader here.

    @property
    def free_cores(self):
        return self._scheduler.free_cores

    @property
    def wait_s(self):
        return self._scheduler.wait_s

    async def submit(self, job, link, *, moved, lent):
        if self._scheduler is None:
            return outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "no leader")
        return await self._scheduler.submit(job, link, moved=moved, lent=lent)

    def cancel(self, name, origin):
        if self._scheduler is not None:
            self._scheduler.cancel(name, origin)

    def claim(self, data_centre):
        self.led.add(data_centre)
        links = self._play.site.links
        token = self._play.next_token()
        if self._scheduler is None:
            self._scheduler = scheduler_module.Scheduler(
                token=token,
                orders_=self.orders,
                lease_s=1.0,
                clock=self._play.site.clock,
                on_fenced=self._on_fenced,
                metrics=job_metrics.JobMetrics(),
                peers=links.open(self.name),
                attempt_notice_s=0.5,
                cancel_reports=_jobs.PeerReports(links, self.name),
                held_up_notices=links.held_up(self.name),
                pending_starts=links.pending(self.name),
            )
            links.add(self.name, self)
            for other in self._play.instances:
                other.tell_moving(self)
            self._task = asyncio.create_task(self._scheduler.run())
        else:
            self._scheduler.raise_token(token)
        self._update()

    def resign(self, data_centre):
        self.led.discard(data_centre)
        if self.led:
            self._update()
            return
        if self._scheduler is None:
            return
        if not self.killed:
            self._play.site.links.remove(self.name)
        self._task.cancel()
        self._play.spawn(self._end(self._task))
        self._scheduler = None

    async def _end(self, task):
        await asyncio.gather(task, return_exceptions=True)

    def _update(self):
        self._scheduler.update(
            e for e in self._play.site.endpoints if e.data_centre in self.led
        )

    def _on_fenced(self, data_centre):
        if self.killed or data_centre not in self.led:
            return
        if self._scheduler.is_established(data_centre):
            self.resign(data_centre)
        else:
            self._scheduler.raise_token(self._play.next_token())


class _Play:
    """Plays a schedule."""

    def __init__(self, schedule):
        self.site = _jobs.Site(count=0)
        for number in range(_ENDPOINTS):
            self._add_endpoint(number)
        self._schedule = schedule
        self._tasks = set()
        self._token = 0
        self._leaders = {}
        self._keys = 0
        # The attempt of each caller that it waits for, by key.
        self._awaited = {}
        self.instances = []

    async def run(self):
        self.instances = [
            _Instance(self, number, phase_s)
            for number, phase_s in enumerate(self._schedule.phases)
        ]
        for number, name in enumerate(_DATA_CENTRES):
            self._claim(name, self.instances[number])
        loop = asyncio.get_running_loop()
        for event in sorted(self._schedule.events, key=lambda e: e.at):
            await asyncio.sleep(max(0.0, event.at - loop.time()))
            self.spawn(self._apply(event))
        while self._tasks:
            done, self._tasks = self._tasks, set()
            for result in await asyncio.gather(*done, return_exceptions=True):
                # Callers that leave cancel their jobs.
                if isinstance(result, Exception):
                    raise result
        for instance in self.instances:
            for name in tuple(instance.led):
                instance.resign(name)
        await asyncio.gather(*self._tasks)
        return self.site.history.overlapping

    def spawn(self, coroutine):
        self._tasks.add(asyncio.create_task(coroutine))

    def next_token(self):
        self._token += _TOKEN_STEP
        return self._token

    def leader(self, data_centre):
        """Returns the leader of a data centre, None if it has none."""
        leader = self._leaders.get(data_centre)
        if leader is None or data_centre not in leader.led:
            return None
        return leader

    def _add_endpoint(self, number):
        endpoint = self.site.add(f"e{number}", _CORES)
        data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        self.site.endpoints[-1] = dataclasses.replace(
            endpoint, data_centre=data_centre
        )

    def _claim(self, data_centre, instance):
        self._leaders[data_centre] = instance
        instance.claim(data_centre)

    async def _claim_later(self, data_centre, number, claim_s):
        """Has an instance claim a data centre, one that is there if possible."""
        await asyncio.sleep(claim_s)
        live = [i for i in self.instances if not i.killed]
        own = [i for i in live if i.data_centre == data_centre] or live
        if own and self.leader(data_centre) is None:
            self._claim(data_centre, own[number % len(own)])

    def _instance(self, number):
        return self.instances[number % len(self.instances)]

    async def _apply(self, event):
        match event:
            case _Arrival():
                self._arrive(event)
            case _Break():
                await self._break(event)
            case _Kill():
                await self._kill(event)
            case _Resign():
                name = _DATA_CENTRES[event.data_centre]
                leader = self.leader(name)
                if leader is not None:
                    leader.resign(name)
                    await self._claim_later(name, event.claimant, event.claim_s)
            case _CutOrders():
                leader = self.leader(_DATA_CENTRES[event.data_centre])
                if leader is not None:
                    names = {f"e{number}" for number in event.endpoints}
                    leader.orders.cut |= names
                    await asyncio.sleep(event.for_s)
                    if not leader.killed:
                        leader.orders.cut -= names
            case schedules._LateStarts():
                fault = self.site.fleet.endpoints[f"e{event.endpoint}"].fault
                fault.late_s = event.late_s
                await asyncio.sleep(event.for_s)
                fault.late_s = 0.0
            case schedules._Restart():
                endpoint = self.site.fleet.endpoints[f"e{event.endpoint}"]
                endpoint.crash(down_s=event.down_s)

    def _arrive(self, arrival):
        self._keys += 1
        job = self.site.job(
            f"{self._keys:016x}",
            count=arrival.tasks,
            run_s=arrival.run_s,
            cores=arrival.cores,
            deadline_s=_DEADLINE_S,
            stretch=4.0,
        )
        self._send(self._instance(arrival.instance), job)

    def _send(self, instance, job):
        """Sends a job to an instance, in the name of its caller."""
        if instance.killed:
            return
        now = self.site.clock.monotonic()
        job = dataclasses.replace(
            job,
            accepted_at=now,
            objective_at=now + 4.0 * job.estimate_s,
            expires_at=now + 12.0 * job.estimate_s,
            deadline_at=now + _DEADLINE_S,
        )
        running = asyncio.create_task(instance.callers.run(job))
        instance.jobs[job.key] = job, running
        self._awaited[job.key] = running
        self._tasks.add(running)
        running.add_done_callback(
            functools.partial(self._forget, instance, job.key)
        )

    def _forget(self, instance, key, running):
        if instance.jobs.get(key, (None, None))[1] is running:
            del instance.jobs[key]

    def _end_connections(self, instance):
        """Ends the connections of the callers that wait at an instance."""
        ended = [
            (job, running)
            for job, running in instance.jobs.values()
            if self._awaited.get(job.key) is running
        ]
        for job, _ in ended:
            del self._awaited[job.key]
        return ended

    async def _break(self, event):
        instance = self._instance(event.instance)
        other = self._instance(event.next_instance)
        if instance is other or instance.killed:
            return
        broken = self._end_connections(instance)
        if event.noticed_s is not None:
            self.spawn(self._leave(broken, event.noticed_s))
        await asyncio.sleep(event.return_s)
        for job, _ in broken:
            self._send(other, job)

    async def _leave(self, jobs, after_s):
        await asyncio.sleep(after_s)
        for _, running in jobs:
            running.cancel()

    async def _kill(self, event):
        instance = self._instance(event.instance)
        live = [i for i in self.instances if not i.killed]
        if instance.killed or len(live) <= 2:
            return
        instance.killed = True
        instance.orders.cut.update(e.id for e in self.site.endpoints)
        jobs = self._end_connections(instance)
        self.site.links.cut.add(instance.name)
        self.site.links.lose(instance.name)
        instance.end_links()
        for _, running in list(instance.jobs.values()):
            running.cancel()
        led = tuple(instance.led)
        for name in led:
            instance.resign(name)
        noticed_s = 0.0 if event.reset else _SILENCE_S
        for name in led:
            self.spawn(
                self._claim_later(
                    name, event.claimant, noticed_s + event.claim_s
                )
            )
        self.spawn(self._return(jobs, event.next_instance))
        await asyncio.sleep(noticed_s)
        for other in live:
            other.lose(instance)

    async def _return(self, jobs, number):
        await asyncio.sleep(_RETURN_S)
        live = [i for i in self.instances if not i.killed]
        for job, _ in jobs:
            self._send(live[number % len(live)], job)


_TIMES = schedules._seconds(0.1, _FAULTS_S)
_NUMBERS = st.integers(0, _INSTANCES - 1)
_ENDPOINT_NUMBERS = st.integers(0, _ENDPOINTS - 1)


def _schedules():
    claims = {"claimant": _NUMBERS, "claim_s": schedules._seconds(0.25, 0.6)}
    arrivals = st.builds(
        _Arrival,
        at=schedules._seconds(0.05, 0.6) | schedules._seconds(0.05, 2.5),
        instance=_NUMBERS,
        tasks=st.integers(2, 6),
        run_s=schedules._seconds(0.3, 3.5),
        cores=st.sampled_from([4.0, 8.0, 16.0]),
    )
    changes = st.one_of(
        st.builds(
            _Kill,
            at=_TIMES,
            instance=_NUMBERS,
            next_instance=_NUMBERS,
            reset=st.booleans(),
            **claims,
        ),
        st.builds(_Resign, at=_TIMES, data_centre=st.integers(0, 1), **claims),
    )
    breaks = st.builds(
        _Break,
        at=_TIMES,
        instance=_NUMBERS,
        next_instance=_NUMBERS,
        return_s=schedules._seconds(_RETURN_S, 1.8),
        noticed_s=st.none() | schedules._seconds(0.0, 1.0),
    )
    others = st.one_of(
        st.builds(
            _CutOrders,
            at=_TIMES,
            data_centre=st.integers(0, 1),
            endpoints=st.frozensets(_ENDPOINT_NUMBERS, min_size=1),
            for_s=schedules._seconds(0.2, 2.5),
        ),
        st.builds(
            schedules._LateStarts,
            at=_TIMES,
            endpoint=_ENDPOINT_NUMBERS,
            late_s=schedules._seconds(0.2, 3.0),
            for_s=schedules._seconds(0.1, 1.0),
        ),
        st.builds(
            schedules._Restart,
            at=_TIMES,
            endpoint=_ENDPOINT_NUMBERS,
            down_s=schedules._seconds(0.0, 0.5),
        ),
    )
    return st.builds(
        lambda phases, *groups: _Schedule(
            [event for group in groups for event in group], phases
        ),
        st.lists(
            schedules._seconds(0.0, 0.24),
            min_size=_INSTANCES,
            max_size=_INSTANCES,
        ),
        st.lists(arrivals, min_size=4, max_size=8),
        st.lists(breaks, min_size=1, max_size=4),
        st.lists(changes, min_size=1, max_size=3),
        st.lists(others, max_size=3),
    )


# A leader is killed before it has told the others of a job, whose origin lives. The
# caller comes again at the leader of the other data centre.
_KILLED_BEFORE_NOTICE = _Schedule(
    [
        _Arrival(0.05, instance=0, tasks=2, run_s=1.69, cores=8.0),
        _Arrival(0.16, instance=2, tasks=6, run_s=2.43, cores=16.0),
        _Arrival(0.44, instance=2, tasks=6, run_s=2.41, cores=16.0),
        _Arrival(0.95, instance=2, tasks=6, run_s=1.0, cores=4.0),
        _Break(1.21, instance=2, next_instance=1, return_s=1.4, noticed_s=None),
        _Kill(
            1.85,
            instance=0,
            next_instance=1,
            reset=False,
            claimant=1,
            claim_s=0.3,
        ),
    ],
    phases=[0.06, 0.04, 0.15, 0.07, 0.14],
)


class DividedJobsTest(unittest.TestCase):

    @_properties.examples(60)
    @hypothesis.given(_schedules())
    @hypothesis.example(_KILLED_BEFORE_NOTICE)
    def test_tasks_of_divided_jobs_run_once_at_a_time(self, schedule):
        """Guards against leaders that each start a task of a divided job."""
        self.assertEqual(_virtual.run(_Play(schedule).run()), [])
