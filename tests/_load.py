"""Simulates a fleet of three data centres under load, in virtual time.

Jobs, run times and faults are derived from a seed, so that two policies can be
compared under the same load.
"""

import asyncio
import collections
import dataclasses
import math
import random

from sesameroad.jobs import coordinator
from sesameroad.jobs import partitioning
from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import scheduling as scheduling_module
from sesameroad.node import routes
from sesameroad.telemetry import job_metrics
from standins import simulated_endpoint
from tests import _virtual

# Period in which origins update the capacity that leaders report.
_OFFER_PERIOD_S = 0.1
# One-way delay between instances.
_LINK_DELAY_S = 0.001
# Standard deviation of the logarithm of declared over actual run times.
_ESTIMATE_DEVIATION = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of job.

    Attributes:
        name: Name of the kind.
        per_s: Arrival rate in the whole fleet, in jobs per second.
        count: Mean number of tasks.
        run_s: Mean run time of a task.
        worth: Value of an average job.
        priority: Priority; 0 is the most urgent.
    """

    name: str
    per_s: float
    count: int
    run_s: float
    worth: float
    priority: int


KINDS = (
    Kind("short", 17.2, 8, 0.06, 0.0291, 0),
    Kind("long", 3.13, 4, 0.9, 0.16, 2),
    Kind("middle", 50.0, 2, 0.2, 0.01, 1),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Burst:
    """A period with an increased arrival rate of one kind."""

    kind: str
    ratio: float
    begin_s: float
    end_s: float


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of the jobs of one kind."""

    owed: float = 0.0
    earned: float = 0.0
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    too_late: int = 0

    @property
    def share(self) -> float:
        """Earned fraction of the total value of the jobs."""
        return self.earned / self.owed if self.owed else 1.0


class _Leaders:
    """The leaders as seen by one origin."""

    unserved_s = 0.0

    def __init__(self, load: "Load"):
        self._load = load
        self._offers = {}
        self._read_at = -math.inf
        self._origin = routes.LocalOrigin(f"origin {id(self)}")

    def offers(self):
        now = self._load.clock.monotonic()
        if now - self._read_at >= _OFFER_PERIOD_S:
            self._read_at = now
            self._offers = {
                name: partitioning.Offer(name, s.free_cores, s.wait_s)
                for name, s in self._load.schedulers.items()
            }
        return list(self._offers.values())

    def route(self, data_centre):
        return _Route(self._load.schedulers[data_centre], self._origin)

    def reserve(self, data_centre, job):
        self._offers[data_centre].free_cores -= job.count * job.need.cores

    def mark_full(self, data_centre):
        self._offers[data_centre].free_cores = 0.0


class _Route(routes.LocalRoute):

    async def submit(self, job, *, moved, lent):
        await asyncio.sleep(_LINK_DELAY_S)
        outcome = await super().submit(job, moved=moved, lent=lent)
        await asyncio.sleep(_LINK_DELAY_S)
        return outcome


class Load:
    """Runs a load and tallies the results of its jobs."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        kinds: tuple[Kind, ...] = KINDS,
        bursts: tuple[Burst, ...] = (),
        per_data_centre: int = 8,
        scale: float = 1.0,
        shares: tuple[float, ...] = (1 / 3, 1 / 3, 1 / 3),
        endpoint_cores: tuple[float, ...] = (16.0, 16.0, 24.0),
        task_cores: tuple[float, float, float] = (6.8, 1.36, 10.0),
        late_share: float = 0.0,
        scheduling: scheduling_module.Scheduling | None = None,
    ):
        """Creates a load.

        Args:
            seed: Seed of jobs and run times.
            seconds: Time in which jobs arrive.
            kinds: Kinds of jobs.
            bursts: Periods with more jobs.
            per_data_centre: Endpoints in each data centre.
            scale: Factor by which all arrival rates are multiplied.
            shares: Fraction of the jobs that each data centre gets.
            endpoint_cores: Cores of the endpoints, repeated in this order.
            task_cores: Mean, standard deviation and maximum of a task's cores.
            late_share: Fraction of the starts that are held up, not answered.
            scheduling: Options of the leaders.
        """
        self._scheduling = scheduling or scheduling_module.Scheduling()
        self.clock = _virtual.Clock()
        self.fleet = simulated_endpoint.SimulatedFleet(
            clock=self.clock, seed=seed
        )
        self.fleet.late_share = late_share
        self.schedulers = {}
        self.tallies = collections.defaultdict(Tally)
        self._random = random.Random(seed)
        self._seconds = seconds
        self._kinds = kinds
        self._bursts = bursts
        self._scale = scale
        self._shares = shares
        self._task_cores = task_cores
        self._tasks = set()
        self.endpoints = collections.defaultdict(list)
        for centre in range(len(shares)):
            for number in range(per_data_centre):
                cores = endpoint_cores[number % len(endpoint_cores)]
                endpoint = endpoints.Endpoint(
                    id=f"e{centre}.{number}",
                    url="",
                    data_centre=f"dc{centre}",
                    kinds=("service",),
                    offer=needs.Need(cores, 65_536, 0),
                    born_ms=1_000,
                )
                self.endpoints[f"dc{centre}"].append(endpoint)
                self.fleet.add(endpoint)

    @property
    def worst_share(self) -> float:
        return min(tally.share for tally in self.tallies.values())

    @property
    def share(self) -> float:
        owed = sum(tally.owed for tally in self.tallies.values())
        return sum(tally.earned for tally in self.tallies.values()) / owed

    def run(self, script=None) -> "Load":
        """Runs the load while an optional script injects faults."""
        _virtual.run(self._run(script))
        return self

    async def _run(self, script):
        leaders = []
        for name, listed in self.endpoints.items():
            scheduler = scheduler_module.Scheduler(
                token=1,
                orders_=self.fleet,
                lease_s=1.0,
                clock=self.clock,
                on_fenced=lambda data_centre: None,
                metrics=job_metrics.JobMetrics(),
                scheduling=self._scheduling,
            )
            scheduler.update(listed)
            self.schedulers[name] = scheduler
            leaders.append(asyncio.create_task(scheduler.run()))
        await asyncio.sleep(0.1)
        callers = [
            asyncio.create_task(self._arrive(kind, f"dc{centre}", share))
            for kind in self._kinds
            for centre, share in enumerate(self._shares)
        ]
        faults = None
        if script is not None:
            faults = asyncio.create_task(script(self))
        await asyncio.gather(*callers)
        await asyncio.gather(*self._tasks)
        if faults is not None:
            faults.cancel()
        for task in leaders:
            task.cancel()
        await asyncio.gather(*leaders, return_exceptions=True)

    def _rate(self, kind: Kind, at: float) -> float:
        rate = kind.per_s * self._scale
        for burst in self._bursts:
            if burst.kind == kind.name and burst.begin_s <= at < burst.end_s:
                rate *= burst.ratio
        return rate

    async def _arrive(self, kind, data_centre, share):
        rng = random.Random(self._random.random())
        job_coordinator = coordinator.JobCoordinator(
            data_centre=data_centre,
            leaders=_Leaders(self),
            clock=self.clock,
        )
        began = self.clock.monotonic()
        while (at := self.clock.monotonic() - began) < self._seconds:
            await asyncio.sleep(rng.expovariate(self._rate(kind, at) * share))
            task = asyncio.create_task(self._call(kind, job_coordinator, rng))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, kind, job_coordinator, rng):
        count = max(1, min(4 * kind.count, round(_spread(rng, kind.count))))
        run_s = min(4 * kind.run_s, _spread(rng, kind.run_s))
        mean, deviation, most = self._task_cores
        cores = min(most, rng.gauss(mean, deviation))
        estimate_s = run_s * rng.lognormvariate(0, _ESTIMATE_DEVIATION)
        room = len(self.fleet.endpoints) * 2
        waves = -(-count // (room // 4))
        now = self.clock.monotonic()
        declared_s = 1.6 * estimate_s * waves + 0.06
        objective_s = 1.6 * run_s * waves + 0.06
        job = jobs.Job(
            key=f"{rng.getrandbits(64):016x}",
            queue=kind.name,
            service="service",
            spec=f"{run_s}/{cores}",
            indices=tuple(range(count)),
            need=needs.Need(cores, 64, 0),
            estimate_s=estimate_s,
            priority=kind.priority,
            max_attempts=4,
            required_label="",
            preferred_label="",
            per_endpoint=0,
            objective_at=now + declared_s,
            expires_at=now + 3 * declared_s,
            deadline_at=now + max(2.0, 3 * objective_s),
        )
        outcome = await job_coordinator.run(job)
        took_s = self.clock.monotonic() - now
        tally = self.tallies[kind.name]
        worth = kind.worth * (
            0.3 + 0.7 * min(5.0, count * run_s / (kind.count * kind.run_s))
        )
        tally.asked += 1
        tally.owed += worth
        match outcome:
            case outcomes.Complete() if took_s <= objective_s:
                tally.in_time += 1
                tally.earned += worth
            case outcomes.Complete() if took_s <= 3 * objective_s:
                tally.late += 1
                tally.earned += worth / 5
            case outcomes.NotRun():
                tally.refused += 1
            case _:
                tally.too_late += 1


def _spread(rng: random.Random, mean: float) -> float:
    return mean * rng.lognormvariate(-0.08, 0.4)
