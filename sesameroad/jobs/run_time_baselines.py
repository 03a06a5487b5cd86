"""Run times of endpoints and queues that are not due to neighbours.

Load: each end of a run, 1,000 per second at 176 endpoints and 320 queues.
"""

import collections
import dataclasses

from sesameroad.model import endpoints

# Jobs that a moving average covers. An endpoint that becomes slow must be noticed
# within seconds, at about 3 jobs per second and endpoint; averages over fewer
# jobs vary by more than 10% because declared run times are off by 40%.
_ENDPOINT_SPAN = 30.0
_QUEUE_SPAN = 100.0
# Jobs that the averages must cover before they are relied on. With 5 jobs each, a
# kind of endpoint on which one queue was three times slower was taken for
# interference in 3 of 13 plays.
_MIN_ENDPOINT_JOBS = 10.0
_MIN_QUEUE_JOBS = 25.0
# Weight, in jobs, of the assumption that an average is zero.
_PRIOR_WEIGHT = 1.0
_MAX_ENDPOINTS = 1_024
# Mean difference over this many jobs that shows a change; three standard
# deviations of such a mean under interference of a factor of 2.
_MAX_SHIFT = 0.3
_SHIFT_SPAN = 16.0
# Jobs after which the averages have followed a change, all but a tenth of it.
_SETTLING_JOBS = 100.0
# Combinations of a queue and a kind of endpoint; 320 queues on 12 kinds.
_MAX_QUEUE_KINDS = 4_096


@dataclasses.dataclass(slots=True)
class _Average:
    """Moving average of a logarithm, as a number of jobs and a value."""

    weight: float = 0.0
    value: float = 0.0

    def add(self, difference: float, weight: float, span: float) -> None:
        self.weight = min(self.weight + weight, span)
        self.value += difference * weight / (self.weight + _PRIOR_WEIGHT)


class ShiftGuard:
    """Detects that the run times of a queue have changed as a whole.

    Until the averages have followed, the change would be blamed on neighbours
    that came at the same time.
    """

    __slots__ = ("_jobs_left", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._jobs_left = 0.0

    def is_shifting(self, difference: float, weight: float) -> bool:
        """Returns whether runs must not be compared with earlier ones.

        Args:
            difference: Logarithm of a run time over its expectation.
            weight: Weight of the run in jobs.
        """
        self._mean += (difference - self._mean) * weight / _SHIFT_SPAN
        if abs(self._mean) > _MAX_SHIFT:
            self._jobs_left = _SETTLING_JOBS
        elif self._jobs_left > 0:
            self._jobs_left -= weight
        return self._jobs_left > 0


@dataclasses.dataclass(slots=True)
class _Endpoint:
    """Average of an endpoint, and its kind as of a description of it."""

    described: endpoints.Endpoint
    kind: str
    average: _Average = dataclasses.field(default_factory=_Average)


def _kind(endpoint: endpoints.Endpoint) -> str:
    return f"{endpoint.group}/{','.join(endpoint.labels)}"


class Baseline:
    """Expectation for one queue on one endpoint, without neighbours.

    Attributes:
        value: Expected logarithm of actual over declared run time.
        is_reliable: Whether enough jobs have been observed.
    """

    __slots__ = ("_endpoint", "_queue", "is_reliable", "value")

    def __init__(self, endpoint: _Average, queue: _Average) -> None:
        self._endpoint = endpoint
        self._queue = queue
        self.value = endpoint.value + queue.value
        self.is_reliable = (
            endpoint.weight >= _MIN_ENDPOINT_JOBS
            and queue.weight >= _MIN_QUEUE_JOBS
        )

    def learn(self, difference: float, weight: float) -> None:
        """Adds what a run differs by from its expectation with neighbours."""
        self._endpoint.add(difference, weight, _ENDPOINT_SPAN)
        self._queue.add(difference, weight, _QUEUE_SPAN)


class RunTimeBaselines:
    """Averages for each endpoint, and for each queue on a kind of endpoint."""

    __slots__ = ("_endpoints", "_queue_kinds")

    def __init__(self) -> None:
        # Both are ordered by last use.
        self._endpoints: collections.OrderedDict[str, _Endpoint] = (
            collections.OrderedDict()
        )
        self._queue_kinds: collections.OrderedDict[
            tuple[str, str], _Average
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._endpoints) + len(self._queue_kinds)

    def find(self, queue: str, endpoint: endpoints.Endpoint) -> Baseline:
        """Returns the expectation for a queue on an endpoint."""
        known = self._endpoints.get(endpoint.id)
        if known is None:
            known = _Endpoint(endpoint, _kind(endpoint))
            self._endpoints[endpoint.id] = known
            if len(self._endpoints) > _MAX_ENDPOINTS:
                self._endpoints.popitem(last=False)
        elif known.described is not endpoint:
            known.described = endpoint
            known.kind = _kind(endpoint)
        self._endpoints.move_to_end(endpoint.id)
        key = (queue, known.kind)
        average = self._queue_kinds.get(key)
        if average is None:
            average = self._queue_kinds[key] = _Average()
            if len(self._queue_kinds) > _MAX_QUEUE_KINDS:
                self._queue_kinds.popitem(last=False)
        self._queue_kinds.move_to_end(key)
        return Baseline(known.average, average)
