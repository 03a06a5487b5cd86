"""Endpoints over outages of the platform's list."""

from sesameroad.model import endpoint as endpoints
from sesameroad.node import listing as listings
from tests import _virtual


def _endpoint(name):
    return endpoints.Endpoint(id=name, url="http://x", data_centre="dc1")


class _Clock:
    now = 100.0

    def monotonic(self):
        return self.now


class ListingTest(_virtual.VirtualTimeTest):

    def setUp(self):
        self.clock = _Clock()
        self.listing = listings.Listing(clock=self.clock)
        self.read("a", "b")

    def read(self, *names):
        self.listing.apply(map(_endpoint, names), period_s=0.8)

    def names(self):
        return {endpoint.id for endpoint in self.listing.live}

    def test_missing_entry_is_gone_while_the_list_is_read(self):
        self.clock.now += 0.8
        self.read("a")
        self.assertEqual(self.names(), {"a"})

    def test_entries_that_expired_in_an_outage_stay_until_they_are_back(self):
        """Otherwise an outage of the store takes every endpoint with it."""
        self.clock.now += 6.0
        self.read()
        self.assertEqual(self.names(), {"a", "b"})
        self.clock.now += 1.0
        self.read("a")
        self.assertEqual(self.names(), {"a", "b"})
        self.clock.now += 1.6
        self.read("a")
        self.assertEqual(self.names(), {"a"})
