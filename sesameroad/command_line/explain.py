"""Prints the timeline of one request from the logs of several instances.

usage: sesameroad explain ID FILE...

The last line names the cause. The lines before it name log lines that should
exist and were not found.
"""

import pathlib
import sys

from absl import flags

from sesameroad.command_line import exits
from sesameroad.telemetry import timeline

FLAGS = flags.FlagValues()


def run(arguments: list[str]) -> int:
    """Prints the timeline; returns the exit code."""
    if len(arguments) < 2:  # noqa: PLR2004
        print("usage: sesameroad explain ID FILE...", file=sys.stderr)
        return exits.USAGE
    request, *paths = arguments
    lines: list[str] = []
    for path in paths:
        try:
            lines += (
                pathlib.Path(path)
                .read_text(encoding="utf-8", errors="replace")
                .splitlines()
            )
        except OSError as error:
            print(f"sesameroad explain: {error}", file=sys.stderr)
            return exits.USAGE
    found, unreadable = timeline.read(lines, request)
    print(timeline.render(found))
    if unreadable:
        print(f"{unreadable} lines with this id could not be read")
    return exits.OK
