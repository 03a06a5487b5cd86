"""Messages of peers at an instance."""

import asyncio
import types
import unittest

from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.node import node
from sesameroad.peering import messages
from sesameroad.settings import node as node_settings


class _Leaders:
    """Fake leaders that record the jobs of a peer."""

    def __init__(self):
        self.calls = []

    async def submit(self, data_centre, job, origin, *, moved, lent):
        self.calls.append(("submit", job.name))
        return outcomes.Complete(())

    def cancel(self, name, origin_id):
        self.calls.append(("cancel", name))

    async def close(self):
        pass


class _NodeTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
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
            clock=clocks.Clock(),
        )
        self.addAsyncCleanup(self.node._close)
        self.leaders = self.node._leaders = _Leaders()


class NodeTest(_NodeTest):

    async def test_cancel_of_a_job_does_not_overtake_its_offer(self):
        """Guards against a run of a job that its origin has given up.

        The messages of an envelope are handled in one turn of the event loop.
        A cancel found no job, and the job of its offer began after it.
        """
        link = types.SimpleNamespace(
            hello=messages.Hello("i2", "dc1", "1"), send=lambda message: None
        )
        job = types.SimpleNamespace(name="job", key="job")
        self.node._receive(link, messages.JobOffer(1, "dc1", job))
        self.node._receive(link, messages.JobCancel("job"))
        await asyncio.sleep(0.01)
        self.assertEqual(
            self.leaders.calls, [("submit", "job"), ("cancel", "job")]
        )


class _Coordinator:
    """Fake coordinator whose jobs end when the test says so."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.begun = 0
        self.cancelled = 0

    async def run(self, job):
        self.begun += 1
        try:
            await self.ended.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return outcomes.Complete(())


class RepeatedRequestTest(_NodeTest):
    """Guards against a lost connection that ends a later attempt as well."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.coordinator = self.node._coordinator = _Coordinator()

    async def _call(self):
        job = types.SimpleNamespace(
            key="k",
            queue="q",
            count=1,
            estimate_s=0.1,
            objective_at=1.0,
            deadline_at=2.0,
        )
        call = asyncio.create_task(self.node._run(job))
        await asyncio.sleep(0.01)
        return call

    async def test_later_attempt_is_answered_after_the_first_has_ended(self):
        """The loss of a connection is noticed after its request came again."""
        first, second = await self._call(), await self._call()
        first.cancel()
        await asyncio.sleep(0.01)
        self.coordinator.ended.set()
        outcome = await asyncio.wait_for(second, 1.0)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(self.coordinator.begun, 1)
        self.assertFalse(self.node.is_running("k"))

    async def test_job_ends_once_all_its_callers_have_left(self):
        first, second = await self._call(), await self._call()
        first.cancel()
        second.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(self.coordinator.cancelled, 1)
        self.assertFalse(self.node.is_running("k"))

    async def test_request_that_comes_during_a_cancel_begins_again(self):
        await self._call()
        self.assertTrue(self.node.cancel("k"))
        again = await self._call()
        self.coordinator.ended.set()
        outcome = await asyncio.wait_for(again, 1.0)
        self.assertEqual(outcome, outcomes.Complete(()))
        self.assertEqual(self.coordinator.begun, 2)
