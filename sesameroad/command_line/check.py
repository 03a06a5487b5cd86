"""Checks a settings file without starting an instance.

usage: sesameroad check --settings=FILE
"""

import sys

from absl import flags

from sesameroad.command_line import _settings
from sesameroad.command_line import exits

FLAGS = flags.FlagValues()

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Path of the JSON settings file.", flag_values=FLAGS
)


def run(arguments: list[str]) -> int:
    """Checks the file; returns the exit code."""
    if arguments or not _SETTINGS.value:
        print("usage: sesameroad check --settings=FILE", file=sys.stderr)
        return exits.USAGE
    settings = _settings.load(_SETTINGS.value)
    if settings is None:
        return exits.USAGE
    print(
        f"{_SETTINGS.value}: valid; entry {settings.instance_id} of"
        f" {settings.data_centre}, {len(settings.peers)} peers,"
        f" {len(settings.operators)} operators"
    )
    return exits.OK
