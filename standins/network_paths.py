"""Paths of instances to each other and to endpoints, which can be cut."""

import asyncio
import base64
from collections.abc import Iterable
from typing import Any

from aiohttp import web
import msgspec

from standins import forwarder as forwarder_module


class Paths:
    """Forwarders from readers of the store to the addresses in its rows.

    Each reader sees the addresses of its own forwarders in place of those that
    were written.
    """

    def __init__(self) -> None:
        self._forwarders: dict[tuple[str, str], forwarder_module.Forwarder] = {}
        self._targets: dict[tuple[str, str], str] = {}
        # Address of the forwarder by reader and written address.
        self._replaced: dict[tuple[str, str], str] = {}
        # Paths whose forwarder does not listen.
        self._closed: set[tuple[str, str]] = set()

    async def open(self, reader: str, target: str, address: str) -> str:
        """Opens the path from a reader to a target, and returns its address."""
        forwarder = await forwarder_module.Forwarder.open(address)
        self._forwarders[reader, target] = forwarder
        self._targets[reader, target] = address
        self._replaced[reader, address] = forwarder.address
        return forwarder.address

    async def close(self) -> None:
        """Closes all paths."""
        for path, forwarder in self._forwarders.items():
            if path not in self._closed:
                await forwarder.close()

    async def cut(
        self, pairs: Iterable[tuple[str, str]], *, reset: bool
    ) -> None:
        """Cuts the paths of pairs of processes in both directions.

        Args:
            pairs: Names of both ends of each path.
            reset: Whether connections are reset and new ones refused. Otherwise
                they stay open and nothing arrives.
        """
        paths = self._both_ways(pairs)
        if reset:
            self._closed.update(paths)
            await asyncio.gather(
                *(self._forwarders[path].close() for path in paths)
            )
        else:
            for path in paths:
                self._forwarders[path].fault = forwarder_module.Fault.CUT

    async def restore(
        self, pairs: Iterable[tuple[str, str]] | None = None
    ) -> None:
        """Ends the cuts of pairs, or all; what was held back arrives now."""
        paths = set(self._forwarders)
        if pairs is not None:
            paths &= self._named_both_ways(pairs)
        for path in paths & self._closed:
            address = self._targets[path]
            own = self._replaced[path[0], address]
            self._forwarders[path] = await forwarder_module.Forwarder.open(
                address, port=int(own.rpartition(":")[2])
            )
        self._closed -= paths
        for path in paths:
            self._forwarders[path].fault = forwarder_module.Fault.NONE

    def replace_addresses(
        self, application: web.Application, *, reader: str
    ) -> None:
        """Makes a store show the addresses of the forwarders of a reader."""

        @web.middleware
        async def replace(
            request: web.Request, handler: Any
        ) -> web.StreamResponse:
            response = await handler(request)
            if not request.path.startswith("/api/rows-") or not response.body:
                return response
            content = msgspec.json.decode(response.body)
            for row in content.get("rows", ()):
                row["value"] = self._seen_by(reader, row["value"])
            return web.json_response(content, status=response.status)

        application.middlewares.append(replace)

    def _seen_by(self, reader: str, value: str) -> str:
        """Returns the value of a row as a reader sees it."""
        if not value:
            return value
        row = msgspec.json.decode(base64.b64decode(value))
        replaced = self._replaced.get((reader, row.get("address", "")))
        if replaced is None:
            return value
        row["address"] = replaced
        return base64.b64encode(msgspec.json.encode(row)).decode()

    def _both_ways(
        self, pairs: Iterable[tuple[str, str]]
    ) -> set[tuple[str, str]]:
        return {
            path
            for path in self._named_both_ways(pairs) - self._closed
            if path in self._forwarders
        }

    def _named_both_ways(
        self, pairs: Iterable[tuple[str, str]]
    ) -> set[tuple[str, str]]:
        named = set(pairs)
        return named | {(target, reader) for reader, target in named}
