"""Requests and submissions of callers, and their tasks."""

import dataclasses

from sesameroad.model import needs

MAX_TASKS = 1_100


@dataclasses.dataclass(slots=True, frozen=True)
class Task:
    """A unit of execution, run by one endpoint.

    Attributes:
        payload: JSON text that the endpoint receives.
        need: Resources that the task needs.
    """

    payload: bytes
    need: needs.Need = needs.Need()


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A request to run one task.

    Attributes:
        key: Key that identifies the request in the whole fleet.
        team: Team whose quota the request uses.
        kind: Kind of work.
        deadline_ms: Wall time after which the caller needs no answer.
        task: What to run.
        idempotent: Whether the task may safely run more than once.
    """

    key: str
    team: str
    kind: str
    deadline_ms: int
    task: Task
    idempotent: bool = False

    @property
    def tasks(self) -> tuple[Task, ...]:
        """The single task, as a tuple."""
        return (self.task,)


@dataclasses.dataclass(slots=True, frozen=True)
class Submission:
    """A job of up to MAX_TASKS tasks, each of which starts at most once."""

    key: str
    team: str
    kind: str
    deadline_ms: int
    tasks: tuple[Task, ...]

    @property
    def idempotent(self) -> bool:
        """Always false, because no task of a submission starts twice."""
        return False


Work = Request | Submission
