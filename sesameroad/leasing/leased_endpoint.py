"""What a steward knows of one endpoint that it holds."""

import asyncio
import math

from sesameroad.leasing import lease as leases
from sesameroad.leasing import run as run_module
from sesameroad.model import endpoint as endpoints
from sesameroad.model import need as needs

# Pause after an endpoint did nothing on an order, doubled each time in a row.
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 2.0
# Weight of one run in the moving average of an endpoint's speed: declared times
# are off by half, and an endpoint that turned slow must show within a few runs.
_SPEED_SMOOTHING = 0.2
# Bounds of one measurement, so that a single odd run moves the average little.
_MIN_RATIO = 0.4
_MAX_RATIO = 8.0
# Progress in percent from which a run tells its speed before its end.
_TELLING_PERCENT = 10
# Least pause after runs of two different jobs in a row have failed.
_FAILURE_PAUSE_S = 0.3
# Least pause after runs stood still.
_HANG_PAUSE_S = 1.0
# A run whose progress has not changed for this long, and for this part of its
# declared time, stands still. It is stopped and started elsewhere.
_HANG_S = 0.4
_HANG_RATIO = 0.5
# Cores are sums of decimal fractions.
_TOLERANCE = 1e-6


class LeasedEndpoint:
    """One endpoint: its runs, its free room, its lease and its health.

    Attributes:
        endpoint: The endpoint as it describes itself.
        lease: Its lease.
        seen: Ends up to this number are dealt with.
        acknowledged: Ends up to this number are acknowledged to the endpoint.
        surveyed: Whether the lists were read since this steward holds it.
        doubted_until: Time until which runs of an earlier steward may be there
            although the lists were not read.
        foreign: Runs of an earlier steward that no job has claimed yet.
        foreign_since: Time at which they were found.
        silent_since: Time of the first unanswered look in a row, None if the
            last one was answered.
        orders: Orders that are not sent yet.
    """

    __slots__ = (
        "_cores",
        "_failed_job",
        "_failures",
        "_memory_mb",
        "_accelerators",
        "_pause_s",
        "_paused_until",
        "_runs",
        "_log_slowness",
        "_wake",
        "acknowledged",
        "endpoint",
        "doubted_until",
        "foreign",
        "foreign_since",
        "lease",
        "orders",
        "seen",
        "silent_since",
        "surveyed",
    )

    def __init__(
        self, endpoint: endpoints.Endpoint, *, lease: leases.Lease
    ) -> None:
        self.endpoint = endpoint
        self.lease = lease
        self.seen = 0
        self.acknowledged = 0
        self.surveyed = False
        self.doubted_until = 0.0
        self.foreign: dict[str, int] = {}
        self.foreign_since = 0.0
        self.silent_since: float | None = None
        self.orders: asyncio.Queue[run_module.Order] = asyncio.Queue()
        self._runs: dict[str, run_module.Run] = {}
        self._cores = 0.0
        self._memory_mb = 0
        self._accelerators = 0
        self._log_slowness = 0.0
        self._failures = 0
        self._failed_job = ""
        self._pause_s = 0.0
        self._paused_until = 0.0
        self._wake = asyncio.Event()

    @property
    def runs(self) -> dict[str, run_module.Run]:
        """Runs that have not ended, by task."""
        return self._runs

    @property
    def slowness(self) -> float:
        """Run time relative to the declared one, as a moving average."""
        return math.exp(self._log_slowness)

    @property
    def free(self) -> needs.Need:
        """Room that no run takes."""
        offer = self.endpoint.offer
        return needs.Need(
            offer.cores - self._cores + _TOLERANCE,
            offer.memory_mb - self._memory_mb,
            offer.accelerators - self._accelerators,
        )

    def open(self, now: float) -> bool:
        """Returns whether new runs may be started here."""
        return (
            self.surveyed
            and not self.foreign
            and self.silent_since is None
            and not self.endpoint.leaving
            and now >= self._paused_until
        )

    def doubt(self, now: float) -> None:
        """Notes that another steward may have started runs here until now."""
        self.surveyed = False
        self.lease.assume(now)
        self.doubted_until = self.lease.horizon
        self._wake.set()

    def add(self, run: run_module.Run) -> None:
        """Takes a run into the books."""
        self._runs[run.task] = run
        self._cores += run.cores
        self._memory_mb += run.memory_mb
        self._accelerators += run.accelerators
        self._wake.set()

    def remove(self, run: run_module.Run) -> bool:
        """Takes a run out of the books; returns whether it was in them."""
        if self._runs.get(run.task) is not run:
            return False
        del self._runs[run.task]
        self._cores = max(0.0, self._cores - run.cores)
        self._memory_mb -= run.memory_mb
        self._accelerators -= run.accelerators
        return True

    def count(self, key: str) -> int:
        """Returns how many runs of a job are here."""
        return sum(run.key == key for run in self._runs.values())

    def pause(self, now: float) -> None:
        """Starts nothing here for a while after a refusal or a failure."""
        if now < self._paused_until:
            return
        self._pause_s = min(
            max(self._pause_s * 2, _FIRST_PAUSE_S), _MAX_PAUSE_S
        )
        self._paused_until = now + self._pause_s

    def fail(self, run: run_module.Run, now: float) -> None:
        """Notes a failed run.

        Runs of one job may all fail for its own fault, so that only failures of
        different jobs in a row count against the endpoint.
        """
        if run.job == self._failed_job:
            return
        self._failed_job = run.job
        self._failures += 1
        if self._failures > 1:
            self._pause_s = max(self._pause_s, _FAILURE_PAUSE_S / 2)
        self.pause(now)

    def succeed(self, run: run_module.Run, now: float) -> None:
        """Notes a run that ended well, and how long it took."""
        self._pause_s = 0.0
        self._failures = 0
        self._failed_job = ""
        if run.estimate_s <= 0 or run.sent_at <= 0:
            return
        self._measure((now - run.sent_at) / run.estimate_s)

    def progress(self, run: run_module.Run, percent: int, now: float) -> None:
        """Takes the progress of a run from a report."""
        if percent == run.percent and run.progressed_at:
            return
        run.percent = percent
        run.progressed_at = now
        if percent < _TELLING_PERCENT or run.estimate_s <= 0:
            return
        ratio = (now - run.sent_at) * 100 / percent / run.estimate_s
        if ratio > self.slowness:
            self._measure(ratio)

    def hanging(self, now: float) -> list[run_module.Run]:
        """Returns the runs that make no progress."""
        return [
            run
            for run in self._runs.values()
            if run.state is run_module.State.RUNNING
            and run.progressed_at
            and now - run.progressed_at
            > max(_HANG_S, _HANG_RATIO * run.estimate_s)
        ]

    def hang(self, now: float) -> None:
        """Notes that a run stands still: others would, too."""
        self._pause_s = max(self._pause_s, _HANG_PAUSE_S / 2)
        self.pause(now)

    def _measure(self, ratio: float) -> None:
        ratio = math.log(min(max(ratio, _MIN_RATIO), _MAX_RATIO))
        self._log_slowness += (ratio - self._log_slowness) * _SPEED_SMOOTHING

    def wake(self) -> None:
        """Lets the task that looks check whether a look is due."""
        self._wake.set()

    async def wait_woken(self, timeout_s: float | None) -> None:
        """Waits for the next change here, at most for the timeout."""
        self._wake.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return
