"""Measures control traffic and processor time of idle entries.

Runs fully connected meshes of several sizes in one process without work. Prints
the payload bytes that each entry sends, the bytes with framing but without
TCP/IP headers, and the processor time. Run as `python -m benchmarks.control`.
"""

import asyncio
import gc
import time

from absl import app
from absl import flags
from absl import logging
import uvloop

from sesameroad.model import instances
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from standins import fleet

_SIZES = flags.DEFINE_list(
    "control_sizes", "2,4,8,16", "Numbers of entries to measure."
)
_SECONDS = flags.DEFINE_float(
    "control_seconds", 8.0, "Duration of each measurement in seconds."
)
_HEARTBEAT_S = 0.25
_TIMEOUT_S = 1.5
_SETTLE_S = 2.0
_CONNECT_TIMEOUT_S = 20.0
# Prefix of a gRPC message and header of the HTTP/2 frame that carries it.
_FRAMING_BYTES = 5 + 9


def _mesh(name: str) -> mesh_module.Mesh:
    return mesh_module.Mesh(
        hello=messages.Hello(name, "dc1", f"{name}-incarnation"),
        heartbeat=lambda: messages.Heartbeat(1_000, 10_000, False),
        receive=lambda link, message: None,
        changed=lambda: None,
        heartbeat_s=_HEARTBEAT_S,
        timeout_s=_TIMEOUT_S,
    )


async def _measure(size: int, seconds: float) -> None:
    entries = [
        instances.Instance(
            f"entry{n:02}", "dc1", f"127.0.0.1:{fleet.free_port()}"
        )
        for n in range(size)
    ]
    running_meshes = [_mesh(entry.id) for entry in entries]
    for mesh, entry in zip(running_meshes, entries, strict=True):
        host, _, port = entry.address.rpartition(":")
        await mesh.start(host, int(port))
    for mesh in running_meshes:
        mesh.update(entries)
    async with asyncio.timeout(_CONNECT_TIMEOUT_S):
        for mesh in running_meshes:
            while len(mesh.peers) < size - 1:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
    await asyncio.sleep(_SETTLE_S)
    gc.collect()
    sent = sum(mesh.counters.bytes_sent for mesh in running_meshes)
    envelopes = sum(mesh.counters.envelopes_sent for mesh in running_meshes)
    began, processor_s = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    processor_s = time.process_time() - processor_s
    elapsed = time.monotonic() - began
    sent = sum(mesh.counters.bytes_sent for mesh in running_meshes) - sent
    envelopes = (
        sum(m.counters.envelopes_sent for m in running_meshes) - envelopes
    )
    framed = sent + envelopes * _FRAMING_BYTES
    peers = size - 1
    entry_seconds = size * elapsed
    print(
        f"{size:4} entries  {sent / entry_seconds:8.0f} B/s payload"
        f"  {framed / entry_seconds:8.0f} B/s framed"
        f"  {100 * processor_s / entry_seconds:6.3f} % of a core"
        f"  {100 * processor_s / entry_seconds / peers:6.4f} % for each peer"
    )
    for mesh in running_meshes:
        await mesh.stop()


def main(_: list[str]) -> None:
    """Measures meshes of all sizes one after another."""
    logging.set_verbosity(logging.ERROR)
    print("for each entry, sent in one direction:")
    for size in _SIZES.value:
        uvloop.run(_measure(int(size), _SECONDS.value))


if __name__ == "__main__":
    app.run(main)
