"""Messages of peers at an instance."""

import asyncio
import types
import unittest

from sesameroad import errors
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

    def apply_heartbeat(self, link, heartbeat):
        self.calls.append(("heartbeat", link.hello.instance_id))

    def tell_held_up(self, link, heartbeat):
        self.calls.append(("held-up starts", link.hello.instance_id))

    def tell_moving(self, link, heartbeat, moving):
        self.calls.append(("moving jobs", link.hello.instance_id))

    def is_idle(self, link):
        return True

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

    async def test_offer_that_fails_by_an_error_is_answered(self):
        """Guards against an origin that waits for a reply until the deadline."""
        replies = []
        link = types.SimpleNamespace(
            hello=messages.Hello("i2", "dc1", "1"), send=replies.append
        )

        async def submit(*args, **kwargs):
            raise ValueError("fault")

        self.leaders.submit = submit
        job = types.SimpleNamespace(name="job", key="job")
        self.node._receive(link, messages.JobOffer(1, "dc1", job))
        await asyncio.sleep(0.01)
        (reply,) = replies
        self.assertIsInstance(reply.outcome, outcomes.Unknown)

    async def test_link_on_which_an_answer_is_lost_is_closed(self):
        """Guards against an origin that waits for a reply that was dropped.

        The queue of the link was full, and its loss is what the origin notices.
        """
        closed = []

        def send(message):
            raise errors.PeerNotSentError("full", step="send", peer="i2")

        link = types.SimpleNamespace(
            hello=messages.Hello("i2", "dc1", "1"),
            send=send,
            close=closed.append,
        )
        job = types.SimpleNamespace(name="job", key="job")
        self.node._receive(link, messages.JobOffer(1, "dc1", job))
        await asyncio.sleep(0.01)
        self.assertEqual(len(closed), 1)

    async def test_new_leader_is_told_of_cancels_with_its_first_heartbeat(self):
        """Guards against a job that a new leader starts meanwhile (review/10).

        Jobs that wait for a leader are offered within 20 ms.
        """
        self.node._canceller._cancellations.add("k", clocks.elapsed_s())
        sent = []

        def send(message):
            # A leader may start tasks once it has the cancels.
            self.assertIn(("held-up starts", "i2"), self.leaders.calls)
            self.assertIn(("moving jobs", "i2"), self.leaders.calls)
            sent.append(message)

        link = types.SimpleNamespace(
            hello=messages.Hello("i2", "dc1", "1"),
            send=send,
            set_idle=lambda idle: None,
            offered_configuration=0,
            offered_listing=0,
            told_token=0,
        )
        claim = messages.LeadershipClaim("dc1", 7)
        self.node._receive(link, messages.Heartbeat(0, 1, False, (claim,)))
        self.assertEqual([(m.token, set(m.ages_s)) for m in sent], [(7, {"k"})])
