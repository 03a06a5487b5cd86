"""Queries the other entries of the fleet for operators."""

import asyncio
from collections.abc import Callable

from sesameroad import errors
from sesameroad.membership import directory as directory_module
from sesameroad.operators import answers
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from sesameroad.telemetry import log

# An entry prepares its part in milliseconds. One that takes longer than this is
# reported as not answering.
_TIMEOUT_S = 1.0


class Fleet:
    """Sends operators' queries to the other entries and lists these entries."""

    __slots__ = ("_directory", "_instance_id", "_mesh")

    def __init__(
        self,
        *,
        instance_id: str,
        directory: directory_module.Directory,
        mesh: mesh_module.Mesh,
    ) -> None:
        self._instance_id = instance_id
        self._directory = directory
        self._mesh = mesh

    async def ask(self, command: str) -> tuple[dict[str, bytes], list[str]]:
        """Sends a command to all other entries.

        Args:
            command: Text of the command.

        Returns:
            The encoded part of each entry that answered, by entry id, and the
            ids of the entries that did not answer.
        """
        peers = dict(self._mesh.peers)
        expected = {*self._directory.entries, *peers} - {self._instance_id}
        parts: dict[str, bytes] = {}
        async with asyncio.TaskGroup() as group:
            tasks = {
                entry_id: group.create_task(_ask(peers[entry_id], command))
                for entry_id in expected & peers.keys()
            }
        for entry_id, task in tasks.items():
            part = task.result()
            if part is not None:
                parts[entry_id] = part
        return parts, sorted(expected - parts.keys())

    def listed(self) -> list[answers.Row]:
        """Returns a row for each listed entry, as one that does not answer."""
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
    link: links.Link,
    query: messages.FleetQuery,
    make_part: Callable[[str], bytes],
) -> None:
    """Sends a peer the part of this entry in an operator's query."""
    try:
        link.send(messages.FleetReply(query.id, make_part(query.command)))
    except errors.PeerError as error:
        log.problem(
            "reply to a fleet query not sent",
            step=error.step,
            peer=error.peer,
            error=str(error),
        )


async def _ask(link: links.Link, command: str) -> bytes | None:
    try:
        answer = await link.ask(
            lambda query_id: messages.FleetQuery(query_id, command),
            timeout_s=_TIMEOUT_S,
        )
    except errors.PeerError:
        return None
    match answer:
        case messages.FleetReply(result=result):
            return result
        case _:
            return None
