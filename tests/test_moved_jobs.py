"""Tests jobs that move between leaders, in virtual time.

An origin offers its job to another leader when its stream to the former one ends,
and may come back to a leader that still has the job.
"""

import asyncio
import contextlib
import itertools

from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual


def _job(site, key, *, run_s=4.0, cores=8.0, count=1):
    return site.job(
        key * 16, count=count, cores=cores, run_s=run_s, deadline_s=9
    )


async def _play_return(*, claim_s, return_s, phase_s):
    """Plays an origin that turns to another leader and comes back.

    Args:
        claim_s: Time from the cut until the other leader holds the endpoint.
        return_s: Time from the cut until the origin is back at the first one.
        phase_s: Time of the cut within a period of the polls.

    Returns:
        Tasks that ran twice at the same time.
    """
    site = _jobs.Site(count=1)
    path = _jobs.CutOrders(site.fleet)
    job = _job(site, "a")
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            site.leader(token=1, orders_=path)
        )
        submitted = [asyncio.create_task(first.submit(job, site.origin))]
        await asyncio.sleep(0.3 + phase_s)
        cut_off = list(site.endpoints)
        site.add("e1", 16.0)
        first.update(site.endpoints)
        path.cut.add("e0")
        site.origin.lose()
        await asyncio.sleep(claim_s)
        site.endpoints = cut_off
        async with site.leader(token=2) as second:
            submitted.append(
                asyncio.create_task(
                    second.submit(job, _jobs.Origin(), moved=True)
                )
            )
            await asyncio.sleep(return_s - claim_s - 0.05)
        await first.submit(job, _jobs.Origin(), moved=True)
        await asyncio.gather(*submitted)
    return site.history.overlapping


async def _play_two_moves(*, claim_s, return_s, phase_s):
    """Plays an origin that comes back while the other leader stays.

    The other leader goes on with the run until it misses the origin.

    Args:
        claim_s: Time from the cut until the other leader holds the endpoint.
        return_s: Time from the cut until the origin is back at the first one.
        phase_s: Time of the cut within a period of the polls.

    Returns:
        Tasks that ran twice at the same time.
    """
    site = _jobs.Site(count=1)
    path = _jobs.CutOrders(site.fleet)
    job = _job(site, "a")
    former, moved, back = (_jobs.HeartbeatOrigin("origin") for _ in range(3))
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            site.leader(token=1, orders_=path)
        )
        submitted = [asyncio.create_task(first.submit(job, former))]
        await asyncio.sleep(0.3 + phase_s)
        cut_off = list(site.endpoints)
        site.add("e1", 16.0)
        first.update(site.endpoints)
        path.cut.add("e0")
        former.lose()
        await asyncio.sleep(claim_s)
        site.endpoints = cut_off
        second = await stack.enter_async_context(site.leader(token=2))
        submitted.append(
            asyncio.create_task(second.submit(job, moved, moved=True))
        )
        await asyncio.sleep(return_s - claim_s - 0.05)
        moved.lose()
        await first.submit(job, back, moved=True)
        await asyncio.gather(*submitted)
    return site.history.overlapping


async def _play_held_up(*, claim_s, phase_s, moves_s, delay_s):
    """Plays an origin that moves while its heartbeats are held up.

    Args:
        claim_s: Time from the cut until the path of the endpoint is known lost.
        phase_s: Time of the cut within a period of the polls.
        moves_s: Time from the cut until the origin offers its job elsewhere.
        delay_s: Time for which its heartbeats are held up on their way.

    Returns:
        Tasks that ran twice at the same time.
    """
    site = _jobs.Site(count=1)
    path = _jobs.CutOrders(site.fleet)
    origin = _jobs.HeartbeatOrigin("origin", delay_s=delay_s)
    job = _job(site, "a")
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            site.leader(token=1, orders_=path)
        )
        submitted = [asyncio.create_task(first.submit(job, origin))]
        await asyncio.sleep(0.3 + phase_s)
        cut_off = list(site.endpoints)
        site.add("e1", 16.0)
        first.update(site.endpoints)
        path.cut.add("e0")
        await asyncio.sleep(claim_s)
        site.endpoints = cut_off
        asyncio.get_running_loop().call_later(moves_s - claim_s, origin.lose)
        await asyncio.sleep(moves_s - claim_s - 0.15)
        second = await stack.enter_async_context(site.leader(token=2))
        await asyncio.sleep(0.1)
        await second.submit(job, _jobs.Origin("origin"), moved=True)
        await asyncio.gather(*submitted)
    return site.history.overlapping


class MovedJobTest(_virtual.VirtualTimeTest):

    async def _assert_none(self, play, **choices):
        seen = {}
        count = 0
        for values in itertools.product(*choices.values()):
            count += 1
            found = await play(**dict(zip(choices, values, strict=True)))
            if found:
                seen[values] = found
        self.assertEqual(seen, {}, f"{len(seen)} of {count}: {list(choices)}")

    async def test_job_that_comes_back_waits_for_the_other_leader(self):
        """Guards against a start beside a run that the other leader renewed.

        The former leader still has the job and does not note that it moved.
        """
        await self._assert_none(
            _play_return,
            claim_s=(0.05, 0.1, 0.2, 0.3),
            return_s=(0.4, 0.5, 0.6, 0.7),
            phase_s=(0.0, 0.1, 0.2),
        )

    async def test_job_that_comes_back_waits_while_the_other_leader_stays(self):
        """Guards against a start beside a run that the other leader renews."""
        await self._assert_none(
            _play_two_moves,
            claim_s=(0.05, 0.2, 0.3),
            return_s=(0.4, 0.5, 0.6, 0.7),
            phase_s=(0.0, 0.1, 0.2),
        )

    async def test_held_up_heartbeat_does_not_resume_a_job(self):
        """Guards against a heartbeat from before the move that is read late.

        It counts from the time at which its clocks prove that it was sent.
        """
        await self._assert_none(
            _play_held_up,
            claim_s=(0.2,),
            phase_s=(0.0, 0.1, 0.2),
            moves_s=(0.7, 0.8, 0.9, 1.0),
            delay_s=(0.05, 0.2, 0.4, 0.6),
        )

    async def test_task_of_a_live_origin_does_not_wait_for_a_lost_one(self):
        """Guards against a job that is never resumed.

        An origin of a former attempt was lost; that of the present one lives.
        """
        site = _jobs.Site(count=1)
        job = _job(site, "a", run_s=1.0)
        async with site.leader() as leader:
            former = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.2)
            site.origin.lose()
            await asyncio.sleep(0.3)
            present = asyncio.create_task(
                leader.submit(job, _jobs.Origin("present"))
            )
            await asyncio.sleep(0.1)
            site.add("e1", 16.0)
            leader.update(site.endpoints)
            site.fleet.endpoints["e0"].fault.silent = True
            outcome = await present
            await former
        self.assertEqual(outcome, outcomes.Complete(()))

    async def test_start_that_is_not_sent_leaves_its_task_waiting(self):
        """Guards against a task that is lost between two offers of its job.

        Its start waits for a connection when its origin counts as lost, and the
        next offer comes before the leader has ended the job.
        """
        site = _jobs.Site(count=1)
        endpoint = site.fleet.endpoints["e0"]
        job = _job(site, "a", run_s=0.5, cores=2.0)
        async with site.leader() as leader:
            endpoint.fault.late_s = 50.0
            held_up = asyncio.create_task(
                leader.submit(
                    _job(site, "b", cores=2.0, count=2), _jobs.Origin("other")
                )
            )
            await asyncio.sleep(0.01)
            # Counts as lost 0.02 s before a connection is free.
            site.origin.lose(silent_s=0.75 - 0.27)
            former = asyncio.create_task(leader.submit(job, site.origin))
            await asyncio.sleep(0.02)
            endpoint.fault.late_s = 0.0
            await asyncio.sleep(0.28)
            present = asyncio.create_task(
                leader.submit(job, _jobs.Origin(), moved=True)
            )
            self.assertEqual(await present, outcomes.Complete(()))
            await asyncio.gather(former, held_up)
