"""Polls the platform's list of entries and endpoints."""

import asyncio
from collections.abc import Callable

from sesameroad import errors
from sesameroad.membership import directory as directory_module
from sesameroad.membership import listing
from sesameroad.telemetry import log


async def watch(
    source: listing.ListingReader,
    directory: directory_module.Directory,
    *,
    period_s: float,
    changed: Callable[[], None],
) -> None:
    """Reads the list in every period and calls `changed` after each change."""
    while True:
        try:
            if directory.apply(await source.read()):
                changed()
        except errors.PlatformError as error:
            log.problem(
                "the instance list cannot be read; the last one stays in use",
                step=error.step,
                peer=error.peer,
                error=str(error),
            )
        if directory.expire_marks():
            changed()
        await asyncio.sleep(period_s)
