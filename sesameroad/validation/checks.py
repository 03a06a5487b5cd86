"""Checks the text of a configuration: what the command does, without files."""

from typing import Any
from typing import TypeVar

import msgspec

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.jobs import catalogue
from sesameroad.model import strict_json
from sesameroad.platform import configuration
from sesameroad.platform import configuration_check
from sesameroad.validation import changes
from sesameroad.validation import decoding
from sesameroad.validation import document_rules
from sesameroad.validation import findings
from sesameroad.validation import inventory as inventory_module
from sesameroad.validation import json_positions
from sesameroad.validation import queue_rules
from sesameroad.validation import report

_T = TypeVar("_T")


def check_document(
    content: bytes,
    *,
    against: document.Document | None = None,
    inventory: inventory_module.Inventory | None = None,
    timeout_ms: int = document_rules.DEFAULT_TIMEOUT_MS,
) -> report.Report:
    """Checks the project's own configuration.

    Args:
        content: A document, or a version with its document.
        against: Document to show changes from, None for no changes.
        inventory: Endpoints to check names and limits against, None if unknown.
        timeout_ms: Longest time that callers wait, in milliseconds.
    """
    prefix, text = _unwrap(content)
    checked, found = decoding.decode(text, document.Document.from_json)
    found += _duplicates(text)
    if checked is not None:
        found += document_rules.check(
            checked, inventory=inventory, timeout_ms=timeout_ms
        )
    found = [
        findings.Finding(
            f.severity, f.code, (*prefix, *f.path), f.message, f.line
        )
        for f in found
    ]
    changed = None
    if checked is not None and against is not None:
        changed = changes.between_documents(against, checked)
    return report.Report(_located(found, content), changed)


def decode_document(content: bytes) -> document.Document:
    """Decodes a document, or the document of a version.

    Raises:
        ConfigurationError: If the store's rules refuse it.
    """
    return document.Document.from_json(_unwrap(content)[1])


def check_queues(
    content: bytes,
    *,
    against: catalogue.Catalogue | None = None,
    inventory: inventory_module.Inventory | None = None,
    timeout_ms: int = queue_rules.DEFAULT_TIMEOUT_MS,
) -> report.Report:
    """Checks the configuration that the operator writes for the platform.

    Args:
        content: The platform's document.
        against: Version to show changes from, None for no changes.
        inventory: Endpoints to check services against, None if unknown.
        timeout_ms: Longest time that callers wait, in milliseconds.
    """
    checked, found = decoding.decode(content, configuration.decode)
    found += _duplicates(content)
    changed = None
    if checked is not None:
        own = queue_rules.check(
            checked, inventory=inventory, timeout_ms=timeout_ms
        )
        if against is not None:
            changed = changes.between_catalogues(against, checked)
            if checked.version <= against.version:
                own.append(
                    findings.error(
                        "never-in-force",
                        ("version",),
                        f"version {against.version} is in force; instances"
                        " ignore versions that are not above it",
                    )
                )
        found += [
            findings.Finding(
                f.severity,
                f.code,
                configuration_check.document_path(f.path),
                f.message,
            )
            for f in own
        ]
    return report.Report(_located(found, content), changed)


def _unwrap(content: bytes) -> tuple[findings.Path, bytes]:
    """Returns the path and the text of the document in a version.

    Other content is returned as it is.
    """
    try:
        version = strict_json.decode(content, dict[str, msgspec.Raw])
    except errors.MalformedError:
        return (), content
    if "document" in version and "number" in version:
        return ("document",), bytes(version["document"])
    return (), content


def _duplicates(content: bytes) -> list[findings.Finding]:
    if not _is_json(content):
        return []
    positions = json_positions.JsonPositions.from_text(content.decode())
    return [
        findings.error(
            "duplicate-field", path, "the field is given more than once"
        )
        for path in positions.duplicates
    ]


def _is_json(content: bytes) -> bool:
    try:
        strict_json.decode(content, Any)
        content.decode()
    except (errors.MalformedError, UnicodeDecodeError):
        return False
    return True


def _located(
    found: list[findings.Finding], content: bytes
) -> list[findings.Finding]:
    """Returns findings with their lines, in the order of these."""
    if not _is_json(content):
        return found
    positions = json_positions.JsonPositions.from_text(content.decode())
    located = [
        findings.Finding(
            f.severity, f.code, f.path, f.message, positions.line(f.path)
        )
        for f in found
    ]
    return sorted(located, key=lambda finding: finding.line)


def unflatten(rows: list[dict[str, Any]]) -> bytes:
    """Returns the document of the answer to `show configuration`.

    Args:
        rows: Rows with a setting and its value. Lists are JSON text.

    Raises:
        ConfigurationError: If the rows are not such an answer.
    """
    content: dict[str, Any] = {}
    for row in rows:
        setting = row.get("setting") if isinstance(row, dict) else None
        if not isinstance(setting, str):
            raise errors.ConfigurationError(
                "the answer has no settings", step="read configuration"
            )
        *parents, last = _split(setting)
        section = content
        for name in parents:
            section = section.setdefault(name, {})
        section[last] = _value(parents, row.get("value"))
    return msgspec.json.encode(content)


def _split(setting: str) -> list[str]:
    """Splits a setting at the dots that are no part of a name."""
    section, _, rest = setting.partition(".")
    field, _, name = rest.partition(".")
    if not name:
        return [section, field]
    if field == "kinds":
        name, _, attribute = name.rpartition(".")
        return [section, field, name, attribute]
    return [section, field, name]


def _value(parents: list[str], value: Any) -> Any:
    if parents[-1:] == ["drained"] and isinstance(value, str):
        return _convert(value, list[str])
    return value


def _convert(text: str, expected: type[_T]) -> _T:
    try:
        return strict_json.decode(text, expected)
    except errors.MalformedError as error:
        raise errors.ConfigurationError(
            str(error), step="read configuration"
        ) from error
