"""Background loops."""

import asyncio
import unittest

from sesameroad.entry import supervisor as supervisors


class SupervisorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a view of the fleet that silently stops to change."""

    async def test_failed_loop_is_started_again(self):
        runs = 0
        again = asyncio.Event()

        async def loop():
            nonlocal runs
            runs += 1
            if runs == 1:
                raise ValueError("first run")
            again.set()
            await asyncio.sleep(60)

        supervisor = supervisors.Supervisor(restart_delay_s=0.0)
        supervisor.run("loop", loop)
        async with asyncio.timeout(5):
            await again.wait()
        await supervisor.stop()
        self.assertEqual((runs, supervisor.failures), (2, 1))
