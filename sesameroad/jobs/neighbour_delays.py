"""Delays of one queue by the queues that run alongside it.

Load: each end of a run of the queue; 320 queues and 1,000 ends per second at a
leader.
"""

import math
import operator

from sesameroad.jobs import run_time_baselines

# Neighbours whose delays are estimated. Each run has one or two, and a
# queue of the load has two or three heavy ones.
MAX_NEIGHBOURS = 16
# Neighbours counted to choose those.
_MAX_COUNTED = 64
# Shortest time between two solutions, in seconds, and runs that they must add. A
# solution takes about as long as 15 ends of runs, so the 1,000 runs per second
# of 320 queues would cost twice as much without the second condition.
_SOLVE_PERIOD_S = 2.0
_SOLVE_RUNS = 30
# Time after which a queue with fewer runs is solved, in seconds.
_MAX_SOLVE_PERIOD_S = 20.0
# Each solution starts from the last one.
_SWEEPS = 3
# Jobs of full overlap by which a delay is shrunk towards zero.
_SHRINKAGE = 2.0
# Lower limit of the standard deviation of one observation, so that a few equal
# run times do not count as certain.
_MIN_DEVIATION = 0.1
# Endpoints that are remembered for a neighbour.
MAX_PLACES = 3


class Neighbour:
    """Sums and estimate for one queue alongside the delayed one.

    Attributes:
        queue: The queue alongside.
        sums: Weighted sums of products of its overlap with those of all
            neighbours, by position.
        overlap: Weighted sum of its overlap.
        response: Weighted sum of its overlap times the logarithm of the run
            time over its expectation.
        log_delay: Estimated logarithm of the factor by which it delays a run
            that it accompanies throughout.
        deviations: The estimate in standard errors.
        places: Some of the endpoints on which it was alongside.
    """

    __slots__ = (
        "deviations",
        "log_delay",
        "overlap",
        "places",
        "queue",
        "response",
        "sums",
    )

    def __init__(self, queue: str) -> None:
        self.queue = queue
        self.sums = [0.0] * MAX_NEIGHBOURS
        self.overlap = 0.0
        self.response = 0.0
        self.log_delay = 0.0
        self.deviations = 0.0
        self.places: set[str] = set()


class NeighbourDelays:
    """Ridge regression of run times on overlaps, with decaying sums.

    Attributes:
        shift: Detects changes of all run times of the queue.
    """

    __slots__ = (
        "_counts",
        "_half_life_s",
        "_neighbours",
        "_positions",
        "_response",
        "_runs",
        "_solved_at",
        "_squares",
        "_weight",
        "shift",
    )

    def __init__(self, *, half_life_s: float, now: float) -> None:
        """Creates an estimate without observations.

        Args:
            half_life_s: Time in which evidence loses half of its weight.
            now: Current monotonic time.
        """
        self._half_life_s = half_life_s
        self.shift = run_time_baselines.ShiftGuard()
        self._neighbours: list[Neighbour] = []
        self._positions: dict[str, int] = {}
        # Overlap with each queue since the last solution.
        self._counts: dict[str, float] = {}
        self._weight = 0.0
        self._response = 0.0
        self._squares = 0.0
        self._runs = 0
        self._solved_at = now

    @property
    def size(self) -> int:
        """Number of sums and counts that are kept."""
        return len(self._neighbours) * (MAX_NEIGHBOURS + 1) + len(self._counts)

    @property
    def neighbours(self) -> list[Neighbour]:
        """All neighbours with an estimate."""
        return self._neighbours

    def is_due(self, now: float) -> bool:
        """Returns whether the delays should be estimated anew."""
        age_s = now - self._solved_at
        if self._runs < _SOLVE_RUNS:
            return age_s >= _MAX_SOLVE_PERIOD_S
        return age_s >= _SOLVE_PERIOD_S

    def predict(self, overlaps: dict[str, float]) -> float:
        """Returns the expected logarithm of the factor by which a run is slow.

        Args:
            overlaps: Part of the run for which each queue was alongside.
        """
        expected = 0.0
        for queue, overlap in overlaps.items():
            position = self._positions.get(queue)
            if position is not None:
                expected += self._neighbours[position].log_delay * overlap
        return expected

    def add(
        self,
        response: float,
        overlaps: dict[str, float],
        *,
        weight: float,
        place: str,
    ) -> None:
        """Adds a run.

        Args:
            response: Logarithm of its run time over its expectation without
                neighbours.
            overlaps: Part of the run for which each queue was alongside.
            weight: Weight in jobs.
            place: Its endpoint.
        """
        self._runs += 1
        self._weight += weight
        self._response += weight * response
        self._squares += weight * response * response
        positions = []
        for queue, overlap in overlaps.items():
            position = self._position(queue, weight * overlap)
            if position is not None:
                positions.append((position, overlap))
        for position, overlap in positions:
            neighbour = self._neighbours[position]
            weighted = weight * overlap
            neighbour.overlap += weighted
            neighbour.response += weighted * response
            if len(neighbour.places) < MAX_PLACES:
                neighbour.places.add(place)
            for other, other_overlap in positions:
                neighbour.sums[other] += weighted * other_overlap

    def solve(self, now: float) -> None:
        """Estimates the delays anew after letting older evidence decay."""
        self._decay(now)
        self._replace_lightest()
        if self._weight <= 0 or not self._neighbours:
            return
        # Sums about the means, which leaves out the intercept.
        products = [
            [
                one.sums[position] - one.overlap * other.overlap / self._weight
                for position, other in enumerate(self._neighbours)
            ]
            for one in self._neighbours
        ]
        responses = [
            one.response - one.overlap * self._response / self._weight
            for one in self._neighbours
        ]
        delays = [neighbour.log_delay for neighbour in self._neighbours]
        for _ in range(_SWEEPS):
            for i, row in enumerate(products):
                rest = responses[i] - _dot(row, delays)
                rest += row[i] * delays[i]
                delays[i] = max(0.0, rest / (max(row[i], 0.0) + _SHRINKAGE))
        deviation = self._deviation(products, responses, delays)
        delaying = [i for i, delay in enumerate(delays) if delay]
        for i, neighbour in enumerate(self._neighbours):
            neighbour.log_delay = delays[i]
            neighbour.deviations = 0.0
            if delays[i]:
                evidence = _evidence(products, delaying, i)
                neighbour.deviations = (
                    delays[i] * math.sqrt(evidence) / deviation
                )

    def _deviation(
        self,
        products: list[list[float]],
        responses: list[float],
        delays: list[float],
    ) -> float:
        """Returns the standard deviation of an observation."""
        left = self._squares - self._response**2 / self._weight
        for i, delay in enumerate(delays):
            if delay:
                left += delay * (_dot(products[i], delays) - 2 * responses[i])
        variance = max(0.0, left) / self._weight
        return max(_MIN_DEVIATION, math.sqrt(variance))

    def _position(self, queue: str, weighted: float) -> int | None:
        """Returns the position of a neighbour, adding it if there is room."""
        counted = self._counts.get(queue)
        if counted is not None:
            self._counts[queue] = counted + weighted
        elif len(self._counts) < _MAX_COUNTED:
            self._counts[queue] = weighted
        position = self._positions.get(queue)
        if position is None and len(self._neighbours) < MAX_NEIGHBOURS:
            position = self._positions[queue] = len(self._neighbours)
            self._neighbours.append(Neighbour(queue))
        return position

    def _decay(self, now: float) -> None:
        factor = math.exp2((self._solved_at - now) / self._half_life_s)
        self._solved_at = now
        self._runs = 0
        self._weight *= factor
        self._response *= factor
        self._squares *= factor
        for neighbour in self._neighbours:
            neighbour.overlap *= factor
            neighbour.response *= factor
            neighbour.sums = [entry * factor for entry in neighbour.sums]

    def _replace_lightest(self) -> None:
        """Replaces the lightest neighbour if another one is heavier of late."""
        others = [q for q in self._counts if q not in self._positions]
        if others:
            heaviest = max(others, key=self._counts.__getitem__)
            # A delayed queue that is kept apart has no overlap.
            candidates = [
                (self._counts.get(n.queue, 0.0), position)
                for position, n in enumerate(self._neighbours)
                if not n.log_delay
            ]
            if candidates:
                count, position = min(candidates)
                if self._counts[heaviest] > 2 * count:
                    self._replace(position, heaviest)
        self._counts.clear()

    def _replace(self, position: int, queue: str) -> None:
        del self._positions[self._neighbours[position].queue]
        self._positions[queue] = position
        self._neighbours[position] = Neighbour(queue)
        for neighbour in self._neighbours:
            neighbour.sums[position] = 0.0


def _dot(one: list[float], other: list[float]) -> float:
    return sum(map(operator.mul, one, other))


def _evidence(
    products: list[list[float]], delaying: list[int], position: int
) -> float:
    """Returns the jobs of overlap that bear on one delay alone.

    What varies together with another neighbour that delays is left out.
    """
    row = products[position]
    shared = max(
        (
            row[other] ** 2 / products[other][other]
            for other in delaying
            if other != position and products[other][other] > 0
        ),
        default=0.0,
    )
    return max(0.0, row[position] - shared)
