"""Decodes JSON that other processes have written, within bounds."""

from collections.abc import Iterable
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from sesameroad import errors

_T = TypeVar("_T")

# Every JSON decoder reads integers up to this one exactly, and calculations with
# them do not overflow a float.
_MAX_EXACT = 2**53 - 1
# Longest key of a row of the platform's store; also that of other names.
_MAX_NAME = 200
_PORT = (
    r"[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    r"|655[0-2][0-9]|6553[0-5]"
)
_HOST = r"[A-Za-z0-9]([A-Za-z0-9.-]{0,252}[A-Za-z0-9])?|\[[0-9A-Fa-f:.]{2,45}\]"
_HOST_PORT = rf"({_HOST}):({_PORT})"

# Largest number that a 32-bit field of a message between instances holds.
MAX_INT32 = 2**31 - 1
# A number that messages between instances carry.
Int32 = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT32)]
# A number of things, or a time in milliseconds.
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
# A duration in milliseconds that messages between instances carry.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_INT32)]
# An integer of either sign that a float holds exactly.
Whole = Annotated[int, msgspec.Meta(ge=-_MAX_EXACT, le=_MAX_EXACT)]
# A finite number that is not negative.
Amount = Annotated[float, msgspec.Meta(ge=0, le=float(_MAX_EXACT))]
Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME)]
# An address of the form "host:port".
HostPort = Annotated[str, msgspec.Meta(pattern=rf"\A({_HOST_PORT})\Z")]


def decode(content: bytes | str, expected: type[_T]) -> _T:
    """Decodes JSON into a type, which bounds the values of its fields.

    Raises:
        MalformedError: If the content is not JSON of that type, or is nested
            too deeply. No other error is raised for any content.
    """
    try:
        return msgspec.json.decode(content, type=expected)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        # ValueError: invalid UTF-8 in names of fields. RecursionError: fields
        # that the type does not have are skipped recursively too.
        raise errors.MalformedError(str(error)) from error


def convert(value: Any, expected: type[_T]) -> _T:
    """Converts decoded JSON into a type, which bounds the values of its fields.

    Raises:
        MalformedError: If the value does not have that type.
    """
    try:
        return msgspec.convert(value, expected)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise errors.MalformedError(str(error)) from error


def decode_each(
    contents: Iterable[msgspec.Raw], expected: type[_T]
) -> tuple[list[_T], list[errors.MalformedError]]:
    """Decodes the items of a list, and returns the errors of the others."""
    decoded = []
    malformed = []
    for content in contents:
        try:
            decoded.append(decode(bytes(content), expected))
        except errors.MalformedError as error:
            malformed.append(error)
    return decoded, malformed
