"""Tests of starts on their way, of which a leader tells two keepers."""

import types
import unittest

from sesameroad.jobs import pending_starts
from sesameroad.model import pending_starts as model
from sesameroad.node import start_notices
from sesameroad.peering import messages
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _virtual

_KEY = "0123456789abcdef"


class _Run:
    """A run, which like a real one is equal only to itself."""

    def __init__(self, index):
        self.key = _KEY
        self.index = index


class PendingStartsTest(unittest.TestCase):

    def setUp(self):
        self.sent = []
        self.told = 0
        self.pending = pending_starts.PendingStarts(send=self._send)
        self.kept = pending_starts.KeptStarts()

    def _send(self, settled):
        notice = self.pending.notice(self.told, settled=settled)
        if notice.starts:
            self.told = notice.starts[-1].number
        self.sent.append(notice)
        self.kept.receive("leader", notice)

    def _kept_tasks(self):
        starts = self.kept.of("leader", left_s=13.0)
        return sorted(start.index for start in starts.get(_KEY, ()))

    def test_keeper_keeps_what_is_not_settled(self):
        """Guards against a forgotten start, and against one kept for ever."""
        first, second, third = (_Run(index) for index in range(3))
        self.pending.add(first, "e0")
        self.pending.add(second, "e1")
        self.pending.tell_added()
        self.assertEqual(self._kept_tasks(), [0, 1])
        self.pending.settle(first)
        self.pending.add(third, "e0")
        self.pending.tell_added()
        self.assertEqual(self._kept_tasks(), [0, 1, 2])
        self.pending.tell_settled()
        self.assertEqual(self._kept_tasks(), [1, 2])
        self.pending.settle(second)
        self.pending.settle(third)
        self.pending.tell_settled()
        self.assertEqual(self.kept.leaders, ())

    def test_nothing_is_told_twice(self):
        """Guards against messages without news, at each check of a leader."""
        run = _Run(0)
        self.pending.add(run, "e0")
        self.pending.tell_added()
        self.pending.tell_added()
        self.pending.tell_settled()
        self.assertEqual(len(self.sent), 1)
        self.pending.settle(run)
        self.pending.settle(run)
        self.pending.tell_settled()
        self.pending.tell_settled()
        self.assertEqual(self.sent[1:], [model.Notice((), ())])

    def test_start_that_is_settled_before_it_was_told_is_not_told(self):
        """Guards against a keeper that never hears of the end of a start."""
        run = _Run(0)
        self.pending.add(run, "e0")
        self.pending.settle(run)
        self.pending.tell_added()
        self.pending.tell_settled()
        self.assertEqual(self._kept_tasks(), [])

    def test_new_keeper_is_told_of_all(self):
        """Guards against a keeper that knows only what came after it."""
        for index in range(3):
            self.pending.add(_Run(index), "e0")
            self.pending.tell_added()
        self.told = 0
        self.kept = pending_starts.KeptStarts()
        self.pending.add(_Run(3), "e0")
        self.pending.tell_added()
        self.assertEqual(self._kept_tasks(), [0, 1, 2, 3])

    def test_kept_starts_are_bounded(self):
        """Guards against a peer that fills the memory; the latest ones stay."""
        starts = tuple(
            model.PendingStart(number, _KEY, number, "e0")
            for number in range(1, 6_001)
        )
        self.kept.receive("leader", model.Notice(starts))
        self.assertEqual(self._kept_tasks(), list(range(1_001, 6_001)))


class OrderOfMessagesTest(_virtual.VirtualTimeTest):

    async def test_keepers_are_told_before_a_start_is_sent(self):
        """Guards against a leader that is killed between both."""
        site = _jobs.Site(count=2)
        events = []
        site.links.pending("leader1")._send = lambda settled: events.append(
            "told"
        )

        class Orders(_jobs.CutOrders):

            async def start(self, endpoint, **order):
                events.append("sent")
                return await super().start(endpoint, **order)

        async with site.leader(orders_=Orders(site.fleet)) as leader:
            await leader.submit(site.job(count=2), site.origin)
        self.assertEqual(events[0], "told")
        self.assertEqual(events.count("sent"), 2)


class _Link:

    def __init__(self, name, data_centre, *, token=0):
        self.hello = messages.Hello(name, data_centre, f"{name}-process")
        self.live = True
        self.leaving = False
        self.told_token = 0
        claims = (messages.LeadershipClaim(data_centre, token),)
        self.last_heartbeat = messages.Heartbeat(
            1, 1, False, claims if token else ()
        )


class _Mesh:

    def __init__(self, *links):
        self.links = links
        self.sent = []

    @property
    def peers(self):
        return {
            link.hello.instance_id: link for link in self.links if link.live
        }

    def find(self, incarnation):
        for link in self.peers.values():
            if link.hello.incarnation == incarnation:
                return link
        return None

    def send(self, link, message):
        self.sent.append((link.hello.instance_id, message))
        return True

    def broadcast(self, message):
        for link in self.peers.values():
            self.send(link, message)


class StartNoticesTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.near, self.near2 = (_Link(n, "dc1") for n in ("n1", "n2"))
        self.far, self.far2 = (_Link(n, "dc2") for n in ("f1", "f2"))
        self.leader = _Link("leader", "dc3", token=5)
        self.mesh = _Mesh(
            self.near, self.near2, self.far, self.far2, self.leader
        )
        self.notices = start_notices.StartNotices(
            settings=types.SimpleNamespace(
                instance_id="i1", data_centre="dc1", max_lease_ms=1_000
            ),
            mesh=self.mesh,
            clock=_virtual.Clock(),
            metrics=job_metrics.JobMetrics(),
        )
        self.notice = model.Notice((model.PendingStart(1, _KEY, 0, "e0"),))

    def _told(self):
        return [name for name, _ in self.mesh.sent]

    def test_keepers_are_in_the_own_data_centre_and_outside(self):
        """Guards against starts that are lost with a data centre, or its links."""
        self.notices.pending.add(_Run(0), "e0")
        self.notices.pending.tell_added()
        links = {link.hello.instance_id: link for link in self.mesh.links}
        told = {links[name].hello.data_centre for name in self._told()}
        self.assertEqual(len(told), 2)
        self.assertIn("dc1", told)

    def test_lost_keeper_is_replaced_by_one_that_is_told_of_all(self):
        """Guards against starts that only a lost keeper knows."""
        self.notices.pending.add(_Run(0), "e0")
        self.notices.pending.tell_added()
        former = set(self._told())
        for link in self.mesh.links:
            link.live = link.hello.instance_id not in former
        self.mesh.sent.clear()
        self.notices.pending.add(_Run(1), "e0")
        self.notices.pending.tell_added()
        self.assertEqual(len(self.mesh.sent), 2)
        for _, notice in self.mesh.sent:
            self.assertEqual([s.index for s in notice.starts], [0, 1])

    async def test_starts_of_a_lost_leader_count_as_held_up(self):
        """Guards against a start that a leader was killed too early to tell."""
        self.notices.receive_pending(self.leader, self.notice)
        self.assertEqual(self.notices.record_losses(), ())
        self.leader.live = False
        with self.assertLogs(level="INFO"):
            self.assertEqual(self.notices.record_losses(), (_KEY,))
        (start,) = self.notices.held_up.of(_KEY, foreign=True)
        self.assertEqual((start.index, start.endpoint), (0, "e0"))
        self.assertGreater(start.left_s, 13.0)
        self.notices.held_up.flush()
        self.assertEqual(set(self._told()), {"n1", "n2", "f1", "f2"})
        self.assertEqual(self.notices.record_losses(), ())

    def test_next_leader_is_told_before_the_former_one_is_missed(self):
        """Guards against a takeover that a keeper sees before the loss."""
        self.notices.receive_pending(self.leader, self.notice)
        other = _Link("f3", "dc2", token=9)
        self.notices.tell(other, other.last_heartbeat)
        self.assertEqual(self.mesh.sent, [])
        successor = _Link("n3", "dc3", token=9)
        self.notices.tell(successor, successor.last_heartbeat)
        ((name, told),) = self.mesh.sent
        self.assertEqual(name, "n3")
        self.assertEqual(list(told.starts), [_KEY])
