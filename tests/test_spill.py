"""Delegation of work to another data centre."""

import asyncio
import dataclasses
import types
import unittest

import aiohttp

from sesameroad import errors
from sesameroad.entry import spill as spills
from sesameroad.model import clock as clocks
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes
from sesameroad.peering import message as messages
from sesameroad.routing import feasibility as feasibilities
from standins import fleet as fleets
from tests import fixtures

_NOT_RUN = outcomes.NotRun(outcomes.Cause.OVERLOAD, "")
_COMPLETE = outcomes.Complete((b"{}",))
_UNSENT = errors.PeerNotSentError("closed", step="send to peer")
_SILENT = errors.PeerError("no reply", step="ask peer")


def _started(record):
    return {index for index, starts in enumerate(record.starts) if starts}


class _Link:
    """Answers as told, and notes what the ledger held when asked."""

    def __init__(self, data_centre, reply, record):
        self.hello = messages.Hello(f"{data_centre}-1", data_centre, "i")
        self.asked = []
        self._reply = reply
        self._record = record

    async def ask(self, question, *, timeout_s):
        self.asked.append((question(1), _started(self._record)))
        await asyncio.sleep(0)
        if isinstance(self._reply, Exception):
            raise self._reply
        return messages.RelayReply(1, self._reply)


class SpillTest(unittest.IsolatedAsyncioTestCase):
    """Guards delegated work against a second start, and against loops."""

    async def asyncSetUp(self):
        self.ledger = fixtures.open_ledger()
        self.feasibility = feasibilities.Feasibility()
        self.wait_s = 0.0
        self.mesh = types.SimpleNamespace(peers={})
        self.spill = self._open_spill()

    def _open_spill(self):
        return spills.Spill(
            data_centre="dc1",
            ledger=self.ledger,
            mesh=self.mesh,
            feasibility=self.feasibility,
            expected_wait_s=lambda _: self.wait_s,
            clock=clocks.Clock(),
            wait_limit_s=0.5,
        )

    def _endpoints(self, *names):
        endpoints = [
            fixtures.endpoints.Endpoint(name, "http://x", name)
            for name in names
        ]
        self.feasibility.update(endpoints, endpoints)

    async def _place(self, work, *replies):
        record = fixtures.queued_task(self.ledger, work).record
        links = [_Link("dc2", reply, record) for reply in replies]
        self.mesh.peers = dict(enumerate(links))
        outcome = None
        if self.spill.wanted(work):
            outcome = await self.spill.place(record)
        return outcome, record, links

    async def test_work_that_fits_here_stays(self):
        """Work must not travel while its own data centre has room."""
        self._endpoints("dc1", "dc2")
        outcome, record, links = await self._place(
            fixtures.request(), _COMPLETE
        )
        self.assertIsNone(outcome)
        self.assertTrue(record.not_started)
        self.assertEqual(links[0].asked, [])

    async def test_starts_are_held_while_delegated(self):
        """The home must not be able to start what it has delegated."""
        self._endpoints("dc2")
        outcome, record, links = await self._place(
            fixtures.submission(tasks=3), _COMPLETE
        )
        self.assertEqual(outcome, _COMPLETE)
        question, held = links[0].asked[0]
        self.assertEqual(question.purpose, messages.Purpose.SPILL)
        self.assertEqual(held, {0, 1, 2})
        with self.assertRaises(errors.StartRefusedError):
            self.ledger.start(record, 0)

    async def test_no_reply_is_never_placed_again(self):
        """A lost reply ends work that must not repeat, truthfully."""
        self._endpoints("dc1", "dc2")
        self.wait_s = 1.0
        for work, expected in (
            (fixtures.request("r"), outcomes.Unknown),
            (fixtures.submission("s"), outcomes.Failed),
        ):
            outcome, record, links = await self._place(work, _SILENT, _SILENT)
            self.assertIsInstance(outcome, expected)
            self.assertFalse(record.not_started)
            self.assertEqual(sum(len(link.asked) for link in links), 1)

    async def test_not_run_allows_placing_again(self):
        """Only "not run" and an unsent message give the starts back."""
        self._endpoints("dc1", "dc2")
        self.wait_s = 1.0
        for key, reply in (("a", _NOT_RUN), ("b", _UNSENT)):
            # A data centre that refused is left alone for a while.
            self.spill = self._open_spill()
            outcome, record, links = await self._place(
                fixtures.request(key), reply
            )
            self.assertIsNone(outcome)
            self.assertEqual(len(links[0].asked), 1)
            self.assertTrue(record.not_started)

    async def test_idempotent_request_is_placed_again(self):
        """It may repeat, but must not be called "not run" any more."""
        self._endpoints("dc1", "dc2")
        self.wait_s = 1.0
        # Targets are drawn at random; eight draws have both orders.
        for number in range(8):
            # A data centre that refused is left alone for a while.
            self.spill = self._open_spill()
            work = fixtures.request(str(number), idempotent=True)
            outcome, record, _ = await self._place(work, _SILENT, _NOT_RUN)
            self.assertIsNone(outcome)
            self.assertFalse(record.not_started)

    async def test_no_target_is_a_truthful_refusal(self):
        """Work that fits nowhere now must not wait for its deadline."""
        self._endpoints("dc2")
        outcome, record, _ = await self._place(fixtures.request())
        self.assertEqual(outcome.cause, outcomes.Cause.ENDPOINT_MISSING)
        self.assertTrue(record.not_started)

    async def test_receiver_refuses_when_busy_or_unfit(self):
        """A receiver must neither queue behind its own work nor pass it on."""
        work = fixtures.request()
        self._endpoints("dc2")
        self.assertIsInstance(self.spill.refusal(work), outcomes.NotRun)
        self._endpoints("dc1")
        self.assertIsNone(self.spill.refusal(work))
        self.wait_s = 1.0
        refusal = self.spill.refusal(work)
        self.assertEqual(refusal.cause, outcomes.Cause.OVERLOAD)

    async def test_feasibility(self):
        """Impossible work gets 422, work for missing endpoints 503."""
        small, large = needs.Need(cores=1.0), needs.Need(cores=64.0)
        refusal = self.feasibility.refusal("kind", small)
        self.assertEqual(refusal.cause, outcomes.Cause.ENDPOINT_MISSING)
        self._endpoints("dc2")
        self.assertIsNone(self.feasibility.refusal("kind", small))
        refusal = self.feasibility.refusal("kind", large)
        self.assertEqual(refusal.cause, outcomes.Cause.NO_ENDPOINT)
        self.feasibility.update((), ())
        refusal = self.feasibility.refusal("kind", small)
        self.assertEqual(refusal.cause, outcomes.Cause.ENDPOINT_MISSING)


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards the spill through separate processes."""

    async def test_work_without_an_endpoint_here_runs_once_elsewhere(self):
        """A data centre whose endpoints take other kinds must delegate."""
        async with (
            fleets.Fleet.open(data_centres=2, endpoints_each=1) as fleet,
            aiohttp.ClientSession() as session,
        ):
            first, second = fleet.listing.endpoints
            listing = dataclasses.replace(
                fleet.listing,
                version=2,
                endpoints=(
                    dataclasses.replace(first, kinds=("checkout",)),
                    second,
                ),
            )
            await fleet.set_listing(listing)
            # Two periods of the poll of the list, and the second dial.
            await asyncio.sleep(2.5)
            url = next(iter(fleet.entries.values())).url
            body = {"team": "storefront", "kind": "lookup", "payload": {}}
            async with session.post(f"{url}/v1/requests", json=body) as answer:
                self.assertEqual(answer.status, 200, await answer.text())
                key = (await answer.json())["key"]
            async with session.post(
                f"{url}/v1/requests", json={**body, "need": {"cores": 64}}
            ) as answer:
                self.assertEqual(answer.status, 422)
            self.assertEqual(await fleet.starts(), {f"{key}/0": 1})
