"""Runs an entry as an aiomisc service."""

from typing import Any

from sesameroad.entry import entry
from sesameroad.node import signalled_service
from sesameroad.settings import settings as settings_module
from sesameroad.telemetry import log


class EntryService(signalled_service.SignalledService):
    """Starts an entry, and stops it gracefully on SIGTERM or SIGINT."""

    settings: settings_module.Settings
    _entry: entry.Entry | None = None

    async def start(self) -> None:
        """Starts the entry."""
        self._entry = entry.Entry.from_settings(self.settings)
        await super().start()
        await self._entry.start()

    def reload(self) -> None:
        """Logs that SIGHUP changes nothing: settings are read at the start."""
        log.event(
            "settings are read at the start of an entry only", step="reload"
        )

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stops the entry gracefully, if there is one."""
        if self._entry is not None:
            await self._entry.stop()


def run(settings: settings_module.Settings) -> None:
    """Runs an entry until SIGTERM or SIGINT."""
    EntryService(settings=settings).run()
