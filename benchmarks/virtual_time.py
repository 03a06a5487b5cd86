"""An event loop in virtual time, whose clock jumps to the next timer."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

from sesameroad.model import clocks


class _Selector(selectors.DefaultSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting between them."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns seconds since the start of the loop."""
        return self._virtual_selector.now


class Clock(clocks.Clock):
    """Clock that reads the virtual time of an event loop."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def wall_ms(self) -> int:
        """Returns milliseconds since the start of the loop."""
        return int(self._loop.time() * 1_000)

    def monotonic(self) -> float:
        """Returns seconds since the start of the loop."""
        return self._loop.time()


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine in a new loop in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
