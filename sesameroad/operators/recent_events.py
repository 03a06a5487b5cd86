"""Recent refused, failed and late work, for operators' queries."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Any

from sesameroad.model import outcomes
from sesameroad.operators import commands

# Limit for each pair of state and cause, so that many events of one cause do
# not evict the few events of another.
_MAX_EVENTS_PER_CAUSE = 500
_MAX_SENDS = 5_000
_MAX_CHANGES = 200
# Limits the details, which come from endpoints and may be long.
_MAX_DETAIL_LENGTH = 200


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerEvent:
    """An answer that was refused, failed, unknown or late.

    Attributes:
        at_ms: Wall time of the answer.
        key: Key of the work, empty if it had none.
        kind: Kind of the work.
        team: Team of the work.
        tasks: Number of its tasks.
        state: State under which queries list it.
        cause: Cause of the outcome, or "late".
        age_ms: Response time.
        detail: Explanation for the operator.
    """

    at_ms: int
    key: str
    kind: str
    team: str
    tasks: int
    state: commands.State
    cause: str
    age_ms: int
    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class SendEvent:
    """A send of a task that ended without an answer.

    Attributes:
        at_ms: Wall time of its end.
        key: Key of the work.
        index: Position of the task in the work.
        result: Name of the result.
        detail: Explanation for the operator.
    """

    at_ms: int
    key: str
    index: int
    result: str
    detail: str


class RecentEvents:
    """Keeps the most recent events in a limited amount of memory."""

    __slots__ = ("_changes", "_events", "_sends")

    def __init__(self) -> None:
        self._events: dict[
            tuple[commands.State, str], collections.deque[AnswerEvent]
        ] = {}
        self._sends: collections.deque[SendEvent] = collections.deque(
            maxlen=_MAX_SENDS
        )
        self._changes: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_CHANGES
        )

    @property
    def changes(self) -> Iterable[dict[str, Any]]:
        """Configuration versions that came into force on this entry."""
        return self._changes

    def record_answer(
        self,
        *,
        key: str,
        kind: str,
        team: str,
        tasks: int,
        outcome: outcomes.Outcome,
        seconds: float,
        target_ms: int,
        now_ms: int,
    ) -> None:
        """Records an answer unless it was complete and in time."""
        age_ms = round(seconds * 1_000)
        match outcome:
            case outcomes.Complete() if age_ms <= target_ms:
                return
            case outcomes.Complete():
                state, cause = commands.State.LATE, "late"
                detail = f"target {target_ms} ms"
            case outcomes.NotRun():
                state, cause = commands.State.REFUSED, outcome.cause.value
                detail = outcome.detail
            case outcomes.Failed() | outcomes.Unknown():
                state, cause = commands.State.FAILED, outcome.cause.value
                detail = f"{outcomes.label(outcome)}: {outcome.detail}"
        events = self._events.get((state, cause))
        if events is None:
            events = collections.deque(maxlen=_MAX_EVENTS_PER_CAUSE)
            self._events[state, cause] = events
        events.append(
            AnswerEvent(
                now_ms,
                key,
                kind,
                team,
                tasks,
                state,
                cause,
                age_ms,
                detail[:_MAX_DETAIL_LENGTH],
            )
        )

    def record_send(self, send: SendEvent) -> None:
        """Records a send that ended without an answer."""
        self._sends.append(
            dataclasses.replace(send, detail=send.detail[:_MAX_DETAIL_LENGTH])
        )

    def record_change(self, change: dict[str, Any]) -> None:
        """Records a configuration version."""
        self._changes.append(change)

    def events(self, state: commands.State) -> list[AnswerEvent]:
        """Returns the recorded answers of a state, newest first."""
        found = [
            event
            for (recorded_state, _), events in self._events.items()
            if recorded_state is state
            for event in events
        ]
        found.sort(key=lambda event: -event.at_ms)
        return found

    def of_key(self, key: str) -> list[AnswerEvent | SendEvent]:
        """Returns the recorded events of a key, oldest first."""
        found: list[AnswerEvent | SendEvent] = [
            s for s in self._sends if s.key == key
        ]
        for events in self._events.values():
            found += [event for event in events if event.key == key]
        found.sort(key=lambda event: event.at_ms)
        return found


def matches(
    row: dict[str, Any], conditions: Iterable[commands.Condition]
) -> bool:
    """Returns whether a row meets all conditions."""
    return all(_meets(row.get(c.field.value), c) for c in conditions)


def sort_rows(rows: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns open work, oldest first, then recorded answers, newest first."""
    return sorted(rows, key=_sort_key)


def _sort_key(row: dict[str, Any]) -> tuple[bool, int]:
    at_ms = row.get("at_ms")
    return (False, -row["age_ms"]) if at_ms is None else (True, -at_ms)


def _meets(value: Any, condition: commands.Condition) -> bool:
    match condition.comparison:
        case commands.Comparison.EQUAL:
            return value == condition.value
        case commands.Comparison.NOT_EQUAL:
            return value != condition.value
        case commands.Comparison.LESS:
            return value is not None and value < condition.value
        case commands.Comparison.GREATER:
            return value is not None and value > condition.value
