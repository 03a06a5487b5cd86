"""Outcomes of requests and submissions."""

import dataclasses
import enum


class Cause(enum.Enum):
    """Why work was refused, failed or has an unknown outcome."""

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
    """The work ran; one JSON answer for each task, in the order of tasks."""

    answers: tuple[bytes, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """The work failed and will not be run again.

    Attributes:
        cause: Why it failed.
        detail: Text for people.
        may_have_run: Whether a part of it may have run.
    """

    cause: Cause
    detail: str
    may_have_run: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """Nothing of the work ran.

    Attributes:
        cause: Why it was refused.
        detail: Text for people.
        retry_after_s: Seconds after which a new try is useful, or None.
    """

    cause: Cause
    detail: str
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """It is not known whether the work ran; it will not be run again.

    Attributes:
        cause: Why it is not known.
        detail: Text for people.
        ask_again_at_ms: Wall time at which the answer may be known, or None if
            it will never be.
    """

    cause: Cause
    detail: str
    ask_again_at_ms: int | None = None


Outcome = Complete | Failed | NotRun | Unknown


def label(outcome: Outcome) -> str:
    """Returns the name of an outcome as callers, logs and metrics see it."""
    match outcome:
        case Complete():
            return "complete"
        case Failed():
            return "failed"
        case NotRun():
            return "not run"
        case Unknown():
            return "outcome unknown, will not be run again"
