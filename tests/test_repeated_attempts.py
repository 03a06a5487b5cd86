"""Tests callers that come again while leaders change, in virtual time.

A caller whose connection broke submits its job again 1.3 s later, at any
instance and so possibly at another leader. That attempt is not marked as moved.
The runs of the former attempt must have ended by then, or the next leader must
know them.
"""

import asyncio
import contextlib
import functools
from unittest import mock

from sesameroad.model import outcomes
from sesameroad.node import node
from sesameroad.peering import messages
from standins import simulated_endpoint
from tests import _jobs
from tests import _virtual

# Time after which a caller submits its job again, and time of silence after
# which an origin counts as lost.
_RETURN_S = 1.3
_SILENCE_S = 0.75


@contextlib.asynccontextmanager
async def _second_leader(site):
    """Opens a leader that holds endpoints of its own, e2 and e3."""
    listed = site.endpoints
    site.endpoints = []
    site.add("e2", 16.0)
    site.add("e3", 16.0)
    async with site.leader(token=2) as second:
        site.endpoints = listed
        yield second


def _part(job, *indices):
    return job.part(indices)


class RepeatedAttemptTest(_virtual.VirtualTimeTest):

    def _assert_none_overlapped(self, site, **parameters):
        self.assertEqual(site.history.overlapping, [], parameters)

    async def test_endpoint_cut_off_after_its_origin(self):
        """Guards against a lease that outlives the return of the caller.

        The leader can't stop runs on an endpoint that it can't reach, and has
        renewed their lease until then although their origin was silent.
        """
        for cut_s in (0.1, 0.3, 0.5, 0.7):
            site = _jobs.Site(count=2)
            job = site.job(count=2, cores=16.0, run_s=3.0, deadline_s=9)
            async with (
                site.leader(token=1) as first,
                _second_leader(site) as second,
            ):
                submitted = asyncio.create_task(first.submit(job, site.origin))
                await asyncio.sleep(0.3)
                site.origin.lose()
                await asyncio.sleep(cut_s)
                site.fleet.endpoints["e0"].fault.silent = True
                await asyncio.sleep(_RETURN_S - cut_s)
                await second.submit(job, _jobs.Origin("other"))
                await submitted
            self._assert_none_overlapped(site, cut_s=cut_s)

    async def test_leader_lost_after_the_origin(self):
        """Guards against runs that neither leader stops.

        The leader is lost before it notices the loss of the origin. The runs
        go on until their lease ends, which it had renewed until then.
        """
        for lost_s in (0.1, 0.2, 0.3, 0.5, 0.7):
            for next_leader in ("other endpoints", "silent", "not listed"):
                site = _jobs.Site(count=2)
                job = site.job(count=2, cores=16.0, run_s=3.0, deadline_s=9)
                async with contextlib.AsyncExitStack() as stack:
                    async with site.leader(token=1) as first:
                        submitted = asyncio.create_task(
                            first.submit(job, site.origin)
                        )
                        await asyncio.sleep(0.3)
                        site.origin.lose()
                        await asyncio.sleep(lost_s)
                    await submitted
                    site.add("e2", 16.0)
                    site.add("e3", 16.0)
                    match next_leader:
                        case "other endpoints":
                            del site.endpoints[:2]
                        case "silent":
                            site.fleet.endpoints["e0"].fault.silent = True
                        case "not listed":
                            del site.endpoints[0]
                    second = await stack.enter_async_context(
                        site.leader(token=2)
                    )
                    await asyncio.sleep(_RETURN_S - lost_s - 0.05)
                    await second.submit(job, _jobs.Origin("other"))
                self._assert_none_overlapped(
                    site, lost_s=lost_s, next_leader=next_leader
                )

    async def test_next_leader_finds_the_runs_of_a_lost_origin(self):
        """Guards against a start beside a run that the next leader can list."""
        for lost_s in (0.1, 0.3, 0.5, 0.7):
            site = _jobs.Site(count=2)
            job = site.job(count=2, cores=16.0, run_s=3.0, deadline_s=9)
            async with site.leader(token=1) as first:
                submitted = asyncio.create_task(first.submit(job, site.origin))
                await asyncio.sleep(0.3 + lost_s)
            await submitted
            site.add("e2", 16.0)
            site.add("e3", 16.0)
            async with site.leader(token=2) as second:
                await asyncio.sleep(_RETURN_S - lost_s - 0.05)
                await second.submit(job, _jobs.Origin("other"))
            self._assert_none_overlapped(site, lost_s=lost_s)

    async def test_later_attempt_is_partitioned_differently(self):
        """Guards against tasks that a second leader starts too early.

        The former attempt runs whole at one leader, as its origin is alive and
        has not noticed that the caller is gone. The next one has a part there,
        which stops the former attempt only now, and one at another leader. The
        caller comes again after 0.3 s, so leaders tell each other of a job
        before that instead of before the 1.3 s of other callers.
        """
        site = _jobs.Site(count=2, attempt_notice_s=0.1)
        job = site.job(count=4, run_s=2.0, deadline_s=9)
        async with (
            site.leader(token=1) as first,
            _second_leader(site) as second,
        ):
            submitted = asyncio.create_task(first.submit(job, site.origin))
            await asyncio.sleep(0.3)
            other = _jobs.Origin("other")
            await asyncio.gather(
                first.submit(_part(job, 0, 1), other),
                second.submit(_part(job, 2, 3), other, lent=True),
            )
            await submitted
        self._assert_none_overlapped(site)

    async def test_later_attempt_at_the_same_leader_waits(self):
        """Guards against tasks of two attempts of one leader side by side."""
        for first_parts, next_parts in (
            (((0, 1, 2, 3),), ((0, 1), (2, 3))),
            (((0, 1), (2, 3)), ((0, 1, 2, 3),)),
            (((0, 1), (2, 3)), ((0, 1, 2), (3,))),
            (((0, 1, 2), (3,)), ((0,), (1, 2, 3))),
        ):
            site = _jobs.Site(count=4)
            job = site.job(count=4, run_s=0.4, deadline_s=9)
            async with site.leader() as leader:
                submitted = [
                    asyncio.create_task(
                        leader.submit(_part(job, *indices), site.origin)
                    )
                    for indices in first_parts
                ]
                await asyncio.sleep(0.2)
                other = _jobs.Origin("other")
                answers = await asyncio.gather(
                    *(
                        leader.submit(_part(job, *indices), other)
                        for indices in next_parts
                    )
                )
                for task in submitted:
                    task.cancel()
            self.assertEqual(answers, [outcomes.Complete(())] * len(answers))
            self._assert_none_overlapped(
                site, first=first_parts, next=next_parts
            )

    async def test_stops_do_not_wait_for_starts_without_an_answer(self):
        """Guards against stops that come late as starts occupy connections.

        An endpoint has two connections for starts, and a start waits 0.3 s for
        its answer. Other jobs have starts in the queue when the loss of an
        origin is noticed.
        """
        for starts in (2, 4, 8):
            site = _jobs.Site(count=1, cores=64.0)
            job = site.job(count=2, run_s=3.0, deadline_s=9)
            async with (
                site.leader(token=1) as first,
                _second_leader(site) as second,
            ):
                submitted = asyncio.create_task(first.submit(job, site.origin))
                await asyncio.sleep(0.3)
                site.origin.lose()
                await asyncio.sleep(_SILENCE_S - 0.01)
                site.fleet.endpoints["e0"].fault.lose_start_answers = True
                others = [
                    asyncio.create_task(
                        first.submit(
                            site.job(
                                f"{number:016x}",
                                count=1,
                                cores=1.0,
                                run_s=1.0,
                                deadline_s=9,
                            ),
                            _jobs.Origin(f"alive {number}"),
                        )
                    )
                    for number in range(starts)
                ]
                await asyncio.sleep(_RETURN_S - _SILENCE_S + 0.01)
                running = [
                    task
                    for task in site.history.running
                    if task.startswith(job.key)
                ]
                await second.submit(job, _jobs.Origin("other"))
                await submitted
                for task in others:
                    task.cancel()
            self.assertEqual(running, [], starts)
            self.assertEqual(site.history.overlapping, [], starts)

    async def test_moved_job_waits_for_a_lease_on_a_slow_clock(self):
        """Guards against a wait that is shorter than the longest lease.

        The clock of the endpoint is 2% slow, and the lease was renewed just
        before the leader was lost. The next leader does not know the endpoint.
        """
        for lost_s in (0.002, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5):
            site = _jobs.Site(count=2)
            for endpoint in site.endpoints:
                site.fleet.endpoints[endpoint.id] = _SlowEndpoint(
                    endpoint, history=site.history, clock=site.clock
                )
            job = site.job(count=2, cores=16.0, run_s=3.0, deadline_s=9)
            async with site.leader(token=1) as first:
                submitted = asyncio.create_task(first.submit(job, site.origin))
                await asyncio.sleep(lost_s)
            await submitted
            self.assertEqual(len(site.history.running), 2)
            site.endpoints.clear()
            site.add("e2", 16.0)
            site.add("e3", 16.0)
            async with site.leader(token=2) as second:
                outcome = await second.submit(job, site.origin, moved=True)
            self.assertEqual(outcome, outcomes.Complete(()))
            self._assert_none_overlapped(site, lost_s=lost_s)

    async def test_lent_part_is_not_refused_beside_its_runs(self):
        """Guards against "no room" while tasks of the part run here.

        The part then goes to another leader, which starts its tasks at once.
        The leader was replaced before it noticed the loss of the origin, and
        the next one has found the runs, but stops them only 0.5 s later.
        """
        site = _jobs.Site(count=1)
        part = _part(site.job(count=2, run_s=3.0, deadline_s=9), 0, 1)
        async with site.leader(token=1) as former:
            submitted = asyncio.create_task(former.submit(part, site.origin))
            await asyncio.sleep(0.3)
            site.origin.lose()
            await asyncio.sleep(0.8)
        await submitted
        async with (
            site.leader(token=3) as first,
            _second_leader(site) as second,
        ):
            await asyncio.sleep(_RETURN_S - 0.9)
            other = _jobs.Origin("other")
            outcome = await first.submit(part, other, lent=True)
            if isinstance(outcome, outcomes.NotRun):
                await second.submit(part, other)
        self._assert_none_overlapped(site)

    async def test_cancel_that_arrives_with_its_job(self):
        """Guards against a job that goes on although it was cancelled.

        An envelope may contain the offer of a job and its cancelling.
        """
        site = _jobs.Site(count=2)
        job = site.job(count=2, run_s=1.0, deadline_s=9)
        link = mock.Mock()
        link.hello.instance_id = "origin"
        link.heard_recently = True
        link.silent_s = 0.0
        async with site.leader() as leader:

            async def submit(data_centre, job, origin, **options):
                del data_centre
                return await leader.submit(job, origin, **options)

            receiver = mock.Mock(
                _leaders=mock.Mock(submit=submit, cancel=leader.cancel),
                _offer_tasks=set(),
            )
            receiver._serve_offer = functools.partial(
                node.Node._serve_offer, receiver
            )
            for message in (
                messages.JobOffer(1, "dc1", job, False, False),
                messages.JobCancel(job.name),
            ):
                node.Node._receive(receiver, link, message)
            await asyncio.sleep(0.2)
            self.assertEqual(site.history.running, {})


class _SlowEndpoint(simulated_endpoint.SimulatedEndpoint):
    """An endpoint whose clock is 2% slow."""

    _RATE = 0.98

    @property
    def clock_ms(self):
        return int(self._clock.monotonic() * 1_000 * self._RATE) + 500_000

    def _extend(self, until_ms):
        super()._extend(until_ms)
        self._expiry_timer.cancel()
        left_s = (self.lease_until_ms - self.clock_ms) / 1_000 / self._RATE
        self._expiry_timer = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._expire
        )
