"""HTTP session to the platform."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Self

import aiohttp
import msgspec

from sesameroad import errors

_PEER = "platform"
_NOT_FOUND = 404
_FIRST_ERROR_STATUS = 400

Observe = Callable[[str, bool], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """An answer of the platform, of any status.

    Attributes:
        status: HTTP status.
        body: Body.
        etag: Entity tag, empty if none.
    """

    status: int
    body: bytes
    etag: str = ""


class Client:
    """Calls the platform; every failure is a PlatformError."""

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
        """Returns a client with connections of its own.

        Args:
            base_url: Where the platform answers.
            timeout_s: Timeout of a call that has none of its own, in seconds.
            observe: Called after each call with its step and whether a whole
                answer came.
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

    async def get(self, path: str, *, step: str) -> bytes | None:
        """Reads a resource; returns None if it does not exist.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        answer = await self.call("GET", path, step=step)
        if answer.status == _NOT_FOUND:
            return None
        return _checked(answer, step).body

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
        answer = await self.call("GET", path, step=step, headers=headers)
        if answer.status == _NOT_FOUND:
            raise errors.PlatformError("not found", step=step, peer=_PEER)
        _checked(answer, step)
        if answer.etag == etag != "":
            return None
        return answer.body, answer.etag

    async def post(self, path: str, body: Any, *, step: str) -> bytes:
        """Posts a JSON body and returns the answer's body.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        answer = await self.call(
            "POST", path, body=msgspec.json.encode(body), step=step
        )
        return _checked(answer, step).body

    async def put(self, path: str, body: bytes, *, step: str) -> None:
        """Writes a resource.

        Raises:
            PlatformError: If the platform fails or does not answer.
        """
        _checked(await self.call("PUT", path, body=body, step=step), step)

    async def call(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Answer:
        """Sends a request and returns the answer, whatever its status.

        Raises:
            PlatformError: If no whole answer came in time.
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
                text = await response.read()
                if self._observe is not None:
                    self._observe(step, True)
                return Answer(
                    response.status, text, response.headers.get("ETag", "")
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            if self._observe is not None:
                self._observe(step, False)
            raise errors.PlatformError(
                f"{type(error).__name__}: {error}", step=step, peer=_PEER
            ) from error


def _checked(answer: Answer, step: str) -> Answer:
    if answer.status >= _FIRST_ERROR_STATUS:
        raise errors.PlatformError(
            f"status {answer.status}", step=step, peer=_PEER
        )
    return answer
