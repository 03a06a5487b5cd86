"""Orders to endpoints and their answers, independent of the protocol."""

import dataclasses
import enum
from typing import Protocol

from sesameroad.model import endpoints


class Ending(enum.Enum):
    """How a run ended on its endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    OTHER = "other"


class Refusal(enum.Enum):
    """Reason for which an endpoint refused an order without effect.

    MISDIRECTED: Another endpoint answers at the address. The runs that were
        sent there have ended; the addressed endpoint may have moved.
    """

    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    UNHEALTHY = "unhealthy"
    MISDIRECTED = "misdirected"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True, frozen=True)
class RunningTask:
    """A run that an endpoint lists as not ended.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        percent: Progress that the endpoint reports.
    """

    task: str
    run: int
    percent: int


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The end of a run.

    Attributes:
        number: Sequence number since the endpoint started, from 1.
        task: Name of the task.
        run: Number of the run.
        ending: How it ended.
    """

    number: int
    task: str
    run: int
    ending: Ending


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """The lists of running and ended runs of an endpoint.

    Attributes:
        clock_ms: Monotonic clock of the endpoint when it answered.
        born_ms: Wall time of its start, 0 if unknown. It tells incarnations
            apart but does not order them, because wall clocks are set back.
        running: Runs that have not ended.
        ended: Ends that have not been acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[End, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The endpoint carried out an order.

    Attributes:
        clock_ms: Monotonic clock of the endpoint, 0 if it could not be read.
    """

    clock_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The endpoint refused an order, which had no effect."""

    refusal: Refusal
    clock_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class NoAnswer:
    """No answer was received.

    The order may be carried out, possibly seconds later, if it was sent.

    Attributes:
        detail: Human-readable reason.
        sent: Whether a connection was opened, so that it may have been sent.
    """

    detail: str
    sent: bool = True


Answer = Accepted | Refused | NoAnswer
PollAnswer = Report | Refused | NoAnswer


class Orders(Protocol):
    """Sends orders to endpoints. Failures are returned and never raised."""

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
        """Starts a run and extends the lease, given on the endpoint's clock."""

    async def stop(
        self, endpoint: endpoints.Endpoint, *, task: str, run: int, token: int
    ) -> Answer:
        """Stops a run, or bars it if its start has not arrived yet."""

    async def poll(
        self,
        endpoint: endpoints.Endpoint,
        *,
        token: int,
        seen: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> PollAnswer:
        """Reads both lists as a long poll that returns at the next end.

        Args:
            endpoint: Endpoint to poll.
            token: Fencing token of the leader.
            seen: Number up to which ends are acknowledged.
            lease_until_ms: New end of the lease, None to leave it unchanged.
            wait_ms: Longest time that the endpoint waits for an end.
            timeout_s: Time after which the call counts as unanswered.
        """
