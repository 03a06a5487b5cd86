"""Starts a small fleet of separate processes on loopback ports."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import IO
from typing import Self

import aiohttp
import msgspec

from sesameroad.configuration import document
from sesameroad.membership import listing as listing_module
from sesameroad.model import endpoints
from sesameroad.model import instances
from sesameroad.settings import settings as settings_module
from standins import forwarder as forwarder_module

_HOST = "127.0.0.1"
# Below the ephemeral port range, from which Linux takes the local ports of
# outgoing connections.
_PORT_RANGE = (10_000, 32_000)
_returned_ports: set[int] = set()
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 40.0
_POLL_S = 0.05
_LOG_TAIL_CHARACTERS = 5_000
KEY_SECRET = "stand-in secret of the fleet"
PRODUCT_TOKEN = "product-manager-token"
OPERATIONS_TOKEN = "operations-lead-token"


def free_port() -> int:
    """Returns a port that is not in use and was not returned before.

    Ports of the ephemeral range are avoided: an outgoing connection of another
    process could take one before the caller listens on it.
    """
    while True:
        port = random.randrange(*_PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((_HOST, port))
            if port not in _returned_ports:
                _returned_ports.add(port)
                return port


def default_document() -> document.Document:
    """Returns a configuration with three kinds and two teams."""
    return document.Document(
        product=document.Product(
            kinds={
                "checkout": document.Kind(urgency=0, share=2.0, target_ms=500),
                "lookup": document.Kind(urgency=1, share=2.0, target_ms=500),
                "appraisal": document.Kind(
                    urgency=2, share=1.0, target_ms=60_000
                ),
            }
        ),
        operations=document.Operations(
            team_quotas={"storefront": 200, "estates": 200}
        ),
    )


@dataclasses.dataclass(slots=True)
class Process:
    """A process of the fleet."""

    name: str
    url: str
    popen: subprocess.Popen[bytes]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> int:
        """Stops the process gracefully and returns its exit code."""
        self.popen.terminate()
        return self.popen.wait(_STOP_TIMEOUT_S)


class Fleet:
    """Entries and stand-ins of the platform and of endpoints."""

    def __init__(self, directory: pathlib.Path, log: IO[bytes]) -> None:
        self._directory = directory
        self._log = log
        self.platform: Process
        self.platform_url = ""
        self.entries: dict[str, Process] = {}
        self.endpoints: dict[str, Process] = {}
        self.settings: dict[str, settings_module.Settings] = {}
        self.listing = listing_module.Listing(version=1)
        self.peer_forwarders: dict[str, forwarder_module.Forwarder] = {}
        self.platform_forwarders: dict[str, forwarder_module.Forwarder] = {}

    @classmethod
    @contextlib.asynccontextmanager
    async def open(
        cls,
        *,
        data_centres: int = 3,
        entries_each: int = 1,
        endpoints_each: int = 2,
        content: document.Document | None = None,
        timing: settings_module.Timing | None = None,
        use_forwarders: bool = False,
    ) -> "contextlib.AsyncIterator[Self]":  # type: ignore[name-defined]
        """Starts a fleet and stops all its processes on exit.

        Args:
            data_centres: Number of data centres.
            entries_each: Number of entries in each data centre.
            endpoints_each: Number of endpoints in each data centre.
            content: Fallback configuration of the entries.
            timing: Periods and timeouts of the entries.
            use_forwarders: Whether peers reach each entry, and each entry the
                platform, through a forwarder that can inject faults.
        """
        with contextlib.ExitStack() as stack:
            path = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            log = stack.enter_context(open(path / "log.jsonl", "ab"))
            fleet = cls(path, log)
            stack.callback(fleet._kill_all)
            fleet._configure(
                data_centres,
                entries_each,
                endpoints_each,
                content or default_document(),
                timing or settings_module.Timing(),
            )
            if use_forwarders:
                await fleet._open_forwarders()
            await fleet._start_platform()
            for endpoint in fleet.listing.endpoints:
                fleet._start_endpoint(endpoint)
            for name in fleet.settings:
                fleet.start_entry(name)
            try:
                await fleet.wait_ready(fleet.entries)
                await fleet.wait_endpoints()
            except TimeoutError:
                print(fleet.log_path.read_text()[-_LOG_TAIL_CHARACTERS:])
                raise
            yield fleet
            for forwarder in (
                *fleet.peer_forwarders.values(),
                *fleet.platform_forwarders.values(),
            ):
                await forwarder.close()

    @property
    def log_path(self) -> pathlib.Path:
        """File with the JSON log lines of all entries."""
        return self._directory / "log.jsonl"

    def start_entry(self, name: str) -> Process:
        """Starts an entry, or restarts it if it was stopped."""
        settings = self.settings[name]
        path = self._directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        process = self._spawn(
            name,
            ["sesameroad", "entry", f"--settings={path}"],
            f"http://{settings.web.host}:{settings.web.port}",
        )
        self.entries[name] = process
        return process

    async def wait_ready(self, names: "list[str] | dict[str, Process]") -> None:
        """Waits until entries report that they are ready."""
        async with aiohttp.ClientSession() as session:
            for name in names:
                await _wait_ready(session, self.entries[name].url)

    async def wait_endpoints(self) -> None:
        """Waits until all endpoints answer.

        Entries refuse work before that.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.starts()
                    return
                await asyncio.sleep(_POLL_S)

    async def wait_linked(self) -> None:
        """Waits until each entry can query all others for their keys."""
        async with (
            asyncio.timeout(_START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            for issuer in self.entries.values():
                async with session.post(f"{issuer.url}/v1/keys") as answer:
                    key = (await answer.json())["keys"][0]
                for entry in self.entries.values():
                    await _wait_linked(session, entry.url, key)

    async def control(self, process: Process, path: str, body: bytes) -> None:
        """Sends a request to the control interface of a stand-in."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{process.url}/control/{path}", data=body) as answer,
        ):
            answer.raise_for_status()

    async def starts(self) -> dict[str, int]:
        """Returns the number of starts of each task id, over all endpoints."""
        total: dict[str, int] = {}
        async with aiohttp.ClientSession() as session:
            for process in self.endpoints.values():
                if process.popen.poll() is not None:
                    continue
                url = f"{process.url}/control/starts"
                async with session.get(url) as answer:
                    counts = msgspec.json.decode(
                        await answer.read(), type=dict[str, int]
                    )
                for task, count in counts.items():
                    total[task] = total.get(task, 0) + count
        return total

    async def set_listing(self, listing: listing_module.Listing) -> None:
        """Replaces the list of instances and endpoints on the platform."""
        self.listing = listing
        await self.control(
            self.platform,
            f"rows/{listing_module.ROW}",
            msgspec.json.encode(listing),
        )

    async def _open_forwarders(self) -> None:
        """Starts forwarders to all peer services and to the platform."""
        for name, settings in self.settings.items():
            url = settings.platform_url
            self.platform_forwarders[name] = (
                await forwarder_module.Forwarder.open(
                    url.removeprefix("http://")
                )
            )
            self.peer_forwarders[name] = await forwarder_module.Forwarder.open(
                f"{settings.peer.host}:{settings.peer.port}"
            )
        entries = tuple(
            dataclasses.replace(
                entry, address=self.peer_forwarders[entry.id].address
            )
            for entry in self.listing.entries
        )
        self.listing = dataclasses.replace(self.listing, entries=entries)
        for name, settings in self.settings.items():
            forwarder = self.platform_forwarders[name]
            self.settings[name] = dataclasses.replace(
                settings,
                peers=entries,
                platform_url=f"http://{forwarder.address}",
            )

    def _configure(
        self,
        data_centres: int,
        entries_each: int,
        endpoints_each: int,
        content: document.Document,
        timing: settings_module.Timing,
    ) -> None:
        names = [f"dc{n}" for n in range(1, data_centres + 1)]
        entries = tuple(
            instances.Instance(
                f"{name}-entry{n}", name, f"{_HOST}:{free_port()}"
            )
            for name in names
            for n in range(1, entries_each + 1)
        )
        self.listing = listing_module.Listing(
            version=1,
            entries=entries,
            endpoints=tuple(
                endpoints.Endpoint(
                    id=f"{name}-endpoint{n}",
                    url=f"http://{_HOST}:{free_port()}",
                    data_centre=name,
                    worker=f"{name}-worker{n}",
                    rack=f"{name}-rack{(n - 1) // 8 + 1}",
                )
                for name in names
                for n in range(1, endpoints_each + 1)
            ),
        )
        platform_url = self.platform_url = f"http://{_HOST}:{free_port()}"
        for entry in entries:
            host, _, port = entry.address.rpartition(":")
            self.settings[entry.id] = settings_module.Settings(
                instance_id=entry.id,
                data_centre=entry.data_centre,
                web=settings_module.Address(_HOST, free_port()),
                peer=settings_module.Address(host, int(port)),
                platform_url=platform_url,
                key_secret=KEY_SECRET,
                peers=entries,
                operators=(
                    settings_module.Operator(
                        "paola", document.Role.PRODUCT, PRODUCT_TOKEN
                    ),
                    settings_module.Operator(
                        "omar", document.Role.OPERATIONS, OPERATIONS_TOKEN
                    ),
                ),
                timing=timing,
                fallback=content,
            )

    async def _start_platform(self) -> None:
        url = self.platform_url
        port = url.rpartition(":")[2]
        self.platform = self._spawn(
            "platform", ["standins.store", f"--store_port={port}"], url
        )
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.set_listing(self.listing)
                    return
                await asyncio.sleep(_POLL_S)

    def _start_endpoint(self, endpoint: endpoints.Endpoint) -> None:
        port = endpoint.url.rpartition(":")[2]
        self.endpoints[endpoint.id] = self._spawn(
            endpoint.id,
            [
                "standins.endpoint",
                f"--endpoint_port={port}",
                f"--endpoint_slots={endpoint.slots}",
            ],
            endpoint.url,
        )

    def _spawn(self, name: str, arguments: list[str], url: str) -> Process:
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self._log,
            stderr=self._log,
        )
        return Process(name, url, popen)

    def _kill_all(self) -> None:
        processes = [*self.entries.values(), *self.endpoints.values()]
        if hasattr(self, "platform"):
            processes.append(self.platform)
        for process in processes:
            # SIGKILL also ends a process that is stopped by SIGSTOP.
            process.popen.kill()
        for process in processes:
            process.popen.wait()


async def _wait_ready(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f"{url}/readyz") as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(_POLL_S)


async def _wait_linked(
    session: aiohttp.ClientSession, url: str, key: str
) -> None:
    """Waits until an entry can query the home of a key that was never used."""
    while True:
        async with session.get(f"{url}/v1/keys/{key}") as answer:
            cause = (await answer.json(content_type=None))["cause"]
        if cause == "not-found":
            return
        await asyncio.sleep(_POLL_S)
