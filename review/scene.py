"""A small deployment for the scripts of the second review.

Instances are processes, started with the command and the settings template of
the deploy file. The store and the endpoints are the project's stand-ins.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import json
import logging
import os
import pathlib
import random
import re
import shlex
import signal
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

from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import needs
from standins import fleet
from standins import network_paths
from standins import simulated_endpoint
from standins import simulated_endpoint_server
from standins import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "service-a"
ZONES = ("zone-a", "zone-b", "zone-c")
# A case; it returns the exit code of its script.
Play = Callable[[pathlib.Path], Awaitable[int]]
HELD = 0
BROKEN = 1
FAILED_TO_RUN = 2
# Bounds of the site that the claims name.
CANCEL_S = 3.0
DRAIN_S = 2.0
CONTACT_S = 3.0
# Time that the store takes for an answer there.
_STORE_S = 0.004
# Share of a core that a machine has there.
_CPU_SHARE = 0.537
_OK = 200
_READY_S = 30.0
_STOP_S = 10.0
_LOST = 0
# Line in the log of an instance before the lines of each start.
_START_MARK = "started by the script"


def trouble() -> bool:
    """Returns whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, written to the folder of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Time since the start of the script, in seconds."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Adds a line with its time."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class History(simulated_endpoint.RunHistory):
    """Starts and ends of runs, with their times.

    Attributes:
        started: Time, task and endpoint of each start.
        overlaps: The same of each start beside another run of its task.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.started = []
        self.overlaps = []

    def begin(self, task: str, endpoint_id: str) -> None:
        """Records a start."""
        entry = (self._record.now, task, endpoint_id)
        beside = list(self.running.get(task, ()))
        if beside:
            self.overlaps.append(entry)
        self.started.append(entry)
        note = f" BESIDE {beside}" if beside else ""
        self._record.add(f"run of {task} starts on {endpoint_id}{note}")
        super().begin(task, endpoint_id)

    def end(self, task: str, endpoint_id: str) -> None:
        """Records an end."""
        self._record.add(f"run of {task} ends on {endpoint_id}")
        super().end(task, endpoint_id)


class Instance:
    """One machine with one process of the role in the deploy file."""

    def __init__(
        self,
        number: int,
        *,
        store_address: str,
        directory: pathlib.Path,
        record: Record,
    ) -> None:
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = _free_ip()
        self._record = record
        self._log_path = directory / f"{self.name}.log"
        self._settings = directory / f"{self.name}.json"
        fields = {
            "node-name": self.name,
            "zone": self.zone,
            "zones": dict.fromkeys(ZONES, "region"),
            "listen-addrs.front": f"{self.ip}:{fleet.free_port()}",
            "listen-addrs.ready": f"{self.ip}:{fleet.free_port()}",
            "ip": self.ip,
            "port-range.0": str(fleet.free_port()),
            "platform.address": store_address,
            "limits.cpu-share": _CPU_SHARE,
            "bounds.max-hold-ms": 1000,
        }
        self.front = fields["listen-addrs.front"]
        self.peer = f"{self.ip}:{fields['port-range.0']}"
        self.ready = fields["listen-addrs.ready"]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()

        def fill(match: re.Match[str]) -> str:
            name, _, form = match[1].partition("|")
            value = fields[name]
            return json.dumps(value) if form == "json" else str(value)

        self._settings.write_text(re.sub(r"\{\{(.*?)\}\}", fill, template))
        program, *arguments = shlex.split(role["run"])
        self._command = [
            sys.executable if program == "python3" else program,
            *arguments,
        ]
        self._environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            **role["env"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SESAMEROAD_SETTINGS": str(self._settings),
        }
        self._process = None

    def start(self) -> None:
        """Starts the process."""
        self._record.add(f"{self.name} is started")
        with self._log_path.open("a") as log:
            log.write(f"{_START_MARK}\n")
            log.flush()
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self._record.add(f"{self.name} gets {signal.Signals(number).name}")
        self._process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(_STOP_S)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def led(self) -> set[str]:
        """The zones whose endpoints it leads, by its log."""
        if not self.running:
            return set()
        led = set()
        for text in self._log_path.read_text(errors="replace").splitlines():
            if text == _START_MARK:
                led.clear()
            if '"stewardship ' not in text:
                continue
            line = json.loads(text)
            if "claimed" in line["message"]:
                led.add(line["steward_of"])
            else:
                led.discard(line["steward_of"])
        return led


class Scene:
    """Store, endpoints and instances, and a client."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        instance_count: int = 3,
        endpoint_count: int = 6,
        can_cut: bool = False,
    ) -> None:
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.history = History(self.record)
        self.store = store.Store(write_s=0.0)
        self.endpoints = {}
        self.servers = {}
        self.instances = []
        self.late_orders = simulated_endpoint_server.LateOrders(
            random.Random(1)
        )
        self.answers = []
        # Time at which each instance has last read the list of endpoints.
        self.list_reads = {}
        self._counts = (instance_count, endpoint_count)
        self._numbers = itertools.count()
        self._directory = tempfile.TemporaryDirectory()
        self._runners = []
        self.session: aiohttp.ClientSession | None = None
        # Paths between instances and to endpoints, if they can be cut.
        self._paths = network_paths.Paths() if can_cut else None
        # Instances that don't reach the store until the cut ends.
        self._without_store: set[str] = set()
        self._restored = asyncio.Event()

    async def __aenter__(self) -> Self:
        try:
            await self._open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _open(self) -> None:
        instance_count, endpoint_count = self._counts
        await self._configure()
        for _ in range(endpoint_count):
            await self.add_endpoint()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        for number in range(instance_count):
            self.instances.append(
                Instance(
                    number,
                    store_address=await self._serve_store(f"front-{number}"),
                    directory=pathlib.Path(self._directory.name),
                    record=self.record,
                )
            )
        if self._paths is not None:
            await self._open_paths(self._paths)
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)

    async def __aexit__(self, *_: object) -> None:
        for instance in self.instances:
            instance.end()
        if self.session is not None:
            await self.session.close()
        self._restored.set()
        if self._paths is not None:
            await self._paths.close()
        for server in self.servers.values():
            await server.close()
        for runner in self._runners:
            await runner.cleanup()
        self._directory.cleanup()

    async def _serve_store(self, reader: str) -> str:
        """Serves the store to one instance, and returns the address."""

        @web.middleware
        async def answer(
            request: web.Request, handler: Any
        ) -> web.StreamResponse:
            await asyncio.sleep(_STORE_S)
            if reader in self._without_store:
                await self._restored.wait()
            response = await handler(request)
            if request.query.get("table") == "servers":
                self.list_reads[reader] = self.record.now
            return response

        application = self.store.application()
        if self._paths is not None:
            self._paths.replace_addresses(application, reader=reader)
        application.middlewares.append(answer)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        port = fleet.free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"

    async def _configure(self) -> None:
        await self.store.put(
            "op",
            "config",
            {
                "version": 3,
                "routes": [
                    {
                        "name": "lohu930",
                        "host": HOST,
                        "path-prefix": PREFIX,
                        "service": SERVICE,
                        "priority": 1,
                        "max-attempts": 4,
                        "stretch": 1.6,
                        "target-latency-ms": 100,
                    }
                ],
                "services": [{"name": SERVICE, "rejects-overload": True}],
            },
        )

    def make_server(
        self, simulated: simulated_endpoint.SimulatedEndpoint
    ) -> simulated_endpoint_server.EndpointServer:
        """Returns the HTTP server of an endpoint."""
        return simulated_endpoint_server.EndpointServer(
            simulated, late_orders=self.late_orders
        )

    async def add_endpoint(self) -> None:
        """Starts an endpoint and lists it."""
        number = next(self._numbers)
        name = f"e{number:03}"
        simulated = simulated_endpoint.SimulatedEndpoint(
            endpoints.Endpoint(
                id=name,
                url="",
                data_centre=ZONES[number % len(ZONES)],
                kinds=(SERVICE,),
                offer=needs.Need(16.0, 32_768, 0),
                born_ms=int(time.time() * 1_000),
            ),
            history=self.history,
            clock=clocks.Clock(),
        )
        server = self.make_server(simulated)
        self.endpoints[name] = simulated
        self.servers[name] = server
        await server.open(fleet.free_port())
        await self.write_row(name)

    async def remove_endpoint(self, name: str) -> None:
        """Ends an endpoint that has left."""
        await self.store.remove("servers", name)
        await self.servers.pop(name).close()
        self.endpoints.pop(name)

    async def cut_zone(self, zone: str) -> None:
        """Cuts a zone off from the others and from the store."""
        near = {i.name for i in self.instances if i.zone == zone}
        far = {i.name for i in self.instances if i.zone != zone}
        self._without_store |= near
        for name, simulated in self.endpoints.items():
            is_near = simulated.endpoint.data_centre == zone
            (near if is_near else far).add(name)
        self.record.add(f"{zone} is cut off")
        await self._paths.cut(itertools.product(near, far), reset=False)

    async def end_cut(self) -> None:
        """Restores all paths."""
        self.record.add("the cut ends")
        self._without_store.clear()
        self._restored.set()
        await self._paths.restore()

    async def _open_paths(self, paths: network_paths.Paths) -> None:
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    await paths.open(instance.name, other.name, other.peer)
            for name, server in self.servers.items():
                await paths.open(
                    instance.name, name, f"127.0.0.1:{server.port}"
                )

    async def write_row(self, name: str, *, state: str = "ready") -> None:
        """Writes the row of an endpoint, as the endpoint does."""
        simulated = self.endpoints[name]
        row = {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.servers[name].port}",
            "zone": simulated.endpoint.data_centre,
            "version": "1",
            "state": state,
            "slots": 8,
            "cold-remaining-ms": 0,
            "seq": int(time.time() * 1_000),
            "born": simulated.endpoint.born_ms,
            "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
            "labels": ["a", f"r{name}"],
        }
        if state == "draining":
            row["remaining-ms"] = int(DRAIN_S * 1_000)
        await self.store.put("servers", name, row)

    async def wait_ready(self, instance: Instance) -> None:
        """Waits until an instance reports that it is ready."""
        async with asyncio.timeout(_READY_S):
            while True:
                try:
                    async with self.session.get(
                        f"http://{instance.ready}/api/ready"
                    ) as answer:
                        if answer.status == _OK:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def find_leader(self) -> Instance:
        """Returns the instance that leads the endpoints of all zones."""
        async with asyncio.timeout(_READY_S):
            while True:
                for instance in self.instances:
                    if instance.led == set(ZONES):
                        return instance
                await asyncio.sleep(0.05)

    async def call(
        self,
        method: str,
        instance: Instance,
        key: str,
        *,
        body: Any = None,
        timeout_s: float = 6.0,
        quiet: bool = False,
    ) -> int:
        """Sends a request for a job; returns the status, 0 for no answer."""
        sent_at = self.record.now
        if not quiet:
            self.record.add(f"client: {method} {key} to {instance.name}")
        text = ""
        try:
            async with self.session.request(
                method,
                f"http://{instance.front}{PREFIX}{key}",
                json=body,
                headers={
                    "Host": HOST,
                    "Timeout-Ms": str(int(timeout_s * 1_000)),
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                text = await answer.text()
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status, text = _LOST, type(error).__name__
        if not quiet:
            self.record.add(
                f"client: {method} {key} to {instance.name}:"
                f" {status} {text} after {self.record.now - sent_at:.3f} s"
            )
        self.answers.append((self.record.now, method, key, status))
        return status


def job(*, count: int, run_s: float, cores: float = 6.8) -> dict[str, Any]:
    """Returns the body of a job of best effort."""
    return {
        "spec": f"{run_s}/{cores}",
        "steps": [
            {
                "count": count,
                "cpu": int(cores * 1_000),
                "mem-mb": 64,
                "est-runtime-ms": int(run_s * 1_000),
            }
        ],
        "best-effort": True,
    }


def run(folder: pathlib.Path, play: Play) -> None:
    """Plays a case and exits with its result."""
    # Calls whose caller was killed or cut off are no errors here.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    try:
        result = asyncio.run(_play(folder, play))
    except (asyncio.CancelledError, Exception) as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        result = FAILED_TO_RUN
    sys.exit(result)


async def _play(folder: pathlib.Path, play: Play) -> int:
    # Processes and servers are ended also if the script is terminated.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(115):
        return await play(folder)


def _free_ip() -> str:
    """Returns a loopback address on which the port of the metrics is free."""
    while True:
        ip = f"127.{os.urandom(1)[0] % 200 + 20}.{os.urandom(1)[0]}.7"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
            return ip
