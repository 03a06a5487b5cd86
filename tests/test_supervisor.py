"""Tests of the supervisor of background loops."""

import asyncio
import unittest

from sesameroad.entry import supervisor as supervisor_module


class SupervisorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against loops that end unnoticed."""

    async def test_failed_loop_is_started_again(self):
        """Guards against outdated data about the fleet after a loop failed."""
        runs = 0
        restarted = asyncio.Event()

        async def loop():
            nonlocal runs
            runs += 1
            if runs == 1:
                raise ValueError("first run")
            restarted.set()
            await asyncio.sleep(60)

        supervisor = supervisor_module.Supervisor(restart_delay_s=0.0)
        with self.assertLogs("absl", "WARNING") as logs:
            supervisor.run("loop", loop)
            async with asyncio.timeout(5):
                await restarted.wait()
        await supervisor.stop()
        self.assertEqual(len(logs.records), 1)
        self.assertEqual((runs, supervisor.failures), (2, 1))

    async def test_loop_that_loses_a_cancellation_is_stopped(self):
        """Guards against a stop that lasts until the process is killed.

        The HTTP library raises a time-out in place of a cancellation that comes
        together with it.
        """
        begun = asyncio.Event()

        async def loop():
            begun.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                asyncio.current_task().uncancel()
                raise TimeoutError from None

        supervisor = supervisor_module.Supervisor(restart_delay_s=60.0)
        supervisor.run("loop", loop)
        await begun.wait()
        async with asyncio.timeout(5):
            await supervisor.stop()
