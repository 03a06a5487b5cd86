"""Which endpoints may get work, and in which order."""

import collections
import dataclasses

from sesameroad.model import clock as clocks
from sesameroad.model import endpoint as endpoints
from sesameroad.model import work as works
from sesameroad.routing import result as results
from sesameroad.scheduling import pending_task

_CONSECUTIVE_FAILURES = 5
_WINDOW = 20
_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# A lost connection says more about an endpoint than an error answer, which may
# come from the task.
_LOST_WEIGHT = 2
# A refusal is a full endpoint, which frees a slot within a task's run time.
_REFUSAL_PAUSE_S = 0.01
_MAX_REFUSAL_PAUSE_S = 0.2
_UNREACHABLE_PAUSE_S = 0.05
_MAX_UNREACHABLE_PAUSE_S = 5.0
# How long a probe waits for an idempotent task before it takes any other.
_PROBE_PATIENCE_S = 1.0
_SMOOTHING = 0.1
_FAILURE_PENALTY = 4.0
_TRIED_PENALTY = 1_000.0
# Below this ratio to the run time of its kind an endpoint is not a straggler, and
# the number of tasks in flight alone decides.
_STRAGGLER_RATIO = 1.5
_MAX_ORIGINS = 1_000

_Origin = str | tuple[str, str]


@dataclasses.dataclass(slots=True)
class _State:
    """What is known of one endpoint.

    Attributes:
        endpoint: The endpoint.
        recent: Whether each of the last sends failed.
        consecutive: Weight of failures since the last answer.
        successes: Answers since the last failure.
        level: Ejections in a row, which double the next one.
        ejected_at: Monotonic seconds of the ejection, None if not ejected.
        unbounded: Whether the ejection is due to lost connections, which the
            bound on ejections does not cover.
        blocked_until: Monotonic seconds before which it gets no task.
        refusals: Refusals in a row.
        unreachable: Failed connects in a row.
        slowness: Moving average of run time relative to that of the kind.
        weight: Factor on the tasks in flight when endpoints are compared.
        older: Tasks in flight from before a probe, None outside of probing. A
            hung task does not hold back the probe.
    """

    endpoint: endpoints.Endpoint
    recent: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WINDOW)
    )
    consecutive: int = 0
    successes: int = 0
    level: int = 0
    ejected_at: float | None = None
    unbounded: bool = False
    blocked_until: float = 0.0
    refusals: int = 0
    unreachable: int = 0
    slowness: float = 1.0
    weight: float = 1.0
    older: int | None = None


class EndpointHealth:
    """Ejects, probes and ranks the endpoints of a data centre."""

    __slots__ = ("_clock", "_kind_seconds", "_origins", "_states")

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._states: dict[str, _State] = {}
        self._kind_seconds: dict[str, float] = {}
        self._origins: collections.OrderedDict[_Origin, dict[str, float]] = (
            collections.OrderedDict()
        )

    @property
    def ejected(self) -> list[str]:
        """Ids of endpoints that are ejected or being probed."""
        return [
            endpoint_id
            for endpoint_id, state in self._states.items()
            if state.ejected_at is not None
        ]

    @property
    def restricted(self) -> bool:
        """Whether an endpoint becomes eligible again by time alone."""
        return any(s.blocked_until for s in self._states.values())

    def add(self, endpoint: endpoints.Endpoint) -> None:
        """Starts to observe an endpoint; a new URL starts afresh."""
        known = self._states.get(endpoint.id)
        if known is not None and known.endpoint.url == endpoint.url:
            known.endpoint = endpoint
            return
        self._states[endpoint.id] = _State(endpoint)

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint."""
        self._states.pop(endpoint_id, None)

    def rank(
        self,
        endpoint: endpoints.Endpoint,
        pending: pending_task.PendingTask,
        used: int,
    ) -> float | None:
        """Compares endpoints for a task.

        Args:
            endpoint: An endpoint with a free slot that accepts the task.
            pending: The task at the head of its lane.
            used: Slots of the endpoint that this entry uses.

        Returns:
            A number, the lowest of which gets the task, or None if the endpoint
            must not get it now.
        """
        state = self._states.get(endpoint.id)
        if state is None:
            return used + 1.0
        if state.blocked_until and not self._unblocked(state, pending, used):
            return None
        rank = (used + 1) * state.weight
        if endpoint.id in pending.tried:
            # Not excluded: this entry may hold no slot of any other endpoint.
            return rank * _TRIED_PENALTY
        return rank

    def observe(
        self,
        endpoint: endpoints.Endpoint,
        pending: pending_task.PendingTask,
        result: results.Result,
        seconds: float,
    ) -> None:
        """Takes the result of a send that lasted some seconds."""
        state = self._states.get(endpoint.id)
        if state is None or state.endpoint.url != endpoint.url:
            return
        now = self._clock.monotonic()
        match result:
            case results.Answered():
                self._succeeded(state, pending, now - seconds)
                self._measure(state, pending.work.kind, seconds)
            case results.RanAndFailed():
                state.refusals = 0
                state.unreachable = 0
                self._failed(state, pending, now, now - seconds, weight=1)
            case results.Lost():
                self._failed(
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

    def _unblocked(
        self, state: _State, pending: pending_task.PendingTask, used: int
    ) -> bool:
        now = self._clock.monotonic()
        if now < state.blocked_until:
            return False
        if state.ejected_at is not None:
            patient = now < state.blocked_until + _PROBE_PATIENCE_S
            if patient and not pending.work.idempotent:
                return False
            return _may_probe(state, used)
        if state.unreachable:
            return _may_probe(state, used)
        if not state.refusals:
            state.blocked_until = 0.0
        return True

    def _succeeded(
        self, state: _State, pending: pending_task.PendingTask, sent_at: float
    ) -> None:
        state.refusals = 0
        state.unreachable = 0
        state.older = None
        self._count_origin(state.endpoint.id, pending.work, failed=False)
        if state.ejected_at is not None:
            if sent_at < state.ejected_at:
                return
            state.ejected_at = None
            state.unbounded = False
            state.recent.clear()
        state.consecutive = 0
        state.successes += 1
        state.recent.append(False)
        if state.successes >= _WINDOW:
            state.level = 0

    def _failed(
        self,
        state: _State,
        pending: pending_task.PendingTask,
        now: float,
        sent_at: float,
        *,
        weight: int,
    ) -> None:
        follows_work = self._follows_work(state.endpoint.id, pending)
        self._count_origin(state.endpoint.id, pending.work, failed=True)
        if state.ejected_at is not None:
            # Answers to sends from before the ejection are no probes.
            if sent_at >= state.ejected_at:
                self._eject(state, now)
            return
        if follows_work:
            return
        state.successes = 0
        state.consecutive += weight
        state.recent.append(True)
        failures = sum(state.recent)
        if state.consecutive < _CONSECUTIVE_FAILURES and (
            len(state.recent) < _WINDOW or failures * 2 <= _WINDOW
        ):
            return
        if weight == _LOST_WEIGHT or self._may_eject():
            state.unbounded = weight == _LOST_WEIGHT
            self._eject(state, now)

    def _eject(self, state: _State, now: float) -> None:
        seconds = min(_EJECTION_S * 2 ** min(state.level, 10), _MAX_EJECTION_S)
        state.level += 1
        state.ejected_at = now
        state.consecutive = 0
        _block(state, now + seconds)

    def _may_eject(self) -> bool:
        bounded = sum(
            s.ejected_at is not None and not s.unbounded
            for s in self._states.values()
        )
        return (bounded + 1) * 2 <= len(self._states)

    def _follows_work(
        self, endpoint_id: str, pending: pending_task.PendingTask
    ) -> bool:
        """Whether the same task or work fails on most other endpoints too."""
        if pending.attempts and endpoint_id not in pending.tried:
            return True
        rates = [
            rate
            for other, rate in self._origins.get(
                _origin(pending.work), {}
            ).items()
            if other != endpoint_id
        ]
        return sum(rate > 1 / 2 for rate in rates) * 2 > len(rates)

    def _count_origin(
        self, endpoint_id: str, work: works.Work, *, failed: bool
    ) -> None:
        origin = _origin(work)
        rates = self._origins.get(origin)
        if rates is None:
            if not failed and isinstance(work, works.Submission):
                # Most submissions never fail and need no entry.
                return
            rates = self._origins[origin] = {}
            if len(self._origins) > _MAX_ORIGINS:
                self._origins.popitem(last=False)
        known = rates.get(endpoint_id, float(failed))
        rates[endpoint_id] = known + (failed - known) * _SMOOTHING * 2

    def _measure(self, state: _State, kind: str, seconds: float) -> None:
        usual = self._kind_seconds.get(kind, seconds)
        self._kind_seconds[kind] = usual + (seconds - usual) * _SMOOTHING / 2
        if usual > 0:
            ratio = min(seconds / usual, 100.0)
            state.slowness += (ratio - state.slowness) * _SMOOTHING


def _block(state: _State, until: float) -> None:
    state.blocked_until = max(state.blocked_until, until)
    state.older = None


def _may_probe(state: _State, used: int) -> bool:
    if state.older is None or used < state.older:
        state.older = used
    return used == state.older


def _weight(state: _State) -> float:
    slowness = state.slowness if state.slowness > _STRAGGLER_RATIO else 1.0
    failing = sum(state.recent) / _WINDOW
    # The last term decides between endpoints with equal tasks in flight.
    return slowness * (1 + _FAILURE_PENALTY * failing) + 0.01 * state.slowness


def _origin(work: works.Work) -> _Origin:
    match work:
        case works.Submission():
            return work.key
        case works.Request():
            return (work.team, work.kind)
