"""Replays traces of arrivals and faults, with their expected outcomes.

A trace is a JSON file in tests/traces. Two entries, "0a" and "0b", with the real
intake, claims, ledger, dispatcher, matcher and admission run in virtual time over
fake endpoints, a fake table and fake streams. Times are milliseconds from the
start; an interval includes its start and excludes its end.

- `guards`: The failure that the trace guards against.
- `slots`: Slots of the endpoint of each entry.
- `run_ms`: Run time of a task that no fault affects.
- `issued`: For each name of an issued key, the entry that issues it. Any other
  key is chosen by the caller; an empty key stands for a request without one.
- `arrivals`: Each with `at_ms`, `entry`, `team`, `kind`, `key`, `tasks` (0 for a
  request), `idempotent`, `timeout_ms`, `times` (number of simultaneous
  arrivals), `outcomes` (expected outcomes and their number, `<label>` or
  `<label>: <cause>`) and `runs` (expected runs of all tasks of the key, or of
  all the arrivals together if there is no key).
- `cancels`: Each with `at_ms`, `entry`, `team` and `key`.
- `faults`: Each with `place`, `entry` (both, if empty), `from_ms`, `to_ms` and
  `what`. Endpoints: "lost" or "crossed" (runs, and the answer is lost or carries
  the id of another attempt, which counts as lost), "failed", "refused",
  "never-sent" and "slow" (ten times the run time). Platform: "down", "slow" or
  "lost". Streams that an entry asks on: "cut", "reply-lost" or "not-sent".
"""

import asyncio
import collections
import dataclasses
import pathlib
import unittest

import msgspec

from sesameroad import errors
from sesameroad.model import outcomes
from sesameroad.model import work
from sesameroad.routing import results
from tests import _harness
from tests import test_claim
from tests import test_handoff
from tests import test_intake

_TRACES = pathlib.Path(__file__).parent / "traces"
# Above the limit of the queue, so that work is refused by admission and not by
# the ledger.
_MAX_RECORDS = 2_000
_RESULTS = {
    "": _harness.ANSWERED,
    "slow": _harness.ANSWERED,
    "lost": results.Lost("lost"),
    "crossed": results.Lost("the answer is for another attempt"),
    "failed": results.RanAndFailed(500, "failed"),
    "refused": results.Refused(leaving=False),
    "never-sent": results.NeverSent(""),
}
_LINK_FAULTS = {
    "": None,
    "reply-lost": errors.PeerError,
    "not-sent": errors.PeerNotSentError,
}


@dataclasses.dataclass(slots=True)
class Arrival:
    """Work that arrives, with the expected outcomes and runs."""

    at_ms: int
    outcomes: dict[str, int]
    runs: int
    entry: str = "0a"
    team: str = "storefront"
    kind: str = "checkout"
    key: str = ""
    tasks: int = 0
    idempotent: bool = False
    timeout_ms: int = 1_000
    times: int = 1


@dataclasses.dataclass(slots=True)
class Cancel:
    """The cancellation of a key by a caller."""

    at_ms: int
    key: str
    entry: str = "0a"
    team: str = "storefront"


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault at a place during an interval."""

    place: str
    what: str
    from_ms: int
    to_ms: int
    entry: str = ""


@dataclasses.dataclass(slots=True)
class Trace:
    """The content of a trace file."""

    guards: str
    arrivals: list[Arrival]
    slots: int = 2
    run_ms: int = 50
    issued: dict[str, str] = dataclasses.field(default_factory=dict)
    cancels: list[Cancel] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)


class Replay:
    """Two entries with the arrivals and faults of a trace."""

    def __init__(self, trace):
        self._trace = trace
        self._loop = asyncio.get_running_loop()
        table = test_claim.FakeTable()
        table._faults = self._platform_faults()
        objects = test_handoff.FakeObjects()
        self.entries = {}
        for name in ("0a", "0b"):
            entry = test_intake.Entry(
                self.entries,
                name,
                table,
                objects,
                slots=trace.slots,
                records=_MAX_RECORDS,
            )
            entry.home._script = self._sends(name)
            self.entries[name] = entry
        self._keys = {
            name: self.entries[home].intake.issue_keys(1)[0]
            for name, home in trace.issued.items()
        }

    async def run(self):
        """Returns the keys and outcomes of each arrival."""
        cancels = [
            asyncio.create_task(self._cancel(c)) for c in self._trace.cancels
        ]
        arrivals = [
            asyncio.gather(*(self._submit(a) for _ in range(a.times)))
            for a in self._trace.arrivals
        ]
        answers = await asyncio.gather(*arrivals)
        await asyncio.gather(*cancels)
        await asyncio.sleep(100.0)
        for entry in self.entries.values():
            await entry.home.close()
        return answers

    @property
    def ran(self):
        """Number of runs of each task at all endpoints."""
        return sum(
            (entry.home.ran for entry in self.entries.values()),
            collections.Counter(),
        )

    def name(self, arrival, key):
        """Returns the name of the work that runs under a key."""
        chosen = arrival.key and arrival.key not in self._keys
        return f"{arrival.team}/{key}" if chosen else key

    def _fault(self, place, entry):
        now_ms = self._loop.time() * 1_000
        for fault in self._trace.faults:
            if (
                fault.place == place
                and fault.entry in {"", entry}
                and fault.from_ms <= now_ms < fault.to_ms
            ):
                return fault.what
        return ""

    def _platform_faults(self):
        while True:
            yield self._fault("platform", "")

    def _sends(self, name):
        while True:
            fault = self._fault("endpoint", name)
            run_s = self._trace.run_ms / 1_000
            yield _harness.ScriptedSend(
                _RESULTS[fault], run_s * 10 if fault == "slow" else run_s
            )

    def _apply_link_fault(self, name):
        fault = self._fault("stream", name)
        entry = self.entries[name]
        entry.cut = fault == "cut"
        entry.fault = None if entry.cut else _LINK_FAULTS[fault]
        return entry

    async def _submit(self, arrival):
        await asyncio.sleep(arrival.at_ms / 1_000)
        entry = self._apply_link_fault(arrival.entry)
        deadline_ms = entry.home.clock.wall_ms() + arrival.timeout_ms

        def build(name):
            head = (name, arrival.team, arrival.kind, deadline_ms)
            task = work.Task(b"{}")
            if arrival.tasks:
                return work.Submission(*head, (task,) * arrival.tasks)
            return work.Request(*head, task, arrival.idempotent)

        key = self._keys.get(arrival.key, arrival.key) or None
        return await entry.intake.submit(build, key=key, digest="d")

    async def _cancel(self, cancel):
        await asyncio.sleep(cancel.at_ms / 1_000)
        entry = self._apply_link_fault(cancel.entry)
        key = self._keys.get(cancel.key, cancel.key)
        await entry.intake.status(key, team=cancel.team, cancel=True)


def _describe(outcome):
    match outcome:
        case outcomes.Complete():
            return "complete"
        case _:
            return f"{outcomes.label(outcome)}: {outcome.cause.value}"


class ReplayTest(unittest.TestCase):
    """Guards against the failures that the traces state in `guards`."""

    def test_traces(self):
        paths = sorted(_TRACES.glob("*.json"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                trace = msgspec.json.decode(path.read_bytes(), type=Trace)
                self._replay(trace)

    @_harness.virtual
    async def _replay(self, trace):
        replay = Replay(trace)
        answers = await replay.run()
        for arrival, answer in zip(trace.arrivals, answers, strict=True):
            seen = collections.Counter(_describe(o) for _, o in answer)
            self.assertEqual(dict(seen), arrival.outcomes, arrival)
            names = {replay.name(arrival, key) for key, _ in answer}
            runs = {
                name: [
                    replay.ran[f"{name}/{n}"]
                    for n in range(max(1, arrival.tasks))
                ]
                for name in names
            }
            self.assertEqual(
                sum(map(sum, runs.values())), arrival.runs, arrival
            )
            for key, outcome in answer:
                counts = runs[replay.name(arrival, key)]
                if not arrival.idempotent:
                    self.assertLessEqual(max(counts), 1, key)
                match outcome:
                    case outcomes.NotRun():
                        self.assertEqual(sum(counts), 0, key)
                    case outcomes.Complete(answers=bodies):
                        self.assertEqual(bodies, (b"{}",) * len(counts))
