"""Tests of the exchange of configuration and endpoints between entries."""

import dataclasses
import types
import unittest

from sesameroad.configuration import store
from sesameroad.entry import gossip
from sesameroad.membership import directory
from sesameroad.membership import listing
from sesameroad.model import endpoints
from sesameroad.peering import messages

_EMPTY_STATE = messages.Heartbeat(0, 0, False)
_LISTING = listing.Listing(
    4, (), (endpoints.Endpoint("e1", "http://127.0.0.1:1", "dc1"),)
)


class _Clock:
    now = 100.0

    def monotonic(self):
        return self.now


class _Mesh:

    def __init__(self, *names):
        self.sent = []
        self.all_dialled = True
        self.peers = {
            name: types.SimpleNamespace(
                hello=messages.Hello(name, "dc1", name),
                last_heartbeat=_EMPTY_STATE,
                offered_configuration=0,
                offered_listing=0,
                offered_marks=False,
            )
            for name in names
        }

    def send(self, link, message):
        self.sent.append((link.hello.instance_id, message))

    def broadcast(self, message, *, skip=None):
        for link in self.peers.values():
            if link is not skip:
                self.send(link, message)


class GossipTest(unittest.TestCase):
    """Guards against entries that stay behind, and against useless messages."""

    def setUp(self):
        self.clock = _Clock()
        self.mesh = _Mesh("b", "c")
        self.b, self.c = self.mesh.peers.values()
        self.store = store.Store(table=None, fallback=None)
        self.directory = directory.Directory(seeds=(), clock=self.clock)
        self.gossip = gossip.Gossip(
            instance_id="a",
            mesh=self.mesh,
            store=self.store,
            directory=self.directory,
            clock=self.clock,
            configuration_changed=lambda: None,
            members_changed=lambda: None,
        )
        self.version = dataclasses.replace(
            self.store.current, number=3, change_id="x"
        )

    def _beat(self, link, *state):
        link.last_heartbeat = messages.Heartbeat(*state, False)
        self.gossip.receive(link, link.last_heartbeat)
        sent, self.mesh.sent = self.mesh.sent, []
        return sent

    def test_entry_settles_on_the_newest_version_of_its_peers(self):
        """Guards against an entry that is ready with an outdated configuration.

        The fallback must not be used while a peer has a newer version.
        """
        self.b.last_heartbeat = messages.Heartbeat(3, 0, False)
        self.assertFalse(self.gossip.caught_up)
        update = messages.ConfigurationUpdate(self.version.to_json())
        self.gossip.receive(self.b, update)
        self.mesh.all_dialled = False
        self.assertFalse(self.gossip.caught_up)
        self.mesh.all_dialled = True
        self.assertTrue(self.gossip.caught_up)

    def test_entry_goes_on_with_the_fallback_after_a_bounded_time(self):
        """Guards against an entry that never gets ready during an outage."""
        self.b.last_heartbeat = messages.Heartbeat(3, 0, False)
        self.clock.now += 3.0
        self.assertFalse(self.gossip.caught_up)
        self.clock.now += 0.1
        self.assertTrue(self.gossip.caught_up)

    def test_mark_goes_to_all_but_its_source_and_only_once(self):
        """Guards against marks that circulate among the entries."""
        self.directory.apply(_LISTING)
        mark = messages.LeavingMark("e1", 4, 100)
        for _ in range(2):
            self.gossip.receive(self.b, messages.EndpointUpdate(b"", (mark,)))
        expected = messages.EndpointUpdate(b"", (mark,))
        self.assertEqual(self.mesh.sent, [("c", expected)])
        self.assertEqual(self.directory.live_endpoints("dc1"), [])

    def test_marks_of_list_and_endpoint_are_pushed(self):
        """Guards against sends to endpoints that are known to be leaving.

        An entry that cannot reach the platform gets the marks from its peers.
        """
        self.directory.apply(_LISTING)
        self.assertTrue(self.gossip.mark_endpoint_leaving("e1"))
        self.assertFalse(self.gossip.mark_endpoint_leaving("e1"))
        self.assertEqual([name for name, _ in self.mesh.sent], ["b", "c"])
        leaving = dataclasses.replace(_LISTING.endpoints[0], leaving=True)
        self.directory.apply(listing.Listing(5, (), (leaving,)))
        self.gossip.listing_changed()
        self.gossip.listing_changed()
        self.assertEqual(len(self.mesh.sent), 4)

    def test_list_is_offered_once_and_only_to_a_peer_that_is_behind(self):
        """Guards against repeated transfers of the list.

        The list of the largest fleet in the design is large.
        """
        self.directory.apply(_LISTING)
        self.assertEqual(self._beat(self.b, 0, 4), [])
        self.assertEqual(self._beat(self.b, 0, 3), [])
        self.clock.now += 2.5
        ((name, update),) = self._beat(self.b, 0, 3)
        self.assertEqual(name, "b")
        self.assertEqual(self._beat(self.b, 0, 3), [])
        other = directory.Directory(seeds=())
        self.gossip._directory = other
        self.gossip.receive(self.b, update)
        self.assertEqual(other.listing, _LISTING)
        self.gossip.receive(self.b, messages.EndpointUpdate(b"garbage"))

    def test_new_peer_gets_configuration_and_marks_at_once(self):
        """Guards against a new entry that waits although it has no content."""
        self.directory.apply(_LISTING)
        self.store.apply(self.version)
        self.directory.mark_leaving("e1")
        self.clock.now += 1.0
        sent = [message for _, message in self._beat(self.c, 0, 4)]
        self.assertEqual(
            sent,
            [
                messages.EndpointUpdate(
                    b"", (messages.LeavingMark("e1", 4, 1_000),)
                ),
                messages.ConfigurationUpdate(self.version.to_json()),
            ],
        )

    def test_push_goes_to_peers_that_are_behind(self):
        """Guards against pushes that are repeated or not needed."""
        self.store.apply(self.version)
        self.b.last_heartbeat = messages.Heartbeat(3, 0, False)
        self.gossip.push_configuration()
        self.gossip.push_configuration()
        self.assertEqual([name for name, _ in self.mesh.sent], ["c"])
