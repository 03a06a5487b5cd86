"""Tests of the directory of entries and endpoints."""

import unittest

from sesameroad.configuration import document
from sesameroad.membership import directory
from sesameroad.membership import leaving_mark
from sesameroad.membership import listing
from sesameroad.model import endpoints
from sesameroad.model import instances


class _Clock:
    now = 100.0

    def monotonic(self):
        return self.now


def _endpoint(number: int, *, data_centre="dc1", leaving=False):
    return endpoints.Endpoint(
        f"{data_centre}-e{number}",
        "http://127.0.0.1:1",
        data_centre,
        worker=f"{data_centre}-w{number}",
        rack=f"{data_centre}-r{number % 2}",
        leaving=leaving,
    )


def _listing(version: int, *listed):
    entry = instances.Instance("a", "dc1", "127.0.0.1:1", leaving=True)
    return listing.Listing(version, (entry,), listed)


class DirectoryTest(unittest.TestCase):
    """Guards against work for endpoints that are leaving or drained."""

    def setUp(self):
        self.clock = _Clock()
        self.directory = directory.Directory(seeds=(), clock=self.clock)
        self.endpoints = (
            _endpoint(1),
            _endpoint(2),
            _endpoint(1, data_centre="dc2"),
        )
        self.directory.apply(_listing(1, *self.endpoints))

    def _live(self, data_centre="dc1"):
        return [e.id for e in self.directory.live_endpoints(data_centre)]

    def test_older_list_is_not_applied(self):
        self.assertFalse(self.directory.apply(_listing(1)))
        self.assertFalse(self.directory.apply(_listing(0)))
        self.assertEqual(len(self.directory.listing.endpoints), 3)

    def test_lookup_by_location(self):
        def ids(**place):
            return [e.id for e in self.directory.select(**place)]

        self.assertEqual(ids(data_centre="dc2"), ["dc2-e1"])
        self.assertEqual(ids(worker="dc1-w2"), ["dc1-e2"])
        self.assertEqual(ids(data_centre="dc1", rack="dc1-r1"), ["dc1-e1"])
        self.assertEqual(self.directory.data_centres, ["dc1", "dc2"])
        self.assertTrue(self.directory.is_leaving_entry("a"))

    def test_drain_applies_to_each_kind_of_location(self):
        for drained, live in (
            (document.DrainedSet(endpoints=("dc1-e1",)), ["dc1-e2"]),
            (document.DrainedSet(workers=("dc1-w2",)), ["dc1-e1"]),
            (document.DrainedSet(racks=("dc1-r1",)), ["dc1-e2"]),
            (document.DrainedSet(data_centres=("dc1",)), []),
            (document.DrainedSet(), ["dc1-e1", "dc1-e2"]),
        ):
            self.directory.drain(drained)
            self.assertEqual(self._live(), live)
            self.assertEqual(self._live("dc2"), ["dc2-e1"])

    def test_mark_outlives_a_list_that_lags(self):
        """A newer list may show the endpoint as it was before the mark."""
        self.assertTrue(self.directory.mark_leaving("dc1-e1"))
        self.directory.apply(_listing(2, *self.endpoints))
        self.assertEqual(self._live(), ["dc1-e2"])
        self.clock.now += leaving_mark.LIST_LAG_S
        self.assertTrue(self.directory.expire_marks())
        self.assertEqual(self._live(), ["dc1-e1", "dc1-e2"])

    def test_mark_ends_when_the_list_shows_the_endpoint_live_again(self):
        self.directory.mark_leaving("dc1-e1")
        self.clock.now += leaving_mark.LIST_LAG_S
        self.assertFalse(self.directory.expire_marks())
        self.directory.apply(_listing(2, _endpoint(1, leaving=True)))
        self.assertEqual(self._live(), [])
        self.directory.apply(_listing(3, *self.endpoints))
        self.assertEqual(self._live(), ["dc1-e1", "dc1-e2"])
        self.assertEqual(self.directory.leaving_marks, ())

    def test_mark_of_an_endpoint_that_left_ends_with_its_restart(self):
        """Guards against a restarted endpoint that gets no work for 30 s.

        A late answer of its former incarnation arrived after the list had
        stopped showing it.
        """
        self.directory.apply(_listing(2, _endpoint(2)))
        self.assertTrue(self.directory.mark_leaving("dc1-e1"))
        self.directory.apply(_listing(3, *self.endpoints))
        self.assertEqual(self._live(), ["dc1-e1", "dc1-e2"])

    def test_mark_made_on_a_newer_list_is_not_ended_by_that_list(self):
        """Guards against work for an endpoint that left after its restart."""
        self.directory.apply(_listing(2, _endpoint(2)))
        self.assertTrue(
            self.directory.mark_leaving("dc1-e1", listing_version=3)
        )
        self.directory.apply(_listing(3, *self.endpoints))
        self.assertEqual(self._live(), ["dc1-e2"])
        self.directory.apply(_listing(4, *self.endpoints))
        self.assertEqual(self._live(), ["dc1-e2"])

    def test_old_mark_of_a_peer_does_not_come_back(self):
        """A peer that is cut off from the platform may keep an old mark."""
        self.directory.apply(_listing(2, *self.endpoints))
        self.assertFalse(
            self.directory.mark_leaving(
                "dc1-e1", listing_version=1, age_s=leaving_mark.LIST_LAG_S
            )
        )
        self.assertEqual(self._live(), ["dc1-e1", "dc1-e2"])

    def test_mark_from_before_a_restart_does_not_come_back(self):
        """Guards against a peer with an old list that stops a live endpoint.

        It sends its marks on each new stream, and they go on to all entries.
        """
        for gone in ((_endpoint(2),), (_endpoint(1, leaving=True),)):
            version = self.directory.listing.version
            self.directory.apply(_listing(version + 1, *gone))
            self.directory.apply(_listing(version + 2, *self.endpoints))
            for made_at in (version, version + 1):
                self.assertFalse(
                    self.directory.mark_leaving(
                        "dc1-e1", listing_version=made_at, age_s=8.0
                    )
                )
            self.assertEqual(self._live(), ["dc1-e1", "dc1-e2"])
        self.assertTrue(
            self.directory.mark_leaving("dc1-e1", listing_version=version + 2)
        )

    def test_endpoints_that_left_are_forgotten(self):
        """Guards against memory that grows with each replaced endpoint."""
        for version in range(2, 100):
            self.clock.now += 1.0
            self.directory.apply(_listing(version, _endpoint(version)))
        self.assertLessEqual(
            len(self.directory._not_live), leaving_mark.LIST_LAG_S
        )
