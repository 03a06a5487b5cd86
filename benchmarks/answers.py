"""Measures the processor time of counting, recording and logging an answer."""

import contextlib
import os
import time

from absl import logging

from sesameroad.entry import observer as observer_module
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.operators import recent_events
from sesameroad.telemetry import burn
from sesameroad.telemetry import log
from sesameroad.telemetry import metrics
from standins import fleet

_ANSWERS = 50_000
_ROUNDS = 5


def _observer() -> observer_module.Observer:
    document = fleet.default_document()
    return observer_module.Observer(
        metrics=metrics.Metrics(lambda: metrics.Figures({}, 0, 0, 0, 0, 0)),
        burn=burn.Burn(),
        recent_events=recent_events.RecentEvents(),
        clock=clocks.Clock(),
        configuration=lambda: document,
    )


def main() -> None:
    """Prints the processor time for each answer, as the minimum of all rounds."""
    log.configure(instance_id="benchmark", data_centre="benchmark")
    with open(os.devnull, "w", encoding="utf-8") as discarded:
        # Formatting log lines is part of the cost, so they are written, but to
        # the null device.
        handler = logging.get_absl_handler().python_handler
        handler.stream = discarded
        with contextlib.redirect_stderr(discarded):
            _measure(_observer())


def _measure(observer: observer_module.Observer) -> None:
    for name, outcome in (
        ("complete", outcomes.Complete((b"1",))),
        ("refused", outcomes.NotRun(outcomes.Cause.OVERLOAD, "queue is full")),
    ):
        rounds = []
        for _ in range(_ROUNDS):
            began = time.process_time()
            for _ in range(_ANSWERS):
                observer.record_answer(
                    key="k",
                    kind="lookup",
                    team="storefront",
                    tasks=1,
                    outcome=outcome,
                    seconds=0.1,
                )
            rounds.append((time.process_time() - began) / _ANSWERS)
        print(f"{name}: {min(rounds) * 1e6:.2f} us an answer")


if __name__ == "__main__":
    main()
