"""Reserves cores for the next arrivals of urgent jobs.

Addresses bursts of long, less urgent jobs: these take all cores, and short,
urgent jobs that arrive then have to wait for longer than they can.
"""

import dataclasses
import math

from sesameroad.jobs import forecast as forecast_module
from sesameroad.model import jobs

# Time constant of the arrival rates, in seconds: long against the gaps between
# urgent jobs (10 ms to 0.1 s at a leader), short against bursts of 5 s.
_RATE_S = 1.0
# Longest slack of the jobs for which cores are kept. Others are served in time
# with the cores that runs free; keeping cores for them as well cost 0.011 of the
# value in an overload.
_MAX_SLACK_S = 0.1
# Weight of one job in the mean estimate and slack of its priority.
_SMOOTHING = 0.05


@dataclasses.dataclass(slots=True)
class _Arrivals:
    """Recent jobs of one priority.

    Attributes:
        cores_per_s: Cores that arriving jobs ask for, per second.
        estimate_s: Mean run time of their tasks.
        slack_s: Mean time for which they can wait when they arrive.
        at: Time of the last one.
    """

    cores_per_s: float
    estimate_s: float
    slack_s: float
    at: float


class Headroom:
    """Arrival rates by priority, and the cores that these call for."""

    __slots__ = ("_arrivals", "_forecast")

    def __init__(self, forecast: forecast_module.Forecast) -> None:
        self._forecast = forecast
        # By priority; queues have a handful of different ones.
        self._arrivals: dict[int, _Arrivals] = {}

    def record(self, job: jobs.Job, now: float) -> None:
        """Records the arrival of a job."""
        cores = job.count * job.need.cores
        slack_s = max(0.0, job.objective_at - job.estimate_s - now)
        known = self._arrivals.get(job.priority)
        if known is None:
            self._arrivals[job.priority] = _Arrivals(
                cores / _RATE_S, job.estimate_s, slack_s, now
            )
            return
        known.cores_per_s *= math.exp((known.at - now) / _RATE_S)
        known.cores_per_s += cores / _RATE_S
        known.estimate_s += (job.estimate_s - known.estimate_s) * _SMOOTHING
        known.slack_s += (slack_s - known.slack_s) * _SMOOTHING
        known.at = now

    def reserved_cores(self, job: jobs.Job, now: float) -> float:
        """Returns the cores that must stay free if a job starts.

        These are the cores that more urgent, shorter jobs will ask for within the
        time that they can wait, less those that runs free in that time.
        """
        reserved = 0.0
        for priority, known in self._arrivals.items():
            if (
                priority >= job.priority
                or known.estimate_s >= job.estimate_s
                or known.slack_s > _MAX_SLACK_S
            ):
                continue
            rate = known.cores_per_s * math.exp((known.at - now) / _RATE_S)
            freed = self._forecast.freed_cores(now, by=now + known.slack_s)
            reserved += max(0.0, rate * known.slack_s - freed)
        return reserved
