"""Quotas under cuts, pauses, late messages and changes of the allocator."""

import collections
import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.peering import codec
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import allocation_agent
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import quota_lease
from tests import _properties

_TICK_S = 0.01
# Time without a message after which a peer counts as unreachable.
_PEER_TIMEOUT_S = 1.5
# Faults come within this time, and several may overlap.
_FAULTS_S = 8.0
_DELAY_S = 0.002
_KIND, _TEAM = "call", "red"
# Shorter than the time that the rules allow for, by the delay of a message.
_MAX_RUN_S = quota_lease.TASK_S - 0.1
# Any loan that was outstanding when the faults ended is over by then, and the
# quota has moved to the entry that wants it.
_SETTLE_S = _PEER_TIMEOUT_S + quota_lease.LENT_S + 3.0


class _Clock(clocks.Clock):

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class _Queue:
    """Waiting tasks, of which only the number matters."""

    def __init__(self):
        self.waiting = 0

    def __len__(self):
        return self.waiting

    @property
    def demand(self):
        return {(_KIND, _TEAM, _NEED): self.waiting} if self.waiting else {}


class _Matcher:
    """Applies limits that have expired, as the real one does before a match."""

    def __init__(self, allocation):
        self._allocation = allocation

    def set_callbacks(self, **callbacks):
        pass

    def refresh(self):
        self._allocation.check_expiry()


_NEED = policy_module.needs.Need()


class _Entry:
    """The parts of an entry that divide quotas, in steps of a test."""

    def __init__(self, fleet, name):
        self.name = name
        self.paused_until = 0.0
        self.received = []
        self.heard_at = {}
        self.reachable = None
        self.runs = []
        self._fleet = fleet
        self.queue = _Queue()
        self.allocation = allocation_module.Allocation(fleet.clock)
        self.policy = policy_module.Policy(
            fleet.content, allocation=self.allocation
        )
        self.agent = allocation_agent.AllocationAgent(
            entry=name,
            allocation=self.allocation,
            matcher=_Matcher(self.allocation),
            policy=self.policy,
            queue=self.queue,
            clock=fleet.clock,
            send=self._send,
        )

    def _send(self, receiver, message):
        if receiver not in self.reachable:
            return False
        self._fleet.send(self.name, receiver, message)
        return True

    def step(self):
        """Does what a process does in one turn of its event loop."""
        now = self._fleet.clock.now
        received, self.received = self.received, []
        for sender, message in received:
            self.heard_at[sender] = now
            if message is not None:
                self.agent.receive(sender, message)
        self._see_peers(now)
        for ends_at in [end for end in self.runs if end <= now]:
            self.runs.remove(ends_at)
            self.policy.task_ended(_KIND, _TEAM, _NEED)
        self.agent.step()
        self.allocation.check_expiry()
        while self.queue.waiting and not self.policy.at_quota(_TEAM):
            self.queue.waiting -= 1
            self.policy.task_started(_KIND, _TEAM, _NEED)
            self.runs.append(self._fleet.start_run())
        self.agent.queue_changed()

    def _see_peers(self, now):
        reachable = {
            name
            for name, heard_at in self.heard_at.items()
            if now - heard_at < _PEER_TIMEOUT_S
        } | {self.name}
        if reachable != self.reachable:
            self.reachable = reachable
            self.agent.configure(
                data_centre="dc1",
                content=self._fleet.content,
                live=(),
                reachable=reachable,
                listed=self._fleet.names,
            )


@dataclasses.dataclass
class _Fault:
    """A fault of some entries for some time.

    "cut" loses messages between the entries and all others, "mute" those that
    they send, "deaf" those to them, "late" delays both; "pause" stops them.
    """

    kind: str
    at: float
    for_s: float
    members: frozenset


class _Fleet:
    """Entries, the network between them, and the tasks that really run."""

    def __init__(self, *, entries, quota, seed, faults):
        self.clock = _Clock()
        self.began_at = self.clock.now
        self.random = random.Random(seed)
        self.names = [f"entry{n}" for n in range(entries)]
        self.content = document.Document(
            product=document.Product(kinds={_KIND: document.Kind(0)}),
            operations=document.Operations(team_quotas={_TEAM: quota}),
        )
        self.faults = faults
        self._in_flight = collections.defaultdict(collections.deque)
        self._run_ends = []
        self.entries = {name: _Entry(self, name) for name in self.names}

    @property
    def elapsed(self):
        return self.clock.now - self.began_at

    @property
    def running(self):
        return sum(end > self.clock.now for end in self._run_ends)

    def start_run(self):
        end = self.clock.now + self.random.uniform(0.02, _MAX_RUN_S)
        self._run_ends.append(end)
        return end

    def send(self, sender, receiver, message):
        delay = self._delay(sender, receiver)
        if delay is None:
            return
        [received] = (
            codec.decode(codec.encode([message])) if message else [None]
        )
        link = self._in_flight[sender, receiver]
        # Messages of a stream stay in order.
        due = max(self.clock.now + delay, link[-1][0] if link else 0.0)
        link.append((due, received))

    def _active(self, kinds):
        return [
            fault
            for fault in self.faults
            if fault.kind in kinds
            and fault.at <= self.elapsed < fault.at + fault.for_s
        ]

    def _delay(self, sender, receiver):
        """Returns the delay of a message, None if it is lost."""
        if sender == receiver:
            return 0.0
        for fault in self._active({"cut", "mute", "deaf"}):
            sends, receives = sender in fault.members, receiver in fault.members
            if sends != receives and (
                fault.kind == "cut" or (fault.kind == "mute") == sends
            ):
                return None
        delay = _DELAY_S
        for fault in self._active({"late"}):
            if (sender in fault.members) != (receiver in fault.members):
                delay += self.random.uniform(0.0, 1.2)
        return delay

    def step(self):
        self.clock.now += _TICK_S
        now = self.clock.now
        self._run_ends = [end for end in self._run_ends if end > now]
        paused = {
            name for fault in self._active({"pause"}) for name in fault.members
        }
        for (sender, receiver), link in self._in_flight.items():
            while link and link[0][0] <= now:
                message = link.popleft()[1]
                self.entries[receiver].received.append((sender, message))
        beat = round(self.elapsed / _TICK_S) % 25 == 0
        order = list(self.entries.values())
        self.random.shuffle(order)
        for entry in order:
            if entry.name in paused:
                continue
            if beat:
                for name in self.names:
                    self.send(entry.name, name, None)
            entry.step()


@st.composite
def _faults(draw, names):
    members = st.frozensets(
        st.sampled_from(names), min_size=1, max_size=max(1, len(names) // 2)
    )
    return draw(
        st.lists(
            st.builds(
                _Fault,
                kind=st.sampled_from(
                    ["cut", "cut", "mute", "deaf", "late", "pause"]
                ),
                at=st.floats(0.5, _FAULTS_S),
                for_s=st.floats(0.05, 5.0),
                members=members,
            ),
            min_size=1,
            max_size=5,
        )
    )


class QuotaLeaseTest(unittest.TestCase):
    """Guards against quotas that are lent twice, and against loans that last."""

    def _play(self, *, entries, quota, seed, faults):
        fleet = _Fleet(entries=entries, quota=quota, seed=seed, faults=faults)
        end = max(fault.at + fault.for_s for fault in faults)
        while fleet.elapsed < end:
            # Demand moves between entries, and is often above the quota.
            if fleet.random.random() < 0.05:
                name = fleet.random.choice(fleet.names)
                fleet.entries[name].queue.waiting += fleet.random.randrange(
                    2 * quota
                )
            fleet.step()
            self.assertLessEqual(fleet.running, quota, f"at {fleet.elapsed}")
        for entry in fleet.entries.values():
            entry.queue.waiting = 0
        wanting = fleet.entries[fleet.random.choice(fleet.names)]
        settled_at = fleet.elapsed + _SETTLE_S
        while fleet.elapsed < settled_at:
            wanting.queue.waiting = quota
            fleet.step()
            self.assertLessEqual(fleet.running, quota, f"at {fleet.elapsed}")
        self.assertEqual(wanting.allocation.team_limit(_TEAM), quota)

    # entry0, the allocator and a borrower, resumes and renews its own loan before
    # it has heard from the lender, which is back at its fixed share.
    @hypothesis.example(
        929710312,
        1,
        [
            _Fault("pause", 1.0, 3.62, frozenset({"entry0"})),
            _Fault("pause", 5.15, 1.73, frozenset({"entry2"})),
            _Fault("mute", 4.57, 1.25, frozenset({"entry0"})),
            _Fault("late", 2.16, 2.0, frozenset({"entry1"})),
            _Fault("deaf", 0.99, 4.1, frozenset({"entry1"})),
        ],
    )
    @_properties.examples(60)
    @hypothesis.given(
        st.integers(0, 2**32),
        st.integers(1, 12),
        _faults([f"entry{n}" for n in range(3)]),
    )
    def test_three_entries(self, seed, quota, faults):
        self._play(entries=3, quota=quota, seed=seed, faults=faults)

    @_properties.examples(15)
    @hypothesis.given(
        st.integers(0, 2**32),
        st.integers(1, 40),
        _faults([f"entry{n}" for n in range(10)]),
    )
    def test_ten_entries(self, seed, quota, faults):
        self._play(entries=10, quota=quota, seed=seed, faults=faults)

    @_properties.examples(2)
    @hypothesis.given(
        st.integers(0, 2**32),
        st.integers(20, 100),
        _faults([f"entry{n}" for n in range(40)]),
    )
    def test_forty_entries(self, seed, quota, faults):
        self._play(entries=40, quota=quota, seed=seed, faults=faults)
