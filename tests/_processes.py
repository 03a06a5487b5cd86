"""Tests with instances as processes and callers that send jobs again."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import unittest

import aiohttp

from standins import deployment

# Time after which a caller sends a job again that was not answered.
_RESEND_S = 1.3
# A caller gives up waiting for one answer after this.
_TIMEOUT_S = 3.0
_MAX_ATTEMPTS = 8
_MAX_CONNECTIONS = 1_000
# Longer than a lease, after which nothing runs that no instance wants to run.
_REST_S = 3.0
OK = 200
_REFUSED = (429, 503)
_RESENT = (502, 504)
LOST = 0
# Log lines and fields that a failed test shows.
_LOGGED = (
    "endpoint started",
    "another start",
    "stewardship",
    "stop without",
    "this leader has not",
)
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
    "steward_of",
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
        attempts: Answer to each attempt: a status, or `LOST` without one.
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


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Instances, endpoints, and callers that send jobs again."""

    async def asyncSetUp(self):
        self.resources = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.resources.aclose)

    async def open(
        self, *, instance_count=2, endpoint_count=3, seed=0, **options
    ):
        """Starts a deployment and a client, and ends those of before."""
        await self.resources.aclose()
        self.jobs = []
        self.seed = seed
        self.deployment = deployment.Deployment(
            instance_count=instance_count,
            endpoint_count=endpoint_count,
            seed=seed,
            **options,
        )
        self.history = self.deployment.history
        await self.resources.enter_async_context(self.deployment)
        self.session = await self.resources.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=_MAX_CONNECTIONS)
            )
        )

    def random(self, name):
        """Returns a random generator of one activity of the test."""
        return random.Random(f"{self.seed} {name}")

    async def post(
        self, job, *, instance, run_s, cores, timeout_s, slack_s=0.0
    ):
        """Sends a job once; returns the status or `LOST`.

        Waits for an answer until `slack_s` after the time in the request.
        """
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
                timeout=aiohttp.ClientTimeout(total=timeout_s + slack_s),
            ) as answer:
                content = json.loads(await answer.text())
                job.state = content.get("state", "")
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return LOST

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
            chosen = instance
            if chosen is None:
                chosen = random_.randrange(len(self.deployment.instances))
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
            if status not in (LOST, *_RESENT):
                break
            if len(job.attempts) == max_attempts:
                break
            await asyncio.sleep(_RESEND_S)
        job.not_done = set(job.tasks) - set(self.history.done)
        return job

    def find_leader(self):
        """Returns the running instance that claimed endpoints last."""
        claims = {}
        for instance in self.deployment.instances:
            for text in instance.log.read_text().splitlines():
                if '"stewardship claimed"' in text:
                    claims[instance.name] = json.loads(text)["time"]
        return max(
            (i for i in self.deployment.instances if i.running),
            key=lambda instance: claims.get(instance.name, ""),
        )

    def trace(self, key):
        """Returns what instances and endpoints recorded during a job."""
        recorded = self.deployment.late_orders.journal
        lines = [line for line in recorded if key in line or " is " in line]
        for instance in self.deployment.instances:
            for text in instance.log.read_text().splitlines():
                # The last line may not be written in full.
                if not (text.startswith("{") and text.endswith("}")):
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

    async def play_seeds(self, name, play, *, first):
        """Plays series, whose seeds environment variables can name.

        NAME_FIRST_SEED is the first one, NAME_SEEDS their number, and NAME_LOGS
        a directory for the logs of series that fail.
        """
        first = int(os.environ.get(f"{name}_FIRST_SEED", first))
        count = int(os.environ.get(f"{name}_SEEDS", "1"))
        failed = {}
        for seed in range(first, first + count):
            try:
                await play(seed)
                print(f"seed {seed}: passed", flush=True)
            except* (AssertionError, TimeoutError) as group:
                error = group.exceptions[0]
                failed[seed] = error
                print(f"seed {seed}: {error!r:.160}", flush=True)
                if kept := os.environ.get(f"{name}_LOGS"):
                    self._keep_logs(pathlib.Path(kept) / f"seed-{seed}", error)
        for seed, error in failed.items():
            self.fail(f"seeds {sorted(failed)} failed, seed {seed}: {error}")

    def _keep_logs(self, directory, error):
        directory.mkdir(parents=True, exist_ok=True)
        for instance in self.deployment.instances:
            shutil.copy(instance.log, directory)
        (directory / "journal.txt").write_text(
            "\n".join(self.deployment.late_orders.journal)
        )
        (directory / "error.txt").write_text(f"{error}")

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
            if job.attempts[-1] == OK:
                self.assertEqual(job.state, "completed", with_trace)
                self.assertEqual(job.not_done, set(), with_trace)
            if set(job.attempts) <= set(_REFUSED):
                started = set(job.tasks) & set(self.history.starts)
                self.assertEqual(started, set(), with_trace)

    def check_all_answered(self, jobs):
        """Asserts that jobs were completed."""
        for job in jobs:
            self.assertEqual(
                job.attempts[-1], OK, f"{job}" + self.trace(job.key)
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
            self.assertEqual(job.attempts, [OK], f"{job}" + self.trace(job.key))
        self.check()
