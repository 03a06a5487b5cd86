"""Restarts background loops that fail."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from sesameroad.telemetry import log

_RESTART_DELAY_S = 1.0
# Period at which loops are cancelled until they have ended, in seconds.
_CANCEL_PERIOD_S = 0.2

LoopFunction = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs background loops as tasks and restarts those that end or fail.

    If a loop ended unnoticed, the process would keep outdated data about the
    fleet indefinitely while its health check still succeeds.
    """

    __slots__ = ("_failures", "_restart_delay_s", "_tasks")

    def __init__(self, *, restart_delay_s: float = _RESTART_DELAY_S) -> None:
        self._restart_delay_s = restart_delay_s
        self._tasks: list[asyncio.Task[None]] = []
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of failures of all loops so far."""
        return self._failures

    def run(self, name: str, loop: LoopFunction) -> None:
        """Starts a loop.

        Args:
            name: Name of the loop in logs.
            loop: Function that returns the coroutine of the loop. It is called
                again for each restart.
        """
        self._tasks.append(
            asyncio.create_task(self._run_forever(name, loop), name=name)
        )

    async def stop(self) -> None:
        """Cancels all loops and waits until they have ended."""
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            # The HTTP library loses a cancellation that comes together with the
            # timeout of a request.
            _, pending = await asyncio.wait(pending, timeout=_CANCEL_PERIOD_S)
        self._tasks.clear()

    async def _run_forever(self, name: str, loop: LoopFunction) -> None:
        while True:
            try:
                await loop()
            except Exception as error:  # noqa: BLE001
                self._failures += 1
                log.problem(
                    "background loop failed; restarting it",
                    step=name,
                    error=repr(error),
                )
            await asyncio.sleep(self._restart_delay_s)
