"""Runs an entry instance until SIGTERM, which stops it gracefully.

usage: sesameroad entry --settings=FILE

Logs go to standard error, one JSON object per line.
"""

import sys

from absl import flags

from sesameroad.command_line import _settings
from sesameroad.command_line import exits
from sesameroad.entry import service
from sesameroad.telemetry import log

FLAGS = flags.FlagValues()

_SETTINGS = flags.DEFINE_string(
    "settings",
    None,
    "Path of the JSON settings file of this entry.",
    flag_values=FLAGS,
)


def run(arguments: list[str]) -> int:
    """Runs the entry; returns the exit code."""
    if arguments or not _SETTINGS.value:
        print("usage: sesameroad entry --settings=FILE", file=sys.stderr)
        return exits.USAGE
    settings = _settings.load(_SETTINGS.value)
    if settings is None:
        return exits.USAGE
    log.configure(
        instance_id=settings.instance_id, data_centre=settings.data_centre
    )
    service.run(settings)
    return exits.OK
