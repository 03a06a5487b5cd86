"""A graceful stop of an entry, with callers on open connections."""

import asyncio
import unittest

import msgspec

from sesameroad.entry import entry
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.settings import settings
from standins import fleet

_HOST = "127.0.0.1"
_BODY = msgspec.json.encode(
    {"team": "storefront", "kind": "lookup", "payload": {}}
)
_NOTICE_S = 0.1
_GRACEFUL_S = 0.5
# Time after the notice at which the entry closes its HTTP server.
_CLOSING_S = _NOTICE_S + 0.1


class _Intake:
    """Passes work on, and gets no answer until the stop."""

    async def submit(self, build, *, key, digest):
        await asyncio.Event().wait()


class _HandoffStore:
    """Writes hand-offs at once."""

    async def write(self, incarnation, ledger):
        pass


class EntryStopTest(unittest.IsolatedAsyncioTestCase):
    """An entry without a platform, peers and endpoints."""

    async def asyncSetUp(self):
        address = settings.Address(_HOST, fleet.free_port())
        self.entry = entry.Entry(
            settings.Settings(
                instance_id="i1",
                data_centre="dc1",
                web=address,
                peer=settings.Address(_HOST, fleet.free_port()),
                platform_url=f"http://{_HOST}:{fleet.free_port()}",
                key_secret=fleet.KEY_SECRET,
                timing=settings.Timing(
                    stop_notice_s=_NOTICE_S, graceful_stop_s=_GRACEFUL_S
                ),
                fallback=fleet.default_document(),
            ),
            clock=clocks.Clock(),
        )
        self.entry._web._check_feasibility = lambda kind, need: None
        self.entry._handoff_store = _HandoffStore()
        await self.entry.start()
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port
        )
        self.addCleanup(self.writer.close)

    def begin_stop(self):
        """Returns the task of the stop, which is awaited after the test."""
        stopping = asyncio.create_task(self.entry.stop())
        self.addAsyncCleanup(asyncio.wait, [stopping])
        return stopping

    def send(self, body):
        """Sends the head of a request and the first part of its body."""
        head = (
            "POST /v1/requests HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: {len(_BODY)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)

    async def answer(self):
        """Returns the problem details of the answer."""
        async with asyncio.timeout(5.0):
            text = await self.reader.read()
        self.assertTrue(text, "the connection has ended without an answer")
        return msgspec.json.decode(text.partition(b"\r\n\r\n")[2])

    async def test_body_that_arrives_while_the_server_closes_is_answered(self):
        """Guards against a request that is read and dropped.

        The HTTP server ignored all data from the first step of its close on.
        """
        self.send(_BODY[:10])
        stopping = self.begin_stop()
        await asyncio.sleep(_CLOSING_S)
        self.writer.write(_BODY[10:])
        problem = await self.answer()
        self.assertEqual(problem["cause"], outcomes.Cause.STOPPING.value)
        self.assertEqual(problem["outcome"], "not run")
        await stopping

    async def test_work_that_another_entry_has_is_answered_as_unknown(self):
        """Guards against a caller whose connection ends without an answer.

        The home of the key may answer long after the stop of this entry.
        """
        self.entry._web._intake = _Intake()
        self.send(_BODY)
        await asyncio.sleep(_CLOSING_S)
        stopping = self.begin_stop()
        problem = await self.answer()
        self.assertEqual(problem["cause"], outcomes.Cause.STOPPING.value)
        self.assertIn("unknown", problem["outcome"])
        await stopping
