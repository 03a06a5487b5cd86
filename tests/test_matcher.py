"""Hand-over of tasks to connections, and its policy."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies as st

from benchmarks import virtual_time
from sesameroad.configuration import document
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger
from sesameroad.scheduling import allocation
from sesameroad.scheduling import matcher
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy
from sesameroad.scheduling import queue

_CONTENT = document.Document(
    product=document.Product(
        kinds={"call": document.Kind(0, 1.0), "job": document.Kind(1, 1.0)}
    ),
    operations=document.Operations(team_quotas={"red": 3, "blue": 100}),
)
_NOTHING = needs.Need()
_GPU = needs.Need(accelerators=1)
_LIVE = {
    "plain": endpoints.Endpoint("plain", "", "dc1", slots=2),
    "gpu": endpoints.Endpoint(
        "gpu", "", "dc1", slots=2, offer=needs.Need(8.0, 8_192, 1)
    ),
}


class Bench:
    """A matcher with its parts, and the tasks that it handed over."""

    def __init__(self, content=_CONTENT):
        clock = virtual_time.Clock(asyncio.get_running_loop())
        self.allocation = allocation.Allocation(clock)
        self.queue = queue.Queue()
        self.matcher = matcher.Matcher(
            queue=self.queue,
            policy=policy.Policy(content, allocation=self.allocation),
            allocation=self.allocation,
            clock=clock,
        )
        self.submitted = []
        self.held = []
        self.handed = []

    def submit(self, kind="call", team="red", need=_NOTHING):
        key = str(len(self.submitted))
        work = work_module.Request(
            key, team, kind, 2**60, work_module.Task(b"", need)
        )
        record = ledger.Record.from_work(work, digest="", expiry_ms=2**60)
        pending = pending_task.PendingTask(record, 0, 0.0)
        self.submitted.append(pending)
        self.matcher.submit(pending)
        return pending

    async def take(self, endpoint_id):
        pending = await self.matcher.take(endpoint_id)
        if pending is not None:
            self.held.append((endpoint_id, pending))
            self.handed.append(pending)

    def release(self, number):
        endpoint_id, pending = self.held.pop(number)
        self.matcher.release(endpoint_id, pending)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "submit", "take", "take", "cancel take", "withdraw"]
            + ["release", "close", "open", "turn", "cancel handed"]
        ),
        st.integers(0, 30),
    ),
    max_size=80,
)


class MatcherTest(unittest.TestCase):
    """Guards against tasks that are lost or handed over twice."""

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(_STEPS)
    def test_each_task_is_queued_or_handed_over_once(self, steps):
        async def main():
            bench = Bench()
            takes = []
            for endpoint in _LIVE.values():
                bench.matcher.add_endpoint(endpoint)
            for step, n in steps:
                endpoint_id = ("plain", "gpu")[n % 2]
                match step:
                    case "submit":
                        bench.submit(
                            ("call", "job")[n % 2],
                            ("red", "blue")[n // 2 % 2],
                            (needs.Need(), _GPU)[n // 4 % 2],
                        )
                    case "take":
                        takes.append(
                            asyncio.create_task(bench.take(endpoint_id))
                        )
                    case "cancel take" if takes:
                        takes[n % len(takes)].cancel()
                    case "cancel handed":
                        takes.append(
                            asyncio.create_task(bench.take(endpoint_id))
                        )
                        await asyncio.sleep(0)
                        bench.submit("call", "blue")
                        takes[-1].cancel()
                    case "withdraw" if bench.submitted:
                        pending = bench.submitted[n % len(bench.submitted)]
                        bench.matcher.withdraw([pending])
                    case "release" if bench.held:
                        bench.release(n % len(bench.held))
                    case "close":
                        bench.matcher.remove_endpoint(endpoint_id)
                    case "open":
                        bench.matcher.add_endpoint(_LIVE[endpoint_id])
                    case _:
                        await asyncio.sleep(0)
            for endpoint in _LIVE.values():
                bench.matcher.add_endpoint(endpoint)
            for _ in range(len(bench.submitted) * 2 + 2):
                takes += [
                    asyncio.create_task(bench.take(name)) for name in _LIVE
                ]
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                red = [i for _, i in bench.held if i.work.team == "red"]
                self.assertLessEqual(len(red), 3)
                while bench.held:
                    bench.release(0)
            self.assertEqual(len(bench.handed), len(set(map(id, bench.handed))))
            missing = [
                pending
                for pending in bench.submitted
                if not pending.withdrawn and pending not in bench.handed
            ]
            self.assertEqual(missing, [])
            self.assertEqual(len(bench.queue), 0)
            self.assertEqual(dict(bench.queue.demand), {})
            for task in takes:
                task.cancel()
            await asyncio.gather(*takes, return_exceptions=True)

        virtual_time.run(main())

    def test_submission_reaches_each_idle_connection(self):
        """One match must use all idle connections and skip withdrawn tasks."""

        async def main():
            bench = Bench()
            bench.matcher.add_endpoint(_LIVE["gpu"])
            takes = [asyncio.create_task(bench.take("gpu")) for _ in range(2)]
            await asyncio.sleep(0)
            work = work_module.Submission(
                "key",
                "blue",
                "call",
                2**60,
                (work_module.Task(b"", _NOTHING),) * 4,
            )
            record = ledger.Record.from_work(work, digest="", expiry_ms=2**60)
            tasks = [
                pending_task.PendingTask(record, index, 0.0)
                for index in range(4)
            ]
            tasks[0].withdrawn = True
            bench.matcher.submit_all(tasks)
            await asyncio.gather(*takes)
            self.assertEqual(bench.handed, tasks[1:3])
            self.assertEqual(bench.matcher.waiting, 1)

        virtual_time.run(main())


class PolicyTest(unittest.TestCase):
    """Guards against kinds or teams that keep all slots from the others."""

    def _served(self, prepare, endpoint_id="gpu", count=4):
        async def main():
            bench = Bench()
            prepare(bench)
            bench.matcher.add_endpoint(_LIVE[endpoint_id])
            tasks = []
            for _ in range(count):
                tasks.append(asyncio.create_task(bench.take(endpoint_id)))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            for task in tasks:
                task.cancel()
            return [pending.work for pending in bench.handed]

        return virtual_time.run(main())

    def test_flood_of_the_most_urgent_kind_leaves_others_their_share(self):
        def prepare(bench):
            for _ in range(50):
                bench.submit("call", "blue")
            bench.submit("job", "blue")

        served = self._served(prepare)
        self.assertEqual([work.kind for work in served], ["call", "job"])

    def test_teams_of_a_kind_take_turns(self):
        def prepare(bench):
            for _ in range(50):
                bench.submit("call", "blue")
            bench.submit("call", "red")

        served = self._served(prepare)
        self.assertEqual({work.team for work in served}, {"blue", "red"})

    def test_task_that_fits_few_endpoints_is_not_starved(self):
        """Urgent work always waits, and its kind uses its share elsewhere."""

        async def main():
            bench = Bench()
            for endpoint in _LIVE.values():
                bench.matcher.add_endpoint(endpoint)
            for _ in range(2):
                bench.submit("job", "blue")
                await bench.take("plain")
            for _ in range(50):
                bench.submit("call", "blue")
            bench.submit("job", "blue", _GPU)
            await bench.take("gpu")
            self.assertEqual(bench.handed[-1].work.kind, "call")
            await asyncio.sleep(3.0)
            await bench.take("gpu")
            self.assertEqual(bench.handed[-1].need, _GPU)

        virtual_time.run(main())
