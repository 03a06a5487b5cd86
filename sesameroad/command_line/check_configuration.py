"""Checks a configuration before it is sent, and shows what it changes.

usage: sesameroad check-configuration [FLAGS] FILE

FILE holds the project's own configuration: a document with the sections product
and operations, or a version with its document. No fleet is needed, unless --url
asks for the version in force. docs/operators.md has the rules.
"""

import asyncio
import pathlib
import sys
from typing import Any

from absl import flags

from sesameroad import errors
from sesameroad.command_line import _client
from sesameroad.command_line import exits
from sesameroad.configuration import document
from sesameroad.jobs import catalogue
from sesameroad.membership import listing
from sesameroad.platform import configuration
from sesameroad.platform import configuration_check
from sesameroad.validation import checks
from sesameroad.validation import document_rules
from sesameroad.validation import findings
from sesameroad.validation import inventory as inventory_module
from sesameroad.validation import queue_rules
from sesameroad.validation import report

FLAGS = flags.FlagValues()
_client.define_connection(FLAGS, token=True)
FLAGS.set_default("url", None)

_PLATFORM = flags.DEFINE_bool(
    "platform",
    False,
    "FILE holds the platform's configuration; --url is that of the store.",
    flag_values=FLAGS,
)
_ENDPOINTS = flags.DEFINE_string(
    "endpoints",
    None,
    "Path of the platform's list, or with --platform of the rows of endpoints"
    " by id; names and limits are checked against them.",
    flag_values=FLAGS,
)
_AGAINST = flags.DEFINE_string(
    "against",
    None,
    "Path of the version in force, to show changes from.",
    flag_values=FLAGS,
)
_TIMEOUT = flags.DEFINE_integer(
    "timeout_ms",
    None,
    "Longest time that callers wait, in milliseconds.",
    lower_bound=1,
    flag_values=FLAGS,
)
_STRICT = flags.DEFINE_bool(
    "strict", False, "Warnings count as errors.", flag_values=FLAGS
)


class _UnusableError(Exception):
    """An input is of no use; an error message has been printed."""

    def __init__(self, code: int) -> None:
        super().__init__()
        self.code = code


def run(arguments: list[str]) -> int:
    """Checks the file; returns the exit code."""
    if len(arguments) != 1 or (_AGAINST.value and FLAGS.url):
        print(
            "usage: sesameroad check-configuration"
            " [--against=FILE | --url=URL] [FLAGS] FILE",
            file=sys.stderr,
        )
        return exits.USAGE
    try:
        result = _check(arguments[0])
    except _UnusableError as error:
        return error.code
    print(result.to_json() if FLAGS.json else result.to_text())
    error_count = result.count(findings.Severity.ERROR)
    if _STRICT.value:
        error_count += result.count(findings.Severity.WARNING)
    return exits.INVALID if error_count else exits.OK


def _check(path: str) -> report.Report:
    content = _read(path)
    inventory = _inventory()
    if _PLATFORM.value:
        return checks.check_queues(
            content,
            against=_queues_in_force(),
            inventory=inventory,
            timeout_ms=_TIMEOUT.value or queue_rules.DEFAULT_TIMEOUT_MS,
        )
    return checks.check_document(
        content,
        against=_document_in_force(),
        inventory=inventory,
        timeout_ms=_TIMEOUT.value or document_rules.DEFAULT_TIMEOUT_MS,
    )


def _inventory() -> inventory_module.Inventory | None:
    if not _ENDPOINTS.value:
        return None
    content = _read(_ENDPOINTS.value)
    try:
        if _PLATFORM.value:
            listed = configuration_check.decode_endpoints(content)
        else:
            decoded, malformed = listing.decode(content)
            if malformed:
                raise malformed[0]
            listed = list(decoded.endpoints)
    except errors.SesameroadError as error:
        raise _unusable(_ENDPOINTS.value, error) from error
    return inventory_module.Inventory(listed)


def _document_in_force() -> document.Document | None:
    source, content = _AGAINST.value, b""
    try:
        if source:
            content = _read(source)
        elif FLAGS.url:
            source = FLAGS.url
            content = checks.unflatten(_show_configuration())
        else:
            return None
        return checks.decode_document(content)
    except errors.ConfigurationError as error:
        raise _unusable(source, error) from error


def _queues_in_force() -> catalogue.Catalogue | None:
    source, content = _AGAINST.value, b""
    try:
        if source:
            content = _read(source)
        elif FLAGS.url:
            source = FLAGS.url
            content = asyncio.run(
                configuration_check.read_current(
                    source.rstrip("/"), timeout_s=FLAGS.timeout
                )
            )
        else:
            return None
        return configuration.decode(content)
    except errors.PlatformError as error:
        raise _unusable(source, error, exits.UNREACHABLE) from error
    except errors.ConfigurationError as error:
        raise _unusable(source, error) from error


def _show_configuration() -> list[dict[str, Any]]:
    reply = _client.call(
        FLAGS,
        "POST",
        "/v1/operator/commands",
        {"command": "show configuration"},
    )
    if reply.code != exits.OK:
        raise _UnusableError(reply.code)
    rows = reply.body.get("rows") if isinstance(reply.body, dict) else None
    return rows if isinstance(rows, list) else [{}]


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _unusable(path, error) from error


def _unusable(
    source: str, error: Exception, code: int = exits.USAGE
) -> _UnusableError:
    print(f"sesameroad: {source}: {error}", file=sys.stderr)
    return _UnusableError(code)
