"""A client cancels a job at the entry that took it; its POST isn't answered."""

import asyncio

from review import bed as bed_module

_RETRANSMIT_S = 1.3
_RUN_S = 0.5
_RESENT = (0, 502, 504)


async def play(bed: bed_module.Bed, trouble: bool) -> list[str]:
    """Returns how the rule UNASKED was broken."""
    await bed.configure()
    for number in range(2):
        await bed.add_executor(f"x{number:02}a7", labels=("a", f"r1-{number}"))
    first, second = await bed.start_entries(2)
    key = bed_module.new_key()

    async def submit(entry: bed_module.Entry) -> bed_module.Answer:
        return await bed.submit(
            entry, key, count=60, cpu=10_000, run_s=_RUN_S, timeout_s=60
        )

    # Two tasks run at a time, so that the job takes 15 s.
    job = asyncio.create_task(submit(first))
    await asyncio.sleep(1.0)
    if not trouble:
        answer = await job
        return [] if answer.status == 200 else ["the job was not served"]
    cancelled = await bed.call("DELETE", first, key, timeout_s=5)
    answer = await job
    if answer.status in _RESENT:
        # A broken connection: the job is sent again, to any node.
        await asyncio.sleep(_RETRANSMIT_S)
        answer = await submit(second)
    late = [
        start
        for executor in bed.executors
        for start in executor.starts
        if start.at > cancelled.at + bed_module.CANCEL_S
    ]
    if late and cancelled.status == 200:
        return [
            f"UNASKED: {len(late)} tasks of the job were started later than"
            f" {bed_module.CANCEL_S:.0f} s after its cancelling had been"
            " acknowledged with 200"
        ]
    return []


if __name__ == "__main__":
    bed_module.main(play, __file__)
