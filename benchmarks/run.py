"""Runs the benchmarks of this package one after another."""

import importlib
import pkgutil
import subprocess
import sys

import benchmarks


def main() -> int:
    """Runs all benchmark modules, or those given as arguments.

    Each one runs in a separate process, so that it is not affected by the flags
    or the state of another.

    Returns:
        1 if any benchmark failed, else 0.
    """
    names = sys.argv[1:] or [
        module.name for module in pkgutil.iter_modules(benchmarks.__path__)
    ]
    failed = []
    for name in names:
        module = importlib.import_module(f"benchmarks.{name}")
        # Modules that are shared by benchmarks have no main().
        if name == "run" or not hasattr(module, "main"):
            continue
        print(f"== {name}", flush=True)
        completed = subprocess.run(
            [sys.executable, "-m", f"benchmarks.{name}"], check=False
        )
        if completed.returncode:
            failed.append(name)
    if failed:
        print(f"failed: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
