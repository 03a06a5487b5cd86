"""Who claims the endpoints of a data centre, over streams that come and go."""

import itertools
import json
import types
import unittest
from unittest import mock

from sesameroad.jobs import election
from sesameroad.model import endpoint as endpoints
from sesameroad.node import claim_policy
from sesameroad.node import endpoint_list
from sesameroad.node import instance_registry
from sesameroad.node import leaders
from sesameroad.node import loop_lag
from sesameroad.peering import message as messages
from sesameroad.settings import node as settings_module
from sesameroad.telemetry import job_metrics


class _Clock:
    now = 1_000.0
    wall = 1_780_000_000_000

    def monotonic(self):
        return self.now

    def wall_ms(self):
        return self.wall


class _Scheduler:
    """Stands for the steward itself: only its claim matters here."""

    def __init__(self, *, token, **_):
        self.token = token
        self.established = True
        self.free_cores = 8.0
        self.wait_s = 0.0
        self.pending = {}
        self.held = set()

    def is_established(self, data_centre):
        return self.established

    def update(self, listed):
        self.held = {endpoint.id for endpoint in listed}

    def raise_token(self, token):
        self.token = token

    async def run(self):
        pass


def _later_than(instance_id):
    """Returns a name that ranks after an instance."""
    for number in itertools.count():
        name = f"p{number}"
        members = [election.Member(n, "dc1") for n in (name, instance_id)]
        if election.first(members) == instance_id:
            return name
    raise AssertionError


_LATER = _later_than("i1")


class _LeadersTest(unittest.IsolatedAsyncioTestCase):
    """An instance i1 of dc1 among peers that a test sets."""

    def setUp(self):
        patch = mock.patch.object(leaders.schedulers, "Scheduler", _Scheduler)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = _Clock()
        self.mesh = types.SimpleNamespace(peers={}, explored=True, heard=True)
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
            settings=settings_module.Node(
                instance_id="i1",
                data_centre="dc1",
                data_centres={"dc1": "r", "dc2": "r"},
                web="10.0.0.1:1",
                ready="10.0.0.1:2",
                peer="10.0.0.1:3",
                metrics="10.0.0.1:4",
                platform="10.0.0.1:5",
                max_lease_ms=1_000,
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

    def announce(self, name, address, version=1, *, data_centre="dc1"):
        row = {
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
    ):
        self.mesh.peers[name] = types.SimpleNamespace(
            hello=messages.Hello(name, data_centre, name),
            state=messages.Heartbeat(0, 0, leaving, tuple(claims)),
            leaving=leaving,
            slow=slow,
        )

    def wait(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.clock.now += 0.1
            self.leaders.evaluate()

    def held(self):
        return {claim.data_centre for claim in self.leaders.claims()}


class LeadersTest(_LeadersTest):
    """Small fleets: one steward for all data centres that it sees."""

    async def test_row_of_an_instance_that_is_gone_delays_no_claim(self):
        """Found on a recorded day: no job was served for 1.2 s.

        After a power failure all instances waited until the dial of a replaced
        one had failed, before any of them claimed.
        """
        self.announce("i9", "10.0.0.9:3")
        self.mesh.explored = False
        self.mesh.heard = False
        self.peer(_LATER, "dc2")
        self.wait(0.4)
        self.assertEqual(self.held(), set())
        self.mesh.heard = True
        self.wait(0.4)
        self.assertIn("dc1", self.held())

    async def test_instance_that_hears_nobody_waits_longer_for_its_peers(self):
        self.announce("i2", "10.0.0.2:3")
        self.mesh.explored = False
        self.wait(1.2)
        self.assertEqual(self.held(), set())
        self.wait(0.9)
        self.assertEqual(self.held(), {"dc1"})

    async def test_lower_token_gives_way(self):
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.peer("i2", claims=[messages.LeadershipClaim("dc1", token + 1)])
        self.wait(0.2)
        self.assertNotIn("dc1", self.held())

    async def test_leader_that_only_a_peer_sees_is_no_vacancy(self):
        """Found on a drawn day: two stewards of one data centre.

        A restarted instance had a stream to one peer only, and claimed what an
        instance beyond that peer held.
        """
        relayed = messages.LeadershipClaim("dc1", 7, relayed=True)
        self.peer("i2", claims=[relayed])
        self.wait(5.0)
        self.assertNotIn("dc1", self.held())

    async def test_data_centre_without_known_endpoints_is_not_claimed(self):
        """A claim without endpoints holds nothing and hides who could."""
        self.endpoint_list.apply([], period_s=1.0)
        self.wait(5.0)
        self.assertEqual(self.held(), set())

    async def test_isolated_instance_claims_nothing(self):
        """Its claim would depose a steward that others can still reach."""
        for version in (1, 2):
            self.announce("i2", "10.0.0.2:3", version)
        self.wait(2.0)
        self.assertEqual(self.held(), set())

    async def test_stopping_instance_resigns_to_its_successor(self):
        """A stopping instance that kept its claim would cut its jobs off."""
        self.wait(1.0)
        self.peer("i2")
        self.leaders.leave()
        self.assertEqual(self.held(), set())
        self.wait(2.0)
        self.assertEqual(self.held(), set())

    async def test_stopping_instance_claims_nothing(self):
        self.leaders.leave()
        self.wait(5.0)
        self.assertEqual(self.held(), set())

    async def test_instance_that_closes_resigns_in_any_case(self):
        self.wait(1.0)
        await self.leaders.close()
        self.wait(2.0)
        self.assertEqual(self.held(), set())

    async def test_claim_of_a_stopping_instance_counts_until_it_resigns(self):
        """Its endpoints have a steward; a second claim would fence it."""
        self.peer(
            "i2", claims=[messages.LeadershipClaim("dc1", 7)], leaving=True
        )
        self.wait(5.0)
        self.assertNotIn("dc1", self.held())
        self.assertIsNotNone(self.leaders.route("dc1"))

    async def test_refusal_by_an_endpoint_held_before_means_another_leader(
        self,
    ):
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.leaders._fenced("dc1")
        self.assertEqual(self.held(), set())
        self.wait(0.5)
        self.assertEqual(self.held(), set())
        self.wait(4.0)
        self.assertIn("dc1", self.held())
        tokens = {c.data_centre: c.token for c in self.leaders.claims()}
        self.assertGreater(tokens["dc1"], token)

    async def test_one_leader_holds_all_data_centres_with_visible_members(
        self,
    ):
        """Jobs would wait in one data centre beside free room in another."""
        self.peer(_LATER, "dc2")
        self.wait(1.0)
        self.assertEqual(self.held(), {"dc1", "dc2"})
        self.assertEqual(self.leaders._scheduler.held, {"e-dc1", "e-dc2"})
        self.assertEqual(len(self.leaders.offers()), 1)

    async def test_data_centre_that_lives_beyond_a_cut_is_left_to_its_own(
        self,
    ):
        """Its endpoints cannot be reached, and the claim would fence them."""
        for version in (1, 2):
            self.announce("i2", "10.0.0.2:3", version, data_centre="dc2")
        self.wait(4.0)
        self.assertEqual(self.held(), {"dc1"})

    async def test_leaders_of_two_sides_of_a_cut_become_one(self):
        self.announce("i2", "10.0.0.2:3", data_centre="dc2")
        self.announce("i2", "10.0.0.2:3", 2, data_centre="dc2")
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.peer(
            "i2", "dc2", claims=[messages.LeadershipClaim("dc2", token - 1)]
        )
        self.wait(0.2)
        self.assertEqual(self.held(), {"dc1"})
        self.peer("i2", "dc2")
        self.wait(0.4)
        self.assertEqual(self.held(), {"dc1", "dc2"})

    async def test_lower_leader_of_another_data_centre_resigns_as_well(self):
        self.wait(1.0)
        token = self.leaders.claims()[0].token
        self.peer(
            "i2", "dc2", claims=[messages.LeadershipClaim("dc2", token + 1)]
        )
        self.wait(2.0)
        self.assertEqual(self.held(), set())

    async def test_fence_of_a_data_centre_beyond_a_cut_costs_only_that_one(
        self,
    ):
        """An isolated instance there must not stop the service elsewhere."""
        self.peer("i2", "dc2")
        self.wait(0.1)
        self.mesh.peers.clear()
        self.wait(5.0)
        self.assertEqual(self.held(), {"dc1", "dc2"})
        self.leaders._fenced("dc2")
        self.assertEqual(self.held(), {"dc1"})
        self.assertEqual(self.leaders._scheduler.held, {"e-dc1"})

    async def test_slow_leader_resigns_to_an_instance_that_is_not(self):
        """All jobs would wait for a process with a fifth of its time."""
        self.peer(_LATER, slow=True)
        self.wait(1.0)
        self.leaders.note_slowness(True)
        self.wait(1.0)
        self.assertEqual(self.held(), {"dc1"})
        self.peer(_LATER)
        self.wait(1.0)
        self.assertEqual(self.held(), set())

    async def test_last_instance_that_stops_stays_leader(self):
        """Found on a recorded day: endpoints without a steward for 0.6 s."""
        self.wait(1.0)
        self.leaders.leave()
        self.wait(2.0)
        self.assertEqual(self.held(), {"dc1"})
        self.peer("i2", leaving=True)
        self.wait(0.2)
        self.assertEqual(self.held(), {"dc1"})
        self.peer("i3", "dc2")
        self.wait(0.2)
        self.assertEqual(self.held(), set())


class LargeFleetTest(_LeadersTest):
    """More endpoints than one steward can hold: one for each data centre."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(claim_policy, "_MAX_JOINT_ENDPOINTS", 0)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_own_data_centre_is_claimed_before_others(self):
        self.leaders.evaluate()
        self.assertEqual(self.held(), set())
        self.wait(1.0)
        self.assertEqual(self.held(), {"dc1"})
        self.wait(4.0)
        self.assertEqual(self.held(), {"dc1", "dc2"})

    async def test_foreign_data_centre_is_given_back(self):
        self.wait(5.0)
        self.peer("i2", "dc2")
        self.wait(0.2)
        self.assertEqual(self.held(), {"dc1"})

    async def test_stopping_instance_stays_leader_without_a_successor(self):
        """Found on a recorded day: endpoints without a steward for 0.6 s.

        The last instance of a data centre resigned when it was told to stop,
        while the others were restarting and callers still came.
        """
        self.wait(1.0)
        self.leaders.leave()
        self.wait(2.0)
        self.assertEqual(self.held(), {"dc1"})
        self.peer("i2", leaving=True)
        self.peer("i3", "dc2")
        self.wait(0.2)
        self.assertEqual(self.held(), {"dc1"})
        self.peer("i4")
        self.wait(0.2)
        self.assertEqual(self.held(), set())

    async def test_endpoints_of_the_last_instance_that_stops_are_taken_soon(
        self,
    ):
        """A cut between data centres needs a pause, a graceful stop none."""
        self.peer(
            "i2",
            "dc2",
            claims=[messages.LeadershipClaim("dc2", 7)],
            leaving=True,
        )
        self.wait(1.0)
        self.assertNotIn("dc2", self.held())
        self.peer("i2", "dc2", leaving=True)
        self.wait(0.7)
        self.assertIn("dc2", self.held())


class LoopLagTest(unittest.TestCase):

    def test_timers_that_are_often_late_show_a_slow_process(self):
        meter = loop_lag.LoopLag()
        for tick in range(20):
            meter.record(0.08 if tick % 2 else 0.0, tick * 0.1)
        self.assertTrue(meter.is_slow(2.0))
        for tick in range(20, 80):
            meter.record(0.001, tick * 0.1)
        self.assertFalse(meter.is_slow(8.0))

    def test_one_long_pause_is_no_slowness(self):
        meter = loop_lag.LoopLag()
        meter.record(4.0, 4.0)
        self.assertFalse(meter.is_slow(4.0))


class TokenTest(unittest.TestCase):

    def test_instances_never_draw_the_same_token(self):
        tokens = {
            election.new_token(f"front-{n}", wall_ms=1_780_000_000_000)
            for n in range(9)
        }
        self.assertEqual(len(tokens), 9)

    def test_token_rises_although_the_time_of_day_falls(self):
        before = election.new_token("a", wall_ms=1_780_000_000_000)
        after = election.new_token(
            "b", wall_ms=1_779_999_990_000, above=[before]
        )
        self.assertGreater(after, before)
