"""A dispatcher with its ledger and matcher over scripted sends and time."""

import asyncio
import collections
import dataclasses
import functools
import selectors

from sesameroad import errors
from sesameroad.entry import dispatcher
from sesameroad.model import endpoints
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.routing import results
from sesameroad.routing import retry
from sesameroad.scheduling import admission as admission_module
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import matcher
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import queue as queue_module
from standins import fleet

BASE_MS = 1_000_000
INCARNATION = "00000000000000ff"
ANSWERED = results.Answered(b"{}")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(selectors.SelectSelector())
        self._selector.select = self._skip

    def time(self) -> float:
        return self.now

    def _skip(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("nothing is scheduled")
        self.now += timeout
        return []


class FakeClock:
    """The clock of the event loop; tests can shift its wall time."""

    def __init__(self) -> None:
        self.offset_ms = 0

    def wall_ms(self) -> int:
        now_ms = asyncio.get_running_loop().time() * 1_000
        return BASE_MS + round(now_ms) + self.offset_ms

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()


def virtual(test):
    """Runs a test in virtual time."""

    @functools.wraps(test)
    def wrapper(*arguments, **options):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*arguments, **options))

    return wrapper


def ledger(clock, *, records=100, marks=100, held_bytes=10_000):
    return ledger_module.Ledger(
        clock=clock,
        max_records=records,
        max_marks=marks,
        max_held_bytes=held_bytes,
        incarnation=INCARNATION,
    )


def request(key, *, timeout_ms=1_000, idempotent=False, payload=b"{}"):
    return work_module.Request(
        key,
        "storefront",
        "checkout",
        BASE_MS + timeout_ms,
        work_module.Task(payload),
        idempotent,
    )


def submission(key, tasks, *, timeout_ms=1_000):
    return work_module.Submission(
        key,
        "storefront",
        "checkout",
        BASE_MS + timeout_ms,
        tuple(work_module.Task(b"{}") for _ in range(tasks)),
    )


@dataclasses.dataclass(slots=True)
class ScriptedSend:
    """The result of one send after a delay; a result of None never comes."""

    result: results.Result | None
    delay_s: float = 0.01


class Home:
    """The home of keys: a dispatcher whose sends go to a scripted endpoint.

    Attributes:
        ran: Number of runs of each task.
        observed: Work, outcome and duration of each outcome, in order.
    """

    def __init__(self, script=(), *, slots=2, **bounds) -> None:
        self.clock = FakeClock()
        self.ledger = ledger(self.clock, **bounds)
        self.ran = collections.Counter()
        self.observed = []
        self._script = iter(script)
        document = fleet.default_document()
        queue = queue_module.Queue()
        allocation = allocation_module.Allocation(self.clock)
        policy = policy_module.Policy(document, allocation=allocation)
        self._matcher = matcher.Matcher(
            queue=queue,
            policy=policy,
            allocation=allocation,
            clock=self.clock,
        )
        admission = admission_module.Admission(
            document,
            max_queued=1_000,
            queue=queue,
            policy=policy,
            allocation=allocation,
        )
        self.dispatcher = dispatcher.Dispatcher(
            ledger=self.ledger,
            matcher=self._matcher,
            admission=admission,
            clock=self.clock,
            observe=lambda *seen: self.observed.append(seen),
        )
        endpoint = endpoints.Endpoint("e", "", "dc1", slots=max(1, slots))
        self._matcher.add_endpoint(endpoint)
        self._tasks = [asyncio.create_task(self._serve()) for _ in range(slots)]
        self._tasks.append(asyncio.create_task(self._sweep()))

    async def dispatch(self, work, *, expiry_ms=5_000, remember=True):
        return await self.dispatcher.dispatch(
            work,
            digest="d",
            expiry_ms=BASE_MS + expiry_ms,
            remember=remember,
        )

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _sweep(self):
        while True:
            await asyncio.sleep(1.0)
            self.dispatcher.sweep()

    async def _serve(self):
        while True:
            pending = await self._matcher.take("e")
            result = await self._send(pending)
            retry.record_result(pending, "e", result)
            self._matcher.release("e", pending)
            self.dispatcher.handle_send_result(pending, result)

    async def _send(self, pending):
        if self.clock.wall_ms() >= pending.work.deadline_ms:
            return results.Withheld("deadline passed before the send")
        try:
            self.ledger.start(pending.record, pending.index)
        except errors.StartRefusedError as error:
            return results.Withheld(str(error))
        task_id = pending.id
        scripted = next(self._script, ScriptedSend(ANSWERED))
        await asyncio.sleep(scripted.delay_s / 2)
        match scripted.result:
            case results.Refused() | results.NeverSent():
                pass
            case _:
                self.ran[task_id] += 1
        if scripted.result is None:
            await asyncio.sleep(1_000)
        await asyncio.sleep(scripted.delay_s / 2)
        return scripted.result
