"""Tests of what an instance does directly after a pause, without processes."""

import asyncio

from sesameroad.node import loop_pulse
from tests import _jobs
from tests import _virtual


class PausedLeaderTest(_virtual.VirtualTimeTest):

    async def test_start_that_waited_in_a_pause_is_not_sent(self):
        """Guards against a run for a caller that has left in the pause.

        The end of its connection is read after the start's turn has come. The job
        of a caller that still waits starts as soon as that has been read.
        """
        site = _jobs.Site(count=1)
        paused = False
        async with site.leader(was_paused=lambda: paused) as leader:
            paused = True
            left, waiting = (
                asyncio.create_task(
                    leader.submit(site.job(key * 16), site.origin)
                )
                for key in "ab"
            )
            await asyncio.sleep(0.01)
            self.assertEqual(site.history.starts, [])
            leader.cancel(f"{'a' * 16}/0", site.origin.id)
            paused = False
            await asyncio.gather(left, waiting)
        started = {task.partition(".")[0] for task in site.history.starts}
        self.assertEqual(started, {"b" * 16})

    async def test_start_after_the_deadline_of_its_caller_is_not_sent(self):
        """Guards against the same, for a caller whose time is over.

        Also against a leader that places such a task again and again until its
        next check ends the job.
        """
        site = _jobs.Site(count=1)
        async with site.leader() as leader:
            await leader.submit(site.job(deadline_s=0.0), site.origin)
        self.assertEqual(site.history.starts, [])

    async def test_pulse_is_late_until_the_next_step(self):
        """Guards against a pause that is over before anything notices it."""
        clock = _virtual.Clock()
        pulse = loop_pulse.LoopPulse(clock)
        self.assertFalse(pulse.is_older_than(0.3))
        await asyncio.sleep(0.5)
        self.assertTrue(pulse.is_older_than(0.3))
        pulse.record()
        self.assertFalse(pulse.is_older_than(0.3))
