"""The steps of a graceful stop, in virtual time."""

from sesameroad.node import graceful_stop
from sesameroad.settings import node
from tests import _virtual

_TIMING = node.Timing(stop_notice_s=2.5, graceful_stop_s=5.3)


class _CallerJobs:
    """Jobs that end when they are withdrawn."""

    def __init__(self, steps, count):
        self._steps = steps
        self._count = count

    def __len__(self):
        return self._count

    async def withdraw_all(self):
        self._steps.append("withdraw")
        self._count = 0


class _Leaders:
    is_leader = True

    def __init__(self, steps):
        self._steps = steps

    async def close(self):
        self._steps.append("resign")


class _Server:
    """A server that notes how long it may answer requests."""

    def __init__(self, steps, name):
        self._steps = steps
        self._name = name

    async def close(self, *, timeout_s):
        self._steps.append((self._name, round(timeout_s, 1)))


class GracefulStopTest(_virtual.VirtualTimeTest):

    def setUp(self):
        super().setUp()
        self.steps = []

    def open(self, *, jobs=0, announce=lambda: None):
        async def close():
            self.steps.append("close")

        self.clock = _virtual.Clock()
        return graceful_stop.GracefulStop(
            timing=_TIMING,
            clock=self.clock,
            announce=announce,
            tell_peers=lambda: self.steps.append("tell"),
            caller_jobs=_CallerJobs(self.steps, jobs),
            leaders=_Leaders(self.steps),
            servers=[
                _Server(self.steps, "metrics"),
                _Server(self.steps, "callers"),
            ],
            close=close,
        )

    async def test_servers_close_after_jobs_and_leadership(self):
        """Guards against callers that are cut off by the order of the steps."""
        stop = self.open()
        began_at = self.clock.monotonic()
        await stop.run()
        self.assertEqual(
            self.steps,
            ["withdraw", "resign", "tell"]
            + [("callers", 2.4), ("metrics", 2.4), "close"],
        )
        self.assertAlmostEqual(self.clock.monotonic() - began_at, 3.3)

    async def test_jobs_are_waited_for_until_the_end_of_the_stop(self):
        """Guards against a stop that lasts until the process is killed."""
        stop = self.open(jobs=1)
        await stop.run(requested_at=self.clock.monotonic() - 1.0)
        self.assertIn(("callers", 0.3), self.steps)

    async def test_time_that_has_passed_before_the_stop_counts(self):
        """Guards against a stop that begins late and is killed."""
        stop = self.open(jobs=1)
        began_at = self.clock.monotonic()
        await stop.run(requested_at=began_at - 20.0)
        self.assertLess(self.clock.monotonic() - began_at, 0.1)
        self.assertIn(("callers", 0.1), self.steps)

    async def test_step_that_fails_does_not_end_the_stop(self):
        """Guards against connections that an error in an early step cuts off."""

        def fail():
            raise ValueError("fault")

        stop = self.open(announce=fail)
        began_at = self.clock.monotonic()
        with self.assertRaises(ExceptionGroup):
            await stop.run()
        self.assertEqual(self.steps[-1], "close")
        self.assertAlmostEqual(self.clock.monotonic() - began_at, 3.3)

    async def test_jobs_are_refused_once_the_stop_was_noticed(self):
        """Guards against jobs that begin so late that the stop aborts them."""
        stop = self.open()
        self.assertFalse(stop.refuses_jobs)
        await stop.run()
        self.assertTrue(stop.refuses_jobs)
