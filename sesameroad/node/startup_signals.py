"""Signals that arrive before an instance has started.

Without a handler, SIGHUP and SIGTERM end a process at once. The handlers are
installed before the imports that take most of the time of a start, so this module
imports nothing but what the interpreter has loaded already.
"""

import os
import signal
import types


class _State:
    """Signals received so far.

    Attributes:
        loading: Whether SIGTERM may end the process at once.
        reload_requested: Whether SIGHUP has arrived.
        stop_requested: Whether SIGTERM has arrived.
    """

    __slots__ = ("loading", "reload_requested", "stop_requested")

    def __init__(self) -> None:
        self.loading = True
        self.reload_requested = False
        self.stop_requested = False


_state = _State()


def install() -> None:
    """Handles SIGTERM and SIGHUP until the instance handles them itself.

    SIGTERM ends the process with exit code 0 at once until `finish_loading`.
    """
    signal.signal(signal.SIGTERM, _handle_stop)
    signal.signal(signal.SIGHUP, _handle_reload)


def finish_loading() -> None:
    """From now on, SIGTERM is only recorded: there are tasks to close."""
    _state.loading = False


def stop_requested() -> bool:
    """Returns whether SIGTERM has arrived."""
    return _state.stop_requested


def reload_requested() -> bool:
    """Returns whether SIGHUP has arrived."""
    return _state.reload_requested


def _handle_stop(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    _state.stop_requested = True
    if _state.loading:
        # Nothing runs that must be closed. An exception could be raised inside a
        # library that does not expect it: msgspec crashed on one.
        os._exit(0)


def _handle_reload(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    _state.reload_requested = True
