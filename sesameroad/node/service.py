"""Runs an instance on the platform as an aiomisc service."""

import asyncio
import gc
import socket
from typing import Any

from sesameroad.node import node
from sesameroad.node import process_signals
from sesameroad.node import signalled_service
from sesameroad.settings import node as node_module

# A stop that takes longer by this than it may is ended with an error. The platform
# kills the process before that.
_SHUTDOWN_MARGIN_S = 5.0
# Number of new container objects after which the youngest generation is
# collected. A busy leader has several thousand live at a time, and with the
# default of 700 it would collect them more than a hundred times a second.
_COLLECTION_THRESHOLD = 20_000


class NodeService(signalled_service.SignalledService):
    """Starts an instance, and stops it gracefully on SIGTERM or SIGINT."""

    settings: node_module.NodeSettings
    listener: socket.socket
    _node: node.Node | None = None

    async def start(self) -> None:
        """Starts the instance."""
        self._node = node.Node.from_settings(self.settings)
        await super().start()
        await self._node.start(self.listener)

    def reload(self) -> None:
        """Reloads the instance."""
        if self._node is not None:
            self._node.reload()

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
    NodeService(settings=settings, listener=listener).run()
