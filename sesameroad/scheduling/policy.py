"""The order in which kinds and teams get the next free slot."""

import collections
from collections.abc import Iterable

from sesameroad.configuration import document
from sesameroad.scheduling import queue as queues


class Policy:
    """Orders lanes by guaranteed share, then by urgency."""

    __slots__ = ("_document", "_kinds", "_teams")

    def __init__(self, content: document.Document) -> None:
        self._document = content
        self._kinds: collections.Counter[str] = collections.Counter()
        self._teams: collections.Counter[str] = collections.Counter()

    def configure(self, content: document.Document) -> None:
        """Applies a new configuration."""
        self._document = content

    def began(self, kind: str, team: str) -> None:
        """Counts a task as running."""
        self._kinds[kind] += 1
        self._teams[team] += 1

    def ended(self, kind: str, team: str) -> None:
        """Counts a task as no longer running."""
        self._kinds[kind] -= 1
        self._teams[team] -= 1

    def order(self, lanes: Iterable[queues.Lane]) -> list[queues.Lane]:
        """Returns the lanes that may run, the next to serve first."""
        quotas = self._document.operations.team_quotas
        eligible = [
            lane
            for lane in lanes
            if self._teams[lane.team] < quotas.get(lane.team, 0)
        ]
        eligible.sort(key=self._rank)
        return eligible

    def _rank(self, lane: queues.Lane) -> tuple[bool, int, float]:
        kind = self._document.product.kinds.get(lane.kind, document.Kind())
        running = self._kinds[lane.kind]
        total = sum(self._kinds.values()) + 1
        weights = sum(k.share for k in self._document.product.kinds.values())
        guaranteed = total * kind.share / max(weights, kind.share)
        return (running >= guaranteed, kind.urgency, self._teams[lane.team])
