"""Leaders that are cut off from peers and then from endpoints, as processes.

Instances of two data centres reach each other and the endpoints through
forwarders. The leader of all endpoints is cut off from instances of the other
data centre, and up to 0.6 s later from its endpoints. An instance there claims
these and finds the runs of the former leader, which counts on the end of the
lease that it has granted itself.

A series of such cuts is played once by default. Its seeds are 2, 3 and so on;
the environment variable CUT_SEEDS sets their number, and CUT_FIRST_SEED the first
one. CUT_LOGS names a directory for the logs of series that fail. Cuts and jobs
follow the seed; the timing of processes does not:

    export CUT_SEEDS=10
    .venv/bin/python -m nose2 tests.test_cut_leader_processes
"""

import asyncio
import itertools
import signal
import time

from standins import deployment
from tests import _processes

_ROUNDS = 2
# Time between rounds, in which links and leaders come back.
_PAUSE_S = 1.3
# Time until each instance is linked to all others after it is ready.
_LINK_S = 1.0
# Longest time from the first cut to that of the endpoints.
_MAX_LAG_S = 0.6
# Times from the first cut on for which the endpoints that are cut off lose all
# stops. Otherwise a leader that notices the cut first stops the runs of origins
# on the other side, and the next leader has nothing to go on with.
_LOST_STOPS_S = (0.0, 1.0, 1.8)
_ALL_STOPS = 10_000
# Longer than all runs, so that only a broken connection is a reason to resend.
_TIMEOUT_S = 15.0
# Leaders fill endpoints one after the other, so that there must be more work than
# one of them can run at a time, and less than one data centre can.
_FIRST_JOBS = 8
_JOBS_PER_S = 4.0
_DATA_CENTRES = ("dc1", "dc2")


class CutLeaderTest(_processes.ProcessTest):
    """Four instances and four endpoints in two data centres."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The debug mode delays the forwarders and endpoints by 0.1 s at times.
        asyncio.get_running_loop().set_debug(False)

    async def test_series_of_cuts_around_the_leader(self):
        """Guards against a lease that two leaders rely on.

        The next leader of a data centre renewed it for runs of its own origins,
        while the former one took the runs of the others as ended and started
        their tasks elsewhere.
        """
        await self.play_seeds("CUT", self._play, first=2)

    async def _play(self, seed):
        await self.open(
            instance_count=4,
            endpoint_count=4,
            seed=seed,
            data_centres=_DATA_CENTRES[:: 1 if seed % 2 else -1],
            can_cut=True,
        )
        await asyncio.sleep(_LINK_S)
        self.sending = True
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_jobs(group))
            random_ = self.random("cuts")
            for number in range(_ROUNDS):
                await asyncio.sleep(_PAUSE_S)
                await self._play_round(group, random_, number)
            self.sending = False
        self.check()
        await self.check_rest()

    async def _send_jobs(self, group):
        random_ = self.random("jobs")
        while self.sending:
            group.create_task(
                self.submit(
                    count=random_.randint(1, 3),
                    run_s=round(random_.uniform(2.5, 4.5), 2),
                    cores=random_.choice((0.5, 1.0, 2.0)),
                    timeout_s=_TIMEOUT_S,
                )
            )
            if len(self.jobs) >= _FIRST_JOBS:
                await asyncio.sleep(random_.expovariate(_JOBS_PER_S))
            else:
                await asyncio.sleep(0.05)

    async def _play_round(self, group, random_, number):
        """Plays two cuts and what overlaps with them, and ends the cuts."""
        leader = self.find_leader()
        others = [i for i in self.deployment.instances if i is not leader]
        near = [i for i in others if i.data_centre == leader.data_centre]
        far = [i for i in others if i not in near]
        shape, sides = random_.choice(
            (
                ("data centres", ([leader, *near], far)),
                ("data centres", ([leader, *near], far)),
                ("data centres", ([leader, *near], far)),
                ("data centres", ([leader, *near], far)),
                ("leader from all", ([leader], others)),
                ("leader from the other data centre", ([leader], far)),
                ("a peer from the leader", ([leader, *near], far[:1])),
            )
        )
        reset, endpoints_reset = random_.choices((False, True), k=2)
        lag_s = round(random_.uniform(0.0, _MAX_LAG_S), 3)
        cut_off = [
            endpoint
            for endpoint in self.deployment.endpoints
            if endpoint.endpoint.data_centre == far[0].data_centre
        ]
        lost_stops_s = random_.choice(_LOST_STOPS_S)
        duration_s = random_.uniform(1.8, 2.4)
        fault = random_.choice((None, None, signal.SIGKILL, signal.SIGTERM))
        ended = random_.choice(others)
        fault_after_s = random_.uniform(0.0, 1.0)
        self._record(
            f"{number} is {shape}, {leader.name} leads, {reset=}"
            f" {endpoints_reset=} {lag_s=} {lost_stops_s=}"
        )
        if fault is not None and ended.running:
            group.create_task(
                self._end_instance(ended, fault, fault_after_s, duration_s)
            )
        paths = self.deployment.paths
        for endpoint in cut_off:
            endpoint.fault.lost_stops = _ALL_STOPS if lost_stops_s else 0
        await paths.cut(itertools.product(*_names(sides)), reset=reset)
        await asyncio.sleep(lag_s)
        await paths.cut(
            itertools.product(*_names((sides[0], cut_off))),
            reset=endpoints_reset,
        )
        self._record("of endpoints is complete")
        await asyncio.sleep(max(0.0, lost_stops_s - lag_s))
        for endpoint in cut_off:
            endpoint.fault.lost_stops = 0
        await asyncio.sleep(duration_s - max(0.0, lost_stops_s - lag_s))
        await paths.restore()
        self._record("is over")

    async def _end_instance(self, instance, fault, after_s, down_s):
        """Kills or stops an instance, and starts it again."""
        await asyncio.sleep(after_s)
        self._record(f"overlaps: {instance.name} gets {fault.name}")
        instance.signal(fault)
        ends_at = time.monotonic() + down_s
        await asyncio.to_thread(instance.wait)
        await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
        instance.start()
        await self.deployment.wait_ready(instance)

    def _record(self, text):
        # A trace shows all lines with " is ".
        self.deployment.late_orders.record("cut", text)


def _names(groups):
    """Returns the names of the instances or endpoints of each group."""
    return [
        [
            member.name
            if isinstance(member, deployment.Instance)
            else member.endpoint.id
            for member in group
        ]
        for group in groups
    ]
