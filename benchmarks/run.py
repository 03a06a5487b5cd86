"""Runs the benchmarks of this package one after another."""

import importlib
import pkgutil
import sys

import benchmarks


def main() -> None:
    """Runs each benchmark module, or those that are named."""
    names = sys.argv[1:] or [
        module.name for module in pkgutil.iter_modules(benchmarks.__path__)
    ]
    for name in names:
        module = importlib.import_module(f"benchmarks.{name}")
        # The modules that benchmarks share have no main().
        if name != "run" and hasattr(module, "main"):
            print(f"== {name}", flush=True)
            module.main()


if __name__ == "__main__":
    main()
