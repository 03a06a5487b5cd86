"""Sends of one task to raw servers that misbehave."""

import asyncio
import contextlib
import socket
import unittest

from sesameroad.routing import results
from tests import fixtures


def _replies(*parts, read=True, keep=True, **fields):
    """Returns a handler that gives every request the same answer."""

    async def handle(reader, writer, headers):
        if read:
            await fixtures.read_body(reader, headers)
        writer.write(fixtures.answer(headers, *parts, **fields))
        await writer.drain()
        return keep

    return handle


async def _close_after_reading(reader, _, headers):
    await fixtures.read_body(reader, headers)
    return False


class SenderTest(unittest.IsolatedAsyncioTestCase):
    """Guards the distinction between "nothing was sent" and "may have run"."""

    async def asyncSetUp(self):
        self.ledger = fixtures.open_ledger()
        self.sender = fixtures.open_sender(self.ledger)
        self.addAsyncCleanup(self.sender.close)

    async def _send(self, url, work=None):
        work = work or fixtures.request()
        return await self.sender.send(
            fixtures.endpoint(url=url), fixtures.queued_task(self.ledger, work)
        )

    async def _result(self, handle, work=None):
        async with fixtures.RawServer.serve(handle) as server:
            return await self._send(server.url, work)

    async def test_no_listener_proves_that_nothing_left(self):
        """A refused connect must release the start."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{probe.getsockname()[1]}"
        result = await self._send(url)
        self.assertIsInstance(result, results.NeverSent)
        self.assertTrue(self.ledger.find("k").not_started)

    async def test_unusable_url_proves_that_nothing_left(self):
        """A bad URL in the list was once treated as a lost answer."""
        with self.assertLogs("absl", "WARNING") as logs:
            for url in ("", "http://[", "ftp://127.0.0.1:1"):
                result = await self._send(url)
                self.assertIsInstance(result, results.NeverSent, url)
        self.assertEqual({r.step for r in logs.records}, {"send"})
        self.assertTrue(self.ledger.find("k").not_started)

    async def test_connect_timeout_proves_that_nothing_left(self):
        """A full listen backlog must not count as a lost answer."""
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(3):
                extra = stack.enter_context(socket.socket())
                extra.setblocking(False)
                extra.connect_ex(listener.getsockname())
            await asyncio.sleep(0.05)
            url = f"http://127.0.0.1:{listener.getsockname()[1]}"
            result = await self._send(url)
        self.assertIsInstance(result, results.NeverSent)
        self.assertTrue(self.ledger.find("k").not_started)

    async def test_start_is_checked_after_the_connect(self):
        """If the record ends during the connect, nothing may be sent."""
        accepted = asyncio.Event()

        async def handle(reader, writer, headers):
            raise AssertionError("bytes arrived")

        async with fixtures.RawServer.serve(handle) as server:
            work = fixtures.request()
            pending = fixtures.queued_task(self.ledger, work)
            connector = self.sender._session.connector
            original = connector.connect

            async def slow_connect(*arguments, **fields):
                connection = await original(*arguments, **fields)
                pending.record.done.set_result(None)
                accepted.set()
                return connection

            connector.connect = slow_connect
            result = await self.sender.send(
                fixtures.endpoint(url=server.url), pending
            )
            await asyncio.sleep(0.05)
            self.assertTrue(accepted.is_set())
            self.assertIsInstance(result, results.Withheld)
            self.assertEqual(server.requests, [])
        self.assertTrue(pending.record.not_started)

    async def test_deadline_is_checked_after_the_connect(self):
        """A pause during the connect must not let a late task start."""
        clock = fixtures.FakeClock()
        sender = fixtures.open_sender(self.ledger, clock=clock)
        self.addAsyncCleanup(sender.close)
        connector = sender._session.connector
        original = connector.connect

        async def paused_connect(*arguments, **fields):
            connection = await original(*arguments, **fields)
            clock.seconds += 60
            return connection

        connector.connect = paused_connect
        work = fixtures.request(deadline_ms=clock.wall_ms() + 5_000)
        async with fixtures.RawServer.serve(_replies()) as server:
            result = await sender.send(
                fixtures.endpoint(url=server.url),
                fixtures.queued_task(self.ledger, work),
            )
            self.assertEqual(server.requests, [])
        self.assertIsInstance(result, results.Withheld)

    async def test_post_on_kept_connection_is_not_sent_again(self):
        """The HTTP client must not repeat a POST whose connection closes."""
        seen = []

        async def handle(reader, writer, headers):
            await fixtures.read_body(reader, headers)
            seen.append(headers["sesameroad-task"])
            if len(seen) == 2:
                return False
            writer.write(fixtures.answer(headers))
            return True

        async with fixtures.RawServer.serve(handle) as server:
            first = await self._send(server.url, fixtures.request("a"))
            second = await self._send(server.url, fixtures.request("b"))
            await asyncio.sleep(0.05)
            self.assertIsInstance(first, results.Answered)
            self.assertIsInstance(second, results.Lost)
            self.assertEqual(seen, ["a/0", "b/0"])
            self.assertEqual(server.connections, 1)

    async def test_kept_connection_closed_earlier_is_not_used(self):
        """A connection closed before the send must not lose the task."""
        async with fixtures.RawServer.serve(_replies(keep=False)) as server:
            for key in ("a", "b"):
                result = await self._send(server.url, fixtures.request(key))
                await asyncio.sleep(0.02)
                self.assertIsInstance(result, results.Answered)
            self.assertEqual(server.connections, 2)

    async def test_closing_transport_before_the_write(self):
        """If a kept connection closes before the write, nothing was sent."""
        connector = self.sender._session.connector
        original = connector.connect

        async def closing_connect(*arguments, **fields):
            connection = await original(*arguments, **fields)
            connection.transport.close()
            return connection

        connector.connect = closing_connect
        result = await self._result(_replies())
        self.assertIsInstance(result, results.NeverSent)
        self.assertTrue(self.ledger.find("k").not_started)

    async def test_results_of_answers(self):
        """A malformed answer must not claim more than is known of the task."""
        cases = {
            "closed without an answer": (_close_after_reading, results.Lost),
            "plain answer": (_replies(b"[1]"), results.Answered),
            "answer, then close": (_replies(keep=False), results.Answered),
            "chunked without a length": (
                _replies(
                    b"2\r\n{}\r\n0\r\n\r\n",
                    more=("Transfer-Encoding: chunked",),
                ),
                results.Answered,
            ),
            "oversize, chunked": (
                _replies(
                    b"7d0\r\n" + b"1" * 2_000 + b"\r\n0\r\n\r\n",
                    more=("Transfer-Encoding: chunked",),
                ),
                results.RanAndFailed,
            ),
            "oversize": (_replies(b"1" * 2_000), results.RanAndFailed),
            "truncated": (
                _replies(b"{}", more=("Content-Length: 9",), keep=False),
                results.Lost,
            ),
            "redirect": (
                _replies(status=307, more=("Location: /v1/other",)),
                results.RanAndFailed,
            ),
            "content encoding": (
                _replies(more=("Content-Encoding: gzip",)),
                results.RanAndFailed,
            ),
            "not JSON": (_replies(b"{"), results.RanAndFailed),
            "not UTF-8": (_replies(b'"\xff"'), results.RanAndFailed),
            "attempt of another task": (
                _replies(attempt="other"),
                results.Lost,
            ),
            "refusal": (
                _replies(status=503, more=("Sesameroad-Not-Run: 1",)),
                results.Refused,
            ),
            "503 that denies a refusal": (
                _replies(status=503, more=("Sesameroad-Not-Run: 0",)),
                results.RanAndFailed,
            ),
            "error": (_replies(b"no", status=500), results.RanAndFailed),
        }
        for name, (handle, expected) in cases.items():
            with self.subTest(name):
                work = fixtures.request(name)
                result = await self._result(handle, work)
                self.assertIsInstance(result, expected, result)
                self.assertTrue(self.ledger.find(name).started)
        self.assertEqual(self.sender.crossed_answers, 1)

    async def test_connection_of_a_crossed_answer_is_closed(self):
        """A connection with answers out of step must not serve the next task."""
        async with fixtures.RawServer.serve(_replies(attempt="x")) as server:
            for key in ("a", "b"):
                result = await self._send(server.url, fixtures.request(key))
                self.assertIsInstance(result, results.Lost)
            self.assertEqual(server.connections, 2)

    async def test_answer_before_the_body_was_read(self):
        """A refusal before a large body is read must still count as a refusal."""
        work = fixtures.request("large", payload=b'"%s"' % (b"x" * 3_000_000))
        refuses = _replies(
            read=False,
            keep=False,
            status=503,
            more=("Sesameroad-Not-Run: 1", "Connection: close"),
        )
        result = await self._result(refuses, work)
        self.assertIsInstance(result, (results.Refused, results.Lost))

    async def test_answer_after_the_deadline(self):
        """An answer counts within the grace period and is lost after it."""

        def late(seconds):
            async def handle(reader, writer, headers):
                await fixtures.read_body(reader, headers)
                await asyncio.sleep(seconds)
                writer.write(fixtures.answer(headers))
                return True

            return handle

        # The deadline leaves a busy machine time to connect.
        for seconds, expected in ((1.2, results.Answered), (1.8, results.Lost)):
            deadline_ms = self.sender._clock.wall_ms() + 1_000
            work = fixtures.request(str(seconds), deadline_ms=deadline_ms)
            result = await self._result(late(seconds), work)
            self.assertIsInstance(result, expected)

    async def test_leaving_mark_on_an_answer(self):
        """A leaving endpoint may set its mark on any answer."""
        result = await self._result(_replies(more=("Sesameroad-Leaving: 1",)))
        self.assertEqual(result, results.Answered(b"{}", leaving=True))
