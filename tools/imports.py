"""Checks that `from` imports name modules only.

Ruff has no rule for this requirement of the style guide. Names of typing and
collections.abc are exempt, as in the guide.
"""

import ast
import importlib.util
import pathlib
import sys

_EXEMPT_MODULES = {"typing", "collections.abc"}
_DIRECTORIES = (
    "sesameroad",
    "standins",
    "examples",
    "benchmarks",
    "tests",
    "tools",
)
_GENERATED_SUFFIXES = ("_pb2.py", "_grpc.py")


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def _violations(path: pathlib.Path) -> list[str]:
    violations = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if (
            not isinstance(node, ast.ImportFrom)
            or node.module in _EXEMPT_MODULES
        ):
            continue
        violations += [
            f"{path}:{node.lineno}: {alias.name} of {node.module} is not a"
            " module"
            for alias in node.names
            if not _is_module(f"{node.module}.{alias.name}")
        ]
    return violations


def main() -> int:
    """Prints the violations and returns the exit code."""
    sys.path.insert(0, ".")
    violations = []
    for directory in _DIRECTORIES:
        for path in sorted(pathlib.Path(directory).rglob("*.py")):
            if not path.name.endswith(_GENERATED_SUFFIXES):
                violations += _violations(path)
    print("\n".join(violations), end="\n" if violations else "")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
