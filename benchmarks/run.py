"""Runs the benchmarks of this package one after another."""

import importlib
import pkgutil
import subprocess
import sys

import benchmarks


def main() -> int:
    """Runs each benchmark module, or those that are named.

    Each runs in a process of its own, so that neither flags nor the state of
    one benchmark reach the next.

    Returns:
        1 if any benchmark failed, else 0.
    """
    names = sys.argv[1:] or [
        module.name for module in pkgutil.iter_modules(benchmarks.__path__)
    ]
    failed = []
    for name in names:
        module = importlib.import_module(f"benchmarks.{name}")
        # The modules that benchmarks share have no main().
        if name == "run" or not hasattr(module, "main"):
            continue
        print(f"== {name}", flush=True)
        run = subprocess.run(
            [sys.executable, "-m", f"benchmarks.{name}"], check=False
        )
        if run.returncode:
            failed.append(name)
    if failed:
        print(f"failed: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
