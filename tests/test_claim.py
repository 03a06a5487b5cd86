"""Tests of claims of caller-chosen keys over a faulty table."""

import asyncio
import unittest

from sesameroad import errors
from sesameroad.ownership import claims
from sesameroad.platform import table as table_module
from tests import _harness


class FakeTable:
    """A table in memory that applies one given fault to each call in turn."""

    def __init__(self, *faults):
        self.rows = {}
        self.batches = []
        self._faults = iter(faults)

    async def write(self, writes, *, step):
        self.batches.append(len(writes))
        fault = next(self._faults, "")
        if fault == "slow":
            await asyncio.sleep(2.0)
        await asyncio.sleep(0.004)
        if fault in {"down", "slow"}:
            raise errors.PlatformError(fault)
        results = [self._apply(write) for write in writes]
        if fault == "lost":
            raise errors.PlatformError(fault)
        return results

    def _apply(self, write):
        row = self.rows.get(
            write.name, table_module.Row(write.name, table_module.ABSENT)
        )
        if row.version != write.expected:
            return table_module.WriteResult(False, row)
        row = table_module.Row(write.name, row.version + 1, write.value)
        self.rows[write.name] = row
        return table_module.WriteResult(True, row)

    async def read(self, names, *, step):
        if next(self._faults, "") == "down":
            raise errors.PlatformError("down")
        absent = [table_module.Row(name, table_module.ABSENT) for name in names]
        return [self.rows.get(row.name, row) for row in absent]


def _claim_store(table, incarnation="0a"):
    return claims.ClaimStore(
        table=table,
        clock=_harness.FakeClock(),
        incarnation=incarnation,
        data_centre="dc1",
        lifetime_ms=1_000,
    )


async def _time_refusal(claimer, name):
    """Returns the seconds until a claim was refused."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        await claimer.claim(name)
    except errors.PlatformError:
        return loop.time() - started_at
    raise AssertionError(f"{name} was claimed")


class ClaimTest(unittest.TestCase):
    """Guards against two homes of one key and an unbounded queue of claims."""

    @_harness.virtual
    async def test_one_of_two_entries_wins(self):
        table = FakeTable()
        claimed = await asyncio.gather(
            _claim_store(table, "0a").claim("t/k"),
            _claim_store(table, "0b").claim("t/k"),
        )
        self.assertEqual(claimed[0], claimed[1])
        window_ms = claimed[0].window_end_ms - _harness.BASE_MS
        self.assertEqual(window_ms, 24 * 3_600_000)
        self.assertEqual(claimed[0].expiry_ms, _harness.BASE_MS + 1_000)

    @_harness.virtual
    async def test_claims_that_arrive_during_a_write_share_the_next(self):
        table = FakeTable()
        claimer = _claim_store(table)
        first = asyncio.create_task(claimer.claim("t/first"))
        await asyncio.sleep(0.001)
        names = [f"t/{n % 300}" for n in range(400)]
        await asyncio.gather(first, *map(claimer.claim, names))
        self.assertEqual(table.batches, [1, 200, 100])

    @_harness.virtual
    async def test_lost_answer_is_resolved_by_reading_back(self):
        claim = await _claim_store(FakeTable("lost")).claim("t/k")
        self.assertEqual(claim.incarnation, "0a")

    @_harness.virtual
    async def test_absent_row_is_refused(self):
        claimer = _claim_store(FakeTable("down"))
        self.assertLess(await _time_refusal(claimer, "t/k"), 0.1)
        await claimer.claim("t/k")

    @_harness.virtual
    async def test_dead_platform_is_not_asked_for_each_claim(self):
        table = FakeTable(*["down"] * 100)
        claimer = _claim_store(table)
        for n in range(50):
            await _time_refusal(claimer, f"t/{n}")
        self.assertLess(len(table.batches), 5)
        self.assertEqual(claimer._pending, {})

    @_harness.virtual
    async def test_slow_platform_is_answered_fast_and_claims_are_given_up(self):
        """A claim whose caller got "not run" must not be written later."""
        table = FakeTable("slow")
        claimer = _claim_store(table)
        refusals = [_time_refusal(claimer, "t/0")]
        first = asyncio.create_task(refusals[0])
        await asyncio.sleep(0.01)
        self.assertLess(await _time_refusal(claimer, "t/1"), 1.0)
        self.assertLess(await first, 1.0)
        self.assertEqual(await _time_refusal(claimer, "t/2"), 0.0)
        await asyncio.sleep(5.0)
        self.assertEqual(table.batches, [1])
        self.assertEqual(table.rows, {})
