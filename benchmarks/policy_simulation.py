"""Simulates the entries and endpoints of a data centre in one process."""

import asyncio
import collections
import dataclasses
import enum

from benchmarks import virtual_time
from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.entry import dispatcher
from sesameroad.model import demands
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.peering import codec
from sesameroad.routing import connection_pool
from sesameroad.routing import endpoint_health
from sesameroad.routing import results
from sesameroad.routing import retry_budget
from sesameroad.scheduling import admission
from sesameroad.scheduling import allocation
from sesameroad.scheduling import allocation_agent
from sesameroad.scheduling import matcher
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy
from sesameroad.scheduling import queue

DATA_CENTRE = "dc1"
# One-way delay between processes of a data centre, also for sends to endpoints.
_DELAY_S = 0.0005
_KEY_LIFETIME_MS = 10**9
MAX_QUEUED = 20_000


class Variant(enum.Enum):
    """How the slots of a data centre are divided among entries."""

    ALLOCATOR = "steward"
    FIXED_SHARE = "fixed share"


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request of a trace.

    Attributes:
        at: Time of arrival in seconds since the start.
        entry: Number of the entry that receives it.
        kind: Kind of work.
        team: Team of the caller.
        run_s: Run time in seconds.
        timeout_s: Time from arrival to deadline in seconds.
        cancel_s: Time from arrival to cancellation in seconds, or None.
        need: Resources that it needs.
    """

    at: float
    entry: int
    kind: str
    team: str
    run_s: float
    timeout_s: float = 60.0
    cancel_s: float | None = None
    need: needs.Need = needs.Need()


@dataclasses.dataclass(slots=True)
class Served:
    """The result of an arrival.

    Attributes:
        arrival: The arrival.
        response_s: Response time in seconds, None unless the work completed.
    """

    arrival: Arrival
    response_s: float | None


@dataclasses.dataclass(slots=True)
class Report:
    """Measurements of a simulation.

    Attributes:
        served: Result of each arrival.
        sends: Number of sends to endpoints.
        refused: Number of sends that an endpoint refused.
        wasted: Number of sends that were refused or answered too late.
        message_bytes: Encoded bytes by number of the sending entry.
        messages: Number of messages by number of the sending entry.
        seconds: Duration of the simulation.
        max_running: Highest number of tasks running at the same time, by
            endpoint, team and kind.
    """

    served: list[Served] = dataclasses.field(default_factory=list)
    sends: int = 0
    refused: int = 0
    wasted: int = 0
    message_bytes: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    messages: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    seconds: float = 0.0
    max_running: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class FakeSender:
    """Runs tasks by sleeping.

    An endpoint refuses tasks while all its slots are in use.
    """

    def __init__(
        self,
        simulation: "Simulation",
        ledger: ledger_module.Ledger,
        clock: virtual_time.Clock,
    ) -> None:
        self._simulation = simulation
        self._ledger = ledger
        self._clock = clock

    async def send(
        self, endpoint: endpoints.Endpoint, pending: pending_task.PendingTask
    ) -> results.Result:
        """Sleeps for the run time in the payload."""
        simulation = self._simulation
        if self._clock.wall_ms() >= pending.work.deadline_ms:
            return results.Withheld("deadline passed before the send")
        try:
            self._ledger.start(pending.record, pending.index)
        except errors.StartRefusedError as error:
            return results.Withheld(str(error))
        # Read now, since the payload is dropped when the work ends, which may be
        # before the run starts.
        run_s = float(pending.task.payload)
        simulation.report.sends += 1
        await asyncio.sleep(_DELAY_S)
        if simulation.running[endpoint.id] >= endpoint.slots:
            simulation.report.refused += 1
            simulation.report.wasted += 1
            await asyncio.sleep(_DELAY_S)
            return results.Refused(leaving=False)
        names = (
            endpoint.id,
            f"team {pending.work.team}",
            f"kind {pending.work.kind}",
        )
        for name in names:
            simulation.running[name] += 1
            simulation.report.max_running[name] = max(
                simulation.report.max_running[name], simulation.running[name]
            )
        await asyncio.sleep(run_s)
        for name in names:
            simulation.running[name] -= 1
        await asyncio.sleep(_DELAY_S)
        if pending.record.finished:
            simulation.report.wasted += 1
        return results.Answered(b"0")

    async def close(self) -> None:
        """Does nothing, since there are no connections."""


class Entry:
    """The scheduling components of an entry, connected as in entry.entry."""

    def __init__(
        self,
        number: int,
        simulation: "Simulation",
        content: document.Document,
        clock: virtual_time.Clock,
        variant: Variant,
    ) -> None:
        self.name = f"entry{number}"
        self._simulation = simulation
        self._number = number
        self._clock = clock
        ledger = ledger_module.Ledger(
            clock=clock,
            max_records=10**7,
            max_marks=1,
            max_held_bytes=2**40,
            incarnation="00ff",
        )
        self.allocation = allocation.Allocation(clock)
        self.policy = policy.Policy(content, allocation=self.allocation)
        self.queue = queue.Queue()
        health = endpoint_health.EndpointHealth(clock=clock)
        self.matcher = matcher.Matcher(
            queue=self.queue,
            policy=self.policy,
            allocation=self.allocation,
            rank=health.rank,
            clock=clock,
        )
        self.admission = admission.Admission(
            content,
            max_queued=MAX_QUEUED,
            queue=self.queue,
            policy=self.policy,
            allocation=self.allocation,
        )
        self.matcher.set_callbacks(observe=self.admission.observe)
        self.allocation_agent = None
        if variant == Variant.ALLOCATOR:
            self.allocation_agent = allocation_agent.AllocationAgent(
                entry=self.name,
                allocation=self.allocation,
                matcher=self.matcher,
                policy=self.policy,
                queue=self.queue,
                clock=clock,
                send=self._send,
            )
        self.dispatcher = dispatcher.Dispatcher(
            ledger=ledger,
            matcher=self.matcher,
            admission=self.admission,
            clock=clock,
            observe=lambda work, outcome, seconds: None,
        )
        self.pool = connection_pool.ConnectionPool(
            matcher=self.matcher,
            sender=FakeSender(simulation, ledger, clock),
            settle=self.dispatcher.handle_send_result,
            health=health,
            budget=retry_budget.RetryBudget(),
            clock=clock,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self,
        names: list[str],
        live: list[endpoints.Endpoint],
        content: document.Document,
    ) -> None:
        """Adds the endpoints and starts the allocation agent."""
        self.allocation.set_entries(len(names), names.index(self.name))
        self.pool.update(live)
        if self.allocation_agent is not None:
            self.allocation_agent.configure(
                data_centre=DATA_CENTRE,
                content=content,
                live=live,
                reachable=names,
                listed=names,
            )
            self._tasks.append(asyncio.create_task(self.allocation_agent.run()))

    async def stop(self) -> None:
        """Cancels all tasks.

        Raises:
            Exception: If a task has failed.
        """
        for task in self._tasks:
            if task.done():
                task.result()
            task.cancel()
        await self.pool.close()

    async def serve(self, arrival: Arrival, number: int) -> Served:
        """Dispatches an arrival and returns its result."""
        began = self._clock.monotonic()
        work = work_module.Request(
            key=str(number),
            team=arrival.team,
            kind=arrival.kind,
            deadline_ms=int((began + arrival.timeout_s) * 1_000),
            task=work_module.Task(str(arrival.run_s).encode(), arrival.need),
            idempotent=True,
        )
        if arrival.cancel_s is not None:
            asyncio.get_running_loop().call_later(
                arrival.cancel_s, self.dispatcher.cancel, work.key
            )
        outcome = await self.dispatcher.dispatch(
            work, digest="", expiry_ms=_KEY_LIFETIME_MS, remember=False
        )
        match outcome:
            case outcomes.Complete():
                return Served(arrival, self._clock.monotonic() - began)
            case _:
                return Served(arrival, None)

    def _send(
        self, entry: str, message: demands.Demand | demands.Allocation
    ) -> bool:
        if {self.name, entry} & self._simulation.disconnected:
            return False
        envelope = codec.encode([message])
        self._simulation.report.message_bytes[
            self._number
        ] += envelope.ByteSize()
        self._simulation.report.messages[self._number] += 1
        # Encodes and decodes the message, so that the simulation includes the codec.
        [received] = codec.decode(envelope)
        target = self._simulation.by_name[entry]
        if target.allocation_agent is not None:
            asyncio.get_running_loop().call_later(
                _DELAY_S, target.allocation_agent.receive, self.name, received
            )
        return True


class Simulation:
    """The entries and endpoints of a data centre, with a report of their work."""

    def __init__(
        self,
        *,
        content: document.Document,
        entries: int,
        live: list[endpoints.Endpoint],
        variant: Variant,
        clock: virtual_time.Clock,
    ) -> None:
        self.report = Report()
        self.disconnected: set[str] = set()
        self.running: collections.Counter[str] = collections.Counter()
        self._content = content
        self._live = live
        self.entries = [
            Entry(number, self, content, clock, variant)
            for number in range(entries)
        ]
        self.by_name = {entry.name: entry for entry in self.entries}

    def disconnect(self, name: str) -> None:
        """Disconnects an entry from all others and informs all agents."""
        self.disconnected.add(name)
        for entry in self.entries:
            if entry.allocation_agent is not None:
                entry.allocation_agent.configure(
                    data_centre=DATA_CENTRE,
                    content=self._content,
                    live=self._live,
                    reachable=(
                        {name}
                        if entry.name == name
                        else self.by_name.keys() - self.disconnected
                    ),
                    listed=self.by_name.keys(),
                )

    async def run(self, trace: list[Arrival]) -> Report:
        """Runs a trace and returns the measurements."""
        loop = asyncio.get_running_loop()
        names = list(self.by_name)
        for entry in self.entries:
            entry.start(names, self._live, self._content)
        tasks = []
        for number, arrival in enumerate(trace):
            delay = arrival.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            entry = self.entries[arrival.entry % len(self.entries)]
            tasks.append(asyncio.create_task(entry.serve(arrival, number)))
        self.report.seconds = loop.time()
        self.report.served = await asyncio.gather(*tasks)
        for entry in self.entries:
            await entry.stop()
        return self.report


def simulate(
    trace: list[Arrival],
    *,
    content: document.Document,
    live: list[endpoints.Endpoint],
    variant: Variant = Variant.ALLOCATOR,
    entries: int = 3,
) -> Report:
    """Simulates a trace in a new event loop in virtual time."""

    async def main() -> Report:
        clock = virtual_time.Clock(asyncio.get_running_loop())
        simulation = Simulation(
            content=content,
            entries=entries,
            live=live,
            variant=variant,
            clock=clock,
        )
        return await simulation.run(trace)

    return virtual_time.run(main())
