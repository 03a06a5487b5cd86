"""A new leader starts tasks on endpoints that have long been draining."""

import asyncio
import itertools
import pathlib
import random
import signal

from review import scene

_ENDPOINTS = 14
_DRAINING = 2
_ROUNDS = 7
_JOBS_PER_S = 50
# A start, and the time from the report to it.
Late = tuple[tuple[float, str, str], float]
# The leader is killed this long after the store has accepted the reports.
_KILL_AFTER_S = 1.8
# It is down until the endpoints have left, so that it starts nothing then.
_LEAVE_AFTER_S = 4.2
# Time from the start of an instance until it is in touch and ready.
_SETTLE_S = 3.5


async def _offer_load(deployment: scene.Scene) -> None:
    """Sends jobs to all instances that are up, as the balancer would."""
    random_ = random.Random(7)
    # The kinds of the site, but for the longest one.
    bodies = [scene.job(count=2, run_s=0.2)] * 3 + [
        scene.job(count=8, run_s=0.06)
    ]
    tasks = set()
    for number in itertools.count():
        up = [i for i in deployment.instances if i.running]
        task = asyncio.create_task(
            deployment.call(
                "POST",
                random_.choice(up),
                f"{number:016x}",
                body=random_.choice(bodies),
                timeout_s=2.0,
                quiet=True,
            )
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / _JOBS_PER_S)


async def _wait_for_list_read(
    deployment: scene.Scene, instance: scene.Instance
) -> None:
    """Waits until an instance has just read the list of endpoints."""
    before = deployment.list_reads.get(instance.name)
    while deployment.list_reads.get(instance.name) == before:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)


async def _play_round(
    deployment: scene.Scene, names: list[str], successor: scene.Instance | None
) -> tuple[list[Late], scene.Instance]:
    """Drains endpoints and kills the leader.

    Returns:
        The late starts, and the leader that was killed.
    """
    record = deployment.record
    leader = await deployment.find_leader()
    if successor in (None, leader):
        successor = next(i for i in deployment.instances if i is not leader)
    await _wait_for_list_read(deployment, successor)
    for name in names:
        await deployment.write_row(name, state="draining")
    acknowledged_at = record.now
    record.add(f"the store has accepted that {names} are draining")

    async def wait_until(seconds: float) -> None:
        await asyncio.sleep(acknowledged_at + seconds - record.now)

    await wait_until(_KILL_AFTER_S)
    if scene.trouble():
        leader.signal(signal.SIGKILL)
        leader.end()
    await wait_until(_LEAVE_AFTER_S)
    late = [
        (entry, round(entry[0] - acknowledged_at, 3))
        for entry in deployment.history.started
        if entry[2] in names and entry[0] > acknowledged_at + scene.DRAIN_S
    ]
    record.add(f"starts there over drain-ms after that: {late}")
    for name in names:
        await deployment.remove_endpoint(name)
        await deployment.add_endpoint()
    if scene.trouble():
        leader.start()
    await asyncio.sleep(_SETTLE_S)
    return late, leader


async def play(folder: pathlib.Path) -> int:
    """Plays the case and returns its exit code."""
    async with scene.Scene(
        folder=folder, instance_count=4, endpoint_count=_ENDPOINTS
    ) as deployment:
        record = deployment.record
        load = asyncio.create_task(_offer_load(deployment))
        await asyncio.sleep(4.0)
        late = []
        # The instance that was killed last usually leads next.
        successor = None
        for _ in range(_ROUNDS):
            names = sorted(deployment.endpoints)[:_DRAINING]
            found, successor = await _play_round(deployment, names, successor)
            late += found
        load.cancel()
        await asyncio.sleep(2.5)
        statuses = [status for *_, status in deployment.answers]
        for status in sorted(set(statuses)):
            record.add(f"answers {status}: {statuses.count(status)}")
        record.add(f"late starts: {len(late)}")
        return scene.BROKEN if late else scene.HELD


if __name__ == "__main__":
    scene.run(pathlib.Path(__file__).parent, play)
