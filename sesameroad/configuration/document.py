"""The configuration document, with one section for each role."""

import dataclasses
import enum
from typing import Annotated
from typing import Any
from typing import Self

import msgspec

from sesameroad import errors
from sesameroad.model import strict_json

# Number of changes kept with the current version. The history also shows
# whether a change took effect if the answer to its write was lost and others
# followed.
MAX_HISTORY = 32
MAX_SUMMARY = 200

# Upper bounds exclude infinity, which JSON cannot represent.
_Weight = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Target = Annotated[int, msgspec.Meta(ge=1, le=10**9)]
_Objective = Annotated[float, msgspec.Meta(gt=0, lt=1)]
_Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.:-]{1,64}$")]
_Summary = Annotated[str, msgspec.Meta(max_length=MAX_SUMMARY)]


class Role(enum.Enum):
    """The role that owns a section of the configuration."""

    PRODUCT = "product"
    OPERATIONS = "operations"


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of work.

    Attributes:
        urgency: Urgency rank; 0 is the most urgent.
        share: Weight that determines the kind's guaranteed part of all slots.
        target_ms: Response time that the service level promises.
        objective: Fraction of answers, below 1, that must meet target_ms.
    """

    urgency: _Count = 1
    share: _Weight = 1.0
    target_ms: _Target = 1_000
    objective: _Objective = 0.99


@dataclasses.dataclass(slots=True, frozen=True)
class Product:
    """The section that the product manager owns.

    Attributes:
        kinds: Kinds of work by name; work of any other kind is refused.
        team_weights: Weight of a team among waiting teams; 1 if absent.
    """

    kinds: dict[_Name, Kind] = dataclasses.field(default_factory=dict)
    team_weights: dict[_Name, _Weight] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class DrainedSet:
    """Names of endpoints and locations that are taken out of service."""

    endpoints: tuple[_Name, ...] = ()
    workers: tuple[_Name, ...] = ()
    racks: tuple[_Name, ...] = ()
    data_centres: tuple[_Name, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Operations:
    """The section that the operations lead owns.

    Attributes:
        team_quotas: Maximum number of slots of a team in one data centre; work
            of teams without a quota is refused.
        kind_ceilings: Maximum number of slots of a kind in one data centre.
        drained: Endpoints and locations that get no new work.
        retry_percent: Retries allowed per hundred first sends.
        spill_wait_ms: Expected wait above which work goes to another data
            centre.
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
            raw = strict_json.decode(text, Any)
            document = strict_json.convert(raw, cls)
        except errors.MalformedError as error:
            raise errors.ConfigurationError(str(error), step=step) from error
        # msgspec ignores unknown fields of data classes, so a misspelt field
        # would silently keep its default.
        unknown_field = _find_unknown_field(
            raw, msgspec.to_builtins(document), "$"
        )
        if unknown_field:
            raise errors.ConfigurationError(
                f"Unknown field `{unknown_field}`", step=step
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
            # Data classes do not validate their fields on construction.
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


def first_forbidden_field(role: Role, before: Document, after: Document) -> str:
    """Returns the first changed field that the role does not own, or ""."""
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
    """An accepted change.

    Attributes:
        number: Version that the change created.
        author: Operator who made it.
        role: Role of the author.
        change_id: Random identifier of the change.
        summary: Command that made it.
    """

    number: int
    author: str
    role: Role
    change_id: str
    summary: str


@dataclasses.dataclass(slots=True, frozen=True)
class Version:
    """A version of the configuration, as stored in the platform's table.

    Attributes:
        number: Grows by one with each accepted change; 0 is the fallback.
        author: Operator who made the change.
        role: Role of the author.
        change_id: Random identifier. After a lost answer to a write, it shows
            whether this change or a concurrent one was written.
        summary: Command that made the change.
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
        """The change that created this version."""
        return Change(
            self.number, self.author, self.role, self.change_id, self.summary
        )

    @property
    def changes(self) -> tuple[Change, ...]:
        """The last changes including the one to this version, oldest first."""
        return (*self.history, self.change)

    @classmethod
    def from_json(cls, text: bytes) -> Self:
        """Decodes a version from the table or from a peer.

        Unknown fields are ignored, because a version that an entry with a newer
        release accepted must also come into force on this one.

        Raises:
            ConfigurationError: If the text is not a valid version.
        """
        try:
            return strict_json.decode(text, cls)
        except errors.MalformedError as error:
            raise errors.ConfigurationError(
                str(error), step="decode configuration"
            ) from error

    def to_json(self) -> bytes:
        """Encodes the version."""
        return msgspec.json.encode(self)


def fallback_version(content: Document | None) -> Version:
    """Returns version 0, which applies until a later version is known."""
    return Version(
        number=0,
        author="settings",
        role=Role.OPERATIONS,
        change_id="",
        summary="fallback from settings",
        document=content or Document(),
    )


def _find_unknown_field(raw: Any, known: Any, path: str) -> str:
    """Returns the path of the first field that decoding ignored, or ""."""
    if isinstance(raw, dict) and isinstance(known, dict):
        for name, value in raw.items():
            if name not in known:
                return f"{path}.{name}"
            unknown_field = _find_unknown_field(
                value, known[name], f"{path}.{name}"
            )
            if unknown_field:
                return unknown_field
    return ""
