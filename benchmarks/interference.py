"""Measures the detection and avoidance of interference, in virtual time.

Run as `python -m benchmarks.interference`. The scheduler is the real one; the
endpoints are simulated in the same process. The load is that of the first new
customer of docs/design/plan.md, reduced to the number of endpoints: three queues,
two of which slow each other down. The run time of each task differs from the
declared one by 40% (standard deviation of the logarithm), and a quarter of the
endpoints have speed 0.55, the others 1.2.

Options: `--endpoints=N`, `--seconds=S`, `--pair=QUEUE,QUEUE`, `--calm=S` (virtual
seconds without interference).
"""

import asyncio
import dataclasses
import math
import random
import statistics
import time
from typing import Any

from absl import app
from absl import flags
from absl import logging

from benchmarks import virtual_time
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from standins import simulated_endpoint

_ENDPOINTS = flags.DEFINE_integer("endpoints", 110, "Number of endpoints.")
_SECONDS = flags.DEFINE_float("seconds", 70.0, "Virtual time of one play.")
_CALM_SECONDS = flags.DEFINE_float(
    "calm", 3_600.0, "Virtual time without interference."
)
_PAIR = flags.DEFINE_list("pair", [], "Two queues in conflict; default all.")

_SEED = 20_261_206
_LOAD = 0.6
_SLOWDOWN = 2.0
# Time in which detection must take effect, in seconds.
_SETTLED_S = 30.0
_GOAL = 0.9
_CORES = 64.0
_TASK_CORES = 32.0
_DEVIATION = 0.4
_DEFAULT_PAIRS = (("short", "long"), ("short", "middle"), ("middle", "long"))


@dataclasses.dataclass(slots=True, frozen=True)
class _Kind:
    queue: str
    per_s: float
    count: int
    run_s: float
    priority: int

    @property
    def core_seconds(self) -> float:
        """Work that arrives per second."""
        return self.per_s * self.count * self.run_s * _TASK_CORES


_KINDS = (
    _Kind("short", 103.0, 8, 0.06, 0),
    _Kind("long", 18.8, 4, 0.9, 2),
    _Kind("middle", 300.0, 2, 0.2, 1),
)


class _Origin:
    """An instance that is always alive."""

    id = "origin"
    live = True
    silent_s = 0.0


@dataclasses.dataclass(slots=True)
class _Result:
    """Results of one play.

    Attributes:
        delay: Mean extra run time of the queues in conflict after the first
            30 s, as a fraction of the run time without neighbours.
        first_detected_s: Time of the first detection, NaN without any.
        all_detected_s: Time by which both directions were detected.
        delays: Delay detected for each pair, at the end.
        false_pairs: Pairs detected that do not interfere.
        in_time: Share of the jobs answered within their objective, by queue.
        refused: Jobs that were not run.
        processor_s: Processor time of the play, with stand-ins and callers.
    """

    delay: float = 0.0
    first_detected_s: float = math.nan
    all_detected_s: float = math.nan
    delays: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    false_pairs: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    in_time: dict[str, float] = dataclasses.field(default_factory=dict)
    refused: int = 0
    processor_s: float = 0.0


class _Play:
    """One play of the load."""

    def __init__(
        self,
        *,
        endpoint_count: int,
        seconds: float,
        conflict: tuple[str, ...],
        enabled: bool,
        load: float = _LOAD,
        seed: int = _SEED,
    ) -> None:
        self._clock = virtual_time.Clock(asyncio.get_running_loop())
        self._fleet = simulated_endpoint.SimulatedFleet(clock=self._clock)
        self._interference = (
            interference_module.Interference(node.Interference(enabled=True))
            if enabled
            else None
        )
        self._random = random.Random(seed)
        self._seconds = seconds
        self._conflict = conflict
        self._answers: dict[str, list[bool]] = {k.queue: [] for k in _KINDS}
        self._calls: set[asyncio.Task[None]] = set()
        self._result = _Result()
        if conflict:
            one, other = conflict
            self._fleet.slowdowns[one, other] = _SLOWDOWN
            self._fleet.slowdowns[other, one] = _SLOWDOWN
        self._fleet.task_factor = lambda task: random.Random(
            task
        ).lognormvariate(-(_DEVIATION**2) / 2, _DEVIATION)
        speeds = 0.0
        for number in range(endpoint_count):
            speed = 0.55 if number % 4 == 3 else 1.2
            speeds += speed
            endpoint = endpoints.Endpoint(
                id=f"e{number}",
                url=f"http://e{number}",
                data_centre="dc1",
                kinds=("service",),
                offer=needs.Need(_CORES, 65_536, 0),
                born_ms=1_000,
            )
            self._fleet.add(endpoint).fault.slowness = 1 / speed
        work = sum(kind.core_seconds for kind in _KINDS)
        self._scale = load * speeds * _CORES / work
        self._scheduler = scheduler_module.Scheduler(
            token=1,
            orders_=self._fleet,
            lease_s=1.0,
            clock=self._clock,
            on_fenced=lambda data_centre: None,
            metrics=job_metrics.JobMetrics(),
            interference=self._interference,
        )

    async def run(self) -> _Result:
        """Runs the load."""
        await asyncio.sleep(1.0)
        self._scheduler.update(
            simulated.endpoint for simulated in self._fleet.endpoints.values()
        )
        leader = asyncio.create_task(self._scheduler.run())
        await asyncio.sleep(0.1)
        began = self._clock.monotonic()
        callers = [asyncio.create_task(self._arrive(kind)) for kind in _KINDS]
        watch = asyncio.create_task(self._watch(began))
        await asyncio.sleep(min(_SETTLED_S, self._seconds / 2))
        run_times = self._fleet.history.run_times = {}
        await asyncio.gather(*callers)
        await asyncio.gather(*self._calls)
        watch.cancel()
        leader.cancel()
        await asyncio.gather(leader, watch, return_exceptions=True)
        result = self._result
        concerned = self._conflict or [kind.queue for kind in _KINDS]
        ratios = [
            took_s / alone_s - 1
            for queue in concerned
            for alone_s, took_s in run_times.get(queue, ())
        ]
        result.delay = statistics.fmean(ratios)
        result.in_time = {
            queue: statistics.fmean(answers)
            for queue, answers in self._answers.items()
        }
        return result

    async def _watch(self, began: float) -> None:
        """Records detections as they come."""
        if self._interference is None:
            return
        result = self._result
        while True:
            await asyncio.sleep(0.1)
            seconds = self._clock.monotonic() - began
            for pair in self._interference.pairs:
                key = pair.delayed, pair.alongside
                if set(key) != set(self._conflict):
                    result.false_pairs.add(key)
                    continue
                result.delays[key] = pair.delay
                if math.isnan(result.first_detected_s):
                    result.first_detected_s = seconds
                if len(result.delays) == 2 and math.isnan(
                    result.all_detected_s
                ):
                    result.all_detected_s = seconds

    async def _arrive(self, kind: _Kind) -> None:
        rng = random.Random(self._random.random())
        end = self._clock.monotonic() + self._seconds
        while self._clock.monotonic() < end:
            await asyncio.sleep(rng.expovariate(kind.per_s * self._scale))
            call = asyncio.create_task(self._call(kind, rng))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, kind: _Kind, rng: random.Random) -> None:
        run_s = kind.run_s * rng.lognormvariate(-0.08, 0.4)
        count = max(1, round(kind.count * rng.lognormvariate(-0.08, 0.4)))
        now = self._clock.monotonic()
        # The slowest of several tasks takes about twice the declared time.
        objective_s = 2.0 * run_s + 0.061
        job = jobs.Job(
            key=f"{rng.getrandbits(64):016x}",
            queue=kind.queue,
            service="service",
            spec=f"{run_s}/{_TASK_CORES}/{kind.queue}",
            indices=tuple(range(count)),
            need=needs.Need(_TASK_CORES, 64, 0),
            estimate_s=run_s,
            priority=kind.priority,
            max_attempts=4,
            required_label="",
            preferred_label="",
            per_endpoint=0,
            objective_at=now + objective_s,
            expires_at=now + 3 * objective_s,
            deadline_at=now + max(2.0, 3 * objective_s),
        )
        outcome = await self._scheduler.submit(job, _Origin())
        took_s = self._clock.monotonic() - now
        in_time = isinstance(outcome, outcomes.Complete)
        if isinstance(outcome, outcomes.NotRun):
            self._result.refused += 1
        self._answers[kind.queue].append(in_time and took_s <= objective_s)


def _play(**options: Any) -> _Result:
    async def run() -> _Result:
        return await _Play(**options).run()

    before = time.process_time()
    result = virtual_time.run(run())
    result.processor_s = time.process_time() - before
    return result


def _compare(conflict: tuple[str, ...]) -> bool:
    """Plays a conflict with detection off and on; returns if the goal is met."""
    options = {
        "endpoint_count": _ENDPOINTS.value,
        "seconds": _SECONDS.value,
        "conflict": conflict,
    }
    off = _play(enabled=False, **options)
    on = _play(enabled=True, **options)
    avoided = 1 - on.delay / off.delay
    met = avoided >= _GOAL and not on.false_pairs
    print(f"conflict of {' and '.join(conflict)}, {_SLOWDOWN:g} times slower")
    for (delayed, alongside), delay in sorted(on.delays.items()):
        print(f"  detected: {delayed} by {alongside}, delay {delay:.0%}")
    print(
        f"  time to first detection {on.first_detected_s:.1f} s, to both"
        f" directions {on.all_detected_s:.1f} s; false pairs:"
        f" {sorted(on.false_pairs) or 'none'}"
    )
    print(
        f"  mean delay of both after 30 s: off {off.delay:.1%}, on"
        f" {on.delay:.1%}; avoided {avoided:.0%} (goal {_GOAL:.0%}):"
        f" {'met' if met else 'NOT MET'}"
    )
    for kind in _KINDS:
        print(
            f"  {kind.queue} in time: off {off.in_time[kind.queue]:.1%},"
            f" on {on.in_time[kind.queue]:.1%}"
        )
    print(f"  refused: off {off.refused}, on {on.refused}")
    print(
        f"  processor time, with stand-ins: off {off.processor_s:.1f} s, on"
        f" {on.processor_s:.1f} s",
        flush=True,
    )
    return met


def _play_calm() -> bool:
    """Plays an hour without interference on a small fleet."""
    seconds = _CALM_SECONDS.value
    result = _play(endpoint_count=8, seconds=seconds, conflict=(), enabled=True)
    print(
        f"no interference, {seconds:g} s on 8 endpoints: false pairs"
        f" {sorted(result.false_pairs) or 'none'}",
        flush=True,
    )
    return not result.false_pairs


def main(_: list[str]) -> int:
    """Runs all parts and returns 1 if a goal is missed."""
    logging.set_verbosity(logging.ERROR)
    pairs = [tuple(_PAIR.value)] if _PAIR.value else _DEFAULT_PAIRS
    met = [_compare(pair) for pair in pairs]
    if _CALM_SECONDS.value:
        met.append(_play_calm())
    return 0 if all(met) else 1


if __name__ == "__main__":
    app.run(main)
