"""Runs an instance on the platform as an aiomisc service."""

import asyncio
import gc
import signal
import socket
from typing import Any

import aiomisc

from sesameroad.node import node
from sesameroad.node import startup_signals
from sesameroad.settings import node as node_module

# aiomisc cancels a service whose stop exceeds the timeout. The margin leaves
# the whole graceful stop for the jobs of callers.
_SHUTDOWN_MARGIN_S = 5.0
# Number of new container objects after which the youngest generation is
# collected. A busy leader has several thousand live at a time, and with the
# default of 700 it would collect them more than a hundred times a second.
_COLLECTION_THRESHOLD = 20_000


class NodeService(aiomisc.Service):
    """Starts an instance and stops it gracefully on SIGTERM or SIGINT."""

    settings: node_module.NodeSettings
    listener: socket.socket

    async def start(self) -> None:
        """Starts the instance."""
        self._node = node.Node.from_settings(self.settings)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._node.reload
        )
        if startup_signals.reload_requested():
            self._node.reload()
        await self._node.start(self.listener)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stops the instance gracefully."""
        await self._node.stop()


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
    timeout_s = settings.timing.graceful_stop_s + _SHUTDOWN_MARGIN_S
    startup_signals.finish_loading()
    with aiomisc.entrypoint(
        service, log_config=False, shutdown_timeout=timeout_s
    ) as loop:
        # A SIGTERM during the start was recorded only. Leaving the block stops
        # the instance gracefully.
        if not startup_signals.stop_requested():
            loop.run_forever()
