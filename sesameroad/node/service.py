"""Runs an instance on the platform as an aiomisc service."""

import asyncio
import gc
import socket
from typing import Any

import aiomisc

from sesameroad.node import node
from sesameroad.node import process_signals
from sesameroad.settings import node as node_module

# A stop that takes longer by this than it may is ended with an error. The platform
# kills the process before that.
_SHUTDOWN_MARGIN_S = 5.0
# Number of new container objects after which the youngest generation is
# collected. A busy leader has several thousand live at a time, and with the
# default of 700 it would collect them more than a hundred times a second.
_COLLECTION_THRESHOLD = 20_000


class NodeService(aiomisc.Service):
    """Starts an instance, and stops it gracefully on SIGTERM or SIGINT."""

    settings: node_module.NodeSettings
    listener: socket.socket
    _node: node.Node | None = None

    async def start(self) -> None:
        """Starts the instance."""
        self._stop_requested = asyncio.Event()
        self._node = instance = node.Node.from_settings(self.settings)
        process_signals.attach(
            asyncio.get_running_loop().call_soon_threadsafe,
            stop=self._stop_requested.set,
            reload=instance.reload,
        )
        await instance.start(self.listener)

    async def wait_until_stop_requested(self) -> None:
        """Waits for SIGTERM or SIGINT, which may have arrived before."""
        await self._stop_requested.wait()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stops the instance gracefully, if there is one.

        The platform kills the process a fixed time after the signal, so the time
        that has passed since then is part of the stop.
        """
        if self._node is None:
            return
        async with asyncio.timeout(
            self.settings.timing.graceful_stop_s + _SHUTDOWN_MARGIN_S
        ):
            await self._node.stop(
                requested_at=process_signals.stop_requested_at()
            )


def run(settings: node_module.NodeSettings, listener: socket.socket) -> None:
    """Runs an instance until SIGTERM or SIGINT.

    Args:
        settings: Settings of the instance.
        listener: Listening socket of the service for callers.
    """
    # Modules stay for the life of the process, so they need no collection.
    gc.freeze()
    gc.set_threshold(_COLLECTION_THRESHOLD)
    gc.enable()
    service = NodeService(settings=settings, listener=listener)
    # Signals are not left to aiomisc: its handler of a second SIGTERM in the same
    # turn of the event loop ended the loop while the first one was stopping.
    with aiomisc.entrypoint(
        service, log_config=False, catch_signals=()
    ) as loop:
        # Leaving the block stops the instance gracefully.
        loop.run_until_complete(service.wait_until_stop_requested())
