"""Records, pending tasks and raw servers shared by the tests of routing."""

import asyncio
import contextlib
import time

from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.routing import sender
from sesameroad.scheduling import pending_task


class FakeClock(clocks.Clock):
    """A clock whose time changes only when a test sets it."""

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = 1_000.0

    def wall_ms(self) -> int:
        return int(self.seconds * 1_000)

    def monotonic(self) -> float:
        return self.seconds


def request(key="k", *, idempotent=False, deadline_ms=None, payload=b'"x"'):
    deadline_ms = deadline_ms or int(time.time() * 1_000) + 5_000
    return work_module.Request(
        key, "team", "kind", deadline_ms, work_module.Task(payload), idempotent
    )


def submission(key="k", *, tasks=2):
    return work_module.Submission(
        key, "team", "kind", 2**50, (work_module.Task(b'"x"'),) * tasks
    )


def open_ledger(clock=None):
    return ledger_module.Ledger(
        clock=clock or clocks.Clock(),
        max_records=10_000,
        max_marks=10_000,
        max_held_bytes=2**24,
        incarnation="00ff",
    )


def queued_task(ledger, work, index=0):
    record = ledger.find(work.key) or ledger.open(
        work, digest="", expiry_ms=2**50, remember=True
    )
    return pending_task.PendingTask(record, index, 0.0)


def endpoint(name="e1", url="http://127.0.0.1:1", **fields):
    return endpoints.Endpoint(name, url, "dc1", **fields)


def open_sender(ledger, *, clock=None, grace_s=0.3, max_answer_bytes=1_000):
    return sender.Sender.open(
        ledger=ledger,
        clock=clock or clocks.Clock(),
        answer_grace_s=grace_s,
        max_answer_bytes=max_answer_bytes,
    )


class RawServer:
    """Counts connections and requests, and answers what a handler writes."""

    def __init__(self, handle):
        self._handle = handle
        self.requests = []
        self.connections = 0
        self.open = 0
        self.highest_open = 0
        self.url = ""
        self._tasks = set()

    @classmethod
    @contextlib.asynccontextmanager
    async def serve(cls, handle):
        raw = cls(handle)
        server = await asyncio.start_server(raw._accept, "127.0.0.1", 0)
        raw.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield raw
        finally:
            server.close()
            for task in raw._tasks:
                task.cancel()
            await asyncio.gather(*raw._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        # asyncio logs a cancelled handler as an error if it runs the handler.
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        await asyncio.wait([task])
        self._tasks.discard(task)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.open += 1
        self.highest_open = max(self.highest_open, self.open)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                headers = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if line
                )
                self.requests.append(headers)
                if not await self._handle(reader, writer, headers):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()


async def read_body(reader, headers):
    await reader.readexactly(int(headers["content-length"]))


def answer(headers, body=b"{}", *, status=200, attempt=None, more=()):
    """Returns the bytes of an HTTP answer to a request."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Sesameroad-Attempt: {attempt or headers['sesameroad-attempt']}",
        *more,
    ]
    if not any(line.startswith(("Content-Length", "Tra")) for line in more):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
