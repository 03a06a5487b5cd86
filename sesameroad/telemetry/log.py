"""Structured logging through absl.logging: one JSON object per line."""

import collections

from absl import logging
from pythonjsonlogger import msgspec as json_formatter

from sesameroad.telemetry import sink

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure(
    *, instance_id: str, data_centre: str, stream: sink.Sink | None = None
) -> None:
    """Configures absl.logging to write JSON lines.

    Args:
        instance_id: Instance named in each line.
        data_centre: Data centre named in each line.
        stream: Stream to write to; standard error if None.
    """
    formatter = json_formatter.MsgspecFormatter(
        _FIELDS,
        rename_fields=_RENAMED_FIELDS,
        static_fields={"instance": instance_id, "data_centre": data_centre},
    )
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(formatter)
    if stream is not None:
        handler.python_handler.stream = stream
    logging.set_verbosity(logging.INFO)


def dropped() -> int:
    """Returns the number of lines dropped and not yet reported in the log."""
    handler = getattr(logging.get_absl_handler(), "python_handler", None)
    stream = getattr(handler, "stream", None)
    return stream.dropped if isinstance(stream, sink.Sink) else 0


def event(message: str, *, step: str, peer: str = "", **fields: object) -> None:
    """Logs an event at level INFO with its step and peer."""
    logging.info(message, extra={"step": step, "peer": peer, **fields})


def problem(
    message: str, *, step: str, peer: str = "", **fields: object
) -> None:
    """Logs a problem at level WARNING with its step and peer."""
    logging.warning(message, extra={"step": step, "peer": peer, **fields})


class Limiter:
    """Limits the number of log lines per second for each cause."""

    __slots__ = ("_counts", "_per_second", "_second")

    def __init__(self, *, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def admit(self, cause: str, now_s: float) -> bool:
        """Returns whether a line with this cause may be written now."""
        second = int(now_s)
        if second != self._second:
            self._report()
            self._second = second
        self._counts[cause] += 1
        return self._counts[cause] <= self._per_second

    def _report(self) -> None:
        """Logs the number of lines left out of the past second, by cause."""
        left_out = {
            cause: count - self._per_second
            for cause, count in self._counts.items()
            if count > self._per_second
        }
        self._counts.clear()
        if left_out:
            event("log lines left out", step="log", left_out=left_out)
