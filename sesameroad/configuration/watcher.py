"""Polls the configuration row of the platform's table."""

import asyncio
from collections.abc import Callable

from sesameroad import errors
from sesameroad.configuration import store as store_module
from sesameroad.telemetry import log


async def watch(
    store: store_module.Store, *, period_s: float, changed: Callable[[], None]
) -> None:
    """Reads the row in every period and calls `changed` after each change."""
    while True:
        try:
            if await store.refresh():
                changed()
        except (errors.PlatformError, errors.ConfigurationError) as error:
            log.problem(
                "the configuration cannot be read; the last one stays in force",
                step=error.step,
                peer=error.peer,
                error=str(error),
            )
        await asyncio.sleep(period_s)
