"""Instances as processes, with stand-ins of the store and of endpoints."""

import asyncio
import json
import signal
import unittest

import aiohttp

from sesameroad.telemetry import timeline
from standins import deployment
from standins import store

_CONFIGURATION_S = 2.0


def job_body(count=2, run_s=0.1, **changes):
    step = {"count": count, "cpu": 6_000, "est-runtime-ms": run_s * 1_000}
    return {
        "spec": f"{run_s}/6.0",
        "steps": [step],
        "best-effort": True,
        **changes,
    }


class InstancesTest(unittest.IsolatedAsyncioTestCase):
    """Two instances and two endpoints, with calls as callers make them."""

    async def asyncSetUp(self):
        self.deployment = deployment.Deployment(
            instance_count=2, endpoint_count=2
        )
        await self.deployment.__aenter__()
        self.addAsyncCleanup(self.deployment.__aexit__)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def call(self, method, path, *, instance=0, body=None, data=None):
        url = f"http://{self.deployment.instances[instance].web}{path}"
        headers = {"Host": deployment.HOST, "Timeout-Ms": "5000"}
        async with self.session.request(
            method, url, json=body, data=data, headers=headers
        ) as answer:
            text = await answer.text()
            return answer.status, json.loads(text) if text else None

    async def submit(self, key, *, instance=0, **options):
        return await self.call(
            "POST",
            f"{deployment.PATH_PREFIX}{key}",
            instance=instance,
            body=job_body(**options),
        )


class ServeTest(InstancesTest):

    async def test_jobs_bad_input_and_configuration(self):
        """Guards against faults between the parts of an instance.

        Runs jobs from request to response, sends invalid requests, and changes
        the configuration.
        """
        answers = await asyncio.gather(
            *(
                self.submit(f"{n:016x}", instance=n % 2, count=3)
                for n in range(6)
            )
        )
        self.assertEqual(answers, [(200, {"state": "completed"})] * 6)
        self.assertEqual(len(self.deployment.history.done), 18)
        self.assertEqual(self.deployment.history.overlapping, [])

        path = f"{deployment.PATH_PREFIX}{'a' * 16}"
        for data, expected in (
            (b"{", 400),
            (b"{}", 400),
            (json.dumps(job_body(count=0)).encode(), 400),
            (json.dumps(job_body() | {"steps": []}).encode(), 400),
            (json.dumps(job_body() | {"best-effort": False}).encode(), 503),
            (b" " * 300_000, 413),
        ):
            status, _ = await self.call("POST", path, data=data)
            self.assertEqual(status, expected, data[:60])
        self.assertEqual((await self.call("POST", "/other/"))[0], 404)
        status, _ = await self.call(
            "POST", f"{deployment.PATH_PREFIX}xyz", body=job_body()
        )
        self.assertEqual(status, 400)
        self.assertEqual((await self.call("GET", path))[0], 410)
        self.assertEqual((await self.call("DELETE", path))[0], 410)
        status, content = await self.call("GET", deployment.PATH_PREFIX)
        self.assertEqual((status, content), (200, {"pending": 0}))

        await self.deployment.configure(version=2, prefix="/moved/")
        await asyncio.sleep(_CONFIGURATION_S)
        for instance in (0, 1):
            old = await self.call(
                "GET", deployment.PATH_PREFIX, instance=instance
            )
            new = await self.call("GET", "/moved/", instance=instance)
            self.assertEqual((old[0], new[0]), (404, 200))
        url = f"http://{self.deployment.instances[0].metrics}/metrics"
        async with self.session.get(url) as answer:
            text = await answer.text()
        self.assertIn("sesameroad_configuration_version 2.0", text)
        self.assertIn("sesameroad_jobs_answered_total", text)
        url = f"http://{self.deployment.instances[0].metrics}/interference"
        async with self.session.get(url) as answer:
            self.assertEqual(await answer.json(), [])

    async def test_killed_instance_leaves_no_run_and_the_other_serves(self):
        """Guards against a job that runs twice after its instance was killed.

        The caller sends the job again to another instance.
        """
        doomed = asyncio.create_task(
            self.submit("d" * 16, instance=0, run_s=4.0)
        )
        await asyncio.sleep(0.7)
        self.deployment.instances[0].signal(signal.SIGKILL)
        with self.assertRaises(aiohttp.ClientError):
            await doomed
        await asyncio.sleep(1.3)
        self.assertEqual(self.deployment.history.running, {})
        status, _ = await self.submit("d" * 16, instance=1, run_s=0.2)
        self.assertEqual(status, 200)
        self.assertEqual(self.deployment.history.overlapping, [])

    async def test_graceful_stop_finishes_all_requests(self):
        jobs = [
            asyncio.create_task(
                self.submit(f"{n:016x}", instance=n % 2, count=1, run_s=1.0)
            )
            for n in range(4)
        ]
        await asyncio.sleep(0.3)
        self.deployment.instances[0].signal(signal.SIGTERM)
        answers = await asyncio.gather(*jobs)
        self.assertEqual([status for status, _ in answers], [200] * 4)
        code = await asyncio.to_thread(self.deployment.instances[0].wait)
        self.assertEqual(code, 0)
        self.assertEqual(self.deployment.history.overlapping, [])
        self.assertEqual(len(self.deployment.history.starts), 4)

    async def test_job_that_arrives_late_in_a_stop_is_refused(self):
        """Guards against accepting a job that the stop then aborts.

        Seen in a randomized fault run: a job accepted 4.9 s after SIGTERM was
        aborted. Running jobs delayed the stop, and new jobs were still
        accepted.
        """
        long_job = asyncio.create_task(
            self.submit("a" * 16, count=1, run_s=4.0)
        )
        await asyncio.sleep(0.3)
        self.deployment.instances[0].signal(signal.SIGTERM)
        await asyncio.sleep(2.8)
        status, _ = await self.submit("b" * 16, count=1, run_s=0.1)
        self.assertEqual(status, 503)
        self.assertEqual((await long_job)[0], 200)
        self.assertEqual(len(self.deployment.history.starts), 1)

    async def test_store_outage_does_not_stop_service(self):
        self.deployment.store.fault = store.Fault.DOWN
        await asyncio.sleep(1.0)
        status, _ = await self.submit("b" * 16)
        self.assertEqual(status, 200)

    async def test_history_of_a_request_is_found_in_the_logs(self):
        """Guards against log lines that do not suffice to explain a request.

        An engineer on call has only the id of the request and the logs.
        """
        await self.submit("c" * 16, instance=0)
        await asyncio.sleep(0.2)
        lines = [
            line
            for instance in self.deployment.instances
            for line in instance.log.read_text().splitlines()
        ]
        found, unreadable = timeline.read(lines, "c" * 16)
        self.assertEqual(unreadable, 0)
        self.assertEqual(timeline.gaps(found), [])
        self.assertIn("answered", timeline.cause(found))
