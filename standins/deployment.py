"""A small deployment on loopback ports, with stand-ins and real instances."""

import asyncio
from collections.abc import Sequence
import itertools
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from typing import Any

import aiohttp
from aiohttp import web
import msgspec

from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import needs
from standins import fleet
from standins import network_paths
from standins import simulated_endpoint
from standins import simulated_endpoint_server
from standins import store

HOST = "nony.example"
PATH_PREFIX = "/jobs/"
_READY_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0
# Time between attempts of an endpoint to write its row while the store is down.
_ROW_RETRY_S = 0.2


class Instance:
    """A `sesameroad serve` process."""

    def __init__(
        self,
        name: str,
        *,
        data_centre: str,
        data_centres: Sequence[str],
        store_port: int,
        directory: pathlib.Path,
        processor_share: float,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peer = f"127.0.0.1:{fleet.free_port()}"
        self.web = f"127.0.0.1:{fleet.free_port()}"
        self.ready = f"127.0.0.1:{fleet.free_port()}"
        self.metrics = f"127.0.0.1:{fleet.free_port()}"
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.json"
        self._settings.write_bytes(
            msgspec.json.encode(
                {
                    "instance_id": name,
                    "data_centre": data_centre,
                    "data_centres": dict.fromkeys(data_centres, "region"),
                    "web": self.web,
                    "ready": self.ready,
                    "peer": self.peer,
                    "metrics": self.metrics,
                    "platform": f"127.0.0.1:{store_port}",
                    "max_lease_ms": 1_000,
                    "processor_share": processor_share,
                }
            )
        )
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "sesameroad.command_line.main",
                    "serve",
                    f"--settings={self._settings}",
                ],
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def wait(self) -> int:
        """Waits until the process has exited and returns its exit code."""
        if self._process is None:
            return 0
        try:
            return self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()


class Deployment:
    """Store and endpoints in this process, instances in separate ones.

    Attributes:
        store: The store.
        history: Runs on all endpoints.
        late_orders: Choice of the orders that endpoints carry out late.
        endpoints: The endpoints.
        instances: The instances.
        paths: Paths from each instance to all others and to all endpoints, if
            these can be cut.
    """

    def __init__(
        self,
        *,
        instance_count: int,
        endpoint_count: int,
        seed: int = 0,
        data_centres: Sequence[str] = ("dc1",),
        can_cut: bool = False,
        processor_share: float = 1.0,
        late_orders: simulated_endpoint_server.LateOrders | None = None,
        history: simulated_endpoint.RunHistory | None = None,
    ) -> None:
        """Creates a deployment that is not started yet.

        Args:
            instance_count: Number of instances.
            endpoint_count: Number of endpoints.
            seed: Seed of the choice of late orders.
            data_centres: Data centres, to which instances and endpoints belong
                in turn.
            can_cut: Whether paths lead through forwarders.
            processor_share: Share of a core that instances count on. With less
                than 1/64 for each endpoint, each data centre has a leader.
            late_orders: Choice of late orders; a new one if None.
            history: Receives the runs on all endpoints; a new one if None.
        """
        self.store = store.Store()
        self.history = history or simulated_endpoint.RunHistory()
        self.endpoints: list[simulated_endpoint.SimulatedEndpoint] = []
        self.instances: list[Instance] = []
        self.late_orders = late_orders or simulated_endpoint_server.LateOrders(
            random.Random(seed)
        )
        self._servers: dict[str, simulated_endpoint_server.EndpointServer] = {}
        self._row_writes: dict[str, asyncio.Task[None]] = {}
        self.paths = network_paths.Paths() if can_cut else None
        self._data_centres = data_centres
        self._processor_share = processor_share
        self._counts = (instance_count, endpoint_count)
        self._runners: list[web.AppRunner] = []
        self._directory = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "Deployment":
        """Starts all parts and waits until all instances are ready."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        instance_count, endpoint_count = self._counts
        for number in range(endpoint_count):
            await self.add_endpoint(f"e{number}", self._data_centre_of(number))
        await self.configure(version=1)
        directory = pathlib.Path(self._directory.name)
        for number in range(instance_count):
            name = f"front-{number}"
            application = self.store.application()
            if self.paths is not None:
                self.paths.replace_addresses(application, reader=name)
            self.instances.append(
                Instance(
                    name,
                    data_centre=self._data_centre_of(number),
                    data_centres=self._data_centres,
                    store_port=await self._serve(application),
                    directory=directory,
                    processor_share=self._processor_share,
                )
            )
        if self.paths is not None:
            await self._open_paths(self.paths)
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await self.wait_ready(instance)

    async def __aexit__(self, *_: object) -> None:
        """Kills the instances and stops the servers."""
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            instance.wait()
        if self.paths is not None:
            await self.paths.close()
        for write in self._row_writes.values():
            write.cancel()
        for server in self._servers.values():
            await server.close()
        for runner in self._runners:
            await runner.cleanup()
        self._directory.cleanup()

    async def configure(
        self,
        *,
        version: int,
        prefix: str = PATH_PREFIX,
        target_latency_ms: int = 200,
    ) -> None:
        """Writes a configuration with one queue."""
        route = {
            "name": "queue",
            "host": HOST,
            "path-prefix": prefix,
            "service": "service",
            "priority": 0,
            "max-attempts": 4,
            "stretch": 1.6,
            "target-latency-ms": target_latency_ms,
        }
        await self.store.put(
            "op", "config", {"version": version, "routes": [route]}
        )

    async def wait_ready(self, instance: Instance) -> None:
        """Waits until an instance reports that it is ready for callers."""
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while True:
                    try:
                        async with session.get(
                            f"http://{instance.ready}/api/ready"
                        ) as answer:
                            if answer.status == 200:  # noqa: PLR2004
                                return
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.05)

    async def add_endpoint(self, name: str, data_centre: str = "dc1") -> None:
        """Starts an endpoint and lists it."""
        endpoint = endpoints.Endpoint(
            id=name,
            url="",
            data_centre=data_centre,
            kinds=("service",),
            offer=needs.Need(16.0, 32_768, 0),
            born_ms=1_000,
        )
        simulated = simulated_endpoint.SimulatedEndpoint(
            endpoint, history=self.history, clock=clocks.Clock()
        )
        self.endpoints.append(simulated)
        server = simulated_endpoint_server.EndpointServer(
            simulated, late_orders=self.late_orders
        )
        self._servers[name] = server
        await server.open(fleet.free_port())
        await self._write_row(name)

    async def restart_endpoint(
        self,
        name: str,
        *,
        down_s: float,
        listed: float | None,
        moves: bool = False,
    ) -> None:
        """Restarts an endpoint under its id, and returns when it is back.

        Args:
            name: Its id.
            down_s: Time for which it cannot be connected to, in seconds.
            listed: Time from its return until it writes its row, in seconds;
                None if the row stays as it is. It is written later if the store
                is down then.
            moves: Whether it comes back at a new address.
        """
        server = self._servers[name]
        port = fleet.free_port() if moves else server.port
        if (write := self._row_writes.pop(name, None)) is not None:
            write.cancel()
        await server.restart(down_s=down_s, port=port)
        if listed is not None:
            self._row_writes[name] = asyncio.create_task(
                self._write_row_after(name, listed)
            )

    def count_starts(self, data_centre: str) -> int:
        """Returns the number of starts on the endpoints of a data centre."""
        return sum(
            simulated.end_count + len(simulated.running)
            for simulated in self.endpoints
            if simulated.endpoint.data_centre == data_centre
        )

    def paths_between(self, first: str, second: str) -> list[tuple[str, str]]:
        """Returns the pairs of members of two data centres with a path."""
        near, far = (
            [i.name for i in self.instances if i.data_centre == data_centre]
            for data_centre in (first, second)
        )
        centres = {
            e.endpoint.id: e.endpoint.data_centre for e in self.endpoints
        }
        return [
            *itertools.product(near, far),
            *(
                (i, e)
                for e, centre in centres.items()
                if centre == second
                for i in near
            ),
            *(
                (i, e)
                for e, centre in centres.items()
                if centre == first
                for i in far
            ),
        ]

    async def remove_endpoint(self, name: str) -> None:
        """Removes an endpoint from the list."""
        await self.store.remove("servers", name)

    async def _write_row_after(self, name: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while self.store.fault is store.Fault.DOWN:  # noqa: ASYNC110
            await asyncio.sleep(_ROW_RETRY_S)
        await self._write_row(name)

    async def _write_row(self, name: str) -> None:
        server = self._servers[name]
        await self.store.put(
            "servers",
            name,
            _endpoint_row(server.port, server.simulated.endpoint),
        )

    async def _open_paths(self, paths: network_paths.Paths) -> None:
        """Opens the paths from each instance to all others and to endpoints."""
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    await paths.open(instance.name, other.name, other.peer)
            for name, server in self._servers.items():
                await paths.open(
                    instance.name, name, f"127.0.0.1:{server.port}"
                )

    def _data_centre_of(self, number: int) -> str:
        return self._data_centres[number % len(self._data_centres)]

    async def _serve(self, application: web.Application) -> int:
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        port = fleet.free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return port


def _endpoint_row(port: int, endpoint: endpoints.Endpoint) -> dict[str, Any]:
    return {
        "service": "service",
        "address": f"127.0.0.1:{port}",
        "zone": endpoint.data_centre,
        "state": "ready",
        "slots": 8,
        "born": endpoint.born_ms,
        "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
        "labels": ["a", "r1"],
    }
