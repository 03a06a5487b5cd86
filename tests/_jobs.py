"""A scheduler with endpoints in memory, for tests of jobs."""

import asyncio
import contextlib
import functools
import itertools
import math

from sesameroad.jobs import attempts
from sesameroad.jobs import held_up_notices
from sesameroad.jobs import pending_starts
from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.leasing import orders
from sesameroad.model import attempts as notices
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import scheduling as scheduling_module
from sesameroad.peering import messages
from sesameroad.peering import peer_clock
from sesameroad.platform import order_client
from sesameroad.telemetry import job_metrics
from standins import simulated_endpoint
from tests import _virtual

# Period of the checks of what must hold between any two events. A leader looks
# for jobs that nothing would end each 0.1 s. A binary fraction adds no rounding to the
# virtual time.
_INVARIANT_PERIOD_S = 1 / 64
# Instances that a leader tells of its starts on their way, and the time for which
# these count after its loss, as in `node.start_notices`.
_KEEPERS = 2
_KEPT_S = 13.1


class Origin:
    """An instance whose caller waits for jobs."""

    # Silence after which an instance counts as lost.
    _SILENCE_S = 0.75

    def __init__(self, name: str = "origin"):
        self.id = name
        self._lost_at = math.inf

    @property
    def live(self) -> bool:
        return self.silent_s < self._SILENCE_S

    @property
    def silent_s(self) -> float:
        now = asyncio.get_running_loop().time()
        return max(0.0, now - self._lost_at)

    def lose(self, *, silent_s: float = 0.0) -> None:
        """Loses the instance, which is silent for some time already."""
        self._lost_at = asyncio.get_running_loop().time() - silent_s


class HeartbeatOrigin(Origin):
    """An instance that is heard once in each period of its heartbeats.

    Its stream has been open for a second. Its heartbeats carry the clocks of a
    real link: its own, and an echo of the leader's, whose heartbeats have the
    same period and are not held up.

    Attributes:
        delay_s: Time for which its heartbeats are held up on their way.
    """

    _PERIOD_S = 0.25
    _OPEN_S = 1.0
    # Clock of the instance less that of the leader, and of both less the time
    # of the loop, so that no reading is 0.
    _CLOCK_OFFSET_S = 777.0
    _CLOCK_START_S = 1_000.0

    def __init__(self, name, *, phase_s=0.0, delay_s=0.0):
        super().__init__(name)
        self._phase_s = phase_s
        self.delay_s = delay_s
        opened_at = asyncio.get_running_loop().time() - self._OPEN_S
        self._clock = peer_clock.PeerClock(
            greeted_at=opened_at + self._CLOCK_START_S
        )
        # Time at which the next heartbeat is sent that has not been read yet.
        self._next_at = self._floor(opened_at) + self._PERIOD_S

    @property
    def silent_s(self):
        now = asyncio.get_running_loop().time()
        while self._next_at <= min(now - self.delay_s, self._lost_at):
            arrived_at = self._next_at + self.delay_s
            self._clock.record(
                self._readings(self._next_at),
                arrived_at + self._CLOCK_START_S,
            )
            self._next_at += self._PERIOD_S
        return max(0.0, now + self._CLOCK_START_S - self._clock.heard_at)

    def _floor(self, at):
        return at - (at - self._phase_s) % self._PERIOD_S

    def _readings(self, sent_at):
        # The leader sends its heartbeats half a period later, without delay.
        echoed = self._floor(sent_at) - self._PERIOD_S / 2
        started = self._CLOCK_START_S
        own = started + self._CLOCK_OFFSET_S
        return messages.ClockReadings(
            *(
                int(seconds * 1_000_000)
                for seconds in (sent_at + own, echoed + started, echoed + own)
            )
        )


async def find_unaccounted_job(scheduler):
    """Returns the first jobs that nothing would end, if there ever are any."""
    while not scheduler.unaccounted_jobs:  # noqa: ASYNC110
        await asyncio.sleep(_INVARIANT_PERIOD_S)
    return scheduler.unaccounted_jobs


class CutOrders:
    """Orders of one leader, which other leaders' orders do not depend on.

    Attributes:
        cut: Ids of the endpoints to which the leader has lost its path. Answers
            that are on their way are lost as well.
    """

    def __init__(self, fleet: simulated_endpoint.SimulatedFleet):
        self._fleet = fleet
        self.cut = set()

    async def start(self, endpoint, **order):
        return await self._send(self._fleet.start, endpoint, 0.3, order)

    async def stop(self, endpoint, **order):
        timeout_s = order_client.STOP_TIMEOUT_S
        return await self._send(self._fleet.stop, endpoint, timeout_s, order)

    async def poll(self, endpoint, **order):
        timeout_s = order["timeout_s"]
        return await self._send(self._fleet.poll, endpoint, timeout_s, order)

    async def _send(self, send, endpoint, timeout_s, order):
        if endpoint.id not in self.cut:
            answer = await send(endpoint, **order)
            if endpoint.id not in self.cut:
                return answer
        await asyncio.sleep(timeout_s)
        return orders.NoAnswer("cut off")


class LeaderLinks:
    """Streams between instances, over which leaders send notices.

    Attributes:
        cut: Instances that the others neither reach nor hear.
        lost: Number of notices on attempts that are lost from now on.
        sent: Those that were sent, with the time since the start of the loop.
        told: Notices of starts without an answer that were sent.
    """

    _DELAY_S = 0.001

    def __init__(self, clock):
        self._clock = clock
        self._schedulers = {}
        # Starts without an answer that each instance knows of.
        self._held_up = {}
        # Starts on their way of each leader, and those that an instance keeps.
        self._pending = {}
        self._kept = {}
        self._told = {}
        self._terms = itertools.count()
        self.moving = {}
        self.cut = set()
        self.lost = 0
        self.sent = []
        self.told = []

    def open(self, name):
        """Returns the view that a leader has of the others."""
        return _LeaderLink(self, name)

    def add(self, name, scheduler):
        self._schedulers[name] = scheduler, next(self._terms)
        # A new leader waits for the reports of its peers.
        for known in self._held_up.keys() - {name}:
            if not {name, known} & self.cut:
                self.pass_on(known, name)

    def held_up(self, name):
        """Returns the starts without an answer that an instance knows of."""
        if name not in self._held_up:
            self._held_up[name] = held_up_notices.HeldUpNotices(
                clock=self._clock, send=functools.partial(self._tell, name)
            )
        return self._held_up[name]

    def pending(self, name):
        """Returns the starts on their way of a leader."""
        if name not in self._pending:
            self._pending[name] = pending_starts.PendingStarts(
                send=functools.partial(self._tell_keepers, name)
            )
        return self._pending[name]

    def lose(self, leader):
        """Ends all streams of a leader, whose keepers notice it at once."""
        for keeper, kept in self._kept.items():
            if keeper == leader or keeper in self.cut:
                continue
            known = self.held_up(keeper)
            lost = kept.of(leader, left_s=_KEPT_S)
            kept.forget(leader)
            for key, starts in lost.items():
                for start in starts:
                    known.record(key, start, own=False)
            scheduler, _ = self._schedulers.get(keeper, (None, 0))
            if scheduler is not None:
                scheduler.apply_held_up(lost)

    def _tell_keepers(self, leader, settled):
        loop = asyncio.get_running_loop()
        keepers = [n for n in self._held_up if n != leader][:_KEEPERS]
        for keeper in keepers:
            told = self._told.get((leader, keeper), 0)
            notice = self.pending(leader).notice(told, settled=settled)
            if notice.starts:
                self._told[leader, keeper] = notice.starts[-1].number
            loop.call_later(self._DELAY_S, self._keep, leader, keeper, notice)

    def _keep(self, leader, keeper, notice):
        if not {leader, keeper} & self.cut:
            kept = self._kept.setdefault(keeper, pending_starts.KeptStarts())
            kept.receive(leader, notice)

    def pass_on(self, source, target, key=None):
        """Tells a leader what an instance knows, of one job or of all."""
        known = self.held_up(source)
        notices = known.all() if key is None else [known.notice_of(key)]
        for notice in filter(None, notices):
            self._receive(source, target, notice)

    def _tell(self, source, notice):
        self.told.append(notice)
        loop = asyncio.get_running_loop()
        for name in self._held_up.keys() - {source}:
            loop.call_later(self._DELAY_S, self._receive, source, name, notice)

    def _receive(self, source, target, notice):
        if {source, target} & self.cut:
            return
        self.held_up(target).receive(notice)
        scheduler, _ = self._schedulers.get(target, (None, 0))
        if scheduler is not None:
            scheduler.apply_held_up(notice.starts)

    def remove(self, name):
        """Ends the leadership of an instance, which stays reachable."""
        self._schedulers[name] = None, next(self._terms)

    async def tell(self, name):
        """Tells a new leader of the jobs of the others, as its peers do.

        Each that sees its claim sends what it must know before its report of
        recent cancels. The leader starts nothing before it has all reports.
        """
        await asyncio.sleep(self._DELAY_S)
        for other in self.sessions(name).values():
            scheduler, _ = self._schedulers[other]
            scheduler.tell_attempts()
        for origin, moving in self.moving.items():
            notice = notices.Running(
                moving.key,
                {origin: 0},
                1.0,
                attempts.RESIGNED_S,
                moving.indices,
            )
            self.send(origin, name, notice)
        await asyncio.sleep(1.5 * self._DELAY_S)

    def reaches(self, source, target):
        return target in self._schedulers and not {source, target} & self.cut

    def sessions(self, source):
        return {
            (name, term): name
            for name, (scheduler, term) in self._schedulers.items()
            if name != source
            and scheduler is not None
            and self.reaches(source, name)
        }

    def send(self, source, target, notice):
        loop = asyncio.get_running_loop()
        self.sent.append((loop.time(), notice))
        if self.lost:
            self.lost -= 1
        else:
            loop.call_later(
                self._DELAY_S, self._deliver, source, target, notice
            )

    def _deliver(self, source, target, notice):
        if not self.reaches(source, target):
            return
        scheduler, _ = self._schedulers[target]
        if scheduler is not None:
            scheduler.receive_notice(source, notice)
            return
        answer = attempts.answer_without_leader(notice)
        if answer is not None:
            self.send(target, source, answer)


class _LeaderLink:

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def sessions(self):
        return self._network.sessions(self._name)

    def reaches(self, instance):
        return self._network.reaches(self._name, instance)

    def send(self, leader, notice):
        self._network.send(self._name, leader, notice)
        return True


class PeerReports:
    """Reports of the peers of a new leader, as `jobs.cancel_reports`."""

    def __init__(self, links, name):
        self._links = links
        self._name = name

    async def wait(self):
        await self._links.tell(self._name)


class Site:
    """Endpoints of one data centre and the leaders that hold them.

    The leaders of different tokens are different instances.
    """

    def __init__(
        self,
        *,
        count: int = 2,
        cores: float = 16.0,
        delay_s: float = 0.001,
        attempt_notice_s: float = 1.0,
    ):
        self._attempt_notice_s = attempt_notice_s
        self.clock = _virtual.Clock()
        self.links = LeaderLinks(self.clock)
        self.fleet = simulated_endpoint.SimulatedFleet(
            clock=self.clock, delay_s=delay_s
        )
        self.endpoints = []
        for number in range(count):
            self.add(f"e{number}", cores)
        self.origin = Origin()
        self.fenced = []

    @property
    def history(self) -> simulated_endpoint.RunHistory:
        return self.fleet.history

    def add(self, name: str, cores: float) -> endpoints.Endpoint:
        endpoint = endpoints.Endpoint(
            id=name,
            url=f"http://{name}",
            data_centre="dc1",
            kinds=("service",),
            offer=needs.Need(cores, 65_536, 0),
            labels=("a",),
            born_ms=1_000,
        )
        self.endpoints.append(endpoint)
        self.fleet.add(endpoint)
        return endpoint

    @contextlib.asynccontextmanager
    async def leader(
        self,
        token: int = 1,
        *,
        orders_=None,
        evacuations=None,
        scheduling=scheduling_module.Scheduling(),  # noqa: B008  # Frozen.
        interference=None,
        cancel_reports=None,
        was_paused=lambda: False,
        settle_s=0.05,
    ):
        """Runs a leader; yields it after the first reports have arrived.

        With 0 as `settle_s`, it has read no list of an endpoint yet.
        """
        scheduler = scheduler_module.Scheduler(
            token=token,
            orders_=orders_ or self.fleet,
            lease_s=1.0,
            clock=self.clock,
            on_fenced=self.fenced.append,
            metrics=job_metrics.JobMetrics(),
            evacuations=evacuations,
            peers=self.links.open(f"leader{token}"),
            attempt_notice_s=self._attempt_notice_s,
            scheduling=scheduling,
            interference=interference,
            cancel_reports=cancel_reports,
            held_up_notices=self.links.held_up(f"leader{token}"),
            pending_starts=self.links.pending(f"leader{token}"),
            was_paused=was_paused,
        )
        self.links.add(f"leader{token}", scheduler)
        scheduler.update(self.endpoints)
        task = asyncio.create_task(scheduler.run())
        check = asyncio.create_task(find_unaccounted_job(scheduler))
        await asyncio.sleep(settle_s)
        try:
            yield scheduler
        finally:
            self.links.remove(f"leader{token}")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            if check.done():
                raise AssertionError(f"unaccounted for: {check.result()}")
            check.cancel()

    def job(
        self,
        key: str = "0123456789abcdef",
        *,
        count: int = 2,
        run_s: float = 0.2,
        cores: float = 8.0,
        estimate_s: float | None = None,
        deadline_s: float = 1.5,
        stretch: float = 1.6,
        max_attempts: int = 4,
        priority: int = 0,
        queue: str = "queue",
    ) -> jobs.Job:
        now = self.clock.monotonic()
        estimate_s = run_s if estimate_s is None else estimate_s
        return jobs.Job(
            key=key,
            queue=queue,
            service="service",
            spec=f"{run_s}/{cores}",
            indices=tuple(range(count)),
            need=needs.Need(cores, 64, 0),
            estimate_s=estimate_s,
            priority=priority,
            max_attempts=max_attempts,
            required_label="",
            preferred_label="",
            per_endpoint=0,
            objective_at=now + stretch * estimate_s + 0.06,
            expires_at=now + 3 * (stretch * estimate_s + 0.06),
            deadline_at=now + deadline_s,
        )
