"""The list of endpoints during and after outages of the store."""

from sesameroad.model import endpoints
from sesameroad.node import endpoint_list
from tests import _virtual


def _endpoint(name):
    return endpoints.Endpoint(id=name, url="http://x", data_centre="dc1")


class _Clock:
    now = 100.0

    def monotonic(self):
        return self.now


class EndpointListTest(_virtual.VirtualTimeTest):

    def setUp(self):
        self.clock = _Clock()
        self.endpoint_list = endpoint_list.EndpointList(clock=self.clock)
        self.read("a", "b")

    def read(self, *names):
        self.endpoint_list.apply(map(_endpoint, names), period_s=0.8)

    def names(self):
        return {endpoint.id for endpoint in self.endpoint_list.live}

    def test_endpoint_that_is_no_longer_listed_is_removed(self):
        self.clock.now += 0.8
        self.read("a")
        self.assertEqual(self.names(), {"a"})

    def test_endpoints_expired_in_an_outage_stay_until_rewritten(self):
        """Guards against an outage of the store that removes all endpoints.

        Rows of endpoints expire during an outage, and are missing from the
        first reads after it.
        """
        self.clock.now += 6.0
        self.read()
        self.assertEqual(self.names(), {"a", "b"})
        self.clock.now += 1.0
        self.read("a")
        self.assertEqual(self.names(), {"a", "b"})
        self.clock.now += 1.6
        self.read("a")
        self.assertEqual(self.names(), {"a"})
