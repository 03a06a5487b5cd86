"""Answers to operators' commands, and each entry's part of them."""

import dataclasses
from typing import Any

import msgspec

from sesameroad import errors

Row = dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """What one entry answers for itself.

    Attributes:
        entry: Id of the entry.
        rows: Its rows, cut off at the limit of the command.
        more: Whether the limit of the command cut off rows.
        error: Why it cannot answer, empty if it can.
    """

    entry: str
    rows: tuple[Row, ...] = ()
    more: bool = False
    error: str = ""

    def to_json(self) -> bytes:
        """Encodes the part."""
        return msgspec.json.encode(self)


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The answer to a command.

    Attributes:
        columns: Names of the columns in order.
        rows: One value for each column; missing ones are left out.
        more: Whether the limit of the command cut off rows.
        not_answered: Entries whose part is missing.
        version: Configuration version that a change made, or the one in force.
        notes: Texts for people.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()
    more: bool = False
    not_answered: tuple[str, ...] = ()
    version: int | None = None
    notes: tuple[str, ...] = ()


def decode_part(text: bytes, *, entry: str) -> Part:
    """Decodes the part of another entry.

    Raises:
        PeerError: If it is malformed.
    """
    try:
        return msgspec.json.decode(text, type=Part)
    except msgspec.MsgspecError as error:
        raise errors.PeerError(
            str(error), step="decode part", peer=entry
        ) from error
