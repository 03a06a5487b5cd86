"""Cost of the rules for starts without an answer, in virtual time.

usage: python -m benchmarks.late_starts

A share of the starts is held up for up to 12 s, and endpoints crash and are back under
their ids after 0.2 to 1 s. The rules differ in where the task of such a start may
start before it can no longer come: anywhere, at the same endpoint
(`jobs.held_up_starts`), or nowhere.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
import sys
import time
from typing import Any
from unittest import mock

from absl import logging

from sesameroad.jobs import held_up_starts
from sesameroad.leasing import orders
from standins import simulated_endpoint
from tests import _load

_SEEDS = (1, 2, 3)
_SECONDS = 12.0
_HELD_S = 12.0
_CRASH_PERIOD_S = 0.4
_SHARES = (0.0, 0.02, 0.2)


def _patched(name: str) -> contextlib.AbstractContextManager[object]:
    kind = held_up_starts.HeldUpStarts
    return mock.patch.object(kind, name, lambda *_: None)


_RULES: dict[str, Callable[[], contextlib.AbstractContextManager[object]]] = {
    "anywhere": lambda: _patched("add"),
    "same endpoint": contextlib.nullcontext,
    "nowhere": lambda: _patched("retry"),
}


def _start_if_up(
    start: Callable[..., orders.Answer],
) -> Callable[..., orders.Answer]:
    """Returns starts that have no effect while their endpoint is down."""

    def start_if_up(
        endpoint: simulated_endpoint.SimulatedEndpoint, **order: Any
    ) -> orders.Answer:
        if endpoint.down:
            return orders.NoAnswer("down")
        return start(endpoint, **order)

    return start_if_up


async def _crash_endpoints(load: _load.Load) -> None:
    random_ = random.Random(5)
    load.fleet.late_s = _HELD_S
    while True:
        await asyncio.sleep(_CRASH_PERIOD_S)
        endpoint = random_.choice(list(load.fleet.endpoints.values()))
        endpoint.crash(down_s=random_.uniform(0.2, 1.0))


def _measure(share: float, name: str) -> str:
    began = time.process_time()
    loads = []
    kind = simulated_endpoint.SimulatedEndpoint
    with (
        _RULES[name](),
        mock.patch.object(kind, "start", _start_if_up(kind.start)),
    ):
        for seed in _SEEDS:
            load = _load.Load(seed=seed, seconds=_SECONDS, late_share=share)
            loads.append(load.run(_crash_endpoints))
    tallies = [t for load in loads for t in load.tallies.values()]
    asked = sum(t.asked for t in tallies)
    figures = {
        "value": sum(t.earned for t in tallies) / sum(t.owed for t in tallies),
        "in time": sum(t.in_time for t in tallies) / asked,
        "refused": sum(t.refused for t in tallies) / asked,
        "lost": sum(t.too_late for t in tallies) / asked,
    }
    text = "  ".join(f"{key} {value:.4f}" for key, value in figures.items())
    overlaps = sum(len(load.fleet.history.overlapping) for load in loads)
    looks = sum(load.fleet.history.looks for load in loads)
    return (
        f"{share:5.2f}  {name:20}  jobs {asked}  {text}  two runs {overlaps}"
        f"  polls {looks}  processor {time.process_time() - began:.1f} s"
    )


def main() -> None:
    """Prints the figures of each rule."""
    logging.set_verbosity(logging.FATAL)
    for share in _SHARES:
        for name in _RULES:
            print(_measure(share, name))
            sys.stdout.flush()


if __name__ == "__main__":
    main()
