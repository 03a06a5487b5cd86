"""Tests of the delegation of work to another data centre."""

import asyncio
import dataclasses
import types
import unittest

import aiohttp

from sesameroad import errors
from sesameroad.entry import spill
from sesameroad.model import clocks
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.peering import messages
from sesameroad.routing import feasibility
from standins import fleet as fleet_module
from tests import fixtures

_NOT_RUN = outcomes.NotRun(outcomes.Cause.OVERLOAD, "")
_COMPLETE = outcomes.Complete((b"{}",))
_UNSENT = errors.PeerNotSentError("closed", step="send to peer")
_NO_REPLY = errors.PeerError("no reply", step="ask peer")


def _started(record):
    return {index for index, starts in enumerate(record.starts) if starts}


class _Link:
    """Gives a set reply, and records which starts were taken when asked."""

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
    """Guards against second starts of delegated work, and against loops."""

    async def asyncSetUp(self):
        self.ledger = fixtures.open_ledger()
        self.feasibility = feasibility.Feasibility()
        self.wait_s = 0.0
        self.mesh = types.SimpleNamespace(peers={})
        self.spill = self._make_spill()

    def _make_spill(self):
        return spill.Spill(
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

    async def _delegate(self, work, *replies):
        record = fixtures.queued_task(self.ledger, work).record
        links = [_Link("dc2", reply, record) for reply in replies]
        self.mesh.peers = dict(enumerate(links))
        outcome = None
        if self.spill.should_delegate(work):
            outcome = await self.spill.delegate(record)
        return outcome, record, links

    async def test_work_that_fits_here_stays(self):
        """Guards against delegation while the own data centre has capacity."""
        self._endpoints("dc1", "dc2")
        outcome, record, links = await self._delegate(
            fixtures.request(), _COMPLETE
        )
        self.assertIsNone(outcome)
        self.assertTrue(record.not_started)
        self.assertEqual(links[0].asked, [])

    async def test_starts_are_held_while_delegated(self):
        """Guards against starts at the home of work that it has delegated."""
        self._endpoints("dc2")
        outcome, record, links = await self._delegate(
            fixtures.submission(tasks=3), _COMPLETE
        )
        self.assertEqual(outcome, _COMPLETE)
        question, held = links[0].asked[0]
        self.assertEqual(question.purpose, messages.Purpose.SPILL)
        self.assertEqual(held, {0, 1, 2})
        with self.assertRaises(errors.StartRefusedError):
            self.ledger.start(record, 0)

    async def test_work_without_a_reply_is_never_delegated_again(self):
        """Guards against a second run, or "not run", after a lost reply."""
        self._endpoints("dc1", "dc2")
        self.wait_s = 1.0
        for work, expected in (
            (fixtures.request("r"), outcomes.Unknown),
            (fixtures.submission("s"), outcomes.Failed),
        ):
            outcome, record, links = await self._delegate(
                work, _NO_REPLY, _NO_REPLY
            )
            self.assertIsInstance(outcome, expected)
            self.assertFalse(record.not_started)
            self.assertEqual(sum(len(link.asked) for link in links), 1)

    async def test_work_that_was_not_run_elsewhere_is_queued_here(self):
        """Guards against work that is stuck after it was refused elsewhere.

        A reply "not run" and a message that was not sent return the starts.
        """
        self._endpoints("dc1", "dc2")
        self.wait_s = 1.0
        for key, reply in (("a", _NOT_RUN), ("b", _UNSENT)):
            # A new spill, because a refusal pauses delegation to a data centre.
            self.spill = self._make_spill()
            outcome, record, links = await self._delegate(
                fixtures.request(key), reply
            )
            self.assertIsNone(outcome)
            self.assertEqual(len(links[0].asked), 1)
            self.assertTrue(record.not_started)

    async def test_idempotent_request_without_a_reply_is_tried_again(self):
        """Guards against "not run" after a lost reply to idempotent work."""
        self._endpoints("dc1", "dc2")
        self.wait_s = 1.0
        # Targets are chosen at random; in eight attempts both orders occur.
        for number in range(8):
            # A new spill, because a refusal pauses delegation to a data centre.
            self.spill = self._make_spill()
            work = fixtures.request(str(number), idempotent=True)
            outcome, record, _ = await self._delegate(work, _NO_REPLY, _NOT_RUN)
            self.assertIsNone(outcome)
            self.assertFalse(record.not_started)

    async def test_no_target_is_a_truthful_refusal(self):
        """Guards against work without endpoints that waits for its deadline."""
        self._endpoints("dc2")
        outcome, record, _ = await self._delegate(fixtures.request())
        self.assertEqual(outcome.cause, outcomes.Cause.ENDPOINT_MISSING)
        self.assertTrue(record.not_started)

    async def test_receiver_refuses_when_busy_or_unfit(self):
        """Guards against spilled work that is queued behind local work.

        It must not be passed on to a third data centre either.
        """
        work = fixtures.request()
        self._endpoints("dc2")
        self.assertIsInstance(self.spill.refusal(work), outcomes.NotRun)
        self._endpoints("dc1")
        self.assertIsNone(self.spill.refusal(work))
        self.wait_s = 1.0
        refusal = self.spill.refusal(work)
        self.assertEqual(refusal.cause, outcomes.Cause.OVERLOAD)

    async def test_feasibility(self):
        """Guards against a final refusal while endpoints are only missing.

        Needs above all known endpoints get 422; missing endpoints get 503.
        """
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
    """Guards against failures of the spill between separate processes."""

    async def test_work_without_an_endpoint_here_runs_once_elsewhere(self):
        """Guards against refusals of work that another data centre can run."""
        async with (
            fleet_module.Fleet.open(data_centres=2, endpoints_each=1) as fleet,
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
            # Covers two polls of the list and a second attempt to connect to
            # the peer.
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
