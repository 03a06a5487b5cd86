"""What differs between two configurations in meaning, not in their text.

A field that is missing equals its default, and the order of names means nothing.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any

import msgspec

from sesameroad.configuration import document
from sesameroad.jobs import catalogue
from sesameroad.validation import findings


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A changed value.

    Attributes:
        path: The field.
        before: Value in force, None if there is none.
        after: New value, None if there is none.
    """

    path: findings.Path
    before: Any
    after: Any


def between_documents(
    before: document.Document, after: document.Document
) -> list[Change]:
    """Returns the changes from one document to another."""
    return _between(_values(before), _values(after))


def between_catalogues(
    before: catalogue.Catalogue, after: catalogue.Catalogue
) -> list[Change]:
    """Returns the changes from some queues and limits to others."""
    return _between(_queue_values(before), _queue_values(after))


def _between(
    before: dict[findings.Path, Any], after: dict[findings.Path, Any]
) -> list[Change]:
    return [
        Change(path, before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _values(content: document.Document) -> dict[findings.Path, Any]:
    values: dict[findings.Path, Any] = {}
    _flatten(msgspec.to_builtins(content), (), values)
    drained = content.operations.drained
    for field in dataclasses.fields(drained):
        names = _set(getattr(drained, field.name))
        values["operations", "drained", field.name] = names
    return values


def _queue_values(content: catalogue.Catalogue) -> dict[findings.Path, Any]:
    values: dict[findings.Path, Any] = {}
    _flatten({"limits": msgspec.to_builtins(content.limits)}, (), values)
    for queue in content.queues:
        fields = msgspec.to_builtins(queue)
        _flatten(fields, ("queues", fields.pop("name")), values)
    return values


def _set(names: Iterable[str]) -> list[str]:
    return sorted(set(names))


def _flatten(
    value: Any, path: findings.Path, values: dict[findings.Path, Any]
) -> None:
    if not isinstance(value, dict):
        values[path] = value
        return
    for name, child in value.items():
        _flatten(child, (*path, name), values)
