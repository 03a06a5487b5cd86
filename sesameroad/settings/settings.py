"""Settings of an entry instance, read from a JSON file."""

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
from sesameroad.model import instances
from sesameroad.model import strict_json

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
_Secret = Annotated[str, msgspec.Meta(min_length=16)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a port to listen on."""

    host: str
    port: _Port


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on what one entry keeps in memory.

    Attributes:
        max_records: Number of keys in the ledger, including finished ones.
        max_key_marks: Number of keys that must not start although they have no
            record of their own, for example because they were refused; about
            100 bytes each.
        max_queued_tasks: Number of tasks that wait for a slot.
        max_body_bytes: Size of the body of an HTTP request.
        max_answer_bytes: Size of the answer of an endpoint.
        max_held_bytes: Total size of the payloads and answers of all records.
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
        poll_s: Period at which the list and the configuration are read from the
            platform.
        heartbeat_s: Period of heartbeats on a peer stream.
        peer_timeout_s: Silence after which a peer counts as lost.
        platform_timeout_s: Timeout of one call to the platform.
        key_lifetime_s: Time from issue to expiry of a key.
        clock_skew_s: Largest difference between the clocks of two entries.
        stop_notice_s: Time at the start of a graceful stop during which new
            work is still accepted, until the balancer has seen that the entry
            is not ready.
        graceful_stop_s: Time that a graceful stop waits for work in flight.
        answer_grace_s: Time after the deadline during which a send still waits
            for the answer of the endpoint.
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
        name: Name recorded as the author of configuration changes.
        role: Role that decides which settings the operator may change.
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
        key_secret: Secret, shared by all entries, with which issued keys are
            signed.
        peers: Entries to contact before the list of the platform is known.
        operators: People who may give commands.
        limits: Limits on memory.
        timing: Periods and timeouts.
        fallback: Configuration used until a newer one is known.
    """

    instance_id: _Name
    data_centre: _Name
    web: Address
    peer: Address
    platform_url: str
    key_secret: _Secret
    peers: tuple[instances.Instance, ...] = ()
    operators: tuple[Operator, ...] = ()
    limits: Limits = Limits()
    timing: Timing = Timing()
    fallback: document.Document | None = None

    @classmethod
    def from_json(cls, text: bytes, *, source: str = "") -> Self:
        """Decodes and validates settings.

        Args:
            text: JSON text.
            source: Name of the source, for error messages.

        Raises:
            SettingsError: If a field is missing, unknown or out of range; the
                message gives the name and path of the field.
        """
        try:
            raw = strict_json.decode(text, Any)
            _refuse_unknown_fields(raw, cls, "$")
            settings = strict_json.convert(raw, cls)
        except (
            errors.MalformedError,
            msgspec.MsgspecError,
            RecursionError,
        ) as error:
            raise errors.SettingsError(
                str(error), step="read settings", peer=source
            ) from error
        contradictions = _contradictions(settings)
        if contradictions:
            raise errors.SettingsError(
                "; ".join(contradictions), step="read settings", peer=source
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


def _refuse_unknown_fields(raw: Any, expected: Any, path: str) -> None:
    """Raises ValidationError for a field that a data class does not have.

    msgspec ignores unknown fields of data classes, so that a misspelt setting
    would silently keep its default.
    """
    arguments = typing.get_args(expected)
    match typing.get_origin(expected), raw:
        case types.UnionType, _:
            for argument in arguments:
                _refuse_unknown_fields(raw, argument, path)
        case builtins.tuple, list():
            for index, value in enumerate(raw):
                _refuse_unknown_fields(value, arguments[0], f"{path}[{index}]")
        case builtins.dict, dict():
            for name, value in raw.items():
                _refuse_unknown_fields(value, arguments[1], f"{path}.{name}")
        case None, dict() if dataclasses.is_dataclass(expected):
            known = {f.name: f.type for f in dataclasses.fields(expected)}
            for name, value in raw.items():
                if name not in known:
                    raise msgspec.ValidationError(
                        f"Unknown field `{name}` - at `{path}`"
                    )
                _refuse_unknown_fields(value, known[name], f"{path}.{name}")


def _contradictions(settings: Settings) -> list[str]:
    """Returns contradictions between fields that are each valid."""
    contradictions = []
    for field in ("name", "token"):
        values = [getattr(operator, field) for operator in settings.operators]
        if len(set(values)) < len(values):
            contradictions.append(f"two operators have the same {field}")
    timing = settings.timing
    if timing.heartbeat_s >= timing.peer_timeout_s:
        contradictions.append(
            "timing.heartbeat_s is not below timing.peer_timeout_s"
        )
    limits = settings.limits
    if limits.max_body_bytes > limits.max_held_bytes:
        contradictions.append(
            "limits.max_body_bytes is above limits.max_held_bytes"
        )
    if not settings.platform_url.startswith(("http://", "https://")):
        contradictions.append("platform_url is not an HTTP URL")
    fallback = settings.fallback or document.Document()
    for name, kind in fallback.product.kinds.items():
        if kind.share <= 0 or not 0 <= kind.objective < 1:
            contradictions.append(
                f"fallback kind {name}: share is not above 0, or objective is"
                " not from 0 to below 1"
            )
    return contradictions
