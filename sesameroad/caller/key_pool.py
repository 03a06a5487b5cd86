"""Keys fetched in advance from several entries."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools

from sesameroad.model import clocks

_KEYS_PER_FETCH = 16
_ENTRIES_PER_REFILL = 2
# A key close to its expiry is not used: its home starts no task after expiry.
_MIN_REMAINING_MS = 30_000
_EXPIRY_FIELD_INDEX = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """An issued key.

    Attributes:
        text: The key.
        url: URL that the key was fetched from. The entry there is its home,
            unless the URL is that of a load balancer.
        expiry_ms: Wall time after which its home starts no task of it.
    """

    text: str
    url: str
    expiry_ms: int


FetchKeys = Callable[[str, int], Awaitable[list[str]]]


class KeyPool:
    """Hands out keys from different entries in turn."""

    __slots__ = ("_clock", "_fetch", "_keys", "_lock", "_url_cycle", "_urls")

    def __init__(
        self, *, urls: Sequence[str], fetch: FetchKeys, clock: clocks.Clock
    ) -> None:
        self._urls = tuple(urls)
        self._fetch = fetch
        self._clock = clock
        self._keys: collections.deque[Key] = collections.deque()
        self._url_cycle = itertools.cycle(self._urls)
        self._lock = asyncio.Lock()

    async def take(self) -> Key | None:
        """Returns an unused key, or None if no entry issues any."""
        async with self._lock:
            key = self._pop_unexpired()
            if key is None:
                await self._refill()
                key = self._pop_unexpired()
            return key

    def discard(self, url: str) -> None:
        """Removes the keys of an entry that cannot be reached."""
        self._keys = collections.deque(k for k in self._keys if k.url != url)

    def _pop_unexpired(self) -> Key | None:
        min_expiry_ms = self._clock.wall_ms() + _MIN_REMAINING_MS
        while self._keys:
            key = self._keys.popleft()
            if key.expiry_ms >= min_expiry_ms:
                return key
        return None

    async def _refill(self) -> None:
        """Fetches keys from the entries in turn until two have issued some."""
        batches: list[list[Key]] = []
        for _ in range(max(len(self._urls), _ENTRIES_PER_REFILL)):
            url = next(self._url_cycle)
            issued = await self._fetch(url, _KEYS_PER_FETCH)
            if issued:
                batches.append(
                    [Key(text, url, expiry_ms(text)) for text in issued]
                )
            if len(batches) == _ENTRIES_PER_REFILL:
                break
        for keys in itertools.zip_longest(*batches):
            self._keys.extend(key for key in keys if key is not None)


def expiry_ms(key: str) -> int:
    """Returns the wall time at which an issued key expires."""
    return int(key.split(".")[_EXPIRY_FIELD_INDEX])
