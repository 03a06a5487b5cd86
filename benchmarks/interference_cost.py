"""Measures the processor time of the detection of interference.

Run as `python -m benchmarks.interference_cost`. The load is that of a leader of 110
endpoints of 64 cores: an hour of 1,000 ends per second of 320 queues, of which none
interferes, and rankings of all endpoints for a job. Each endpoint has one run, so
that all are ranked.
"""

import random
import sys
import time

from sesameroad.jobs import active_job
from sesameroad.jobs import interference as interference_module
from sesameroad.jobs import placement
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.leasing import runs
from sesameroad.model import endpoints
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.settings import node

_SEED = 20_261_206
_ENDPOINTS = 110
_QUEUES = 320
_SECONDS = 3_600
_PER_SECOND = 1_000
_DEVIATION = 0.4
_RANKINGS = 2_000


def _pool() -> list[leased_endpoint.LeasedEndpoint]:
    pool = []
    for number in range(_ENDPOINTS):
        leased = leased_endpoint.LeasedEndpoint(
            endpoints.Endpoint(
                id=f"e{number}",
                url="",
                data_centre="dc1",
                kinds=("service",),
                offer=needs.Need(64.0, 65_536, 0),
            ),
            lease=leases.Lease(duration_s=1.0),
        )
        leased.reconciled = True
        pool.append(leased)
    return pool


def _run(task: int, queue: str, *, estimate_s: float, now: float) -> runs.Run:
    return runs.Run(
        task=str(task),
        number=1,
        key="",
        job="",
        index=0,
        cores=32.0,
        memory_mb=0,
        accelerators=0,
        estimate_s=estimate_s,
        spec="",
        token=1,
        sent_at=now,
        queue=queue,
    )


def _measure_ends() -> bool:
    """Prints the time of an end; returns whether there was no false pair."""
    rng = random.Random(_SEED)
    state = interference_module.Interference(node.Interference(enabled=True))
    pool = _pool()
    names = [f"q{number}" for number in range(_QUEUES)]
    weights = [1 / (1 + number) for number in range(_QUEUES)]
    ends = _SECONDS * _PER_SECOND
    took = 0.0
    detected = 0
    now = 1_000.0
    for number, queue in enumerate(rng.choices(names, weights, k=ends)):
        now += 1 / _PER_SECOND
        leased = rng.choice(pool)
        estimate_s = 0.1 * rng.lognormvariate(0, _DEVIATION)
        leased.add(_run(number, queue, estimate_s=estimate_s, now=now))
        if len(leased.runs) <= 2:
            continue
        ended = next(iter(leased.runs.values()))
        leased.remove(ended)
        before = time.process_time()
        state.run_ended(leased, ended, now=now, tasks=1)
        took += time.process_time() - before
        detected += sum(change.detected for change in state.take_changes())
    print(
        f"end of a run: {took / ends * 1e6:.1f} us, that is"
        f" {took / ends * _PER_SECOND:.2%} of a core at {_PER_SECOND} per second;"
        f" state for {_QUEUES} queues: {state.state_size} numbers; false pairs"
        f" in {_SECONDS} s: {detected}",
        flush=True,
    )
    return not detected


def _measure_rankings() -> None:
    """Prints the time of a ranking of all endpoints for one job."""
    now = 1_000.0
    pool = _pool()
    for number, leased in enumerate(pool):
        queue = f"q{number % 3}"
        leased.add(_run(number, queue, estimate_s=0.1, now=now))
    job = jobs.Job(
        key="0" * 16,
        queue="q0",
        service="service",
        spec="",
        indices=(0,),
        need=needs.Need(32.0, 64, 0),
        estimate_s=0.1,
        priority=0,
        max_attempts=1,
        required_label="",
        preferred_label="",
        per_endpoint=0,
        objective_at=now + 1,
        expires_at=now + 3,
        deadline_at=now + 3,
    )
    active = active_job.ActiveJob(job, now=now)
    on = node.Interference(enabled=True)
    apart = node.Interference(enabled=True, apart=(("q0", "q1"),))
    for name, state in (
        ("disabled", None),
        ("no pair of the queue", interference_module.Interference(on)),
        ("a pair of the queue", interference_module.Interference(apart)),
    ):
        candidates = placement.Candidates(pool, now, state)
        before = time.process_time()
        for _ in range(_RANKINGS):
            candidates.rank(active)
        each = (time.process_time() - before) / _RANKINGS
        print(
            f"ranking of {_ENDPOINTS} endpoints, {name}: {each * 1e6:.0f} us",
            flush=True,
        )


def main() -> int:
    """Runs both parts and returns 1 if a pair was detected."""
    _measure_rankings()
    return 0 if _measure_ends() else 1


if __name__ == "__main__":
    sys.exit(main())
