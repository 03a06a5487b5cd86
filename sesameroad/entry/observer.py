"""Records answers to callers and sends to endpoints."""

from collections.abc import Callable

from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.operators import recent_events as recent_events_module
from sesameroad.routing import results
from sesameroad.scheduling import pending_task
from sesameroad.telemetry import burn as burn_module
from sesameroad.telemetry import log
from sesameroad.telemetry import metrics as metrics_module

UNKNOWN = "unknown"

# At 5,000 answers per second, logging each one would take most of the processor
# time.
_SAMPLE_EVERY = 1_000
_LINES_PER_CAUSE_S = 5


class Observer:
    """Passes answers and sends to metrics, burn rates, recent events, log."""

    __slots__ = (
        "_burn",
        "_clock",
        "_complete_count",
        "_configuration",
        "_limiter",
        "_metrics",
        "_recent_events",
    )

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        burn: burn_module.Burn,
        recent_events: recent_events_module.RecentEvents,
        clock: clocks.Clock,
        configuration: Callable[[], document.Document],
    ) -> None:
        self._metrics = metrics
        self._burn = burn
        self._recent_events = recent_events
        self._clock = clock
        self._configuration = configuration
        self._limiter = log.Limiter(per_second=_LINES_PER_CAUSE_S)
        self._complete_count = 0

    def record_answer(
        self,
        *,
        key: str,
        kind: str,
        team: str,
        tasks: int,
        outcome: outcomes.Outcome,
        seconds: float,
    ) -> None:
        """Records one answer to a caller.

        Args:
            key: Key of the work, empty if it has none.
            kind: Kind of the work, as the caller gave it.
            team: Team of the work, as the caller gave it.
            tasks: Number of tasks.
            outcome: Outcome in the answer.
            seconds: Time since the request was read.
        """
        configuration = self._configuration()
        kind_settings = configuration.product.kinds.get(kind)
        if kind_settings is None:
            kind, kind_settings = UNKNOWN, document.Kind()
        if team not in configuration.operations.team_quotas:
            team = UNKNOWN
        self._metrics.answered(kind, team, outcome, seconds)
        self._burn.add(
            kind=kind,
            team=team,
            outcome=outcome,
            seconds=seconds,
            target_ms=kind_settings.target_ms,
            objective=kind_settings.objective,
            now_s=self._clock.monotonic(),
        )
        self._recent_events.record_answer(
            key=key,
            kind=kind,
            team=team,
            tasks=tasks,
            outcome=outcome,
            seconds=seconds,
            target_ms=kind_settings.target_ms,
            now_ms=self._clock.wall_ms(),
        )
        self._log(key, kind, team, outcome, seconds)

    def record_send(
        self, pending: pending_task.PendingTask, result: results.Result
    ) -> None:
        """Records the result of one send to an endpoint."""
        match result:
            case results.Answered():
                self._metrics.sent("answered")
                return
            case results.RanAndFailed(status=status, detail=text):
                label, detail = "failed", f"status {status}: {text}"
            case results.Refused(leaving=leaving):
                label, detail = "refused", "leaving" if leaving else ""
            case results.NeverSent(detail=detail):
                label = "never-sent"
            case results.Lost(detail=detail):
                label = "lost"
            case results.Withheld(detail=detail):
                label = "withheld"
        self._metrics.sent(label)
        self._recent_events.record_send(
            recent_events_module.SendEvent(
                self._clock.wall_ms(),
                pending.work.key,
                pending.index,
                label,
                detail,
            )
        )

    def _log(
        self,
        key: str,
        kind: str,
        team: str,
        outcome: outcomes.Outcome,
        seconds: float,
    ) -> None:
        match outcome:
            case outcomes.Complete():
                self._complete_count += 1
                if self._complete_count % _SAMPLE_EVERY != 1:
                    return
                message, cause, detail = "sampled answer", "", ""
            case _:
                cause, detail = outcome.cause.value, outcome.detail
                if not self._limiter.admit(cause, self._clock.monotonic()):
                    return
                message = "work did not complete"
        log.event(
            message,
            step="answer",
            key=key,
            kind=kind,
            team=team,
            outcome=outcomes.label(outcome),
            cause=cause,
            detail=detail,
            seconds=round(seconds, 4),
        )
