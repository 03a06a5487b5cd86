"""Answers to callers around stops and cancels, with instances as processes."""

import asyncio
import signal

import aiohttp

from standins import deployment
from tests import _processes

# One task at a time on each of the two endpoints.
_CORES = 10.0
# Time within which a cancel is answered, and then within which all runs have
# ended.
_CANCEL_S = 3.0
# Time until the logs have the claim of the first leader.
_LOG_S = 5.0
# Time until all instances are linked to each other, and until both sides of a cut
# have a leader and its row has been read.
_LINK_S = 1.0
_CUT_S = 6.0


class CallerProcessesTest(_processes.ProcessTest):

    async def delete(self, job, *, instance):
        """Sends a cancel; returns its status."""
        url = (
            f"http://{self.deployment.instances[instance].web}"
            f"{deployment.PATH_PREFIX}{job.key}"
        )
        async with self.session.delete(
            url,
            headers={"Host": deployment.HOST},
            timeout=aiohttp.ClientTimeout(total=4.0),
        ) as answer:
            return answer.status

    async def begin(self, *, instance, count=30):
        """Sends a job that takes seconds; returns it and the task."""
        job = _processes.Job(f"{len(self.jobs):016x}", count)
        self.jobs.append(job)
        call = asyncio.create_task(
            self.post(
                job, instance=instance, run_s=0.5, cores=_CORES, timeout_s=20.0
            )
        )
        await asyncio.sleep(0.8)
        return job, call

    async def assert_ended(self, job, call):
        """Asserts that a cancelled job was answered and runs no more."""
        self.assertEqual(await asyncio.wait_for(call, _CANCEL_S), 200)
        self.assertEqual(job.state, "cancelled")
        await asyncio.sleep(0.3)
        started = len(self.history.starts)
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.history.starts), started)
        self.assertEqual(self.history.running, {})

    async def test_cancel_reaches_a_job_of_any_instance(self):
        """Guards against a job that runs on although it was cancelled."""
        await self.open(endpoint_count=2)
        for origin, cancelled_at in ((0, 1), (1, 0), (0, 0), (1, 1)):
            with self.subTest(origin=origin, cancelled_at=cancelled_at):
                job, call = await self.begin(instance=origin)
                self.assertEqual(
                    await self.delete(job, instance=cancelled_at), 200
                )
                await self.assert_ended(job, call)
                again = await self.post(
                    job, instance=origin, run_s=0.1, cores=1.0, timeout_s=3.0
                )
                self.assertEqual((again, job.state), (200, "cancelled"))
        unknown = _processes.Job("f" * 16, 1)
        self.assertEqual(await self.delete(unknown, instance=1), 410)

    async def test_cancel_at_the_leader_outlives_it(self):
        """Guards against a cancelled job that runs at the next leader (review/6).

        The request arrives again after the leader, which took the cancel, is lost.
        """
        await self.open(instance_count=3, endpoint_count=2)
        leader = await self._leader()
        job, call = await self.begin(instance=leader)
        self.assertEqual(await self.delete(job, instance=leader), 200)
        await self.assert_ended(job, call)
        await self._repeat_after_a_loss(job, leader, pause_s=1.5)

    async def test_next_leader_starts_no_cancelled_job(self):
        """Guards against a start before the cancel is known (review/10).

        The request arrives again while there is no leader.
        """
        await self.open(instance_count=3, endpoint_count=2)
        leader = await self._leader()
        job, call = await self.begin(instance=(leader + 1) % 3)
        self.assertEqual(await self.delete(job, instance=(leader + 1) % 3), 200)
        await self.assert_ended(job, call)
        await self._repeat_after_a_loss(job, leader, pause_s=0.1)

    async def test_cancel_in_a_zone_that_is_cut_off_is_not_acknowledged(self):
        """Guards against "no such job" beside a leader out of reach (review/8).

        The zone that is cut off has a leader of its own, which does not know the
        job. The same holds for an instance outside.
        """
        await self.open(
            instance_count=4,
            endpoint_count=4,
            data_centres=("dc1", "dc2"),
            can_cut=True,
        )
        await asyncio.sleep(_LINK_S)
        await self.deployment.paths.cut(
            self.deployment.paths_between("dc1", "dc2"), reset=False
        )
        await asyncio.sleep(_CUT_S)
        for origin, cancelled_at in ((0, 1), (1, 0)):
            with self.subTest(origin=origin):
                job, call = await self.begin(instance=origin)
                self.assertEqual(
                    await self.delete(job, instance=cancelled_at), 503
                )
                self.assertFalse(call.done())
                call.cancel()
        await self.deployment.paths.restore()

    async def _repeat_after_a_loss(self, job, leader, *, pause_s):
        """Kills the leader and sends a cancelled job to an instance once more."""
        started = len(self.history.starts)
        self.deployment.instances[leader].signal(signal.SIGKILL)
        await asyncio.sleep(pause_s)
        again = await self.post(
            job,
            instance=(leader + 2) % 3,
            run_s=0.5,
            cores=_CORES,
            timeout_s=9.0,
        )
        self.assertEqual((again, job.state), (200, "cancelled"))
        self.assertEqual(len(self.history.starts), started)

    async def test_graceful_stop_answers_a_job_that_waits_elsewhere(self):
        """Guards against a connection that is cut off without an answer."""
        await self.open(endpoint_count=2)
        leader = await self._leader()
        ahead, ahead_call = await self.begin(instance=leader)
        waiting, call = await self.begin(instance=1 - leader)
        self.deployment.instances[1 - leader].signal(signal.SIGTERM)
        status = await asyncio.wait_for(call, 7.0)
        started = set(waiting.tasks) & set(self.history.starts)
        self.assertEqual((status, started), (503, set()))
        self.assertEqual(await self.delete(ahead, instance=leader), 200)
        await ahead_call

    async def test_body_with_a_wrong_encoding_is_a_client_error(self):
        """Guards against 500 for a body that does not match its header."""
        await self.open(instance_count=1, endpoint_count=1)
        url = (
            f"http://{self.deployment.instances[0].web}"
            f"{deployment.PATH_PREFIX}{'a' * 16}"
        )
        headers = {"Host": deployment.HOST, "Content-Encoding": "gzip"}
        async with self.session.post(
            url, data=b"{}", headers=headers
        ) as answer:
            self.assertEqual(answer.status, 400)
            self.assertIn("gzip", (await answer.json())["error"])

    async def _leader(self):
        """Returns the number of the instance that claimed last.

        Lines of the log are written up to 0.02 s after the events.
        """
        async with asyncio.timeout(_LOG_S):
            while not self._has_claim():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return self.deployment.instances.index(self.find_leader())

    def _has_claim(self):
        return any(
            '"stewardship claimed"' in instance.log.read_text()
            for instance in self.deployment.instances
        )
