"""What a check has found, and where."""

import dataclasses
import enum

# Position in a JSON document: names of fields and indices of lists.
Path = tuple[str | int, ...]


class Severity(enum.Enum):
    """What a finding means for the configuration."""

    # The store's rules refuse it, or a part of it can have no effect at all.
    ERROR = "error"
    # It is accepted, but probably not what its author wants.
    WARNING = "warning"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One fault of a configuration.

    Attributes:
        severity: Whether it is an error.
        code: Name of the rule, for scripts.
        path: Field that it is about, empty for the whole document.
        message: Description for people.
        line: Line in the file, from 1; 0 if the file does not have the field.
    """

    severity: Severity
    code: str
    path: Path
    message: str
    line: int = 0


def error(code: str, path: Path, message: str) -> Finding:
    """Returns an error."""
    return Finding(Severity.ERROR, code, path, message)


def warning(code: str, path: Path, message: str) -> Finding:
    """Returns a warning."""
    return Finding(Severity.WARNING, code, path, message)


def render(path: Path) -> str:
    """Returns a path as text, for example `$.product.kinds.checkout`."""
    parts = [f"[{p}]" if isinstance(p, int) else f".{p}" for p in path]
    return "$" + "".join(parts)
