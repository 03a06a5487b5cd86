"""Reads the settings file of an entry for the subcommands."""

import sys

from sesameroad import errors
from sesameroad.settings import settings


def load(path: str) -> settings.Settings | None:
    """Reads a settings file; prints the error and returns None if invalid."""
    try:
        return settings.Settings.from_file(path)
    except errors.SettingsError as error:
        print(f"sesameroad: {error}", file=sys.stderr)
        return None
