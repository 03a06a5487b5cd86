"""Stand-in of the platform's row and object store, in memory, over HTTP."""

import asyncio
import base64
import enum
from typing import Any
import urllib.parse

from absl import app
from absl import flags
from aiohttp import web
import msgspec

_PORT = flags.DEFINE_integer("store_port", 0, "Port to listen on.")
_MAX_TRANSACTION_ROWS = 100
_MAX_PAGE_ROWS = 500


class Fault(enum.Enum):
    """Fault that the store simulates."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


class Store:
    """Stores rows whose part is empty, with one version number for all tables.

    Attributes:
        fault: Fault that is currently simulated.
        calls: Number of calls so far.
        objects: Contents of objects by name.
    """

    def __init__(self, *, write_s: float = 0.0, slow_s: float = 5.0) -> None:
        """Creates an empty store.

        Args:
            write_s: Duration of a transaction in seconds.
            slow_s: Delay of each call in seconds with `Fault.SLOW`.
        """
        self.fault = Fault.NONE
        self.calls = 0
        self.objects: dict[str, bytes] = {}
        self._write_s = write_s
        self._slow_s = slow_s
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._version = 0
        # Feeds that start before this version are refused, since the history no
        # longer has the changes up to it.
        self._dropped_version = 0
        self._changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(middlewares=[self._inject_fault])
        application.add_routes(
            [
                web.get("/api/rows-get", self._get),
                web.get("/api/rows-feed", self._feed),
                web.post("/api/rows-tx", self._transact),
                web.get("/api/blob-get/{name}", self._get_object),
                web.put("/api/blob-put/{name}", self._put_object),
                web.post("/control/fault", self._set_fault),
                web.post("/control/rows/{name:.+}", self._set_row),
            ]
        )
        return application

    def row(self, name: str) -> dict[str, Any] | None:
        """Returns the row with a name "table/key", or None."""
        table, _, key = name.partition("/")
        row = self._rows.get((table, key))
        return None if row is None or row["deleted"] else row

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Applies a transaction and returns the HTTP status and the answer."""
        expected = body.get("expected-rev", [])
        puts, removed = body.get("puts", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removed) > 2 * _MAX_TRANSACTION_ROWS:
            return 400, {}
        found = [self.row(f"{e['table']}/{e['key']}") for e in expected]
        versions = [row["ver"] if row else 0 for row in found]
        if versions != [e["ver"] for e in expected]:
            return 412, {"rows": [row for row in found if row]}
        self._version += 1
        for row in puts + removed:
            self._rows[row["table"], row["key"]] = {
                "table": row["table"],
                "part": "",
                "key": row["key"],
                "value": row.get("value", ""),
                "ver": self._version,
                "deleted": row in removed,
            }
        return 200, {"ver": self._version}

    async def put(self, table: str, key: str, content: Any) -> None:
        """Writes a row unconditionally, as an operator or an endpoint does."""
        text = base64.b64encode(msgspec.json.encode(content)).decode()
        self.transact({"puts": [{"table": table, "key": key, "value": text}]})
        await self._notify()

    async def remove(self, table: str, key: str) -> None:
        """Removes a row unconditionally."""
        self.transact({"remove": [{"table": table, "key": key}]})
        await self._notify()

    def drop_history(self) -> None:
        """Drops the history; feeds from earlier versions are refused."""
        self._dropped_version = self._version

    @web.middleware
    async def _inject_fault(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        self.calls += 1
        match self.fault:
            case Fault.DOWN:
                return web.Response(status=503)
            case Fault.SLOW:
                await asyncio.sleep(self._slow_s)
                return await handler(request)
            case Fault.LOSE_ANSWERS:
                response = await handler(request)
                if request.method == "GET" or not await _writes(request):
                    return response
                # The call takes effect and the connection ends without an answer.
                if request.transport is not None:
                    request.transport.abort()
                return response
            case Fault.NONE:
                return await handler(request)

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query["table"]
        start = request.query.get("from", "")
        end = request.query.get("to")
        found = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table
            and key >= start
            and (end is None or key < end)
            and not row["deleted"]
        ]
        return web.json_response(
            {
                "rows": found[:_MAX_PAGE_ROWS],
                "has-more": len(found) > _MAX_PAGE_ROWS,
                "ver": self._version,
            }
        )

    async def _feed(self, request: web.Request) -> web.Response:
        table = request.query["table"]
        after = int(request.query["after"])
        if after < self._dropped_version:
            return web.Response(status=410)

        def changes() -> list[dict[str, Any]]:
            return [
                row
                for (name, _), row in self._rows.items()
                if name == table and row["ver"] > after
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(
                    int(request.query["wait-ms"]) / 1_000
                ):
                    await self._changed.wait_for(changes)
            except TimeoutError:
                pass
        return web.json_response({"rows": changes(), "ver": self._version})

    async def _transact(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        await asyncio.sleep(self._write_s)
        status, answer = self.transact(body)
        await self._notify()
        return web.json_response(answer, status=status)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _get_object(self, request: web.Request) -> web.Response:
        name = urllib.parse.unquote(request.match_info["name"])
        body = self.objects.get(name)
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        name = urllib.parse.unquote(request.match_info["name"])
        self.objects[name] = await request.read()
        return web.Response()

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.fault = Fault(await request.text())
        return web.Response()

    async def _set_row(self, request: web.Request) -> web.Response:
        table, _, key = request.match_info["name"].partition("/")
        await self.put(table, key, msgspec.Raw(await request.read()))
        return web.Response()


async def _writes(request: web.Request) -> bool:
    """Returns whether a call may change rows or objects."""
    if request.method == "PUT":
        return True
    body = msgspec.json.decode(await request.read())
    return bool(body.get("puts") or body.get("remove"))


def main(_: list[str]) -> None:
    """Serves the stand-in until it is terminated."""
    web.run_app(
        Store(write_s=0.004).application(),
        host="127.0.0.1",
        port=_PORT.value,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    app.run(main)
