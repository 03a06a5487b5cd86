"""Reports of an entry to the allocator, and the allocations in answer."""

import dataclasses

from sesameroad.model import needs


@dataclasses.dataclass(slots=True, frozen=True)
class LaneDemand:
    """Tasks of one kind, team and need at one entry."""

    kind: str
    team: str
    running: int
    queued: int
    need: needs.Need = needs.Need()


@dataclasses.dataclass(slots=True, frozen=True)
class SlotCount:
    """Number of slots held under a name, and how many of them are used."""

    name: str
    count: int
    used: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Report of an entry to the allocator.

    Attributes:
        epoch: Epoch of the last allocation applied in this session.
        lanes: Demand by kind and need, without a team, limited to the tasks
            that team quotas allow to run; and by team, without a kind, where
            the held part of the quota is not enough. A lane that is missing is
            unchanged since the previous report.
        held: Slots held of each endpoint: the limit or the use, whichever is
            higher. An endpoint that is missing is unchanged since the previous
            report, or has the value of the allocation that this report is the
            first to confirm.
        teams: Slots held of team quotas, by the same rules. A team that was
            never reported holds the entry's fixed share.
        kinds: Slots held of kind ceilings, by the same rules.
        session: Session that the entry has opened with a full report.
        number: Number of the report in its session; 1 is the full report.
    """

    epoch: int
    lanes: tuple[LaneDemand, ...]
    held: tuple[SlotCount, ...]
    teams: tuple[SlotCount, ...] = ()
    kinds: tuple[SlotCount, ...] = ()
    session: int = 1
    number: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Allocation:
    """Slots that the allocator grants to an entry for a limited time.

    Attributes:
        epoch: Number of the allocation in its session, from 1.
        endpoints: Raised limits on slots of endpoints; others are unchanged.
        kinds: Changed limits under kind ceilings.
        teams: Changed limits under team quotas.
        valid_ms: Validity of the allocation, from the time at which the entry
            sent the report that it answers.
        guarantees: Slots guaranteed to each kind at this entry; a kind that is
            missing is unchanged.
        pools: Slots that the entry may keep in each group of endpoints; a group
            that is missing is unchanged. The entry gives up slots above that
            number, free ones first.
        session: Session of the entry to which the allocation belongs.
        restart: Whether a report was lost, so that the entry must open a new
            session.
        report: Number of the last report that the allocator had received.
    """

    epoch: int
    endpoints: tuple[SlotCount, ...]
    kinds: tuple[SlotCount, ...]
    teams: tuple[SlotCount, ...]
    valid_ms: int
    guarantees: tuple[SlotCount, ...] = ()
    pools: tuple[SlotCount, ...] = ()
    session: int = 1
    restart: bool = False
    report: int = 0
