"""Settings of an entry instance, read from a JSON file and checked at start."""

import builtins
import dataclasses
import pathlib
import types
import typing
from typing import Annotated
from typing import Any
from typing import Self

import msgspec

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.model import instance

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
_Secret = Annotated[str, msgspec.Meta(min_length=16)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """An IP number and a port to listen on."""

    host: str
    port: _Port


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Bounds on what one entry holds in memory.

    Attributes:
        max_records: Keys in the ledger, finished ones included.
        max_key_marks: Keys that are barred without a record of their own,
            for example because they were refused; about 100 bytes each.
        max_queued_tasks: Tasks that wait for a slot.
        max_body_bytes: Size of one HTTP request body.
        max_answer_bytes: Size of one endpoint answer.
        max_held_bytes: Payloads and answers of all records together.
    """

    max_records: _Positive = 50_000
    max_key_marks: _Positive = 200_000
    max_queued_tasks: _Positive = 20_000
    max_body_bytes: _Positive = 4 * 1024 * 1024
    max_answer_bytes: _Positive = 1024 * 1024
    max_held_bytes: _Positive = 32 * 1024 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Timing:
    """Periods and timeouts, in seconds.

    Attributes:
        poll_s: Period of reads of the platform's list and configuration.
        heartbeat_s: Period of heartbeats on a peer stream.
        peer_timeout_s: Silence after which a peer counts as lost.
        platform_timeout_s: Timeout of one call to the platform.
        key_lifetime_s: Time from issue to expiry of a key.
        clock_skew_s: Largest difference between two entries' clocks.
        stop_notice_s: Time at the start of a graceful stop in which new work is
            still taken, until the balancer has seen that the entry is not ready.
        graceful_stop_s: Time that a graceful shutdown waits for work in flight.
        answer_grace_s: Time past the deadline that a send still waits for the
            endpoint's answer.
    """

    poll_s: _PositiveSeconds = 1.0
    heartbeat_s: _PositiveSeconds = 0.25
    peer_timeout_s: _PositiveSeconds = 1.5
    platform_timeout_s: _PositiveSeconds = 2.0
    key_lifetime_s: _PositiveSeconds = 120.0
    clock_skew_s: _PositiveSeconds = 2.0
    stop_notice_s: _PositiveSeconds = 3.0
    graceful_stop_s: _PositiveSeconds = 30.0
    answer_grace_s: _PositiveSeconds = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Operator:
    """A person who may give commands.

    Attributes:
        name: Name that configuration changes carry.
        role: Which part of the configuration the operator owns.
        token: Bearer token.
    """

    name: _Name
    role: document.Role
    token: _Secret


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one entry instance.

    Attributes:
        instance_id: Name of this instance, unique in the fleet.
        data_centre: Data centre where it runs.
        web: Address of the HTTP service.
        peer: Address of the peer service.
        platform_url: Base URL of the platform's services.
        key_secret: Secret shared by all entries that signs issued keys.
        peers: Entries to try before the platform's list is known.
        operators: Who may give commands.
        limits: Bounds on memory.
        timing: Periods and timeouts.
        fallback: Configuration used until a newer one is known.
    """

    instance_id: _Name
    data_centre: _Name
    web: Address
    peer: Address
    platform_url: str
    key_secret: _Secret
    peers: tuple[instance.Instance, ...] = ()
    operators: tuple[Operator, ...] = ()
    limits: Limits = Limits()
    timing: Timing = Timing()
    fallback: document.Document | None = None

    @classmethod
    def from_json(cls, text: bytes, *, source: str = "") -> Self:
        """Decodes and checks settings.

        Args:
            text: JSON text.
            source: Where it comes from, for error messages.

        Raises:
            SettingsError: If a field is missing, unknown or out of range; the
                message names the field and its place.
        """
        try:
            raw = msgspec.json.decode(text)
            _refuse_unknown_fields(raw, cls, "$")
            settings = msgspec.convert(raw, cls)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.SettingsError(
                str(error), step="read settings", peer=source
            ) from error
        found = _contradictions(settings)
        if found:
            raise errors.SettingsError(
                "; ".join(found), step="read settings", peer=source
            )
        return settings

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Reads settings from a file.

        Raises:
            SettingsError: If the file cannot be read or is invalid.
        """
        try:
            text = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise errors.SettingsError(
                str(error), step="read settings", peer=path
            ) from error
        return cls.from_json(text, source=path)


def _refuse_unknown_fields(raw: Any, expected: Any, place: str) -> None:
    """Raises ValidationError at a field that a data class does not have.

    msgspec ignores unknown fields of data classes, so that a misspelt setting
    would silently leave the default in force.
    """
    arguments = typing.get_args(expected)
    match typing.get_origin(expected), raw:
        case types.UnionType, _:
            for argument in arguments:
                _refuse_unknown_fields(raw, argument, place)
        case builtins.tuple, list():
            for index, value in enumerate(raw):
                _refuse_unknown_fields(value, arguments[0], f"{place}[{index}]")
        case builtins.dict, dict():
            for name, value in raw.items():
                _refuse_unknown_fields(value, arguments[1], f"{place}.{name}")
        case None, dict() if dataclasses.is_dataclass(expected):
            known = {f.name: f.type for f in dataclasses.fields(expected)}
            for name, value in raw.items():
                if name not in known:
                    raise msgspec.ValidationError(
                        f"Unknown field `{name}` - at `{place}`"
                    )
                _refuse_unknown_fields(value, known[name], f"{place}.{name}")


def _contradictions(settings: Settings) -> list[str]:
    """Returns what cannot be right although each field is valid."""
    found = []
    for what in ("name", "token"):
        values = [getattr(operator, what) for operator in settings.operators]
        if len(set(values)) < len(values):
            found.append(f"two operators have the same {what}")
    timing = settings.timing
    if timing.heartbeat_s >= timing.peer_timeout_s:
        found.append("timing.heartbeat_s is not below timing.peer_timeout_s")
    limits = settings.limits
    if limits.max_body_bytes > limits.max_held_bytes:
        found.append("limits.max_body_bytes is above limits.max_held_bytes")
    if not settings.platform_url.startswith(("http://", "https://")):
        found.append("platform_url is no http URL")
    fallback = settings.fallback or document.Document()
    for name, kind in fallback.product.kinds.items():
        if kind.share <= 0 or not 0 <= kind.objective < 1:
            found.append(
                f"fallback kind {name}: share is not above 0, or objective is"
                " not from 0 to below 1"
            )
    return found
