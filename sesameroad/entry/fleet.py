"""Asks all other entries for their part of an operator's query."""

import asyncio
from collections.abc import Callable

from sesameroad import errors
from sesameroad.membership import directory as directories
from sesameroad.operators import answer as answers
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.telemetry import log

# A part takes milliseconds; an entry that needs longer counts as missing.
_TIMEOUT_S = 1.0


class Fleet:
    """The other entries, as operators' queries see them."""

    __slots__ = ("_directory", "_instance_id", "_mesh")

    def __init__(
        self,
        *,
        instance_id: str,
        directory: directories.Directory,
        mesh: meshes.Mesh,
    ) -> None:
        self._instance_id = instance_id
        self._directory = directory
        self._mesh = mesh

    async def ask(self, text: str) -> tuple[dict[str, bytes], list[str]]:
        """Returns the parts by entry, and the entries that did not answer."""
        peers = dict(self._mesh.peers)
        known = {*self._directory.entries, *peers} - {self._instance_id}
        replies: dict[str, bytes] = {}
        async with asyncio.TaskGroup() as group:
            asked = {
                name: group.create_task(_ask(peers[name], text))
                for name in known & peers.keys()
            }
        for name, task in asked.items():
            result = task.result()
            if result is not None:
                replies[name] = result
        return replies, sorted(known - replies.keys())

    def listed(self) -> list[answers.Row]:
        """Returns a row for each entry of the instance list."""
        return [
            {
                "entry": entry.id,
                "data_centre": entry.data_centre,
                "state": (
                    "leaving, not answering"
                    if entry.leaving
                    else "not answering"
                ),
                "address": entry.address,
            }
            for entry in self._directory.entries.values()
        ]


def reply(
    link: links.Link, query: messages.FleetQuery, part: Callable[[str], bytes]
) -> None:
    """Answers the query of a peer."""
    try:
        link.send(messages.FleetReply(query.id, part(query.command)))
    except errors.PeerError as error:
        log.problem(
            "answer to a fleet query dropped",
            step=error.step,
            peer=error.peer,
            error=str(error),
        )


async def _ask(link: links.Link, text: str) -> bytes | None:
    try:
        answer = await link.ask(
            lambda number: messages.FleetQuery(number, text),
            timeout_s=_TIMEOUT_S,
        )
    except errors.PeerError:
        return None
    match answer:
        case messages.FleetReply(result=result):
            return result
        case _:
            return None
