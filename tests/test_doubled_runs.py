"""Further ways to two runs of one task at a time, in virtual time.

A caller comes again while the origin of its first attempt lives and waits, and the
leader of its job changes at the same moment.
"""

import asyncio
import contextlib
import dataclasses

from tests import _jobs
from tests import _virtual

# Time after which a caller comes again.
_RETURN_S = 1.4


class _Fleet:
    """Leaders that each hold some of the endpoints, and the jobs that wait."""

    def __init__(self, count):
        self.site = _jobs.Site(count=count)
        self._stacks = {}
        self._waiting = []

    async def open(self, token, *names, orders_=None, settle_s=0.05):
        listed = self.site.endpoints
        self.site.endpoints = [e for e in listed if e.id in names]
        stack = contextlib.AsyncExitStack()
        leader = await stack.enter_async_context(
            self.site.leader(
                token,
                orders_=orders_,
                cancel_reports=_jobs.PeerReports(
                    self.site.links, f"leader{token}"
                ),
                settle_s=0.0,
            )
        )
        self.site.endpoints = listed
        self._stacks[leader] = stack
        await asyncio.sleep(settle_s)
        return leader

    async def close(self, leader):
        await self._stacks.pop(leader).aclose()

    def submit(self, leader, job, origin, **options):
        """Submits a job and returns the task that waits for its outcome."""
        if isinstance(origin, str):
            origin = _jobs.Origin(origin)
        submitted = asyncio.create_task(leader.submit(job, origin, **options))
        self._waiting.append(submitted)
        return submitted

    def job(self, key="a", *, count=1, run_s=3.0):
        job = self.site.job(
            key * 16, count=count, run_s=run_s, deadline_s=9, stretch=4.0
        )
        return self.again(job)

    def again(self, job, **changes):
        """Returns a job as its caller sends it now."""
        now = self.site.clock.monotonic()
        return dataclasses.replace(job, accepted_at=now, **changes)

    def cut_off(self, name):
        """Returns the orders of a leader without a path to one endpoint."""
        path = _jobs.CutOrders(self.site.fleet)
        path.cut.add(name)
        return path

    async def end(self):
        """Returns the tasks that ran twice at a time, after all jobs."""
        await asyncio.gather(*self._waiting)
        for leader in tuple(self._stacks):
            await self.close(leader)
        return self.site.history.overlapping


class _SlowStarts(_jobs.CutOrders):
    """Carries starts out after 0.25 s; their answers are the last ones."""

    async def start(self, endpoint, **order):
        if endpoint.id != "e0":
            return await super().start(endpoint, **order)
        await asyncio.sleep(0.25)
        answer = await super().start(endpoint, **order)
        self.cut.add(endpoint.id)
        return answer


def _moved(job, outcome):
    """Returns a job as it is offered after the answer of a former leader."""
    return dataclasses.replace(
        job, unstarted=outcome.unstarted, succeeded=outcome.succeeded
    )


class DoubledRunsTest(_virtual.VirtualTimeTest):

    async def test_stopping_runs_of_a_replaced_attempt_outlast_their_leader(
        self,
    ):
        """Guards against "not the leader" while replaced runs are stopped.

        The later attempt, with fewer tasks here, would start these at the next
        leader before that has read all endpoints.
        """
        fleet = _Fleet(count=2)
        first = await fleet.open(1, "e0", "e1")
        job = fleet.job(count=3)
        fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        simulated = fleet.site.fleet.endpoints["e0"]
        simulated.fault.lost_stops = 30
        again = fleet.again(job, indices=(0, 1))
        later = fleet.submit(first, again, "y")
        await asyncio.sleep(0.05)
        await fleet.close(first)
        moved = hasattr(await later, "unstarted")
        second = await fleet.open(2, "e0", "e1", orders_=fleet.cut_off("e0"))
        fleet.submit(second, again, "y", moved=moved)
        self.assertEqual(await fleet.end(), [])

    async def test_later_attempt_joins_one_that_has_moved(self):
        """Guards against "not the leader" while the runs of a former one go on.

        The leader ends before it has read them, and only the earlier attempt
        was known as moved.
        """
        fleet = _Fleet(count=2)
        first = await fleet.open(1, "e0", "e1")
        job = fleet.job()
        fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        (name,) = next(iter(fleet.site.history.running.values()))
        await fleet.close(first)
        path = fleet.cut_off(name)
        second = await fleet.open(2, "e0", "e1", orders_=path)
        fleet.submit(second, job, "x", moved=True)
        again = fleet.again(job)
        later = fleet.submit(second, again, "y")
        await asyncio.sleep(0.02)
        await fleet.close(second)
        moved = hasattr(await later, "unstarted")
        third = await fleet.open(3, "e0", "e1", orders_=path)
        fleet.submit(third, again, "y", moved=moved)
        self.assertEqual(await fleet.end(), [])

    async def test_two_origins_are_told_of_the_same_unstarted_tasks(self):
        """Guards against two next leaders that start a task for one origin each.

        The leader of two data centres resigns, and each origin turns to the next
        leader of its own.
        """
        fleet = _Fleet(count=4)
        first = await fleet.open(1, "e0", "e1", "e2", "e3")
        # It leaves room for two of three tasks, and ends without a leader.
        fleet.submit(first, fleet.job("f", count=6, run_s=1.8), "z")
        await asyncio.sleep(0.01)
        job = fleet.job(count=3)
        former = fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        again = fleet.again(job)
        later = fleet.submit(first, again, "y")
        await asyncio.sleep(0.2)
        await fleet.close(first)
        await asyncio.sleep(0.3)
        second = await fleet.open(2, "e0", "e1", settle_s=0.0)
        third = await fleet.open(3, "e2", "e3", settle_s=0.0)
        fleet.submit(second, _moved(job, await former), "x", moved=True)
        fleet.submit(third, _moved(again, await later), "y", moved=True)
        self.assertEqual(await fleet.end(), [])

    async def test_next_leader_gets_a_moved_job_late(self):
        """Guards against a resigned leader's answer that ends too early.

        The origin of the earlier attempt looks for the next leader for 1.2 s. Its
        unstarted tasks start there at once, and the leader of the later attempt
        is told 0.1 s later.
        """
        fleet = _Fleet(count=3)
        first = await fleet.open(1, "e0")
        other = await fleet.open(2, "e1")
        fleet.submit(first, fleet.job("f"), "z")
        await asyncio.sleep(0.01)
        job = fleet.job(count=2)
        former = fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        fleet.submit(other, fleet.again(job), "y")
        await fleet.close(first)
        await asyncio.sleep(1.2)
        third = await fleet.open(3, "e2", settle_s=0.0)
        fleet.submit(third, _moved(job, await former), "x", moved=True)
        self.assertEqual(await fleet.end(), [])

    async def test_later_attempt_reaches_a_leader_that_has_just_claimed(self):
        """Guards against a start before the other leaders have told of theirs.

        They told a new leader of their jobs at their next check.
        """
        fleet = _Fleet(count=2)
        first = await fleet.open(1, "e0")
        job = fleet.job()
        fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        second = await fleet.open(2, "e1", settle_s=0.01)
        fleet.submit(second, fleet.again(job), "y")
        self.assertEqual(await fleet.end(), [])

    async def test_cut_after_a_later_attempt_has_joined(self):
        """Guards against runs that go on for a caller that has left.

        The later attempt moves to a leader that claims on the other side of the
        cut. The origin of the earlier one stays, and its leader still hears it.
        """
        fleet = _Fleet(count=2)
        first = await fleet.open(1, "e0")
        job = fleet.job(run_s=5.0)
        fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        again = fleet.again(job)
        origin = _jobs.Origin("y")
        fleet.submit(first, again, origin)
        await asyncio.sleep(0.3)
        fleet.site.links.cut.add("leader1")
        origin.lose()
        second = await fleet.open(2, "e1")
        fleet.submit(second, again, "y", moved=True)
        self.assertEqual(await fleet.end(), [])

    async def test_later_attempt_as_two_leaders_are_lost_together(self):
        """Guards against a start before the job has reached the other new leader.

        The next leaders claim within 0.3 s, and the origin of the earlier attempt
        offers its job to one of them as soon as it sees it.
        """
        fleet = _Fleet(count=3)
        await fleet.open(1, "e2")
        first = await fleet.open(2, "e0")
        job = fleet.job()
        fleet.submit(first, job, "x")
        await asyncio.sleep(_RETURN_S)
        await fleet.close(first)
        links = fleet.site.links
        links.remove("x")
        links.moving["x"] = job
        second = await fleet.open(3, "e1", settle_s=0.01)
        fleet.submit(second, fleet.again(job), "y")
        await asyncio.sleep(0.3)
        links.moving.clear()
        third = await fleet.open(4, "e0", settle_s=0.02)
        fleet.submit(third, job, "x", moved=True)
        self.assertEqual(await fleet.end(), [])

    async def test_lease_of_a_slow_start_after_a_restart(self):
        """Guards against a lease that counts from the sending of a start.

        The endpoint has started again, so that the end of the lease is far ahead
        on its clock, and falls silent as it has accepted the start.
        """
        fleet = _Fleet(count=1)
        path = _SlowStarts(fleet.site.fleet)
        leader = await fleet.open(1, "e0", orders_=path, settle_s=0.3)
        fleet.site.fleet.endpoints["e0"].crash()
        fleet.submit(leader, fleet.job(), "x")
        await asyncio.sleep(0.02)
        fleet.site.add("e1", 16.0)
        leader.update(fleet.site.endpoints)
        self.assertEqual(await fleet.end(), [])
