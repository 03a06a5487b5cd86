"""A leader's state of one endpoint that it holds."""

import asyncio
import math

from sesameroad.leasing import leases
from sesameroad.leasing import ramp as ramp_module
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
# Assumed ratio of the run time on a cold endpoint to that on the same one warm, the
# platform's value of `cold-overage`.
_COLD_SLOWNESS = 1.5
# Starts that wait to be sent at once. The two connections to an endpoint send some
# hundred a second, so these wait for less than 0.1 s. Further tasks stay with the
# leader, which can then still place them elsewhere.
_MAX_QUEUED_STARTS = 16
# Length of the queue at which more tasks are placed, before it is empty.
_REFILL_STARTS = 8
# Tolerance for rounding errors in sums of fractional cores.
_TOLERANCE = 1e-6


class LeasedEndpoint:
    """One endpoint: its runs, free capacity, lease and health.

    Attributes:
        endpoint: The endpoint as it describes itself; set by `describe`.
        evacuated: Whether its data centre is evacuated.
        free_cores: Processor cores that further runs may use.
        share: Share of its cores that runs may use, below 1 for a short time
            after its data centre has been taken back.
        slowness: Moving average of actual over declared run time, higher while
            it is cold.
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
        report_due: Whether its lists must be read at once, as they show the fate
            of a start without an answer.
        seen: Number of the last end that has been processed.
        acknowledged: Number of the last end that has been acknowledged to the
            endpoint.
        released: Whether this leader no longer holds it, so that no order may be
            sent.
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
        "_cold_until",
        "_cores",
        "_is_cold",
        "_failed_job",
        "_failures",
        "_memory_mb",
        "_accelerators",
        "_pause_s",
        "_ramp",
        "_paused_until",
        "_runs",
        "_log_slowness",
        "_wake",
        "accepted_token",
        "acknowledged",
        "born_ms",
        "endpoint",
        "evacuated",
        "fences",
        "free_cores",
        "held_up_until",
        "unknown_until",
        "orphans",
        "orphans_since",
        "lease",
        "polled_at",
        "released",
        "report_due",
        "reports_required",
        "seen",
        "share",
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
        self.evacuated = False
        self.lease = lease
        self.born_ms = 0
        self.fences = 0
        self.released = False
        self.accepted_token = False
        self.held_up_until = 0.0
        self.polled_at = 0.0
        self.report_due = False
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
        self.share = 1.0
        self._ramp: ramp_module.Ramp | None = None
        self._is_cold = False
        self._cold_until = 0.0
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

    @property
    def closed(self) -> bool:
        """Whether it must get no more starts, although its runs continue."""
        return self.evacuated or self.endpoint.leaving

    def takes(self, run: runs_module.Run) -> bool:
        """Returns whether it is still to get a run that was placed here.

        The list may show by now that it drains or has started again, or no
        longer show it, or its data centre may be evacuated.
        """
        return not self.closed and run.born_ms == self.endpoint.born_ms

    def has_label(self, label: str) -> bool:
        """Returns whether the incarnation that would run a task has a label.

        Another incarnation may have other labels. After a restart under its id,
        none is known until the list describes the new one.
        """
        endpoint = self.endpoint
        is_current = 0 in {self.born_ms, endpoint.born_ms} or (
            self.born_ms == endpoint.born_ms
        )
        return is_current and label in endpoint.labels

    @property
    def is_start_queue_full(self) -> bool:
        """Whether as many starts wait to be sent as may be placed ahead."""
        return self.starts.qsize() >= _MAX_QUEUED_STARTS

    @property
    def is_start_queue_short(self) -> bool:
        """Whether a full queue has just become short enough for more."""
        return self.starts.qsize() == _REFILL_STARTS

    def withdraw_starts(self) -> list[runs_module.Run]:
        """Removes the queued starts that it must not get any more.

        Returns:
            Their runs, the first one first.
        """
        queued = [self.starts.get_nowait() for _ in range(self.starts.qsize())]
        withdrawn = []
        for order in queued:
            if self.takes(order.run):
                self.starts.put_nowait(order)
            else:
                withdrawn.append(order.run)
        return withdrawn

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

    def record_cold(
        self, former: endpoints.Endpoint | None, now: float
    ) -> None:
        """Records how long it will be cold, by its present description.

        Args:
            former: The description before. A row that has not been written
                since still shows the remaining time as of then.
            now: Current monotonic time.
        """
        endpoint = self.endpoint
        if former is None or (
            (endpoint.cold_remaining_ms, endpoint.born_ms)
            != (former.cold_remaining_ms, former.born_ms)
        ):
            self._cold_until = now + endpoint.cold_remaining_ms / 1_000
        self.update_recovery(now)

    def set_evacuated(self, evacuated: bool, now: float) -> None:  # noqa: FBT001
        """Closes it, or opens it again with a ramp."""
        if self.evacuated and not evacuated:
            offered = self.endpoint.offer.cores
            self._ramp = ramp_module.Ramp(
                now, used_share=self._cores / offered if offered else 0.0
            )
        self.evacuated = evacuated
        self.update_recovery(now)

    def update_recovery(self, now: float) -> None:
        """Updates what a ramp and the end of a cold period change with time."""
        if self._ramp is not None:
            self.share = self._ramp.share(now)
            if self.share >= 1.0:
                self._ramp = None
            self._update_free_cores()
        is_cold = now < self._cold_until
        if is_cold != self._is_cold:
            self._is_cold = is_cold
            self._refresh_slowness()

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

    def count_fitting(self, need: needs.Need, limit: int) -> int:
        """Returns how many tasks fit at once, at most the limit."""
        offer = self.endpoint.offer
        count = limit
        if need.cores:
            count = min(count, int(self.free_cores / need.cores))
        if need.memory_mb:
            free_mb = offer.memory_mb - self._memory_mb
            count = min(count, free_mb // need.memory_mb)
        if need.accelerators:
            free = offer.accelerators - self._accelerators
            count = min(count, free // need.accelerators)
        return max(0, count)

    def is_expected(self, now: float) -> bool:
        """Returns whether it responds, or did before and may soon do so again.

        One that starts again misses one poll, and the restarts of idle ones are
        noticed together. A silent endpoint is given up with its lease.
        """
        if self.silent_since is None:
            return True
        silent_s = now - self.silent_since
        return self.polled_at > 0 and silent_s < self.lease.longest_s

    @property
    def is_open(self) -> bool:
        """Whether it answers, all of its runs are known, and it is in use."""
        return (
            self.reconciled
            and not self.orphans
            and self.silent_since is None
            and not self.closed
        )

    def is_paused(self, now: float) -> bool:
        """Returns whether new runs are suspended after a refusal or failure."""
        return now < self._paused_until

    def accepts_runs(self, now: float) -> bool:
        """Returns whether new runs may be started."""
        return self.is_open and not self.is_paused(now)

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
        ratio = (now - run.sent_at) / run.estimate_s
        self._update_slowness(ratio / self._cold_factor(run))

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
        ratio /= self._cold_factor(run)
        if math.log(ratio) > self._log_slowness:
            self._update_slowness(ratio)

    def hanging_runs(self) -> list[runs_module.Run]:
        """Returns the runs that no longer make progress by its reports.

        Without a report nothing is known of their progress: they may go on
        while answers to polls are lost.
        """
        return [
            run
            for run in self._runs.values()
            if run.state is runs_module.State.RUNNING
            and run.progressed_at
            and self.polled_at - run.progressed_at
            > max(_HANG_S, _HANG_RATIO * run.estimate_s)
        ]

    def record_hang(self, now: float) -> None:
        """Pauses the endpoint after a hang; other runs would hang as well."""
        self._pause_s = max(self._pause_s, _HANG_PAUSE_S / 2)
        self.pause(now)

    def _update_slowness(self, ratio: float) -> None:
        ratio = math.log(min(max(ratio, _MIN_RATIO), _MAX_RATIO))
        self._log_slowness += (ratio - self._log_slowness) * _SLOWNESS_SMOOTHING
        self._refresh_slowness()

    def _refresh_slowness(self) -> None:
        self.slowness = math.exp(self._log_slowness)
        if self._is_cold:
            self.slowness *= _COLD_SLOWNESS

    def _cold_factor(self, run: runs_module.Run) -> float:
        """Returns the part of a run's slowness that will not last."""
        return _COLD_SLOWNESS if run.sent_at < self._cold_until else 1.0

    def _update_free_cores(self) -> None:
        offered = self.endpoint.offer.cores * self.share
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
