"""Refusals of orders whose token their own leader has raised, in virtual time."""

import asyncio
import collections
import dataclasses
import random

from sesameroad.leasing import orders
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual


class _LateOrders:
    """Orders of which some arrive late, also if nobody waits for the answer.

    Attributes:
        late_s: Delay in seconds of the orders of each kind.
        random: If not None, draws the delay of each order, up to `late_s`.
        highest: Highest token of an order to each endpoint.
        outdated: Kind of each order that an endpoint refused although it was
            sent with a lower token than another one of this leader.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.late_s = {"start": 0.0, "stop": 0.0, "poll": 0.0}
        self.random = None
        self.highest = {}
        self.outdated = []

    async def start(self, endpoint, **order):
        return await self._send("start", endpoint, order)

    async def stop(self, endpoint, **order):
        return await self._send("stop", endpoint, order)

    async def poll(self, endpoint, **order):
        return await self._send("poll", endpoint, order)

    async def _send(self, kind, endpoint, order):
        token = order["token"]
        self.highest[endpoint.id] = max(token, self.highest.get(endpoint.id, 0))
        late_s = self.late_s[kind]
        if self.random is not None:
            late_s *= self.random.random() ** 4
        return await asyncio.shield(
            asyncio.create_task(self._deliver(kind, endpoint, order, late_s))
        )

    async def _deliver(self, kind, endpoint, order, late_s):
        await asyncio.sleep(late_s)
        answer = await getattr(self._fleet, kind)(endpoint, **order)
        if (
            isinstance(answer, orders.Refused)
            and answer.refusal is orders.Refusal.FENCED
            and order["token"] < self.highest[endpoint.id]
        ):
            self.outdated.append(kind)
        return answer


class OwnFenceTest(_virtual.VirtualTimeTest):

    def _submit(self, site, leader, key, *, run_s=0.3, cores=2.0, count=2):
        job = site.job(
            key * 16, run_s=run_s, cores=cores, count=count, deadline_s=20
        )
        return asyncio.create_task(leader.submit(job, site.origin))

    async def _idle(self, site, leader):
        """Runs a job and waits until the endpoint is not polled any more."""
        await self._submit(site, leader, "a", run_s=0.05)
        await asyncio.sleep(2.0)

    def _assert_each_ran_once(self, site, answers):
        self.assertEqual(set(answers), {outcomes.Complete(())})
        self.assertEqual(site.history.overlapping, [])
        self.assertEqual(
            len(site.history.starts), len(set(site.history.starts))
        )

    async def test_poll_that_is_overtaken_by_starts_after_a_restart(self):
        """Guards against a leader that resigns because of its own token.

        The answer to the first start shows the restart and raises the token. The
        next starts overtake the poll that was sent beside the first one.
        """
        for late_ms in range(0, 40, 2):
            site = _jobs.Site(count=1)
            late = _LateOrders(site.fleet)
            async with site.leader(orders_=late) as leader:
                await self._idle(site, leader)
                site.fleet.endpoints["e0"].crash()
                late.late_s["poll"] = late_ms / 1_000
                submitted = [self._submit(site, leader, key) for key in "bcd"]
                await asyncio.sleep(0.1)
                late.late_s["poll"] = 0.0
                answers = await asyncio.gather(*submitted)
            self._assert_each_ran_once(site, answers)
            self.assertEqual(site.fenced, [], late_ms)

    async def test_poll_that_is_overtaken_by_a_repeated_stop(self):
        """Guards against a leader that resigns because of its own token.

        A start and its first stop get no answer, which raises the token. The
        next stop overtakes the poll that was sent before.
        """
        outdated = 0
        for late_ms in range(0, 200, 10):
            site = _jobs.Site(count=1)
            late = _LateOrders(site.fleet)
            endpoint = site.fleet.endpoints["e0"]
            async with site.leader(orders_=late) as leader:
                await self._idle(site, leader)
                endpoint.fault.late_s = 50.0
                endpoint.fault.lost_stops = 1
                submitted = self._submit(site, leader, "b", count=1)
                await asyncio.sleep(0.2)
                late.late_s["poll"] = late_ms / 1_000
                await asyncio.sleep(0.4)
                endpoint.fault.late_s = late.late_s["poll"] = 0.0
                answer = await submitted
            outdated += late.outdated.count("poll")
            self._assert_each_ran_once(site, [answer])
            self.assertEqual(site.fenced, [], late_ms)
        self.assertGreater(outdated, 0)

    async def test_start_that_is_overtaken_runs_once(self):
        """Guards against a second run of a task whose start was refused.

        A report with the raised token ends the run before its start is refused.
        """
        site = _jobs.Site(count=1)
        late = _LateOrders(site.fleet)
        async with site.leader(orders_=late) as leader:
            await self._idle(site, leader)
            site.fleet.endpoints["e0"].crash()
            late.late_s["start"] = 0.27
            submitted = [self._submit(site, leader, key) for key in "bc"]
            await asyncio.sleep(0.05)
            late.late_s["start"] = 0.0
            answers = await asyncio.gather(*submitted)
        self.assertIn("start", late.outdated)
        self._assert_each_ran_once(site, answers)
        self.assertEqual(site.fenced, [])

    async def test_endpoint_that_is_held_again_refuses_former_orders(self):
        """Guards against a refusal of a poll from before a release.

        The poll with the former token is on its way while the endpoint is taken
        off the list, listed again, and polled with a higher token.
        """
        site = _jobs.Site(count=2)
        late = _LateOrders(site.fleet)
        async with site.leader(orders_=late) as leader:
            await self._idle(site, leader)
            late.late_s["poll"] = 0.3
            leader.update(
                [
                    dataclasses.replace(e, born_ms=e.born_ms + 1_000)
                    for e in site.endpoints
                ]
            )
            await asyncio.sleep(0.05)
            leader.update(site.endpoints[1:])
            await asyncio.sleep(0.15)
            late.late_s["poll"] = 0.0
            leader.update(site.endpoints)
            await asyncio.sleep(0.5)
            answer = await self._submit(site, leader, "b", cores=8.0, count=4)
        self.assertIn("poll", late.outdated)
        self._assert_each_ran_once(site, [answer])
        self.assertEqual(site.fenced, [])

    async def test_other_leader_is_noticed_while_the_token_is_raised(self):
        """Guards against orders of a leader that another one has replaced.

        The endpoint restarts again and again, so that the token of the former
        leader is raised each time.
        """
        site = _jobs.Site(count=1)
        async with site.leader(token=1) as first:
            submitted = self._submit(site, first, "a", run_s=9.0)
            await asyncio.sleep(0.2)
            async with site.leader(token=1_000):
                for _ in range(5):
                    await asyncio.sleep(0.1)
                    site.fleet.endpoints["e0"].crash()
            self.assertIn("dc1", site.fenced)
            submitted.cancel()

    async def test_orders_in_any_order_show_no_other_leader(self):
        """Guards against any other way to resign because of an own token.

        Orders of all kinds arrive late while endpoints restart or do not answer
        and are taken off the list, and while the leader raises its token.
        """
        outdated = collections.Counter()
        for seed in range(120):
            site = _jobs.Site(count=2)
            late = _LateOrders(site.fleet)
            random_ = late.random = random.Random(seed)
            async with site.leader(orders_=late) as leader:
                late.late_s = {"start": 0.25, "stop": 0.05, "poll": 0.2}
                submitted = []
                for number in range(24):
                    key = chr(ord("a") + number)
                    submitted.append(self._submit(site, leader, key))
                    await asyncio.sleep(random_.uniform(0.0, 0.3))
                    self._cause_fault(site, leader, random_)
                self._end_faults(site, leader)
                await asyncio.gather(*submitted)
            outdated.update(late.outdated)
            self.assertEqual(site.history.overlapping, [], seed)
            self.assertEqual(site.fenced, [], seed)
        self.assertEqual(set(outdated), {"start", "stop", "poll"})

    def _cause_fault(self, site, leader, random_):
        endpoint = random_.choice(list(site.fleet.endpoints.values()))
        match random_.randrange(8):
            case 0 | 1:
                endpoint.crash(down_s=random_.choice((0.0, 0.1)))
            case 2:
                endpoint.fault.lost_stops = 2
            case 3:
                leader.raise_token(leader.token + 1_000)
            case 4:
                leader.update(site.endpoints[1:])
            case 5:
                endpoint.fault.silent = True
            case 6:
                endpoint.fault.lose_start_answers = True
            case _:
                self._end_faults(site, leader)

    def _end_faults(self, site, leader):
        for endpoint in site.fleet.endpoints.values():
            endpoint.fault.silent = endpoint.fault.lose_start_answers = False
        leader.update(site.endpoints)
