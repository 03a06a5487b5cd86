"""Finds all fields that a decoder refuses, not only the first one.

The decoders of the store's content report one error and name the entry of a map
as `[...]`. Here the entry is found by halving, and decoding continues without it.
"""

from collections.abc import Callable
import re
from typing import Any
from typing import TypeVar

import msgspec

from sesameroad import errors
from sesameroad.model import strict_json
from sesameroad.validation import findings

_T = TypeVar("_T")
_Decode = Callable[[bytes], Any]

# Each error takes a dozen decodings: 0.3 s in all for 320 kinds and teams.
_MAX_ERRORS = 50
_AT = re.compile(r" - at `(key` in `)?\$(?P<path>[^`]*)`\Z")
_UNKNOWN = re.compile(r"\AUnknown field `\$(?P<path>.*)`\Z", re.DOTALL)
_REFERENCE = re.compile(
    r"\A(?P<section>\w+)\.(?P<field>\w+) names '(?P<name>[^']*)'"
)
_SEGMENT = re.compile(r"\.(?P<name>[^.\[]+)|\[(?P<index>\d+|\.\.\.)\]")
_BYTE = re.compile(r"\(byte (?P<offset>\d+)\)")


def decode(
    content: bytes, decoder: Callable[[bytes], _T]
) -> tuple[_T | None, list[findings.Finding]]:
    """Decodes a document.

    Args:
        content: The document.
        decoder: Decodes it; raises ConfigurationError.

    Returns:
        The decoded document, None if there are errors, and these.
    """
    try:
        return decoder(content), []
    except errors.ConfigurationError as error:
        detail = error.detail
    try:
        raw = strict_json.decode(content, Any)
    except errors.MalformedError as error:
        return None, [_malformed(content, str(error))]
    try:
        return None, _collect(raw, decoder)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        # The content can be decoded but not encoded again: it is nested too
        # deeply.
        return None, [findings.error("invalid", (), detail)]


def _malformed(content: bytes, detail: str) -> findings.Finding:
    match = _BYTE.search(detail)
    offset = int(match["offset"]) if match else len(content)
    line = content.count(b"\n", 0, offset) + 1
    return findings.Finding(
        findings.Severity.ERROR, "malformed", (), detail, line
    )


def _collect(raw: Any, decoder: _Decode) -> list[findings.Finding]:
    """Returns the errors, each found without the fields of those before."""
    found: list[findings.Finding] = []
    # Indices of the items removed from each list, in the original document.
    removed: dict[findings.Path, list[int]] = {}
    while len(found) < _MAX_ERRORS:
        detail = _error(raw, decoder)
        if detail is None:
            break
        path = _locate(raw, detail, decoder)
        message, _, _ = detail.partition(" - at `")
        original = _original(path, removed)
        found.append(findings.error("invalid", original, message))
        if not path or not _remove(raw, path):
            break
        if isinstance(original[-1], int):
            removed.setdefault(original[:-1], []).append(original[-1])
    return found


def _original(
    path: findings.Path, removed: dict[findings.Path, list[int]]
) -> findings.Path:
    """Returns a path with the indices before items were removed."""
    original: findings.Path = ()
    for part in path:
        if isinstance(part, int):
            for index in sorted(removed.get(original, ())):
                part += index <= part  # noqa: PLW2901
        original = (*original, part)
    return original


def _error(raw: Any, decoder: _Decode) -> str | None:
    try:
        decoder(msgspec.json.encode(raw))
    except errors.ConfigurationError as error:
        return error.detail
    return None


def _locate(raw: Any, detail: str, decoder: _Decode) -> findings.Path:
    """Returns the path of the field that an error names, () if unknown."""
    if match := _REFERENCE.match(detail):
        return match["section"], match["field"], match["name"]
    if match := _UNKNOWN.match(detail):
        return _find(raw, match["path"])
    match = _AT.search(detail)
    if match is None:
        return ()
    candidates = _expand(raw, match["path"])
    if match[1]:
        candidates = [
            (*path, name)
            for path in candidates
            if isinstance(_get(raw, path), dict)
            for name in _get(raw, path)
        ]
    while len(candidates) > 1:
        half = candidates[: len(candidates) // 2]
        rest = candidates[len(half) :]
        remaining = msgspec.json.decode(msgspec.json.encode(raw))
        for path in reversed(rest):
            _remove(remaining, path)
        candidates = half if _error(remaining, decoder) == detail else rest
    return candidates[0] if candidates else ()


def _find(raw: Any, text: str) -> findings.Path:
    """Returns the path that reads as a text; names may have dots in them."""
    path: list[str | int] = []
    while text and isinstance(raw, dict):
        names = [
            name
            for name in raw
            if text == f".{name}" or text.startswith(f".{name}.")
        ]
        if not names:
            return ()
        name = max(names, key=len)
        path.append(name)
        text = text[len(name) + 1 :]
        raw = raw[name]
    return tuple(path)


def _expand(raw: Any, text: str) -> list[findings.Path]:
    """Returns the existing paths that a path with `[...]` may mean."""
    paths: list[findings.Path] = [()]
    for match in _SEGMENT.finditer(text):
        extended: list[findings.Path] = []
        for path in paths:
            value = _get(raw, path)
            match value, match["name"], match["index"]:
                case dict(), None, "...":
                    extended += [(*path, name) for name in value]
                case list(), None, "...":
                    extended += [(*path, i) for i in range(len(value))]
                case dict(), str() as name, _ if name in value:
                    extended.append((*path, name))
                case list(), None, str() as index if int(index) < len(value):
                    extended.append((*path, int(index)))
        paths = extended
    return paths


def _get(raw: Any, path: findings.Path) -> Any:
    for part in path:
        raw = raw[part]
    return raw


def _remove(raw: Any, path: findings.Path) -> bool:
    """Removes a field or an item; returns whether it was there."""
    try:
        del _get(raw, path[:-1])[path[-1]]
    except (LookupError, TypeError):
        return False
    return True
