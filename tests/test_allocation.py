"""Limits on the slots that one entry may use."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.model import demands
from sesameroad.model import endpoints
from sesameroad.scheduling import allocation
from sesameroad.scheduling import quota_lease
from sesameroad.scheduling import rank


class Clock(clocks.Clock):
    """Returns the time that a test sets."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


def _granted(epoch, session, *, team=0):
    return demands.Allocation(
        epoch,
        (demands.SlotCount("e0", 7),),
        (),
        (demands.SlotCount("red", team),),
        1_500,
        session=session,
    )


class AllocationTest(unittest.TestCase):
    """Guards against use beyond the limits without a valid allocation."""

    def setUp(self):
        self.clock = Clock()
        self.allocation = allocation.Allocation(self.clock)
        self.allocation.set_endpoints([endpoints.Endpoint("e0", "", "dc1")])
        self.allocation.configure(document.Operations(team_quotas={"red": 4}))
        self.allocation.set_entries(2, 0)

    def test_expired_allocation_falls_back_to_the_fixed_share(self):
        self.assertTrue(self.allocation.apply(_granted(1, 1), now=0.0))
        self.assertEqual(self.allocation.endpoint_limit("e0"), 7)
        self.clock.now = 1.6
        self.assertTrue(self.allocation.check_expiry())
        self.assertEqual(self.allocation.endpoint_limit("e0"), 4)

    def test_quota_grows_back_only_after_others_have_expired(self):
        """Another entry may still use the slots that this one was not granted."""
        self.allocation.apply(_granted(1, 1), now=0.0)
        self.clock.now = 1.6
        self.allocation.check_expiry()
        self.assertEqual(self.allocation.team_limit("red"), 0)
        self.clock.now = quota_lease.LENT_S - 0.1
        self.assertFalse(self.allocation.check_expiry())
        self.assertEqual(self.allocation.team_limit("red"), 0)
        self.clock.now = quota_lease.LENT_S
        self.assertTrue(self.allocation.check_expiry())
        self.assertEqual(self.allocation.team_limit("red"), 2)

    def test_lent_quota_counts_as_held_by_the_next_allocator(self):
        """The next allocator must not lend what an earlier one has lent."""
        self.allocation.apply(_granted(1, 1), now=0.0)
        self.allocation.change_allocator()
        self.assertEqual(self.allocation.team_limit("red"), 0)
        [held] = self.allocation.held_teams().values()
        self.assertEqual(held, demands.SlotCount("red", 2))
        # Allocations of the next allocator must not end the loan, nor extend it.
        empty = demands.Allocation(1, (), (), (), 1_500, session=2)
        self.clock.now = 1.0
        self.allocation.apply(empty, now=1.0)
        self.assertEqual(self.allocation.team_limit("red"), 0)
        self.clock.now = quota_lease.LENT_S
        self.allocation.check_expiry()
        self.assertEqual(self.allocation.team_limit("red"), 2)

    def test_grant_to_a_lender_counts_as_held(self):
        """The limit that it gets once its loan is over must not be lent."""
        self.allocation.apply(_granted(1, 1), now=0.0)
        self.allocation.change_allocator()
        self.clock.now = 1.0
        granted = dataclasses.replace(
            _granted(1, 2, team=4), valid_ms=9_000, endpoints=()
        )
        self.allocation.apply(granted, now=1.0)
        self.assertEqual(self.allocation.team_limit("red"), 0)
        [held] = self.allocation.held_teams().values()
        self.assertEqual(held, demands.SlotCount("red", 4))
        self.clock.now = quota_lease.LENT_S
        self.allocation.check_expiry()
        self.assertEqual(self.allocation.team_limit("red"), 4)

    def test_borrowed_quota_ends_with_its_allocator(self):
        """Its lenders may report to another allocator than this entry."""
        self.allocation.apply(_granted(1, 1, team=4), now=0.0)
        self.assertEqual(self.allocation.team_limit("red"), 4)
        self.allocation.change_allocator()
        self.assertEqual(self.allocation.team_limit("red"), 2)

    def test_expired_loan_is_not_renewed(self):
        """A process that was paused must not go on with an expired loan."""
        self.allocation.apply(_granted(1, 1, team=4), now=0.0)
        self.clock.now = 1.6
        empty = demands.Allocation(2, (), (), (), 1_500, session=1)
        self.assertTrue(self.allocation.apply(empty, now=1.6))
        self.assertEqual(self.allocation.team_limit("red"), 2)
        self.assertFalse(self.allocation.valid)

    def test_late_allocation_is_valid_from_the_report_it_answers(self):
        """A delayed allocation must not extend a loan that was taken back."""
        self.allocation.report_sent(1, now=0.0)
        self.allocation.report_sent(2, now=0.3)
        late = dataclasses.replace(_granted(1, 1, team=4), report=1)
        self.clock.now = 1.4
        self.allocation.apply(late, now=1.4)
        self.assertEqual(self.allocation.team_limit("red"), 4)
        self.clock.now = 1.5
        self.assertTrue(self.allocation.check_expiry())
        self.assertEqual(self.allocation.team_limit("red"), 2)

    def test_late_allocation_of_an_old_session_changes_nothing(self):
        """The allocator no longer counts that allocation as granted."""
        self.allocation.open_session()
        self.assertTrue(self.allocation.apply(_granted(1, 1), now=0.0))
        self.assertFalse(self.allocation.valid)

    def test_slots_of_a_later_endpoint_can_be_returned(self):
        """The current allocation may be older than the endpoint."""
        self.allocation.set_endpoints([])
        empty = demands.Allocation(1, (), (), (), 1_500, session=1)
        self.allocation.apply(empty, now=0.0)
        endpoint = endpoints.Endpoint("e0", "", "dc1")
        self.allocation.set_endpoints([endpoint])
        none = demands.SlotCount(endpoint.group, 0)
        granted = demands.Allocation(
            2, (), (), (), 1_500, pools=(none,), session=1
        )
        self.assertTrue(self.allocation.apply(granted, now=0.1))
        self.assertEqual(self.allocation.endpoint_limit("e0"), 0)

    def test_missing_allocation_asks_for_a_new_session(self):
        self.assertFalse(self.allocation.apply(_granted(2, 1), now=0.0))


class RankTest(unittest.TestCase):
    """Guards against fixed shares that do not add up to the capacity."""

    @hypothesis.given(st.text(), st.integers(0, 500), st.integers(1, 20))
    def test_fixed_shares_add_up(self, name, capacity, entries):
        shares = [
            rank.fixed_share(name, capacity, entries=entries, position=position)
            for position in range(entries)
        ]
        self.assertEqual(sum(shares), capacity)
