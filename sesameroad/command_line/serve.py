"""Runs an instance on the platform until SIGTERM, which stops it gracefully.

usage: sesameroad serve [--settings=FILE]

Logs go to standard output, one JSON object per line.
"""

import gc
import os
import socket
import sys

from absl import flags

from sesameroad import errors
from sesameroad.command_line import exits
from sesameroad.node import process_signals
from sesameroad.settings import node

_PATH_VARIABLE = "SESAMEROAD_SETTINGS"
# Set by systemd for a service that reports its state.
_SYSTEMD_VARIABLE = "NOTIFY_SOCKET"
# Connections of callers that wait until the instance has loaded. With less than
# a core, that takes more than a second; the busiest instances get about 20 new
# connections in a second.
_BACKLOG = 1_024

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
        settings = node.NodeSettings.from_file(path)
    except errors.SettingsError as error:
        print(f"sesameroad: {error}", file=sys.stderr)
        return exits.USAGE
    if process_signals.stop_requested_at() is not None:
        # No connection waits yet, so there is nobody to answer.
        return exits.OK
    # The instance takes the callers' connections once it has loaded, so that a
    # caller waits for that and is not refused.
    host, port = node.host_port(settings.web)
    try:
        listener = socket.create_server((host, port), backlog=_BACKLOG)
    except OSError as error:
        print(
            f"sesameroad: cannot listen on {settings.web}: {error}",
            file=sys.stderr,
        )
        return exits.FAILED
    with listener:
        return _load_and_run(settings, listener)


def _load_and_run(settings: node.NodeSettings, listener: socket.socket) -> int:
    # Modules stay for the life of the process. Searching them for unreachable
    # objects again and again takes a tenth of the time of their import.
    gc.disable()
    # The only plugin of aiomisc that is installed reports to systemd. To find it,
    # aiomisc reads the metadata of all packages.
    if _SYSTEMD_VARIABLE not in os.environ:
        os.environ.setdefault("AIOMISC_NO_PLUGINS", "1")

    from sesameroad.telemetry import log
    from sesameroad.telemetry import sink as sink_module

    sink = sink_module.Sink(sys.stdout.fileno())
    log.configure(
        instance_id=settings.instance_id,
        data_centre=settings.data_centre,
        stream=sink,
    )
    try:
        from sesameroad.node import service

        service.run(settings, listener)
    finally:
        sink.drain()
    return exits.OK
