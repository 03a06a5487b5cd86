"""Tests the validation of job requests and the deadlines of their jobs."""

import dataclasses
import unittest

from sesameroad.jobs import acceptance
from sesameroad.jobs import catalogue
from sesameroad.model import job_requests
from sesameroad.model import needs
from sesameroad.model import outcomes

_QUEUE = catalogue.Queue(
    "q", "a.example", "/a/", "service", stretch=1.6, allowance_s=0.06
)
_STEP = job_requests.Step(8, needs.Need(4.0, 64), estimate_s=0.5)
_REQUEST = job_requests.JobRequest(
    key="0123456789abcdef",
    spec="text",
    steps=(_STEP,),
    best_effort=True,
    occurrences=0,
    starts_at_ms=0,
    arrived_at=100.0,
    patience_s=2.0,
)


def _changed(**changes):
    return dataclasses.replace(_REQUEST, **changes)


def _with_step(**changes):
    return _changed(steps=(dataclasses.replace(_STEP, **changes),))


class RefusalTest(unittest.TestCase):

    def check(self, request, cause, queue=_QUEUE):
        refusal = acceptance.refusal(request, queue)
        self.assertEqual(refusal and refusal.cause, cause)
        return refusal

    def test_best_effort_job_of_independent_tasks_is_accepted(self):
        """Guards against a refusal of the supported kind of job."""
        self.check(_REQUEST, None)

    def test_unsupported_jobs_are_refused(self):
        """Guards against starting a job whose guarantees cannot be kept."""
        for request in (
            _changed(best_effort=False),
            _changed(steps=(_STEP, _STEP)),
            _changed(occurrences=2),
            _changed(starts_at_ms=1),
            _with_step(gang=True),
            _with_step(long_running=True),
        ):
            self.check(request, outcomes.Cause.UNSUPPORTED)

    def test_queue_with_advice_is_refused(self):
        """Guards against starts that such endpoints reject at a cost.

        They require a ticket, which this dispatcher does not obtain.
        """
        queue = dataclasses.replace(_QUEUE, advised=True)
        self.check(_REQUEST, outcomes.Cause.UNSUPPORTED, queue)

    def test_refusal_of_invalid_requests_names_the_problem(self):
        """Guards against refusals that do not tell the caller what to fix."""
        for request, text in (
            (_changed(steps=()), "steps is empty"),
            (_changed(spec="x" * 4_001), "spec is over"),
            (_with_step(count=0), r"steps\[0\].count"),
            (_with_step(count=1_101), r"steps\[0\].count"),
            (_with_step(need=needs.Need(-1.0)), "negative"),
            (_with_step(estimate_s=-0.1), "negative"),
            (_with_step(after=(0,)), "no earlier step"),
        ):
            refusal = self.check(request, outcomes.Cause.INVALID)
            self.assertRegex(refusal.detail, text)


class ObjectiveTest(unittest.TestCase):

    def test_objective_is_the_stretched_run_time_plus_allowance(self):
        """Guards against time limits that differ from the platform's rules."""
        job = acceptance.job(_REQUEST, _QUEUE, room=64)
        self.assertAlmostEqual(job.objective_at, 100.0 + 1.6 * 0.5 + 0.06)
        self.assertAlmostEqual(job.expires_at, 100.0 + 3 * 0.86)
        self.assertEqual(job.deadline_at, 102.0)

    def test_objective_of_a_wide_step_counts_waves(self):
        """Guards against an objective that ignores the waves of a wide step.

        Eight tasks take three waves on a quarter of twelve places.
        """
        job = acceptance.job(_REQUEST, _QUEUE, room=12)
        self.assertAlmostEqual(job.objective_at, 100.0 + 1.6 * 0.5 * 3 + 0.06)


if __name__ == "__main__":
    unittest.main()
