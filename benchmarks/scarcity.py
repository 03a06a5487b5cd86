"""Value of the answers while work exceeds the capacity, in virtual time.

The load is that of the first of the two new sites in docs/design/plan.md, on its
worst day: bursts of the long, least urgent kind, and 4% of the starts held up on
their way and not answered. Each data centre has its own leader.

Answers in time count their full value, later ones up to three times the objective
a fifth. The causes are those of the parts of jobs, as their leaders saw them.
"""

import collections
from collections.abc import Callable
import sys
import time
from typing import Any
from unittest import mock

from absl import logging

from sesameroad.jobs import active_job
from sesameroad.jobs import admission
from sesameroad.jobs import ending
from sesameroad.model import outcomes
from sesameroad.model import scheduling as scheduling_module
from tests import _load

_KINDS = (
    _load.Kind("short", 103.0, 8, 0.06, 0.0291, 0),
    _load.Kind("long", 18.8, 4, 0.9, 0.16, 2),
    _load.Kind("middle", 300.0, 2, 0.2, 0.01, 1),
)
_SECONDS = 7.0
_SEEDS = (1,)
# The whole site: on a smaller one, a job of 8 tasks takes a larger part of it.
_ENDPOINTS = 59
_SCALE = 1.0
_BURST = _load.Burst("long", 2.3, 1.0, 6.0)
_SITE = {
    "kinds": _KINDS,
    "per_data_centre": _ENDPOINTS,
    "scale": _SCALE,
    "endpoint_cores": (64.0,),
    "task_cores": (32.0, 0.0, 32.0),
}
PATTERNS = {
    "calm": {},
    "burst": {"bursts": (_BURST,)},
    "late starts": {"late_share": 0.04},
    "worst day": {"bursts": (_BURST,), "late_share": 0.04},
    "overload": {"bursts": (_BURST,), "scale": 1.4},
    "uneven, worst day": {
        "bursts": (_BURST,),
        "late_share": 0.04,
        "shares": (0.6, 0.25, 0.15),
    },
}
_OFF = scheduling_module.Scheduling()
_ALL = scheduling_module.Scheduling(
    whole_starts=True, start_answer_ms=25, headroom=True
)
# Each part alone, and all of them.
PARTS = {
    "off": _OFF,
    "whole starts": scheduling_module.Scheduling(whole_starts=True),
    "start answer": scheduling_module.Scheduling(start_answer_ms=25),
    "headroom": scheduling_module.Scheduling(headroom=True),
    "all": _ALL,
}
# Time between the first and the last start of the tasks of a part, in
# milliseconds, from which the rest counts as having waited.
_STARVED_MS = 100
_FREE = "endpoints are free"


class Causes:
    """Counts why parts of jobs have failed or were late at their leader."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        # Jobs that were refused while all of their tasks could have started.
        self._fitting: set[str] = set()

    def hooked_refusal(self) -> Callable[..., outcomes.NotRun | None]:
        """Returns a replacement of `Admission._refusal` that notes free cores."""
        original = admission.Admission._refusal

        def refusal(
            self_: admission.Admission,
            active: active_job.ActiveJob,
            ahead: float,
            cores: float,
            now: float,
        ) -> outcomes.NotRun | None:
            answer = original(self_, active, ahead, cores, now)
            job = active.job
            needed = job.count * job.need.cores
            if answer is not None and self_._pool.free_cores >= needed:
                self._fitting.add(job.name)
            return answer

        return refusal

    def log_end(
        self,
        active: active_job.ActiveJob,
        outcome: outcomes.Outcome,
        *,
        now: float,
        **_fields: object,
    ) -> None:
        """Counts a part; has the parameters of `ending.log_end`."""
        match outcome:
            case outcomes.Complete():
                if now <= active.job.objective_at:
                    return
                result = "late"
            case outcomes.NotRun():
                result = "refused"
            case _:
                result = "unknown"
        cause = _cause(active)
        if active.job.name in self._fitting:
            cause = _FREE
        self.counts[f"{active.job.queue} {result}: {cause}"] += 1


def _cause(active: active_job.ActiveJob) -> str:
    if any("not listed" in entry for entry in active.history):
        return "start without an answer"
    starts = [entry.split()[1].partition("..")[0] for entry in active.history]
    sent = [int(text) for text in starts if text != "-"]
    if sent and active.waiting:
        return "started, rest waits"
    if sent and max(sent) - min(sent) > _STARVED_MS:
        return "started, rest waited"
    if sent and min(sent) > _STARVED_MS:
        return "started late"
    return "other" if sent else "not started"


def play(pattern: str, **options: Any) -> tuple[list[_load.Load], Causes]:
    """Plays a pattern with each seed."""
    causes = Causes()
    with (
        mock.patch.object(ending, "log_end", causes.log_end),
        mock.patch.object(
            admission.Admission,
            "_refusal",
            causes.hooked_refusal(),
        ),
    ):
        loads = [
            _load.Load(
                seed=seed,
                seconds=_SECONDS,
                **(_SITE | PATTERNS[pattern] | options),
            ).run()
            for seed in _SEEDS
        ]
    for load in loads:
        if load.fleet.history.overlapping:
            raise AssertionError(load.fleet.history.overlapping)
    return loads, causes


def describe(loads: list[_load.Load]) -> str:
    """Formats the share of the value, in total and of each kind."""
    earned = sum(t.earned for load in loads for t in load.tallies.values())
    owed = sum(t.owed for load in loads for t in load.tallies.values())
    parts = [f"{earned / owed:.3f}"]
    for kind in ("short", "middle", "long"):
        tallies = [load.tallies[kind] for load in loads]
        share = sum(t.earned for t in tallies) / sum(t.owed for t in tallies)
        counts = "/".join(
            str(sum(getattr(tally, field) for tally in tallies))
            for field in ("in_time", "late", "refused", "too_late")
        )
        parts.append(f"{kind} {share:.3f} {counts:18}")
    return "  ".join(parts)


def report_causes(causes: Causes) -> None:
    """Prints why parts of jobs have failed or were late."""
    for cause, count in causes.counts.most_common(12):
        print(f"    {count:5} {cause}")
    free = sum(
        count for cause, count in causes.counts.items() if cause.endswith(_FREE)
    )
    print(f"    {free:5} refused although {_FREE}")


def main() -> None:
    """Plays all patterns, or those named as arguments, with each part."""
    logging.set_verbosity(logging.ERROR)
    print("value; by kind: value, answers in time/late/refused/unknown; CPU")
    for pattern in sys.argv[1:] or PATTERNS:
        print(f"{pattern}:")
        for name, options in PARTS.items():
            began = time.process_time()
            loads, causes = play(pattern, scheduling=options)
            took_s = time.process_time() - began
            print(f"  {name:13} {describe(loads)}  {took_s:.1f} s", flush=True)
            if options in (_OFF, _ALL):
                report_causes(causes)


if __name__ == "__main__":
    main()
