"""The configuration document and its two sections."""

import dataclasses
import enum
from typing import Annotated
from typing import Any
from typing import Self

import msgspec

from sesameroad import errors

# Changes kept with the current version. The ring also answers whether a change
# took effect when the answer to its write was lost and others followed.
MAX_HISTORY = 32
MAX_SUMMARY = 200

# Upper bounds keep infinity out, which JSON cannot carry.
_Weight = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Target = Annotated[int, msgspec.Meta(ge=1, le=10**9)]
_Objective = Annotated[float, msgspec.Meta(gt=0, lt=1)]
_Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.:-]{1,64}$")]
_Summary = Annotated[str, msgspec.Meta(max_length=MAX_SUMMARY)]


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

    urgency: _Count = 1
    share: _Weight = 1.0
    target_ms: _Target = 1_000
    objective: _Objective = 0.99


@dataclasses.dataclass(slots=True, frozen=True)
class Product:
    """What the product manager owns.

    Attributes:
        kinds: Kinds of work by name; work of any other kind is refused.
        team_weights: Weight of a team among teams that wait; 1 if absent.
    """

    kinds: dict[_Name, Kind] = dataclasses.field(default_factory=dict)
    team_weights: dict[_Name, _Weight] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class DrainedSet:
    """What the operations lead has taken out of service, by name."""

    endpoints: tuple[_Name, ...] = ()
    workers: tuple[_Name, ...] = ()
    racks: tuple[_Name, ...] = ()
    data_centres: tuple[_Name, ...] = ()


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

    team_quotas: dict[_Name, _Count] = dataclasses.field(default_factory=dict)
    kind_ceilings: dict[_Name, _Count] = dataclasses.field(default_factory=dict)
    drained: DrainedSet = DrainedSet()
    retry_percent: _Percent = 10.0
    spill_wait_ms: _Milliseconds = 500


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A whole configuration."""

    product: Product = dataclasses.field(default_factory=Product)
    operations: Operations = dataclasses.field(default_factory=Operations)

    @classmethod
    def from_json(cls, text: bytes) -> Self:
        """Decodes and checks a document that an operator wrote.

        Raises:
            ConfigurationError: If a field is unknown, out of range or names
                what does not exist; the message names the field.
        """
        step = "check configuration"
        try:
            raw = msgspec.json.decode(text)
            document = msgspec.convert(raw, cls)
        except msgspec.MsgspecError as error:
            raise errors.ConfigurationError(str(error), step=step) from error
        # msgspec ignores unknown fields of data classes, so that a misspelt
        # one would silently leave the default in force.
        unknown = _unknown_field(raw, msgspec.to_builtins(document), "$")
        if unknown:
            raise errors.ConfigurationError(
                f"Unknown field `{unknown}`", step=step
            )
        return document.check()

    def check(self) -> Self:
        """Returns the document if it is valid.

        Raises:
            ConfigurationError: If a field is out of range or names what does
                not exist; the message names the field.
        """
        step = "check configuration"
        try:
            # Data classes do not check on construction.
            checked = msgspec.convert(msgspec.to_builtins(self), type(self))
        except msgspec.MsgspecError as error:
            raise errors.ConfigurationError(str(error), step=step) from error
        references = {
            "operations.kind_ceilings": (
                self.operations.kind_ceilings,
                self.product.kinds,
            ),
            "product.team_weights": (
                self.product.team_weights,
                self.operations.team_quotas,
            ),
        }
        for field, (names, known) in references.items():
            for name in names:
                if name not in known:
                    raise errors.ConfigurationError(
                        f"{field} names {name!r}, which does not exist",
                        step=step,
                    )
        return checked


def foreign_field(role: Role, before: Document, after: Document) -> str:
    """Returns the first field that differs and is not the role's to change."""
    match role:
        case Role.PRODUCT:
            section, old, new = (
                "operations",
                before.operations,
                after.operations,
            )
        case Role.OPERATIONS:
            section, old, new = "product", before.product, after.product
    for field in dataclasses.fields(old):
        if getattr(old, field.name) != getattr(new, field.name):
            return f"{section}.{field.name}"
    return ""


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """Who made an accepted change, and how.

    Attributes:
        number: Version that the change made.
        author: Operator who made it.
        role: Role of the author.
        change_id: Random identifier of the change.
        summary: The command that made it.
    """

    number: int
    author: str
    role: Role
    change_id: str
    summary: str


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
        history: The changes before this one, oldest first, at most MAX_HISTORY.
    """

    number: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    author: str
    role: Role
    change_id: str
    summary: _Summary
    document: Document
    history: tuple[Change, ...] = ()

    @property
    def change(self) -> Change:
        """The change that made this version."""
        return Change(
            self.number, self.author, self.role, self.change_id, self.summary
        )

    @property
    def changes(self) -> tuple[Change, ...]:
        """The last changes, oldest first, with the one that made this."""
        return (*self.history, self.change)

    @classmethod
    def from_json(cls, text: bytes) -> Self:
        """Decodes a version of the table or of a peer.

        Fields that are not known here are left out: a version that an entry of
        a newer release accepted must come into force on this one as well.

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


def _unknown_field(raw: Any, known: Any, place: str) -> str:
    """Returns the place of the first field that decoding left out."""
    if isinstance(raw, dict) and isinstance(known, dict):
        for name, value in raw.items():
            if name not in known:
                return f"{place}.{name}"
            found = _unknown_field(value, known[name], f"{place}.{name}")
            if found:
                return found
    return ""
