"""The first moments of a real process: its signals and its connections."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from aiohttp import web

from standins import fleet
from standins import store

_CHECKOUT = pathlib.Path(__file__).resolve().parents[1]
_TIMEOUT_S = 20.0
# Signals are sent from the first instruction of the program on, in steps that
# reach the end of the start.
_DELAYS_S = (0.0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.7)
# Programs that run an instance with a slow step, and print a line as that begins.
_MARK = b"slow step"
_SLOW_IMPORT = """
import importlib.abc, sys, time
from sesameroad.command_line import main

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "sesameroad.node.node":
            print("slow step", flush=True)
            time.sleep(1.0)

sys.meta_path.insert(0, Finder())
main.run()
"""
_SLOW_SERVICE_S = 2.0
_SLOW_SERVICE = f"""
import asyncio
from sesameroad.command_line import main
from sesameroad.peering import mesh

async def start(self, *address, do_start=mesh.Mesh.start):
    print("slow step", flush=True)
    await asyncio.sleep({_SLOW_SERVICE_S})
    await do_start(self, *address)

mesh.Mesh.start = start
main.run()
"""
# Longest time after the end of a graceful stop until the process has ended. The
# platform kills it 0.7 s after that.
_CLOSE_S = 0.7


class StartupTest(unittest.IsolatedAsyncioTestCase):
    """An instance without a store or peers."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.settings = pathlib.Path(directory.name, "settings.json")
        self.address = "127.0.0.1", fleet.free_port()
        self.store_port = fleet.free_port()

    async def start(self, *, program=None, **timing):
        """Starts an instance; returns it once it handles SIGTERM.

        Args:
            program: Python program that runs it with a slow step; it is returned
                as that begins.
            **timing: Periods and timeouts.
        """
        addresses = {
            name: f"127.0.0.1:{fleet.free_port()}"
            for name in ("ready", "peer", "metrics")
        }
        addresses["platform"] = f"127.0.0.1:{self.store_port}"
        self.settings.write_text(
            json.dumps(
                {
                    "instance_id": "i1",
                    "data_centre": "dc1",
                    "data_centres": {"dc1": "region"},
                    "web": f"{self.address[0]}:{self.address[1]}",
                    "max_lease_ms": 1_000,
                    "timing": {"stop_notice_s": 0.1, **timing},
                    **addresses,
                }
            )
        )
        run = ("-m", "sesameroad.command_line.main")
        if program is not None:
            run = ("-c", program)
        process = subprocess.Popen(
            [sys.executable, *run, "serve", f"--settings={self.settings}"],
            cwd=_CHECKOUT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        await asyncio.to_thread(self.wait_until_handled, process.pid)
        if program is not None:
            line = await asyncio.to_thread(process.stdout.readline)
            self.assertEqual(line.strip(), _MARK)
        return process

    def wait_until_handled(self, pid):
        """Waits until SIGTERM has a handler, and fails if the port is earlier.

        The interpreter itself has none.
        """
        mask = 1 << (signal.SIGTERM - 1)
        while True:
            listening = self.connect() is not None
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
            caught = next(
                line.split()[1]
                for line in status.splitlines()
                if line.startswith("SigCgt:")
            )
            if int(caught, 16) & mask:
                return
            self.assertFalse(listening, "the port listens before the handler")

    def connect(self):
        """Returns a connection, or None if the port does not listen."""
        try:
            connection = socket.create_connection(self.address, _TIMEOUT_S)
        except ConnectionRefusedError:
            return None
        self.addCleanup(connection.close)
        return connection

    def call(self, target="GET /", body=""):
        """Sends a request as soon as the port listens."""
        connection = None
        while connection is None:
            connection = self.connect()
        head = f"{target} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        connection.sendall(f"{head}\r\n\r\n{body}".encode())
        return connection

    def assert_answered(self, connection, status=503):
        """Checks the answer, 503 if there is no configuration."""
        answer = connection.recv(100)
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer)

    async def test_stop_during_the_start_is_clean(self):
        """Guards against an instance that is ended by a signal as it starts.

        The platform counts that as a crash. So it was, too, when the handler
        raised an exception: msgspec crashed on it.
        """
        for delay_s in _DELAYS_S:
            with self.subTest(delay_s=delay_s):
                process = await self.start()
                await asyncio.sleep(delay_s)
                process.send_signal(signal.SIGTERM)
                output, _ = await asyncio.to_thread(
                    process.communicate, timeout=_TIMEOUT_S
                )
                self.assertEqual(process.returncode, os.EX_OK, output)
                self.assertNotIn(b"Traceback", output)

    async def test_reload_during_the_start_does_not_end_the_instance(self):
        """Guards against an instance that a change of the settings ends.

        SIGHUP without a handler did that in the first half second.
        """
        for delay_s in _DELAYS_S:
            with self.subTest(delay_s=delay_s):
                process = await self.start()
                await asyncio.sleep(delay_s)
                process.send_signal(signal.SIGHUP)
                connection = await asyncio.to_thread(self.call)
                await asyncio.to_thread(self.assert_answered, connection)
                process.send_signal(signal.SIGTERM)
                output, _ = await asyncio.to_thread(
                    process.communicate, timeout=_TIMEOUT_S
                )
                self.assertEqual(process.returncode, os.EX_OK, output)
                self.assertIn(b"settings have changed", output)

    async def test_connections_during_the_start_are_answered(self):
        """Guards against connections that an instance takes and then drops.

        They arrive while it loads, which took 1.8 s with 0.4 of a core.
        """
        await self.start()
        connections = [await asyncio.to_thread(self.call) for _ in range(50)]
        for connection in connections:
            await asyncio.to_thread(self.assert_answered, connection)

    async def open_store(self, *, routes):
        platform = store.Store()
        await platform.put("op", "config", {"version": 1, "routes": routes})
        runner = web.AppRunner(platform.application(), access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", self.store_port).start()

    async def test_job_of_a_caller_that_left_meanwhile_does_not_begin(self):
        """Guards against a job that begins although its caller has left.

        The caller has sent it again to another instance, where it may run.
        """
        route = {"name": "q", "host": "a", "path-prefix": "/q/", "service": "s"}
        await self.open_store(routes=[route])
        process = await self.start()
        step = {"count": 1, "cpu": 1, "est-runtime-ms": 1}
        body = json.dumps({"steps": [step], "best-effort": True})
        for number in range(50):
            connection = await asyncio.to_thread(
                self.call, f"POST /q/{number:016x}", body
            )
            connection.close()
        # It is answered only after the others have been read.
        last = await asyncio.to_thread(self.call, "GET /q/x")
        await asyncio.to_thread(self.assert_answered, last, 400)
        process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.to_thread(
            process.communicate, timeout=_TIMEOUT_S
        )
        self.assertIn(b"instance stopped", output)
        self.assertNotIn(b"caller answered", output)

    async def test_stop_while_loading_answers_those_that_wait(self):
        """Guards against whole requests that a stop during the imports cuts off.

        The process ended at once, with their connections in the listener's queue.
        """
        route = {"name": "q", "host": "a", "path-prefix": "/q/", "service": "s"}
        await self.open_store(routes=[route])
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number=number):
                process = await self.start(program=_SLOW_IMPORT)
                connections = [
                    await asyncio.to_thread(self.call, "GET /q/")
                    for _ in range(50)
                ]
                process.send_signal(number)
                for connection in connections:
                    await asyncio.to_thread(
                        self.assert_answered, connection, 200
                    )
                output, _ = await asyncio.to_thread(
                    process.communicate, timeout=_TIMEOUT_S
                )
                self.assertEqual(process.returncode, os.EX_OK, output)
                self.assertIn(b"instance stopped", output)

    async def test_duration_of_a_stop_counts_from_the_signal(self):
        """Guards against a graceful stop that lasts until the process is killed.

        The platform kills it 6 s after SIGTERM. A stop that was requested while the
        services started began its time only after that.
        """
        route = {"name": "q", "host": "a", "path-prefix": "/q/", "service": "s"}
        await self.open_store(routes=[route])
        timing = {"stop_notice_s": 2.2, "graceful_stop_s": 4.5}
        process = await self.start(program=_SLOW_SERVICE, **timing)
        # Waits for an endpoint until the stop ends it.
        step = {"count": 1, "cpu": 1, "est-runtime-ms": 20_000}
        body = json.dumps({"steps": [step], "best-effort": True})
        connection = await asyncio.to_thread(
            self.call, f"POST /q/{1:016x}", body
        )
        process.send_signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        output, _ = await asyncio.to_thread(
            process.communicate, timeout=_TIMEOUT_S
        )
        took_s = time.monotonic() - signalled_at
        self.assertEqual(process.returncode, os.EX_OK, output)
        # The job was in flight as long as it may be.
        self.assertIn(b"jobs are still in flight", output)
        self.assert_answered(connection, 503)
        self.assertLess(took_s, timing["graceful_stop_s"] + _CLOSE_S)

    async def test_early_requests_wait_for_the_configuration(self):
        """Guards against refusals in the moment before the first read.

        After a restart of all instances, three of four callers were refused.
        """
        await self.open_store(routes=[])
        await self.start()
        connection = await asyncio.to_thread(self.call)
        # The configuration has no queue.
        await asyncio.to_thread(self.assert_answered, connection, 404)


if __name__ == "__main__":
    unittest.main()
