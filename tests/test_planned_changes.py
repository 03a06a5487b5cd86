"""Random successions of leaders that stop by plan, with jobs in progress.

Each job has one attempt. A later one that reaches a new leader before the origin
of the earlier one has offered the job again is not covered by any rule.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad.jobs import coordinator
from sesameroad.jobs import partitioning
from sesameroad.model import outcomes
from tests import _jobs
from tests import _properties
from tests import _virtual

_DATA_CENTRE = "dc1"
_ENDPOINTS = 3
_CORES = 16.0
_ARRIVALS_S = 2.5
# Tokens of two leaders differ by more than the fences of an endpoint.
_TOKEN_STEP = 1 << 18


@dataclasses.dataclass(slots=True, frozen=True)
class _Arrival:
    """A job, in seconds from the start."""

    at: float
    origin: int
    tasks: int
    run_s: float
    cores: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    """A leader that stops, and the endpoints that the next one does not know."""

    after_s: float
    vacant_s: float
    unknown: frozenset[int]


class _Route:
    """Route of one instance to one leader."""

    def __init__(self, leader, origin):
        self._leader = leader
        self._origin = origin

    async def submit(self, job, *, moved, lent):
        return await self._leader.submit(
            job, self._origin, moved=moved, lent=lent
        )

    def cancel(self, name):
        self._leader.cancel(name, self._origin.id)


class _Leaders:
    """The leader of this moment, as one instance sees it."""

    unserved_s = 0.0

    def __init__(self, play, origin):
        self._play = play
        self._origin = origin

    def offers(self):
        if self._play.leader is None:
            return []
        return [partitioning.Offer(_DATA_CENTRE, 1e3, 0.0)]

    def route(self, data_centre):
        leader = self._play.leader
        return None if leader is None else _Route(leader, self._origin)

    def reserve(self, data_centre, job):
        pass

    def mark_full(self, data_centre):
        pass


class _Play:
    """Plays a succession.

    Attributes:
        leader: Scheduler of the leader, None while there is none.
        answers: Outcomes by the key of the job.
    """

    def __init__(self, arrivals, changes):
        self.site = _jobs.Site(count=_ENDPOINTS, cores=_CORES)
        self.leader = None
        self.answers = {}
        self._arrivals = arrivals
        self._changes = changes
        self._coordinators = []

    async def run(self):
        self._coordinators = [
            coordinator.JobCoordinator(
                data_centre=_DATA_CENTRE,
                leaders=_Leaders(self, _jobs.Origin(name)),
                clock=self.site.clock,
            )
            for name in ("a", "b")
        ]
        submitted = [
            asyncio.create_task(self._submit(f"{number:016x}", arrival))
            for number, arrival in enumerate(self._arrivals)
        ]
        tokens = itertools.count(_TOKEN_STEP, _TOKEN_STEP)
        all_endpoints = list(self.site.endpoints)
        for change in self._changes:
            async with self.site.leader(next(tokens), settle_s=0.0) as leader:
                self.leader = leader
                await asyncio.sleep(change.after_s)
                self.leader = None
            self.site.endpoints = [
                endpoint
                for number, endpoint in enumerate(all_endpoints)
                if number not in change.unknown
            ]
            await asyncio.sleep(change.vacant_s)
        async with contextlib.AsyncExitStack() as stack:
            self.leader = await stack.enter_async_context(
                self.site.leader(next(tokens), settle_s=0.0)
            )
            await asyncio.gather(*submitted)
            self.leader = None

    async def _submit(self, key, arrival):
        await asyncio.sleep(arrival.at)
        job = self.site.job(
            key,
            count=arrival.tasks,
            run_s=arrival.run_s,
            cores=arrival.cores,
            deadline_s=4.0,
            stretch=3.0,
        )
        accepted_at = self.site.clock.monotonic()
        self.answers[key] = await self._coordinators[arrival.origin].run(
            dataclasses.replace(job, accepted_at=accepted_at)
        )


def _seconds(low, high):
    return st.integers(round(low * 100), round(high * 100)).map(
        lambda hundredths: hundredths / 100
    )


_ARRIVALS = st.lists(
    st.builds(
        _Arrival,
        at=_seconds(0.0, _ARRIVALS_S),
        origin=st.integers(0, 1),
        tasks=st.integers(1, 12),
        run_s=_seconds(0.05, 0.8),
        cores=st.sampled_from([4.0, 8.0]),
    ),
    min_size=2,
    max_size=8,
)
_CHANGES = st.lists(
    st.builds(
        _Change,
        after_s=_seconds(0.02, 0.8),
        vacant_s=_seconds(0.01, 0.3),
        unknown=st.frozensets(st.integers(0, _ENDPOINTS - 1), max_size=1),
    ),
    min_size=1,
    max_size=4,
)


class PlannedChangesTest(unittest.TestCase):

    @_properties.examples(150)
    @hypothesis.given(_ARRIVALS, _CHANGES)
    def test_tasks_run_once_at_a_time_and_refusals_are_true(
        self, arrivals, changes
    ):
        """Guards against a wrong account of what earlier leaders have started.

        A task that ran twice at the same time, or a caller that is told that
        nothing of its job ran although a task of it did.
        """
        play = _Play(arrivals, changes)
        _virtual.run(play.run())
        self.assertEqual(play.site.history.overlapping, [])
        refused = {
            key
            for key, answer in play.answers.items()
            if isinstance(answer, outcomes.NotRun)
        }
        started = {task.partition(".")[0] for task in play.site.history.starts}
        self.assertFalse(refused & started)
