"""An entry's part in the division of slots, across changes of the allocator."""

import unittest

from sesameroad.configuration import document
from sesameroad.model import demands
from sesameroad.scheduling import allocation
from sesameroad.scheduling import allocation_agent
from sesameroad.scheduling import matcher
from sesameroad.scheduling import policy
from sesameroad.scheduling import queue
from sesameroad.scheduling import rank
from tests import fixtures

_ALLOCATOR, _ENTRY = rank.order("dc1", ["a", "b"])
_CONTENT = document.Document(
    operations=document.Operations(team_quotas={"red": 10})
)


class AllocationAgentTest(unittest.TestCase):

    def setUp(self):
        clock = fixtures.FakeClock()
        self.allocation = allocation.Allocation(clock)
        queue_ = queue.Queue()
        policy_ = policy.Policy(_CONTENT, allocation=self.allocation)
        self.agent = allocation_agent.AllocationAgent(
            entry=_ENTRY,
            allocation=self.allocation,
            matcher=matcher.Matcher(
                queue=queue_,
                policy=policy_,
                allocation=self.allocation,
                clock=clock,
            ),
            policy=policy_,
            queue=queue_,
            clock=clock,
            send=lambda entry, message: True,
        )

    def _configure(self, incarnation):
        self.agent.configure(
            data_centre="dc1",
            content=_CONTENT,
            live=(),
            reachable=[_ALLOCATOR, _ENTRY],
            incarnations={_ALLOCATOR: incarnation},
        )

    def _borrow(self, count):
        self.agent.step()
        self.agent.receive(
            _ALLOCATOR,
            demands.Allocation(
                1,
                (),
                (),
                (demands.SlotCount("red", count),),
                1_500,
                session=self.allocation.session,
                report=1,
            ),
        )

    def test_loan_of_a_restarted_allocator_is_given_up(self):
        """Guards against a loan that an allocator renews without its lender.

        A restarted allocator does not know which entries have lent.
        """
        self._configure("1")
        self._borrow(8)
        self._configure("1")
        self.assertEqual(self.allocation.team_limit("red"), 8)
        self._configure("2")
        self.assertEqual(self.agent.allocator_id, _ALLOCATOR)
        self.assertEqual(self.allocation.team_limit("red"), 5)
