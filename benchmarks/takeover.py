"""Measures the time from the loss of the leader to the first start by the next one.

usage: python -m benchmarks.takeover [--rounds=N] [--instances=N]

Kills the leader, sends a job to another instance at once, and waits for its first start
on a stand-in endpoint; then starts the killed instance again. Median and worst of all
rounds are of this machine with whatever else runs on it.
"""

import asyncio
import json
import signal
import statistics
import time

from absl import app
from absl import flags
import aiohttp

from standins import deployment as deployment_module
from standins import simulated_endpoint

_ROUNDS = flags.DEFINE_integer("rounds", 20, "Number of takeovers.")
_INSTANCES = flags.DEFINE_integer("instances", 5, "Number of instances.")

_ENDPOINTS = 6
# Time in which a new instance is linked to all others and has been announced.
_SETTLE_S = 2.5
_TIMEOUT_S = 10.0


class _History(simulated_endpoint.RunHistory):
    """Runs on all endpoints, with the time of the first start of each task."""

    def __init__(self) -> None:
        super().__init__()
        self.first_at: dict[str, float] = {}

    def begin(self, task: str, endpoint_id: str) -> None:
        self.first_at.setdefault(task, time.monotonic())
        super().begin(task, endpoint_id)


def _find_leader(
    deployment: deployment_module.Deployment,
) -> deployment_module.Instance:
    claims = {}
    for instance in deployment.instances:
        for text in instance.log.read_text().splitlines():
            if '"stewardship claimed"' in text:
                claims[instance.name] = json.loads(text)["time"]
    return max(deployment.instances, key=lambda i: claims.get(i.name, ""))


async def _post(
    session: aiohttp.ClientSession,
    instance: deployment_module.Instance,
    key: str,
) -> int:
    step = {"count": 2, "cpu": 1_000, "est-runtime-ms": 3_000}
    async with session.post(
        f"http://{instance.web}{deployment_module.PATH_PREFIX}{key}",
        json={"spec": "0.05/1.0", "steps": [step], "best-effort": True},
        headers={"Host": deployment_module.HOST, "Timeout-Ms": "9000"},
    ) as answer:
        await answer.read()
        return answer.status


async def _measure() -> list[float]:
    deployment = deployment_module.Deployment(
        instance_count=_INSTANCES.value,
        endpoint_count=_ENDPOINTS,
        data_centres=("dc1", "dc2", "dc3"),
    )
    history = deployment.history = _History()
    waits = []
    async with deployment, aiohttp.ClientSession() as session:
        for number in range(_ROUNDS.value):
            await asyncio.sleep(_SETTLE_S)
            leader = _find_leader(deployment)
            others = [i for i in deployment.instances if i is not leader]
            killed_at = time.monotonic()
            leader.signal(signal.SIGKILL)
            leader.wait()
            key = f"{number:016x}"
            async with asyncio.timeout(_TIMEOUT_S):
                status = await _post(session, others[0], key)
            started = [
                at
                for task, at in history.first_at.items()
                if task.startswith(key)
            ]
            if started:
                waits.append(min(started) - killed_at)
            else:
                print(f"round {number}: answered {status}, no start")
            leader.start()
            await deployment.wait_ready(leader)
    return waits


def main(_: list[str]) -> None:
    """Prints the median and the worst time."""
    waits = asyncio.run(_measure())
    print(
        f"{len(waits)} takeovers, {_INSTANCES.value} instances: first start after"
        f" a median of {statistics.median(waits):.3f} s, worst {max(waits):.3f} s"
    )


if __name__ == "__main__":
    app.run(main)
