"""Answers to operators' commands, of one entry and of the whole fleet."""

import dataclasses
from typing import Any

import msgspec

from sesameroad import errors
from sesameroad.model import strict_json

Row = dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class EntryAnswer:
    """The answer of one entry, about itself only.

    Attributes:
        entry: Id of the entry.
        rows: Its rows, up to the limit of the command.
        more: Whether there are more rows than the limit of the command.
        error: Why the entry cannot answer, empty if it can.
    """

    entry: str
    rows: tuple[Row, ...] = ()
    more: bool = False
    error: str = ""

    def to_json(self) -> bytes:
        """Encodes the answer."""
        return msgspec.json.encode(self)


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The answer of the fleet to a command.

    Attributes:
        columns: Names of the columns in order.
        rows: Values by column; a column without a value is left out.
        more: Whether there are more rows than the limit of the command.
        not_answered: Entries that did not answer or could not.
        version: Configuration version that a change made, or the current one.
        notes: Explanations for the operator.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()
    more: bool = False
    not_answered: tuple[str, ...] = ()
    version: int | None = None
    notes: tuple[str, ...] = ()


def decode_entry_answer(text: bytes, *, entry: str) -> EntryAnswer:
    """Decodes the answer of another entry.

    Raises:
        PeerError: If it is malformed.
    """
    try:
        return strict_json.decode(text, EntryAnswer)
    except errors.MalformedError as error:
        raise errors.PeerError(
            str(error), step="decode part", peer=entry
        ) from error
