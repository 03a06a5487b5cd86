"""Real instances on loopback addresses, with stand-ins for all that they reach.

A case opens a `Testbed`, which starts each instance with the command and the settings
template of `deploy/system.toml`. The store is the project's stand-in. Executors,
callers and network paths are those of this module, which follow the users' pages.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import Self

import aiohttp
from aiohttp import web
import msgspec

from standins import store as store_module

HOST = "nony24.example"
PREFIX = "/lohu930/"
# Values of the users' pages: `max-hold-ms`, `retransmit-ms`, `contact-ms`,
# `config-apply-ms` and `cancel_ms`.
MAX_HOLD_MS = 1_000
RETRANSMIT_S = 1.3
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
CANCEL_S = 3.0
# A stop takes at most `stop-ms`, 50.
_STOP_S = 0.02
_READY_S = 30.0
# A case may take 120 s.
_LONGEST_S = 100.0
# Returns the time in seconds after which a start is carried out that gets no answer, or 0
# for one that is carried out at once.
Late = Callable[[dict[str, Any]], float]
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Time since the record was begun, in seconds."""
        return time.monotonic() - self._began_at

    def add(self, who: str, text: str) -> float:
        """Adds a line and returns its time."""
        now = self.now
        self._lines.append(f"{now:8.3f} {who}: {text}")
        return now

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


class Path:
    """TCP path to an address, which can be silenced or cut."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._silent: set[int] = set()
        self._open: dict[int, asyncio.Task[None]] = {}
        self._whole = asyncio.Event()
        self._whole.set()

    @classmethod
    async def open(cls, target: str) -> Self:
        """Opens the path."""
        path = cls(target)
        path._server = await asyncio.start_server(path._accept, "127.0.0.1", 0)
        return path

    @property
    def address(self) -> str:
        """Address to connect to."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def silence(self) -> None:
        """Silences the open connections for good; new ones work."""
        self._silent.update(self._open)

    def cut(self) -> None:
        """Lets nothing through until `join`."""
        self._whole.clear()

    def join(self) -> None:
        """Ends the cut; what it has held up arrives now."""
        self._whole.set()

    def close(self) -> None:
        """Closes the path."""
        if self._server is not None:
            self._server.close()
        for task in self._open.values():
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open[id(task)] = task
        host, _, port = self._target.rpartition(":")
        ends = [writer]
        try:
            await self._whole.wait()
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            ends.append(far_writer)
            await asyncio.gather(
                self._copy(id(task), reader, far_writer),
                self._copy(id(task), far_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in ends:
                end.transport.abort()
            del self._open[id(task)]
            self._silent.discard(id(task))

    async def _copy(
        self,
        name: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            data = await reader.read(65_536)
            await self._whole.wait()
            if name in self._silent:
                await asyncio.Event().wait()
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class _Run:
    """A run on an executor."""

    def __init__(
        self, number: int, cores: float, *, seconds: float, began_at: float
    ) -> None:
        self.number = number
        self.cores = cores
        self.began_at = began_at
        self._seconds = seconds
        self._started_at = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def percent(self) -> int:
        """Progress."""
        passed_s = time.monotonic() - self._started_at
        return min(99, int(passed_s / self._seconds * 100))


class Executor:
    """An executor as the pages describe it.

    The run time of a task is the first word of its spec, its cores the second.

    Attributes:
        id: Its id in the store.
        zone: Its zone.
        late: Decides which starts are held up.
        spans: Begin and end of each run, by task.
    """

    def __init__(self, name: str, zone: str, record: Record) -> None:
        self.id = name
        self.zone = zone
        self.late: Late = lambda body: 0.0
        self.spans: dict[str, list[tuple[float, float]]] = {}
        self.starts: list[tuple[float, str]] = []
        self._record = record
        self._port = 0
        self._site: web.TCPSite | None = None
        self._late_calls: set[asyncio.Task[None]] = set()
        self._runner: web.AppRunner | None = None
        self._up = asyncio.Event()
        self._born_ms = 0
        self._reset()

    @property
    def row(self) -> dict[str, Any]:
        """Its entry in the store."""
        return {
            "service": "exe7",
            "address": f"127.0.0.1:{self._port}",
            "zone": self.zone,
            "state": "ready",
            "version": "1",
            "slots": 8,
            "seq": 1,
            "born": self._born_ms,
            "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
            "labels": ["a", "r1-1"],
        }

    @property
    def running(self) -> list[str]:
        """Tasks that run."""
        return sorted(self._runs)

    async def open(self) -> None:
        """Starts, with another incarnation than before."""
        self._reset()
        application = web.Application()
        application.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
            ]
        )
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        self._port = self._port or free_port("127.0.0.1")
        self._site = web.TCPSite(self._runner, "127.0.0.1", self._port)
        await self._site.start()
        self._up.set()
        self._record.add(self.id, f"is up, born {self._born_ms}")

    async def crash(self) -> None:
        """Crashes: all runs end, and connections are reset."""
        self._up.clear()
        for task in list(self._runs):
            self._end(task, "crash")
        self._record.add(self.id, "crashes")
        if self._site is not None and self._runner is not None:
            await self._site.stop()
            server = self._runner.server
            for connection in server.connections if server else ():
                if connection.transport is not None:
                    connection.transport.abort()

    async def close(self) -> None:
        """Ends for good."""
        for call in self._late_calls:
            call.cancel()
        for task in list(self._runs):
            self._end(task, "end of the test")
        if self._runner is not None:
            await self._runner.cleanup()

    def _reset(self) -> None:
        self._began_at = time.monotonic()
        self._born_ms = time.time_ns() // 1_000_000
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._token = 0
        self._lease_ms = 0
        self._lapse: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_at) * 1_000)

    def _refused(self, reason: str) -> web.Response:
        return web.json_response(
            {"clock-ms": self._clock_ms, "reason": reason}, status=409
        )

    def _misses(self, request: web.Request) -> bool:
        return request.headers.get("Target-Instance", self.id) != self.id

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        token = body.get("fencing-token", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _extend(self, until_ms: int) -> None:
        limit = self._clock_ms + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, limit))
        if self._lapse is not None:
            self._lapse.cancel()
        left_s = (self._lease_ms - self._clock_ms) / 1_000
        self._lapse = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._lapse_all
        )

    def _lapse_all(self) -> None:
        for task in list(self._runs):
            self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._barred[task] = max(run.number, self._barred.get(task, 0))
        self._end_count += 1
        self._ended.append([self._end_count, task, run.number, how, ""])
        now = self._record.add(self.id, f"run {run.number} of {task}: {how}")
        self.spans.setdefault(task, []).append((run.began_at, now))
        self._changed.set()

    async def _start(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self._misses(request):
            return web.Response(status=421)
        late_s = self.late(body)
        name = f"run {body['run']} of {body['task']}"
        if late_s:
            self._record.add(self.id, f"start of {name} is held up")
            call = asyncio.create_task(self._carry_out_late(body, late_s))
            self._late_calls.add(call)
            await asyncio.sleep(60.0)
        answer = self._carry_out(body)
        self._record.add(self.id, f"start of {name}: {answer.status}")
        return answer

    async def _carry_out_late(
        self, body: dict[str, Any], late_s: float
    ) -> None:
        """Carries a start out later, by whichever incarnation is up then."""
        await asyncio.sleep(late_s)
        await self._up.wait()
        answer = self._carry_out(body)
        reason = json.loads(answer.text or "{}").get("reason", "")
        self._record.add(
            self.id,
            f"held-up start of run {body['run']} of {body['task']} is carried"
            f" out: {answer.status} {reason}".rstrip(),
        )

    def _carry_out(self, body: dict[str, Any]) -> web.Response:
        if self._is_fenced(body):
            return self._refused("fence")
        if body["deadline-ms"] <= self._clock_ms:
            return self._refused("late")
        self._extend(body["deadline-ms"])
        task, number = body["task"], body["run"]
        run = self._runs.get(task)
        if run is not None and run.number == number:
            return web.json_response({"clock-ms": self._clock_ms})
        if run is not None or number <= self._barred.get(task, 0):
            return self._refused("old")
        seconds, cores = map(float, body["spec"].split())
        if sum(r.cores for r in self._runs.values()) + cores > 16.0:
            return self._refused("room")
        now = self._record.add(self.id, f"run {number} of {task} begins")
        run = self._runs[task] = _Run(
            number, cores, seconds=seconds, began_at=now
        )
        self.starts.append((now, task))
        run.timer = asyncio.get_running_loop().call_later(
            seconds, self._end, task, "done"
        )
        return web.json_response({"clock-ms": self._clock_ms})

    async def _stop(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self._misses(request):
            return web.Response(status=421)
        if self._is_fenced(body):
            return self._refused("fence")
        task, number = body["task"], body["run"]
        self._barred[task] = max(number, self._barred.get(task, 0))
        run = self._runs.get(task)
        self._record.add(self.id, f"stop of run {number} of {task}")
        if run is not None and run.number <= number:

            def end() -> None:
                if self._runs.get(task) is run:
                    self._end(task, "stopped")

            asyncio.get_running_loop().call_later(_STOP_S, end)
        return web.json_response({"clock-ms": self._clock_ms})

    async def _hold(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self._misses(request):
            return web.Response(status=421)
        if self._is_fenced(body):
            return self._refused("fence")
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        self._ended = [e for e in self._ended if e[0] > body["seen-upto"]]
        if not self._ended and body.get("wait-ms"):
            changed = self._changed = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait-ms"] / 1_000):
                    await changed.wait()
        return web.json_response(
            {
                "clock-ms": self._clock_ms,
                "born": self._born_ms,
                "running": [
                    [task, run.number, "", run.percent, int(run.cores * 1_000)]
                    for task, run in self._runs.items()
                ],
                "ended": self._ended[:500],
            }
        )


class HeldUpStart:
    """The next start that any executor gets, which is held up if it is to be late."""

    def __init__(self, executors: Iterable[Executor], *, late_s: float) -> None:
        self._late_s = late_s
        self._found: asyncio.Future[Executor] = (
            asyncio.get_running_loop().create_future()
        )
        for executor in executors:
            executor.late = self._delay(executor)

    async def wait(self) -> Executor:
        """Returns the executor once it has got the start."""
        return await self._found

    def _delay(self, executor: Executor) -> Late:
        def late_s(_: object) -> float:
            if self._found.done():
                return 0.0
            self._found.set_result(executor)
            return self._late_s

        return late_s


class Testbed:
    """Instances, executors and the store, with a path to each from each.

    Attributes:
        record: What happens.
        executors: The executors by id.
        instances: The fields of the settings of each instance, by its name.
    """

    def __init__(
        self,
        record: Record,
        *,
        zones: Sequence[str],
        instances: Sequence[str],
        executors: Sequence[str],
    ) -> None:
        """Creates a testbed that is not open.

        Args:
            record: Receives what happens.
            zones: The zones.
            instances: Zone of each instance.
            executors: Zone of each executor.
        """
        self.record = record
        self.executors: dict[str, Executor] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self._zones = zones
        self._zone_lists = instances, executors
        self._store = store_module.Store(write_s=0.004)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = pathlib.Path(tempfile.mkdtemp())
        self._runners: list[web.AppRunner] = []
        # Path by reader and member, and its address by reader and true address.
        self._paths: dict[tuple[str, str], Path] = {}
        self._shown: dict[tuple[str, str], str] = {}
        self._deploy = tomllib.loads(
            (_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )["roles"]["entry"]

    async def __aenter__(self) -> Self:
        """Starts all parts and waits until all instances are ready."""
        try:
            await self._open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all processes and servers."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        await self.session.close()
        for path in self._paths.values():
            path.close()
        for executor in self.executors.values():
            await executor.close()
        for runner in self._runners:
            await runner.cleanup()
        if kept := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self._directory)

    async def _open(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        instances, executors = self._zone_lists
        for number, zone in enumerate(executors):
            executor = Executor(f"exe-{number}", zone, self.record)
            self.executors[executor.id] = executor
            await executor.open()
            await self.enlist(executor)
        await self.configure(1, [PREFIX])
        for number, zone in enumerate(instances):
            await self._add_instance(f"front-{zone}-{number}", zone)
        for reader in self.instances:
            for name, fields in self.instances.items():
                if name != reader:
                    await self._open_path(reader, name, _peer(fields))
            for executor in self.executors.values():
                await self._open_path(
                    reader, executor.id, executor.row["address"]
                )
        await asyncio.gather(*(self.start(name) for name in self.instances))

    async def _add_instance(self, name: str, zone: str) -> None:
        application = self._store.application()
        application.middlewares.append(self._show_paths(name))
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        port = free_port("127.0.0.1")
        await web.TCPSite(runner, "127.0.0.1", port).start()
        path = self._paths[name, "store"] = await Path.open(f"127.0.0.1:{port}")
        # All of 127.0.0.0/8 is loopback; each instance has the same port 9464.
        ip = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{len(self.instances) + 1}"
        self.instances[name] = {
            "node-name": name,
            "zone": zone,
            "zones": dict.fromkeys(self._zones, "andes-norte"),
            "ip": ip,
            "listen-addrs": {
                "front": f"{ip}:{free_port(ip)}",
                "ready": f"{ip}:{free_port(ip)}",
            },
            "port-range": [free_port(ip), 0],
            "limits": {"cpu-share": 0.537},
            "platform": {"address": path.address},
            "bounds": {"max-hold-ms": MAX_HOLD_MS},
        }

    async def _open_path(self, reader: str, name: str, address: str) -> None:
        path = self._paths[reader, name] = await Path.open(address)
        self._shown[reader, address] = path.address

    def _show_paths(self, reader: str) -> Any:
        """Shows a reader of the store the paths in place of true addresses."""

        @web.middleware
        async def show(
            request: web.Request, handler: Any
        ) -> web.StreamResponse:
            response = await handler(request)
            if not response.body or "/api/rows-" not in request.path:
                return response
            content = msgspec.json.decode(response.body)
            for row in content.get("rows", ()):
                if row["table"] in {"servers", "instances"}:
                    row["value"] = self._show_path(reader, row["value"])
            return web.json_response(content, status=response.status)

        return show

    def _show_path(self, reader: str, value: str) -> str:
        """Replaces the address in the value of a row, if it has one."""
        try:
            entry = json.loads(base64.b64decode(value))
            entry["address"] = self._shown[reader, entry["address"]]
        except (ValueError, TypeError, KeyError, RecursionError):
            return value
        return base64.b64encode(json.dumps(entry).encode()).decode()

    async def enlist(self, executor: Executor) -> None:
        """Writes the entry of an executor."""
        await self._store.put("servers", executor.id, executor.row)

    async def configure(self, version: int, prefixes: Iterable[str]) -> float:
        """Writes a configuration and returns the time of its acknowledgement."""
        routes = [
            {
                "name": f"queue-{prefix.strip('/')}",
                "host": HOST,
                "path-prefix": prefix,
                "service": "exe7",
                "priority": 0,
                "max-attempts": 4,
                "stretch": 1.6,
                "target-latency-ms": 60,
            }
            for prefix in prefixes
        ]
        await self._store.put(
            "op", "config", {"version": version, "routes": routes}
        )
        return self.record.add(
            "operator", f"configuration {version}: {' '.join(prefixes)}"
        )

    async def start(self, name: str) -> None:
        """Starts an instance and waits until it is ready."""
        settings = self._directory / f"{name}.json"
        template = (_ROOT / self._deploy["template"]).read_text(
            encoding="utf-8"
        )
        settings.write_text(_render(template, self.instances[name]))
        self._processes[name] = self._spawn(name, settings)
        self.record.add(name, "is started")
        async with asyncio.timeout(_READY_S):
            while not await self.is_ready(name):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.record.add(name, "is ready")

    async def is_ready(self, name: str) -> bool:
        """Returns whether an instance stays in rotation."""
        address = self.instances[name]["listen-addrs"]["ready"]
        try:
            async with self.session.get(
                f"http://{address}/api/ready"
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def _spawn(
        self, name: str, settings: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        """Starts the process of an instance by the command of the deploy file."""
        # As on the platform, `python3` is the one that runs this.
        command = self._deploy["run"].split()
        command[0] = sys.executable
        with (self._directory / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                command,
                cwd=_ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(_ROOT / "target" / "deps"),
                    "SESAMEROAD_SETTINGS": str(settings),
                    **self._deploy["env"],
                },
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """Kills an instance."""
        self._processes[name].kill()
        self._processes[name].wait()
        self.record.add(name, "is killed")

    def paths(self, reader: str | None = None) -> list[Path]:
        """Returns all paths, or those of one instance."""
        return [
            path
            for (name, _), path in self._paths.items()
            if reader in {None, name}
        ]

    def paths_to_instances(self, name: str) -> list[Path]:
        """Returns the paths between an instance and all others."""
        return [
            path
            for (reader, other), path in self._paths.items()
            if name in {reader, other}
            and {reader, other} <= set(self.instances)
        ]

    def paths_between(self, zone: str) -> list[Path]:
        """Returns the paths between a zone and the others, but not to the store."""
        zones = {e.id: e.zone for e in self.executors.values()}
        zones |= {n: fields["zone"] for n, fields in self.instances.items()}
        return [
            path
            for (reader, name), path in self._paths.items()
            if name in zones
            and (zones[reader] == zone) != (zones[name] == zone)
        ]

    async def find_leader(self) -> str:
        """Returns the instance whose metrics show that it gives orders."""
        for name, fields in self.instances.items():
            async with self.session.get(
                f"http://{fields['ip']}:9464/metrics"
            ) as answer:
                text = await answer.text()
            if re.search(
                r"^sesameroad_stewardships(?:{.*})? [1-9]", text, re.M
            ):
                return name
        raise LookupError("no instance leads")

    async def call(
        self,
        method: str,
        instance: str,
        path: str,
        *,
        who: str = "client",
        timeout_s: float = 10.0,
        body: dict[str, Any] | None = None,
        quiet: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request of a client; the status is 0 without an answer."""
        address = self.instances[instance]["listen-addrs"]["front"]
        if not quiet:
            self.record.add(who, f"{method} {path} to {instance}")
        status, content = 0, {}
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers={
                    "Host": HOST,
                    "Timeout-Ms": str(int(timeout_s * 1_000)),
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                content = await answer.json(content_type=None)
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            content = {"error": type(error).__name__}
        if not quiet:
            self.record.add(
                who, f"{method} {path}: {status} {json.dumps(content)}"
            )
        return status, content

    async def submit(
        self, instance: str, key: str, **options: Any
    ) -> tuple[int, dict[str, Any]]:
        """Submits a best-effort job once."""
        return await self.call("POST", instance, PREFIX + key, **options)

    def check_overlaps(self) -> str:
        """Returns how TWICE was broken by two runs of a task at a time, or ""."""
        spans: dict[str, list[tuple[float, float]]] = {}
        for executor in self.executors.values():
            for task, own in executor.spans.items():
                spans.setdefault(task, []).extend(own)
        for task, known in spans.items():
            known.sort()
            for before, after in zip(known, known[1:], strict=False):
                if after[0] < before[1]:
                    overlap_s = min(before[1], after[1]) - after[0]
                    return f"TWICE: two runs of {task} for {overlap_s:.3f} s"
        return ""

    async def serve_others(self, count: int) -> None:
        """Has jobs of other clients run to their ends."""
        names = list(self.instances)
        for number in range(count):
            status, _ = await self.submit(
                names[number % len(names)],
                f"0000000000000{number:03x}",
                body=job(tasks=1, run_s=0.1),
            )
            if status != 200:
                raise RuntimeError(f"a job of another client got {status}")


def job(*, tasks: int, run_s: float, cores: float = 6.8) -> dict[str, Any]:
    """Returns the body of a best-effort job."""
    return {
        "spec": f"{run_s} {cores}",
        "best-effort": True,
        "steps": [
            {
                "count": tasks,
                "cpu": int(cores * 1_000),
                "mem-mb": 64,
                "est-runtime-ms": int(run_s * 1_000),
            }
        ],
    }


def free_port(ip: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def _peer(fields: dict[str, Any]) -> str:
    return f"{fields['ip']}:{fields['port-range'][0]}"


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of settings, as the platform does."""

    def fill(match: re.Match[str]) -> str:
        name, _, form = match.group(1).partition("|")
        value: Any = fields
        for part in name.split("."):
            value = value[int(part) if isinstance(value, list) else part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"{{([^{}]+)}}", fill, template)


def main(play: Callable[[Record], Awaitable[str]]) -> None:
    """Plays a case and exits with its verdict.

    Args:
        play: Plays the case; returns how the rule was broken, "" if it held.
    """
    record = Record(pathlib.Path(sys.argv[0]).parent / "record.txt")
    verdict, code = "", 2
    try:
        verdict = asyncio.run(_play_in_time(play, record))
        code = 1 if verdict else 0
        record.add("verdict", verdict or "the rule held")
    except Exception as error:  # noqa: BLE001  # Whatever kept it from running.
        record.add("verdict", f"the case could not run: {error!r}")
    record.write()
    sys.exit(code)


async def _play_in_time(
    play: Callable[[Record], Awaitable[str]], record: Record
) -> str:
    async with asyncio.timeout(_LONGEST_S):
        return await play(record)
