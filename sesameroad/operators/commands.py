"""Commands of the operators' language."""

import dataclasses
import enum

DEFAULT_LIMIT = 50
MAX_LIMIT = 1_000


class State(enum.Enum):
    """State of the work that a query lists."""

    RUNNING = "running"
    QUEUED = "queued"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Topic(enum.Enum):
    """Subject of a query that does not list work."""

    FLEET = "fleet"
    ENTRIES = "entries"
    ENDPOINTS = "endpoints"
    CONFIGURATION = "configuration"
    HISTORY = "history"
    BURN = "burn"


class Level(enum.Enum):
    """Part of the fleet that can be taken out of service as a whole."""

    ENDPOINT = "endpoint"
    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data centre"


class Field(enum.Enum):
    """Columns that a query can filter by."""

    KEY = "key"
    KIND = "kind"
    TEAM = "team"
    CAUSE = "cause"
    ENTRY = "entry"
    AGE = "age_ms"
    TASKS = "tasks"

    @property
    def is_numeric(self) -> bool:
        """Whether values of the column are compared as numbers."""
        return self in {Field.AGE, Field.TASKS}


class Comparison(enum.Enum):
    """Comparison operator of a condition."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    GREATER = ">"


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """A condition that listed rows must meet."""

    field: Field
    comparison: Comparison
    value: str | float


@dataclasses.dataclass(slots=True, frozen=True)
class ShowWork:
    """Lists the work in one state."""

    state: State
    conditions: tuple[Condition, ...] = ()
    limit: int = DEFAULT_LIMIT


@dataclasses.dataclass(slots=True, frozen=True)
class Show:
    """Shows something other than work."""

    topic: Topic


@dataclasses.dataclass(slots=True, frozen=True)
class Explain:
    """Shows what happened to the work of a key."""

    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Cancels the work of a key."""

    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class SetKind:
    """Changes or adds a kind; None leaves a value as it is."""

    name: str
    urgency: int | None = None
    share: float | None = None
    target_ms: int | None = None
    objective: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SetTeam:
    """Changes or adds a team; None leaves a value as it is."""

    name: str
    quota: int | None = None
    weight: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SetCeiling:
    """Limits the slots that a kind may use; None removes the limit."""

    kind: str
    slots: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class SetRetries:
    """Sets the number of retries allowed per hundred first sends."""

    percent: float


@dataclasses.dataclass(slots=True, frozen=True)
class SetSpill:
    """Sets the expected wait above which work goes to another data centre."""

    wait_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """Takes an endpoint, worker, rack or data centre out of service."""

    level: Level
    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Restore:
    """Puts a drained part of the fleet back into service."""

    level: Level
    name: str


Query = ShowWork | Show | Explain
Change = (
    SetKind | SetTeam | SetCeiling | SetRetries | SetSpill | Drain | Restore
)
Command = Query | Cancel | Change


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """A parsed command with its version condition.

    Attributes:
        command: The command.
        expected_version: Configuration version that must be in force for the
            change to be made; None for no condition.
    """

    command: Command
    expected_version: int | None = None
