"""The HTTP server while it closes, with clients on open connections."""

import asyncio
import socket
import time
import unittest

from aiohttp import web_response

from sesameroad.node import http_server

_TIMEOUT_S = 1.0
_PROMPT_S = 0.3
_GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class CloseTest(unittest.IsolatedAsyncioTestCase):
    """A server whose handler reads the body, and waits for `release`.

    Attributes:
        release: Set while answers are given.
        reads_body: Whether the handler reads the body first.
    """

    async def asyncSetUp(self):
        self.release = asyncio.Event()
        self.release.set()
        self.reads_body = True
        self.server = await http_server.HttpServer.open(
            ("127.0.0.1", 0),
            self.handle,
            keepalive_s=15.0,
            interrupted=self.interrupted,
        )
        self.addAsyncCleanup(self.server.close, timeout_s=0.0)

    async def handle(self, request):
        if self.reads_body:
            await request.read()
        await self.release.wait()
        return web_response.Response(status=200)

    def interrupted(self, request):
        del request
        return web_response.Response(status=503)

    async def connect(self):
        """Returns a connection that the server has accepted and answered on."""
        reader, writer = await asyncio.open_connection(*self.server.address)
        self.addCleanup(writer.close)
        await self.send(writer)
        self.assertEqual(await self.status(reader), 200)
        return reader, writer

    async def send(self, writer, *, body=b"", missing=0):
        """Sends a request without the last bytes of its body."""
        head = (
            "POST / HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: {len(body) + missing}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()

    async def status(self, reader):
        """Returns the status of the next answer, 0 if the connection ends."""
        async with asyncio.timeout(5.0):
            line = await reader.readline()
            while line.strip() and (header := await reader.readline()).strip():
                del header
        return int(line.split()[1]) if line else 0

    async def test_body_that_arrives_during_the_close_is_answered(self):
        """Guards against a request that is read whole and dropped.

        The server ignored all data from the first step of its close on, and ended
        the handler that waited for the rest of the body 0.6 s later.
        """
        reader, writer = await self.connect()
        await self.send(writer, body=b"ab", missing=2)
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(self.server.close(timeout_s=_TIMEOUT_S))
        await asyncio.sleep(0.15)
        writer.write(b"cd")
        self.assertEqual(await self.status(reader), 200)
        await closing

    async def test_request_that_takes_long_is_answered(self):
        """Guards against a close that cuts off a handler, such as a cancel."""
        self.release.clear()
        reader, writer = await asyncio.open_connection(*self.server.address)
        self.addCleanup(writer.close)
        await self.send(writer)
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(self.server.close(timeout_s=2.0))
        await asyncio.sleep(0.9)
        self.release.set()
        self.assertEqual(await self.status(reader), 200)
        await closing

    async def test_request_on_an_idle_connection_is_answered(self):
        """Guards against requests that cross the close of their connection.

        A client can't repeat a request that must not run twice if the connection
        ends. Idle connections stay open as long as the close has to wait anyway.
        """
        idle_reader, idle_writer = await self.connect()
        busy_reader, busy_writer = await self.connect()
        self.release.clear()
        await self.send(busy_writer)
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(self.server.close(timeout_s=2.0))
        await asyncio.sleep(0.1)
        await self.send(idle_writer)
        await asyncio.sleep(0.1)
        self.release.set()
        self.assertEqual(await self.status(idle_reader), 200)
        self.assertEqual(await self.status(busy_reader), 200)
        await closing

    async def test_request_that_outlasts_the_close_is_refused(self):
        """Guards against a connection that ends without an answer.

        The handler is ended, and its caller is told so.
        """
        self.release.clear()
        reader, writer = await asyncio.open_connection(*self.server.address)
        self.addCleanup(writer.close)
        await self.send(writer)
        await asyncio.sleep(0.05)
        began_at = time.monotonic()
        await self.server.close(timeout_s=0.2)
        self.assertEqual(await self.status(reader), 503)
        self.assertLess(time.monotonic() - began_at, 0.2 + _PROMPT_S)

    async def test_incomplete_request_does_not_hold_up_the_close(self):
        """Guards against a stop that waits for a client that has gone."""
        _, writer = await self.connect()
        await self.send(writer, body=b"ab", missing=2)
        began_at = time.monotonic()
        await self.server.close(timeout_s=30.0)
        self.assertLess(time.monotonic() - began_at, 2.0)

    async def test_idle_connections_do_not_hold_up_the_close(self):
        """Guards against a stop that waits for clients with nothing to send."""
        reader, _ = await self.connect()
        began_at = time.monotonic()
        await self.server.close(timeout_s=30.0)
        self.assertEqual(await self.status(reader), 0)
        self.assertLess(time.monotonic() - began_at, _PROMPT_S)

    async def test_connection_that_is_not_accepted_yet_is_answered(self):
        """Guards against a reset of a caller that has sent its request.

        Its connection waits in the queue of the listener when that closes.
        """
        with socket.create_connection(self.server.address) as client:
            client.sendall(_GET)
            await self.server.close(timeout_s=_TIMEOUT_S)
            client.settimeout(_TIMEOUT_S)
            self.assertIn(b"200", client.recv(100))

    async def test_request_behind_another_one_is_answered(self):
        """Guards against a request that was read during the one before it.

        The answer to the first one counted for both.
        """
        reader, writer = await self.connect()
        self.release.clear()
        writer.write(_GET + _GET)
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(self.server.close(timeout_s=_TIMEOUT_S))
        self.release.set()
        self.assertEqual(await self.status(reader), 200)
        self.release.clear()
        await asyncio.sleep(0.2)
        self.release.set()
        self.assertEqual(await self.status(reader), 200)
        await closing

    async def test_unread_body_does_not_hold_up_the_close(self):
        """Guards against a stop that waits for an answer it has written.

        The rest of a body that the handler has not read arrives after the answer.
        """
        self.reads_body = False
        reader, writer = await self.connect()
        await self.send(writer, body=b"ab", missing=100)
        self.assertEqual(await self.status(reader), 200)
        writer.write(b"cd")
        await asyncio.sleep(0.05)
        began_at = time.monotonic()
        await self.server.close(timeout_s=30.0)
        self.assertLess(time.monotonic() - began_at, _PROMPT_S)
