"""Structured logs: one JSON object a line, through absl.logging."""

import collections

from absl import logging
from pythonjsonlogger import json as json_formatter

from sesameroad.telemetry import sink as sinks

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure(
    *, instance_id: str, data_centre: str, stream: sinks.Sink | None = None
) -> None:
    """Writes all logs as JSON lines.

    Args:
        instance_id: Instance that each line names.
        data_centre: Data centre that each line names.
        stream: Where to write; the default is standard error.
    """
    formatter = json_formatter.JsonFormatter(
        _FIELDS,
        rename_fields=_RENAMED,
        static_fields={"instance": instance_id, "data_centre": data_centre},
    )
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(formatter)
    if stream is not None:
        handler.python_handler.stream = stream
    logging.set_verbosity(logging.INFO)


def dropped() -> int:
    """Returns the lines dropped for a slow reader and not yet reported."""
    stream = getattr(logging.get_absl_handler(), "python_handler", None)
    sink = getattr(stream, "stream", None)
    return sink.dropped if isinstance(sink, sinks.Sink) else 0


def event(message: str, *, step: str, peer: str = "", **fields: object) -> None:
    """Logs an event with the step and the peer it belongs to."""
    logging.info(message, extra={"step": step, "peer": peer, **fields})


def problem(
    message: str, *, step: str, peer: str = "", **fields: object
) -> None:
    """Logs a warning with the step and the peer it belongs to."""
    logging.warning(message, extra={"step": step, "peer": peer, **fields})


class Limiter:
    """Lets a bounded number of lines a second through for each cause."""

    __slots__ = ("_per_second", "_second", "_seen")

    def __init__(self, *, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._seen: collections.Counter[str] = collections.Counter()

    def admit(self, cause: str, now_s: float) -> bool:
        """Returns whether a line of a cause may be written now."""
        second = int(now_s)
        if second != self._second:
            self._report()
            self._second = second
        self._seen[cause] += 1
        return self._seen[cause] <= self._per_second

    def _report(self) -> None:
        """Says how many lines of the past second were left out."""
        left_out = {
            cause: count - self._per_second
            for cause, count in self._seen.items()
            if count > self._per_second
        }
        self._seen.clear()
        if left_out:
            event("log lines left out", step="log", left_out=left_out)
