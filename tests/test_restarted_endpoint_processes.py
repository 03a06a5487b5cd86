"""Endpoints that restart under their id, with instances as processes.

A series of restarts and other faults is played once by default. Its seeds are 1, 2
and so on; the environment variable RESTART_SEEDS sets their number, and
RESTART_FIRST_SEED the first one. Faults and jobs follow the seed; the timing of
processes does not:

    export RESTART_SEEDS=50
    .venv/bin/python -m nose2 tests.test_restarted_endpoint_processes
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import random
import signal
import time
import unittest

import aiohttp

from standins import deployment
from standins import store

# Time after which a caller sends a job again that was not answered.
_RESEND_S = 1.3
# A caller gives up waiting for one answer after this.
_TIMEOUT_S = 3.0
_MAX_ATTEMPTS = 8
# Longer than a lease, after which nothing runs that no instance wants to run.
_REST_S = 3.0
_SERIES_S = 9.0
# Share of the restarted endpoints with a new row that change their address.
_MOVED_SHARE = 0.25
_OK = 200
_REFUSED = (429, 503)
_RESENT = (502, 504)
_LOST = 0
# Log lines and fields that a failed test shows.
_LOGGED = ("endpoint started", "another start", "stewardship", "stop without")
_SHOWN_FIELDS = (
    "peer",
    "request",
    "task",
    "run",
    "runs",
    "reason",
    "outcome",
    "cause",
    "state",
    "sent_ms_ago",
    "born_ms",
    "former_born_ms",
    "listed",
    "token",
)
_LINES_BEFORE = 12
_FIRST_LINES = 60
_LAST_LINES = 15
_LINE_LENGTH = 300


@dataclasses.dataclass(slots=True)
class Job:
    """A job as its caller sees it.

    Attributes:
        key: Its id.
        count: Number of its tasks.
        attempts: Answer to each attempt: a status, or `_LOST` without one.
        state: State in the last answer.
        not_done: Tasks that were not done when the last answer arrived.
    """

    key: str
    count: int
    attempts: list[int] = dataclasses.field(default_factory=list)
    state: str = ""
    not_done: set[str] = dataclasses.field(default_factory=set)

    @property
    def tasks(self):
        """Names of its tasks."""
        return [f"{self.key}.0.0.{index}" for index in range(self.count)]


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Two instances, endpoints, and callers that send jobs again."""

    async def asyncSetUp(self):
        self.resources = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.resources.aclose)

    async def open(self, *, endpoint_count=3, seed=0):
        """Starts a deployment and a client, and ends those of before."""
        await self.resources.aclose()
        self.jobs = []
        self.seed = seed
        self.deployment = deployment.Deployment(
            instance_count=2, endpoint_count=endpoint_count, seed=seed
        )
        self.history = self.deployment.history
        await self.resources.enter_async_context(self.deployment)
        self.session = await self.resources.enter_async_context(
            aiohttp.ClientSession()
        )

    def random(self, name):
        """Returns a random generator of one activity of the test."""
        return random.Random(f"{self.seed} {name}")

    async def post(self, job, *, instance, run_s, cores, timeout_s):
        """Sends a job once; returns the status or `_LOST`."""
        step = {
            "count": job.count,
            "cpu": int(cores * 1_000),
            "est-runtime-ms": run_s * 1_000,
        }
        url = (
            f"http://{self.deployment.instances[instance].web}"
            f"{deployment.PATH_PREFIX}{job.key}"
        )
        try:
            async with self.session.post(
                url,
                json={
                    "spec": f"{run_s}/{cores}",
                    "steps": [step],
                    "best-effort": True,
                },
                headers={
                    "Host": deployment.HOST,
                    "Timeout-Ms": str(int(timeout_s * 1_000)),
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                content = json.loads(await answer.text())
                job.state = content.get("state", "")
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _LOST

    async def submit(
        self,
        *,
        count=2,
        run_s=0.2,
        cores=4.0,
        instance=None,
        timeout_s=_TIMEOUT_S,
        max_attempts=_MAX_ATTEMPTS,
    ):
        """Sends a job until it is answered, and returns it."""
        job = Job(f"{len(self.jobs):016x}", count)
        self.jobs.append(job)
        random_ = self.random(job.key)
        while True:
            chosen = random_.randrange(2) if instance is None else instance
            status = await self.post(
                job,
                instance=chosen,
                run_s=run_s,
                cores=cores,
                timeout_s=timeout_s,
            )
            instance = None
            job.attempts.append(status)
            self.deployment.late_orders.record(
                "caller", f"{job.key} instance {chosen}: {status}"
            )
            if status not in (_LOST, *_RESENT):
                break
            if len(job.attempts) == max_attempts:
                break
            await asyncio.sleep(_RESEND_S)
        job.not_done = set(job.tasks) - set(self.history.done)
        return job

    def trace(self, key):
        """Returns what instances and endpoints recorded during a job."""
        recorded = self.deployment.late_orders.journal
        lines = [line for line in recorded if key in line or " is " in line]
        for instance in self.deployment.instances:
            for text in instance.log.read_text().splitlines():
                if not text.startswith("{"):
                    continue
                line = json.loads(text)
                message = line["message"]
                if line.get("request", key) != key:
                    continue
                if key in text or any(part in message for part in _LOGGED):
                    fields = " ".join(
                        f"{name}={line[name]}"
                        for name in _SHOWN_FIELDS
                        if line.get(name)
                    )
                    lines.append(
                        f"{line['time'][11:]} {instance.name} {message} {fields}"
                    )
        lines.sort()
        named = [number for number, line in enumerate(lines) if key in line]
        if not named:
            return ""
        shown = lines[max(0, named[0] - _LINES_BEFORE) : named[-1] + 1]
        if len(shown) > _FIRST_LINES + _LAST_LINES:
            left_out = len(shown) - _FIRST_LINES - _LAST_LINES
            shown[_FIRST_LINES:-_LAST_LINES] = [f"({left_out} lines left out)"]
        return "\n" + "\n".join(line[:_LINE_LENGTH] for line in shown)

    def check(self):
        """Asserts what holds for every job at any time."""
        if overlapping := sorted(set(self.history.overlapping)):
            self.fail(
                f"two runs of {overlapping[0]} at the same time"
                f" ({len(overlapping)} such tasks)"
                + self.trace(overlapping[0].partition(".")[0])
            )
        for job in self.jobs:
            with_trace = f"{job}" + self.trace(job.key)
            if job.attempts[-1] == _OK:
                self.assertEqual(job.state, "completed", with_trace)
                self.assertEqual(job.not_done, set(), with_trace)
            if set(job.attempts) <= set(_REFUSED):
                started = set(job.tasks) & set(self.history.starts)
                self.assertEqual(started, set(), with_trace)

    def check_all_answered(self, jobs):
        """Asserts that jobs were completed."""
        for job in jobs:
            self.assertEqual(
                job.attempts[-1], _OK, f"{job}" + self.trace(job.key)
            )

    async def check_rest(self):
        """Asserts that nothing runs on, and that plain jobs are answered."""
        await asyncio.sleep(_REST_S)
        if still_running := sorted(self.history.running):
            self.fail(
                f"{still_running} still run"
                + self.trace(still_running[0].partition(".")[0])
            )
        for instance, process in enumerate(self.deployment.instances):
            await self.deployment.wait_ready(process)
            job = await self.submit(run_s=0.1, instance=instance)
            self.assertEqual(
                job.attempts, [_OK], f"{job}" + self.trace(job.key)
            )
        self.check()


class RestartedEndpointProcessesTest(RestartTest):

    async def test_jobs_after_a_restart_of_idle_endpoints_run_once(self):
        """Guards against giving up runs that began after a restart.

        Idle endpoints are not polled, and their rows show the former start time
        when the jobs come, or until these run.
        """
        await self.open()
        for listed, pause_s in ((None, 0.0), (0.1, 0.0), (None, 0.6)):
            warm_up = await self.submit(count=6, run_s=0.1)
            self.check_all_answered([warm_up])
            await asyncio.sleep(1.2)
            await asyncio.gather(
                *(
                    self.deployment.restart_endpoint(
                        endpoint.endpoint.id, down_s=0.1, listed=listed
                    )
                    for endpoint in self.deployment.endpoints
                )
            )
            await asyncio.sleep(pause_s)
            jobs = await asyncio.gather(
                *(
                    self.submit(
                        run_s=0.2 + 0.13 * number,
                        instance=number % 2,
                        max_attempts=1,
                    )
                    for number in range(6)
                )
            )
            self.check()
            counts = collections.Counter(self.history.starts)
            for job in jobs:
                self.assertEqual(
                    (job.attempts, [counts[task] for task in job.tasks]),
                    ([_OK], [1] * job.count),
                    self.trace(job.key),
                )
        await self.check_rest()

    async def test_restarts_under_runs_while_the_store_is_down(self):
        """Guards against a second run while the list shows the former start.

        The rows of two endpoints show it until after the store is back. One
        endpoint comes back at another address, and one restarts twice.
        """
        await self.open(endpoint_count=4)
        restart = self.deployment.restart_endpoint

        def submit(number, run_s):
            return asyncio.create_task(
                self.submit(run_s=run_s, instance=number % 2, timeout_s=6.0)
            )

        submitted = [submit(n, 1.0 + 0.1 * n) for n in range(6)]
        await asyncio.sleep(0.3)
        self.deployment.store.fault = store.Fault.DOWN
        await asyncio.gather(
            restart("e0", down_s=0.05, listed=1.5),
            restart("e1", down_s=0.4, listed=1.5),
            restart("e2", down_s=0.2, listed=0.0, moves=True),
        )
        submitted += [submit(n, 0.8 + 0.1 * n) for n in range(4)]
        await asyncio.sleep(0.2)
        await restart("e0", down_s=0.02, listed=1.5)
        await asyncio.sleep(0.3)
        self.deployment.store.fault = store.Fault.NONE
        jobs = await asyncio.gather(*submitted)
        self.check()
        self.check_all_answered(jobs)
        await self.check_rest()


class RestartSeriesTest(RestartTest):

    async def test_series_of_restarts_and_other_faults(self):
        """Guards against two runs at the same time under several faults.

        Endpoints restart and carry out orders late, the store is down at times,
        and the leader is paused.
        """
        first = int(os.environ.get("RESTART_FIRST_SEED", "1"))
        count = int(os.environ.get("RESTART_SEEDS", "1"))
        failed = {}
        for seed in range(first, first + count):
            try:
                await self._play(seed)
            except (AssertionError, TimeoutError) as error:
                failed[seed] = error
                print(f"seed {seed}: {error!r:.120}", flush=True)
        for seed, error in failed.items():
            self.fail(f"seeds {sorted(failed)} failed, seed {seed}: {error}")

    async def _play(self, seed):
        await self.open(endpoint_count=4, seed=seed)
        self.deployment.late_orders.share = 0.04
        end_at = time.monotonic() + _SERIES_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_jobs(group, end_at))
            for endpoint in self.deployment.endpoints:
                group.create_task(
                    self._restart_at_times(endpoint.endpoint.id, end_at)
                )
            group.create_task(self._stop_store_at_times(end_at))
            group.create_task(self._pause_leader_at_times(end_at))
        self.deployment.late_orders.share = 0.0
        self.check()
        await self.check_rest()

    async def _send_jobs(self, group, end_at):
        random_ = self.random("jobs")
        while time.monotonic() < end_at:
            group.create_task(
                self.submit(
                    count=random_.randint(1, 4),
                    run_s=round(random_.uniform(0.05, 0.9), 2),
                    cores=random_.choice((1.0, 2.0, 4.0)),
                )
            )
            await asyncio.sleep(random_.expovariate(8.0))

    async def _restart_at_times(self, name, end_at):
        random_ = self.random(name)
        while True:
            await asyncio.sleep(random_.uniform(0.2, 3.5))
            if time.monotonic() >= end_at:
                return
            listed = random_.choice((0.0, 0.3, 1.5, None))
            await self.deployment.restart_endpoint(
                name,
                down_s=random_.choice((0.01, 0.1, 0.5)),
                listed=listed,
                # Without its row, nobody would find it at another address.
                moves=listed is not None and random_.random() < _MOVED_SHARE,
            )

    async def _stop_store_at_times(self, end_at):
        random_ = self.random("store")
        while True:
            await asyncio.sleep(random_.uniform(0.5, 2.0))
            if time.monotonic() >= end_at:
                return
            self.deployment.store.fault = store.Fault.DOWN
            self.deployment.late_orders.record("store", "is down")
            await asyncio.sleep(random_.uniform(0.5, 2.5))
            self.deployment.store.fault = store.Fault.NONE
            self.deployment.late_orders.record("store", "is up")

    async def _pause_leader_at_times(self, end_at):
        random_ = self.random("leader")
        while True:
            await asyncio.sleep(random_.uniform(1.5, 4.0))
            if time.monotonic() >= end_at:
                return
            leader = self._find_leader()
            self.deployment.late_orders.record(
                "signal", f"{leader.name} is stopped"
            )
            leader.signal(signal.SIGSTOP)
            await asyncio.sleep(random_.choice((0.2, 0.6, 1.1, 2.0)))
            leader.signal(signal.SIGCONT)
            self.deployment.late_orders.record(
                "signal", f"{leader.name} is resumed"
            )

    def _find_leader(self):
        """Returns the instance that claimed the endpoints last."""
        claims = {}
        for instance in self.deployment.instances:
            for text in instance.log.read_text().splitlines():
                if '"stewardship claimed"' in text:
                    claims[instance.name] = json.loads(text)["time"]
        return max(
            self.deployment.instances,
            key=lambda instance: claims.get(instance.name, ""),
        )
