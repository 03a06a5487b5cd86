"""A service that runs until a signal requests its graceful stop."""

import asyncio

import aiomisc

from sesameroad.node import process_signals


class SignalledService(aiomisc.Service):
    """Base of services that SIGTERM or SIGINT stops gracefully, once.

    `process_signals.install` must have been called before.
    """

    async def start(self) -> None:
        """Begins to receive the signals of the process."""
        self._stop_requested = asyncio.Event()
        process_signals.attach(
            asyncio.get_running_loop().call_soon_threadsafe,
            stop=self._stop_requested.set,
            reload=self.reload,
        )

    def reload(self) -> None:
        """Handles SIGHUP."""
        raise NotImplementedError

    def run(self) -> None:
        """Runs until the stop is requested and has ended."""
        # Signals are not left to aiomisc: its handler of a second SIGTERM in the
        # same turn of the event loop ended the loop while the first one was stopping.
        with aiomisc.entrypoint(
            self, log_config=False, catch_signals=()
        ) as loop:
            # Leaving the block stops the service gracefully.
            loop.run_until_complete(self._stop_requested.wait())
