"""HTTP client of the platform; an instance has only one."""

from collections.abc import Callable
import dataclasses
from typing import Self

import aiohttp

from sesameroad import errors

_PEER = "platform"

Observe = Callable[[str, bool], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A response of the platform, with any status.

    Attributes:
        status: HTTP status.
        body: Content.
    """

    status: int
    body: bytes


class PlatformClient:
    """Sends requests to the platform; raises PlatformError on every failure."""

    __slots__ = ("_base_url", "_observe", "_session", "_timeout_s")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float,
        observe: Observe | None = None,
    ) -> None:
        self._session = session
        self._observe = observe
        self._base_url = base_url
        self._timeout_s = timeout_s

    @classmethod
    def open(
        cls, base_url: str, *, timeout_s: float, observe: Observe | None = None
    ) -> Self:
        """Returns a client with its own connections.

        Args:
            base_url: URL of the platform.
            timeout_s: Default timeout of a call in seconds.
            observe: Called after each call with its step and whether a
                complete response arrived.
        """
        return cls(
            session=aiohttp.ClientSession(),
            base_url=base_url,
            timeout_s=timeout_s,
            observe=observe,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Response:
        """Sends a request and returns the response, whatever its status.

        Raises:
            PlatformError: If no complete response arrived in time.
        """
        if timeout_s is None:
            timeout_s = self._timeout_s
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                content = await response.read()
                if self._observe is not None:
                    self._observe(step, True)
                return Response(response.status, content)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            if self._observe is not None:
                self._observe(step, False)
            raise errors.PlatformError(
                f"{type(error).__name__}: {error}", step=step, peer=_PEER
            ) from error
