"""Detects queues whose tasks slow each other down on one endpoint.

docs/design/interference.md has the model and the reasons. Load: 1,000 ends of
runs and 1,000 placements per second over 110 endpoints, 320 queues.
"""

import collections
import dataclasses
import math
from typing import Self

from sesameroad.jobs import neighbour_delays
from sesameroad.jobs import run_time_baselines
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs as runs_module
from sesameroad.settings import node

# Standard errors from which a pair is detected, and below which it ends. A
# leader tests up to 8,192 pairs every few seconds.
_MIN_DEVIATIONS = 5.0
_END_DEVIATIONS = 2.0
# The same if the opposite pair is detected. Contention mostly delays both sides,
# and once one is detected, avoidance leaves little further evidence.
_MIN_REVERSE_DEVIATIONS = 2.5
# Largest deviation of one run from its expectation, as a logarithm. A single run
# that stalls must not outweigh many others.
_MAX_DIFFERENCE = 1.0
_MAX_QUEUES = 512
_MAX_PAIRS = 256
# Charge of a pair that operators keep apart, also the largest charge, as a
# fraction of the run time on an average endpoint. With 0.9, tasks were placed
# alongside queues that doubled the time of both rather than on endpoints of half
# the speed, and 85% instead of 92% of the delay was avoided in the benchmark.
MAX_CHARGE = 3.0
# Part of its declared run time that a run is expected to need at least, as
# declared run times are often too low.
_MIN_REMAINING = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class Pair:
    """A queue that is delayed by another one alongside it.

    Attributes:
        delayed: The delayed queue.
        alongside: The queue that delays it.
        delay: Extra run time of a run with the other queue alongside
            throughout, as a fraction of its run time.
        deviations: The delay in standard errors.
        jobs: Evidence, as jobs of full overlap.
        since: Monotonic time at which the pair was detected.
    """

    delayed: str
    alongside: str
    delay: float
    deviations: float
    jobs: float
    since: float


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A pair that was detected, or whose detection has ended."""

    pair: Pair
    detected: bool


class Interference:
    """Pairs of queues that interfere, learned from the runs of one leader."""

    __slots__ = (
        "_baselines",
        "_changes",
        "_harmless",
        "_pairs",
        "_partners",
        "_queues",
        "_settings",
    )

    def __init__(self, settings: node.Interference) -> None:
        self._settings = settings
        self._baselines = run_time_baselines.RunTimeBaselines()
        # Ordered by the last end of a run.
        self._queues: collections.OrderedDict[
            str, neighbour_delays.NeighbourDelays
        ] = collections.OrderedDict()
        self._pairs: dict[tuple[str, str], Pair] = {}
        self._changes: list[Change] = []
        self._harmless = {frozenset(pair) for pair in settings.harmless}
        # Delay of both runs of a pair together, by queue and other queue.
        self._partners: dict[str, dict[str, float]] = {}
        self._update_partners()

    @classmethod
    def from_settings(cls, settings: node.Interference) -> Self | None:
        """Returns the state of a new leader, None if it is disabled."""
        return cls(settings) if settings.enabled else None

    @property
    def pairs(self) -> list[Pair]:
        """Detected pairs, the strongest first."""
        return sorted(self._pairs.values(), key=lambda pair: -pair.delay)

    @property
    def state_size(self) -> int:
        """Number of averages, sums and counts that are kept."""
        sums = sum(delays.size for delays in self._queues.values())
        return len(self._baselines) + sums

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def is_pinned_apart(self, pair: Pair) -> bool:
        """Returns whether operators keep the queues apart."""
        queues = {pair.delayed, pair.alongside}
        return any(set(pin) == queues for pin in self._settings.apart)

    def is_harmless(self, pair: Pair) -> bool:
        """Returns whether operators have declared the pair harmless."""
        return frozenset((pair.delayed, pair.alongside)) in self._harmless

    def run_ended(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs_module.Run,
        *,
        now: float,
        tasks: int,
    ) -> None:
        """Records the end of a run that is no longer among those there.

        Args:
            leased: Its endpoint.
            run: The run.
            now: Monotonic time of the end.
            tasks: Number of tasks of its job if the run was successful, else 0.
        """
        if not run.sent_at:
            return
        own = run.alongside or {}
        for other in leased.runs.values():
            if not other.sent_at:
                continue
            overlap_s = now - max(run.sent_at, other.sent_at)
            own[other.queue] = own.get(other.queue, 0.0) + overlap_s
            if other.alongside is None:
                other.alongside = {}
            other.alongside[run.queue] = (
                other.alongside.get(run.queue, 0.0) + overlap_s
            )
        seconds = now - run.sent_at
        # A run without a token was started by an earlier leader at an unknown
        # time.
        if not tasks or not run.token or run.estimate_s <= 0 or seconds <= 0:
            return
        overlaps = {queue: s / seconds for queue, s in own.items()}
        self._observe(
            leased,
            run.queue,
            math.log(seconds / run.estimate_s),
            overlaps,
            weight=1 / tasks,
            now=now,
        )

    def _observe(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        queue: str,
        log_ratio: float,
        overlaps: dict[str, float],
        *,
        weight: float,
        now: float,
    ) -> None:
        baseline = self._baselines.find(queue, leased.endpoint)
        delays = self._delays(queue, now)
        expected = delays.predict(overlaps)
        response = log_ratio - baseline.value
        shifting = delays.shift.is_shifting(response - expected, weight)
        if baseline.is_reliable and not shifting:
            bounded = min(
                max(response, expected - _MAX_DIFFERENCE),
                expected + _MAX_DIFFERENCE,
            )
            delays.add(
                bounded, overlaps, weight=weight, place=leased.endpoint.id
            )
        baseline.learn(response - expected, weight)
        if delays.is_due(now):
            delays.solve(now)
            self._update_pairs(queue, delays, now)

    def partners(self, queue: str) -> dict[str, float] | None:
        """Returns the queues that a queue should not run alongside.

        Returns:
            For each the delay of both runs together, as a fraction of the time
            that they share; None if there are none.
        """
        return self._partners.get(queue)

    def _delays(
        self, queue: str, now: float
    ) -> neighbour_delays.NeighbourDelays:
        delays = self._queues.get(queue)
        if delays is None:
            delays = self._queues[queue] = neighbour_delays.NeighbourDelays(
                half_life_s=self._settings.half_life_s, now=now
            )
            if len(self._queues) > _MAX_QUEUES:
                dropped, _ = self._queues.popitem(last=False)
                self._drop_pairs(dropped)
        self._queues.move_to_end(queue)
        return delays

    def _drop_pairs(self, queue: str) -> None:
        dropped = [key for key in self._pairs if key[0] == queue]
        for key in dropped:
            self._changes.append(Change(self._pairs.pop(key), detected=False))
        if dropped:
            self._update_partners()

    def _update_pairs(
        self, queue: str, delays: neighbour_delays.NeighbourDelays, now: float
    ) -> None:
        changed = False
        for neighbour in delays.neighbours:
            key = queue, neighbour.queue
            known = self._pairs.get(key)
            if known is None and not neighbour.log_delay:
                continue
            pair = Pair(
                *key,
                delay=math.expm1(neighbour.log_delay),
                deviations=neighbour.deviations,
                jobs=neighbour.overlap,
                since=now if known is None else known.since,
            )
            if known is None:
                if not self._is_detected(pair, neighbour):
                    continue
                self._pairs[key] = pair
                self._changes.append(Change(pair, detected=True))
            elif self._has_ended(pair):
                del self._pairs[key]
                self._changes.append(Change(pair, detected=False))
            else:
                self._pairs[key] = pair
            changed = True
        if changed:
            self._update_partners()

    def _is_detected(
        self, pair: Pair, neighbour: neighbour_delays.Neighbour
    ) -> bool:
        reverse = pair.alongside, pair.delayed
        deviations = (
            _MIN_REVERSE_DEVIATIONS
            if reverse in self._pairs
            else _MIN_DEVIATIONS
        )
        return (
            pair.delay >= self._settings.min_delay
            and pair.deviations >= deviations
            and len(neighbour.places) >= neighbour_delays.MAX_PLACES
            and len(self._pairs) < _MAX_PAIRS
        )

    def _has_ended(self, pair: Pair) -> bool:
        return (
            pair.delay < self._settings.min_delay / 2
            or pair.deviations < _END_DEVIATIONS
        )

    def _update_partners(self) -> None:
        self._partners = {}
        for (delayed, alongside), pair in self._pairs.items():
            if not self.is_harmless(pair):
                self._add_partner(delayed, alongside, pair.delay)
        for one, other in self._settings.apart:
            self._add_partner(one, other, MAX_CHARGE)

    def _add_partner(self, one: str, other: str, delay: float) -> None:
        for queue, partner in {(one, other), (other, one)}:
            known = self._partners.setdefault(queue, {})
            known[partner] = known.get(partner, 0.0) + delay


def charge(
    partners: dict[str, float],
    estimate_s: float,
    leased: leased_endpoint.LeasedEndpoint,
    now: float,
) -> float:
    """Returns the delay that a new task causes and suffers on an endpoint.

    Args:
        partners: Queues that its queue should not run alongside.
        estimate_s: Its declared run time.
        leased: The endpoint.
        now: Current monotonic time.

    Returns:
        The delay as a fraction of its declared run time, at most MAX_CHARGE.
    """
    total = 0.0
    for run in leased.runs.values():
        delay = partners.get(run.queue)
        if delay is None:
            continue
        remaining_s = run.estimate_s
        if run.sent_at:
            shortest_s = _MIN_REMAINING * remaining_s
            remaining_s -= now - run.sent_at
            remaining_s = max(remaining_s, shortest_s)
        if remaining_s < estimate_s:
            delay *= remaining_s / estimate_s
        total += delay
    return total if total < MAX_CHARGE else MAX_CHARGE
