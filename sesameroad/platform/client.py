"""HTTP session to the platform."""

from typing import Any
from typing import Self

import aiohttp
import msgspec

from sesameroad import errors

_PEER = "platform"
_NOT_FOUND = 404
_FIRST_ERROR_STATUS = 400


class Client:
    """Calls the platform; every failure is a PlatformError."""

    __slots__ = ("_base_url", "_session", "_timeout")

    def __init__(
        self, *, session: aiohttp.ClientSession, base_url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._base_url = base_url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    @classmethod
    def open(cls, base_url: str, *, timeout_s: float) -> Self:
        """Returns a client with connections of its own."""
        return cls(
            session=aiohttp.ClientSession(),
            base_url=base_url,
            timeout_s=timeout_s,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def get(self, path: str, *, step: str) -> bytes | None:
        """Reads a resource; returns None if it does not exist.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        answer = await self._call("GET", path, None, step)
        return None if answer is None else answer[0]

    async def get_if_changed(
        self, path: str, etag: str, *, step: str
    ) -> tuple[bytes, str] | None:
        """Reads a resource unless it still has an entity tag.

        Returns:
            The body and its entity tag, or None if the tag is still right.

        Raises:
            PlatformError: If the platform fails, does not answer or does not
                have the resource.
        """
        headers = {"If-None-Match": etag} if etag else {}
        answer = await self._call("GET", path, None, step, headers)
        if answer is None:
            raise errors.PlatformError("not found", step=step, peer=_PEER)
        return None if answer[1] == etag != "" else answer

    async def post(self, path: str, body: Any, *, step: str) -> bytes:
        """Posts a JSON body and returns the answer's body.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        answer = await self._call("POST", path, msgspec.json.encode(body), step)
        return answer[0] if answer is not None else b""

    async def put(self, path: str, body: bytes, *, step: str) -> None:
        """Writes a resource.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        await self._call("PUT", path, body, step)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        step: str,
        headers: dict[str, str] | None = None,
    ) -> tuple[bytes, str] | None:
        """Returns the body and the entity tag, None if there is no resource."""
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers=headers,
                timeout=self._timeout,
            ) as response:
                answer = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.PlatformError(
                f"{type(error).__name__}: {error}", step=step, peer=_PEER
            ) from error
        if response.status == _NOT_FOUND:
            return None
        if response.status >= _FIRST_ERROR_STATUS:
            raise errors.PlatformError(
                f"status {response.status}", step=step, peer=_PEER
            )
        return answer, response.headers.get("ETag", "")
