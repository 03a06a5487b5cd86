"""Evacuation of a data centre with instances as processes and callers."""

import asyncio
import signal

from standins import store
from tests import _processes

# Time for instances to know a change or to elect a leader. The page allows 5 s.
_APPLY_S = 2.5


class EvacuationProcessesTest(_processes.ProcessTest):

    async def check_starts(self, data_centre, *, some):
        await asyncio.sleep(_APPLY_S)
        before = self.deployment.count_starts(data_centre)
        await asyncio.sleep(1.5)
        started = self.deployment.count_starts(data_centre) - before
        self.assertEqual(started > 0, some, f"{started} in {data_centre}")

    async def submit_all(self, group):
        while self.sending:
            group.create_task(self.submit(count=3, run_s=0.2))
            await asyncio.sleep(0.05)

    async def test_evacuation_through_faults(self):
        """Guards against starts there after the loss of a leader or a path.

        The leader is killed while the store is down. The row is removed during a
        partition, and the store has dropped its history when it is back.
        """
        await self.open(
            instance_count=4,
            endpoint_count=4,
            data_centres=("dc1", "dc2"),
            can_cut=True,
        )
        asyncio.get_running_loop().set_debug(False)
        self.sending = True
        async with asyncio.TaskGroup() as group:
            group.create_task(self.submit_all(group))
            await self.check_starts("dc1", some=True)
            await self.play(self.deployment, self.deployment.store)
            self.sending = False
        self.check()
        await self.check_rest()

    async def play(self, deployment, store_):
        await store_.put("op", "evacuate/dc1", {})
        await self.check_starts("dc1", some=False)
        store_.fault = store.Fault.DOWN
        leader = self.find_leader()
        leader.signal(signal.SIGKILL)
        await asyncio.to_thread(leader.wait)
        leader.start()
        await deployment.wait_ready(leader)
        await self.check_starts("dc1", some=False)
        await self.check_starts("dc2", some=True)
        # The restarted instance has a peer's list, with that one's own paths.
        store_.fault = store.Fault.NONE
        await self.check_starts("dc1", some=False)
        store_.fault = store.Fault.DOWN
        paths = deployment.paths_between("dc1", "dc2")
        await deployment.paths.cut(paths, reset=True)
        await self.check_starts("dc1", some=False)
        refused = await self.submit(instance=0)
        self.assertIn(refused.attempts, ([429], [503]), refused)
        await store_.remove("op", "evacuate/dc1")
        store_.drop_history()
        store_.fault = store.Fault.NONE
        await self.check_starts("dc1", some=True)
        await deployment.paths.restore()
        await asyncio.sleep(_APPLY_S)
