"""Second sends of idempotent requests that take unusually long."""

import dataclasses

from hdrh import histogram

from sesameroad.routing import result as results
from sesameroad.routing import retry_budget
from sesameroad.scheduling import pending_task

_PERCENTILE = 99.0
_MAX_MS = 600_000
_DIGITS = 2
# Fewer answers do not say where the 99th percentile is.
_MIN_ANSWERS = 100
# The threshold is computed again after this many answers, and the histogram
# starts afresh after _WINDOW, so that it follows the load.
_REFRESH = 100
_WINDOW = 5_000


@dataclasses.dataclass(slots=True)
class _Kind:
    """Run times of one kind; threshold_s is None while they are too few."""

    times: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, _MAX_MS, _DIGITS)
    )
    answers: int = 0
    threshold_s: float | None = None


@dataclasses.dataclass(slots=True)
class _Sent:
    endpoint_id: str
    began: float


class Hedger:
    """Finds requests in flight past the 99th percentile of their kind."""

    __slots__ = ("_budget", "_kinds", "_sent")

    def __init__(self, *, budget: retry_budget.RetryBudget) -> None:
        self._budget = budget
        self._kinds: dict[str, _Kind] = {}
        self._sent: dict[pending_task.PendingTask, _Sent] = {}

    def send_started(
        self, pending: pending_task.PendingTask, endpoint_id: str, now: float
    ) -> None:
        """Notes a send at a monotonic time in seconds."""
        if pending.work.idempotent and not pending.hedge:
            self._sent[pending] = _Sent(endpoint_id, now)

    def send_ended(
        self,
        pending: pending_task.PendingTask,
        result: results.Result,
        seconds: float,
    ) -> None:
        """Takes the run time of a send that was answered."""
        if not pending.work.idempotent:
            return
        self._sent.pop(pending, None)
        match result:
            case results.Answered():
                self._measure(pending.work.kind, seconds)

    def due(self, now: float) -> list[pending_task.PendingTask]:
        """Returns copies of the tasks to send a second time now."""
        due = []
        for pending, sent in tuple(self._sent.items()):
            kind = self._kinds.get(pending.work.kind)
            if kind is None or kind.threshold_s is None:
                continue
            if now - sent.began <= kind.threshold_s or pending.record.finished:
                continue
            if not self._budget.hedge():
                break
            del self._sent[pending]
            # A refusal of the first send no longer means that nothing ran.
            pending.may_have_run = True
            due.append(
                pending_task.PendingTask(
                    pending.record,
                    pending.index,
                    pending.enqueued_at,
                    tried=(*pending.tried, sent.endpoint_id),
                    may_have_run=True,
                    hedge=True,
                )
            )
        return due

    def _measure(self, name: str, seconds: float) -> None:
        kind = self._kinds.setdefault(name, _Kind())
        kind.times.record_value(min(max(1, round(seconds * 1_000)), _MAX_MS))
        kind.answers += 1
        if kind.answers >= _MIN_ANSWERS and kind.answers % _REFRESH == 0:
            kind.threshold_s = (
                kind.times.get_value_at_percentile(_PERCENTILE) / 1_000
            )
        if kind.answers >= _WINDOW:
            kind.times.reset()
            kind.answers = 0
