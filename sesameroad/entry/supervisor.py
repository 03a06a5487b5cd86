"""Keeps the background loops of an entry running."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sesameroad.telemetry import log

_RESTART_DELAY_S = 1.0

Loop = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs loops as tasks and starts a loop that fails again.

    A loop that ends unnoticed would leave the entry with its last view of the
    fleet for good, while its health check still answers.
    """

    __slots__ = ("_failures", "_restart_delay_s", "_tasks")

    def __init__(self, *, restart_delay_s: float = _RESTART_DELAY_S) -> None:
        self._restart_delay_s = restart_delay_s
        self._tasks: list[asyncio.Task[None]] = []
        self._failures = 0

    @property
    def failures(self) -> int:
        """How often a loop has failed so far."""
        return self._failures

    def run(self, name: str, loop: Loop) -> None:
        """Starts a loop.

        Args:
            name: Name of the loop in logs.
            loop: Returns the coroutine of the loop.
        """
        self._tasks.append(
            asyncio.create_task(self._keep_running(name, loop), name=name)
        )

    async def stop(self) -> None:
        """Cancels all loops and waits for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _keep_running(self, name: str, loop: Loop) -> None:
        while True:
            try:
                await loop()
            except Exception as error:  # noqa: BLE001
                self._failures += 1
                log.problem(
                    "a background loop failed and is started again",
                    step=name,
                    error=repr(error),
                )
            await asyncio.sleep(self._restart_delay_s)
