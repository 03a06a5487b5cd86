"""Measures the time from the loss of a leader to the next start, on processes.

usage: python -m benchmarks.takeover_under_load [--rounds=N]

Four instances and 14 endpoints, as in `review.scene`, get 50 jobs a second. The leader
is killed in each round. The store answers in 4 ms. The times are those from the kill and
from the next claim to the first start by the next leader.
"""

import asyncio
import datetime
import json
import logging
import pathlib
import random
import signal
import statistics
import tempfile
import time

from absl import app
from absl import flags

from review import scene

_ROUNDS = flags.DEFINE_integer("rounds", 20, "Number of leaders to kill.")

_JOBS_PER_S = 50
_SETTLE_S = 3.5
_TIMEOUT_S = 2.0


async def _offer_load(deployment: scene.Scene) -> None:
    """Sends jobs to all instances that are up."""
    random_ = random.Random(7)
    body = scene.job(count=2, run_s=0.2)
    calls = set()
    while True:
        up = [i for i in deployment.instances if i.running]
        call = asyncio.create_task(
            deployment.call(
                "POST",
                random_.choice(up),
                f"{random_.getrandbits(64):016x}",
                body=body,
                timeout_s=_TIMEOUT_S,
                quiet=True,
            )
        )
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(1 / _JOBS_PER_S)


def _claimed_at(instances: list[scene.Instance], since: float) -> float | None:
    """Returns the time of day of the first claim since then, by the logs."""
    times = []
    for instance in instances:
        text = instance._log_path.read_text(errors="replace")
        for line in text.splitlines():
            if '"stewardship claimed"' not in line:
                continue
            at = datetime.datetime.strptime(
                json.loads(line)["time"], "%Y-%m-%d %H:%M:%S,%f"
            ).timestamp()
            if at >= since:
                times.append(at)
    return min(times, default=None)


async def _play_round(deployment: scene.Scene) -> tuple[float, float]:
    """Kills the leader.

    Returns:
        The seconds from the kill, and from the next claim, to the first start.
    """
    record, history = deployment.record, deployment.history
    leader = await deployment.find_leader()
    others = [i for i in deployment.instances if i is not leader]
    day_offset_s = time.time() - record.now
    leader.signal(signal.SIGKILL)
    leader.end()
    killed_at = record.now
    async with asyncio.timeout(_SETTLE_S):
        claimed_at = None
        while claimed_at is None:
            await asyncio.sleep(0.05)
            claimed_at = _claimed_at(others, killed_at + day_offset_s)
    claimed_at -= day_offset_s
    # Orders of the killed leader arrive long before the claim.
    first = []
    async with asyncio.timeout(_SETTLE_S):
        while not first:
            await asyncio.sleep(0.05)
            first = [at for at, *_ in history.started if at >= claimed_at]
    leader.start()
    await asyncio.sleep(_SETTLE_S)
    return first[0] - killed_at, first[0] - claimed_at


async def _play(folder: pathlib.Path) -> list[tuple[float, float]]:
    async with scene.Scene(
        folder=folder, instance_count=4, endpoint_count=14
    ) as deployment:
        load = asyncio.create_task(_offer_load(deployment))
        await asyncio.sleep(_SETTLE_S)
        times = [await _play_round(deployment) for _ in range(_ROUNDS.value)]
        load.cancel()
        await asyncio.sleep(_TIMEOUT_S)
    return times


def main(_: list[str]) -> None:
    """Prints the median and the worst of the times."""
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        times = asyncio.run(_play(pathlib.Path(folder)))
    for name, values in zip(
        ("from the kill", "from the claim"),
        zip(*times, strict=True),
        strict=True,
    ):
        print(
            f"first start {name}: median {statistics.median(values):.3f} s,"
            f" worst {max(values):.3f} s, of {len(values)}"
        )


if __name__ == "__main__":
    app.run(main)
