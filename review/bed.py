"""A small deployment for the review: real entries, small stand-ins around them.

The entries are started with the command and the template of the deploy file. The
store is the project's own stand-in; executors are stand-ins of this module, which do
what PROTOCOL.md says of a sound executor. All events go into a record.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import aiohttp
from aiohttp import web

from standins import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "service-a"
# Bounds of the small deployments: sites/bloquemart-co.toml.
GRACE_S = 6.0
DRAIN_S = 2.0
CANCEL_S = 3.0
ACK_TIMEOUT_S = 4.0
STOP_S = 0.05
MAX_HOLD_S = 1.0
CONTACT_S = 3.0
_BEAT_S = 1.5
_READY_TIMEOUT_S = 30.0
_CASE_TIMEOUT_S = 110.0
_CLOSE_TIMEOUT_S = 4.0
_STOP_TAKES_S = 0.02
_OK = 200
_CONFLICT = 409
_MISDIRECTED = 421
_HELD = 0
_BROKEN = 1
_NOT_RUN = 2


class Record:
    """What was sent, answered and run, in the order of its time."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Adds a line with the present time."""
        self.lines.append(f"{self.now():8.3f} {text}")


def task_text(run_s: float, cpu: int) -> str:
    """Returns the text of a job whose tasks run for a time on some cpu."""
    return json.dumps({"run-s": run_s, "cpu": cpu})


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A run on an executor."""

    task: str
    number: int
    cpu: int
    run_s: float
    began_at: float
    timer: asyncio.TimerHandle | None = None

    def percent(self) -> int:
        """Returns the progress of the run."""
        share = (time.monotonic() - self.began_at) / max(self.run_s, 0.001)
        return min(99, int(share * 100))


@dataclasses.dataclass(slots=True)
class Start:
    """A start that an executor has carried out.

    Attributes:
        at: Time of the start.
        executor: Its executor.
        task: Its task.
        run: Number of the run.
        holds_answered: Holds that this life of the executor had answered before.
    """

    at: float
    executor: str
    task: str
    run: int
    holds_answered: int


class Executor:
    """An executor that runs tasks under a lease.

    Attributes:
        id: Its id.
        address: Its host and port once it listens.
        cpu: Its capacity in thousandths of a core.
        labels: Its kind and its rack.
        born_ms: Unix millisecond of its start.
        starts: All starts that it has carried out.
        running: Runs that have not ended, by task.
        holds_answered: Holds that this life of it has answered.
        holds_up_next_start: Whether the next start is held up on its way.
        held_up: Starts that are held up, with the times of their arrival.
    """

    def __init__(
        self,
        bed: "Bed",
        id_: str,
        *,
        cpu: int,
        labels: tuple[str, ...],
        zone: str,
    ) -> None:
        self.id = id_
        self.zone = zone
        self.cpu = cpu
        self.labels = labels
        self.address = ""
        self.born_ms = 0
        self.starts: list[Start] = []
        self.running: dict[str, Run] = {}
        self.holds_answered = 0
        self.holds_up_next_start = False
        self.held_up: list[tuple[float, dict[str, Any]]] = []
        self._bed = bed
        self._state = "ready"
        self._seq = 0
        self._token = 0
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._barred: dict[str, int] = {}
        self._clock_began_at = 0.0
        self._lease_until_ms = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self, port: int) -> None:
        """Begins a life of the executor and lists it in the store."""
        self.running.clear()
        self._token = 0
        self._ended.clear()
        self._end_count = 0
        self._barred.clear()
        self._seq = 0
        self._state = "ready"
        self._lease_until_ms = 0.0
        self._clock_began_at = time.monotonic()
        self.born_ms = time.time_ns() // 1_000_000
        self.holds_answered = 0
        application = web.Application()
        application.add_routes(
            [
                web.post("/api/run-start", self._handle_start),
                web.post("/api/run-stop", self._handle_stop),
                web.post("/api/hold", self._handle_hold),
            ]
        )
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        host = self._bed.executor_host
        self.address = f"{host}:{port}"
        await self._write_entry()
        await web.TCPSite(self._runner, host, port).start()
        self._bed.record.add(
            f"executor {self.id} is up and listed: cpu {self.cpu}, labels"
            f" {','.join(self.labels)}, born {self.born_ms}"
        )
        self._beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """Ends this life of the executor without a word."""
        self._bed.record.add(f"executor {self.id} crashes")
        if self._beats is not None:
            self._beats.cancel()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        self.running.clear()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        if self._runner is not None:
            server = self._runner.server
            for connection in server.connections if server is not None else ():
                if connection.transport is not None:
                    connection.transport.abort()
            await self._runner.cleanup()

    async def close(self) -> None:
        """Ends the executor at the end of the script."""
        if self._beats is not None:
            self._beats.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self) -> float:
        """Reports that it drains; returns when the store accepted that."""
        self._state = "draining"
        await self._write_entry()
        self._bed.record.add(
            f"executor {self.id} is draining, and the store has accepted that"
        )
        return self._bed.record.now()

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((time.monotonic() - self._clock_began_at) * 1_000) + 1

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_BEAT_S)
            await self._write_entry()

    async def _write_entry(self) -> None:
        self._seq += 1
        entry: dict[str, Any] = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self._state,
            "seq": self._seq,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem-mb": 32_768},
            "labels": list(self.labels),
        }
        if self._state == "draining":
            entry["remaining-ms"] = 20_000
        await self._bed.store.put("servers", self.id, entry)

    # Orders.

    async def _read(self, request: web.Request) -> dict[str, Any] | None:
        if request.headers.get("Target-Instance", self.id) != self.id:
            return None
        return await request.json()

    def _answer(self, status: int = _OK, **fields: Any) -> web.Response:
        body = {"clock-ms": self.clock_ms, "born": self.born_ms} | fields
        return web.json_response(body, status=status)

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        token = body.get("fencing-token", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    async def _handle_start(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        if body is None:
            return web.json_response({}, status=_MISDIRECTED)
        if self.holds_up_next_start:
            self.holds_up_next_start = False
            self.held_up.append((self._bed.record.now(), body))
            self._bed.record.add(
                f"the start of {body['task']} run {body['run']} on {self.id}"
                " is held up and gets no answer"
            )
            while request.transport is not None:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            return web.Response()
        return self._carry_out_start(body)

    def carry_out_held_up(self) -> float:
        """Carries out the first start that was held up, in its present life.

        Returns:
            How late it is, in seconds.
        """
        sent_at, body = self.held_up.pop(0)
        late_s = self._bed.record.now() - sent_at
        self._bed.record.add(
            f"the start of {body['task']} run {body['run']} arrives at"
            f" {self.id}, {late_s:.3f} s late"
        )
        response = self._carry_out_start(body)
        self._bed.record.add(f"its status there is {response.status}")
        return late_s

    def _carry_out_start(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        if self._is_fenced(body):
            return self._answer(_CONFLICT, reason="fence")
        if body["deadline-ms"] <= self.clock_ms:
            return self._answer(_CONFLICT, reason="late")
        self._extend(body["deadline-ms"])
        current = self.running.get(task)
        if current is not None and current.number == number:
            return self._answer()
        if current is not None or number <= self._barred.get(task, 0):
            return self._answer(_CONFLICT, reason="old")
        text = json.loads(body["spec"])
        used = sum(run.cpu for run in self.running.values())
        if used + text["cpu"] > self.cpu:
            return self._answer(_CONFLICT, reason="room")
        run = Run(task, number, text["cpu"], text["run-s"], time.monotonic())
        run.timer = asyncio.get_running_loop().call_later(
            run.run_s, self._end, run, "done"
        )
        self.running[task] = run
        for other in self._bed.executors:
            if other is not self and task in other.running:
                self._bed.twice.append(
                    f"{task} runs on {other.id} as run"
                    f" {other.running[task].number} and is started on"
                    f" {self.id} as run {number}"
                )
                self._bed.record.add(f"TWICE: {self._bed.twice[-1]}")
        self.starts.append(
            Start(
                self._bed.record.now(),
                self.id,
                task,
                number,
                self.holds_answered,
            )
        )
        self._bed.record.add(
            f"executor {self.id} starts {task} run {number}; cpu in use"
            f" {used + run.cpu} of {self.cpu}"
        )
        return self._answer()

    async def _handle_stop(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        if body is None:
            return web.json_response({}, status=_MISDIRECTED)
        if self._is_fenced(body):
            return self._answer(_CONFLICT, reason="fence")
        task, number = body["task"], body["run"]
        self._barred[task] = max(number, self._barred.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                _STOP_TAKES_S, self._end, run, "stopped"
            )
        return self._answer()

    async def _handle_hold(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        if body is None:
            return web.json_response({}, status=_MISDIRECTED)
        if self._is_fenced(body):
            return self._answer(_CONFLICT, reason="fence")
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        seen = body["seen-upto"]
        self._ended = [end for end in self._ended if end[0] > seen]
        wait_s = min(body.get("wait-ms", 0), 2_000) / 1_000
        if wait_s and not self._ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent(), run.cpu]
            for run in self.running.values()
        ]
        self.holds_answered += 1
        if self.holds_answered == 1:
            self._bed.record.add(
                f"executor {self.id} answers its first hold, with born"
                f" {self.born_ms}"
            )
        return self._answer(running=running, ended=self._ended[:500])

    def _extend(self, until_ms: float) -> None:
        limit = self.clock_ms + MAX_HOLD_S * 1_000
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, limit))
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_s = (self._lease_until_ms - self.clock_ms) / 1_000
        self._lease_timer = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._lapse
        )

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ""])
        self._bed.record.add(
            f"executor {self.id}: {run.task} run {run.number} ends {how}"
        )
        self._changed.set()


class Entry:
    """A process of the role in the deploy file."""

    def __init__(self, bed: "Bed", number: int, zone: str) -> None:
        self.name = f"front-{zone}-{number}"
        self._zone = zone
        self.ip = f"{bed.network}.{number}"
        self.front = f"{self.ip}:8161"
        self._ready = f"{self.ip}:8167"
        self._bed = bed
        self._process: subprocess.Popen[bytes] | None = None
        self._log = bed.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self, *, cpu_share: float) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "node-name": self.name,
            "zone": self._zone,
            "zones": dict.fromkeys(self._bed.zones, "region-a"),
            "ip": self.ip,
            "listen-addrs.front": self.front,
            "listen-addrs.ready": self._ready,
            "port-range.0": 7720,
            "platform.address": self._bed.store_address,
            "limits.cpu-share": cpu_share,
            "bounds.max-hold-ms": int(MAX_HOLD_S * 1_000),
        }
        settings = self._bed.folder / f"{self.name}.settings"
        settings.write_text(
            _fill((ROOT / role["template"]).read_text(), fields)
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SESAMEROAD_SETTINGS": str(settings),
            **role["env"],
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._bed.record.add(f"entry {self.name} is started")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process has not ended."""
        if self._process is not None and self.running:
            self._bed.record.add(f"entry {self.name} gets {number.name}")
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def stop(self) -> None:
        """Stops the process as the platform does: SIGTERM, later SIGKILL."""
        self.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while self.running and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if self.running:
            self.send_signal(signal.SIGKILL)
        assert self._process is not None
        code = await asyncio.to_thread(self._process.wait)
        self._bed.record.add(f"entry {self.name} has ended with {code}")

    async def wait_ready(self) -> None:
        """Waits until the readiness check succeeds."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self._is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self._bed.record.add(f"entry {self.name} is ready")

    async def _is_ready(self) -> bool:
        url = f"http://{self._ready}/api/ready"
        try:
            async with self._bed.session.get(url) as answer:
                return answer.status == _OK
        except aiohttp.ClientError:
            return False

    @property
    def leads(self) -> bool:
        """Whether its log shows that it leads now."""
        claimed = False
        for line in self._log.read_text().splitlines():
            if "stewardship claimed" in line:
                claimed = True
            elif "stewardship resigned" in line:
                claimed = False
        return claimed


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client has got: a status, or 0 if the connection broke."""

    at: float
    status: int
    text: str


class Bed:
    """Store, executors and entries on loopback addresses.

    Attributes:
        record: What happens.
        store: The platform's store.
        executors: The executors.
        entries: The entries.
        zones: Names of the zones.
        twice: Tasks that were started while another run of them had not ended.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.zones: tuple[str, ...] = ("zone-a",)
        self.record = Record()
        self.store = store.Store()
        self.store_address = ""
        self.executors: list[Executor] = []
        self.entries: list[Entry] = []
        self.twice: list[str] = []
        # Entries have fixed ports, so each script has addresses of its own.
        self.network = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.executor_host = f"{self.network}.100"
        self._port = random.randint(20_000, 30_000)
        self._runner: web.AppRunner | None = None
        self.session = aiohttp.ClientSession()

    async def open(self) -> None:
        """Starts the store."""
        self._runner = web.AppRunner(
            self.store.application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        host, port = f"{self.network}.101", self.next_port()
        await web.TCPSite(self._runner, host, port).start()
        self.store_address = f"{host}:{port}"

    async def close(self) -> None:
        """Ends everything that was started."""
        for entry in self.entries:
            entry.kill()
        await self.session.close()
        for executor in self.executors:
            await executor.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def next_port(self) -> int:
        """Returns a port that is free on the addresses of this script."""
        self._port += 1
        return self._port

    async def configure(self, *, rejects_overload: bool = True) -> None:
        """Writes the configuration, as the operator does."""
        await self.store.put(
            "op",
            "config",
            {
                "version": 3,
                "routes": [
                    {
                        "name": "queue-a",
                        "host": HOST,
                        "path-prefix": PREFIX,
                        "service": SERVICE,
                        "priority": 0,
                        "max-attempts": 4,
                        "stretch": 1.6,
                        "target-latency-ms": 200,
                        "timeout-ms": 90_000,
                    }
                ],
                "services": [
                    {"name": SERVICE, "rejects-overload": rejects_overload}
                ],
                "limits": {"max-body-bytes": 262_144},
            },
        )
        self.record.add("the operator's configuration is acknowledged")

    async def add_executor(
        self,
        id_: str,
        *,
        cpu: int = 16_000,
        labels: tuple[str, ...] = ("a", "r1-1"),
        zone: str = "zone-a",
    ) -> Executor:
        """Starts an executor."""
        executor = Executor(self, id_, cpu=cpu, labels=labels, zone=zone)
        self.executors.append(executor)
        await executor.start(self.next_port())
        return executor

    async def start_entries(
        self, count: int, *, cpu_share: float = 1.0
    ) -> list[Entry]:
        """Starts entries and waits until they are ready and one leads.

        Args:
            count: Their number; they go to the zones by turns.
            cpu_share: Share of a core that the settings name.
        """
        for number in range(1, count + 1):
            zone = self.zones[(number - 1) % len(self.zones)]
            entry = Entry(self, number, zone)
            self.entries.append(entry)
            entry.start(cpu_share=cpu_share)
        for entry in self.entries:
            await entry.wait_ready()
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not self._has_leader():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        # A machine is in touch once its start lies this far back.
        await asyncio.sleep(CONTACT_S + 0.5)
        self.record.add("all entries are in touch")
        return self.entries

    def _has_leader(self) -> bool:
        return any(entry.leads for entry in self.entries)

    async def call(
        self,
        method: str,
        entry: Entry,
        key: str,
        *,
        timeout_s: float,
        body: dict[str, Any] | None = None,
    ) -> Answer:
        """Makes a call as a client does, on a connection of its own."""
        self.record.add(f"client sends {method} {key} to {entry.name}")
        headers = {
            "Host": HOST,
            "Timeout-Ms": str(int(timeout_s * 1_000)),
            "Content-Type": "application/json",
        }
        status, text = 0, ""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method,
                    f"http://{entry.front}{PREFIX}{key}",
                    data=None if body is None else json.dumps(body),
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=timeout_s + 5),
                ) as response,
            ):
                status, text = response.status, await response.text()
        except aiohttp.ClientError as error:
            status, text = 0, f"{type(error).__name__}: {error}"
        except TimeoutError:
            status, text = 0, "no answer in time"
        shown = f"{status} {text}" if status else f"no answer ({text})"
        self.record.add(f"client gets for {method} {key}: {shown}")
        return Answer(self.record.now(), status, text)

    async def submit(
        self,
        entry: Entry,
        key: str,
        *,
        count: int,
        cpu: int,
        run_s: float,
        timeout_s: float,
        **step: Any,
    ) -> Answer:
        """Hands in a best-effort job of one step and waits for its answer."""
        body = {
            "spec": task_text(run_s, cpu),
            "best-effort": True,
            "steps": [
                {
                    "count": count,
                    "cpu": cpu,
                    "mem-mb": 1,
                    "est-runtime-ms": int(run_s * 1_000),
                    **step,
                }
            ],
        }
        return await self.call(
            "POST", entry, key, timeout_s=timeout_s, body=body
        )


def new_key() -> str:
    """Returns the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of settings."""

    def value(match: re.Match[str]) -> str:
        found = fields[match[1]]
        if match[2]:
            return json.dumps(found)
        return str(found)

    return re.sub(r"\{\{([a-z0-9.-]+)(\|json)?\}\}", value, template)


Case = Callable[[Bed, bool], Awaitable[list[str]]]


async def _play(case: Case, folder: pathlib.Path) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the script early still has its processes ended.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as temporary:
        bed = Bed(pathlib.Path(temporary))
        code = _NOT_RUN
        try:
            async with asyncio.timeout(_CASE_TIMEOUT_S):
                await bed.open()
                broken = await case(bed, trouble)
            for line in broken:
                bed.record.add(f"BROKEN: {line}")
            if not broken:
                bed.record.add("the rule held")
            code = _BROKEN if broken else _HELD
        except asyncio.CancelledError:
            bed.record.add("the script was ended early")
        except Exception as error:  # noqa: BLE001
            bed.record.add(f"the case could not run: {error!r}")
        finally:
            await _close(bed)
            (folder / "record.txt").write_text(
                "\n".join(bed.record.lines) + "\n"
            )
    print(bed.record.lines[-1])
    return code


async def _close(bed: Bed) -> None:
    """Ends the processes first; the stand-ins end with this one at the latest."""
    try:
        async with asyncio.timeout(_CLOSE_TIMEOUT_S):
            await bed.close()
    except TimeoutError:
        bed.record.add("a stand-in did not close in time")


def main(case: Case, file: str) -> None:
    """Plays a case and exits with 1 if the rule was broken, else 0 or 2."""
    folder = pathlib.Path(file).resolve().parent
    sys.exit(asyncio.run(_play(case, folder)))
