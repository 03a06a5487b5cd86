"""The platform's lagging list of entry instances and endpoints."""

import dataclasses

import msgspec

from sesameroad import errors
from sesameroad.model import endpoint as endpoint_module
from sesameroad.model import instance
from sesameroad.platform import client as clients


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """The list as of one version; higher versions are newer."""

    version: int
    entries: tuple[instance.Instance, ...] = ()
    endpoints: tuple[endpoint_module.Endpoint, ...] = ()


class Instances:
    """Reads the list."""

    __slots__ = ("_client",)

    def __init__(self, client: clients.Client) -> None:
        self._client = client

    async def read(self) -> Listing:
        """Returns the current list.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        step = "read instance list"
        body = await self._client.get("/instances/v1", step=step)
        try:
            return msgspec.json.decode(body or b"", type=Listing)
        except msgspec.MsgspecError as error:
            raise errors.PlatformError(str(error), step=step) from error
