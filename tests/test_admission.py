"""Load shedding."""

import unittest

from sesameroad.configuration import document
from sesameroad.model import endpoints
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger
from sesameroad.scheduling import admission
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy
from sesameroad.scheduling import queue

_CONTENT = document.Document(
    product=document.Product(
        kinds={"call": document.Kind(0), "job": document.Kind(1)}
    ),
    operations=document.Operations(
        team_quotas={"red": 50, "blue": 50, "none": 0}
        | {f"team{n}": 50 for n in range(100)},
        kind_ceilings={"job": 50},
    ),
)
_LATER_MS = 10**9


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a flood that leaves others no room in the queue."""

    def setUp(self):
        allocation = allocation_module.Allocation()
        allocation.set_endpoints([endpoints.Endpoint("e0", "", "dc1")])
        self.queue = queue.Queue()
        self.admission = admission.Admission(
            _CONTENT,
            max_queued=100,
            queue=self.queue,
            policy=policy.Policy(_CONTENT, allocation=allocation),
            allocation=allocation,
        )

    def _work(self, kind="call", team="red", deadline_ms=_LATER_MS):
        return work_module.Request(
            "k", team, kind, deadline_ms, work_module.Task(b"")
        )

    def _refusal(self, **fields):
        return self.admission.refusal(self._work(**fields), now_ms=0)

    def _flood(self, kind, teams, count=200):
        for number in range(count):
            work = self._work(kind, teams[number % len(teams)])
            if self.admission.refusal(work, now_ms=0) is None:
                record = ledger.Record.from_work(work, digest="", expiry_ms=0)
                self.queue.push(
                    pending_task.PendingTask(record, 0, 0.0), now=0.0
                )

    async def test_flood_of_a_kind_leaves_room_for_the_other(self):
        # With this many teams the limit of each team alone does not stop them.
        self._flood("job", [f"team{n}" for n in range(100)])
        self.assertIsNotNone(self._refusal(kind="job"))
        self.assertIsNone(self._refusal(kind="call"))

    async def test_flood_of_a_team_leaves_room_for_the_other(self):
        self._flood("job", ["red"])
        refusal = self._refusal(kind="job", team="red")
        self.assertEqual(refusal.cause, outcomes.Cause.TEAM_QUOTA)
        self.assertIsNone(self._refusal(kind="job", team="blue"))

    async def test_work_that_would_start_too_late_is_refused(self):
        for _ in range(20):
            self.admission.observe("call", 1.0)
        self._flood("call", ["red", "blue"], count=40)
        refusal = self._refusal(deadline_ms=2_000)
        self.assertEqual(refusal.cause, outcomes.Cause.DEADLINE)
        self.assertIsNone(self._refusal(deadline_ms=60_000))

    async def test_team_without_quota_is_refused_with_its_cause(self):
        refusal = self._refusal(team="none")
        self.assertEqual(refusal.cause, outcomes.Cause.TEAM_QUOTA)

    async def test_task_past_its_deadline_is_late(self):
        """A task that is still queued at its deadline must not be sent."""
        work = self._work(deadline_ms=1_000)
        pending = pending_task.PendingTask(
            ledger.Record.from_work(work, digest="", expiry_ms=0), 0, 0.0
        )
        self.assertTrue(self.admission.is_late(pending, now=2.0, now_ms=2_000))
        self.assertFalse(self.admission.is_late(pending, now=0.1, now_ms=100))
