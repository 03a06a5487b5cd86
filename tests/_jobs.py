"""A scheduler with endpoints in memory, for tests of jobs."""

import asyncio
import contextlib
import math

from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.leasing import orders
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.platform import order_client
from sesameroad.telemetry import job_metrics
from standins import simulated_endpoint
from tests import _virtual


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

    Attributes:
        delay_s: Time for which its heartbeats are held up on their way.
    """

    _PERIOD_S = 0.25

    def __init__(self, name, *, phase_s=0.0, delay_s=0.0):
        super().__init__(name)
        self._phase_s = phase_s
        self.delay_s = delay_s

    @property
    def silent_s(self):
        now = asyncio.get_running_loop().time()
        # Time at which the last heartbeat was sent that has arrived by now.
        until = min(now - self.delay_s, self._lost_at)
        sent_at = until - (until - self._phase_s) % self._PERIOD_S
        return max(0.0, now - self.delay_s - sent_at)


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


class Site:
    """Endpoints of one data centre and the leaders that hold them."""

    def __init__(
        self, *, count: int = 2, cores: float = 16.0, delay_s: float = 0.001
    ):
        self.clock = _virtual.Clock()
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
    async def leader(self, token: int = 1, *, orders_=None, interference=None):
        scheduler = scheduler_module.Scheduler(
            token=token,
            orders_=orders_ or self.fleet,
            lease_s=1.0,
            clock=self.clock,
            on_fenced=self.fenced.append,
            metrics=job_metrics.JobMetrics(),
            interference=interference,
        )
        scheduler.update(self.endpoints)
        task = asyncio.create_task(scheduler.run())
        await asyncio.sleep(0.05)
        try:
            yield scheduler
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

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
