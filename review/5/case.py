"""An executor begins to drain while many starts to it are queued at the leader."""

import asyncio

from review import bed as bed_module

_JOBS = 3
_TASKS = 1_100


async def play(bed: bed_module.Bed, trouble: bool) -> list[str]:
    """Returns how the rule DRAIN was broken."""
    await bed.configure()
    for number in range(8):
        await bed.add_executor(f"x{number:02}a7", labels=("a", f"r1-{number}"))
    entries = await bed.start_entries(2)
    jobs = [
        asyncio.create_task(
            bed.submit(
                entries[number % 2],
                bed_module.new_key(),
                count=_TASKS,
                cpu=5,
                run_s=0.3,
                timeout_s=60,
            )
        )
        for number in range(_JOBS)
    ]
    await asyncio.sleep(0.7)
    # The one on which most tasks have been started so far.
    leaving = max(bed.executors, key=lambda executor: len(executor.starts))
    drained_at = 0.0
    if trouble:
        drained_at = await leaving.drain()
    await asyncio.gather(*jobs)
    if not trouble:
        return []
    late = [
        start
        for start in leaving.starts
        if start.at > drained_at + bed_module.DRAIN_S
    ]
    if late:
        return [
            f"DRAIN: {len(late)} tasks were started on {leaving.id} later than"
            f" {bed_module.DRAIN_S:.0f} s after the store had accepted that it is"
            f" draining, the last one {late[-1].at - drained_at:.2f} s after"
        ]
    return []


if __name__ == "__main__":
    bed_module.main(play, __file__)
