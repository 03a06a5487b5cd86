"""Runs an instance on the platform until SIGTERM, which stops it gracefully.

usage: sesameroad serve [--settings=FILE]

Logs go to standard output, one JSON object per line.
"""

import os
import sys

from absl import flags

from sesameroad import errors
from sesameroad.command_line import exits
from sesameroad.node import service
from sesameroad.settings import node
from sesameroad.telemetry import log
from sesameroad.telemetry import sink as sink_module

_PATH_VARIABLE = "SESAMEROAD_SETTINGS"

FLAGS = flags.FlagValues()

_SETTINGS = flags.DEFINE_string(
    "settings",
    None,
    f"Path of the JSON settings file; the default is ${_PATH_VARIABLE}.",
    flag_values=FLAGS,
)


def run(arguments: list[str]) -> int:
    """Runs the instance; returns the exit code."""
    path = _SETTINGS.value or os.environ.get(_PATH_VARIABLE)
    if arguments or not path:
        print("usage: sesameroad serve [--settings=FILE]", file=sys.stderr)
        return exits.USAGE
    try:
        settings = node.Node.from_file(path)
    except errors.SettingsError as error:
        print(f"sesameroad: {error}", file=sys.stderr)
        return exits.USAGE
    sink = sink_module.Sink(sys.stdout.fileno())
    log.configure(
        instance_id=settings.instance_id,
        data_centre=settings.data_centre,
        stream=sink,
    )
    try:
        service.run(settings)
    finally:
        sink.drain()
    return exits.OK
