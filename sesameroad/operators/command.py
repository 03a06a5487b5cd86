"""Commands of the operators' language."""

import dataclasses
import enum

DEFAULT_LIMIT = 50
MAX_LIMIT = 1_000


class State(enum.Enum):
    """Which work a query shows."""

    RUNNING = "running"
    QUEUED = "queued"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Topic(enum.Enum):
    """What else a query shows."""

    FLEET = "fleet"
    ENTRIES = "entries"
    ENDPOINTS = "endpoints"
    CONFIGURATION = "configuration"
    HISTORY = "history"
    BURN = "burn"


class Level(enum.Enum):
    """What can be taken out of service."""

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
    def numeric(self) -> bool:
        """Whether values are compared as numbers."""
        return self in {Field.AGE, Field.TASKS}


class Comparison(enum.Enum):
    """How a condition compares."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    GREATER = ">"


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """One condition of a query."""

    field: Field
    comparison: Comparison
    value: str | float


@dataclasses.dataclass(slots=True, frozen=True)
class ShowWork:
    """Lists work in a state."""

    state: State
    conditions: tuple[Condition, ...] = ()
    limit: int = DEFAULT_LIMIT


@dataclasses.dataclass(slots=True, frozen=True)
class Show:
    """Lists something other than work."""

    topic: Topic


@dataclasses.dataclass(slots=True, frozen=True)
class Explain:
    """Tells what happened to a key."""

    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Withdraws the work of a key."""

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
    """Sets the most slots of a kind; None removes the ceiling."""

    kind: str
    slots: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class SetRetries:
    """Sets the retries allowed for each hundred first sends."""

    percent: float


@dataclasses.dataclass(slots=True, frozen=True)
class SetSpill:
    """Sets the expected wait over which work goes to another data centre."""

    wait_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """Takes something out of service."""

    level: Level
    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Restore:
    """Puts something drained back into service."""

    level: Level
    name: str


Query = ShowWork | Show | Explain
Change = (
    SetKind | SetTeam | SetCeiling | SetRetries | SetSpill | Drain | Restore
)
Command = Query | Cancel | Change


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """A command as given.

    Attributes:
        command: The command.
        expected_version: The change is made only if this configuration version
            is in force; None for no such condition.
    """

    command: Command
    expected_version: int | None = None
