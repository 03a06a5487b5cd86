"""Runs an entry as an aiomisc service."""

from typing import Any

import aiomisc

from sesameroad.entry import entry
from sesameroad.settings import settings as settings_module

# aiomisc cancels a service whose stop takes longer than its timeout. The margin
# over stop notice and graceful stop lets work in flight end before that.
_SHUTDOWN_MARGIN_S = 30.0


class EntryService(aiomisc.Service):
    """Starts an entry, and stops it gracefully on SIGTERM."""

    settings: settings_module.Settings

    async def start(self) -> None:
        """Starts the entry."""
        self._entry = entry.Entry.from_settings(self.settings)
        await self._entry.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stops the entry gracefully."""
        await self._entry.stop()


def run(settings: settings_module.Settings) -> None:
    """Runs an entry until SIGTERM or SIGINT."""
    service = EntryService(settings=settings)
    timing = settings.timing
    timeout_s = (
        timing.stop_notice_s + timing.graceful_stop_s + _SHUTDOWN_MARGIN_S
    )
    with aiomisc.entrypoint(
        service, log_config=False, shutdown_timeout=timeout_s
    ) as loop:
        loop.run_forever()
