"""A leader's state of one endpoint that it holds."""

import asyncio
import math

from sesameroad.leasing import leases
from sesameroad.leasing import runs as runs_module
from sesameroad.model import endpoints
from sesameroad.model import needs

# Pause after an order has had no effect, doubled each time in a row.
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 2.0
# Weight of one run in the moving average of an endpoint's slowness. Declared
# run times are off by half, which calls for smoothing, but an endpoint that
# becomes slow must be detected within a few runs.
_SLOWNESS_SMOOTHING = 0.2
# Bounds of one measurement, to limit the effect of a single outlier.
_MIN_RATIO = 0.4
_MAX_RATIO = 8.0
# Progress from which a running task is used to estimate the slowness.
_MIN_SLOWNESS_PERCENT = 10
# Minimum pause after runs of two different jobs have failed in a row.
_FAILURE_PAUSE_S = 0.3
# Minimum pause after a run has stopped making progress.
_HANG_PAUSE_S = 1.0
# A run is hanging if its progress has not changed for this long and for this
# fraction of its declared run time. It is stopped and started elsewhere.
_HANG_S = 0.4
_HANG_RATIO = 0.5
# Tolerance for rounding errors in sums of fractional cores.
_TOLERANCE = 1e-6


class LeasedEndpoint:
    """One endpoint: its runs, free capacity, lease and health.

    Attributes:
        endpoint: The endpoint as it describes itself; set by `describe`.
        free_cores: Processor cores that no run uses.
        slowness: Moving average of actual over declared run time.
        lease: Its lease.
        born_ms: Start time in its last report, 0 before. It identifies the
            incarnation that holds the known runs.
        fences: Raises the token of orders to this endpoint. Raised whenever
            runs are given up, so that orders sent before have no effect later.
        accepted_token: Whether it has answered a poll of this leader.
        held_up_until: Time until which a start without an answer may still be
            carried out.
        polled_at: Time of the last answer to a poll, 0 before.
        reports_required: Number of times that its lists had to be read anew. A
            report that was requested before the last time does not count.
        seen: Number of the last end that has been processed.
        acknowledged: Number of the last end that has been acknowledged to the
            endpoint.
        reconciled: Whether its lists have been read since this leader holds it.
        unknown_until: Time until which unknown runs of an earlier leader may be
            active if the lists have not been read.
        orphans: Listed runs, by task, that this leader has not started and that
            are not assigned to a job yet.
        orphans_since: Time at which they were found.
        silent_since: Time of the first poll in a row without an answer, None if
            the last one was answered.
        starts: Queue of starts to send.
        stops: Queue of stops to send, which do not wait for starts.
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
        "accepted_token",
        "acknowledged",
        "born_ms",
        "endpoint",
        "fences",
        "free_cores",
        "held_up_until",
        "unknown_until",
        "orphans",
        "orphans_since",
        "lease",
        "polled_at",
        "reports_required",
        "seen",
        "silent_since",
        "slowness",
        "starts",
        "stops",
        "reconciled",
    )

    def __init__(
        self, endpoint: endpoints.Endpoint, *, lease: leases.Lease
    ) -> None:
        self.endpoint = endpoint
        self.lease = lease
        self.born_ms = 0
        self.fences = 0
        self.accepted_token = False
        self.held_up_until = 0.0
        self.polled_at = 0.0
        self.reports_required = 0
        self.seen = 0
        self.acknowledged = 0
        self.reconciled = False
        self.unknown_until = 0.0
        self.orphans: dict[str, int] = {}
        self.orphans_since = 0.0
        self.silent_since: float | None = None
        self.starts: asyncio.Queue[runs_module.StartOrder] = asyncio.Queue()
        self.stops: asyncio.Queue[runs_module.StopOrder] = asyncio.Queue()
        self._runs: dict[str, runs_module.Run] = {}
        self._cores = 0.0
        self._memory_mb = 0
        self._accelerators = 0
        self._log_slowness = 0.0
        self.slowness = 1.0
        self._failures = 0
        self._failed_job = ""
        self._pause_s = 0.0
        self._paused_until = 0.0
        self._wake = asyncio.Event()
        self._update_free_cores()

    @property
    def runs(self) -> dict[str, runs_module.Run]:
        """Runs that have not ended, by task."""
        return self._runs

    @property
    def has_sent_runs(self) -> bool:
        """Whether any run that has not ended was sent to the endpoint."""
        return any(run.sent_at for run in self._runs.values())

    def describe(self, endpoint: endpoints.Endpoint) -> None:
        """Replaces the description of the endpoint.

        The description may be older than its last report. A start time that is
        new there only gives cause to read the lists of the endpoint.
        """
        before = self.endpoint
        self.endpoint = endpoint
        self._update_free_cores()
        if endpoint.born_ms not in {before.born_ms, self.born_ms, 0}:
            self.require_report()

    def require_report(self) -> None:
        """Starts no run until the lists of the endpoint have been read."""
        self.reconciled = False
        self.reports_required += 1
        self._wake.set()

    def expect_held_up_start(self, now: float) -> None:
        """Has the endpoint polled as long as a start may be carried out late.

        Stops and tokens prevent it in the present incarnation only, so that a
        restart must be noticed and fenced.
        """
        self.held_up_until = now + runs_module.HELD_UP_S
        self._wake.set()

    def record_incarnation(self, born_ms: int) -> bool:
        """Records the start time in a report.

        Returns:
            Whether the endpoint has started again since its last report. The
            lists must then be read with the raised token: until it has seen
            that, a start to the former incarnation may still take effect.
        """
        if not born_ms or born_ms == self.born_ms:
            return False
        restarted = self.born_ms != 0
        self.born_ms = born_ms
        if restarted:
            self.lease.reset_clock()
            self.seen = self.acknowledged = 0
            self.fence()
        return restarted

    def fence(self) -> None:
        """Makes orders that were sent until now ineffective.

        They are refused once the endpoint has seen the raised token.
        """
        self.fences += 1
        self.require_report()

    def fits(self, need: needs.Need) -> bool:
        """Returns whether the free capacity suffices for a task."""
        offer = self.endpoint.offer
        return (
            need.cores <= self.free_cores
            and need.memory_mb <= offer.memory_mb - self._memory_mb
            and need.accelerators <= offer.accelerators - self._accelerators
        )

    def is_expected(self, now: float) -> bool:
        """Returns whether it responds, or did before and may soon do so again.

        One that starts again misses one poll, and the restarts of idle ones are
        noticed together. A silent endpoint is given up with its lease.
        """
        if self.silent_since is None:
            return True
        silent_s = now - self.silent_since
        return self.polled_at > 0 and silent_s < self.lease.longest_s

    def accepts_runs(self, now: float) -> bool:
        """Returns whether new runs may be started."""
        return (
            self.reconciled
            and not self.orphans
            and self.silent_since is None
            and not self.endpoint.leaving
            and now >= self._paused_until
        )

    def invalidate(self, now: float) -> None:
        """Marks the known runs as incomplete.

        Another leader may have started runs on the endpoint until now.
        """
        self.accepted_token = False
        self.lease.assume_extended(now)
        self.unknown_until = self.lease.latest_end
        self.require_report()

    def add(self, run: runs_module.Run) -> None:
        """Adds a run and reserves its capacity."""
        self._runs[run.task] = run
        self._cores += run.cores
        self._update_free_cores()
        self._memory_mb += run.memory_mb
        self._accelerators += run.accelerators
        self._wake.set()

    def remove(self, run: runs_module.Run) -> bool:
        """Removes a run and returns whether it was known."""
        if self._runs.get(run.task) is not run:
            return False
        del self._runs[run.task]
        self._cores = max(0.0, self._cores - run.cores)
        self._update_free_cores()
        self._memory_mb -= run.memory_mb
        self._accelerators -= run.accelerators
        return True

    def count_runs(self, key: str) -> int:
        """Returns the number of runs of a job."""
        return sum(run.key == key for run in self._runs.values())

    def pause(self, now: float) -> None:
        """Suspends new runs for a while after a refusal or a failure."""
        if now < self._paused_until:
            return
        self._pause_s = min(
            max(self._pause_s * 2, _FIRST_PAUSE_S), _MAX_PAUSE_S
        )
        self._paused_until = now + self._pause_s

    def record_failure(self, run: runs_module.Run, now: float) -> None:
        """Records a failed run.

        All runs of a job may fail because of the job itself, so only
        consecutive failures of different jobs count against the endpoint.
        """
        if run.job == self._failed_job:
            return
        self._failed_job = run.job
        self._failures += 1
        if self._failures > 1:
            self._pause_s = max(self._pause_s, _FAILURE_PAUSE_S / 2)
        self.pause(now)

    def record_success(self, run: runs_module.Run, now: float) -> None:
        """Records a successful run and its run time."""
        self._pause_s = 0.0
        self._failures = 0
        self._failed_job = ""
        if run.estimate_s <= 0 or run.sent_at <= 0:
            return
        self._update_slowness((now - run.sent_at) / run.estimate_s)

    def record_progress(
        self, run: runs_module.Run, percent: int, now: float
    ) -> None:
        """Records the progress of a run from a report."""
        if percent == run.percent and run.progressed_at:
            return
        run.percent = percent
        run.progressed_at = now
        if percent < _MIN_SLOWNESS_PERCENT or run.estimate_s <= 0:
            return
        ratio = (now - run.sent_at) * 100 / percent / run.estimate_s
        if ratio > self.slowness:
            self._update_slowness(ratio)

    def hanging_runs(self, now: float) -> list[runs_module.Run]:
        """Returns the runs that no longer make progress."""
        return [
            run
            for run in self._runs.values()
            if run.state is runs_module.State.RUNNING
            and run.progressed_at
            and now - run.progressed_at
            > max(_HANG_S, _HANG_RATIO * run.estimate_s)
        ]

    def record_hang(self, now: float) -> None:
        """Pauses the endpoint after a hang; other runs would hang as well."""
        self._pause_s = max(self._pause_s, _HANG_PAUSE_S / 2)
        self.pause(now)

    def _update_slowness(self, ratio: float) -> None:
        ratio = math.log(min(max(ratio, _MIN_RATIO), _MAX_RATIO))
        self._log_slowness += (ratio - self._log_slowness) * _SLOWNESS_SMOOTHING
        self.slowness = math.exp(self._log_slowness)

    def _update_free_cores(self) -> None:
        offered = self.endpoint.offer.cores
        self.free_cores = offered - self._cores + _TOLERANCE

    def wake(self) -> None:
        """Wakes the polling task to check whether a poll is due."""
        self._wake.set()

    async def wait_woken(self, timeout_s: float | None) -> None:
        """Waits for the next wake-up, at most for the timeout."""
        self._wake.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return
