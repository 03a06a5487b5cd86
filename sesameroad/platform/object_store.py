"""Client of the platform's object store."""

import urllib.parse

from sesameroad import errors
from sesameroad.platform import platform_client

_OK = 200
_NOT_FOUND = 404
_FIRST_ERROR_STATUS = 300


class ObjectStore:
    """Reads and writes whole objects by name."""

    __slots__ = ("_client",)

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self._client = client

    async def get(self, name: str, *, step: str) -> bytes | None:
        """Reads an object; returns None if it does not exist.

        Raises:
            PlatformError: If the platform reports an error or does not respond.
        """
        response = await self._client.call(
            "GET", f"/api/blob-get/{_quote(name)}", step=step
        )
        if response.status == _NOT_FOUND:
            return None
        _check(response, step)
        return response.body

    async def put(self, name: str, body: bytes, *, step: str) -> None:
        """Writes an object.

        Raises:
            PlatformError: If the platform reports an error or does not respond.
        """
        response = await self._client.call(
            "PUT", f"/api/blob-put/{_quote(name)}", body=body, step=step
        )
        _check(response, step)


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _check(response: platform_client.Response, step: str) -> None:
    if not _OK <= response.status < _FIRST_ERROR_STATUS:
        raise errors.PlatformError(
            f"status {response.status}", step=step, peer="platform"
        )
