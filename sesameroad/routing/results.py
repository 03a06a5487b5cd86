"""Results of one send of a task to an endpoint."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """The endpoint ran the task and answered."""

    body: bytes
    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RanAndFailed:
    """The endpoint answered with an error; the task may have run."""

    status: int
    detail: str
    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The endpoint answered that it did not run the task."""

    leaving: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NeverSent:
    """No byte of the task was written."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Lost:
    """Bytes may have been written, and no valid answer arrived."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Withheld:
    """This incarnation may not start the task, so nothing was sent."""

    detail: str


Result = Answered | RanAndFailed | Refused | NeverSent | Lost | Withheld
