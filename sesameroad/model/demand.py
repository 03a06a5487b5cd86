"""What an entry reports to the allocator and what it is granted."""

import dataclasses

from sesameroad.model import need as needs


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
    """Slots that are held, and how many of them are used."""

    name: str
    count: int
    used: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Report of an entry to the allocator.

    Attributes:
        epoch: Epoch of the last allocation applied in this session.
        lanes: Demand by kind and need (no team named), limited to what team
            quotas let run, and by team (no kind named) where the quota held is
            not enough. Lanes left out are unchanged since the previous report.
        held: Slots held of each endpoint, the limit or the use, whichever is
            higher. Names left out are unchanged since the previous report, or
            hold what an allocation set that this report is the first to
            confirm.
        teams: Slots held of team quotas, in the same way. A team never named
            holds the entry's fixed part.
        kinds: Slots held of kind ceilings, in the same way.
        session: Session that the entry has opened with a whole report.
        number: Counts the reports of a session; 1 is the whole report.
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
    """What the allocator grants to an entry until it expires.

    Attributes:
        epoch: Counts the allocations of a session, from 1.
        endpoints: Raised limits on slots of endpoints; others are unchanged.
        kinds: Changed limits under kind ceilings.
        teams: Changed limits under team quotas.
        valid_ms: Time until it expires.
        guarantees: Slots that each kind is sure of at this entry; kinds left
            out are unchanged.
        pools: Slots that the entry may keep in each pool of endpoints; pools
            left out are unchanged. It gives up what it holds above that, free
            slots first.
        session: Session of the entry that this belongs to.
        restart: Whether a report is missing; the entry opens a new session.
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
