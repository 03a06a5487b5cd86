"""Connections to endpoints during changes of membership."""

import asyncio
import contextlib
import unittest

from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.routing import connection_pool
from sesameroad.routing import endpoint_health
from sesameroad.routing import results
from sesameroad.routing import retry_budget
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import matcher
from sesameroad.scheduling import policy
from sesameroad.scheduling import queue
from tests import fixtures

_OK = results.Answered(b"{}")


class _Sender:
    """Answers each URL after a delay that the test sets."""

    def __init__(self):
        self.sent = []
        self.delays = {}
        self.results = {}
        self.running = 0
        self.highest_running = 0

    async def send(self, endpoint, pending):
        self.sent.append((endpoint.url, pending.id))
        self.running += 1
        self.highest_running = max(self.highest_running, self.running)
        try:
            await asyncio.sleep(self.delays.get(endpoint.url, 0.01))
            result = self.results.get(endpoint.url, _OK)
            if isinstance(result, Exception):
                raise result
            return result
        finally:
            self.running -= 1


class _Entry:
    """The parts of an entry between the queue and the sender."""

    def __init__(self, ledger, sender):
        self.ledger = ledger
        self.settled = []
        self._changed = asyncio.Event()
        clock = clocks.Clock()
        self.health = endpoint_health.EndpointHealth(clock=clock)
        self.budget = retry_budget.RetryBudget()
        content = document.Document(
            operations=document.Operations(team_quotas={"team": 10_000})
        )
        allocation = allocation_module.Allocation(clock)
        self.matcher = matcher.Matcher(
            queue=queue.Queue(),
            policy=policy.Policy(content, allocation=allocation),
            allocation=allocation,
            rank=self.health.rank,
        )
        self.leaving = []
        self.pool = connection_pool.ConnectionPool(
            matcher=self.matcher,
            sender=sender,
            settle=self._settle,
            health=self.health,
            budget=self.budget,
            clock=clock,
            leaving=self.leaving.append,
        )

    def _settle(self, pending, result):
        self.settled.append((pending, result))
        self._changed.set()

    def submit(self, key, **fields):
        pending = fixtures.queued_task(
            self.ledger, fixtures.request(key, **fields)
        )
        self.matcher.submit(pending)
        return pending

    async def settle(self, count):
        # Only guards against a hang: a busy machine once took over 5 s.
        async with asyncio.timeout(30):
            while len(self.settled) < count:
                self._changed.clear()
                await self._changed.wait()


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost slots, connections and tasks when the list changes."""

    async def asyncSetUp(self):
        self.sender = _Sender()
        self.entry = self._entry()
        self.pool = self.entry.pool

    def _entry(self, sender=None):
        entry = _Entry(fixtures.open_ledger(), sender or self.sender)
        self.addAsyncCleanup(entry.pool.close)
        return entry

    async def test_replaced_endpoint_gets_work_at_the_new_url_only(self):
        """Neither busy nor idle connections may continue with the old URL."""
        self.sender.delays["http://old"] = 0.1
        self.pool.update([fixtures.endpoint(url="http://old")])
        self.entry.submit("a")
        await asyncio.sleep(0.02)
        self.pool.update([fixtures.endpoint(url="http://new")])
        for number in range(30):
            self.entry.submit(f"b{number}")
        await self.entry.settle(31)
        urls = [url for url, _ in self.sender.sent]
        self.assertEqual(urls, ["http://old"] + ["http://new"] * 30)

    async def test_task_handed_over_before_a_change_is_not_sent_there(self):
        """A task handed over in the same loop turn must not use the old URL."""
        self.pool.update([fixtures.endpoint(url="http://old")])
        await asyncio.sleep(0.01)
        self.entry.submit("a")
        self.pool.update([fixtures.endpoint(url="http://new")])
        await self.entry.settle(1)
        self.assertEqual(self.sender.sent, [("http://new", "a/0")])

    async def test_changes_do_not_add_connections(self):
        """Repeated updates during sends must not exceed the slots."""
        for number in range(40):
            self.entry.submit(str(number))
        for number in range(20):
            kinds = ("kind", str(number))
            self.pool.update([fixtures.endpoint(kinds=kinds, slots=3)])
            await asyncio.sleep(0.004)
        await self.entry.settle(40)
        self.assertLessEqual(self.sender.highest_running, 3)
        self.assertEqual(len({key for _, key in self.sender.sent}), 40)

    async def test_connections_of_all_entries_stay_within_the_bound(self):
        """Nine entries with eight slots each would open 72 connections."""

        async def handle(reader, writer, headers):
            await fixtures.read_body(reader, headers)
            await asyncio.sleep(0.02)
            writer.write(fixtures.answer(headers))
            return True

        async with (
            fixtures.RawServer.serve(handle) as server,
            contextlib.AsyncExitStack() as stack,
        ):
            entries = []
            for _ in range(9):
                ledger = fixtures.open_ledger()
                sender = fixtures.open_sender(ledger)
                stack.push_async_callback(sender.close)
                entry = self._entry(sender)
                entry.ledger = ledger
                entry.pool.set_entries(9)
                entry.pool.update([fixtures.endpoint(url=server.url)])
                entries.append(entry)
            for entry in entries:
                for number in range(40):
                    entry.submit(str(number))
            for entry in entries:
                await entry.settle(40)
            self.assertLessEqual(server.highest_open, 64)

    async def test_error_after_a_send_keeps_the_connection(self):
        """If the error ended the connection, its slot and task would be lost."""
        self.pool.update([fixtures.endpoint(url="http://a", slots=1)])
        original = self.pool._settle
        self.pool._settle = (
            lambda pending, result: original(pending, result) or 1 / 0
        )
        self.entry.submit("a")
        await self.entry.settle(1)
        self.pool._settle = original
        self.entry.submit("b")
        await self.entry.settle(2)

    async def test_close_waits_for_sends_and_gives_up_late_ones(self):
        """A stop must neither cut off answers nor wait for a hung endpoint."""
        self.sender.delays = {"http://slow": 0.1, "http://hung": 60.0}
        names = ("slow", "hung")
        self.pool.update(
            [fixtures.endpoint(n, url=f"http://{n}") for n in names]
        )
        await asyncio.sleep(0.01)
        for name in names:
            self.entry.submit(name)
        await asyncio.sleep(0.02)
        await self.pool.close(timeout_s=0.3)
        kinds = {type(result) for _, result in self.entry.settled}
        self.assertEqual(kinds, {results.Answered, results.Lost})
        self.assertEqual(len(self.entry.settled), 2)

    async def test_refusing_endpoint_is_not_asked_in_a_loop(self):
        """Tasks that are refused at once must not be resent in a busy loop."""
        self.sender.delays["http://full"] = 0.0
        self.sender.results["http://full"] = results.Refused(leaving=False)
        self.pool.update([fixtures.endpoint(url="http://full", slots=1)])
        original = self.pool._settle

        def requeue(pending, result):
            original(pending, result)
            self.entry.matcher.submit(pending, front=True)

        self.pool._settle = requeue
        self.entry.submit("a")
        await asyncio.sleep(0.5)
        self.assertLessEqual(len(self.sender.sent), 12)
        self.assertGreaterEqual(len(self.sender.sent), 3)

    async def test_leaving_mark_is_reported_before_the_next_task(self):
        """An endpoint that marks itself as leaving must get no further task."""
        self.sender.results["http://a"] = results.Answered(b"{}", leaving=True)
        self.pool.update([fixtures.endpoint(url="http://a", slots=1)])
        self.pool._leaving = lambda _: self.pool.update(())
        for number in range(3):
            self.entry.submit(str(number))
        await self.entry.settle(1)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.sender.sent), 1)

    async def test_leaving_mark_from_the_former_address_is_not_reported(self):
        """Guards against a restarted endpoint that gets no work for 30 s."""
        self.sender.delays["http://old"] = 0.1
        self.sender.results["http://old"] = results.Answered(
            b"{}", leaving=True
        )
        self.pool.update([fixtures.endpoint(url="http://old")])
        self.entry.submit("a")
        await asyncio.sleep(0.02)
        self.pool.update([fixtures.endpoint(url="http://new")])
        await self.entry.settle(1)
        self.assertEqual(self.entry.leaving, [])

    async def test_leaving_mark_counts_after_a_change_at_the_same_address(self):
        """The list lags, so an answer may come from after the restart."""
        self.sender.delays["http://a"] = 0.1
        self.sender.results["http://a"] = results.Answered(b"{}", leaving=True)
        for key, changed in {
            "slots": [fixtures.endpoint(url="http://a", slots=3)],
            "restart": [fixtures.endpoint(url="http://a", born_ms=2)],
            "removal": [],
        }.items():
            self.entry.settled.clear()
            self.entry.leaving.clear()
            self.pool.update([fixtures.endpoint(url="http://a")])
            self.entry.submit(key)
            await asyncio.sleep(0.02)
            self.pool.update(changed)
            await self.entry.settle(1)
            self.assertEqual(self.entry.leaving, ["e1"], key)

    async def test_straggling_idempotent_request_is_sent_twice(self):
        """A request past the 99th percentile must not wait for a slow endpoint."""
        self.sender.delays["http://slow"] = 3.0
        self.pool.update([fixtures.endpoint(url="http://fast")])
        for number in range(200):
            self.entry.submit(str(number), idempotent=True)
        await self.entry.settle(200)
        # On a busy machine some of these are hedged. Waits for them to end and
        # refills the budget.
        await asyncio.sleep(0.1)
        self.entry.settled.clear()
        for _ in range(200):
            self.entry.budget.record_first_send()
        self.pool.update([fixtures.endpoint("e2", url="http://slow")])
        first = self.entry.submit("late", idempotent=True)
        self.entry.submit("plain")
        await asyncio.sleep(0.02)
        self.pool.update(
            [
                fixtures.endpoint("e1", url="http://fast"),
                fixtures.endpoint("e2", url="http://slow"),
            ]
        )
        await self.entry.settle(1)
        self.assertTrue(first.may_have_run)
        self.assertIs(self.entry.settled[0][0].record, first.record)
        self.assertEqual(
            [url for url, key in self.sender.sent if key == "plain/0"],
            ["http://slow"],
        )
        await self.pool.close(timeout_s=0.0)
