"""Issued keys taken ahead from several entries."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools

from sesameroad.model import clock as clocks

_KEYS_EACH = 16
_ENTRIES = 2
# A key that is about to expire is not worth sending: its home starts nothing
# after expiry.
_LEAST_LIFE_MS = 30_000
_EXPIRY_FIELD = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """An issued key.

    Attributes:
        text: The key.
        url: The entry that issued it, its home unless a balancer stands between.
        expiry_ms: Wall time after which its home starts nothing.
    """

    text: str
    url: str
    expiry_ms: int


Fetch = Callable[[str, int], Awaitable[list[str]]]


class KeyPool:
    """Hands out keys, in turn from different entries."""

    __slots__ = ("_clock", "_fetch", "_keys", "_lock", "_order", "_urls")

    def __init__(
        self, *, urls: Sequence[str], fetch: Fetch, clock: clocks.Clock
    ) -> None:
        self._urls = tuple(urls)
        self._fetch = fetch
        self._clock = clock
        self._keys: collections.deque[Key] = collections.deque()
        self._order = itertools.cycle(self._urls)
        self._lock = asyncio.Lock()

    async def take(self) -> Key | None:
        """Returns a fresh key, or None if no entry issues any."""
        async with self._lock:
            key = self._next()
            if key is None:
                await self._refill()
                key = self._next()
            return key

    def forget(self, url: str) -> None:
        """Drops the keys of an entry that cannot be reached."""
        self._keys = collections.deque(k for k in self._keys if k.url != url)

    def _next(self) -> Key | None:
        least_ms = self._clock.wall_ms() + _LEAST_LIFE_MS
        while self._keys:
            key = self._keys.popleft()
            if key.expiry_ms >= least_ms:
                return key
        return None

    async def _refill(self) -> None:
        """Asks entries in turn until two have issued keys."""
        batches: list[list[Key]] = []
        for _ in range(max(len(self._urls), _ENTRIES)):
            url = next(self._order)
            issued = await self._fetch(url, _KEYS_EACH)
            if issued:
                batches.append(
                    [Key(text, url, expiry_ms(text)) for text in issued]
                )
            if len(batches) == _ENTRIES:
                break
        for group in itertools.zip_longest(*batches):
            self._keys.extend(key for key in group if key is not None)


def expiry_ms(key: str) -> int:
    """Returns the wall time at which an issued key expires."""
    return int(key.split(".")[_EXPIRY_FIELD])
