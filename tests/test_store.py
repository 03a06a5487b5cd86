"""Tests of configuration changes over a table that fails."""

import asyncio
import contextlib
import dataclasses
import unittest
from unittest import mock

from aiohttp import test_utils
import hypothesis
from hypothesis import strategies as st

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.configuration import store as store_module
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.platform import table as table_module
from standins import forwarder
from standins import store as store_standin

# Control traffic allowed for a node per second, which is also the poll period.
_BUDGET_BYTES = 5_000
_POLLS = 5

_FALLBACK = document.Document(
    product=document.Product(kinds={"lookup": document.Kind()}),
    operations=document.Operations(team_quotas={"storefront": 5}),
)


class _Table:
    """A table with scheduled faults, one letter for each call.

    "o" succeeds, "d" fails, "l" applies the call and loses the answer, "a"
    loses the answer and applies the call two calls later, "s" reads the
    previous row.
    """

    def __init__(self, schedule=""):
        self.schedule = list(schedule)
        self.row = self.previous = table_module.Row(
            store_module.ROW, table_module.ABSENT
        )
        self.values = []
        self.written = asyncio.Event()
        self._delayed = []

    def _apply(self, write):
        if write.expected != self.row.version:
            return table_module.WriteResult(False, self.row)
        self.previous = self.row
        self.row = table_module.Row(write.name, write.expected + 1, write.value)
        self.written.set()
        self.values.append(document.Version.from_json(write.value.encode()))
        return table_module.WriteResult(True, self.row)

    async def _call(self, action):
        fault = self.schedule.pop(0) if self.schedule else "o"
        await asyncio.sleep(0)
        self._delayed.append(action if fault == "a" else lambda: None)
        if len(self._delayed) > 2:
            self._delayed.pop(0)()
        answer = action() if fault in "ols" else None
        await asyncio.sleep(0)
        if fault == "s" and answer is self.row:
            answer = self.previous
        if fault in "dla":
            raise errors.PlatformError("no answer")
        return [answer]

    async def read(self, names, *, step):
        return await self._call(lambda: self.row)

    async def read_if_changed(self, name, after, *, step):
        [row] = await self.read([name], step=step)
        return (row if row.version > after else None), row.version

    async def write(self, writes, *, step):
        return await self._call(lambda: self._apply(writes[0]))


def _set_quota(value):
    def edit(content):
        operations = dataclasses.replace(
            content.operations,
            team_quotas={
                "storefront": value,
                **{f"team{n}": 5 for n in range(value // 320 * 320)},
            },
        )
        return dataclasses.replace(content, operations=operations)

    return edit


def _set_share(value):
    def edit(content):
        kinds = {**content.product.kinds, "lookup": document.Kind(share=value)}
        product = dataclasses.replace(content.product, kinds=kinds)
        return dataclasses.replace(content, product=product)

    return edit


def _store(table):
    return store_module.Store(table=table, fallback=_FALLBACK)


async def _change(store, role, value):
    edit = {
        document.Role.PRODUCT: _set_share,
        document.Role.OPERATIONS: _set_quota,
    }[role](value)
    author = {"product": "paola", "operations": "omar"}[role.value]
    return await store.change(
        edit, author=author, role=role, summary=f"set {value}"
    )


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, repeated and wrongly reported changes."""

    async def asyncSetUp(self):
        delay = mock.patch.object(store_module, "_REWRITE_DELAY_S", 0)
        delay.start()
        self.addCleanup(delay.stop)

    async def test_conflict_error_names_the_change_that_won(self):
        table = _Table()
        one, other = _store(table), _store(table)
        results = await asyncio.gather(
            _change(one, document.Role.OPERATIONS, 7),
            _change(other, document.Role.PRODUCT, 2.0),
            return_exceptions=True,
        )
        self.assertEqual(results[0].number, 1)
        self.assertIsInstance(results[1], errors.ConflictError)
        self.assertRegex(str(results[1]), "version 1 by omar .*: set 7")
        self.assertEqual(other.current.number, 1)

    async def test_change_against_an_older_version_is_refused(self):
        store = _store(_Table())
        await _change(store, document.Role.OPERATIONS, 7)
        with self.assertRaisesRegex(errors.ConflictError, "version 1 by omar"):
            await store.change(
                _set_quota(8),
                author="omar",
                role=document.Role.OPERATIONS,
                summary="",
                expected_version=0,
            )

    async def test_role_cannot_change_the_other_section(self):
        store = _store(_Table())
        for edit, role, field in (
            (_set_quota(1), document.Role.PRODUCT, "operations.team_quotas"),
            (_set_share(1.5), document.Role.OPERATIONS, "product.kinds"),
        ):
            with self.assertRaisesRegex(errors.ConfigurationError, field):
                await store.change(edit, author="x", role=role, summary="")

    async def test_lost_answer_is_resolved_by_the_change_id(self):
        """A change that took effect must not be reported as failed."""
        for schedule in ("ol", "oa", "old", "oaa", "oddo", "oldd"):
            table = _Table(schedule)
            version = await _change(_store(table), document.Role.OPERATIONS, 7)
            self.assertEqual(table.values, [version], schedule)

    async def test_lost_answer_then_others_is_found_in_the_history(self):
        table = _Table("old")
        changing = asyncio.create_task(
            _change(_store(table), document.Role.OPERATIONS, 7)
        )
        async with asyncio.timeout(1):
            await table.written.wait()
        table.schedule.insert(0, "d")
        other = _store(table)
        later = document.Version(
            2,
            "paola",
            document.Role.PRODUCT,
            "x",
            "",
            _FALLBACK,
            table.values[0].changes,
        )
        table._apply(
            table_module.Write(store_module.ROW, 1, later.to_json().decode())
        )
        self.assertEqual((await changing).number, 1)
        await other.refresh()
        self.assertEqual(other.current.changes[0].author, "omar")

    async def test_unreadable_platform_leaves_the_change_unknown(self):
        table = _Table("o" + "d" * 20)
        with self.assertRaises(errors.ChangeUnknownError):
            await _change(_store(table), document.Role.OPERATIONS, 7)
        with self.assertRaises(errors.PlatformError):
            await _change(_store(table), document.Role.OPERATIONS, 7)

    async def test_older_row_and_equal_number_do_not_revert(self):
        """A table that has lost rows must not revert an accepted change."""
        table = _Table()
        store = _store(table)
        for value in (7, 8):
            await _change(store, document.Role.OPERATIONS, value)
        accepted = store.current
        for number in (1, 2):
            row = dataclasses.replace(
                accepted, number=number, change_id="other"
            )
            table.row = table_module.Row(
                store_module.ROW, 9, row.to_json().decode()
            )
            self.assertFalse(await store.refresh())
            self.assertEqual(store.current, accepted)
        table.row = table_module.Row(store_module.ROW, table_module.ABSENT)
        self.assertFalse(await store.refresh())
        version = await _change(store, document.Role.PRODUCT, 2.0)
        self.assertEqual(version.number, 3)
        self.assertEqual(
            version.document.operations.team_quotas["storefront"], 8
        )

    async def test_poll_of_an_unchanged_row_stays_within_the_budget(self):
        """Reading whole rows of 320 teams would exceed the traffic limit.

        Lost answers and refused calls must not make a poll miss later changes.
        """
        platform = store_standin.Store()
        async with test_utils.TestServer(platform.application()) as server:
            link = await forwarder.Forwarder.open(f"127.0.0.1:{server.port}")
            self.addAsyncCleanup(link.close)
            client = platform_client.PlatformClient.open(
                f"http://{link.address}", timeout_s=1
            )
            self.addAsyncCleanup(client.close)
            store = _store(table_module.Table(row_store.RowStore(client)))
            self.assertFalse(await store.refresh())
            writer = _store(table_module.Table(row_store.RowStore(client)))
            for count in range(document.MAX_HISTORY + 1):
                await _change(writer, document.Role.OPERATIONS, 320 + count)
            self.assertTrue(await store.refresh())
            before = link.forwarded_bytes
            for _ in range(_POLLS):
                self.assertFalse(await store.refresh())
            bytes_per_poll = (link.forwarded_bytes - before) / _POLLS
            self.assertLess(bytes_per_poll, _BUDGET_BYTES / 10)
            for fault in (
                store_standin.Fault.DOWN,
                store_standin.Fault.LOSE_ANSWERS,
            ):
                last = await _change(writer, document.Role.PRODUCT, 2.0)
                platform.fault = fault
                with contextlib.suppress(errors.PlatformError):
                    await store.refresh()
                platform.fault = store_standin.Fault.NONE
                await store.refresh()
                self.assertEqual(store.current, last)
            # The platform's store has dropped the change from its history.
            last = await _change(writer, document.Role.PRODUCT, 3.0)
            platform.drop_history()
            self.assertTrue(await store.refresh())
            self.assertEqual(store.current, last)
            self.assertFalse(await store.refresh())

    def test_documents_are_checked_with_the_field_named(self):
        for text, field in (
            ('{"product":{"kinds":{"a":{"urgency":-1}}}}', "urgency"),
            ('{"product":{"kinds":{"a":{"share":0}}}}', r"kinds\[...\]"),
            ('{"product":{"kinds":{"a":{"shard":1}}}}', "kinds.a.shard"),
            ('{"operations":{"team_quotas":{"t":-1}}}', "team_quotas"),
            ('{"operations":{"retry_percent":101}}', "retry_percent"),
            ('{"operations":{"kind_ceilings":{"b":1}}}', "kind_ceilings"),
            ('{"product":{"team_weights":{"t":1}}}', "team_weights"),
            ('{"limits":{}}', "limits"),
        ):
            with self.assertRaisesRegex(errors.ConfigurationError, field):
                document.Document.from_json(text.encode())

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(
        st.lists(st.sampled_from("oooldas"), min_size=20, max_size=60),
        st.lists(
            st.tuples(st.integers(0, 2), st.sampled_from([0, 1, 2, 2])),
            min_size=5,
            max_size=15,
        ),
    )
    def test_operators_race_over_a_failing_table(self, schedule, steps):
        asyncio.run(self._race(_Table(schedule), steps))

    async def _race(self, table, steps):
        """Checks the result reported to each operator against the table."""
        entries = [_store(table) for _ in range(3)]
        numbers = [0, 0, 0]
        reports = []
        value = 0
        for entry, action in steps:
            store = entries[entry]
            roles = [document.Role.PRODUCT, document.Role.OPERATIONS][:action]
            value += 10
            # For action 2, two operators make changes at two entries at once.
            calls = [
                _change(entries[(entry + n) % 3], role, value + n + 1)
                for n, role in enumerate(roles)
            ] or [store.refresh()]
            results = await asyncio.gather(*calls, return_exceptions=True)
            if roles:
                reports += zip(
                    [f"set {value + n + 1}" for n in range(len(roles))],
                    results,
                    strict=True,
                )
            for n, each in enumerate(entries):
                self.assertGreaterEqual(each.current.number, numbers[n])
                numbers[n] = each.current.number
        table.schedule.clear()
        for _ in range(3):
            await table.read([], step="")
        summaries = [version.summary for version in table.values]
        self.assertEqual(len(set(summaries)), len(summaries))
        for summary, result in reports:
            match result:
                case document.Version():
                    self.assertIn(result, table.values)
                case errors.ConflictError() | errors.PlatformError():
                    self.assertNotIn(summary, summaries)
                case errors.ChangeUnknownError():
                    pass
                case _:
                    self.fail(repr(result))
        for before, after in zip(table.values, table.values[1:], strict=False):
            self.assertEqual(after.number, before.number + 1)
            changed = {
                document.Role.PRODUCT: "operations",
                document.Role.OPERATIONS: "product",
            }[after.role]
            self.assertEqual(
                getattr(after.document, changed),
                getattr(before.document, changed),
            )
        for store in entries:
            await store.refresh()
            if table.values:
                self.assertEqual(store.current, table.values[-1])
