"""Tests of configuration, membership and links during network partitions."""

import asyncio
import dataclasses
import time
import unittest

import aiohttp
import msgspec

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.configuration import store as store_module
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.platform import table
from standins import fleet as fleet_module
from standins import forwarder

_IN_FORCE_LIMIT_S = 4.0
_LEAVING_LIMIT_S = 3.0


def _add_kind(name):
    def edit(content):
        kinds = {**content.product.kinds, name: document.Kind()}
        product = dataclasses.replace(content.product, kinds=kinds)
        return dataclasses.replace(content, product=product)

    return edit


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against outdated state on entries that lost a connection."""

    async def asyncSetUp(self):
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def _store(self, fleet):
        client = platform_client.PlatformClient.open(
            fleet.platform_url, timeout_s=2.0
        )
        self.addAsyncCleanup(client.close)
        return store_module.Store(
            table=table.Table(row_store.RowStore(client)),
            fallback=fleet_module.default_document(),
        )

    async def _change(self, store, name):
        return await store.change(
            _add_kind(name),
            author="paola",
            role=document.Role.PRODUCT,
            summary=f"add kind {name}",
        )

    async def _post(self, url, kind="lookup"):
        body = {"team": "storefront", "kind": kind, "payload": {}}
        async with self.session.post(f"{url}/v1/requests", json=body) as answer:
            return answer.status, await answer.text()

    async def _wait_in_force(self, fleet, kind, limit_s=_IN_FORCE_LIMIT_S):
        """Waits until every entry accepts work of a kind."""
        async with asyncio.timeout(limit_s):
            for process in fleet.entries.values():
                while True:
                    if (await self._post(process.url, kind))[0] == 200:
                        break
                    await asyncio.sleep(0.05)

    async def test_change_is_in_force_on_an_entry_cut_off(self):
        """An entry cut off from the platform must get changes from peers."""
        async with fleet_module.Fleet.open(use_forwarders=True) as fleet:
            cut = fleet.platform_forwarders["dc2-entry1"]
            cut.fault = forwarder.Fault.CUT
            await self._change(self._store(fleet), "valuation")
            await self._wait_in_force(fleet, "valuation")
            self.assertIs(cut.fault, forwarder.Fault.CUT)

    async def test_change_is_in_force_on_an_entry_started_in_an_outage(self):
        """The fallback must not be used if a peer has a newer version."""
        async with fleet_module.Fleet.open(use_forwarders=True) as fleet:
            await self._change(self._store(fleet), "valuation")
            await self._wait_in_force(fleet, "valuation")
            fleet.entries["dc2-entry1"].kill()
            await fleet.control(fleet.platform, "fault", b"down")
            started_at = time.monotonic()
            process = fleet.start_entry("dc2-entry1")
            await fleet.wait_ready(["dc2-entry1"])
            status, text = await self._post(process.url, "valuation")
            self.assertEqual(status, 200, text)
            self.assertLess(time.monotonic() - started_at, 10.0)

    async def test_leaving_endpoint_gets_no_start_after_3_s(self):
        """Guards against starts by an entry that cannot read the list."""
        async with fleet_module.Fleet.open(
            data_centres=1, entries_each=2, use_forwarders=True
        ) as fleet:
            urls = [process.url for process in fleet.entries.values()]
            fleet.platform_forwarders["dc1-entry2"].fault = forwarder.Fault.CUT
            first, *others = fleet.listing.endpoints
            await fleet.set_listing(
                dataclasses.replace(
                    fleet.listing,
                    version=2,
                    endpoints=(
                        dataclasses.replace(first, leaving=True),
                        *others,
                    ),
                )
            )
            await asyncio.sleep(_LEAVING_LIMIT_S)
            process = fleet.endpoints[first.id]
            before = await self._starts(process)
            answers = await asyncio.gather(
                *(self._post(url) for url in urls * 20)
            )
            self.assertEqual({status for status, _ in answers}, {200})
            self.assertEqual(await self._starts(process), before)

    async def _starts(self, process):
        async with self.session.get(f"{process.url}/control/starts") as answer:
            return msgspec.json.decode(await answer.read())

    async def test_half_cut_link_is_noticed_and_recovers(self):
        """A relay over a link with one broken direction must not hang."""
        async with fleet_module.Fleet.open(
            data_centres=2, endpoints_each=1, use_forwarders=True
        ) as fleet:
            near, far = (process.url for process in fleet.entries.values())
            await self._wait_relayed(near, far)
            for link in fleet.peer_forwarders.values():
                link.fault = forwarder.Fault.HOLD_ANSWERS
            # A silent peer is lost after 1.5 s; the redial takes 1 s more.
            await asyncio.sleep(3.0)
            for url, other in ((near, far), (far, near)):
                async with asyncio.timeout(1):
                    status, text = await self._relay(url, other)
                self.assertEqual(status, 504, text)
                self.assertIn("home-unreachable", text)
            for link in fleet.peer_forwarders.values():
                link.fault = forwarder.Fault.NONE
            await self._wait_relayed(near, far)
            await self._wait_relayed(far, near)

    async def _relay(self, url, home):
        """Sends work to an entry under a key that another entry issued."""
        async with self.session.post(f"{home}/v1/keys") as answer:
            key = (await answer.json())["keys"][0]
        body = {"team": "storefront", "kind": "lookup", "payload": {}}
        async with self.session.post(
            f"{url}/v1/requests", json=body, headers={"Idempotency-Key": key}
        ) as answer:
            return answer.status, await answer.text()

    async def _wait_relayed(self, url, home):
        started_at = time.monotonic()
        while True:
            status, text = await self._relay(url, home)
            if status == 200:
                return
            self.assertLess(time.monotonic() - started_at, 5, text)
            await asyncio.sleep(0.1)

    async def test_two_operators_race(self):
        """Of two concurrent changes, one must win and the other be reported."""
        async with fleet_module.Fleet.open() as fleet:
            names = ("valuation", "inspection")
            results = await asyncio.gather(
                *(self._change(self._store(fleet), name) for name in names),
                return_exceptions=True,
            )
            won = [isinstance(r, document.Version) for r in results]
            self.assertEqual(sorted(won), [False, True])
            loser = results[won.index(False)]
            self.assertIsInstance(loser, errors.ConflictError)
            winner = names[won.index(True)]
            self.assertIn(
                f"version 1 by paola came first: add kind {winner}", str(loser)
            )
            await self._wait_in_force(fleet, winner)
            for process in fleet.entries.values():
                status, _ = await self._post(
                    process.url, names[won.index(False)]
                )
                self.assertEqual(status, 422)
