"""Measures the processor time of task starts and of allocation decisions."""

import asyncio
import itertools
import time

from benchmarks import policy_simulation
from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger
from sesameroad.peering import codec
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import allocator as allocator_module
from sesameroad.scheduling import matcher as matcher_module
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import queue

_START_COUNT = 20_000
_KINDS = ("urgent", "normal", "batch")


def _content(teams: int) -> document.Document:
    return document.Document(
        product=document.Product(
            kinds={
                kind: document.Kind(urgency=n) for n, kind in enumerate(_KINDS)
            }
        ),
        operations=document.Operations(
            team_quotas={f"team{n}": 1_000 for n in range(teams)}
        ),
    )


def _endpoints(count: int) -> list[endpoints.Endpoint]:
    return [
        endpoints.Endpoint(
            f"dc1-endpoint{n}", "", policy_simulation.DATA_CENTRE
        )
        for n in range(count)
    ]


async def _start_us(live: int, teams: int, queued: int) -> float:
    """Returns the time from submit to release in microseconds.

    Args:
        live: Number of endpoints.
        teams: Number of teams.
        queued: Number of tasks that remain queued during the measurement.
    """
    allocation = allocation_module.Allocation()
    policy = policy_module.Policy(_content(teams), allocation=allocation)
    matcher = matcher_module.Matcher(
        queue=queue.Queue(), policy=policy, allocation=allocation
    )
    numbers = itertools.count()

    def new_task() -> pending_task.PendingTask:
        n = next(numbers)
        work = work_module.Request(
            str(n),
            f"team{n % teams}",
            _KINDS[n % len(_KINDS)],
            2**60,
            work_module.Task(b""),
        )
        record = ledger.Record.from_work(work, digest="", expiry_ms=2**60)
        return pending_task.PendingTask(record, 0, 0.0)

    ready = [new_task() for _ in range(_START_COUNT + queued)]
    remaining = _START_COUNT
    finished = asyncio.Event()

    async def serve(endpoint_id: str) -> None:
        nonlocal remaining
        while remaining > 0:
            pending = await matcher.take(endpoint_id)
            if pending is None:
                return
            remaining -= 1
            await asyncio.sleep(0)
            matcher.release(endpoint_id, pending)
            if remaining > 0:
                matcher.submit(ready.pop())
        finished.set()

    for endpoint in _endpoints(live):
        matcher.add_endpoint(endpoint)
    for _ in range(queued):
        matcher.submit(ready.pop())
    began = time.perf_counter()
    tasks = [
        asyncio.create_task(serve(f"dc1-endpoint{n}"))
        for n in range(live)
        for _ in range(8)
    ]
    await finished.wait()
    elapsed = time.perf_counter() - began
    for endpoint in _endpoints(live):
        matcher.remove_endpoint(endpoint.id)
    await asyncio.gather(*tasks)
    return elapsed / _START_COUNT * 1e6


def _measure_decision(live: int, entries: int) -> tuple[float, int]:
    """Measures an allocator.

    Returns:
        Microseconds of a decision, and bytes of the largest allocation of the
        first decision, which is not a change to an earlier one.
    """
    names = [f"entry{n}" for n in range(entries)]
    allocator = allocator_module.Allocator(now=0.0)
    allocator.configure(
        content=_content(10),
        live=_endpoints(live),
        members=names,
        reachable=names,
        now=0.0,
    )
    clock = clocks.Clock()
    for number, name in enumerate(names):
        allocation = allocation_module.Allocation(clock)
        allocation.set_endpoints(_endpoints(live))
        allocation.set_entries(entries, number)
        lanes = tuple(
            policy_simulation.demands.LaneDemand(kind, "", 5 * number, 20)
            for kind in _KINDS
        )
        report = policy_simulation.demands.Demand(
            0, lanes, tuple(allocation.held_endpoints().values())
        )
        allocator.receive(name, report, now=0.0)
    granted = allocator.decide(now=0.0)
    size = max(codec.encode([m]).ByteSize() for m in granted.values())
    round_count = 50
    began = time.perf_counter()
    for n in range(round_count):
        allocator.decide(now=0.001 * n)
    return (time.perf_counter() - began) / round_count * 1e6, size


def main() -> None:
    """Prints the costs for several sizes."""
    for live in (10, 40, 110):
        for teams in (10, 320):
            costs = [
                asyncio.run(_start_us(live, teams, queued))
                for queued in (1_000, 20_000)
            ]
            print(
                f"{live} endpoints, {teams} teams: {costs[0]:.1f} us a start"
                f" with 1,000 queued, {costs[1]:.1f} us with 20,000 queued"
            )
    for live, entries in ((8, 3), (25, 9), (110, 9)):
        microseconds, size = _measure_decision(live, entries)
        print(
            f"{live} endpoints, {entries} entries: {microseconds:.0f} us a"
            f" decision, first allocation {size} bytes"
        )


if __name__ == "__main__":
    main()
