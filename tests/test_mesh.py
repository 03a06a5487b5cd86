"""Tests of streams between entries over real sockets."""

import asyncio
import socket
import unittest
from unittest import mock

from grpclib import const
from grpclib import server as grpc_server

from sesameroad.peering import codec
from sesameroad.peering import mesh
from sesameroad.peering import messages
from sesameroad.peering import peer_pb2
from standins import fleet
from standins import forwarder
from tests import _peers

_HELLO = codec.encode([messages.Hello("b", "dc1", "1")])


class _MalformedPeer:
    """A peer that answers a greeting and then sends undecodable bytes."""

    def __init__(self):
        self.streams = 0

    async def exchange(self, stream):
        self.streams += 1
        task = peer_pb2.Task(payload=_HELLO.items[0].SerializeToString())
        await stream.send_message(task)
        await stream.send_message(peer_pb2.Task(payload=b"\xff\xff"))
        await asyncio.sleep(0.2)

    def __mapping__(self):
        handler = const.Handler(
            self.exchange,
            const.Cardinality.STREAM_STREAM,
            peer_pb2.Envelope,
            peer_pb2.Task,
        )
        return {"/sesameroad.peering.Peer/Exchange": handler}


class MeshTest(unittest.IsolatedAsyncioTestCase):
    """Guards against missing, duplicate and outdated streams to peers."""

    async def test_simultaneous_dials_leave_one_stream(self):
        """Two streams to one peer would deliver its state out of order."""
        a, b = _peers.Node("a"), _peers.Node("b")
        with mock.patch.object(mesh, "_SECOND_DIAL_DELAY_S", 0.0):
            async with _peers.running(a, b):
                for node in (a, b):
                    node.mesh.update([a.listed(), b.listed()])
                await _peers.until(lambda: a.peers and b.peers)
                await asyncio.sleep(2 * _peers.TIMEOUT_S)
                # A pause of this process closes the stream for a moment.
                await _peers.until(lambda: a.peers and b.peers)
                self.assertTrue(a.mesh.peers["b"].outgoing)
                self.assertFalse(b.mesh.peers["a"].outgoing)
                replaced = a.mesh.counters.replaced
                await asyncio.sleep(_peers.TIMEOUT_S)
                self.assertEqual(a.mesh.counters.replaced, replaced)

    async def test_restarted_peer_replaces_the_old_one_and_stays(self):
        """A process resumed after a pause must not replace its successor."""
        a, old = _peers.Node("a"), _peers.Node("b", "1")
        new = _peers.Node("b", "2")
        async with _peers.running(a, old, new):
            old.mesh.update([a.listed()])
            await _peers.until(lambda: a.peers == {"b": "1"})
            first = a.mesh.peers["b"]
            new.mesh.update([a.listed()])
            await _peers.until(lambda: a.peers == {"b": "2"})
            self.assertIsNone(a.mesh.find("1"))
            await asyncio.wait_for(first.wait_closed(), 0.1)
            await _peers.until(lambda: a.mesh.counters.refused >= 1)
            self.assertEqual(a.peers, {"b": "2"})

    async def test_leaving_mark_in_the_list_keeps_the_stream(self):
        """A leaving entry must stay connected to relay and finish its work."""
        a, b = _peers.Node("a"), _peers.Node("b")
        async with _peers.running(a, b):
            a.mesh.update([b.listed()])
            await _peers.until(lambda: a.peers)
            link = a.mesh.peers["b"]
            a.mesh.update([b.listed(leaving=True)])
            await asyncio.sleep(0.1)
            self.assertIs(a.mesh.peers["b"], link)
            b.heartbeat = messages.Heartbeat(0, 0, True)
            b.mesh.send_heartbeats()
            await _peers.until(lambda: link.leaving, 0.5)

    async def test_unlisted_entry_stays_while_it_heartbeats(self):
        """A lagging list must not end live streams or add silent peers."""
        a, b = _peers.Node("a"), _peers.Node("b")
        silent = _peers.Node("c")
        async with _peers.running(a, b):
            a.mesh.update([b.listed(), silent.listed()])
            await _peers.until(lambda: a.peers)
            a.mesh.update([])
            await asyncio.sleep(2 * _peers.TIMEOUT_S)
            self.assertEqual(a.peers, {"b": "1"})
            await b.mesh.stop()
            await _peers.until(lambda: not a.mesh._dial_tasks)

    async def test_another_instance_at_an_address_is_refused(self):
        """An address reused by another instance must not replace its stream."""
        a, b = _peers.Node("a"), _peers.Node("b")
        async with _peers.running(a, b):
            a.mesh.update([_peers.Node("gone", port=b.port).listed()])
            await asyncio.sleep(0.3)
            self.assertEqual(a.peers, {})
            self.assertEqual(b.peers, {})

    async def test_undecodable_envelope_does_not_end_redialling(self):
        a = _peers.Node("a")
        peer, port = _MalformedPeer(), fleet.free_port()
        server = grpc_server.Server([peer])
        await server.start("127.0.0.1", port)
        async with _peers.running(a):
            a.mesh.update([_peers.Node("b", port=port).listed()])
            await _peers.until(lambda: peer.streams >= 2)
        server.close()
        await server.wait_closed()

    async def test_stream_recovers_each_time_it_breaks(self):
        """A broken stream must not leave the redialling task cancelled."""
        a, b = _peers.Node("a"), _peers.Node("b")
        async with _peers.running(a, b):
            link = await forwarder.Forwarder.open(f"127.0.0.1:{b.port}")
            a.mesh.update([b.listed(link.address)])
            for replaced in (False, False, True, False):
                await _peers.until(lambda: a.peers and b.peers)
                if replaced:
                    a.mesh.peers["b"].close("replaced")
                else:
                    await link.break_connections()
                await _peers.until(lambda: not a.peers and not b.peers)
            await _peers.until(lambda: a.peers and b.peers)
            await link.close()

    async def test_half_cut_link_is_lost_on_both_sides(self):
        """Dials over a one-way link must not make the peer seem live."""
        for fault in (
            forwarder.Fault.HOLD_ANSWERS,
            forwarder.Fault.HOLD_REQUESTS,
        ):
            a, b = _peers.Node("a"), _peers.Node("b")
            async with _peers.running(a, b):
                link = await forwarder.Forwarder.open(f"127.0.0.1:{b.port}")
                a.mesh.update([b.listed(link.address)])
                await _peers.until(lambda a=a, b=b: a.peers and b.peers)
                link.fault = fault
                limit_s = 3 * _peers.TIMEOUT_S
                await _peers.until(
                    lambda a=a, b=b: not a.peers and not b.peers, limit_s
                )
                for _ in range(100):
                    await asyncio.sleep(0.02)
                    self.assertEqual((a.peers, b.peers), ({}, {}), fault)
                link.fault = forwarder.Fault.NONE
                await _peers.until(lambda a=a, b=b: a.peers and b.peers)
                await link.close()

    async def test_stop_while_dialling_leaves_no_task(self):
        """stop() must return, and links it closes must not be redialled."""
        a, b = _peers.Node("a"), _peers.Node("b")
        silent_socket = socket.create_server(("127.0.0.1", 0))
        port = silent_socket.getsockname()[1]
        entries = [b.listed(), _peers.Node("c", port=port).listed()]
        async with _peers.running(b):
            await a.mesh.start("127.0.0.1", a.port)
            a.mesh.update(entries[1:])
            b.mesh.update([a.listed()])
            await _peers.until(lambda: a.peers)
            a.mesh._changed = lambda: a.mesh.update(entries)
            await asyncio.wait_for(a.mesh.stop(), 2)
            await asyncio.sleep(0.05)
            names = {task.get_name() for task in asyncio.all_tasks()}
        self.assertFalse({n for n in names if n.endswith((" b", " c"))})
        silent_socket.close()
