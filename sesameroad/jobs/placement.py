"""Selects an endpoint for a task."""

from collections.abc import Iterable
import heapq
import math

from sesameroad.jobs import active_job
from sesameroad.jobs import interference as interference_module
from sesameroad.leasing import leased_endpoint
from sesameroad.model import jobs

# Cost factor of an endpoint without the preferred label, which is far from the
# data.
_DISTANCE_PENALTY = 2.0
# Added cost of an endpoint on which a task of the same job has failed; it is
# used only if no other endpoint fits.
_AVOIDED_PENALTY = 10.0
# An endpoint counts as slow above this multiple of the median slowness.
_SLOW_RATIO = 1.6
# Weight of leftover cores relative to slowness: a tight fit leaves room for
# large tasks elsewhere, but matters less than a fast endpoint.
_WASTE_WEIGHT = 0.3
# A task waits for an endpoint whose queue of starts is full, which takes less than
# 0.1 s, rather than start on one that costs this many times as much.
_SPILL_RATIO = 1.5
# Avoids a division by zero for tasks that declare no cores.
_MIN_CORES = 0.001


class Candidates:
    """Endpoints that accept new runs, evaluated for one placement pass.

    Attributes:
        orphans: Tasks with runs on any endpoint that no job has claimed.
    """

    __slots__ = (
        "_available",
        "_interference",
        "_free_cores",
        "_largest_cores",
        "_median_slowness",
        "_now",
        "orphans",
    )

    def __init__(
        self,
        pool: Iterable[leased_endpoint.LeasedEndpoint],
        now: float,
        interference: interference_module.Interference | None = None,
    ) -> None:
        """Creates the candidates.

        Args:
            pool: All leased endpoints.
            now: Current monotonic time.
            interference: Queues to keep apart, None if it is disabled.
        """
        pool = list(pool)
        self._now = now
        self._interference = interference
        self.orphans = frozenset(
            task for leased in pool for task in leased.orphans
        )
        self._median_slowness = _median([leased.slowness for leased in pool])
        self._available = [
            leased for leased in pool if leased.accepts_runs(now)
        ]
        # Most free cores of any endpoint, None if a run was placed there since.
        self._largest_cores: float | None = None
        # Free cores of all endpoints, None if not asked for yet.
        self._free_cores: float | None = None

    def room(self, job: jobs.Job) -> int:
        """Returns how many tasks of a job fit, judged by cores only."""
        cores = max(job.need.cores, _MIN_CORES)
        return sum(int(leased.free_cores / cores) for leased in self._available)

    @property
    def free_cores(self) -> float:
        """Cores that no run uses, less those used in this pass."""
        if self._free_cores is None:
            self._free_cores = sum(
                leased.free_cores for leased in self._available
            )
        return self._free_cores

    def may_fit(self, cores: float) -> bool:
        """Returns whether any endpoint has this many free cores."""
        if self._largest_cores is None:
            self._largest_cores = max(
                [leased.free_cores for leased in self._available], default=0.0
            )
        return cores <= self._largest_cores

    def rank(self, active: active_job.ActiveJob) -> "Ranking":
        """Ranks the endpoints for the tasks of a job."""
        if not self.may_fit(active.job.need.cores):
            return Ranking(self, active, ())
        return Ranking(self, active, self._available)

    def invalidate(self) -> None:
        """Has the free cores counted again."""
        self._largest_cores = self._free_cores = None

    def run_added(self, cores: float) -> None:
        """Updates the free cores after a run was placed."""
        self._largest_cores = None
        if self._free_cores is not None:
            self._free_cores -= cores

    def partners(self, queue: str) -> dict[str, float] | None:
        """Returns the queues to keep apart from a queue, None if none."""
        if self._interference is None:
            return None
        return self._interference.partners(queue)

    def charge(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
        partners: dict[str, float],
    ) -> float:
        """Returns the added cost of an endpoint for queues to keep apart.

        Endpoints that other rules disfavour are charged the maximum, so that
        the charge does not move a task there.
        """
        job = active.job
        if active.avoided or job.preferred_label:
            endpoint = leased.endpoint
            if endpoint.id in active.avoided or (
                job.preferred_label
                and job.preferred_label not in endpoint.labels
            ):
                return interference_module.MAX_CHARGE
        return interference_module.charge(
            partners, job.estimate_s, leased, self._now
        )

    def end_by(self, active: active_job.ActiveJob) -> float:
        """Returns the time by which the runs of a job must be able to end."""
        return active.runs_end_by(self._now)

    def is_fit(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
        *,
        end_by: float,
    ) -> bool:
        """Returns whether an endpoint can run a task of a job.

        It is unfit while the lease that it was granted for other jobs would
        keep the run alive for too long after the loss of its origin.

        Args:
            active: The job of the task.
            leased: The endpoint.
            end_by: Time by which the run must have ended if its origin is lost.
        """
        job = active.job
        return (
            leased.fits(job.need)
            and leased.lease.latest_end <= end_by
            and job.service in leased.endpoint.kinds
            and (not job.required_label or leased.has_label(job.required_label))
            and (
                not job.per_endpoint
                or leased.count_runs(job.key) < job.per_endpoint
            )
        )

    def cost(
        self,
        active: active_job.ActiveJob,
        leased: leased_endpoint.LeasedEndpoint,
        *,
        end_by: float,
    ) -> float:
        """Returns the cost of an endpoint for a task; infinite if unfit.

        A slow endpoint is unfit if it would make the job late while another
        endpoint could still finish it in time.

        Args:
            active: The job of the task.
            leased: The endpoint.
            end_by: Time by which the run must have ended if its origin is lost.
        """
        job = active.job
        if not self.is_fit(active, leased, end_by=end_by):
            return math.inf
        endpoint = leased.endpoint
        slowness = leased.slowness
        if (
            slowness > _SLOW_RATIO * self._median_slowness
            and _finishes_too_late(job, slowness, self._now)
        ):
            return math.inf
        cost = slowness / self._median_slowness
        if endpoint.id in active.avoided:
            cost += _AVOIDED_PENALTY
        if job.preferred_label and job.preferred_label not in endpoint.labels:
            cost *= _DISTANCE_PENALTY
        if endpoint.offer.cores:
            left = (leased.free_cores - job.need.cores) / endpoint.offer.cores
            cost += _WASTE_WEIGHT * left
        return cost


class Ranking:
    """Endpoints in the order of their cost for the tasks of one job.

    All tasks of a job are alike, so each endpoint is evaluated once for the
    job and again only after a task was placed on it. Evaluating all endpoints
    for each task costs a leader of many endpoints more processor time than
    sending the orders does.
    """

    __slots__ = (
        "_active",
        "_candidates",
        "_costs",
        "_end_by",
        "_full_cost",
        "_partners",
    )

    def __init__(
        self,
        candidates: Candidates,
        active: active_job.ActiveJob,
        available: Iterable[leased_endpoint.LeasedEndpoint],
    ) -> None:
        self._candidates = candidates
        self._active = active
        self._end_by = candidates.end_by(active)
        # Lowest cost of an endpoint whose queue of starts is full.
        self._full_cost = math.inf
        self._partners = candidates.partners(active.job.queue)
        cores = active.job.need.cores
        # Heap of costs; the position breaks ties between equal ones. In an
        # overload most endpoints have no free cores, and comparing these here
        # takes a fraction of the processor time of evaluating the endpoint.
        self._costs = [
            (cost, position, leased)
            for position, leased in enumerate(available)
            if leased.free_cores >= cores
            and (cost := self._cost(leased)) < math.inf
        ]
        heapq.heapify(self._costs)

    @property
    def best(self) -> leased_endpoint.LeasedEndpoint | None:
        """The best endpoint that fits the next task, None if there is none.

        There is none either while a much better one has a full queue of starts.
        """
        if not self._costs:
            return None
        cost, _, leased = self._costs[0]
        return leased if cost <= self._full_cost * _SPILL_RATIO else None

    def room(self, limit: int) -> int:
        """Returns how many tasks of the job can start, at most the limit."""
        job = self._active.job
        room = 0
        for _, _, leased in self._costs:
            count = leased.count_fitting(job.need, limit - room)
            if job.per_endpoint:
                used = leased.count_runs(job.key)
                count = min(count, job.per_endpoint - used)
            room += count
            if room >= limit:
                break
        return room

    def run_added(self) -> None:
        """Updates the ranking after a task was placed on the best endpoint."""
        _, position, leased = self._costs[0]
        self._candidates.run_added(self._active.job.need.cores)
        cost = self._cost(leased)
        if cost < math.inf:
            heapq.heapreplace(self._costs, (cost, position, leased))
        else:
            heapq.heappop(self._costs)

    def _cost(self, leased: leased_endpoint.LeasedEndpoint) -> float:
        cost = self._candidates.cost(self._active, leased, end_by=self._end_by)
        if self._partners is not None and cost < math.inf:
            cost += self._candidates.charge(
                self._active, leased, self._partners
            )
        if cost < math.inf and leased.is_start_queue_full:
            self._full_cost = min(self._full_cost, cost)
            return math.inf
        return cost


def _median(ratios: list[float]) -> float:
    return sorted(ratios)[len(ratios) // 2] if ratios else 1.0


def _finishes_too_late(job: jobs.Job, slowness: float, now: float) -> bool:
    """Returns whether a run at this slowness misses the job's time limit.

    The limit is the objective while it can still be met, and the expiry after.
    """
    end = now + job.estimate_s * slowness
    if now + job.estimate_s <= job.objective_at:
        return end > job.objective_at
    return end > job.expires_at
