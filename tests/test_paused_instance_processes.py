"""Requests that wait in an instance that is paused, whose callers come again."""

import asyncio
import json
import signal

from tests import _processes

# Below 6/64, so that each data centre has its own leader.
_SMALL_PROCESSOR_SHARE = 0.09
# Time until each instance is linked to all others after it is ready.
_LINK_S = 1.0
_RUN_S = 2.0
_TIMEOUT_S = 6.0
# Time after which a caller comes again whose connection has ended at once.
_RETURN_S = 1.3
# Time after the return at which the instance goes on: the job is too young for other
# leaders to know it.
_RESUMED_S = 0.5
_JOBS = 20


class PausedInstanceTest(_processes.ProcessTest):
    """Two data centres with a leader each, and two instances in each."""

    async def _play(self, *, leads):
        """Pauses an instance of dc1 while callers send jobs to it, and leave."""
        await self.open(
            instance_count=4,
            endpoint_count=6,
            data_centres=("dc1", "dc2"),
            processor_share=_SMALL_PROCESSOR_SHARE,
            can_cut=True,
        )
        await asyncio.sleep(_LINK_S)
        instances = self.deployment.instances
        home = instances.index(self._instance("dc1", leads=leads))
        other = instances.index(self._instance("dc2", leads=False))
        if leads:
            # The next leader does not reach the endpoints.
            await self.deployment.paths.cut(
                [
                    (instance.name, endpoint.endpoint.id)
                    for instance in instances
                    for endpoint in self.deployment.endpoints
                    if instance is not instances[home]
                    and endpoint.endpoint.data_centre == "dc1"
                ],
                reset=False,
            )
        instances[home].signal(signal.SIGSTOP)
        self.jobs = [
            _processes.Job(f"{number:016x}", 2) for number in range(_JOBS)
        ]
        left = [self._post(job, home) for job in self.jobs]
        await asyncio.sleep(0.1)
        for post in left:
            post.cancel()
        await asyncio.sleep(_RETURN_S)
        again = [self._post(job, other) for job in self.jobs]
        await asyncio.sleep(_RESUMED_S)
        instances[home].signal(signal.SIGCONT)
        for job, post in zip(self.jobs, again, strict=True):
            job.attempts.append(await post)
            job.not_done = set(job.tasks) - set(self.history.done)
        self.check()
        self.check_all_answered(self.jobs)

    def _post(self, job, instance):
        return asyncio.create_task(
            self.post(
                job,
                instance=instance,
                run_s=_RUN_S,
                cores=1.0,
                timeout_s=_TIMEOUT_S,
            )
        )

    def _instance(self, data_centre, *, leads):
        """Returns an instance that leads its data centre, or does not."""
        led = {}
        for instance in self.deployment.instances:
            for text in instance.log.read_text().splitlines():
                if '"stewardship claimed"' in text:
                    line = json.loads(text)
                    claim = line["time"], instance.name
                    name = line["steward_of"]
                    led[name] = max(led.get(name, claim), claim)
        leader = led[data_centre][1]
        return next(
            instance
            for instance in self.deployment.instances
            if instance.data_centre == data_centre
            and (instance.name == leader) == leads
        )

    async def test_request_whose_caller_has_left_is_not_run(self):
        """Guards against a run beside that of the caller's next attempt.

        An instance that goes on after a pause read the request, and had its tasks
        started before it read the end of the connection.
        """
        await self._play(leads=False)

    async def test_request_that_waits_at_a_leader_is_not_run(self):
        """Guards against the same at an instance that leads its data centre."""
        await self._play(leads=True)
