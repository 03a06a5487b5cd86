"""Requests, submissions and their tasks."""

import dataclasses

from sesameroad.model import need as needs

MAX_TASKS = 1_100


@dataclasses.dataclass(slots=True, frozen=True)
class Task:
    """One unit of execution.

    Attributes:
        payload: JSON text that the endpoint receives.
        need: Resources it needs.
    """

    payload: bytes
    need: needs.Need = needs.Need()


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One call.

    Attributes:
        key: Key that names the request in the whole fleet.
        team: Team that pays for it.
        kind: Kind of work.
        deadline_ms: Wall time after which the answer is of no use.
        task: What to run.
        idempotent: Whether running it more than once does no harm.
    """

    key: str
    team: str
    kind: str
    deadline_ms: int
    task: Task
    idempotent: bool = False

    @property
    def tasks(self) -> tuple[Task, ...]:
        """The tasks to run."""
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
        """Always false: no task of a submission starts twice."""
        return False


Work = Request | Submission
