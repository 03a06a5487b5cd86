"""Tests of claims of caller-chosen keys over a faulty table."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad import errors
from sesameroad.ownership import claims
from sesameroad.platform import row_store
from sesameroad.platform import table as table_module
from tests import _harness


class FakeTable:
    """A table in memory that applies one given fault to each call in turn.

    "late" applies a write only after its claimants have given up.
    """

    def __init__(self, *faults):
        self.rows = {}
        self.batches = []
        self._faults = iter(faults)

    async def write(self, writes, *, step):
        self.batches.append(len(writes))
        fault = next(self._faults, "")
        if fault in {"slow", "late"}:
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


class FakeRowStore:
    """A row store with transactions, whose calls each have a given fault.

    "down" does nothing and fails; "lost" applies the transaction, or refuses it
    as a whole, and fails; "late" fails and applies it after a while if its
    condition still holds. An integer delays the call by that number of
    milliseconds.
    """

    LATE_S = 0.05

    def __init__(self, faults):
        self.rows = {}
        self._version = 0
        self._faults = iter(faults)

    def end_faults(self):
        self._faults = iter(())

    async def read(self, table, *, step, key=None):
        await self._start_call()
        row = self.rows.get((table, key))
        return row_store.Snapshot((row,) if row else (), 1, complete=False)

    async def transact(self, *, expected=(), puts=(), step):
        expected, puts = list(expected), list(puts)
        fault = await self._start_call()
        if fault == "late":
            asyncio.get_running_loop().call_later(
                self.LATE_S, self._apply, expected, puts
            )
            raise errors.PlatformError(fault)
        outcome = self._apply(expected, puts)
        if fault == "lost" and puts:
            raise errors.PlatformError(fault)
        await asyncio.sleep(0.001)
        return outcome

    async def _start_call(self):
        fault = next(self._faults, "")
        if isinstance(fault, int):
            await asyncio.sleep(fault / 1_000)
            return ""
        await asyncio.sleep(0.004)
        if fault == "down":
            raise errors.PlatformError(fault)
        return fault

    def _apply(self, expected, puts):
        found = [self.rows.get((e.table, e.key)) for e in expected]
        versions = [row.version if row else 0 for row in found]
        if versions != [e.version for e in expected]:
            return row_store.Conflict(tuple(row for row in found if row))
        self._version += 1
        for put in puts:
            self.rows[put.table, put.key] = row_store.Row(
                put.key, self._version, put.value, table=put.table
            )
        return row_store.Committed(self._version)


_FAULTS = st.lists(
    st.sampled_from(["", "", "lost", "late", "down"]) | st.integers(0, 600),
    max_size=30,
)
_KEYS = [f"t/{n}" for n in range(5)]


async def _claim_all(claimers, delays_ms):
    """Claims all keys at each claimant; returns their homes by key."""

    async def claim(claimer, key, delay_ms):
        await asyncio.sleep(delay_ms / 1_000)
        return await claimer.claim(key)

    calls = [
        (key, claim(claimer, key, delay_ms))
        for claimer, row in zip(claimers, delays_ms, strict=True)
        for key, delay_ms in zip(_KEYS, row, strict=True)
    ]
    results = await asyncio.gather(
        *(call for _, call in calls), return_exceptions=True
    )
    return [(key, r) for (key, _), r in zip(calls, results, strict=True)]


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
    async def test_absent_row_is_written_again(self):
        """An absent row after a lost answer does not show that none is taken."""
        claim = await _claim_store(FakeTable("down", "")).claim("t/k")
        self.assertEqual(claim.incarnation, "0a")

    @_harness.virtual
    async def test_row_that_stays_absent_is_refused(self):
        """Writes that are never confirmed must not keep a caller waiting."""
        table = FakeTable(*["down", ""] * 4)
        claimer = _claim_store(table)
        self.assertLess(await _time_refusal(claimer, "t/k"), 0.1)
        self.assertEqual(table.batches, [1] * 4)
        await claimer.claim("t/k")

    @_harness.virtual
    async def test_store_that_answers_no_reads_is_asked_once(self):
        table = FakeTable("down", "down")
        self.assertLess(await _time_refusal(_claim_store(table), "t/k"), 0.1)
        self.assertEqual(table.batches, [1])

    @_harness.virtual
    async def test_malformed_row_names_no_home(self):
        """A row that cannot be read must not be taken, nor written over."""
        table = FakeTable()
        table.rows["claims/t/k"] = table_module.Row("claims/t/k", 7, "{")
        claimer = _claim_store(table)
        self.assertLess(await _time_refusal(claimer, "t/k"), 0.1)
        self.assertEqual(table.rows["claims/t/k"].value, "{")
        self.assertEqual(table.batches, [1])

    @_harness.virtual
    async def test_refusal_names_its_step_once(self):
        with self.assertRaises(errors.PlatformError) as caught:
            await _claim_store(FakeTable("down", "down")).claim("t/k")
        self.assertEqual(str(caught.exception).count("step="), 1)

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

    @_harness.virtual
    async def test_batch_refused_for_one_taken_row_claims_the_others(self):
        """Guards against "not run" for keys that nobody has claimed.

        The other claimant holds one key of the batch, so the transaction is
        refused as a whole, and the answer that says so is lost.
        """
        store = FakeRowStore(["", "lost"])
        first, second = (
            _claim_store(table_module.Table(store), name) for name in "ab"
        )
        taken = await first.claim(_KEYS[0])
        homes = await _claim_all([second], [[0] * len(_KEYS)])
        self.assertEqual(homes[0], (_KEYS[0], taken))
        self.assertEqual(
            [home.incarnation for _, home in homes[1:]],
            ["b"] * (len(_KEYS) - 1),
        )

    @hypothesis.given(
        _FAULTS,
        st.lists(
            st.lists(st.integers(0, 20), min_size=5, max_size=5),
            min_size=2,
            max_size=2,
        ),
    )
    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    def test_each_key_has_one_home(self, faults, delays_ms):
        """Guards against a second home under any order of lost answers.

        Writes are applied, applied late, refused or lost, and two claimants
        claim the same keys. A claim that was refused may be held by anyone.
        """

        @_harness.virtual
        async def play():
            store = FakeRowStore(faults)
            claimers = [
                _claim_store(table_module.Table(store), name) for name in "ab"
            ]
            homes = await _claim_all(claimers, delays_ms)
            store.end_faults()
            await asyncio.sleep(5.0)
            homes += await _claim_all(claimers, delays_ms)
            by_key = {}
            for key, home in homes:
                if isinstance(home, claims.Claim):
                    self.assertEqual(by_key.setdefault(key, home), home)
                else:
                    self.assertIsInstance(home, errors.PlatformError)
            # The second claims met no fault, so that each key has a home.
            self.assertEqual(by_key.keys(), set(_KEYS))

        play()
