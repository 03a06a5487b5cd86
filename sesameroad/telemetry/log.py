"""Structured logs: one JSON object a line, through absl.logging."""

from absl import logging
from pythonjsonlogger import json as json_formatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure(*, instance_id: str, data_centre: str) -> None:
    """Writes all logs as JSON lines to standard error.

    Args:
        instance_id: Instance that each line names.
        data_centre: Data centre that each line names.
    """
    formatter = json_formatter.JsonFormatter(
        _FIELDS,
        rename_fields=_RENAMED,
        static_fields={"instance": instance_id, "data_centre": data_centre},
    )
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(formatter)
    logging.set_verbosity(logging.INFO)


def event(message: str, *, step: str, peer: str = "", **fields: object) -> None:
    """Logs an event with the step and the peer it belongs to."""
    logging.info(message, extra={"step": step, "peer": peer, **fields})


def problem(
    message: str, *, step: str, peer: str = "", **fields: object
) -> None:
    """Logs a warning with the step and the peer it belongs to."""
    logging.warning(message, extra={"step": step, "peer": peer, **fields})
