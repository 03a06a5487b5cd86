"""Tests of the dispatcher, under generated schedules of faults."""

import asyncio
import contextlib
import unittest

import hypothesis
from hypothesis import strategies

from sesameroad.model import outcomes
from sesameroad.routing import results
from tests import _harness

LOST = results.Lost("lost")
REFUSED = results.Refused(leaving=False)
FAILED = results.RanAndFailed(500, "failed")
_RESULTS = [
    _harness.ANSWERED,
    FAILED,
    REFUSED,
    LOST,
    results.NeverSent(""),
    None,
]

_times = strategies.integers(0, 6_000)
_keys = strategies.sampled_from(["held0", "held1", "unheld0", "unheld1"])
_sends = strategies.lists(
    strategies.builds(
        _harness.ScriptedSend,
        strategies.sampled_from(_RESULTS),
        strategies.sampled_from([0.001, 0.3, 2.0, 7.0]),
    ),
    max_size=12,
)
_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            _times,
            strategies.just("submit"),
            _keys,
            strategies.integers(10, 6_000),
        ),
        strategies.tuples(_times, strategies.just("cancel"), _keys),
        strategies.tuples(_times, strategies.just("leave"), _keys),
        strategies.tuples(
            _times,
            strategies.just("step"),
            strategies.sampled_from([-20_000, -3_000, 3_000, 20_000]),
        ),
        strategies.tuples(
            _times, strategies.just("pause"), strategies.integers(1, 9)
        ),
        strategies.tuples(_times, strategies.just("end")),
    ),
    min_size=2,
    max_size=12,
)
_shapes = strategies.sampled_from(["plain", "idempotent", "job"])


def _work(shape, key, timeout_ms):
    match shape:
        case "job":
            return _harness.submission(key, 3, timeout_ms=timeout_ms)
        case _:
            return _harness.request(
                key, timeout_ms=timeout_ms, idempotent=shape == "idempotent"
            )


async def _play(steps, sends, shape, home):
    """Plays a schedule; returns a key and an outcome for each answer."""
    loop = asyncio.get_running_loop()
    answers, callers = [], []
    for at_ms, action, *arguments in sorted(steps, key=lambda s: s[0]):
        await asyncio.sleep(max(0.0, at_ms / 1_000 - loop.time()))
        match action, *arguments:
            case "submit", key, timeout_ms:
                held = key.startswith("held")
                # Each submission of unheld work has a key of its own.
                name = key if held else f"{key}-{len(callers)}"
                work = _work(shape, name, at_ms + timeout_ms)
                call = home.dispatch(
                    work, expiry_ms=5_000 if held else 15_000, remember=held
                )
                task = asyncio.create_task(call)
                task.add_done_callback(
                    lambda done, name=name: done.cancelled()
                    or answers.append((name, done.result()))
                )
                callers.append((key, task))
            case "cancel", key:
                expiry_ms = _harness.BASE_MS + 5_000
                held = key.startswith("held")
                home.dispatcher.cancel(
                    key, expiry_ms=expiry_ms if held else None
                )
            case "leave", key:
                for name, task in callers:
                    if name == key:
                        task.cancel()
            case "step", offset_ms:
                home.clock.offset_ms = offset_ms
            case "pause", seconds:
                loop.now += seconds
            case "end",:
                home.dispatcher.shut_down()
    home.clock.offset_ms = 0
    await asyncio.sleep(100.0)
    return answers


class ScheduleTest(unittest.TestCase):
    """Guards against wrong outcomes under any order of faults."""

    @hypothesis.settings(max_examples=400)
    @hypothesis.given(_steps, _sends, _shapes)
    @_harness.virtual
    async def test_at_most_once_under_faults(self, steps, sends, shape):
        """Guards against second runs and wrong, partial or changing outcomes.

        Also checks that no records, marks or bytes are left in the ledger.
        """
        home = _harness.Home(sends)
        answers = await _play(steps, sends, shape, home)
        await home.close()
        self.assertEqual(home.ledger.records, {}, "work without an outcome")
        self.assertEqual((home.ledger.size, home.ledger.marks), (0, 0))
        self.assertEqual(home.ledger.held_bytes, 0)
        if shape != "idempotent":
            self.assertLessEqual(max(home.ran.values(), default=0), 1)
        size = 3 if shape == "job" else 1
        final = {}
        seen = [(work.key, outcome) for work, outcome, _ in home.observed]
        for key, outcome in seen + answers:
            runs = sum(home.ran[f"{key}/{n}"] for n in range(size))
            match outcome:
                case outcomes.NotRun():
                    self.assertEqual(runs, 0, f"{outcome} of {key}")
                case outcomes.Complete(answers=bodies):
                    self.assertEqual(bodies, (b"{}",) * size)
                case outcomes.Failed(may_have_run=False):
                    self.assertEqual(runs, 0)
                case outcomes.Unknown():
                    continue
            first = final.setdefault(key, type(outcome))
            self.assertIs(type(outcome), first, f"two outcomes of {key}")


class DispatcherTest(unittest.TestCase):
    """Guards against faults that generated schedules rarely reach."""

    @_harness.virtual
    async def test_refusal_after_a_lost_attempt_is_not_called_not_run(self):
        """Guards against "not run" for work whose lost attempt may have run."""
        sends = [_harness.ScriptedSend(r) for r in (LOST, *[REFUSED] * 1_000)]
        home = _harness.Home(sends)
        outcome = await home.dispatch(_harness.request("k", idempotent=True))
        self.assertIsInstance(outcome, outcomes.Failed)
        self.assertTrue(outcome.may_have_run)
        await home.close()

    @_harness.virtual
    async def test_refusals_end_at_the_deadline(self):
        """Guards against endless attempts at endpoints that refuse tasks.

        Refusals have no limit of their own, so only the deadline ends them.
        """
        home = _harness.Home([_harness.ScriptedSend(REFUSED)] * 1_000)
        await home.dispatch(_harness.request("k"))
        # The last send was still open at the deadline.
        await asyncio.sleep(0.1)
        outcome = home.dispatcher.outcome("k")
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(home.ran.total(), 0)
        await home.close()

    @_harness.virtual
    async def test_work_goes_on_without_its_caller(self):
        """Guards against a second run when a disconnected caller resubmits."""
        home = _harness.Home([_harness.ScriptedSend(_harness.ANSWERED, 0.2)])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1):
                await home.dispatch(_harness.request("k"))
        outcome = await home.dispatch(_harness.request("k"))
        self.assertEqual(outcome, outcomes.Complete((b"{}",)))
        self.assertEqual(home.ran, {"k/0": 1})
        await home.close()

    @_harness.virtual
    async def test_queued_work_of_a_gone_caller_ends_at_its_deadline(self):
        """Guards against work that stays open when no caller waits for it."""
        home = _harness.Home(slots=0)
        caller = asyncio.create_task(home.dispatch(_harness.request("k")))
        await asyncio.sleep(0.1)
        caller.cancel()
        await asyncio.sleep(3.0)
        self.assertEqual(home.dispatcher.in_flight, 0)
        await home.close()

    @_harness.virtual
    async def test_answer_past_the_deadline_can_be_asked_for(self):
        """Guards against an answer that is lost because it comes late."""
        home = _harness.Home([_harness.ScriptedSend(_harness.ANSWERED, 2.0)])
        work = _harness.request("k")
        late = await home.dispatch(work, remember=False)
        self.assertIsInstance(late, outcomes.Unknown)
        self.assertLess(late.ask_again_at_ms, _harness.BASE_MS + 5_000)
        await asyncio.sleep(1.5)
        kept = home.dispatcher.outcome("k")
        self.assertEqual(kept, outcomes.Complete((b"{}",)))
        await home.close()

    @_harness.virtual
    async def test_refusal_that_cannot_be_kept_is_not_called_final(self):
        """Guards against "not run" for a key under which work may still run."""
        home = _harness.Home(slots=0, records=1, marks=1)
        held = asyncio.create_task(home.dispatch(_harness.request("a")))
        await asyncio.sleep(0)
        refused = await home.dispatch(_harness.request("b"))
        self.assertIsInstance(refused, outcomes.NotRun)
        unkept = await home.dispatch(_harness.request("c"))
        self.assertIsInstance(unkept, outcomes.Unknown)
        self.assertIsNotNone(unkept.ask_again_at_ms)
        await held
        # The refused key stays refused once the ledger has room again.
        again = await home.dispatch(_harness.request("b"))
        self.assertIsInstance(again, outcomes.NotRun)
        await home.close()
