"""What a leader's decisions cost as its endpoints multiply."""

import cProfile
import types
import unittest

from tests import _load

_MODULES = ("sesameroad/jobs/", "sesameroad/leasing/")
_FEW, _MANY = 8, 58
# A leader of seven times as many endpoints gets seven times as many jobs. If
# each also cost over twice as much, half a core would not serve them.
_MAX_RATIO = 2.0


class LeaderCostTest(unittest.TestCase):
    """Guards against decisions that go over all endpoints for each task.

    On a fleet of 176 endpoints, a leader with half a core spent its processor
    time on choosing endpoints: starts and heartbeats were late, and two thirds
    of the work of a calm day were lost.
    """

    def test_cost_of_a_job_in_a_calm_fleet(self):
        self._assert_cost_bounded(load_ratio=1.0)

    def test_cost_of_a_job_in_an_overload(self):
        self._assert_cost_bounded(load_ratio=2.5)

    def _assert_cost_bounded(self, *, load_ratio):
        few = _calls_per_job(_FEW, load_ratio)
        many = _calls_per_job(_MANY, load_ratio)
        self.assertLess(many / few, _MAX_RATIO, f"{few:.0f} {many:.0f}")


def _calls_per_job(per_data_centre: int, load_ratio: float) -> float:
    """Returns the function calls of a leader's decisions for each job.

    Calls are counted because their number does not depend on the machine.
    """
    load = _load.Load(
        seed=1,
        seconds=1.0,
        per_data_centre=per_data_centre,
        scale=per_data_centre / _FEW * load_ratio,
    )
    profile = cProfile.Profile()
    profile.enable()
    load.run()
    profile.disable()
    calls = sum(
        entry.callcount
        for entry in profile.getstats()
        if isinstance(entry.code, types.CodeType)
        and any(module in entry.code.co_filename for module in _MODULES)
    )
    return calls / sum(tally.asked for tally in load.tallies.values())
