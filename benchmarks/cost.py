"""Measures processor time and memory of an entry for each task.

Run as `python -m benchmarks.cost`. The baseline is a plain HTTP client that
posts to the endpoint stand-ins directly. Both send the same bytes to the same
stand-ins with the same number of connections, in alternating rounds.
"""

import asyncio
import dataclasses
import os
import pathlib
import resource
import statistics

import aiohttp
import msgspec
import uvloop

from sesameroad.routing import sender
from standins import fleet as fleet_module

_ENDPOINTS = 4
_CONNECTIONS = 8 * _ENDPOINTS
# The minima over all rounds are reported as well, since other load on the
# machine affects them least.
_ROUNDS = 8
_TASKS = 1_100
_SUBMISSIONS = 3
# Stays within the about 6,000 tasks of this kind that a team may queue with the
# default limits.
_HELD_SUBMISSIONS = 5
_PAYLOAD = {"sleep_ms": 1, "value": "castle 6080"}
_TICKS = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True)
class Costs:
    """Cost of a task at an entry and at the baseline client.

    Attributes:
        bare: Processor time of the client for each POST, in microseconds by
            round.
        task: Processor time of the entry for each task of a submission, in
            microseconds by round.
        request: Processor time of the entry for each request, in microseconds
            by round.
        held_bytes: Resident bytes for each task that is queued or being run.
    """

    bare: list[float]
    task: list[float]
    request: list[float]
    held_bytes: float


def _processor_time_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    return sum(int(field) for field in fields.split()[11:13]) / _TICKS


def _resident_kb(pid: int) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


async def _bare_post_us(urls: list[str], count: int) -> float:
    """Returns the processor time of the client for each POST, in microseconds."""
    body = msgspec.json.encode(_PAYLOAD)
    connector = aiohttp.TCPConnector(limit=0)
    remaining = iter(range(count))

    async def send(session: aiohttp.ClientSession, url: str) -> None:
        for number in remaining:
            headers = {
                sender.TASK_HEADER: f"bare/{number}",
                sender.ATTEMPT_HEADER: str(number),
                sender.DEADLINE_HEADER: "0",
                "Content-Type": "application/json",
            }
            async with session.post(url, data=body, headers=headers) as answer:
                await answer.read()

    async with aiohttp.ClientSession(connector=connector) as session:
        before = resource.getrusage(resource.RUSAGE_SELF)
        await asyncio.gather(
            *(
                send(session, f"{urls[n % len(urls)]}/v1/run")
                for n in range(_CONNECTIONS)
            )
        )
        after = resource.getrusage(resource.RUSAGE_SELF)
    seconds = after.ru_utime + after.ru_stime
    seconds -= before.ru_utime + before.ru_stime
    return seconds / count * 1e6


async def _submit(
    session: aiohttp.ClientSession, url: str, *, sleep_ms: int
) -> None:
    body = {
        "team": "estates",
        "kind": "appraisal",
        "tasks": [{"payload": {**_PAYLOAD, "sleep_ms": sleep_ms}}] * _TASKS,
    }
    async with session.post(f"{url}/v1/submissions", json=body) as answer:
        assert answer.status == 200, await answer.text()
        await answer.read()


async def _submitted_task_us(
    session: aiohttp.ClientSession, entry: fleet_module.Process
) -> float:
    before = _processor_time_s(entry.popen.pid)
    for _ in range(_SUBMISSIONS):
        await _submit(session, entry.url, sleep_ms=1)
    spent = _processor_time_s(entry.popen.pid) - before
    return spent / (_SUBMISSIONS * _TASKS) * 1e6


async def _request_us(
    session: aiohttp.ClientSession, entry: fleet_module.Process
) -> float:
    body = {"team": "storefront", "kind": "lookup", "payload": _PAYLOAD}
    remaining = iter(range(_TASKS))

    async def send() -> None:
        for _ in remaining:
            async with session.post(
                f"{entry.url}/v1/requests", json=body
            ) as answer:
                assert answer.status == 200, await answer.text()
                await answer.read()

    before = _processor_time_s(entry.popen.pid)
    await asyncio.gather(*(send() for _ in range(_CONNECTIONS)))
    return (_processor_time_s(entry.popen.pid) - before) / _TASKS * 1e6


async def _held_bytes(
    session: aiohttp.ClientSession, entry: fleet_module.Process
) -> float:
    """Returns resident bytes for each task that is queued or being run."""
    before = _resident_kb(entry.popen.pid)
    async with asyncio.TaskGroup() as group:
        for _ in range(_HELD_SUBMISSIONS):
            group.create_task(_submit(session, entry.url, sleep_ms=20))
        await asyncio.sleep(2)
        during = _resident_kb(entry.popen.pid)
    return (during - before) * 1_024 / (_HELD_SUBMISSIONS * _TASKS)


async def measure(
    *, endpoints: int = _ENDPOINTS, rounds: int = _ROUNDS
) -> Costs:
    """Measures an entry with a number of endpoints of 8 connections each."""
    async with (
        fleet_module.Fleet.open(
            data_centres=1, endpoints_each=endpoints
        ) as fleet,
        aiohttp.ClientSession() as session,
    ):
        entry = next(iter(fleet.entries.values()))
        urls = [process.url for process in fleet.endpoints.values()]
        # Measured first, since the entry would reuse memory freed by the rounds.
        held = await _held_bytes(session, entry)
        costs = Costs([], [], [], held)
        for round_number in range(rounds + 1):
            bare = await _bare_post_us(urls, _SUBMISSIONS * _TASKS)
            task = await _submitted_task_us(session, entry)
            request = await _request_us(session, entry)
            if round_number == 0:
                continue  # The first round warms up connections and code.
            costs.bare.append(bare)
            costs.task.append(task)
            costs.request.append(request)
        return costs


async def main() -> None:
    """Prints medians and the ratios to the baseline."""
    costs = await measure()
    bare = statistics.median(costs.bare)
    print(f"bare POST: {bare:.0f} us (median of {_ROUNDS})")
    for name, spent in (("task", costs.task), ("request", costs.request)):
        ratios = [a / b for a, b in zip(spent, costs.bare, strict=True)]
        print(
            f"{name}: {statistics.median(spent):.0f} us,"
            f" {statistics.median(ratios):.2f} times the bare POST"
            f" ({min(ratios):.2f} to {max(ratios):.2f}),"
            f" {min(spent) / min(costs.bare):.2f} of the minima"
        )
    print(f"memory of a task queued or in flight: {costs.held_bytes:.0f} bytes")


if __name__ == "__main__":
    uvloop.run(main())
