"""The configuration reaches instances that cannot read the store."""

import json
import types
import unittest

from sesameroad.node import node
from sesameroad.peering import links
from sesameroad.peering import messages
from sesameroad.settings import node as node_settings

_DOCUMENT = json.dumps({"version": 2, "routes": []}).encode()


class _Clock:
    now = 1_000.0

    def monotonic(self):
        return self.now

    def wall_ms(self):
        return 1_780_000_000_000


class _Mesh:
    """Fake mesh that records what is sent to its peers."""

    def __init__(self):
        self.peers = {}
        self.sent = []
        self.heartbeats = 0

    def add(self, name, *, version):
        """Adds a peer whose last heartbeat named a configuration version."""
        self.peers[name] = types.SimpleNamespace(
            hello=messages.Hello(name, "dc1", name),
            last_heartbeat=messages.Heartbeat(version, 1, False),
            offered_configuration=0,
        )

    def send(self, link: links.Link, message):
        self.sent.append((link.hello.instance_id, message))

    def send_heartbeats(self):
        self.heartbeats += 1

    async def stop(self):
        pass


class ConfigurationForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a new configuration that waits for an idle heartbeat.

    Idle links have a heartbeat each two seconds, and the configuration must be
    in force within three on instances that are cut off from the store.
    """

    async def asyncSetUp(self):
        self.clock = _Clock()
        self.node = node.Node(
            node_settings.NodeSettings(
                instance_id="i1",
                data_centre="dc1",
                data_centres={"dc1": "r"},
                web="127.0.0.1:1",
                ready="127.0.0.1:2",
                peer="127.0.0.1:3",
                metrics="127.0.0.1:4",
                platform="127.0.0.1:5",
                max_lease_ms=1_000,
            ),
            clock=self.clock,
        )
        self.addAsyncCleanup(self.node._close)
        self.mesh = self.node._mesh = _Mesh()

    def _apply(self):
        self.node._configuration_watcher.apply(_DOCUMENT, source="platform")

    async def test_new_version_is_told_to_all_peers_at_once(self):
        # Heartbeats are reused for a short time, but not with the old version.
        self.assertEqual(self.node._heartbeat().configuration_version, 0)
        self._apply()
        self.assertEqual(self.mesh.heartbeats, 1)
        self.assertEqual(self.node._heartbeat().configuration_version, 2)

    async def test_peer_that_lacks_it_gets_it_once_without_a_heartbeat(self):
        self.mesh.add("reads the store", version=2)
        self.mesh.add("cut off", version=1)
        self._apply()
        self.clock.now += 0.9
        self.node._forward_new_configuration()
        self.assertEqual(self.mesh.sent, [])
        self.clock.now += 0.2
        for _ in range(3):
            self.node._forward_new_configuration()
        self.assertEqual(
            self.mesh.sent,
            [("cut off", messages.ConfigurationUpdate(_DOCUMENT))],
        )
