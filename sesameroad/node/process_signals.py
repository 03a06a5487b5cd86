"""SIGTERM, SIGINT and SIGHUP of an instance, for the whole life of its process.

One handler for each of them is installed before the imports that take most of the
time of a start, and stays until the process ends. It records the signal, and wakes the
event loop once there is one. Nothing else may handle these signals: a handler that
an event loop or a library removes at its end restores the default effect, which ends
the process.

Until the handlers are installed, signals have their default effect, so this module
imports little. The import of `typing` alone would take 8 ms.
"""

from collections.abc import Callable
import signal
import types

from sesameroad.model import clocks

_CallSoon = Callable[[Callable[[], None]], object]

_STOP = (signal.SIGTERM, signal.SIGINT)
_RELOAD = (signal.SIGHUP,)


class _State:
    """Signals received so far, and who waits for them.

    Attributes:
        stop_requested_at: Monotonic time of the first SIGTERM or SIGINT.
        reload_requested: Whether a SIGHUP has arrived that was not passed on.
        call_soon: Has the event loop call a function.
        stop: Called in the event loop once a stop is requested.
        reload: Called in the event loop after SIGHUP.
    """

    __slots__ = (
        "call_soon",
        "reload",
        "reload_requested",
        "stop",
        "stop_requested_at",
    )

    def __init__(self) -> None:
        self.stop_requested_at: float | None = None
        self.reload_requested = False
        self.call_soon: _CallSoon | None = None
        self.stop: Callable[[], None] | None = None
        self.reload: Callable[[], None] | None = None


_state = _State()


def install() -> None:
    """Handles the signals from now on."""
    for number in _STOP:
        signal.signal(number, _handle_stop)
    for number in _RELOAD:
        signal.signal(number, _handle_reload)


def ignore() -> None:
    """Ignores the signals until the process has ended.

    The interpreter restores their default effect while it ends, so that a late
    signal would end the process by a signal, which the platform counts as a crash.
    """
    for number in (*_STOP, *_RELOAD):
        signal.signal(number, signal.SIG_IGN)


def stop_requested_at() -> float | None:
    """Returns the monotonic time of the first request to stop, if there is one."""
    return _state.stop_requested_at


def attach(
    call_soon: _CallSoon,
    *,
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> None:
    """Passes signals on to an event loop, also those that arrived before.

    Args:
        call_soon: Has the event loop call a function, from any thread; it raises
            RuntimeError once the loop is closed.
        stop: Called in the event loop once a stop is requested; it may be called
            more than once.
        reload: Called in the event loop after SIGHUP.
    """
    _state.stop = stop
    _state.reload = reload
    _state.call_soon = call_soon
    _wake()


def _handle_stop(number: int, frame: types.FrameType | None) -> None:
    # It must not raise: the exception would appear in whatever code is running, and
    # msgspec crashed on one within its decoder.
    del number, frame
    if _state.stop_requested_at is None:
        _state.stop_requested_at = clocks.elapsed_s()
        _wake()


def _handle_reload(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    _state.reload_requested = True
    _wake()


def _wake() -> None:
    if _state.call_soon is not None:
        try:
            _state.call_soon(_pass_on)
        except RuntimeError:
            # The loop is closed, and nobody waits any more.
            _state.call_soon = None


def _pass_on() -> None:
    if _state.reload_requested and _state.reload is not None:
        _state.reload_requested = False
        _state.reload()
    if _state.stop_requested_at is not None and _state.stop is not None:
        _state.stop()
