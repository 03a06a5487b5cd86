"""Decides which endpoints may get work, and ranks them."""

import collections
import dataclasses

from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.model import work as work_module
from sesameroad.routing import results
from sesameroad.scheduling import pending_task

_CONSECUTIVE_FAILURES = 5
_WINDOW = 20
_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# A lost connection is stronger evidence against an endpoint than an error answer,
# which may be caused by the task.
_LOST_WEIGHT = 2
# A refusal means that the endpoint is full; it frees a slot within the run time
# of a task.
_REFUSAL_PAUSE_S = 0.01
_MAX_REFUSAL_PAUSE_S = 0.2
_UNREACHABLE_PAUSE_S = 0.05
_MAX_UNREACHABLE_PAUSE_S = 5.0
# Time in which a probe takes only idempotent tasks; after it, any task.
_IDEMPOTENT_PROBE_S = 1.0
_SMOOTHING = 0.1
_FAILURE_PENALTY = 4.0
_TRIED_PENALTY = 1_000.0
# An endpoint whose run times are below this ratio to the mean of their kind is
# not a straggler, and ranks by its tasks in flight alone.
_STRAGGLER_RATIO = 1.5
_MAX_ORIGINS = 1_000

_Origin = str | tuple[str, str]


@dataclasses.dataclass(slots=True)
class _State:
    """Health state of one endpoint.

    Attributes:
        endpoint: The endpoint.
        recent_failures: Whether each of the last sends failed.
        consecutive_failures: Weighted number of failures since the last answer.
        successes: Number of answers since the last failure.
        ejection_level: Number of ejections in a row, each of which doubles the
            duration of the next.
        ejected_at: Monotonic time in seconds of the ejection, None if not
            ejected.
        exempt_from_bound: Whether the ejection is due to a lost connection.
            The bound on the number of ejections does not cover these.
        blocked_until: Monotonic time in seconds before which it gets no task.
        refusals: Number of refusals in a row.
        unreachable: Number of failed connects in a row.
        slowness: Moving average of run times relative to the mean of their kind.
        weight: Factor on the number of tasks in flight in the rank.
        in_flight_before_probe: Number of tasks in flight from before a probe, or
            None while not probing. A hung task thus does not delay the probe.
    """

    endpoint: endpoints.Endpoint
    recent_failures: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WINDOW)
    )
    consecutive_failures: int = 0
    successes: int = 0
    ejection_level: int = 0
    ejected_at: float | None = None
    exempt_from_bound: bool = False
    blocked_until: float = 0.0
    refusals: int = 0
    unreachable: int = 0
    slowness: float = 1.0
    weight: float = 1.0
    in_flight_before_probe: int | None = None


class EndpointHealth:
    """Ejects, probes and ranks the endpoints of a data centre."""

    __slots__ = ("_clock", "_failure_rates", "_mean_run_s", "_states")

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._states: dict[str, _State] = {}
        self._mean_run_s: dict[str, float] = {}
        self._failure_rates: collections.OrderedDict[
            _Origin, dict[str, float]
        ] = collections.OrderedDict()

    @property
    def ejected(self) -> list[str]:
        """Ids of endpoints that are ejected or being probed."""
        return [
            endpoint_id
            for endpoint_id, state in self._states.items()
            if state.ejected_at is not None
        ]

    @property
    def has_blocked(self) -> bool:
        """Whether a blocked endpoint may become eligible again by time alone."""
        return any(s.blocked_until for s in self._states.values())

    def add(self, endpoint: endpoints.Endpoint) -> None:
        """Adds or updates an endpoint; a restart or new URL resets its state."""
        known = self._states.get(endpoint.id)
        if known is not None and _is_same(known.endpoint, endpoint):
            known.endpoint = endpoint
            return
        self._states[endpoint.id] = _State(endpoint)

    def remove(self, endpoint_id: str) -> None:
        """Removes an endpoint and its state."""
        self._states.pop(endpoint_id, None)

    def rank(
        self,
        endpoint: endpoints.Endpoint,
        pending: pending_task.PendingTask,
        used: int,
    ) -> float | None:
        """Ranks an endpoint for a task.

        Args:
            endpoint: An endpoint with a free slot that accepts the task.
            pending: The task at the head of its lane.
            used: Slots of the endpoint that this entry uses.

        Returns:
            The rank, the lowest of which gets the task, or None if the endpoint
            must not get the task now.
        """
        state = self._states.get(endpoint.id)
        if state is None:
            return used + 1.0
        if state.blocked_until and not self._may_take(state, pending, used):
            return None
        rank = (used + 1) * state.weight
        if endpoint.id in pending.tried:
            # The endpoint is not excluded, because this entry may hold no slot of
            # any other endpoint.
            return rank * _TRIED_PENALTY
        return rank

    def observe(
        self,
        endpoint: endpoints.Endpoint,
        pending: pending_task.PendingTask,
        result: results.Result,
        seconds: float,
    ) -> None:
        """Updates the state after a send and its duration in seconds."""
        state = self._states.get(endpoint.id)
        if state is None or not _is_same(state.endpoint, endpoint):
            return
        now = self._clock.monotonic()
        match result:
            case results.Answered():
                self._record_success(state, pending, now - seconds)
                self._record_run_time(state, pending.work.kind, seconds)
            case results.RanAndFailed():
                state.refusals = 0
                state.unreachable = 0
                self._record_failure(
                    state, pending, now, now - seconds, weight=1
                )
            case results.Lost():
                self._record_failure(
                    state, pending, now, now - seconds, weight=_LOST_WEIGHT
                )
            case results.Refused():
                state.refusals += 1
                pause_s = _REFUSAL_PAUSE_S * 2 ** min(state.refusals - 1, 10)
                _block(state, now + min(pause_s, _MAX_REFUSAL_PAUSE_S))
            case results.NeverSent():
                state.unreachable += 1
                pause_s = _UNREACHABLE_PAUSE_S * 2 ** min(
                    state.unreachable - 1, 10
                )
                _block(state, now + min(pause_s, _MAX_UNREACHABLE_PAUSE_S))
            case results.Withheld():
                return
        state.weight = _weight(state)

    def _may_take(
        self, state: _State, pending: pending_task.PendingTask, used: int
    ) -> bool:
        now = self._clock.monotonic()
        if now < state.blocked_until:
            return False
        if state.ejected_at is not None:
            idempotent_only = now < state.blocked_until + _IDEMPOTENT_PROBE_S
            if idempotent_only and not pending.work.idempotent:
                return False
            return _may_probe(state, used)
        if state.unreachable:
            return _may_probe(state, used)
        if not state.refusals:
            state.blocked_until = 0.0
        return True

    def _record_success(
        self, state: _State, pending: pending_task.PendingTask, sent_at: float
    ) -> None:
        state.refusals = 0
        state.unreachable = 0
        state.in_flight_before_probe = None
        self._record_origin(state.endpoint.id, pending.work, failed=False)
        if state.ejected_at is not None:
            if sent_at < state.ejected_at:
                return
            state.ejected_at = None
            state.exempt_from_bound = False
            state.recent_failures.clear()
        state.consecutive_failures = 0
        state.successes += 1
        state.recent_failures.append(False)
        if state.successes >= _WINDOW:
            state.ejection_level = 0

    def _record_failure(
        self,
        state: _State,
        pending: pending_task.PendingTask,
        now: float,
        sent_at: float,
        *,
        weight: int,
    ) -> None:
        fails_elsewhere = self._fails_elsewhere(state.endpoint.id, pending)
        self._record_origin(state.endpoint.id, pending.work, failed=True)
        if state.ejected_at is not None:
            # Results of sends from before the ejection do not count as probes.
            if sent_at >= state.ejected_at:
                self._eject(state, now)
            return
        if fails_elsewhere:
            return
        state.successes = 0
        state.consecutive_failures += weight
        state.recent_failures.append(True)
        failures = sum(state.recent_failures)
        if state.consecutive_failures < _CONSECUTIVE_FAILURES and (
            len(state.recent_failures) < _WINDOW or failures * 2 <= _WINDOW
        ):
            return
        if weight == _LOST_WEIGHT or self._may_eject():
            state.exempt_from_bound = weight == _LOST_WEIGHT
            self._eject(state, now)

    def _eject(self, state: _State, now: float) -> None:
        seconds = min(
            _EJECTION_S * 2 ** min(state.ejection_level, 10), _MAX_EJECTION_S
        )
        state.ejection_level += 1
        state.ejected_at = now
        state.consecutive_failures = 0
        _block(state, now + seconds)

    def _may_eject(self) -> bool:
        bounded_ejections = sum(
            s.ejected_at is not None and not s.exempt_from_bound
            for s in self._states.values()
        )
        return (bounded_ejections + 1) * 2 <= len(self._states)

    def _fails_elsewhere(
        self, endpoint_id: str, pending: pending_task.PendingTask
    ) -> bool:
        """Returns whether the task or its work also fails on most others."""
        if pending.attempts and endpoint_id not in pending.tried:
            return True
        rates = [
            rate
            for other, rate in self._failure_rates.get(
                _origin(pending.work), {}
            ).items()
            if other != endpoint_id
        ]
        return sum(rate > 1 / 2 for rate in rates) * 2 > len(rates)

    def _record_origin(
        self, endpoint_id: str, work: work_module.Work, *, failed: bool
    ) -> None:
        origin = _origin(work)
        rates = self._failure_rates.get(origin)
        if rates is None:
            if not failed and isinstance(work, work_module.Submission):
                # Most submissions never fail and need no record here.
                return
            rates = self._failure_rates[origin] = {}
            if len(self._failure_rates) > _MAX_ORIGINS:
                self._failure_rates.popitem(last=False)
        known = rates.get(endpoint_id, float(failed))
        rates[endpoint_id] = known + (failed - known) * _SMOOTHING * 2

    def _record_run_time(
        self, state: _State, kind: str, seconds: float
    ) -> None:
        mean_s = self._mean_run_s.get(kind, seconds)
        self._mean_run_s[kind] = mean_s + (seconds - mean_s) * _SMOOTHING / 2
        if mean_s > 0:
            ratio = min(seconds / mean_s, 100.0)
            state.slowness += (ratio - state.slowness) * _SMOOTHING


def _is_same(one: endpoints.Endpoint, other: endpoints.Endpoint) -> bool:
    """Returns whether two descriptions of an id are of one incarnation."""
    return (one.url, one.born_ms) == (other.url, other.born_ms)


def _block(state: _State, until: float) -> None:
    state.blocked_until = max(state.blocked_until, until)
    state.in_flight_before_probe = None


def _may_probe(state: _State, used: int) -> bool:
    if (
        state.in_flight_before_probe is None
        or used < state.in_flight_before_probe
    ):
        state.in_flight_before_probe = used
    return used == state.in_flight_before_probe


def _weight(state: _State) -> float:
    slowness = state.slowness if state.slowness > _STRAGGLER_RATIO else 1.0
    failing = sum(state.recent_failures) / _WINDOW
    # The last term orders endpoints that have equally many tasks in flight.
    return slowness * (1 + _FAILURE_PENALTY * failing) + 0.01 * state.slowness


def _origin(work: work_module.Work) -> _Origin:
    match work:
        case work_module.Submission():
            return work.key
        case work_module.Request():
            return (work.team, work.kind)
