"""Measures the processor time of counting, recording and logging an answer."""

import contextlib
import os
import time

from absl import logging

from sesameroad.entry import observer as observers
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.operators import recent_events as recent
from sesameroad.telemetry import burn as burns
from sesameroad.telemetry import log
from sesameroad.telemetry import metrics as metric_module
from standins import fleet as fleets

_ANSWERS = 50_000
_ROUNDS = 5


def _observer() -> observers.Observer:
    document = fleets.default_document()
    return observers.Observer(
        metrics=metric_module.Metrics(
            lambda: metric_module.Figures({}, 0, 0, 0, 0, 0)
        ),
        burn=burns.Burn(),
        recent_events=recent.RecentEvents(),
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


def _measure(observer: observers.Observer) -> None:
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
