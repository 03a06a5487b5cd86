"""Claims and resignations of leadership while peers connect and disconnect."""

import dataclasses
import itertools
import json
import types
import unittest
from unittest import mock

from sesameroad import errors
from sesameroad.jobs import election
from sesameroad.model import endpoints
from sesameroad.node import claim_policy
from sesameroad.node import endpoint_list
from sesameroad.node import instance_registry
from sesameroad.node import leaders
from sesameroad.node import loop_lag
from sesameroad.peering import messages
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics


class _Clock:
    now = 1_000.0
    wall = 1_780_000_000_000

    def monotonic(self):
        return self.now

    def wall_ms(self):
        return self.wall


class _Scheduler:
    """Fake scheduler of a leader that only keeps its token and endpoints."""

    def __init__(self, *, token, **_):
        self.token = token
        self.established = True
        self.free_cores = 8.0
        self.wait_s = 0.0
        self.pending = {}
        self.endpoint_ids = set()

    def is_established(self, data_centre):
        return self.established

    def update(self, listed):
        self.endpoint_ids = {endpoint.id for endpoint in listed}

    def set_loop_delay(self, delay_s):
        pass

    def raise_token(self, token):
        self.token = token

    async def run(self):
        pass

    async def close(self):
        pass


def _ranked(*, first, second):
    """Returns a new instance id; one of both is given, the id is the other."""
    known = first or second
    for number in itertools.count():
        name = f"p{number}"
        members = [election.Member(n, "dc1") for n in (name, known)]
        if election.candidate_for_all(members) == (first or name):
            return name
    raise AssertionError


_LATER = _ranked(first="i1", second=None)
_EARLIER = _ranked(first=None, second="i1")
_LEADER = "leader"


class _Link:
    """A link that can be a key."""

    def __init__(self, link):
        self.__dict__.update(vars(link))


class _LeadersTest(unittest.IsolatedAsyncioTestCase):
    """Sets up an instance i1 of dc1; tests add its peers."""

    processor_share = 1.0

    def setUp(self):
        patch = mock.patch.object(
            leaders.scheduler_module, "Scheduler", _Scheduler
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = _Clock()
        self.mesh = types.SimpleNamespace(
            peers={}, all_dialled=True, all_heard=True
        )
        self.registry = instance_registry.InstanceRegistry(
            clock=self.clock, fresh_s=5.0
        )
        self.endpoint_list = endpoint_list.EndpointList(clock=self.clock)
        self.endpoint_list.apply(
            [
                endpoints.Endpoint(id=f"e-{name}", url="", data_centre=name)
                for name in ("dc1", "dc2")
            ],
            period_s=1.0,
        )
        self.leaders = leaders.Leaders(
            settings=node.NodeSettings(
                instance_id="i1",
                data_centre="dc1",
                data_centres={"dc1": "r", "dc2": "r"},
                web="10.0.0.1:1",
                ready="10.0.0.1:2",
                peer="10.0.0.1:3",
                metrics="10.0.0.1:4",
                platform="10.0.0.1:5",
                max_lease_ms=1_000,
                processor_share=self.processor_share,
            ),
            mesh=self.mesh,
            registry=self.registry,
            endpoint_list=self.endpoint_list,
            orders_=None,
            clock=self.clock,
            metrics=job_metrics.JobMetrics(),
            changed=lambda: None,
        )
        self.announce("i1", "10.0.0.1:3")

    def announce(
        self, name, address, version=1, *, data_centre="dc1", tokens=()
    ):
        row = {
            "tokens": dict(tokens),
            "data_centre": data_centre,
            "address": address,
            "written_ms": self.clock.wall,
        }
        self.registry.update(
            name, version=version, value=json.dumps(row).encode()
        )

    def peer(
        self,
        name,
        data_centre="dc1",
        *,
        claims=(),
        leaving=False,
        slow=False,
        heard=True,
        millicores=0,
        in_use=False,
        incarnation="",
        age_s=60.0,
    ):
        self.mesh.peers[name] = types.SimpleNamespace(
            hello=messages.Hello(
                name, data_centre, incarnation or name, millicores
            ),
            last_heartbeat=messages.Heartbeat(0, 0, leaving, tuple(claims)),
            leaving=leaving,
            slow=slow,
            is_heard_since=lambda at: heard,
            in_use=in_use,
            age_s=age_s,
        )

    def hear(self, name, **state):
        """Adds a peer, or replaces it, and handles its heartbeat."""
        self.peer(name, **state)
        link = self.mesh.peers[name]
        self.leaders.apply_heartbeat(link, link.last_heartbeat)

    def wait(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.clock.now += 0.1
            self.leaders.evaluate()

    def led(self):
        return {claim.data_centre for claim in self.leaders.claims()}


class LeadersTest(_LeadersTest):
    """Small fleets, where one leader handles all data centres that it sees."""

    async def test_notices_on_attempts_go_to_other_leaders(self):
        """Guards against a notice that misses a leader or its next term."""
        claim = messages.LeadershipClaim("dc2", 7)
        self.peer("p2", claims=[claim])
        self.peer("p3", claims=[dataclasses.replace(claim, relayed=True)])
        self.mesh.peers["p2"] = link = _Link(self.mesh.peers["p2"])
        former = self.leaders.sessions()
        self.assertEqual(list(former.values()), ["p2"])
        link.last_heartbeat = messages.Heartbeat(
            0, 0, False, (dataclasses.replace(claim, token=8),)
        )
        self.assertFalse(former.keys() & self.leaders.sessions().keys())
        self.assertTrue(self.leaders.reaches("p3"))
        self.assertFalse(self.leaders.reaches("p4"))

    async def test_instance_without_a_leadership_answers_for_its_leases(self):
        """Guards against a later attempt that waits for a former leader."""
        self.mesh.send = mock.Mock()
        self.peer("p2")
        self.leaders.receive_notice(
            "p2", messages.AttemptReplaced("k", "o", 1, ())
        )
        self.leaders.receive_notice(
            "p9", messages.AttemptReplaced("k", "o", 1, ())
        )
        self.mesh.send.assert_called_once_with(
            self.mesh.peers["p2"], messages.AttemptEnded("k", "o", 1.5)
        )

    async def test_new_leader_is_told_of_jobs_that_no_leader_has(self):
        """Guards against a later attempt beside a job that is being moved."""
        self.mesh.send = mock.Mock()
        link = types.SimpleNamespace(told_token=7)
        job = mock.Mock(key="k", accepted_at=998.5, indices=(0,))
        young = mock.Mock(key="j", accepted_at=999.5, indices=(0,))
        for token, count in ((7, 0), (8, 2)):
            claim = messages.LeadershipClaim("dc2", token)
            self.leaders.tell_moving(
                link,
                messages.Heartbeat(0, 0, False, (claim,)),
                lambda: [job, young],
            )
            self.assertEqual(self.mesh.send.call_count, count)
        self.mesh.send.assert_any_call(
            link, messages.AttemptRunning("k", {"i1": 0}, 1.5, 1.5, (0,))
        )
        self.mesh.send.assert_any_call(
            link, messages.AttemptRunning("j", {"i1": 0}, 0.5, 1.5, (0,))
        )

    async def test_leaders_are_told_of_a_job_that_has_lost_its_leader(self):
        """Guards against a later attempt beside runs of a killed leader.

        It was killed before it had told the others of the job.
        """
        self.mesh.send = mock.Mock()
        self.peer("p2", claims=[messages.LeadershipClaim("dc2", 7)])
        self.mesh.peers["p2"] = _Link(self.mesh.peers["p2"])
        self.peer("p3")
        self.leaders.tell_left(
            mock.Mock(key="k", accepted_at=999.5, indices=(0,))
        )
        self.mesh.send.assert_called_once_with(
            self.mesh.peers["p2"],
            messages.AttemptRunning("k", {"i1": 0}, 0.5, 1.5, (0,)),
        )

    async def test_leader_answers_for_jobs_of_its_callers_that_were_moved(self):
        """Guards against a leader that knows only the runs of its own jobs.

        A caller here has a job whose leader was lost. The question for it, from
        a leader with a later attempt, was answered as if no run were left.
        """
        self.mesh.send = mock.Mock()
        self.peer("p2", claims=[messages.LeadershipClaim("dc2", 7)])
        self.mesh.peers["p2"] = _Link(self.mesh.peers["p2"])
        self.leaders._scheduler = scheduler = mock.Mock()
        self.leaders.tell_left(
            mock.Mock(key="k", accepted_at=999.5, indices=(0,))
        )
        question = messages.AttemptReplaced("k", "o", 1, (0,))
        for passed_s, left_s in ((0.5, 1.0), (1.5, 0.0)):
            scheduler.receive_notice.reset_mock()
            self.clock.now += passed_s
            self.leaders.receive_notice("p2", question)
            scheduler.receive_notice.assert_called_once_with(
                "p2", question, left_s=left_s
            )
        self.leaders._scheduler = None

    async def test_stream_that_loses_a_cancel_is_closed(self):
        """Guards against a job that its leader runs on for a live origin.

        The origin has forgotten it, and the next attempt there may go to another
        leader, which starts the same tasks.
        """
        self.peer("p2", claims=[messages.LeadershipClaim("dc2", 7)])
        link = self.mesh.peers["p2"]
        full = errors.PeerNotSentError("full", step="send", peer="p2")
        link.send = mock.Mock(side_effect=full)
        link.close = mock.Mock()
        self.leaders.route("dc2").cancel("0123456789abcdef/0")
        link.close.assert_called_once()

    async def test_row_of_an_instance_that_is_gone_does_not_delay_a_claim(self):
        """Guards against waiting for a connection to an instance that is gone.

        Seen in a recorded run: after a power failure no job was served for
        1.2 s, because all instances waited until the connection to a replaced
        one had failed before any of them claimed.
        """
        self.announce("i9", "10.0.0.9:3")
        self.mesh.all_dialled = False
        self.mesh.all_heard = False
        self.peer(_LATER, "dc2")
        self.wait(0.4)
        self.assertEqual(self.led(), set())
        self.mesh.all_heard = True
        self.wait(0.4)
        self.assertIn("dc1", self.led())

    async def test_required_vacancy_passes_during_the_discovery(self):
        """Guards against both periods one after the other at a start.

        After a power failure that is a quarter of a second without service.
        """
        self.announce("i9", "10.0.0.9:3")
        self.mesh.all_dialled = False
        self.peer(_LATER)
        self.wait(0.6)
        self.assertIn("dc1", self.led())

    async def test_leader_that_is_connected_last_is_not_overruled(self):
        """Guards against a claim before the last peer has named its claims.

        The vacancy seen until then does not count: this peer may lead.
        """
        self.announce("i9", "10.0.0.9:3")
        self.mesh.all_dialled = False
        self.peer(_LATER)
        self.wait(0.3)
        self.mesh.all_dialled = True
        self.mesh.all_heard = False
        self.peer(_LEADER)
        leader = self.mesh.peers[_LEADER]
        leader.last_heartbeat = None
        self.wait(0.2)
        self.assertEqual(self.led(), set())
        leader.last_heartbeat = messages.Heartbeat(
            0,
            0,
            False,
            tuple(messages.LeadershipClaim(dc, 7) for dc in ("dc1", "dc2")),
        )
        self.mesh.all_heard = True
        self.wait(1.0)
        self.assertEqual(self.led(), set())

    async def test_peer_lost_with_the_leader_does_not_delay_a_claim(self):
        """Guards against waiting for the longer timeout of an idle link.

        A leader and the instance that ranks next are lost at the same moment.
        The link to the latter was idle, so its loss is not known yet.
        """
        self.peer(_LEADER, claims=[messages.LeadershipClaim("dc1", 7)])
        self.peer(_EARLIER, heard=False)
        self.peer(_LATER)
        self.wait(0.5)
        del self.mesh.peers[_LEADER]
        self.wait(1.0)
        self.assertIn("dc1", self.led())

    async def test_instance_cut_off_from_idle_peers_claims_nothing(self):
        """Guards against a claim while the loss of idle peers is not known."""
        self.announce("i2", "10.0.0.2:3")
        self.announce("i2", "10.0.0.2:3", version=2)
        self.peer(_LEADER, claims=[messages.LeadershipClaim("dc1", 7)])
        self.peer(_LATER, heard=False)
        self.wait(0.5)
        del self.mesh.peers[_LEADER]
        self.wait(2.0)
        self.assertEqual(self.led(), set())

    async def test_links_are_idle_only_while_nothing_depends_on_them(self):
        """Guards against a late detection of the loss of a leader or origin."""
        claims = [
            messages.LeadershipClaim(name, 7, relayed=True)
            for name in ("dc1", "dc2")
        ]
        self.peer(_LATER, claims=claims)
        self.peer(
            _LEADER,
            claims=[
                messages.LeadershipClaim("dc1", 7),
                messages.LeadershipClaim("dc2", 7),
            ],
        )
        self.wait(0.1)
        peers = self.mesh.peers
        self.assertTrue(self.leaders.is_idle(peers[_LATER]))
        self.peer("misses a leader", claims=claims[:1])
        self.assertFalse(self.leaders.is_idle(peers["misses a leader"]))
        del peers["misses a leader"]
        self.assertFalse(self.leaders.is_idle(peers[_LEADER]))
        self.peer(_LEADER, claims=[messages.LeadershipClaim("dc1", 7)])
        self.wait(0.1)
        self.assertFalse(self.leaders.is_idle(peers[_LATER]))
        del peers[_LEADER]
        self.peer(_LATER)
        self.wait(1.0)
        self.assertIn("dc1", self.led())
        self.assertFalse(self.leaders.is_idle(peers[_LATER]))

    async def test_link_to_a_remote_leader_is_busy_only_for_jobs(self):
        """Guards against control traffic that grows with data centres.

        All instances sent all leaders four heartbeats a second, although only
        the local one gets jobs from them all the time.
        """
        claims = [
            messages.LeadershipClaim("dc1", 7, relayed=True),
            messages.LeadershipClaim("dc2", 8),
        ]
        self.peer(_LEADER, claims=[messages.LeadershipClaim("dc1", 7)])
        self.peer("remote", "dc2", claims=claims)
        self.wait(0.1)
        self.assertTrue(self.leaders.is_idle(self.mesh.peers["remote"]))
        self.peer("remote", "dc2", claims=claims, in_use=True)
        self.assertFalse(self.leaders.is_idle(self.mesh.peers["remote"]))
        self.assertFalse(self.leaders.is_idle(self.mesh.peers[_LEADER]))

    async def test_instance_without_peers_waits_longer_before_it_claims(self):
        self.announce("i2", "10.0.0.2:3")
        self.mesh.all_dialled = False
        self.wait(1.2)
        self.assertEqual(self.led(), set())
        self.wait(0.9)
        self.assertEqual(self.led(), {"dc1"})

    async def test_leader_with_the_lower_token_resigns(self):
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.peer("i2", claims=[messages.LeadershipClaim("dc1", token + 1)])
        self.wait(0.2)
        self.assertNotIn("dc1", self.led())

    async def test_data_centre_with_a_leader_that_only_a_peer_sees_is_kept(
        self,
    ):
        """Guards against two leaders of one data centre.

        Seen in a randomly generated run: a restarted instance was connected to
        one peer only, and claimed what an instance behind that peer led.
        """
        relayed = messages.LeadershipClaim("dc1", 7, relayed=True)
        self.peer("i2", claims=[relayed])
        self.wait(5.0)
        self.assertNotIn("dc1", self.led())

    async def test_announced_resignation_overrules_what_peers_relay(self):
        """Guards against jobs that wait for the next heartbeats of all peers.

        They relayed the claim of a leader that had stopped by plan for up to
        0.25 s, in which its successor claimed nothing.
        """
        claim = messages.LeadershipClaim("dc1", 7)
        relayed = dataclasses.replace(claim, relayed=True)
        self.hear("i2", claims=[claim])
        self.hear("i3", claims=[relayed])
        self.wait(1.0)
        self.assertNotIn("dc1", self.led())
        self.hear("i2", leaving=True)
        self.assertIn("dc1", self.led())

    async def test_successor_claims_all_that_its_predecessor_held(self):
        """Guards against a second leader after a planned stop.

        The instances of a data centre were starting again. Its endpoints had no
        leader for 0.5 s, until the successor and one of them claimed these.
        """
        self.announce("i9", "10.0.1.9:3", data_centre="dc2")
        claims = [messages.LeadershipClaim(name, 7) for name in ("dc1", "dc2")]
        self.hear("i2", claims=claims)
        self.wait(1.0)
        self.hear("i2", leaving=True)
        self.assertEqual(self.led(), {"dc1", "dc2"})

    async def test_relayed_claim_that_nobody_has_resigned_is_kept(self):
        """Guards against a claim beside a leader that only peers can reach.

        Neither the resignation of another claim, nor a restart of the leader,
        nor a resignation because of another leader shows that it has ended.
        """
        former = messages.LeadershipClaim("dc1", 7)
        latter = messages.LeadershipClaim("dc1", 8)
        self.hear("i2", claims=[former])
        self.hear("i3", claims=[dataclasses.replace(latter, relayed=True)])
        self.hear("i2", leaving=True)
        self.wait(5.0)
        self.assertNotIn("dc1", self.led())
        self.hear("i4", claims=[latter])
        self.hear("i4", incarnation="second", leaving=True)
        self.wait(5.0)
        self.assertNotIn("dc1", self.led())
        self.hear("i5", claims=[latter])
        self.hear("i5")
        self.wait(5.0)
        self.assertNotIn("dc1", self.led())

    async def test_data_centre_without_known_endpoints_is_not_claimed(self):
        """Guards against a claim that keeps out an instance with endpoints."""
        self.endpoint_list.apply([], period_s=1.0)
        self.wait(5.0)
        self.assertEqual(self.led(), set())

    async def test_isolated_instance_claims_nothing(self):
        """Guards against replacing a leader that other instances can reach."""
        for version in (1, 2):
            self.announce("i2", "10.0.0.2:3", version)
        self.wait(2.0)
        self.assertEqual(self.led(), set())

    async def test_stopping_instance_resigns_to_its_successor(self):
        """Guards against a stop that aborts jobs because the claim was kept."""
        self.wait(1.0)
        self.peer("i2")
        self.leaders.prepare_stop()
        self.assertEqual(self.led(), set())
        self.wait(2.0)
        self.assertEqual(self.led(), set())

    async def test_stopping_leader_waits_until_its_successor_can_claim(self):
        """Guards against endpoints without a leader while instances start.

        All instances but one were stopping or starting. Its successor had been
        connected for 0.03 s, and claimed 0.6 s later.
        """
        self.wait(1.0)
        self.peer("i2", age_s=0.1)
        self.leaders.prepare_stop()
        self.wait(0.2)
        self.assertEqual(self.led(), {"dc1"})
        self.peer("i2", age_s=0.6)
        self.wait(0.2)
        self.assertEqual(self.led(), set())

    async def test_stopping_instance_claims_nothing(self):
        self.leaders.prepare_stop()
        self.wait(5.0)
        self.assertEqual(self.led(), set())

    async def test_stopping_instance_expects_the_next_leader(self):
        """Guards against early refusals by an instance that stops.

        Its jobs wait for a leader as long as one is expected by the time since
        the last one, which was counted from the start of the stop.
        """
        self.peer("i2", claims=[messages.LeadershipClaim("dc1", 7)])
        self.leaders.prepare_stop()
        self.wait(2.0)
        self.peer("i2")
        self.wait(0.2)
        self.assertLess(self.leaders.unserved_s, 0.3)

    async def test_instance_that_closes_resigns_without_a_successor(self):
        self.wait(1.0)
        await self.leaders.close()
        self.wait(2.0)
        self.assertEqual(self.led(), set())

    async def test_claim_of_a_stopping_instance_counts_until_it_resigns(self):
        """Guards against a second claim, which would fence the first leader."""
        self.peer(
            "i2", claims=[messages.LeadershipClaim("dc1", 7)], leaving=True
        )
        self.wait(5.0)
        self.assertNotIn("dc1", self.led())
        self.assertIsNotNone(self.leaders.route("dc1"))

    async def test_refusal_by_an_endpoint_that_was_led_means_another_leader(
        self,
    ):
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.leaders._handle_fenced("dc1")
        self.assertEqual(self.led(), set())
        self.wait(0.5)
        self.assertEqual(self.led(), set())
        self.wait(4.0)
        self.assertIn("dc1", self.led())
        tokens = {c.data_centre: c.token for c in self.leaders.claims()}
        self.assertGreater(tokens["dc1"], token)

    async def test_one_leader_holds_all_data_centres_with_visible_members(
        self,
    ):
        """Guards against jobs that wait while another data centre is free."""
        self.peer(_LATER, "dc2")
        self.wait(1.0)
        self.assertEqual(self.led(), {"dc1", "dc2"})
        self.assertEqual(
            self.leaders._scheduler.endpoint_ids, {"e-dc1", "e-dc2"}
        )
        self.assertEqual(len(self.leaders.offers()), 1)

    async def test_data_centre_beyond_a_partition_is_not_claimed(self):
        """Guards against fencing endpoints that cannot even be reached."""
        for version in (1, 2):
            self.announce("i2", "10.0.0.2:3", version, data_centre="dc2")
        self.wait(4.0)
        self.assertEqual(self.led(), {"dc1"})

    async def test_leaders_of_both_sides_of_a_partition_become_one(self):
        self.announce("i2", "10.0.0.2:3", data_centre="dc2")
        self.announce("i2", "10.0.0.2:3", 2, data_centre="dc2")
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.peer(
            "i2", "dc2", claims=[messages.LeadershipClaim("dc2", token - 1)]
        )
        self.wait(0.2)
        self.assertEqual(self.led(), {"dc1"})
        self.peer("i2", "dc2")
        self.wait(0.4)
        self.assertEqual(self.led(), {"dc1", "dc2"})

    async def test_leader_resigns_to_a_higher_token_of_another_data_centre(
        self,
    ):
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.peer(
            "i2", "dc2", claims=[messages.LeadershipClaim("dc2", token + 1)]
        )
        self.wait(2.0)
        self.assertEqual(self.led(), set())

    async def test_fence_by_a_partitioned_data_centre_ends_only_its_leadership(
        self,
    ):
        """Guards against an isolated instance that stops all data centres."""
        self.peer("i2", "dc2")
        self.wait(0.1)
        self.mesh.peers.clear()
        self.wait(5.0)
        self.assertEqual(self.led(), {"dc1", "dc2"})
        self.leaders._handle_fenced("dc2")
        self.assertEqual(self.led(), {"dc1"})
        self.assertEqual(self.leaders._scheduler.endpoint_ids, {"e-dc1"})

    async def test_slow_leader_resigns_to_a_fast_instance(self):
        """Guards against a leader that gets a fifth of its processor time."""
        self.peer(_LATER, slow=True)
        self.wait(1.0)
        self.leaders.set_loop_delay(0.1, slow=True)
        self.wait(1.0)
        self.assertEqual(self.led(), {"dc1"})
        self.peer(_LATER)
        self.wait(1.0)
        self.assertEqual(self.led(), set())

    async def test_last_instance_that_stops_remains_leader(self):
        """Guards against endpoints without a leader.

        Seen in a recorded run, for 0.6 s.
        """
        self.wait(1.0)
        self.leaders.prepare_stop()
        self.wait(2.0)
        self.assertEqual(self.led(), {"dc1"})
        self.peer("i2", leaving=True)
        self.wait(0.2)
        self.assertEqual(self.led(), {"dc1"})
        self.peer("i3", "dc2")
        self.wait(0.2)
        self.assertEqual(self.led(), set())


class LargeFleetTest(_LeadersTest):
    """Fleets too large for one leader: each data centre has its own."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(
            claim_policy, "_MAX_SINGLE_LEADER_ENDPOINTS", 0
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def test_own_data_centre_is_claimed_before_others(self):
        self.leaders.evaluate()
        self.assertEqual(self.led(), set())
        self.wait(1.0)
        self.assertEqual(self.led(), {"dc1"})
        self.wait(4.0)
        self.assertEqual(self.led(), {"dc1", "dc2"})

    async def test_slow_leader_resigns_to_a_fast_local_instance(self):
        """Guards against a data centre whose leader lacks processor time.

        Only leaders of small fleets used to resign.
        """
        self.peer("i3", "dc2", millicores=1_000)
        self.wait(6.0)
        self.leaders.set_loop_delay(0.1, slow=True)
        self.wait(1.0)
        self.assertEqual(self.led(), {"dc1"})
        self.peer(_LATER, millicores=1_000)
        self.wait(0.2)
        self.assertEqual(self.led(), set())

    async def test_overloaded_leader_does_not_resign_to_a_smaller_instance(
        self,
    ):
        """Guards against a leader that the load of the fleet slows even more.

        It would keep the endpoints for the rest of the day.
        """
        self.peer("i3", "dc2", millicores=1_000)
        self.peer(_LATER, millicores=500)
        self.wait(6.0)
        self.leaders.set_loop_delay(0.1, slow=True)
        self.wait(6.0)
        self.assertEqual(self.led(), {"dc1"})

    async def test_leader_returns_endpoints_to_a_larger_instance(self):
        """Guards against a small leader after the restart of a larger one."""
        self.peer("i3", "dc2", millicores=1_000)
        self.wait(1.0)
        self.peer("larger", millicores=2_000)
        self.wait(3.0)
        self.assertEqual(self.led(), {"dc1"})
        self.wait(2.0)
        self.assertEqual(self.led(), set())

    async def test_two_overloaded_leaders_do_not_take_turns(self):
        """Guards against a change of the leader each second in an overload."""
        self.peer("i3", "dc2", millicores=1_000)
        self.wait(1.0)
        self.leaders.set_loop_delay(0.1, slow=True)
        self.peer(_LATER, millicores=1_000)
        self.wait(3.0)
        self.assertEqual(self.led(), {"dc1"})

    async def test_remote_data_centre_is_returned_to_its_instances(self):
        self.wait(5.0)
        self.peer("i2", "dc2")
        self.wait(0.2)
        self.assertEqual(self.led(), {"dc1"})

    async def test_stopping_instance_remains_leader_without_a_successor(self):
        """Guards against endpoints without a leader during restarts.

        Seen in a recorded run, for 0.6 s: the last instance of a data centre
        resigned on SIGTERM while the others were restarting and callers still
        sent jobs.
        """
        self.wait(1.0)
        self.leaders.prepare_stop()
        self.wait(2.0)
        self.assertEqual(self.led(), {"dc1"})
        self.peer("i2", leaving=True)
        self.peer("i3", "dc2")
        self.wait(0.2)
        self.assertEqual(self.led(), {"dc1"})
        self.peer("i4")
        self.wait(0.2)
        self.assertEqual(self.led(), set())

    async def test_endpoints_of_the_last_stopping_instance_are_claimed_soon(
        self,
    ):
        """Guards against the delay for partitions after a graceful stop."""
        self.peer(
            "i2",
            "dc2",
            claims=[messages.LeadershipClaim("dc2", 7)],
            leaving=True,
        )
        self.wait(1.0)
        self.assertNotIn("dc2", self.led())
        self.peer("i2", "dc2", leaving=True)
        self.wait(0.7)
        self.assertIn("dc2", self.led())


class WeakInstancesTest(_LeadersTest):
    """Few endpoints, and instances with a small share of a core each.

    The pattern: 45 endpoints in five data centres, under the limit of a single
    leader, and instances with 0.12 of a core. One of them led all endpoints,
    was short of processor time after two seconds and handed over to the next
    one; nearly all jobs were refused.
    """

    processor_share = 0.12

    def setUp(self):
        super().setUp()
        self.list_endpoints(9)

    def list_endpoints(self, each):
        self.endpoint_list.apply(
            [
                endpoints.Endpoint(id=f"{name}-{n}", url="", data_centre=name)
                for name in ("dc1", "dc2")
                for n in range(each)
            ],
            period_s=1.0,
        )

    async def test_each_data_centre_has_its_own_leader(self):
        self.peer("i3", "dc2", millicores=120)
        self.wait(2.0)
        self.assertEqual(self.led(), {"dc1"})

    async def test_few_enough_endpoints_have_a_single_leader(self):
        self.list_endpoints(3)
        self.peer("i3", "dc2", millicores=100)
        self.wait(2.0)
        self.assertEqual(self.led(), {"dc1", "dc2"})

    async def test_one_instance_with_a_core_leads_all(self):
        """Its share counts, as it would be the leader."""
        self.peer("i3", "dc2", millicores=1_000)
        self.wait(2.0)
        self.assertEqual(self.led(), set())


class LoopLagTest(unittest.TestCase):

    def test_process_with_many_late_timers_is_slow(self):
        lag = loop_lag.LoopLag()
        for tick in range(20):
            lag.record(0.08 if tick % 2 else 0.0, tick * 0.1)
        self.assertTrue(lag.is_slow(2.0))
        for tick in range(20, 80):
            lag.record(0.001, tick * 0.1)
        self.assertFalse(lag.is_slow(8.0))

    def test_process_with_one_long_pause_is_not_slow(self):
        lag = loop_lag.LoopLag()
        lag.record(4.0, 4.0)
        self.assertFalse(lag.is_slow(4.0))

    def test_mean_delay_recovers_soon_after_a_long_pause(self):
        """Guards against refusals for seconds after one pause."""
        lag = loop_lag.LoopLag()
        lag.record(4.0, 4.0)
        for tick in range(5):
            lag.record(0.001, 4.1 + tick * 0.1)
        self.assertLess(lag.delay_s, 0.02)

    def test_mean_delay_shows_a_lasting_lack_of_processor_time(self):
        lag = loop_lag.LoopLag()
        for tick in range(10):
            lag.record(0.06, tick * 0.1)
        self.assertGreater(lag.delay_s, 0.04)


class TokenTest(unittest.TestCase):

    def test_instances_get_different_tokens(self):
        tokens = {
            election.new_token(f"front-{n}", wall_ms=1_780_000_000_000)
            for n in range(9)
        }
        self.assertEqual(len(tokens), 9)

    def test_token_increases_although_the_wall_clock_goes_back(self):
        before = election.new_token("a", wall_ms=1_780_000_000_000)
        after = election.new_token(
            "b", wall_ms=1_779_999_990_000, above=[before]
        )
        self.assertGreater(after, before)
