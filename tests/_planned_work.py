"""Callers on plain connections, which record what became of each request."""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import json
import re
import time

from standins import deployment
from standins import simulated_endpoint

# An instance that has not read a request may end its connection within this time
# after the last byte.
LOSS_SLACK_S = 0.2
# Time after the end of all tasks of a job within which its caller is answered.
_ANSWER_SLACK_S = 1.0
# Time for an answer beyond the run times of a job.
_EXTRA_TIMEOUT_S = 6.0
_SHORT_TIMEOUT_S = 5.0
_RESEND_S = 1.3
_MAX_ATTEMPTS = 4
_LENGTH = re.compile(r"(?i)\r\ncontent-length: *(\d+)\r")
_RESENT = (502, 504)
_GATEWAY_TIMEOUT = 504
# Cores that a task takes.
CORES = 0.25
# Run times of tasks. Many of the longest ones are in flight at the end of a stop.
_SHORT_RUN_S = (0.05, 0.3)
_RUN_S = (0.05, 3.0)
_LONG_RUN_S = (4.0, 7.0)
_LONG_SHARE = 0.08
# Longest pause between the pieces of a body, and between requests.
_MAX_PAUSE_S = 0.2
_MAX_IDLE_S = 0.05
# Share of cancels and queries that name a running job, and the part of the draws
# that are not queries.
_RUNNING_SHARE = 0.25
_DELETE_BELOW = 0.95
_SAME_INSTANCE_SHARE = 0.6
_RESTARTING_SHARE = 0.6


class End(enum.Enum):
    """How a request ended for its caller."""

    ANSWER = "answer"
    REFUSED = "connection refused"
    NOT_SENT = "ended before the last byte"
    CUT = "ended without a complete answer"
    DEADLINE = "deadline"


class History(simulated_endpoint.RunHistory):
    """Runs on all endpoints, with their times.

    Attributes:
        started_at: Wall times of the starts of each job, in seconds.
        ended_at: Wall time of the last end of a run of each job.
        peak: Largest number of runs at the same time.
    """

    def __init__(self):
        super().__init__()
        self.started_at = collections.defaultdict(list)
        self.ended_at = {}
        self.peak = 0

    def begin(self, task, endpoint_id):
        super().begin(task, endpoint_id)
        self.started_at[task.partition(".")[0]].append(time.time())
        self.peak = max(self.peak, sum(map(len, self.running.values())))

    def end(self, task, endpoint_id):
        super().end(task, endpoint_id)
        self.ended_at[task.partition(".")[0]] = time.time()

    def has_ended(self, request, at):
        """Returns whether all tasks of a job were done at a wall time."""
        key = request.key
        done = {task for task in self.done if task.partition(".")[0] == key}
        running = any(task.partition(".")[0] == key for task in self.running)
        return (
            len(done) >= request.tasks
            and not running
            and self.ended_at[key] < at
        )


@dataclasses.dataclass(slots=True)
class Request:
    """One request, with wall times in seconds.

    `sent_at`, the time of the last byte, is None if it was not sent. `pieces` is
    the number of pieces of the body, `tasks` that of the tasks of the job.
    """

    method: str
    key: str
    instance: str
    pieces: int
    timeout_s: float
    tasks: int = 0
    reused: bool = False
    began_at: float = 0.0
    sent_at: float | None = None
    ended_at: float = 0.0
    end: End | None = None
    status: int = 0

    @property
    def kind(self):
        """Method, and how the body was sent."""
        return f"{self.method} in pieces" if self.pieces > 1 else self.method

    def fault(self, history, *, has_free_endpoints):
        """Returns which promise was broken, empty if none was."""
        if self.end is End.CUT:
            waited_s = self.ended_at - self.sent_at
            started = any(
                self.began_at <= started_at <= self.ended_at
                for started_at in history.started_at.get(self.key, ())
            )
            if self.method == "POST" and started:
                return "LOST after a start"
            return "LOST" if waited_s > LOSS_SLACK_S else ""
        if self.end is End.DEADLINE or self.status == _GATEWAY_TIMEOUT:
            if self.method != "POST":
                return "HANG"
            if history.has_ended(self, self.ended_at - _ANSWER_SLACK_S):
                return "HANG after all tasks had ended"
            return "HANG" if has_free_endpoints else ""
        return ""


class Caller:
    """Sends one request after the other, and keeps its connection open."""

    def __init__(self, deployment_, planned, random_, *, number, short):
        """Creates a caller, which sends short requests only if `short`.

        Most of these go to instances that stop or start.
        """
        self.requests = []
        self.post_key = ""
        self._deployment = deployment_
        self._planned = planned
        self._random = random_
        self._number = number
        self._short = short
        self._key_count = 0
        self._instance = None
        self._stream = None

    async def run(self):
        """Sends requests until the planned work has ended."""
        random_ = self._random
        while not self._planned.finished:
            draw = random_.random()
            if draw < (0.45 if self._short else 0.9):
                await self._submit()
            else:
                key = self._new_key()
                running = [c.post_key for c in self._planned.callers]
                if random_.random() < _RUNNING_SHARE:
                    key = random_.choice(running) or key
                method = "DELETE" if draw < _DELETE_BELOW else "GET"
                await self._send(method, key, b"", _SHORT_TIMEOUT_S)
            await asyncio.sleep(random_.uniform(0.0, _MAX_IDLE_S))
        self._close()

    async def _submit(self):
        """Sends a job until it is answered."""
        random_ = self._random
        range_s = _SHORT_RUN_S if self._short else _RUN_S
        if not self._short and random_.random() < _LONG_SHARE:
            range_s = _LONG_RUN_S
        run_s = round(random_.uniform(*range_s), 2)
        count = random_.randint(1, 3)
        step = {
            "count": count,
            "cpu": int(CORES * 1_000),
            "est-runtime-ms": int(run_s * 1_000),
        }
        body = json.dumps(
            {"spec": f"{run_s}/{CORES}", "steps": [step], "best-effort": True}
        ).encode()
        key = self._new_key()
        for _ in range(_MAX_ATTEMPTS):
            self.post_key = key
            request = await self._send(
                "POST", key, body, run_s + _EXTRA_TIMEOUT_S, tasks=count
            )
            self.post_key = ""
            if request.end is End.ANSWER and request.status not in _RESENT:
                return
            self._close()
            self._instance = None
            refused = request.end is End.REFUSED
            await asyncio.sleep(_MAX_IDLE_S if refused else _RESEND_S)

    async def _send(self, method, key, body, timeout_s, *, tasks=0):
        """Sends a request once, and records it."""
        pieces = self._cut(body)
        request = Request(
            method, key, "", len(pieces), timeout_s, tasks, began_at=time.time()
        )
        self.requests.append(request)
        head = (
            f"{method} {deployment.PATH_PREFIX}{key} HTTP/1.1\r\n"
            f"Host: {deployment.HOST}\r\n"
            f"Timeout-Ms: {int(timeout_s * 1_000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(request, [head + pieces[0], *pieces[1:]])
        except TimeoutError:
            request.end = End.DEADLINE
        except (OSError, asyncio.IncompleteReadError):
            if request.end is None:
                sent = request.sent_at is not None
                request.end = End.CUT if sent else End.NOT_SENT
        request.ended_at = time.time()
        if request.end is not End.ANSWER:
            self._close()
        return request

    async def _exchange(self, request, pieces):
        await self._connect(request)
        reader, writer = self._stream
        request.began_at = time.time()
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(self._random.uniform(0.0, _MAX_PAUSE_S))
            if reader.at_eof():
                raise ConnectionResetError
            writer.write(piece)
            await writer.drain()
        request.sent_at = time.time()
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        await reader.readexactly(int(_LENGTH.search(head)[1]))
        request.status = int(head.split()[1])
        request.end = End.ANSWER
        if "connection: close" in head.lower():
            self._close()

    async def _connect(self, request):
        """Opens a connection, unless there is an open one."""
        if self._stream is not None and self._stream[0].at_eof():
            self._close()
        if self._stream is None:
            self._instance = self._choose_instance()
            request.instance = self._instance.name
            host, port = self._instance.web.rsplit(":", 1)
            try:
                self._stream = await asyncio.open_connection(host, int(port))
            except OSError:
                request.end = End.REFUSED
                raise
        else:
            request.instance = self._instance.name
            request.reused = True

    def _choose_instance(self):
        """Returns the instance for a new connection."""
        random_ = self._random
        restarting = self._planned.restarting
        if self._short and restarting and random_.random() < _RESTARTING_SHARE:
            return random_.choice(restarting)
        same = self._instance is not None and not self._short
        if same and random_.random() < _SAME_INSTANCE_SHARE:
            return self._instance
        return random_.choice(self._deployment.instances)

    def _cut(self, body):
        """Returns a body as one to three pieces."""
        count = self._random.choice((1, 2, 3) if body else (1,))
        cuts = sorted(self._random.sample(range(1, len(body)), count - 1))
        return [
            body[begin:end]
            for begin, end in zip((0, *cuts), (*cuts, len(body)), strict=True)
        ]

    def _new_key(self):
        self._key_count += 1
        return f"{self._number:06x}{self._key_count:010x}"

    def _close(self):
        if self._stream is not None:
            with contextlib.suppress(OSError):
                self._stream[1].close()
        self._stream = None
