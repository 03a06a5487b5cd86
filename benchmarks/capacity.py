"""Measures the slopes from which docs/CAPACITY.md derives the cost of roles.

Run as `python -m benchmarks.capacity`, or with the names of parts as arguments:
memory, records, idle, documents, control, starts. Each part takes less than a
minute and measures at least four sizes. Listed endpoints need not run, since an
entry connects to an endpoint only when it sends a task there.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import gc
import pathlib
import random
import statistics
import sys
import time
import tracemalloc
import zlib

import msgspec
import uvloop

from benchmarks import cost
from benchmarks import policy_simulation
from sesameroad.configuration import document
from sesameroad.membership import listing as listing_module
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import queue as queue_module
from standins import fleet as fleet_module

_ENDPOINTS = (8, 25, 55, 110)
_TEAMS = (10, 80, 160, 320)
_PEERS = (1, 3, 5, 8)
_RECORDS = (100, 1_000, 5_000, 20_000)
_ENTRIES = (2, 3, 5, 9)
_STARTS_ENDPOINTS = (2, 4, 6, 8)
_DATA_CENTRES = 5
# An entry polls a new list within 1 s and updates connections and slots at once.
_SETTLE_S = 2.5
_IDLE_MEASUREMENT_S = 5.0
_PAYLOAD = b'{"sleep_ms": 1, "value": "castle 6080"}'
_FAR_FUTURE_MS = 2**60
_TASKS_PER_SUBMISSION = 1_100
_TRACE_S = 4.0
_LOAD = 0.8
# With this mean run time, 110 endpoints of 8 slots at 80% load start 5,000 tasks
# per second, a fifth of the peak of 25,000.
_MEAN_RUN_S = 0.14
_SEED = 20_262
_ROUNDS = 3
_CALLS_PER_ROUND = 100


@dataclasses.dataclass(slots=True)
class _Usage:
    """Resident memory of a process, and percentage of a core that it uses."""

    resident_kb: int
    core_percent: float


def _print_row(subject: str, size: str, value: str) -> None:
    print(f"{subject:<44} {size:>16}  {value}", flush=True)


def _slope(points: list[tuple[float, float]]) -> float:
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def _processor_s(pid: int) -> float:
    """Returns the processor time of all threads.

    The schedstat files are more precise than the clock ticks in stat.
    """
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/task").iterdir():
        total += int((path / "schedstat").read_text().split()[0])
    return total / 1e9


async def _usage(
    process: fleet_module.Process, *, seconds: float = 0.0
) -> _Usage:
    pid = process.popen.pid
    before_s, began = _processor_s(pid), time.monotonic()
    await asyncio.sleep(seconds)
    spent_s = _processor_s(pid) - before_s
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident_kb = int(status.partition("VmRSS:")[2].split()[0])
    elapsed = time.monotonic() - began
    return _Usage(resident_kb, 100 * spent_s / elapsed)


def _content(teams: int) -> document.Document:
    base = fleet_module.default_document()
    quotas = {f"team-number-{n:03}": 100 for n in range(teams)}
    return document.Document(
        product=base.product,
        operations=document.Operations(team_quotas=quotas),
    )


def _endpoints(
    count: int, *, data_centre: str = "dc1"
) -> list[endpoints.Endpoint]:
    return [
        endpoints.Endpoint(
            id=f"{data_centre}-endpoint{n}",
            url=f"http://127.0.0.1:{9 + n}",
            data_centre=data_centre,
            worker=f"{data_centre}-worker{n}",
            rack=f"{data_centre}-rack{n // 8}",
        )
        for n in range(count)
    ]


@contextlib.asynccontextmanager
async def _fleet(
    *, entries: int = 1, teams: int = 10, idle: bool = False
) -> AsyncIterator[fleet_module.Fleet]:
    """Starts entries of one data centre with one endpoint.

    An entry without any endpoint would not become ready.
    """
    async with fleet_module.Fleet.open(
        data_centres=1,
        entries_each=entries,
        endpoints_each=1,
        content=_content(teams),
    ) as fleet:
        await asyncio.sleep(_SETTLE_S if idle else 1.0)
        yield fleet


async def _list_endpoints(fleet: fleet_module.Fleet, count: int) -> None:
    await fleet.set_listing(
        listing_module.Listing(
            version=fleet.listing.version + 1,
            entries=fleet.listing.entries,
            endpoints=tuple(_endpoints(count)),
        )
    )
    await asyncio.sleep(_SETTLE_S)


async def _memory() -> None:
    """Measures an idle entry by number of endpoints and of teams."""
    async with _fleet(idle=True) as fleet:
        [entry] = fleet.entries.values()
        memory, processor = [], []
        for count in (1, *_ENDPOINTS):
            if count > 1:
                await _list_endpoints(fleet, count)
            used = await _usage(entry, seconds=_IDLE_MEASUREMENT_S)
            memory.append((count, used.resident_kb))
            processor.append((count, used.core_percent))
            _print_row(
                "one entry, idle",
                f"{count} endpoints",
                f"{used.resident_kb / 1024:.1f} MiB,"
                f" {used.core_percent:.2f} % of a core",
            )
    _print_row("slope", "an endpoint", f"{_slope(memory):.1f} KiB")
    _print_row("slope", "an endpoint", f"{_slope(processor):.4f} % of a core")
    memory = []
    for teams in _TEAMS:
        async with _fleet(teams=teams) as fleet:
            used = await _usage(*fleet.entries.values())
        memory.append((teams, used.resident_kb))
        _print_row(
            "one entry, idle, 1 endpoint",
            f"{teams} teams",
            f"{used.resident_kb / 1024:.1f} MiB",
        )
    _print_row("slope", "a team", f"{_slope(memory):.2f} KiB")


async def _idle() -> None:
    """Measures idle entries with 8 endpoints by number of peers."""
    memory, processor = [], []
    for peers in _PEERS:
        async with _fleet(entries=peers + 1) as fleet:
            await _list_endpoints(fleet, _ENDPOINTS[0])
            used = await asyncio.gather(
                *(
                    _usage(e, seconds=_IDLE_MEASUREMENT_S)
                    for e in fleet.entries.values()
                )
            )
        resident_kb = statistics.mean(u.resident_kb for u in used)
        percents = [u.core_percent for u in used]
        memory.append((peers, resident_kb))
        processor.append((peers, statistics.mean(percents)))
        _print_row(
            "idle entry process, 8 endpoints",
            f"{peers} peers",
            f"{resident_kb / 1024:.1f} MiB, {statistics.mean(percents):.2f} % of"
            f" a core, highest {max(percents):.2f} %",
        )
    _print_row("slope", "a peer", f"{_slope(memory):.1f} KiB")
    _print_row("slope", "a peer", f"{_slope(processor):.4f} % of a core")


def _ledger() -> ledger_module.Ledger:
    return ledger_module.Ledger(
        clock=clocks.Clock(),
        max_records=10**6,
        max_marks=10**6,
        max_held_bytes=2**40,
        incarnation="00ff",
    )


def _request(number: int) -> work_module.Request:
    key = f"sr1.dc1.0123456789abcdef.1764800000000.{number:016x}.{'0' * 32}"
    # Each payload is a separate object, as in received bodies.
    task = work_module.Task(bytes(bytearray(_PAYLOAD)))
    return work_module.Request(
        key, "team-number-001", "lookup", _FAR_FUTURE_MS, task
    )


def _submission(number: int, count: int) -> work_module.Submission:
    tasks = tuple(
        work_module.Task(bytes(bytearray(_PAYLOAD))) for _ in range(count)
    )
    return work_module.Submission(
        f"job{number}", "team-number-001", "lookup", _FAR_FUTURE_MS, tasks
    )


def _open_record(
    ledger: ledger_module.Ledger, work: work_module.Work
) -> ledger_module.Record:
    return ledger.open(
        work, digest="0" * 32, expiry_ms=_FAR_FUTURE_MS, remember=True
    )


def _open_records(count: int) -> object:
    ledger = _ledger()
    for number in range(count):
        _open_record(ledger, _request(number))
    return ledger


def _closed_records(count: int) -> object:
    ledger = _ledger()
    for number in range(count):
        record = _open_record(ledger, _request(number))
        answer = bytes(bytearray(_PAYLOAD))
        ledger.finish(record, outcomes.Complete((answer,)))
    return ledger


def _mark_keys(count: int) -> object:
    ledger = _ledger()
    for number in range(count):
        ledger.refuse(
            _request(number).key,
            expiry_ms=_FAR_FUTURE_MS,
            cause=outcomes.Cause.OVERLOAD,
        )
    return ledger


def _fill_queue(queued_works: list[work_module.Work]) -> object:
    ledger, queue, pending_groups = _ledger(), queue_module.Queue(), []
    queue.regroup(lambda kind, need: frozenset())
    for work in queued_works:
        record = _open_record(ledger, work)
        group = [
            pending_task.PendingTask(record, n, 0.0)
            for n in range(len(work.tasks))
        ]
        for pending in group:
            queue.push(pending, now=0.0)
        pending_groups.append(group)
    return ledger, queue, pending_groups


def _queued_requests(count: int) -> object:
    return _fill_queue([_request(number) for number in range(count)])


def _queued_tasks(count: int) -> object:
    sizes = [
        min(_TASKS_PER_SUBMISSION, count - first)
        for first in range(0, count, _TASKS_PER_SUBMISSION)
    ]
    return _fill_queue([_submission(n, size) for n, size in enumerate(sizes)])


def _traced_bytes(build: Callable[[int], object], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    built = build(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


async def _records() -> None:
    """Measures the memory that Python allocates for each record."""
    for name, build in (
        ("open record of a request", _open_records),
        ("closed record with a 39-byte answer", _closed_records),
        ("mark of a refused key", _mark_keys),
        ("queued request, record included", _queued_requests),
        ("queued task of a submission", _queued_tasks),
    ):
        points = [(count, _traced_bytes(build, count)) for count in _RECORDS]
        bytes_each = " / ".join(f"{size / count:.0f}" for count, size in points)
        sizes = "/".join(f"{count}" for count in _RECORDS)
        _print_row(
            name, sizes, f"{bytes_each} B each, slope {_slope(points):.0f} B"
        )


def _milliseconds(call: Callable[[], object]) -> float:
    """Returns the mean processor time of a call, as the minimum of all rounds."""
    rounds_ms = []
    for _ in range(_ROUNDS):
        began = time.process_time()
        for _ in range(_CALLS_PER_ROUND):
            call()
        rounds_ms.append((time.process_time() - began) / _CALLS_PER_ROUND * 1e3)
    return min(rounds_ms)


async def _documents() -> None:
    """Measures size and decoding of the configuration and the instance list."""
    history = tuple(
        document.Change(
            n,
            "operations-lead",
            document.Role.OPERATIONS,
            f"{n:016x}",
            f"set quota of team team-number-{n:03} to 100",
        )
        for n in range(document.MAX_HISTORY)
    )
    for teams in _TEAMS:
        version = document.Version(
            number=100,
            author="operations-lead",
            role=document.Role.OPERATIONS,
            change_id="0" * 16,
            summary="set quota",
            document=_content(teams),
            history=history,
        )
        text = version.to_json()
        decode_ms = _milliseconds(lambda: document.Version.from_json(text))  # noqa: B023
        check_ms = _milliseconds(version.document.check)
        _print_row(
            "configuration with 32 changes",
            f"{teams} teams",
            f"{len(text)} B, deflated {len(zlib.compress(text))} B, decode"
            f" {decode_ms:.3f} ms, check {check_ms:.3f} ms",
        )
    for each in _ENDPOINTS:
        listing = listing_module.Listing(
            version=1,
            endpoints=tuple(
                endpoint
                for n in range(_DATA_CENTRES)
                for endpoint in _endpoints(each, data_centre=f"dc{n}")
            ),
        )
        text = msgspec.json.encode(listing)
        decode_ms = _milliseconds(
            lambda: msgspec.json.decode(text, type=listing_module.Listing)  # noqa: B023
        )
        _print_row(
            "instance list",
            f"{each * _DATA_CENTRES} endpoints",
            f"{len(text)} B, deflated {len(zlib.compress(text))} B, decode"
            f" {decode_ms:.3f} ms",
        )


def _arrivals(entries: int, live: int) -> list[policy_simulation.Arrival]:
    """Returns Poisson arrivals of 320 teams that use 80% of all slots."""
    rng = random.Random(_SEED)
    slots = sum(e.slots for e in _endpoints(live))
    rate = _LOAD * slots / _MEAN_RUN_S
    kinds = tuple(fleet_module.default_document().product.kinds)
    arrivals, at = [], 0.0
    while at < _TRACE_S:
        at += rng.expovariate(rate)
        arrivals.append(
            policy_simulation.Arrival(
                at,
                rng.randrange(entries),
                rng.choice(kinds),
                f"team-number-{rng.randrange(_TEAMS[-1]):03}",
                rng.uniform(0.5, 1.5) * _MEAN_RUN_S,
            )
        )
    return arrivals


async def _control() -> None:
    """Measures the traffic of demand reports and allocations in virtual time.

    Heartbeats are not included; benchmarks.control measures them.
    """
    sizes = [(entries, _ENDPOINTS[-1]) for entries in _ENTRIES]
    sizes += [(_ENTRIES[2], live) for live in _ENDPOINTS[:-1]]
    for entries, live in sizes:
        last = policy_simulation.Arrival(
            _TRACE_S, 0, "lookup", "team-number-001", 0.1
        )
        for state, trace in (
            ("idle", [last]),
            (f"{_LOAD:.0%} load", _arrivals(entries, live)),
        ):
            # The virtual-time loop cannot run in a thread with a running loop.
            report = await asyncio.to_thread(
                policy_simulation.simulate,
                trace,
                content=_content(_TEAMS[-1]),
                live=_endpoints(live),
                entries=entries,
            )
            sent = sorted(
                report.message_bytes[n] / report.seconds for n in range(entries)
            )
            number = sum(report.messages.values()) / report.seconds
            _print_row(
                f"division of slots, {state}, 320 teams",
                f"{entries} entries/{live}",
                f"highest {sent[-1]:.0f} B/s, others"
                f" {statistics.mean(sent[:-1]):.0f} B/s, {number:.0f} messages/s"
                " in all",
            )


async def _starts() -> None:
    """Measures the processor time of task starts by number of endpoints."""
    for count in _STARTS_ENDPOINTS:
        costs = await cost.measure(endpoints=count, rounds=_ROUNDS)
        bare, task, request = (
            statistics.median(c)
            for c in (costs.bare, costs.task, costs.request)
        )
        _print_row(
            "task start at an entry",
            f"{count} endpoints",
            f"task {task:.0f} us, request {request:.0f} us, bare POST"
            f" {bare:.0f} us; {costs.held_bytes:.0f} B resident a task held",
        )


_PARTS = {
    "memory": _memory,
    "records": _records,
    "idle": _idle,
    "documents": _documents,
    "control": _control,
    "starts": _starts,
}


def main(names: list[str] | None = None) -> None:
    """Runs all parts, or those given as arguments, one after another."""
    for name in names or _PARTS:
        began = time.monotonic()
        uvloop.run(_PARTS[name]())
        _print_row(f"-- {name}", "", f"{time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main(sys.argv[1:])
