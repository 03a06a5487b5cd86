"""What operators of similar systems have reported, tried on real processes.

docs/guarantees.md says for each report which other tests show it.
"""

import asyncio
import signal

from standins import store
from tests import test_serve

# Longer than each lease, timeout and claim of the instances.
_PAUSE_S = 4.0
# Longer than the period in which an instance that leads nothing reads the list.
_LIST_PERIOD_S = 4.5


class OperatorReportsTest(test_serve.InstancesTest):
    """Guards against doubled, lost and misdirected runs around one fault."""

    async def _find_leader(self):
        """Returns the number of the instance that gives orders."""
        for number, instance in enumerate(self.deployment.instances):
            if '"stewardship claimed"' in instance.log.read_text():
                return number
        raise AssertionError("no instance leads")

    def _leadership_log(self):
        """Returns what the instances logged on leaders and streams."""
        return "\n".join(
            line
            for instance in self.deployment.instances
            for line in instance.log.read_text().splitlines()
            if "steward" in line or "stream" in line
        )

    async def test_paused_leader_starts_nothing_that_another_one_runs(self):
        """A process that resumes must not act on a lease that has run out.

        Jobs of an instance whose leader is paused are sent again by their
        callers; the paused leader still has orders for them in its queues.
        """
        leader = await self._find_leader()
        other = 1 - leader
        jobs = [
            asyncio.create_task(
                self.submit(f"{n:016x}", instance=other, count=3, run_s=0.4)
            )
            for n in range(12)
        ]
        await asyncio.sleep(0.3)
        self.deployment.instances[leader].signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        during = await self.submit("e" * 16, instance=other, run_s=0.1)
        self.deployment.instances[leader].signal(signal.SIGCONT)
        answers = await asyncio.gather(*jobs)
        await asyncio.sleep(2.0)
        after = await self.submit("f" * 16, instance=leader, run_s=0.1)
        self.assertEqual(
            (during[0], after[0]),
            (200, 200),
            f"{during} {after}\n{self._leadership_log()}",
        )
        history = self.deployment.history
        self.assertEqual(history.overlapping, [])
        self.assertEqual(history.running, {})
        for n, (status, _) in enumerate(answers):
            tasks = [f"{n:016x}.0.0.{index}" for index in range(3)]
            if status == 200:
                self.assertTrue(set(tasks) <= set(history.done), n)
            if status in {429, 503}:
                self.assertFalse(set(tasks) & set(history.starts), n)

    async def test_restarted_instance_does_not_use_an_endpoint_that_left(self):
        """An endpoint that left must not come back from a peer or a cache.

        The store is down when the instance starts again, so that it takes the
        endpoints of its peer.
        """
        await self.deployment.remove_endpoint("e0")
        await asyncio.sleep(_LIST_PERIOD_S)
        self.deployment.store.fault = store.Fault.DOWN
        restarted = self.deployment.instances[0]
        restarted.signal(signal.SIGKILL)
        await asyncio.to_thread(restarted.wait)
        restarted.start()
        await self.deployment.wait_ready(restarted)
        history = self.deployment.history
        before = len(history.starts)
        answers = [
            await self.submit(f"{n:016x}", instance=0, count=1, run_s=0.1)
            for n in range(6)
        ]
        self.assertEqual([status for status, _ in answers], [200] * 6)
        self.assertEqual(len(history.starts), before + 6)
        left = self.deployment.endpoints[0]
        self.assertEqual(left.end_count, 0)

    async def test_late_answer_of_the_store_does_not_hold_up_jobs(self):
        """A store that is slow to answer must not give up running work."""
        self.deployment.store.fault = store.Fault.SLOW
        job = asyncio.create_task(
            self.submit("a" * 16, count=2, run_s=3.0, instance=1)
        )
        await asyncio.sleep(1.0)
        short = await self.submit("b" * 16, run_s=0.1)
        self.assertEqual((await job)[0], 200)
        self.assertEqual(short[0], 200)
        self.assertEqual(len(self.deployment.history.starts), 4)
