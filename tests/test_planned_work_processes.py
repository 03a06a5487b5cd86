"""Planned work in overlapping series, with instances as processes.

Instances are stopped and started again, signalled and configured anew while
callers send requests on connections that they keep open. There are no faults. One
series is played by default. The environment variable PLANNED_SEEDS sets the number
of series, PLANNED_FIRST_SEED the first seed, and PLANNED_INSTANCES the number of
instances. Actions and requests follow the seed; the timing of processes does not:

    export PLANNED_SEEDS=10
    .venv/bin/python -m nose2 tests.test_planned_work_processes
"""

import asyncio
import collections
import os
import signal
import time
import traceback

from tests import _planned_work
from tests import _processes

_SERIES_S = 14.0
# Time for streams between peers and the first leaders.
_SETTLE_S = 1.0
# The platform kills a process this long after SIGTERM, and starts the next one this
# long after its end.
_KILL_S = 6.0
_START_S = 0.1
_POLL_S = 0.01
# Time after a start within which the interpreter may not handle signals yet.
_INTERPRETER_S = 0.2
_DATA_CENTRES = ("dc1", "dc2", "dc3")
_ENDPOINT_CORES = 16.0
# Largest share of the endpoints' cores in use for which "free" is certain.
_FREE_SHARE = 0.5
_ACTIONS = (
    *("one", "leader", "leaders", "several", "data centre", "data centre"),
    *("reload", "configure"),
)
# Lines of the log that a failure shows, and what it leaves out of them.
_MAX_REPORTED = 4
_MAX_LINES = 60
_LINE_LENGTH = 500
_SHOWN_AROUND_S = 0.5
_BAD_LINES = ("Traceback", "a task of a job was lost track of")
_LEADER_LINE = '"message":"stewardship'
_FREQUENT_LINES = ('"message":"caller answered', '"message":"job cancelled')
# Times of callers are later than the events by this much, which is shown.
_SHOWN_LAG_S = 0.05


class _Planned:
    """Planned work on the instances of a deployment.

    Attributes:
        finished: Whether all actions have been played and have ended.
        callers: The callers beside it.
        restarting: Instances that stop or start.
        faults: Processes that did not end as they should: the instance, the
            wall time of SIGTERM in seconds, and what was seen.
        journal: Actions with the wall time in seconds and the instance.
    """

    def __init__(self, test, random_):
        self.finished = False
        self.callers = []
        self.restarting = []
        self.faults = []
        self.journal = []
        self._test = test
        self._deployment = test.deployment
        self._random = random_
        # Time from which an instance handles signals after a start.
        self._signals_at = {}
        self._version = 1

    async def run(self, until):
        """Plays actions until a monotonic time, and waits for their ends."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                await self._play_action(group)
                await asyncio.sleep(self._random.uniform(0.1, 0.8))
        self.finished = True

    def record(self, instance, text):
        """Adds an action to the journal."""
        self.journal.append((time.time(), instance, text))

    async def _play_action(self, group):
        random_ = self._random
        instances = self._deployment.instances
        match random_.choice(_ACTIONS):
            case "one":
                self._restart(group, random_.choice(instances))
            case "leader":
                self._restart(group, self._test.find_leader())
            case "several":
                self._restart(group, self._test.find_leader())
                for instance in random_.sample(instances, len(instances) // 2):
                    self._restart(group, instance)
            case "leaders":
                for _ in range(random_.randint(2, 3)):
                    self._restart(group, self._test.find_leader())
                    await asyncio.sleep(random_.uniform(0.2, 1.5))
            case "data centre":
                chosen = random_.choice(instances).data_centre
                for instance in instances:
                    if instance.data_centre == chosen:
                        self._restart(group, instance)
            case "reload":
                for instance in random_.sample(instances, len(instances) // 2):
                    if time.time() > self._signals_at.get(instance, 0.0):
                        self._signal(instance, signal.SIGHUP)
            case "configure":
                for _ in range(random_.randint(1, 3)):
                    self._version += 1
                    self.record("store", f"configuration {self._version}")
                    await self._deployment.configure(
                        version=self._version,
                        target_latency_ms=random_.choice((100, 200, 400)),
                    )
                    await asyncio.sleep(random_.uniform(0.0, 0.3))

    def _restart(self, group, instance):
        """Restarts an instance, unless half of them are stopped already."""
        most = len(self._deployment.instances) // 2
        if instance not in self.restarting and len(self.restarting) < most:
            self.restarting.append(instance)
            group.create_task(self._stop_and_start(instance))

    async def _stop_and_start(self, instance):
        random_ = self._random
        while True:
            again_s = random_.choice((None, None, 0.0, 0.003, 0.05, 1.0, 3.0))
            await self._stop(instance, again_s)
            await asyncio.sleep(_START_S)
            self.record(instance.name, "start")
            instance.start()
            self._signals_at[instance] = time.time() + _INTERPRETER_S
            if random_.random() < 0.3:
                await asyncio.sleep(random_.uniform(_INTERPRETER_S, 1.5))
                continue
            try:
                await self._deployment.wait_ready(instance)
            except TimeoutError:
                text = "is not ready" if instance.running else "has ended"
                self.faults.append((instance, time.time(), text))
            self.restarting.remove(instance)
            return

    async def _stop(self, instance, again_s):
        """Stops an instance as the platform does, with SIGTERM once or twice."""
        self._signal(instance, signal.SIGTERM)
        began_at = time.monotonic()
        while instance.running:
            waited_s = time.monotonic() - began_at
            if again_s is not None and waited_s >= again_s:
                self._signal(instance, signal.SIGTERM)
                again_s = None
            if waited_s >= _KILL_S:
                self._signal(instance, signal.SIGKILL)
                instance.wait()
            await asyncio.sleep(_POLL_S)
        code = instance.wait()
        took_s = time.monotonic() - began_at
        text = f"exit code {code} {took_s:.2f} s after SIGTERM"
        self.record(instance.name, text)
        if code != 0:
            self.faults.append((instance, time.time() - took_s, text))

    def _signal(self, instance, number):
        self.record(instance.name, number.name)
        instance.signal(number)


class PlannedWorkTest(_processes.ProcessTest):
    """Callers beside stops, reloads and changes of the configuration."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The debug mode delays callers and endpoints.
        asyncio.get_running_loop().set_debug(False)

    async def test_series_of_planned_work(self):
        """Guards against requests without an answer beside planned work.

        Requests were lost whose body came in pieces during the close, and
        cancels that waited longer than the close.
        """
        first = int(os.environ.get("PLANNED_FIRST_SEED", "1"))
        count = int(os.environ.get("PLANNED_SEEDS", "1"))
        failed = []
        for seed in range(first, first + count):
            try:
                await self._play(seed)
            except (AssertionError, TimeoutError, ExceptionGroup) as error:
                failed.append(seed)
                print(f"seed {seed} failed: {error}", flush=True)
                if not isinstance(error, AssertionError):
                    traceback.print_exception(error)
        self.assertEqual(failed, [], "seeds that failed; see above")

    async def _play(self, seed):
        self.seed = seed
        random_ = self.random("sizes")
        instance_count = int(
            os.environ.get("PLANNED_INSTANCES", random_.randint(4, 9))
        )
        await self.open(
            seed=seed,
            instance_count=instance_count,
            endpoint_count=random_.randint(3, 6) + instance_count // 10,
            data_centres=_DATA_CENTRES[: random_.randint(2, 3)],
            history=_planned_work.History(),
        )
        await asyncio.sleep(_SETTLE_S)
        self.planned = _Planned(self, self.random("planned work"))
        callers = self.planned.callers
        callers += [
            _planned_work.Caller(
                self.deployment,
                self.planned,
                self.random(f"caller {number}"),
                number=number,
                short=number % 3 > 0,
            )
            for number in range(30 + 4 * instance_count)
        ]
        until = time.monotonic() + _SERIES_S
        lag = asyncio.create_task(self._measure_lag())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.planned.run(until))
                for caller in callers:
                    group.create_task(caller.run())
        finally:
            lag.cancel()
        self._check([r for caller in callers for r in caller.requests])

    async def _measure_lag(self):
        """Measures by how much the clients and stand-ins here are late."""
        while True:
            due_at = time.monotonic() + _POLL_S
            await asyncio.sleep(_POLL_S)
            lag_s = time.monotonic() - due_at
            if lag_s > _SHOWN_LAG_S:
                self.planned.record("callers", f"were {lag_s:.3f} s late")

    def _check(self, requests):
        """Asserts what holds beside planned work."""
        cores = _ENDPOINT_CORES * len(self.deployment.endpoints)
        used_cores = self.history.peak * _planned_work.CORES
        is_free = used_cores < _FREE_SHARE * cores
        faults = collections.defaultdict(list)
        for request in requests:
            fault = request.fault(self.history, has_free_endpoints=is_free)
            if fault:
                faults[f"{fault}: {request.kind}"].append(request)
        reports = [f"{len(v)} x {k}" for k, v in sorted(faults.items())]
        for instance, at, text in self.planned.faults:
            reports.append(f"{instance.name} at {_clock(at)}: {text}")
        self.logs = {
            instance.name: instance.log.read_text().splitlines()
            for instance in self.deployment.instances
        }
        for name, lines in self.logs.items():
            bad = [li for li in lines if any(part in li for part in _BAD_LINES)]
            reports += [f"{name}: {line}" for line in bad]
        overlapping = sorted(set(self.history.overlapping))
        reports += [f"two runs of {task} at once" for task in overlapping]
        ends = collections.Counter(
            f"{r.method} {r.status or r.end.value}" for r in requests
        )
        stops = [t for _, _, t in self.planned.journal if t.startswith("exit")]
        print(
            f"seed {self.seed}: {len(self.deployment.instances)} instances,"
            f" {len(stops)} stops, {len(requests)} requests,"
            f" at most {self.history.peak} runs at once;"
            f" {dict(sorted(ends.items()))}",
            flush=True,
        )
        for name, found in sorted(faults.items()):
            for request in found[:_MAX_REPORTED]:
                reports += [f"\n{name}", *self._describe(request)]
        for instance, at, text in self.planned.faults[:_MAX_REPORTED]:
            reports.append(f"\n{instance.name} {text}")
            reports += self._show(instance.name, "", at, at + _KILL_S)
        for task in overlapping[:_MAX_REPORTED]:
            reports.append(self.trace(task.partition(".")[0]))
        if reports:
            self.fail("\n".join(reports))

    def _describe(self, request):
        """Returns a request, and what instances did around it."""
        sent_at = request.sent_at
        return [
            f"{request.kind} {request.key} at {request.instance},"
            f" {'kept' if request.reused else 'new'} connection:"
            f" first byte {_clock(request.began_at)}, last byte"
            f" {'not sent' if sent_at is None else _clock(sent_at)},"
            f" {request.end.value} {_clock(request.ended_at)},"
            f" timeout {request.timeout_s:.2f} s",
            *self._show(
                request.instance,
                request.key,
                request.began_at,
                request.ended_at,
            ),
        ]

    def _show(self, name, key, from_, to):
        """Returns actions and log lines around a request or a stop."""
        from_, to = from_ - _SHOWN_AROUND_S, to + _SHOWN_AROUND_S
        shown = [
            f"{_clock(at)} {actor} {text}"
            for at, actor, text in self.planned.journal
            if from_ <= at <= to or (actor == name and at <= to)
        ]
        for logged_by, lines in self.logs.items():
            for line in lines:
                at = line.partition('"time":"')[2][11:23]
                if not _clock(from_) <= at <= _clock(to):
                    continue
                near = logged_by == name and not any(
                    part in line for part in _FREQUENT_LINES
                )
                if near or _LEADER_LINE in line or (key and key in line):
                    shown.append(f"{at} {logged_by} {line[:_LINE_LENGTH]}")
        return sorted(shown)[-_MAX_LINES:]


def _clock(at):
    """Returns a wall time as the log lines show it."""
    text = time.strftime("%H:%M:%S", time.localtime(at))
    return f"{text},{int(at % 1 * 1_000):03d}"
