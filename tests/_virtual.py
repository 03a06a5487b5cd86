"""An event loop whose time jumps to the next timer.

Load and lease tests cover minutes of decisions in a fraction of a second, and
repeat exactly, whatever the machine does meanwhile.
"""

import asyncio
from collections.abc import Coroutine
import selectors
import unittest


class _Selector(selectors.DefaultSelector):

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


class Clock:
    """Time of the running loop."""

    def __init__(self, wall_ms: int = 1_780_000_000_000):
        self._wall_ms = wall_ms

    def wall_ms(self) -> int:
        return self._wall_ms + int(self.monotonic() * 1_000)

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time() + 1_000.0


def run(coroutine: Coroutine):
    """Runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(coroutine)


class VirtualTimeTest(unittest.TestCase):
    """Runs each test method that is a coroutine function in virtual time."""

    def _callTestMethod(self, method):  # noqa: N802
        result = method()
        if asyncio.iscoroutine(result):
            run(result)
