"""The sesameroad command: finds the subcommand and runs it."""

import faulthandler
import importlib
import sys
import types

from sesameroad.command_line import exits
from sesameroad.node import process_signals

# Modules of this package, with hyphens for underscores. Each is imported only when needed, because importing
# all of them would make the start of an instance take 1.5 times as long. absl is
# imported later for the same reason: signals must be handled before.
_COMMANDS = (
    "entry",
    "serve",
    "explain",
    "check",
    "check-configuration",
    "command",
    "burn",
    "keys",
)
_HELP = {"help", "-h", "--help", "-help", "--helpfull"}


def main(arguments: list[str]) -> int:
    """Runs the subcommand named by the arguments; returns the exit code."""
    match arguments[1:]:
        case []:
            print(_overview(), file=sys.stderr)
            return exits.USAGE
        case [first, name, *_] if first in _HELP and name in _COMMANDS:
            print(_help_text(name))
            return exits.OK
        case [first, *_] if first in _HELP:
            print(_overview())
            return exits.OK
        case [name, *rest] if name in _COMMANDS:
            return _run_subcommand(name, rest)
        case [name, *_]:
            print(
                f"sesameroad: unknown command {name!r}\n\n{_overview()}",
                file=sys.stderr,
            )
            return exits.USAGE


def run() -> None:
    """Entry point of the installed script."""
    if sys.argv[1:2] in (["serve"], ["entry"]):
        process_signals.install()
    # Not by absl.app, whose import of the debugger takes a tenth of the time
    # until an instance listens.
    from absl import flags
    from absl import logging

    faulthandler.enable()
    logging.use_absl_handler()
    # Parses no flags, because each subcommand defines its own.
    flags.FLAGS(sys.argv[:1])
    logging.set_verbosity(logging.INFO)
    code = main(sys.argv)
    process_signals.ignore()
    sys.exit(code)


def _load_module(name: str) -> types.ModuleType:
    module = name.replace("-", "_")
    return importlib.import_module(f"sesameroad.command_line.{module}")


def _run_subcommand(name: str, arguments: list[str]) -> int:
    from absl import flags

    module = _load_module(name)
    if _HELP & set(arguments):
        print(_help_text(name))
        return exits.OK
    # Resets the flags, which would otherwise keep the values of an earlier run
    # in the same process.
    for flag in module.FLAGS:
        module.FLAGS[flag].unparse()
    try:
        rest = module.FLAGS([f"sesameroad {name}", *arguments])[1:]
    except flags.Error as error:
        print(
            f"sesameroad {name}: {error}\n\n{_help_text(name)}", file=sys.stderr
        )
        return exits.USAGE
    return module.run(rest)


def _help_text(name: str) -> str:
    module = _load_module(name)
    return f"{module.__doc__.strip()}\n\n{module.FLAGS.get_help().strip()}"


def _overview() -> str:
    lines = ["usage: sesameroad COMMAND [FLAGS] [ARGUMENTS]", ""]
    lines += [
        f"  {name:20} {_load_module(name).__doc__.splitlines()[0]}"
        for name in _COMMANDS
    ]
    lines += ["", "sesameroad help COMMAND describes a command and its flags."]
    lines += ["", "Exit codes:"]
    lines += [f"  {code}  {text}" for code, text in exits.MEANINGS.items()]
    return "\n".join(lines)


if __name__ == "__main__":
    run()
