"""Orders to endpoints that answer late, partly or not at all."""

import asyncio
import dataclasses
import time
import unittest
from unittest import mock

from sesameroad.leasing import orders
from sesameroad.model import endpoints
from sesameroad.platform import order_client
from sesameroad.telemetry import job_metrics

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
_TIMEOUT_S = 0.2
# Allows for a busy machine; a lost timeout would wait for minutes.
_LIMIT_S = 3.0


class OrderClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an endpoint whose silence occupies its session."""

    async def asyncSetUp(self):
        self.client = order_client.OrderClient.open(
            metrics=job_metrics.JobMetrics()
        )
        self.addAsyncCleanup(self.client.close)

    async def _endpoint(self, answer):
        """Starts an endpoint that answers with some bytes and then stalls."""

        async def serve(reader, writer):
            await reader.read(1)
            writer.write(answer)
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return endpoints.Endpoint(
            id="e1", url=f"http://127.0.0.1:{port}", data_centre="dc1"
        )

    async def _poll(self, endpoint):
        return await self.client.poll(
            endpoint,
            token=1,
            seen=0,
            lease_until_ms=None,
            wait_ms=0,
            timeout_s=_TIMEOUT_S,
        )

    async def test_poll_without_a_whole_answer_ends_at_its_timeout(self):
        for answer in (b"", _HEAD, _HEAD + b'{"clock-ms": 1'):
            with self.subTest(answer=answer):
                endpoint = await self._endpoint(answer)
                began_at = time.monotonic()
                result = await self._poll(endpoint)
                took_s = time.monotonic() - began_at
                self.assertIsInstance(result, orders.NoAnswer)
                self.assertIn("Timeout", result.detail)
                self.assertGreaterEqual(took_s, _TIMEOUT_S * 0.9)
                self.assertLess(took_s, _LIMIT_S)

    async def test_start_without_an_answer_ends_at_its_timeout(self):
        endpoint = await self._endpoint(b"")
        began_at = time.monotonic()
        answer = await self.client.start(
            endpoint, task="t", run=1, spec="", token=1, lease_until_ms=1
        )
        self.assertIsInstance(answer, orders.NoAnswer)
        self.assertLess(time.monotonic() - began_at, _LIMIT_S)

    async def test_start_that_no_connection_has_taken_was_not_sent(self):
        """Guards against waiting for a start that can't be carried out."""
        endpoint = await self._endpoint(b"")
        server = await asyncio.start_server(mock.Mock(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        closed = dataclasses.replace(endpoint, url=f"http://127.0.0.1:{port}")
        for endpoint_, sent in ((endpoint, True), (closed, False)):
            answer = await self.client.start(
                endpoint_, task="t", run=1, spec="", token=1, lease_until_ms=1
            )
            self.assertIsInstance(answer, orders.NoAnswer)
            self.assertIs(answer.sent, sent)

    async def test_stop_without_an_answer_ends_at_its_own_timeout(self):
        """Guards against stops that are repeated too late.

        A stop has to reach an endpoint several times before a caller returns.
        """
        timeouts = []

        class Session:

            def post(self, url, *, timeout, **_):
                timeouts.append(timeout.total)
                raise TimeoutError

        client = order_client.OrderClient(
            Session(), metrics=job_metrics.JobMetrics()
        )
        endpoint = endpoints.Endpoint(
            id="e1", url="http://e1", data_centre="dc1"
        )
        answer = await client.stop(endpoint, task="t", run=1, token=1)
        self.assertIsInstance(answer, orders.NoAnswer)
        self.assertEqual(timeouts, [order_client.STOP_TIMEOUT_S])

    async def test_orders_wait_for_a_connection_no_longer_than_their_timeout(
        self,
    ):
        """All connections to an endpoint may be waiting for lost answers."""
        endpoint = await self._endpoint(b"")
        began_at = time.monotonic()
        answers = await asyncio.gather(
            *(self._poll(endpoint) for _ in range(8))
        )
        self.assertTrue(
            all(isinstance(answer, orders.NoAnswer) for answer in answers)
        )
        self.assertLess(time.monotonic() - began_at, _LIMIT_S)
