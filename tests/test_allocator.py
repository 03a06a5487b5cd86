"""Division of slots and quotas among entries."""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from benchmarks import policy_simulation
from benchmarks import virtual_time
from sesameroad.configuration import document
from sesameroad.model import demands
from sesameroad.model import endpoints
from sesameroad.peering import codec
from sesameroad.scheduling import allocator as allocator_module
from tests import _properties

_QUOTA = 5
_CEILING = 4
_CONTENT = document.Document(
    product=document.Product(
        kinds={"call": document.Kind(0), "job": document.Kind(1)}
    ),
    operations=document.Operations(
        team_quotas={"red": _QUOTA, "blue": 100},
        kind_ceilings={"job": _CEILING},
    ),
)
_LIVE = [endpoints.Endpoint(f"e{n}", "", "dc1", slots=4) for n in range(3)]
_CAPACITY = 12


def _bursts(seed):
    """Returns a trace in which demand moves between entries."""
    rng = random.Random(seed)
    trace = []
    for burst in range(8):
        entry = rng.randrange(3)
        trace += [
            policy_simulation.Arrival(
                at=burst * 0.5 + rng.uniform(0.0, 0.3),
                entry=entry if rng.random() < 0.9 else rng.randrange(3),
                kind=rng.choice(["call", "call", "job"]),
                team=rng.choice(["red", "blue"]),
                run_s=rng.uniform(0.05, 0.9),
                timeout_s=1_000.0,
                cancel_s=rng.uniform(0.0, 1.0) if rng.random() < 0.2 else None,
            )
            for _ in range(rng.randrange(30))
        ]
    return sorted(trace, key=lambda arrival: arrival.at)


_ARRIVALS = st.integers(0, 2**32).map(_bursts)
_SETTINGS = _properties.examples(25)


def _play(trace, *, cut=None, cut_at=1.0):
    async def main():
        clock = virtual_time.Clock(asyncio.get_running_loop())
        simulation = policy_simulation.Simulation(
            content=_CONTENT,
            entries=3,
            live=_LIVE,
            variant=policy_simulation.Variant.ALLOCATOR,
            clock=clock,
        )
        if cut is not None:
            asyncio.get_running_loop().call_later(
                cut_at, simulation.disconnect, cut
            )
        return await simulation.run(trace)

    return virtual_time.run(main())


class DivisionTest(unittest.TestCase):
    """Guards against grants that exceed the slots or quotas in total."""

    def _check_quotas(self, report, trace):
        self.assertLessEqual(report.max_running["team red"], _QUOTA)
        self.assertLessEqual(report.max_running["kind job"], _CEILING)
        self.assertEqual(len(report.served), len(trace))

    def _check_served(self, report):
        """Checks that all work was served except what was cancelled."""
        unserved = [
            served
            for served in report.served
            if served.response_s is None and served.arrival.cancel_s is None
        ]
        self.assertEqual(unserved, [])

    @_SETTINGS
    @hypothesis.given(_ARRIVALS)
    def test_endpoints_and_quotas_are_never_exceeded(self, trace):
        """A slot granted before its holder returned it would be refused."""
        report = _play(trace)
        self._check_quotas(report, trace)
        self.assertEqual(report.refused, 0)
        self._check_served(report)

    @_SETTINGS
    @hypothesis.given(
        _ARRIVALS,
        st.sampled_from(["entry0", "entry1", "entry2"]),
        st.floats(0.0, 2.0),
    )
    def test_quotas_hold_when_an_entry_is_cut_off(self, trace, cut, cut_at):
        """If the allocator or another entry is cut off, nothing is granted twice."""
        self._check_quotas(_play(trace, cut=cut, cut_at=cut_at), trace)

    def test_quotas_hold_after_a_known_cut_of_the_allocator(self):
        """Guards against a team that runs 7 tasks under a quota of 5."""
        trace = _bursts(615234396)
        report = _play(trace, cut="entry0", cut_at=0.2668038816087162)
        self._check_quotas(report, trace)

    @_SETTINGS
    @hypothesis.given(
        _ARRIVALS,
        st.sampled_from(["entry0", "entry1", "entry2"]),
        st.floats(0.0, 2.0),
    )
    def test_work_is_served_after_a_cut(self, trace, cut, cut_at):
        """While two allocators grant the same slots, refusals must not end work."""
        self._check_served(_play(trace, cut=cut, cut_at=cut_at))

    def test_grants_converge_after_an_allocator_change(self):
        """The next allocator must divide all slots among the remaining entries."""

        async def main():
            clock = virtual_time.Clock(asyncio.get_running_loop())
            simulation = policy_simulation.Simulation(
                content=_CONTENT,
                entries=3,
                live=_LIVE,
                variant=policy_simulation.Variant.ALLOCATOR,
                clock=clock,
            )
            trace = [
                policy_simulation.Arrival(
                    0.1, n, "call", "blue", 6.0, timeout_s=1_000.0
                )
                for n in (0, 1, 2)
            ]
            playing = asyncio.create_task(simulation.run(trace))
            await asyncio.sleep(1.0)
            allocator = simulation.entries[0].allocation_agent.allocator_id
            simulation.disconnect(allocator)
            await asyncio.sleep(4.0)
            rest = [e for e in simulation.entries if e.name != allocator]
            self.assertEqual(
                len({e.allocation_agent.allocator_id for e in rest}), 1
            )
            self.assertTrue(all(e.allocation.valid for e in rest))
            total = sum(e.allocation.usable_slots for e in rest)
            self.assertEqual(total, _CAPACITY)
            await playing

        virtual_time.run(main())


class AllocatorTest(unittest.TestCase):
    """Guards against a slot granted to two entries at once."""

    def test_slot_is_granted_only_after_its_holder_reported_it(self):
        allocator = allocator_module.Allocator(now=0.0)
        allocator.configure(
            content=_CONTENT,
            live=_LIVE[:1],
            members=["a", "b"],
            reachable=["a", "b"],
            now=0.0,
        )

        def report(entry, held, queued, number, epoch):
            lane = demands.LaneDemand("call", "", held, queued)
            count = demands.SlotCount("e0", held)
            allocator.receive(
                entry,
                demands.Demand(epoch, (lane,), (count,), number=number),
                now=0.0,
            )

        report("a", 4, 0, 1, 0)
        report("b", 0, 8, 1, 0)
        first = allocator.decide(now=0.01)
        self.assertEqual(first["b"].endpoints, ())
        self.assertLess(first["a"].pools[0].count, 4)
        report("a", 3, 0, 2, 1)
        second = allocator.decide(now=0.02)
        self.assertEqual(second["b"].endpoints, (demands.SlotCount("e0", 1),))
        # A report that confirms a grant need not repeat it. The slot must count
        # as held all the same, or it would be granted a second time.
        allocator.receive(
            "b", demands.Demand(second["b"].epoch, (), (), number=2), now=0.03
        )
        third = allocator.decide(now=0.04)
        self.assertNotIn("b", {e for e, a in third.items() if a.endpoints})

    def test_messages_survive_encoding(self):
        """A field that the codec dropped would change what is granted."""
        count = demands.SlotCount("e0", 3, 1)
        lane = demands.LaneDemand(
            "call", "red", 1, 2, endpoints.Endpoint("", "", "").offer
        )
        sent = [
            demands.Demand(1, (lane,), (count,), (count,), (count,), 4, 5),
            demands.Allocation(
                1, (count,), (count,), (count,), 2, (count,), (count,), 6, True
            ),
        ]
        self.assertEqual(codec.decode(codec.encode(sent)), sent)
