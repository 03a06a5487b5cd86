"""Ends of a leader that keep it from ending its jobs."""

import asyncio
import contextlib
import types
from unittest import mock

from sesameroad.jobs import placer
from sesameroad.leasing import endpoint_pool
from sesameroad.leasing import orders
from sesameroad.model import outcomes
from sesameroad.node import endpoint_list as endpoint_list_module
from sesameroad.node import instance_registry
from sesameroad.node import leaders as leaders_module
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _virtual

_PROMPT_S = 0.5


class _DeafOrders:
    """Orders whose polls lose the first cancellation, as a time-out.

    Attributes:
        polls: Number of polls that were sent.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.start = fleet.start
        self.stop = fleet.stop
        self.polls = 0

    async def poll(self, endpoint, **order):
        self.polls += 1
        try:
            return await self._fleet.poll(endpoint, **order)
        except asyncio.CancelledError:
            asyncio.current_task().uncancel()
            return orders.NoAnswer("timeout")


class LeaderEndsTest(_virtual.VirtualTimeTest):

    def setUp(self):
        super().setUp()
        self.site = _jobs.Site(count=1)

    def leaders(self):
        """Returns an instance that may lead dc1."""
        endpoint_list = endpoint_list_module.EndpointList(clock=self.site.clock)
        endpoint_list.apply(self.site.endpoints, period_s=1.0)
        return leaders_module.Leaders(
            settings=node.NodeSettings(
                instance_id="i1",
                data_centre="dc1",
                data_centres={"dc1": "r"},
                web="10.0.0.1:1",
                ready="10.0.0.1:2",
                peer="10.0.0.1:3",
                metrics="10.0.0.1:4",
                platform="10.0.0.1:5",
                max_lease_ms=1_000,
            ),
            mesh=types.SimpleNamespace(peers={}),
            registry=instance_registry.InstanceRegistry(
                clock=self.site.clock, fresh_s=5.0
            ),
            endpoint_list=endpoint_list,
            orders_=self.site.fleet,
            clock=self.site.clock,
            metrics=job_metrics.JobMetrics(),
            changed=lambda: None,
        )

    async def lead_for_a_moment(self, job):
        """Claims, gets a job and resigns in one turn of the event loop.

        Two instances claim at about the same time after the loss of a leader, and
        one of them resigns as soon as it hears the other one.
        """
        leaders = self.leaders()
        loop = asyncio.get_running_loop()
        loop.call_soon(leaders._claim, ["dc1"])
        submitted = asyncio.create_task(
            leaders.submit(
                "dc1", job, self.site.origin, moved=False, lent=False
            )
        )
        loop.call_soon(leaders._resign_all, "i2 has a higher token")
        async with asyncio.timeout(_PROMPT_S):
            return await submitted

    async def test_job_of_a_leader_that_resigns_at_once_is_answered(self):
        """Guards against a job that stays open at a leader that has ended.

        A task that is cancelled before its first step runs none of its code, also
        not the one that answers the jobs.
        """
        outcome = await self.lead_for_a_moment(self.site.job(deadline_s=9))
        self.assertEqual(outcome.cause, outcomes.Cause.NOT_STEWARD)

    async def test_leader_that_resigns_at_once_ends_its_sessions(self):
        """Guards against polls with an outdated token that go on.

        Endpoints refuse them once the next leader has polled, which makes this
        instance resign if it leads again.
        """
        with contextlib.suppress(TimeoutError):
            await self.lead_for_a_moment(self.site.job())
        # The sessions end in the next turns of the event loop.
        await asyncio.sleep(0.01)
        sessions = [
            task.get_name()
            for task in asyncio.all_tasks()
            if task.get_name().startswith("endpoint ")
        ]
        self.assertEqual(sessions, [])

    async def test_order_that_loses_its_cancellation_does_not_hold_up_jobs(
        self,
    ):
        """Guards against jobs that wait for the end of a session.

        The HTTP library loses a cancellation that comes together with the timeout
        of a request. The session went on for ever, and the jobs of its leader were
        not answered before.
        """
        deaf = _DeafOrders(self.site.fleet)
        job = self.site.job(run_s=9.0, estimate_s=0.5, deadline_s=9)
        async with self.site.leader(orders_=deaf) as leader:
            submitted = asyncio.create_task(
                leader.submit(job, self.site.origin)
            )
            await asyncio.sleep(_PROMPT_S)
            resigned = asyncio.create_task(leader.close())
            await asyncio.sleep(0.01)
            self.assertTrue(submitted.done())
            polls = deaf.polls
            async with asyncio.timeout(_PROMPT_S):
                await resigned
            await asyncio.sleep(3.0)
        self.assertEqual(deaf.polls, polls)

    async def test_leader_goes_on_with_its_checks_after_an_error(self):
        """Guards against jobs that nothing ends after one error in a check."""
        fails_once = mock.patch.object(
            endpoint_pool.EndpointPool,
            "update_recovery",
            side_effect=[ValueError("fault"), *[None] * 1_000],
        )
        with fails_once:
            async with self.site.leader() as leader:
                await asyncio.sleep(_PROMPT_S)
                job = self.site.job(run_s=9.0, estimate_s=0.5, deadline_s=1.0)
                submitted = asyncio.create_task(
                    leader.submit(job, self.site.origin)
                )
                await asyncio.wait([submitted], timeout=1.0 + _PROMPT_S)
                self.assertTrue(submitted.done())

    async def test_instance_whose_leader_has_failed_does_not_claim_to_lead(
        self,
    ):
        """Guards against a leader that refuses all jobs and stays the leader.

        An error in a placement ends the task of the leader, and the instance goes
        on to report its claims.
        """
        leaders = self.leaders()
        fails = mock.patch.object(
            placer.Placer, "place", side_effect=ValueError("fault")
        )
        with fails:
            leaders._claim(["dc1"])
            await asyncio.sleep(_PROMPT_S)
        if leaders.claims():
            outcome = await leaders.submit(
                "dc1",
                self.site.job(),
                self.site.origin,
                moved=False,
                lent=False,
            )
            self.assertEqual(outcome, outcomes.Complete(()))
