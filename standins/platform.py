"""Stand-in of the platform: table service, object store and instance list."""

import asyncio
import dataclasses
import enum
from typing import Any

from absl import app
from absl import flags
from aiohttp import web
import msgspec
import xxhash

from sesameroad.platform import instances
from sesameroad.platform import table as tables

_PORT = flags.DEFINE_integer("platform_port", 0, "Port to listen on.")
_LISTING = flags.DEFINE_string(
    "platform_listing", "", "Path of the JSON instance list to start with."
)


class Fault(enum.Enum):
    """How the platform misbehaves."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


@dataclasses.dataclass(slots=True)
class _Reads:
    names: list[str]


@dataclasses.dataclass(slots=True)
class _Writes:
    writes: list[tables.Write]


class Platform:
    """Keeps rows, objects and the instance list in memory."""

    def __init__(self, *, write_s: float = 0.004, slow_s: float = 5.0) -> None:
        self.rows: dict[str, tables.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.listing = instances.Listing(version=1)
        self.fault = Fault.NONE
        self.write_calls = 0
        self.read_calls = 0
        self._write_s = write_s
        self._slow_s = slow_s

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(middlewares=[self._misbehave])
        application.add_routes(
            [
                web.post("/table/v1/reads", self._read),
                web.get("/table/v1/rows/{name:.+}", self._read_row),
                web.post("/table/v1/writes", self._write),
                web.get("/instances/v1", self._list),
                web.get("/objects/v1/{name:.+}", self._get_object),
                web.put("/objects/v1/{name:.+}", self._put_object),
                web.post("/control/fault", self._set_fault),
                web.post("/control/listing", self._set_listing),
            ]
        )
        return application

    def apply(self, write: tables.Write) -> tables.WriteResult:
        """Applies one write by compare and set."""
        row = self.rows.get(write.name, tables.Row(write.name, tables.ABSENT))
        if row.version != write.expected:
            return tables.WriteResult(False, row)
        row = tables.Row(write.name, row.version + 1, write.value)
        self.rows[write.name] = row
        return tables.WriteResult(True, row)

    @web.middleware
    async def _misbehave(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        match self.fault:
            case Fault.DOWN:
                return web.Response(status=503)
            case Fault.SLOW:
                await asyncio.sleep(self._slow_s)
                return await handler(request)
            case Fault.LOSE_ANSWERS:
                response = await handler(request)
                if request.method == "GET" or request.path.endswith("reads"):
                    return response
                return web.Response(status=504)
            case Fault.NONE:
                return await handler(request)

    async def _read(self, request: web.Request) -> web.Response:
        self.read_calls += 1
        body = msgspec.json.decode(await request.read(), type=_Reads)
        return _json(
            [
                self.rows.get(name, tables.Row(name, tables.ABSENT))
                for name in body.names
            ]
        )

    async def _read_row(self, request: web.Request) -> web.Response:
        self.read_calls += 1
        name = request.match_info["name"]
        row = self.rows.get(name, tables.Row(name, tables.ABSENT))
        return _tagged(request, row)

    async def _write(self, request: web.Request) -> web.Response:
        self.write_calls += 1
        body = msgspec.json.decode(await request.read(), type=_Writes)
        await asyncio.sleep(self._write_s)
        return _json([self.apply(write) for write in body.writes])

    async def _list(self, request: web.Request) -> web.Response:
        return _tagged(request, self.listing)

    async def _get_object(self, request: web.Request) -> web.Response:
        body = self.objects.get(request.match_info["name"])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["name"]] = await request.read()
        return web.Response()

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.fault = Fault(await request.text())
        return web.Response()

    async def _set_listing(self, request: web.Request) -> web.Response:
        self.listing = msgspec.json.decode(
            await request.read(), type=instances.Listing
        )
        return web.Response()


def _json(value: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _tagged(request: web.Request, value: Any) -> web.Response:
    """Returns a value, or 304 if the request names its entity tag."""
    body = msgspec.json.encode(value)
    headers = {"ETag": f'"{xxhash.xxh3_64_hexdigest(body)}"'}
    if request.headers.get("If-None-Match") == headers["ETag"]:
        return web.Response(status=304, headers=headers)
    return web.Response(
        body=body, content_type="application/json", headers=headers
    )


def main(_: list[str]) -> None:
    """Serves the stand-in until it is terminated."""
    platform = Platform()
    if _LISTING.value:
        with open(_LISTING.value, "rb") as file:
            platform.listing = msgspec.json.decode(
                file.read(), type=instances.Listing
            )
    web.run_app(
        platform.application(),
        host="127.0.0.1",
        port=_PORT.value,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    app.run(main)
