"""Rows and objects over HTTP, against the stand-in of the store."""

import unittest

from aiohttp import test_utils

from sesameroad import errors
from sesameroad.platform import object_store
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.platform import table
from standins import store

_STEP = "test"


class TableTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = store.Store()
        server = test_utils.TestServer(self.store.application())
        await server.start_server()
        self.addAsyncCleanup(server.close)
        client = platform_client.PlatformClient.open(
            str(server.make_url("")), timeout_s=1
        )
        self.addAsyncCleanup(client.close)
        self.rows = row_store.RowStore(client)
        self.table = table.Table(self.rows)
        self.objects = object_store.ObjectStore(client)

    async def write(self, *writes):
        return await self.table.write(
            [table.Write(*write) for write in writes], step=_STEP
        )

    async def read(self, *names):
        found = await self.table.read(names, step=_STEP)
        return {row.name: row.value for row in found if row.version}

    async def test_conflict_of_one_write_does_not_stop_the_others(self):
        """Guards against a claimed key that fails the rest of its batch."""
        [taken] = await self.write(("claims/b", table.ABSENT, "first"))
        self.assertTrue(taken.applied)
        results = await self.write(
            *((f"claims/{key}", table.ABSENT, "second") for key in "abc")
        )
        self.assertEqual([r.applied for r in results], [True, False, True])
        self.assertEqual(results[1].row, taken.row)
        self.assertEqual(
            await self.read("claims/a", "claims/b", "claims/x"),
            {"claims/a": "second", "claims/b": "first"},
        )

    async def test_more_writes_than_the_limit_of_a_transaction(self):
        names = [f"claims/{n:03}" for n in range(120)]
        results = await self.write(*((n, table.ABSENT, n) for n in names))
        self.assertTrue(all(result.applied for result in results))
        self.assertEqual(await self.read(*names), {n: n for n in names})

    async def test_next_write_expects_the_version_of_the_last(self):
        [first] = await self.write(("t/k", table.ABSENT, "1"))
        await self.write(("t/other", table.ABSENT, "1"))
        [second] = await self.write(("t/k", first.row.version, "2"))
        self.assertTrue(second.applied)
        [stale] = await self.write(("t/k", first.row.version, "3"))
        self.assertFalse(stale.applied)
        self.assertEqual(await self.read("t/k"), {"t/k": "2"})

    async def test_write_without_a_response_raises_but_may_be_applied(self):
        self.store.fault = store.Fault.LOSE_ANSWERS
        with self.assertRaises(errors.PlatformError):
            await self.write(("t/k", table.ABSENT, "1"))
        self.assertEqual(await self.read("t/k"), {"t/k": "1"})

    async def test_row_is_returned_only_after_a_change(self):
        row, version = await self.table.read_if_changed("t/k", 0, step=_STEP)
        self.assertIsNone(row)
        await self.write(("t/k", table.ABSENT, "1"))
        row, version = await self.table.read_if_changed(
            "t/k", version, step=_STEP
        )
        self.assertEqual(row.value, "1")
        await self.write(("t/other", table.ABSENT, "1"))
        row, version = await self.table.read_if_changed(
            "t/k", version, step=_STEP
        )
        self.assertIsNone(row)

    async def test_row_is_removed_only_at_its_expected_version(self):
        """Guards against removing a row that its owner has since rewritten."""
        [old] = await self.write(("t/k", table.ABSENT, "1"))
        await self.write(("t/k", old.row.version, "2"))
        answer = await self.rows.transact(
            removed=[row_store.Expected("t", "k", old.row.version)],
            step=_STEP,
        )
        self.assertIsInstance(answer, row_store.Conflict)
        self.assertEqual(await self.read("t/k"), {"t/k": "2"})

    async def test_objects(self):
        self.assertIsNone(await self.objects.get("a/b", step=_STEP))
        await self.objects.put("a/b", b"\0x", step=_STEP)
        self.assertEqual(await self.objects.get("a/b", step=_STEP), b"\0x")
        self.store.fault = store.Fault.DOWN
        with self.assertRaises(errors.PlatformError):
            await self.objects.get("a/b", step=_STEP)
        with self.assertRaises(errors.PlatformError):
            await self.objects.put("a/b", b"", step=_STEP)

    async def test_unreadable_row_is_logged_once(self):
        """Guards against a log line for each of the reads, one per second."""
        self.store.transact(
            {"puts": [{"table": "t", "key": "k", "value": "%"}]}
        )
        await self.write(("t/l", table.ABSENT, "x"))
        with self.assertLogs("absl", "WARNING") as logs:
            for _ in range(3):
                found = await self.rows.read("t", step=_STEP)
        self.assertEqual([row.value for row in found.rows], [b"", b"x"])
        self.assertEqual(len(logs.output), 1)


if __name__ == "__main__":
    unittest.main()
