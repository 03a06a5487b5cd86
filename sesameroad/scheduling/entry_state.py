"""State that the allocator keeps for one entry."""

from collections.abc import Mapping
import dataclasses
import math

from sesameroad.model import demands
from sesameroad.model import needs
from sesameroad.scheduling import quota_lease

# Indices of the three shared resources in Limits.
ENDPOINTS, TEAMS, KINDS = range(3)
Limits = tuple[dict[str, int], dict[str, int], dict[str, int]]


def no_limits() -> Limits:
    """Returns empty limits."""
    return ({}, {}, {})


@dataclasses.dataclass(slots=True)
class EntryState:
    """State that the allocator keeps for one entry.

    Attributes:
        position: Position of the entry in rank order.
        session: Number of the session that the entry has opened, 0 if none.
        report_number: Number of the last report.
        reported_at: Monotonic time in seconds of the last report.
        sent_at: Monotonic time in seconds of the last allocation.
        guarantees_sent_at: Monotonic time in seconds of the last allocation
            with guarantees.
        epoch: Epoch of the last allocation sent.
        sent_epochs: Times at which allocations were sent, by epoch.
        confirmed_at: Monotonic time in seconds at which the last allocation was
            sent that the entry has confirmed.
        lanes: Demand by kind, team and need.
        held: Slots that the entry holds according to its reports, by endpoint,
            team and kind.
        unconfirmed: Limits sent but not yet confirmed by a report, with the
            epoch of their allocation.
        limits_sent: Limits last sent, by endpoint, team and kind.
        group_targets: Target for the slots of each endpoint group, as last
            sent.
        guarantees: Guaranteed slots of each kind, as last sent.
        peak_demand: Recent peak of the demand, which decays over time.
        unreachable_since: Monotonic time in seconds when the entry became
            unreachable, or None.
    """

    position: int
    session: int = 0
    report_number: int = 0
    reported_at: float = -math.inf
    sent_at: float = -math.inf
    guarantees_sent_at: float = -math.inf
    epoch: int = 0
    sent_epochs: quota_lease.SentTimes = dataclasses.field(
        default_factory=quota_lease.SentTimes
    )
    confirmed_at: float = -math.inf
    lanes: dict[tuple[str, str, needs.Need], demands.LaneDemand] = (
        dataclasses.field(default_factory=dict)
    )
    held: Limits = dataclasses.field(default_factory=no_limits)
    unconfirmed: list[tuple[int, Limits]] = dataclasses.field(
        default_factory=list
    )
    limits_sent: Limits = dataclasses.field(default_factory=no_limits)
    group_targets: dict[str, int] = dataclasses.field(default_factory=dict)
    guarantees: dict[str, int] = dataclasses.field(default_factory=dict)
    peak_demand: float = 0.0
    unreachable_since: float | None = None

    @property
    def demand(self) -> int:
        """Number of slots that the entry could use now."""
        return sum(
            lane.running + lane.queued
            for (kind, _, _), lane in self.lanes.items()
            if kind
        )


def has_waiting_tasks(active: Mapping[str, EntryState]) -> bool:
    """Returns whether any entry has a task that waits for a slot."""
    return any(
        lane.queued
        for state in active.values()
        for (kind, _, _), lane in state.lanes.items()
        if kind
    )
