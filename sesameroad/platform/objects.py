"""The platform's object store."""

from sesameroad.platform import client as clients


class Objects:
    """Reads and writes whole objects by name."""

    __slots__ = ("_client",)

    def __init__(self, client: clients.Client) -> None:
        self._client = client

    async def get(self, name: str, *, step: str) -> bytes | None:
        """Reads an object; returns None if it does not exist.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        return await self._client.get(f"/objects/v1/{name}", step=step)

    async def put(self, name: str, body: bytes, *, step: str) -> None:
        """Writes an object.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        await self._client.put(f"/objects/v1/{name}", body, step=step)
