"""Ejection, probing and ranking of endpoints."""

import unittest

from sesameroad.routing import endpoint_health
from sesameroad.routing import results
from tests import fixtures

_OK = results.Answered(b"{}")
_BAD = results.RanAndFailed(500, "")
_LOST = results.Lost("")


class EndpointHealthTest(unittest.IsolatedAsyncioTestCase):
    """Guards against endpoints that attract work because they fail it fast."""

    async def asyncSetUp(self):
        self.clock = fixtures.FakeClock()
        self.ledger = fixtures.open_ledger()
        self.health = endpoint_health.EndpointHealth(clock=self.clock)
        self.endpoints = [fixtures.endpoint(f"e{n}") for n in range(4)]
        for endpoint in self.endpoints:
            self.health.add(endpoint)
        self.keys = 0

    def _pending(self, *, idempotent=False, work=None):
        self.keys += 1
        work = work or fixtures.request(str(self.keys), idempotent=idempotent)
        return fixtures.queued_task(self.ledger, work)

    def _observe(self, number, result, *, times=1, seconds=0.1, **fields):
        for _ in range(times):
            self.clock.seconds += seconds
            self.health.observe(
                self.endpoints[number], self._pending(**fields), result, seconds
            )

    def _rank(self, number, *, used=0, idempotent=True, pending=None):
        pending = pending or self._pending(idempotent=idempotent)
        return self.health.rank(self.endpoints[number], pending, used)

    async def test_five_failures_in_a_row_eject(self):
        """An endpoint that fails every task must stop getting work."""
        self._observe(0, _BAD, times=4)
        self.assertIsNotNone(self._rank(0))
        self._observe(0, _BAD)
        self.assertIsNone(self._rank(0))
        self.assertEqual(self.health.ejected, ["e0"])

    async def test_over_half_of_the_window_ejects(self):
        """Failures that alternate with answers must count too."""
        for _ in range(9):
            self._observe(0, _BAD)
            self._observe(0, _OK)
        self._observe(0, _BAD)
        self.assertEqual(self.health.ejected, [])
        self._observe(0, _BAD)
        self.assertEqual(self.health.ejected, ["e0"])

    async def test_probe_takes_one_task_and_doubles(self):
        """An endpoint that still fails must not get a burst of tasks."""
        self._observe(0, _BAD, times=5)
        for seconds in (1, 2, 4, 8, 16, 30, 30):
            self.clock.seconds += seconds - 0.1
            self.assertIsNone(self._rank(0))
            self.clock.seconds += 0.1 + 1e-6
            self.assertIsNone(self._rank(0, idempotent=False))
            self.assertIsNotNone(self._rank(0))
            self.assertIsNone(self._rank(0, used=1))
            self._observe(0, _BAD, seconds=0.0)
        self.clock.seconds += 31
        self.assertIsNotNone(self._rank(0, idempotent=False))
        self._observe(0, _OK)
        self.assertEqual(self.health.ejected, [])

    async def test_hung_task_does_not_hold_back_the_probe(self):
        """A task in flight from before the ejection may hang forever."""
        self._observe(0, _BAD, times=5)
        self.clock.seconds += 1.1
        self.assertIsNotNone(self._rank(0, used=3))
        self.assertIsNone(self._rank(0, used=4))

    async def test_late_results_are_no_probes(self):
        """Sends from before the ejection must neither end nor extend it."""
        self._observe(0, _BAD, times=5)
        for result in (_OK, _BAD):
            self.health.observe(self.endpoints[0], self._pending(), result, 5.0)
        self.assertEqual(self.health.ejected, ["e0"])
        self.clock.seconds += 1.1
        self.assertIsNotNone(self._rank(0))

    async def test_at_most_half_are_ejected_by_failures(self):
        """In a brown-out the rest would be left with all of the load."""
        for number in range(4):
            work = fixtures.request(f"team{number}")
            for _ in range(20):
                self.health._failure_rates.clear()
                self._observe(number, _BAD, work=work)
        self.assertEqual(self.health.ejected, ["e0", "e1"])

    async def test_lost_connections_count_double_and_without_bound(self):
        """Dead endpoints must not get work, however many there are."""
        for number in range(4):
            self.health._failure_rates.clear()
            self._observe(number, _LOST, times=3)
        self.assertEqual(len(self.health.ejected), 4)

    async def test_failures_that_follow_the_work_are_not_held_against(self):
        """Broken tasks of one team must not eject endpoints that others use."""
        for _ in range(20):
            for number in range(4):
                self._observe(number, _BAD)
        self.assertEqual(self.health.ejected, [])

    async def test_failing_submission_ejects_nothing(self):
        """A submission whose tasks all fail must not eject endpoints."""
        work = fixtures.submission("job", tasks=1)
        for _ in range(8):
            for number in range(4):
                self._observe(number, _BAD, work=work)
        self.assertEqual(self.health.ejected, [])

    async def test_second_failure_of_a_task_is_not_held_against(self):
        """A task that failed elsewhere is no evidence against this endpoint."""
        for _ in range(10):
            pending = self._pending(idempotent=True)
            pending.attempts, pending.tried = 1, ("e1",)
            self.health.observe(self.endpoints[0], pending, _BAD, 0.1)
        self.assertEqual(self.health.ejected, [])

    async def test_refusals_pause_and_do_not_eject(self):
        """A full endpoint must be neither retried at once nor ejected."""
        self._observe(0, results.Refused(leaving=False), times=10, seconds=0.0)
        self.assertIsNone(self._rank(0))
        self.assertEqual(self.health.ejected, [])
        self.clock.seconds += 0.21
        self.assertIsNotNone(self._rank(0))

    async def test_unreachable_endpoint_gets_one_task_at_a_time(self):
        """Not every connection may retry an endpoint that refuses to connect."""
        for _ in range(8):
            self._observe(0, results.NeverSent(""), seconds=0.0)
        self.assertIsNone(self._rank(0))
        self.clock.seconds += 5.01
        self.assertIsNotNone(self._rank(0))
        self.assertIsNone(self._rank(0, used=1))

    async def test_fast_failures_do_not_attract_work(self):
        """An idle endpoint that fails fast must rank behind busy ones."""
        self._observe(1, _OK, times=20)
        self._observe(0, _BAD, times=4, seconds=0.001)
        self.assertGreater(self._rank(0, used=1), self._rank(1, used=1))

    async def test_straggler_ranks_behind(self):
        """A slow endpoint must get fewer tasks."""
        for _ in range(40):
            for number in range(3):
                self._observe(number, _OK)
            self._observe(3, _OK, seconds=1.0)
        self.assertGreater(self._rank(3, used=0), self._rank(0, used=1))

    async def test_failed_task_goes_elsewhere_first(self):
        """A retry must not return to the endpoint that failed the task."""
        pending = self._pending(idempotent=True)
        pending.tried = ("e0",)
        tried = self._rank(0, pending=pending, used=0)
        self.assertGreater(tried, self._rank(1, pending=pending, used=7))

    async def test_failed_task_may_return_if_no_other_endpoint_is_free(self):
        """The entry may hold no slot elsewhere; the task would wait forever."""
        pending = self._pending(idempotent=True)
        pending.tried = ("e0",)
        self.assertIsNotNone(self._rank(0, pending=pending))

    async def test_replaced_endpoint_starts_afresh(self):
        """Results of the old URL must not count against the new one."""
        self._observe(0, _BAD, times=5)
        self.health.add(fixtures.endpoint("e0", url="http://127.0.0.1:2"))
        self._observe(0, _BAD, times=5)
        self.assertEqual(self.health.ejected, [])

    async def test_restarted_endpoint_starts_afresh(self):
        """Results from before a restart must not count after it."""
        self._observe(0, _BAD, times=5)
        self.health.add(fixtures.endpoint("e0", born_ms=2))
        self.assertEqual(self.health.ejected, [])
        self._observe(0, _LOST, times=5)
        self.assertEqual(self.health.ejected, [])
