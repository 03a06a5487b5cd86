"""What the allocator knows of one entry."""

from collections.abc import Mapping
import dataclasses
import math

from sesameroad.model import demand as demands
from sesameroad.model import need as needs

# Places of the three shared resources in Limits.
ENDPOINTS, TEAMS, KINDS = range(3)
Limits = tuple[dict[str, int], dict[str, int], dict[str, int]]


def no_limits() -> Limits:
    """Returns limits that name nothing."""
    return ({}, {}, {})


@dataclasses.dataclass(slots=True)
class EntryState:
    """What the allocator knows of one entry.

    Attributes:
        place: Place of the entry in the order of rank.
        session: Session that the entry has opened, 0 if none.
        number: Number of the last report.
        reported_at: Monotonic seconds of the last report.
        sent_at: Monotonic seconds of the last allocation.
        guaranteed_at: Monotonic seconds of the last one with guarantees.
        epoch: Epoch of the last allocation sent.
        lanes: Demand by kind, team and need.
        held: What the entry holds by its reports: endpoints, teams, kinds.
        pending: Limits sent and not yet confirmed, by epoch.
        sent: Limits last sent: endpoints, teams, kinds.
        pools: Slots of each pool last sent.
        guarantees: Guaranteed slots last sent.
        peak: Recent highest demand.
        lost_at: Monotonic seconds when it became unreachable, or None.
    """

    place: int
    session: int = 0
    number: int = 0
    reported_at: float = -math.inf
    sent_at: float = -math.inf
    guaranteed_at: float = -math.inf
    epoch: int = 0
    lanes: dict[tuple[str, str, needs.Need], demands.LaneDemand] = (
        dataclasses.field(default_factory=dict)
    )
    held: Limits = dataclasses.field(default_factory=no_limits)
    pending: list[tuple[int, Limits]] = dataclasses.field(default_factory=list)
    sent: Limits = dataclasses.field(default_factory=no_limits)
    pools: dict[str, int] = dataclasses.field(default_factory=dict)
    guarantees: dict[str, int] = dataclasses.field(default_factory=dict)
    peak: float = 0.0
    lost_at: float | None = None

    @property
    def wants(self) -> int:
        """Slots that the entry could use now."""
        return sum(
            lane.running + lane.queued
            for (kind, _, _), lane in self.lanes.items()
            if kind
        )


def kind_waits(active: Mapping[str, EntryState]) -> bool:
    """Returns whether a task of any kind waits for a slot."""
    return any(
        lane.queued
        for view in active.values()
        for (kind, _, _), lane in view.lanes.items()
        if kind
    )
