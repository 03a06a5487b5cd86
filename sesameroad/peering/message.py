"""Messages between entries, as the rest of the program sees them."""

import dataclasses
import enum

from sesameroad.model import demand as demands
from sesameroad.model import job as jobs
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """First message on a stream, in both directions."""

    instance_id: str
    data_centre: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipClaim:
    """Says that the sender is the steward of the endpoints of a data centre.

    Attributes:
        data_centre: Data centre of the endpoints.
        token: Fencing token of its orders; of two stewards the higher counts.
        free_millicores: Processor time that no task uses.
        wait_ms: Time that a new job waits there for its first task.
        relayed: Whether not the sender but a peer of it is the steward.
    """

    data_centre: str
    token: int
    free_millicores: int = 0
    wait_ms: int = 0
    relayed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Sent in every heartbeat period by both sides.

    Attributes:
        configuration_version: Version of the configuration in force.
        listing_version: Version of the list in use, 0 if there is none.
        leaving: Whether the sender is about to stop.
        claims: Stewards that the sender is or sees.
        slow: Whether the sender gets too little processor time for a steward.
    """

    configuration_version: int
    listing_version: int
    leaving: bool
    claims: tuple[LeadershipClaim, ...] = ()
    slow: bool = False


Demand = demands.Demand
Allocation = demands.Allocation


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """A configuration version, as JSON."""

    version: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingMark:
    """Word that an endpoint is leaving.

    Attributes:
        endpoint_id: The endpoint.
        listing_version: Version of the instance list when the mark was made.
        age_ms: Time since then; clocks of entries need not agree.
    """

    endpoint_id: str
    listing_version: int
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """The newest instance list known, or endpoints that are leaving.

    Attributes:
        listing: The list as compressed JSON, empty if the message has none.
        marks: Endpoints that are leaving.
    """

    listing: bytes
    marks: tuple[LeavingMark, ...] = ()


class Purpose(enum.Enum):
    """Why work is relayed to another entry."""

    HOME = 0
    SPILL = 1


@dataclasses.dataclass(slots=True, frozen=True)
class RelayRequest:
    """Work handed to another entry."""

    id: int
    purpose: Purpose
    work: works.Work
    digest: str
    expiry_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RelayReply:
    """The outcome of relayed work, or of a status query."""

    id: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class StatusQuery:
    """Asks the home of a key for its outcome so far, or to cancel it."""

    id: int
    key: str
    cancel: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FleetQuery:
    """An operator's query for this entry's part of the answer."""

    id: int
    command: str


@dataclasses.dataclass(slots=True, frozen=True)
class FleetReply:
    """One entry's part of the answer to a fleet query, as JSON."""

    id: int
    result: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class JobOffer:
    """A job for the steward of a data centre; the answer is a RelayReply.

    Times of the job count from its arrival, because clocks differ.

    Attributes:
        id: Number of the question on its stream.
        data_centre: Data centre of the steward.
        job: The job.
        moved: Whether an earlier steward may have started tasks of it.
        lent: Whether it comes from another data centre for lack of room there;
            it is refused unless there is room at once.
    """

    id: int
    data_centre: str
    job: jobs.Job
    moved: bool = False
    lent: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class JobCancel:
    """Ends a job, or a part of one, that was offered on this stream."""

    name: str


Question = RelayRequest | StatusQuery | FleetQuery | JobOffer
Reply = RelayReply | FleetReply
Message = (
    Hello
    | Heartbeat
    | Demand
    | Allocation
    | ConfigurationUpdate
    | EndpointUpdate
    | JobCancel
    | Question
    | Reply
)
