"""Reads of the list of endpoints across changes of the leader."""

import asyncio
import json

from sesameroad import errors
from sesameroad.node import endpoint_list
from sesameroad.node import endpoint_watcher
from sesameroad.platform import row_store
from tests import _virtual

_LEADER_PERIOD_S = 0.8
_IDLE_PERIOD_S = 4.0


class _Store:
    """Fake store whose table of endpoints the test changes."""

    def __init__(self, *names):
        self.names = names
        self.malformed = ()
        self.failing = False
        self.delay_s = 0.0

    async def read(self, table, *, step):
        rows = [_row(name) for name in self.names]
        rows += [row_store.Row(name, 2, b"") for name in self.malformed]
        await asyncio.sleep(self.delay_s)
        if self.failing:
            raise errors.PlatformError("down", step=step)
        return row_store.Snapshot(tuple(rows), 1, True)


def _row(name):
    value = {
        "service": "s",
        "address": "127.0.0.1:9",
        "zone": "dc1",
        "state": "ready",
    }
    return row_store.Row(name, 1, json.dumps(value).encode())


class EndpointWatcherTest(_virtual.VirtualTimeTest):

    async def _start(self, *names):
        self.period_s = _IDLE_PERIOD_S
        self.store = _Store(*names)
        self.endpoint_list = endpoint_list.EndpointList(clock=_virtual.Clock())
        self.watcher = endpoint_watcher.EndpointWatcher(
            store=self.store,
            endpoint_list=self.endpoint_list,
            period_s=lambda: self.period_s,
            changed=lambda: None,
        )
        self.task = asyncio.create_task(self.watcher.run())
        await asyncio.sleep(0.01)

    def _lead(self):
        self.period_s = _LEADER_PERIOD_S
        self.watcher.read_now()

    def _names(self):
        return {endpoint.id for endpoint in self.endpoint_list.live}

    async def test_new_leader_drops_an_endpoint_that_left(self):
        """Guards against the long period of an idle instance as an outage.

        The new leader then used endpoints that were gone for 2.5 s more.
        """
        await self._start("a", "b")
        await asyncio.sleep(3.5)
        self.store.names = ("a",)
        self._lead()
        await asyncio.sleep(0.01)
        self.assertEqual(self._names(), {"a"})
        self.task.cancel()

    async def test_outage_that_begins_with_leadership_keeps_endpoints(self):
        """Guards against a new leader without endpoints after an outage."""
        await self._start("a", "b")
        await asyncio.sleep(1.0)
        self.store.failing = True
        self._lead()
        await asyncio.sleep(2.6)
        self.store.failing = False
        self.store.names = ()
        await asyncio.sleep(0.5)
        self.assertEqual(self._names(), {"a", "b"})
        self.task.cancel()

    async def test_endpoint_with_an_odd_row_is_not_kept_after_an_outage(self):
        """Guards against a former description in place of a newer odd row."""
        await self._start("a", "b")
        self.store.failing = True
        await asyncio.sleep(10.0)
        self.store.failing = False
        self.store.names, self.store.malformed = (), ("b",)
        await asyncio.sleep(0.5)
        self.assertEqual(self._names(), {"a"})
        self.task.cancel()

    async def test_request_during_a_read_is_not_lost(self):
        """Guards against a new leader that waits for the end of a long period.

        It then used a list from before its claim for 4 s.
        """
        await self._start("a", "b")
        self.store.delay_s = 0.1
        self.watcher.read_now()
        await asyncio.sleep(0.05)
        self.store.names = ("a",)
        self._lead()
        await asyncio.sleep(0.2)
        self.assertEqual(self._names(), {"a"})
        self.task.cancel()
