"""Orders to an endpoint and its answers, as the rest of the program sees them."""

import dataclasses
import enum
from typing import Protocol

from sesameroad.model import endpoint as endpoints


class Ending(enum.Enum):
    """How a run ended on its endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    OTHER = "other"


class Refusal(enum.Enum):
    """Why an endpoint did nothing on an order."""

    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True, frozen=True)
class RunningTask:
    """A run that an endpoint lists as not ended.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        percent: Progress as the endpoint shows it.
    """

    task: str
    run: int
    percent: int


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The end of a run.

    Attributes:
        number: Counts the ends of one life of the endpoint, from 1.
        task: Name of the task.
        run: Number of the run.
        how: How it ended.
    """

    number: int
    task: str
    run: int
    how: Ending


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Both lists of an endpoint.

    Attributes:
        clock_ms: Steady clock of the endpoint when it answered.
        born_ms: Wall time of its start, 0 if it did not say.
        running: Runs that have not ended.
        ended: Ends that nobody has acknowledged yet.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[End, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The endpoint carried an order out."""

    clock_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The endpoint did nothing."""

    why: Refusal
    clock_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Replaced:
    """Another endpoint answers at the address; it did nothing."""


@dataclasses.dataclass(slots=True, frozen=True)
class NoAnswer:
    """No answer came. The order may be carried out, now or seconds later.

    Attributes:
        detail: Text for people.
    """

    detail: str


Answer = Accepted | Refused | Replaced | NoAnswer
LookAnswer = Report | Refused | Replaced | NoAnswer


class Orders(Protocol):
    """Sends orders to endpoints. No call raises for a fault of the endpoint."""

    async def start(
        self,
        endpoint: endpoints.Endpoint,
        *,
        task: str,
        run: int,
        spec: str,
        token: int,
        lease_until_ms: int,
    ) -> Answer:
        """Starts a run; the lease ends on the clock of the endpoint."""

    async def stop(
        self, endpoint: endpoints.Endpoint, *, task: str, run: int, token: int
    ) -> Answer:
        """Stops a run, and bars it if it has not arrived yet."""

    async def look(
        self,
        endpoint: endpoints.Endpoint,
        *,
        token: int,
        seen: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> LookAnswer:
        """Reads both lists after the next end, or after the wait.

        Args:
            endpoint: Whom to ask.
            token: Fencing token of the steward.
            seen: Ends up to this number are acknowledged.
            lease_until_ms: New end of the lease, None to leave it as it is.
            wait_ms: Time that the endpoint waits for an end.
            timeout_s: Time after which the call counts as unanswered.
        """
