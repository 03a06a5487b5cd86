"""Endpoints that restart under their id, with instances as processes.

A series of restarts and other faults is played once by default. Its seeds are 1, 2
and so on; the environment variable RESTART_SEEDS sets their number, and
RESTART_FIRST_SEED the first one. Faults and jobs follow the seed; the timing of
processes does not:

    export RESTART_SEEDS=50
    .venv/bin/python -m nose2 tests.test_restarted_endpoint_processes
"""

import asyncio
import collections
import signal
import time

from standins import store
from tests import _processes

_SERIES_S = 9.0
# Share of the restarted endpoints with a new row that change their address.
_MOVED_SHARE = 0.25


class RestartedEndpointProcessesTest(_processes.ProcessTest):

    async def test_jobs_after_a_restart_of_idle_endpoints_run_once(self):
        """Guards against giving up runs that began after a restart.

        Idle endpoints are not polled, and their rows show the former start time
        when the jobs come, or until these run.
        """
        await self.open()
        for listed, pause_s in ((None, 0.0), (0.1, 0.0), (None, 0.6)):
            warm_up = await self.submit(count=6, run_s=0.1)
            self.check_all_answered([warm_up])
            await asyncio.sleep(1.2)
            await asyncio.gather(
                *(
                    self.deployment.restart_endpoint(
                        endpoint.endpoint.id, down_s=0.1, listed=listed
                    )
                    for endpoint in self.deployment.endpoints
                )
            )
            await asyncio.sleep(pause_s)
            jobs = await asyncio.gather(
                *(
                    self.submit(
                        run_s=0.2 + 0.13 * number,
                        instance=number % 2,
                        max_attempts=1,
                    )
                    for number in range(6)
                )
            )
            self.check()
            counts = collections.Counter(self.history.starts)
            for job in jobs:
                self.assertEqual(
                    (job.attempts, [counts[task] for task in job.tasks]),
                    ([_processes.OK], [1] * job.count),
                    self.trace(job.key),
                )
        await self.check_rest()

    async def test_restarts_under_runs_while_the_store_is_down(self):
        """Guards against a second run while the list shows the former start.

        The rows of two endpoints show it until after the store is back. One
        endpoint comes back at another address, and one restarts twice.
        """
        await self.open(endpoint_count=4)
        restart = self.deployment.restart_endpoint

        def submit(number, run_s):
            return asyncio.create_task(
                self.submit(run_s=run_s, instance=number % 2, timeout_s=6.0)
            )

        submitted = [submit(n, 1.0 + 0.1 * n) for n in range(6)]
        await asyncio.sleep(0.3)
        self.deployment.store.fault = store.Fault.DOWN
        await asyncio.gather(
            restart("e0", down_s=0.05, listed=1.5),
            restart("e1", down_s=0.4, listed=1.5),
            restart("e2", down_s=0.2, listed=0.0, moves=True),
        )
        submitted += [submit(n, 0.8 + 0.1 * n) for n in range(4)]
        await asyncio.sleep(0.2)
        await restart("e0", down_s=0.02, listed=1.5)
        await asyncio.sleep(0.3)
        self.deployment.store.fault = store.Fault.NONE
        jobs = await asyncio.gather(*submitted)
        self.check()
        self.check_all_answered(jobs)
        await self.check_rest()


class RestartSeriesTest(_processes.ProcessTest):

    async def test_series_of_restarts_and_other_faults(self):
        """Guards against two runs at the same time under several faults.

        Endpoints restart and carry out orders late, the store is down at times,
        and the leader is paused.
        """
        await self.play_seeds("RESTART", self._play, first=1)

    async def _play(self, seed):
        await self.open(endpoint_count=4, seed=seed)
        self.deployment.late_orders.share = 0.04
        end_at = time.monotonic() + _SERIES_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_jobs(group, end_at))
            for endpoint in self.deployment.endpoints:
                group.create_task(
                    self._restart_at_times(endpoint.endpoint.id, end_at)
                )
            group.create_task(self._stop_store_at_times(end_at))
            group.create_task(self._pause_leader_at_times(end_at))
        self.deployment.late_orders.share = 0.0
        self.check()
        await self.check_rest()

    async def _send_jobs(self, group, end_at):
        random_ = self.random("jobs")
        while time.monotonic() < end_at:
            group.create_task(
                self.submit(
                    count=random_.randint(1, 4),
                    run_s=round(random_.uniform(0.05, 0.9), 2),
                    cores=random_.choice((1.0, 2.0, 4.0)),
                )
            )
            await asyncio.sleep(random_.expovariate(8.0))

    async def _restart_at_times(self, name, end_at):
        random_ = self.random(name)
        while True:
            await asyncio.sleep(random_.uniform(0.2, 3.5))
            if time.monotonic() >= end_at:
                return
            listed = random_.choice((0.0, 0.3, 1.5, None))
            await self.deployment.restart_endpoint(
                name,
                down_s=random_.choice((0.01, 0.1, 0.5)),
                listed=listed,
                # Without its row, nobody would find it at another address.
                moves=listed is not None and random_.random() < _MOVED_SHARE,
            )

    async def _stop_store_at_times(self, end_at):
        random_ = self.random("store")
        while True:
            await asyncio.sleep(random_.uniform(0.5, 2.0))
            if time.monotonic() >= end_at:
                return
            self.deployment.store.fault = store.Fault.DOWN
            self.deployment.late_orders.record("store", "is down")
            await asyncio.sleep(random_.uniform(0.5, 2.5))
            self.deployment.store.fault = store.Fault.NONE
            self.deployment.late_orders.record("store", "is up")

    async def _pause_leader_at_times(self, end_at):
        random_ = self.random("leader")
        while True:
            await asyncio.sleep(random_.uniform(1.5, 4.0))
            if time.monotonic() >= end_at:
                return
            leader = self.find_leader()
            self.deployment.late_orders.record(
                "signal", f"{leader.name} is stopped"
            )
            leader.signal(signal.SIGSTOP)
            await asyncio.sleep(random_.choice((0.2, 0.6, 1.1, 2.0)))
            leader.signal(signal.SIGCONT)
            self.deployment.late_orders.record(
                "signal", f"{leader.name} is resumed"
            )
