"""Measures the effect of endpoint faults with the countermeasures off and on.

Run as `python -m benchmarks.faults`. The scheduler, the ledger, the dispatcher
and the connection pool are the real ones; endpoints are simulated by sleeps in
the same process. Arrivals, run times and failures are drawn with a fixed seed,
which is the same for both variants. "Off" ranks endpoints by tasks in flight
alone, sends no hedges and limits retries only by the attempts of each task.
"""

import asyncio
import collections
import dataclasses
import random
import time

import uvloop

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.entry import dispatcher as dispatcher_module
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import outcomes
from sesameroad.model import work
from sesameroad.ownership import keys
from sesameroad.ownership import ledger as ledger_module
from sesameroad.routing import connection_pool
from sesameroad.routing import endpoint_health
from sesameroad.routing import results
from sesameroad.routing import retry_budget
from sesameroad.scheduling import admission as admission_module
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import matcher as matcher_module
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import queue as queue_module

_SEED = 20_260_101
_ENDPOINTS = 16
_SLOTS = 8
_MEAN_RUN_S = 0.1
_LOAD = 0.7
_SECONDS = 8.0
_TIMEOUT_MS = 10_000
_UNBOUNDED_PERCENT = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault that affects some of the endpoints.

    Attributes:
        affected: Number of endpoints that are affected.
        failing: Fraction of their tasks that fail.
        fail_s: Time in seconds after which a task fails.
        factor: Factor by which the run times of their other tasks are
            multiplied.
    """

    affected: int
    failing: float = 0.0
    fail_s: float = 0.002
    factor: float = 1.0


class _Simulation:
    """Replaces the sender and the endpoints."""

    def __init__(self, ledger: ledger_module.Ledger, fault: Fault) -> None:
        self.sends = 0
        self.retries = 0
        self.retries_answered = 0
        self.retries_to_same_endpoint = 0
        self._ledger = ledger
        self._fault = fault
        self._random = random.Random(_SEED)

    async def send(
        self, endpoint: endpoints.Endpoint, pending: pending_task.PendingTask
    ) -> results.Result:
        try:
            self._ledger.start(pending.record, pending.index)
        except errors.StartRefusedError as error:
            return results.Withheld(str(error))
        self.sends += 1
        result = await self._answer(endpoint)
        if pending.attempts:
            self.retries += 1
            self.retries_answered += isinstance(result, results.Answered)
            self.retries_to_same_endpoint += endpoint.id in pending.tried
        return result

    async def _answer(self, endpoint: endpoints.Endpoint) -> results.Result:
        fault = self._fault
        seconds = _MEAN_RUN_S * self._random.uniform(0.5, 1.5)
        if int(endpoint.id) < fault.affected:
            if self._random.random() < fault.failing:
                await asyncio.sleep(fault.fail_s)
                return results.RanAndFailed(500, "failed")
            seconds *= fault.factor
        await asyncio.sleep(seconds)
        return results.Answered(b"{}")


async def _run(fault: Fault, *, enabled: bool) -> str:
    clock = clocks.Clock()
    ledger = ledger_module.Ledger(
        clock=clock,
        max_records=100_000,
        max_marks=1,
        max_held_bytes=2**30,
        incarnation=keys.new_incarnation(),
    )
    simulation = _Simulation(ledger, fault)
    health = endpoint_health.EndpointHealth(clock=clock)
    budget = retry_budget.RetryBudget()
    if not enabled:
        budget = retry_budget.RetryBudget(
            percent=_UNBOUNDED_PERCENT, hedge_percent=0.0
        )
    content = document.Document(
        product=document.Product(kinds={"lookup": document.Kind()}),
        operations=document.Operations(team_quotas={"team": 1_000}),
    )
    rank = health.rank if enabled else lambda _endpoint, _pending, used: used
    queue = queue_module.Queue()
    allocation = allocation_module.Allocation(clock)
    policy = policy_module.Policy(content, allocation=allocation)
    matcher = matcher_module.Matcher(
        queue=queue, policy=policy, allocation=allocation, rank=rank
    )
    admission = admission_module.Admission(
        content,
        max_queued=20_000,
        queue=queue,
        policy=policy,
        allocation=allocation,
    )
    matcher.set_callbacks(observe=admission.observe)
    dispatcher = dispatcher_module.Dispatcher(
        ledger=ledger,
        matcher=matcher,
        admission=admission,
        clock=clock,
        observe=lambda *_: None,
        budget=budget,
    )
    pool = connection_pool.ConnectionPool(
        matcher=matcher,
        sender=simulation,
        settle=dispatcher.handle_send_result,
        health=health,
        budget=budget,
        clock=clock,
    )
    pool.update(
        endpoints.Endpoint(str(number), "http://simulated", "dc", slots=_SLOTS)
        for number in range(_ENDPOINTS)
    )
    await asyncio.sleep(0.05)
    rng = random.Random(_SEED)
    response_times_s: list[float] = []
    counts: collections.Counter[tuple[bool, bool]] = collections.Counter()

    async def call(number: int, idempotent: bool) -> None:
        began = time.monotonic()
        outcome = await dispatcher.dispatch(
            work.Request(
                str(number),
                "team",
                "lookup",
                clock.wall_ms() + _TIMEOUT_MS,
                work.Task(b"{}"),
                idempotent,
            ),
            digest="",
            expiry_ms=2**50,
            remember=False,
        )
        complete = isinstance(outcome, outcomes.Complete)
        counts[idempotent, complete] += 1
        if complete:
            response_times_s.append(time.monotonic() - began)

    rate = _ENDPOINTS * _SLOTS / _MEAN_RUN_S * _LOAD
    due = began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        number = 0
        while due < began + _SECONDS:
            due += rng.expovariate(rate)
            idempotent = rng.random() < 0.5
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            group.create_task(call(number, idempotent))
            number += 1
    await pool.close()
    response_times_s.sort()
    parts = [
        f"{name} complete "
        f"{100 * counts[flag, True] / (counts[flag, True] + counts[flag, False]):.1f}%"
        for name, flag in (("idempotent", True), ("other", False))
    ]
    return (
        f"{', '.join(parts)}, p50 {response_times_s[len(response_times_s) // 2] * 1e3:.0f} ms,"
        f" p99 {response_times_s[len(response_times_s) * 99 // 100] * 1e3:.0f} ms,"
        f" sends per request {simulation.sends / number:.3f},"
        f" retries {simulation.retries}"
        f" ({simulation.retries_answered} answered,"
        f" {simulation.retries_to_same_endpoint} to an endpoint tried before)"
    )


async def main() -> None:
    """Measures each fault with the countermeasures off and on."""
    faults = {
        "no fault": Fault(0),
        "2 of 16 fail everything within 2 ms": Fault(2, failing=1.0),
        "2 of 16 take 10 times as long": Fault(2, factor=10.0),
        "brown-out, all fail 60% after 100 ms": Fault(
            _ENDPOINTS, failing=0.6, fail_s=_MEAN_RUN_S
        ),
    }
    for name, fault in faults.items():
        print(name)
        for enabled in (False, True):
            summary = await _run(fault, enabled=enabled)
            print(f"  {'on ' if enabled else 'off'}: {summary}", flush=True)


if __name__ == "__main__":
    uvloop.run(main())
