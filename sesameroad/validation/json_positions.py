"""Lines of the fields of a JSON text, and fields that it gives twice."""

import json
import re
from typing import Self

from sesameroad.validation import findings

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],:]|[^\s{}\[\],:"]+', re.DOTALL)


class JsonPositions:
    """Line of each field and item, by its path.

    Attributes:
        duplicates: Paths of fields that an object has more than once. A decoder
            uses the last value without an error.
    """

    __slots__ = ("_lines", "duplicates")

    def __init__(
        self, lines: dict[findings.Path, int], duplicates: list[findings.Path]
    ) -> None:
        self._lines = lines
        self.duplicates = duplicates

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Scans a text that a decoder has accepted.

        The scan has no recursion and looks at each character once. For a text
        that is not JSON, the result is of no use, but no error is raised.
        """
        lines: dict[findings.Path, int] = {(): 1}
        duplicates: list[findings.Path] = []
        # Open objects and lists: the path, and the index of the next item of a
        # list or -1 for an object.
        stack: list[tuple[findings.Path, int]] = []
        name: str | None = None
        line, end = 1, 0
        for match in _TOKEN.finditer(text):
            line += text.count("\n", end, match.start())
            end = match.start()
            token = match.group()
            if token in "]}":
                if stack:
                    stack.pop()
                name = None
                continue
            if token in ",:":
                continue
            if stack and stack[-1][1] < 0 and name is None:
                name = _decode_name(token)
                path = (*stack[-1][0], name)
                if path in lines:
                    duplicates.append(path)
                lines[path] = line
                continue
            path = _next_path(stack, name)
            name = None
            lines.setdefault(path, line)
            if token in "[{":
                stack.append((path, 0 if token == "[" else -1))
        return cls(lines, duplicates)

    def line(self, path: findings.Path) -> int:
        """Returns the line of a field, or of what it would be part of."""
        for length in range(len(path), -1, -1):
            if (line := self._lines.get(path[:length])) is not None:
                return line
        return 0


def _next_path(
    stack: list[tuple[findings.Path, int]], name: str | None
) -> findings.Path:
    """Returns the path of the value that begins, and counts items."""
    if not stack:
        return ()
    parent, index = stack[-1]
    if index < 0:
        return (*parent, name or "")
    stack[-1] = (parent, index + 1)
    return (*parent, index)


def _decode_name(token: str) -> str:
    try:
        return str(json.loads(token))
    except ValueError:
        return token
