"""Test of the path from caller to endpoint through separate processes."""

import unittest

import aiohttp

from standins import fleet as fleet_module


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Guards the path from caller to endpoint and back."""

    async def test_key_sent_to_another_entry_runs_once(self):
        """Guards against a second run when another entry gets the same key."""
        async with (
            fleet_module.Fleet.open(data_centres=2, endpoints_each=1) as fleet,
            aiohttp.ClientSession() as session,
        ):
            await fleet.wait_linked()
            urls = [process.url for process in fleet.entries.values()]
            async with session.post(f"{urls[0]}/v1/keys") as answer:
                key = (await answer.json())["keys"][0]
            body = {
                "team": "storefront",
                "kind": "checkout",
                "payload": {"sleep_ms": 20, "value": "charged"},
            }
            for url in urls:
                async with session.post(
                    f"{url}/v1/requests",
                    json=body,
                    headers={"Idempotency-Key": key},
                ) as answer:
                    self.assertEqual(answer.status, 200, await answer.text())
                    outcome = await answer.json()
                    self.assertEqual(outcome["answers"], [{"value": "charged"}])
            self.assertEqual(await fleet.starts(), {f"{key}/0": 1})
