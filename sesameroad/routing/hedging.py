"""Hedging: second sends of idempotent requests that take unusually long."""

import dataclasses

from hdrh import histogram

from sesameroad.routing import results
from sesameroad.routing import retry_budget
from sesameroad.scheduling import pending_task

_PERCENTILE = 99.0
_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 2
# With fewer answers the 99th percentile is not known well enough.
_MIN_ANSWERS = 100
# The threshold is updated after each _ANSWERS_PER_UPDATE answers. The histogram
# is reset after _MAX_ANSWERS, so that it follows the load.
_ANSWERS_PER_UPDATE = 100
_MAX_ANSWERS = 5_000


@dataclasses.dataclass(slots=True)
class _KindTimes:
    """Run times of one kind; threshold_s is None until there are enough."""

    run_times: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, _MAX_MS, _SIGNIFICANT_DIGITS
        )
    )
    answers: int = 0
    threshold_s: float | None = None


@dataclasses.dataclass(slots=True)
class _InFlight:
    endpoint_id: str
    started_at: float


class Hedger:
    """Finds requests in flight beyond the 99th percentile of their kind."""

    __slots__ = ("_budget", "_in_flight", "_kinds")

    def __init__(self, *, budget: retry_budget.RetryBudget) -> None:
        self._budget = budget
        self._kinds: dict[str, _KindTimes] = {}
        self._in_flight: dict[pending_task.PendingTask, _InFlight] = {}

    def send_started(
        self, pending: pending_task.PendingTask, endpoint_id: str, now: float
    ) -> None:
        """Records the start of a send, at a monotonic time in seconds."""
        if pending.work.idempotent and not pending.hedge:
            self._in_flight[pending] = _InFlight(endpoint_id, now)

    def send_ended(
        self,
        pending: pending_task.PendingTask,
        result: results.Result,
        seconds: float,
    ) -> None:
        """Records the end of a send, and its run time if it was answered."""
        if not pending.work.idempotent:
            return
        self._in_flight.pop(pending, None)
        match result:
            case results.Answered():
                self._record_run_time(pending.work.kind, seconds)

    def due(self, now: float) -> list[pending_task.PendingTask]:
        """Returns copies of the tasks to send a second time now."""
        due = []
        for pending, in_flight in tuple(self._in_flight.items()):
            kind = self._kinds.get(pending.work.kind)
            if kind is None or kind.threshold_s is None:
                continue
            if (
                now - in_flight.started_at <= kind.threshold_s
                or pending.record.finished
            ):
                continue
            if not self._budget.take_hedge():
                break
            del self._in_flight[pending]
            # Once the copy is sent, a refusal of the first send no longer proves
            # that the task did not run.
            pending.may_have_run = True
            due.append(
                pending_task.PendingTask(
                    pending.record,
                    pending.index,
                    pending.enqueued_at,
                    tried=(*pending.tried, in_flight.endpoint_id),
                    may_have_run=True,
                    hedge=True,
                )
            )
        return due

    def _record_run_time(self, name: str, seconds: float) -> None:
        kind = self._kinds.setdefault(name, _KindTimes())
        kind.run_times.record_value(
            min(max(1, round(seconds * 1_000)), _MAX_MS)
        )
        kind.answers += 1
        if (
            kind.answers >= _MIN_ANSWERS
            and kind.answers % _ANSWERS_PER_UPDATE == 0
        ):
            kind.threshold_s = (
                kind.run_times.get_value_at_percentile(_PERCENTILE) / 1_000
            )
        if kind.answers >= _MAX_ANSWERS:
            kind.run_times.reset()
            kind.answers = 0
