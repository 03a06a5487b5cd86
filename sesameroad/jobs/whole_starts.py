"""Decides whether a job starts with the capacity that it would get now.

Addresses bursts in which jobs start with some of their tasks, and the rest
waits behind newer jobs until nothing of the work is of use.
"""

from sesameroad.jobs import active_job
from sesameroad.jobs import forecast as forecast_module

# A job that needs more than this fraction (one divided by this number) of all
# cores may start in waves, as the platform's rules expect of it.
_WAVE_SHARE = 4


class WholeStarts:
    """Lets a job start if the rest of it can be expected to start in time.

    A job may start if its tasks fit now, or if those that don't can be expected
    to start within the slack that its objective leaves. Once that is missed, the
    slack is what is left until the response is of no use.
    """

    __slots__ = ("_forecast",)

    def __init__(self, forecast: forecast_module.Forecast) -> None:
        self._forecast = forecast

    def may_start(
        self,
        active: active_job.ActiveJob,
        *,
        room: int,
        cores_ahead: float,
        now: float,
    ) -> bool:
        """Returns whether a job may start some of its tasks.

        Args:
            active: A job that has not started.
            room: Number of its tasks that can start now.
            cores_ahead: Cores of the waiting tasks that are placed before it.
            now: Current monotonic time.
        """
        wanted = len(active.waiting)
        if room >= wanted:
            return True
        if not room:
            return False
        cores = active.job.need.cores
        wave_cores = self._forecast.capacity(now) / _WAVE_SHARE
        if wanted * cores > wave_cores:
            wanted = max(1, int(wave_cores / cores))
            if room >= wanted:
                return True
        missing = cores_ahead + (wanted - room) * cores
        by = now + _slack_s(active, now)
        return self._forecast.freed_cores(now, by=by) >= missing


def is_of_use(active: active_job.ActiveJob, now: float) -> bool:
    """Returns whether tasks that start now can end while of use."""
    job = active.job
    return now + job.estimate_s < min(job.expires_at, job.deadline_at)


def _slack_s(active: active_job.ActiveJob, now: float) -> float:
    job = active.job
    if active.latest_start >= now:
        return active.latest_start - now
    return min(job.expires_at, job.deadline_at) - job.estimate_s - now
