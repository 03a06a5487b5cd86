"""The sesameroad command: runs an entry instance."""

import sys

from absl import app
from absl import flags

from sesameroad import errors
from sesameroad.entry import service
from sesameroad.settings import settings as settings_module
from sesameroad.telemetry import log

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Path of the JSON settings file of this entry."
)

_USAGE = "usage: sesameroad entry --settings=FILE"


def main(arguments: list[str]) -> int:
    """Runs the command named by the arguments; returns the exit code."""
    match arguments[1:]:
        case ["entry"] if _SETTINGS.value:
            return _entry(_SETTINGS.value)
        case _:
            print(_USAGE, file=sys.stderr)
            return 2


def run() -> None:
    """Entry point of the installed script."""
    app.run(main)


def _entry(path: str) -> int:
    try:
        settings = settings_module.Settings.from_file(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    log.configure(
        instance_id=settings.instance_id, data_centre=settings.data_centre
    )
    service.run(settings)
    return 0


if __name__ == "__main__":
    run()
