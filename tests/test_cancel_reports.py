"""Cancels that a new leader is told of before it starts tasks."""

import asyncio
import types
import unittest

from sesameroad import errors
from sesameroad.jobs import cancel_reports
from sesameroad.model import outcomes
from sesameroad.node import leader_coverage
from sesameroad.peering import codec
from sesameroad.peering import messages
from sesameroad.peering import peer_pb2
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _virtual
from tests import test_leaders

_TIMEOUT_S = 0.75


class _Peer:
    """A stream to a peer that is heard until it is lost."""

    def __init__(self, clock):
        self._clock = clock
        self.live = True
        self.heard = True

    def is_heard_since(self, at):
        return self.heard and at <= self._clock.monotonic()


class CancelReportsTest(_virtual.VirtualTimeTest):

    def open(self, *names):
        self.clock = _virtual.Clock()
        self.metrics = job_metrics.JobMetrics()
        self.peers = {name: _Peer(self.clock) for name in names}
        self.reports = cancel_reports.CancelReports(
            token=7,
            peers=self.peers,
            timeout_s=_TIMEOUT_S,
            clock=self.clock,
            metrics=self.metrics,
        )

    async def wait_s(self):
        """Returns how long the leader waits."""
        began_at = self.clock.monotonic()
        await self.reports.wait()
        return self.clock.monotonic() - began_at

    def missing(self):
        text = self.metrics.render().decode()
        name = "sesameroad_cancel_reports_missing_total "
        return float(text.partition("\n" + name)[2].split()[0])

    async def test_leader_without_peers_does_not_wait(self):
        self.open()
        self.assertEqual(await self.wait_s(), 0.0)

    async def test_starts_begin_with_the_last_report(self):
        """Guards against a start before any of the peers has told of a cancel."""
        self.open("a", "b")
        loop = asyncio.get_running_loop()
        loop.call_later(0.011, self.reports.record, "a")
        loop.call_later(0.012, self.reports.record, "stranger")
        loop.call_later(0.033, self.reports.record, "b")
        self.assertAlmostEqual(await self.wait_s(), 0.033, delta=0.001)
        self.assertEqual(self.missing(), 0)

    async def test_lost_peer_is_not_waited_for(self):
        self.open("a", "b")
        self.reports.record("a")
        asyncio.get_running_loop().call_later(
            0.2, setattr, self.peers["b"], "live", False
        )
        self.assertLess(await self.wait_s(), 0.3)
        self.assertEqual(self.missing(), 1)

    async def test_silent_peer_is_waited_for_until_it_counts_as_lost(self):
        """Guards against a leader that waits seconds for a frozen peer."""
        self.open("a")
        self.peers["a"].heard = False
        waited_s = await self.wait_s()
        self.assertGreaterEqual(waited_s, _TIMEOUT_S)
        self.assertLess(waited_s, _TIMEOUT_S + 0.1)

    async def test_peer_that_never_reports_does_not_prevent_starts(self):
        """Guards against a leader that starts nothing beside an old release."""
        self.open("a")
        waited_s = await self.wait_s()
        self.assertGreater(waited_s, _TIMEOUT_S + 0.1)
        self.assertLess(waited_s, 1.2)


class SchedulerTest(_virtual.VirtualTimeTest):

    async def test_nothing_starts_before_the_reports(self):
        """Guards against a start of a cancelled job by a new leader (review/10)."""
        site = _jobs.Site(count=2)
        reports = cancel_reports.CancelReports(
            token=1,
            peers={"a": _Peer(site.clock)},
            timeout_s=_TIMEOUT_S,
            clock=site.clock,
            metrics=job_metrics.JobMetrics(),
        )
        cancelled = site.job("c" * 16, deadline_s=5.0)
        wanted = site.job("d" * 16, deadline_s=5.0)
        async with site.leader(cancel_reports=reports) as leader:
            calls = [
                asyncio.create_task(leader.submit(job, site.origin))
                for job in (cancelled, wanted)
            ]
            await asyncio.sleep(0.2)
            self.assertEqual(list(site.history.starts), [])
            leader.cancel_key(cancelled.key, age_s=9.0)
            reports.record("a")
            first, second = await asyncio.gather(*calls)
            self.assertEqual(first.cause, outcomes.Cause.CANCELLED)
            self.assertIsInstance(second, outcomes.Complete)
            self.assertFalse(
                [t for t in site.history.starts if t.startswith(cancelled.key)]
            )


class LeadersTest(test_leaders._LeadersTest):
    """Reports that arrive at an instance, and leaders that are not visible."""

    def setUp(self):
        super().setUp()
        self.link = types.SimpleNamespace(
            hello=messages.Hello("p2", "dc1", "p2")
        )

    def receive(self, *args, **options):
        self.leaders.receive_cancels(
            self.link, messages.RecentCancels(*args, **options)
        )

    def kept(self):
        return self.leaders._cancellations.recent(self.clock.now)

    async def lead(self):
        self.peer("p2", "dc1", leaving=True)
        self.wait(1.0)
        claim, *_ = self.leaders.claims()
        self.reports = self.leaders._cancel_reports
        self.assertEqual(set(self.reports._awaited), {"p2"})
        scheduler = self.leaders._scheduler
        self.cancelled = []

        def cancel_key(key, *, age_s):
            self.cancelled.append((key, age_s))

        scheduler.cancel_key = cancel_key
        return claim.token

    async def test_peer_that_was_silent_before_the_claim_is_not_waited_for(
        self,
    ):
        """Guards against a slow takeover after a cut, with peers on idle links."""
        self.peer(test_leaders._LATER, heard=False)
        self.wait(1.0)
        self.assertTrue(self.leaders.is_leader)
        self.assertEqual(set(self.leaders._cancel_reports._awaited), set())

    async def test_report_ends_jobs_and_counts(self):
        token = await self.lead()
        self.receive(token, {"k": 2.0}, complete=False)
        self.assertEqual(set(self.reports._awaited), {"p2"})
        self.receive(token, {"j": 3.0})
        self.assertEqual(self.cancelled, [("k", 2.0), ("j", 3.0)])
        self.assertEqual(set(self.reports._awaited), set())

    async def test_report_for_an_earlier_claim_changes_nothing(self):
        """Guards against starts by a report that lacks the latest cancels."""
        token = await self.lead()
        with self.assertLogs(level="WARNING") as logs:
            self.receive(token - 1, {"k": 2.0})
        self.assertIn("is over were ignored", logs.output[0])
        self.assertEqual(self.cancelled, [])
        self.assertEqual(set(self.reports._awaited), {"p2"})

    async def test_report_that_comes_after_a_resignation_changes_nothing(self):
        with self.assertLogs(level="WARNING"):
            self.receive(5, {"k": 2.0})
        self.assertEqual(self.kept(), {})

    async def test_cancel_that_is_too_old_ends_no_job(self):
        """Guards against the end of a job whose key is used again."""
        token = await self.lead()
        with self.assertLogs(level="WARNING") as logs:
            self.receive(token, {"k": 30.0})
        self.assertIn("came too late", logs.output[0])
        self.assertEqual(self.cancelled, [])

    async def test_cancels_of_a_stopping_instance_are_kept_without_leading(
        self,
    ):
        """Guards against a cancel that is lost as instances stop in turn."""
        self.receive(0, {"k": 2.0, "old": 31.0})
        self.assertEqual(self.kept(), {"k": 2.0})
        self.clock.now += 29.0
        self.assertEqual(self.kept(), {})

    async def test_instance_that_leads_nothing_keeps_a_cancel(self):
        """Guards against a cancel that only the leader knows (review/6)."""
        self.assertIsNone(self.leaders.cancel_key("k"))
        self.assertEqual(self.kept(), {"k": 0.0})

    async def test_data_centre_without_a_visible_leader_is_reported(self):
        """Guards against "no such job" in a zone that is cut off (review/8)."""
        self.peer("p2", claims=[messages.LeadershipClaim("dc1", 7)])
        self.assertEqual(self.leaders.unseen_led(), ["dc2"])
        self.peer("p3", "dc2", claims=[messages.LeadershipClaim("dc2", 8)])
        self.assertEqual(self.leaders.unseen_led(), [])

    async def test_listed_leader_counts_while_its_row_is_fresh(self):
        """Guards against "no such job" outside a zone that is cut off."""
        self.peer(
            "p2",
            claims=[
                messages.LeadershipClaim(name, 7) for name in ("dc1", "dc2")
            ],
        )
        self.announce("p3", "10.0.0.2:3", data_centre="dc2", tokens={"dc2": 8})
        self.registry.retain({"i1", "p3"})
        self.assertEqual(self.leaders.unseen_led(), ["dc2"])
        # The store cannot be read: what it last showed counts.
        self.clock.now += 60.0
        self.assertEqual(self.leaders.unseen_led(), ["dc2"])
        self.registry.retain({"i1", "p3"})
        self.assertEqual(self.leaders.unseen_led(), [])

    async def test_all_claims_are_asked(self):
        """Guards against a former leader that still runs a cancelled job."""
        self.peer("p2", claims=[messages.LeadershipClaim("dc1", 7)])
        self.peer("p3", claims=[messages.LeadershipClaim("dc1", 8)])
        self.peer("p4")
        self.assertEqual(set(self.leaders.leader_links), {"p2", "p3"})


class CoverageTest(unittest.TestCase):

    def unseen(self, visible, announced, reached=()):
        return leader_coverage.unseen(
            visible=visible,
            served=["a", "b"],
            announced={
                name: types.SimpleNamespace(tokens=tokens)
                for name, tokens in announced.items()
            },
            reached=reached,
        )

    def test_successor_covers_a_lost_leader(self):
        """Guards against 503 for seconds after each loss of a leader."""
        lost = {"i2": {"a": 5, "b": 5}}
        self.assertEqual(self.unseen({}, lost), ["a", "b"])
        self.assertEqual(self.unseen({"a": 6}, lost), ["b"])
        self.assertEqual(self.unseen({"a": 6, "b": 6}, lost), [])

    def test_heartbeats_of_a_connected_instance_count_before_its_row(self):
        former = {"i2": {"a": 9}}
        self.assertEqual(self.unseen({"a": 6, "b": 6}, former, {"i2"}), [])
        self.assertEqual(self.unseen({"a": 6, "b": 6}, former), ["a"])


class DecodeTest(unittest.TestCase):

    def test_malformed_reports_are_refused(self):
        """Guards against a report that counts although cancels are lost."""
        for keys, ages_ms in (
            (["k"], []),
            (["k"], [1, 2]),
            ([""], [1]),
            (["k"] * (messages.MAX_RECENT_CANCELS + 1), []),
        ):
            item = peer_pb2.Item(
                recent_cancels=peer_pb2.RecentCancels(
                    token=7, keys=keys, ages_ms=ages_ms
                )
            )
            with self.assertRaises(errors.PeerError):
                codec.decode_item(item)
