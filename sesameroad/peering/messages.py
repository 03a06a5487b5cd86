"""Messages between peers, independent of their encoding."""

from collections.abc import Mapping
import dataclasses
import enum

from sesameroad.model import attempts
from sesameroad.model import demands
from sesameroad.model import held_up_notices
from sesameroad.model import jobs
from sesameroad.model import outcomes
from sesameroad.model import pending_starts
from sesameroad.model import work as work_module

# Cancels in one message; with keys of 16 characters that is about 0.1 MB, so that an
# envelope of it does not hold up heartbeats.
MAX_RECENT_CANCELS = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """The greeting: the first message on a stream in each direction.

    Attributes:
        instance_id: Sender.
        data_centre: Data centre where it runs.
        incarnation: Identifies the process.
        processor_millicores: Processor time that a thread of it gets, 0 if
            unknown.
    """

    instance_id: str
    data_centre: str
    incarnation: str
    processor_millicores: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipClaim:
    """States that the sender, or a peer of it, leads a data centre.

    Attributes:
        data_centre: Data centre of the endpoints.
        token: Fencing token of the orders; of two leaders the higher one wins.
        free_millicores: Unused processor capacity.
        wait_ms: Expected time until the first task of a new job starts there.
        relayed: Whether the leader is a peer of the sender, not the sender.
    """

    data_centre: str
    token: int
    free_millicores: int = 0
    wait_ms: int = 0
    relayed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ClockReadings:
    """Clocks in a heartbeat, each in microseconds.

    Attributes:
        sent_us: Clock of the sender.
        echoed_us: Clock of the receiver in its last heartbeat that the sender
            got, 0 if it has got none.
        echo_received_us: Clock of the sender when it got that.
    """

    sent_us: int
    echoed_us: int = 0
    echo_received_us: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """State that both sides send in every heartbeat period.

    Attributes:
        configuration_version: Version of the current configuration.
        listing_version: Version of the instance list in use, 0 if none.
        leaving: Whether the sender is about to stop.
        claims: Leaders that the sender knows, itself included.
        slow: Whether the sender gets too little processor time to lead.
        evacuations_version: Version of the store that `evacuated` is of, 0 if
            the sender does not know any.
        evacuated: The evacuated data centres.
        clocks: Clocks of this stream, None from an earlier release. They are no
            part of the state, so heartbeats are compared without them.
        own_claims: The claims of the sender itself.
    """

    configuration_version: int
    listing_version: int
    leaving: bool
    claims: tuple[LeadershipClaim, ...] = ()
    slow: bool = False
    evacuations_version: int = 0
    evacuated: tuple[str, ...] = ()
    clocks: ClockReadings | None = dataclasses.field(
        default=None, compare=False
    )
    own_claims: tuple[LeadershipClaim, ...] = dataclasses.field(
        init=False, compare=False
    )

    def __post_init__(self) -> None:
        """Selects the claims that are not relayed.

        They are read in each evaluation of leadership, ten times a second for
        each peer.
        """
        own = tuple(claim for claim in self.claims if not claim.relayed)
        object.__setattr__(self, "own_claims", own)


AttemptRunning = attempts.Running
AttemptReplaced = attempts.Replaced
AttemptEnded = attempts.Ended
HeldUpStarts = held_up_notices.Notice
PendingStarts = pending_starts.Notice
Demand = demands.Demand
Allocation = demands.Allocation


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """A configuration version as JSON."""

    version: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingMark:
    """Announces that an endpoint is leaving.

    Attributes:
        endpoint_id: The endpoint.
        listing_version: Version of the instance list when the mark was made.
        age_ms: Age of the mark, since clocks of entries may differ.
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
    """Work that is relayed to another entry."""

    id: int
    purpose: Purpose
    work: work_module.Work
    digest: str
    expiry_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RelayReply:
    """The outcome of relayed work, or of a status query."""

    id: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class StatusQuery:
    """Asks the home of a key for its outcome so far, or to cancel it.

    On the platform it cancels a job at a leader, and an instance that leads
    nothing keeps the key.
    """

    id: int
    key: str
    cancel: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FleetQuery:
    """An operator's command, which the peer answers for itself only."""

    id: int
    command: str


@dataclasses.dataclass(slots=True, frozen=True)
class FleetReply:
    """One entry's part of the answer to a fleet query as JSON."""

    id: int
    result: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class JobOffer:
    """A job for the leader of a data centre, answered by a RelayReply.

    Times of the job are sent as durations that count from its arrival, because
    clocks of peers differ.

    Attributes:
        id: Number of the question, unique on its stream.
        data_centre: Data centre of the leader.
        job: The job.
        moved: Whether an earlier leader may have started tasks of it.
        lent: Whether another data centre sends it because it has no room. The
            leader refuses it unless it has room at once.
    """

    id: int
    data_centre: str
    job: jobs.Job
    moved: bool = False
    lent: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class JobCancel:
    """Cancels a job, or a part of one, that was offered on this stream."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class RecentCancels:
    """Cancels of the last seconds that the sender knows.

    An instance sends them, also if there are none, to each leader whose claim it
    sees for the first time, and to others before it stops.

    Attributes:
        token: Token of the claim that it has seen, 0 for an instance that need
            not lead.
        ages_s: Age of each cancel in seconds, by the key of its job.
        complete: Whether no further ones follow for this token.
    """

    token: int
    ages_s: Mapping[str, float]
    complete: bool = True


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
    | RecentCancels
    | attempts.Notice
    | held_up_notices.Notice
    | pending_starts.Notice
    | Question
    | Reply
)
