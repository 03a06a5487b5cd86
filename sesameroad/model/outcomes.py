"""Outcomes of requests and submissions."""

import dataclasses
import enum


class Cause(enum.Enum):
    """Cause of a refusal, a failure or an unknown outcome."""

    OVERLOAD = "overload"
    TEAM_QUOTA = "team-quota"
    KIND_CEILING = "kind-ceiling"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no-endpoint"
    ENDPOINT_MISSING = "endpoint-missing"
    PLATFORM_DOWN = "platform-down"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    HOME_UNREACHABLE = "home-unreachable"
    HOME_LOST = "home-lost"
    HOME_STOPPED = "home-stopped"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_LOST = "endpoint-lost"
    RETRIES_EXHAUSTED = "retries-exhausted"
    TASK_FAILED = "task-failed"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    NOT_STEWARD = "not-steward"
    NO_ROOM = "no-room"
    STEWARD_LOST = "steward-lost"
    NO_CONFIGURATION = "no-configuration"
    UNSUPPORTED = "unsupported"
    INVALID = "invalid"
    NOT_FOUND = "not-found"


@dataclasses.dataclass(slots=True, frozen=True)
class Complete:
    """The work is complete, with one JSON answer per task in task order."""

    answers: tuple[bytes, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """The work failed and will not be run again.

    Attributes:
        cause: Why it failed.
        detail: Explanation for people.
        may_have_run: Whether any task may have run.
    """

    cause: Cause
    detail: str
    may_have_run: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """No task of the work ran.

    Attributes:
        cause: Why it was refused.
        detail: Explanation for people.
        retry_after_s: Seconds after which a retry may succeed, or None.
    """

    cause: Cause
    detail: str
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """It is not known whether the work ran; it will not be run again.

    Attributes:
        cause: Why it is not known.
        detail: Explanation for people.
        ask_again_at_ms: Wall time at which the outcome may be known, or None if
            it will never be known.
        unstarted: Indices of the tasks that have certainly not been started, if
            the leader of a job has resigned.
        succeeded: Indices of the tasks that have succeeded, in the same case;
            those that are in neither may be running.
    """

    cause: Cause
    detail: str
    ask_again_at_ms: int | None = None
    unstarted: tuple[int, ...] = ()
    succeeded: tuple[int, ...] = ()


Outcome = Complete | Failed | NotRun | Unknown


def label(outcome: Outcome) -> str:
    """Returns the name of an outcome for callers, logs and metrics."""
    match outcome:
        case Complete():
            return "complete"
        case Failed():
            return "failed"
        case NotRun():
            return "not run"
        case Unknown():
            return "outcome unknown, will not be run again"
