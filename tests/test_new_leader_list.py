"""Starts of a new leader before and after it has read the list of endpoints."""

import asyncio
import json
import types

from sesameroad import errors
from sesameroad.node import endpoint_list
from sesameroad.node import endpoint_watcher
from sesameroad.node import instance_registry
from sesameroad.node import leaders
from sesameroad.platform import endpoint_rows
from sesameroad.platform import row_store
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from tests import _jobs
from tests import _virtual

_NAMES = ("e0", "e1")
_STORE_S = 0.004
# Longest time for which an unreadable store may delay the first start.
_MAX_DELAY_S = 0.25
# Time of a start without such a delay: the lists of runs are read first.
_USUAL_S = 0.02


class _Store:
    """Fake store with a table of endpoints that the test changes."""

    def __init__(self):
        self.draining = set()
        self.delay_s = _STORE_S
        self.failing = False
        self.reads = 0

    async def read(self, table, *, step):
        self.reads += 1
        rows = tuple(_row(name, name in self.draining) for name in _NAMES)
        failing = self.failing
        await asyncio.sleep(self.delay_s)
        if failing:
            raise errors.PlatformError("down", step=step)
        return row_store.Snapshot(rows, 1, True)


def _row(name, is_draining):
    value = {
        "service": "service",
        "address": f"{name}:80",
        "zone": "dc1",
        "state": "draining" if is_draining else "ready",
        "born": 1_000,
        "capacity": {"cpu": 16_000, "mem-mb": 65_536},
    }
    return row_store.Row(name, 1, json.dumps(value).encode())


class NewLeaderListTest(_virtual.VirtualTimeTest):
    """An instance has read the list 3 s ago as it becomes the leader."""

    async def _begin(self):
        self.site = _jobs.Site(count=0)
        for name in _NAMES:
            self.site.fleet.add(endpoint_rows.decode(_row(name, False)))
        clock = self.site.clock
        self.store = _Store()
        self.list = endpoint_list.EndpointList(clock=clock)
        registry = instance_registry.InstanceRegistry(clock=clock, fresh_s=5.0)
        row = {"data_centre": "dc1", "address": "a:1", "written_ms": 0}
        registry.update("i1", version=1, value=json.dumps(row).encode())
        self.metrics = job_metrics.JobMetrics()
        self.leaders = leaders.Leaders(
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
            mesh=types.SimpleNamespace(
                peers={}, all_dialled=True, all_heard=True
            ),
            registry=registry,
            endpoint_list=self.list,
            orders_=self.site.fleet,
            clock=clock,
            metrics=self.metrics,
            changed=lambda: self.watcher.read_now(),  # noqa: PLW0108  # Set below.
        )
        self.watcher = self._watcher()
        self.reading = asyncio.create_task(self.watcher.run())
        await asyncio.sleep(3.0)
        self.assertEqual(self.store.reads, 1)

    def _watcher(self):
        return endpoint_watcher.EndpointWatcher(
            store=self.store,
            endpoint_list=self.list,
            period_s=lambda: 0.8 if self.leaders.is_leader else 4.0,
            changed=self.leaders.update_endpoints,
            failed=self.leaders.record_list_failure,
        )

    async def _lead(self):
        """Makes the instance the leader, and submits a job to it."""
        while not self.leaders.is_leader:
            self.leaders.evaluate()
            await asyncio.sleep(0.1 * (not self.leaders.is_leader))
        self.claimed_at = self.site.clock.monotonic()
        self.submitted = asyncio.create_task(
            self.leaders.submit(
                "dc1",
                self.site.job(count=1, run_s=0.5, stretch=9.0, deadline_s=9),
                self.site.origin,
                moved=False,
                lent=False,
            )
        )

    async def _wait_for_start(self):
        while not self.site.history.starts:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        return self.site.clock.monotonic() - self.claimed_at

    async def _end(self):
        self.submitted.cancel()
        self.reading.cancel()
        await self.leaders.close()

    async def test_nothing_starts_on_endpoints_that_drain_since_long(self):
        """Guards against starts by a list from before the claim."""
        await self._begin()
        self.store.draining = set(_NAMES)
        await self._lead()
        await asyncio.sleep(1.0)
        self.assertEqual(self.site.history.starts, [])
        await self._end()

    async def test_list_that_is_read_during_the_claim_does_not_count(self):
        """Guards against a list that was asked for before the claim."""
        await self._begin()
        self.store.delay_s = 0.1
        self.watcher.read_now()
        await asyncio.sleep(0.05)
        self.store.draining = set(_NAMES)
        await self._lead()
        await asyncio.sleep(1.0)
        self.assertEqual(self.site.history.starts, [])
        await self._end()

    async def test_first_start_waits_for_one_call_of_the_store(self):
        """Guards against a takeover that is slower than it must be."""
        await self._begin()
        await self._lead()
        self.assertLess(await self._wait_for_start(), _USUAL_S)
        self.assertEqual(self.store.reads, 2)
        self.assertIn(
            'sesameroad_leader_list_seconds_count{result="read"} 1.0',
            self.metrics.render().decode(),
        )
        await self._end()

    async def test_leader_starts_tasks_without_the_store(self):
        """Guards against a leader that serves nobody as the store is away."""
        for failing, delay_s, latest_s in (
            (True, _STORE_S, _USUAL_S),
            (False, 30.0, _MAX_DELAY_S + _USUAL_S),
        ):
            await self._begin()
            self.store.failing = failing
            self.store.delay_s = delay_s
            with self.assertLogs(level="WARNING") as logs:
                await self._lead()
                waited_s = await self._wait_for_start()
            self.assertLess(waited_s, latest_s)
            self.assertIn(
                "a new leader starts tasks by an old list of endpoints",
                [record.getMessage() for record in logs.records],
            )
            await self._end()

    async def test_failed_read_from_before_the_claim_does_not_count(self):
        """Guards against an old list as a former read of the store fails."""
        await self._begin()
        self.store.failing = True
        self.store.delay_s = 0.1
        self.watcher.read_now()
        await asyncio.sleep(0.05)
        self.store.failing = False
        self.store.draining = set(_NAMES)
        await self._lead()
        await asyncio.sleep(1.0)
        self.assertEqual(self.site.history.starts, [])
        await self._end()
