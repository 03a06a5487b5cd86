"""Helpers that run several meshes in one process."""

import asyncio
from collections.abc import Callable
import contextlib

from sesameroad.model import instances
from sesameroad.peering import mesh
from sesameroad.peering import messages
from standins import fleet

HEARTBEAT_S = 0.05
TIMEOUT_S = 0.4


class Node:
    """A mesh that records what it receives."""

    def __init__(self, name: str, incarnation: str = "1", port: int = 0):
        self.name = name
        self.port = port or fleet.free_port()
        self.received = []
        self.heartbeat = messages.Heartbeat(0, 0, False)
        self.mesh = mesh.Mesh(
            hello=messages.Hello(name, "dc1", incarnation),
            heartbeat=lambda: self.heartbeat,
            receive=lambda link, message: self.received.append(message),
            changed=lambda: None,
            heartbeat_s=HEARTBEAT_S,
            timeout_s=TIMEOUT_S,
        )

    @property
    def peers(self) -> dict[str, str]:
        """Incarnations of live peers by name."""
        return {
            name: link.hello.incarnation
            for name, link in self.mesh.peers.items()
        }

    def listed(self, address: str = "", *, leaving: bool = False):
        """Returns the instance of the node in the platform's list."""
        address = address or f"127.0.0.1:{self.port}"
        return instances.Instance(self.name, "dc1", address, leaving)


@contextlib.asynccontextmanager
async def running(*nodes: Node):
    """Starts nodes and stops them on exit."""
    try:
        for node in nodes:
            await node.mesh.start("127.0.0.1", node.port)
        yield
    finally:
        for node in nodes:
            await node.mesh.stop()


async def until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)
