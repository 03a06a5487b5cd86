"""What became of one send to an endpoint."""

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
    """The endpoint said that it did not run the task."""

    leaving: bool


@dataclasses.dataclass(slots=True, frozen=True)
class NeverSent:
    """No byte of the task left this process."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Lost:
    """Bytes may have left and no answer came."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Withheld:
    """This incarnation does not hold the start, so nothing was sent."""

    detail: str


Result = Answered | RanAndFailed | Refused | NeverSent | Lost | Withheld
