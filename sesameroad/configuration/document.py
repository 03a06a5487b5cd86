"""The configuration document and its two sections."""

import dataclasses
import enum
from typing import Self

import msgspec

from sesameroad import errors


class Role(enum.Enum):
    """Who owns a section of the configuration."""

    PRODUCT = "product"
    OPERATIONS = "operations"


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of work.

    Attributes:
        urgency: Rank; 0 is the most urgent.
        share: Weight of the kind's guaranteed part of all slots.
        target_ms: Response time that the service level promises.
        objective: Part of answers that must meet target_ms, below 1.
    """

    urgency: int = 1
    share: float = 1.0
    target_ms: int = 1_000
    objective: float = 0.99


@dataclasses.dataclass(slots=True, frozen=True)
class Product:
    """What the product manager owns.

    Attributes:
        kinds: Kinds of work by name; work of any other kind is refused.
        team_weights: Weight of a team among teams that wait; 1 if absent.
    """

    kinds: dict[str, Kind] = dataclasses.field(default_factory=dict)
    team_weights: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Membership:
    """What the operations lead has taken out of service, by name."""

    endpoints: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    racks: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Operations:
    """What the operations lead owns.

    Attributes:
        team_quotas: Most slots that a team uses in one data centre; work of any
            other team is refused.
        kind_ceilings: Most slots that a kind uses in one data centre.
        drained: What gets no new work.
        retry_percent: Retries allowed for each hundred first sends.
        spill_wait_ms: Expected wait over which work goes to another data centre.
    """

    team_quotas: dict[str, int] = dataclasses.field(default_factory=dict)
    kind_ceilings: dict[str, int] = dataclasses.field(default_factory=dict)
    drained: Membership = Membership()
    retry_percent: float = 10.0
    spill_wait_ms: int = 500


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A whole configuration."""

    product: Product = dataclasses.field(default_factory=Product)
    operations: Operations = dataclasses.field(default_factory=Operations)


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A configuration as the platform's table keeps it.

    Attributes:
        number: Grows by one with each accepted change; 0 is the fallback.
        author: Operator who made the change.
        role: Role of the author.
        change_id: Random identifier that tells a lost write answer from a lost
            race.
        summary: The command that made the change.
        document: The whole configuration.
    """

    number: int
    author: str
    role: Role
    change_id: str
    summary: str
    document: Document

    @classmethod
    def from_json(cls, text: bytes) -> Self:
        """Decodes a version.

        Raises:
            ConfigurationError: If the text is not a valid version.
        """
        try:
            return msgspec.json.decode(text, type=cls)
        except msgspec.MsgspecError as error:
            raise errors.ConfigurationError(
                str(error), step="decode configuration"
            ) from error

    def to_json(self) -> bytes:
        """Encodes the version."""
        return msgspec.json.encode(self)


def fallback_version(content: Document | None) -> Version:
    """Returns version 0, in force until any accepted version is known."""
    return Version(
        number=0,
        author="settings",
        role=Role.OPERATIONS,
        change_id="",
        summary="fallback from settings",
        document=content or Document(),
    )
