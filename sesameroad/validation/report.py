"""Output of a check as text or JSON."""

from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec

from sesameroad.validation import changes as changes_module
from sesameroad.validation import findings


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """The result of a check.

    Attributes:
        found: Findings, in the order of the file.
        changes: Changes from another version, None if there is none to compare.
    """

    found: Sequence[findings.Finding]
    changes: Sequence[changes_module.Change] | None = None

    def count(self, severity: findings.Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.found)

    def to_json(self) -> str:
        """Returns the report as one line of JSON."""
        changes: list[dict[str, Any]] | None = None
        if self.changes is not None:
            changes = [
                {
                    "path": list(change.path),
                    "before": change.before,
                    "after": change.after,
                }
                for change in self.changes
            ]
        content = {
            "errors": self.count(findings.Severity.ERROR),
            "warnings": self.count(findings.Severity.WARNING),
            "findings": [
                {
                    "severity": finding.severity.value,
                    "rule": finding.code,
                    "path": list(finding.path),
                    "line": finding.line,
                    "message": finding.message,
                }
                for finding in self.found
            ],
            "changes": changes,
        }
        return msgspec.json.encode(content).decode()

    def to_text(self) -> str:
        """Returns the report as lines for people."""
        rows = [
            (
                finding.severity.value,
                f"line {finding.line}" if finding.line else "",
                _printable(findings.render(finding.path)),
                finding.code,
            )
            for finding in self.found
        ]
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        lines = [
            " ".join(
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            )
            + f" {_printable(finding.message)}"
            for row, finding in zip(rows, self.found, strict=True)
        ]
        error_count = self.count(findings.Severity.ERROR)
        warning_count = self.count(findings.Severity.WARNING)
        lines.append(
            f"{_counted(error_count, 'error')},"
            f" {_counted(warning_count, 'warning')}"
        )
        if self.changes is not None:
            lines += map(_change_line, self.changes)
            lines.append(_counted(len(self.changes), "change"))
        return "\n".join(lines)


def _change_line(change: changes_module.Change) -> str:
    path = _printable(findings.render(change.path))
    before, after = (
        "-" if value is None else msgspec.json.encode(value).decode()
        for value in (change.before, change.after)
    )
    return f"changed {path} {before} -> {after}"


def _counted(count: int, noun: str) -> str:
    return f"{count} {noun}" + ("" if count == 1 else "s")


def _printable(text: str) -> str:
    """Returns text without characters that would move the cursor."""
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)
