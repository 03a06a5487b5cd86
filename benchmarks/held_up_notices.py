"""Notices of starts without an answer, and what a killed leader leaves behind.

usage: python -m benchmarks.held_up_notices

It prints the size and the processor time of a notice for each peer. Then, in virtual
time, a share of the starts is held up for up to 12 s. Each 0.1 s, for each leader,
it counts the starts that are held up and that the leader still waits for, of
which it could tell nobody if it were killed now, and the jobs with a task that
waits or is on its way, which the next leader would have to hold back in order not
to run such a task a second time.
"""

import asyncio
import statistics
import sys
import time

from absl import logging

from sesameroad.leasing import runs
from sesameroad.model import held_up
from sesameroad.peering import codec
from sesameroad.peering import messages
from tests import _load

_SEEDS = (1, 2, 3)
_SECONDS = 12.0
_HELD_S = 12.0
_PERIOD_S = 0.1
# Answers that are not held up take 1 ms.
_USUAL_S = 0.01
_REPEATS = 1_000
# Share of the starts that are held up, and factor of the arrival rates.
_CASES = ((0.0, 1.0), (0.02, 1.0), (0.2, 1.0), (0.02, 1.5))


def _measure_notice(count: int) -> str:
    start = held_up.HeldUpStart(3, "i-fffa5a4ca8", 12.7)
    notice = messages.HeldUpStarts(
        {f"{number:016x}": (start,) for number in range(count)}
    )
    item = codec.encode_item(notice)
    took_us = []
    for step in (
        lambda: codec.encode_item(notice),
        lambda: codec.decode_item(item),
    ):
        began = time.perf_counter()
        for _ in range(_REPEATS):
            step()
        took_us.append((time.perf_counter() - began) / _REPEATS * 1e6)
    return (
        f"notice of {count} starts: {item.ByteSize()} B, encoded in"
        f" {took_us[0]:.0f} us, decoded in {took_us[1]:.0f} us"
    )


def _is_awaited(run: runs.Run, now: float) -> bool:
    return (
        run.state is runs.State.STARTING
        and run.sent_at > 0
        and now - run.sent_at > _USUAL_S
    )


def _measure(share: float, scale: float) -> str:
    starts: list[int] = []
    jobs: list[int] = []

    async def sample(load: _load.Load) -> None:
        load.fleet.late_s = _HELD_S
        while True:
            await asyncio.sleep(_PERIOD_S)
            now = load.clock.monotonic()
            for scheduler in load.schedulers.values():
                starts.append(
                    sum(
                        _is_awaited(run, now)
                        for leased in scheduler._pool
                        for run in leased.runs.values()
                    )
                )
                jobs.append(
                    sum(
                        bool(active.waiting)
                        or any(
                            run.state is runs.State.STARTING
                            for run in active.runs.values()
                        )
                        for active in scheduler._table
                    )
                )

    for seed in _SEEDS:
        load = _load.Load(
            seed=seed, seconds=_SECONDS, late_share=share, scale=scale
        )
        load.run(sample)
    return (
        f"{share:5.2f} x{scale:3.1f}  at a leader: held-up starts that it waits for"
        f" {statistics.mean(starts):.3f}, at most {max(starts)};"
        f" jobs to hold back {statistics.mean(jobs):.2f}, at most {max(jobs)}"
        f"  ({len(starts)} moments)"
    )


def main() -> None:
    """Prints the figures of each case."""
    logging.set_verbosity(logging.FATAL)
    for count in (1, 100):
        print(_measure_notice(count))
    for share, scale in _CASES:
        print(_measure(share, scale))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
