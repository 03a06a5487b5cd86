"""Signals to a real instance that owes answers."""

import asyncio
import os
import signal
import unittest

from sesameroad.node import service
from sesameroad.settings import node
from tests import _processes

# Longest times between two signals of a series.
_GAPS_S = (0.0, 0.001, 0.005)
# Signals of a series after the first one.
_COUNT = 30
_RUN_S = 0.8


class SeriesTest(_processes.ProcessTest):
    """One instance with a job in flight."""

    async def stop_with_a_job(self, signals, *, gap_s):
        """Sends signals while a job runs; returns its answer, exit code and log.

        Args:
            signals: Signals, which the instance gets while the job runs.
            gap_s: Longest time between two of them.
        """
        random_ = self.random(f"gaps {gap_s}")
        instance = self.deployment.instances[0]
        job = asyncio.create_task(
            self.submit(count=1, run_s=_RUN_S, max_attempts=1)
        )
        await asyncio.sleep(_RUN_S / 2)
        for number in signals:
            instance.signal(number)
            if gap_s:
                await asyncio.sleep(random_.uniform(0.0, gap_s))
        answered = await job
        code = await asyncio.to_thread(instance.wait)
        return answered.attempts, code, instance.log.read_text()

    async def check_series(self, later):
        for gap_s in _GAPS_S:
            with self.subTest(gap_s=gap_s):
                await self.open(instance_count=1, endpoint_count=1)
                random_ = self.random(f"signals {gap_s}")
                signals = [signal.SIGTERM, *random_.choices(later, k=_COUNT)]
                attempts, code, log = await self.stop_with_a_job(
                    signals, gap_s=gap_s
                )
                self.assertEqual((attempts, code), ([200], os.EX_OK), log)
                self.assertNotIn("Traceback", log)
                self.assertEqual(log.count('"instance stops"'), 1)

    async def test_second_stop_request_does_not_cut_the_first_one_short(self):
        """Guards against a second request to stop that ends the loop at once.

        SIGTERM and SIGINT in the same turn of the event loop did: all connections
        were closed while the graceful stop waited for jobs.
        """
        await self.check_series([signal.SIGTERM, signal.SIGINT])

    async def test_repeated_sigterm_changes_nothing(self):
        """Guards against a platform that repeats SIGTERM until the process ends."""
        await self.check_series([signal.SIGTERM])

    async def test_stop_is_graceful_whatever_other_signals_follow(self):
        """Guards against a signal that interrupts the graceful stop.

        SIGINT after SIGTERM raised an exception in the event loop.
        """
        await self.check_series([signal.SIGTERM, signal.SIGINT, signal.SIGHUP])

    async def test_signals_until_the_process_has_ended_are_harmless(self):
        """Guards against a late signal with its default effect.

        The event loop restored the one of SIGHUP as it was closed, and the
        interpreter those of all as it ended: exit codes were -1 and -15.
        """
        kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        for number in kinds:
            with self.subTest(number=number):
                await self.open(instance_count=1, endpoint_count=1)
                instance = self.deployment.instances[0]
                instance.signal(signal.SIGTERM)
                while instance.running:
                    instance.signal(number)
                    await asyncio.sleep(0.001)
                log = instance.log.read_text()
                self.assertEqual(instance.wait(), os.EX_OK, log)
                self.assertNotIn("Traceback", log)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """The service of an instance, in the process of the test."""

    async def test_stop_before_the_start_is_no_error(self):
        """Guards against an error of the stop that hides that of the start."""
        settings = node.NodeSettings(
            instance_id="i1",
            data_centre="dc1",
            data_centres={"dc1": "region"},
            web="127.0.0.1:1",
            ready="127.0.0.1:1",
            peer="127.0.0.1:1",
            metrics="127.0.0.1:1",
            platform="127.0.0.1:1",
            max_lease_ms=1_000,
        )
        await service.NodeService(settings=settings, listener=None).stop()
