"""Elections and admission while processor time is short."""

import unittest

from sesameroad.jobs import election
from sesameroad.model import outcomes
from tests import _jobs
from tests import _virtual

_NORMAL_DELAY_S = 0.002
_SHORT_DELAY_S = 0.06


class AdmissionTest(_virtual.VirtualTimeTest):
    """Guards against a leader that finishes all jobs late.

    On the grown deployments each task costs a leader a millisecond and more of
    processor time. Leaders with half of a core accepted all jobs that the
    endpoints had room for, and nearly all of them ended late.
    """

    async def test_leader_short_of_processor_time_refuses_late_jobs(self):
        site = _jobs.Site()
        async with site.leader() as leader:
            leader.set_loop_delay(_SHORT_DELAY_S)
            short = site.job("a" * 16, run_s=0.06)
            refused = await leader.submit(short, site.origin)
            self.assertEqual(site.history.starts, [])
            match refused:
                case outcomes.NotRun(cause=outcomes.Cause.OVERLOAD) as refusal:
                    self.assertGreaterEqual(refusal.retry_after_s, 1.0)
                case _:
                    self.fail(refused)
            long = site.job("b" * 16, run_s=0.9)
            accepted = await leader.submit(long, site.origin)
            self.assertEqual(accepted, outcomes.Complete(()))
            leader.set_loop_delay(_NORMAL_DELAY_S)
            again = await leader.submit(
                site.job("c" * 16, run_s=0.06), site.origin
            )
            self.assertEqual(again, outcomes.Complete(()))

    async def test_leader_short_of_processor_time_offers_no_cores(self):
        """Guards against jobs that wait here while other leaders have time."""
        site = _jobs.Site()
        async with site.leader() as leader:
            leader.set_loop_delay(_NORMAL_DELAY_S)
            free_cores, wait_s = leader.free_cores, leader.wait_s
            self.assertGreater(free_cores, 30)
            leader.set_loop_delay(_SHORT_DELAY_S)
            self.assertEqual(leader.free_cores, 0.0)
            self.assertGreater(leader.wait_s, wait_s + _SHORT_DELAY_S)


class CandidateTest(unittest.TestCase):
    """Guards against leaders with the least processor time of the fleet.

    All orders to the endpoints pass through one thread of the leader.
    """

    def _members(self, **slow):
        return [
            election.Member("small1", "dc1", processor_millicores=516),
            election.Member("small2", "dc1", processor_millicores=516),
            election.Member("large", "dc1", processor_millicores=717, **slow),
            election.Member("remote", "dc2", processor_millicores=2_000),
        ]

    def test_instance_with_most_processor_time_is_chosen(self):
        self.assertEqual(election.candidate("dc1", self._members()), "large")
        self.assertEqual(election.candidate_for_all(self._members()), "remote")

    def test_slow_instance_is_chosen_last(self):
        members = self._members(slow=True)
        chosen = election.candidate("dc1", members)
        self.assertIn(chosen, ("small1", "small2"))
        alone = [member for member in members if member.slow]
        self.assertEqual(election.candidate("dc1", alone), "large")
