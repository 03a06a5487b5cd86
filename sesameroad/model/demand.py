"""What an entry reports to the steward and what it is granted."""

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
    """Report of an entry to the steward.

    Attributes:
        epoch: Epoch of the last allocation that the entry has applied; 0 if it
            uses its fixed share.
        lanes: Demand by kind, team and need; replaces the previous list.
        held: Slots held of each endpoint, the limit or the use, whichever is
            higher. Names left out are unchanged since the previous report.
        teams: Slots held of team quotas, in the same way.
        kinds: Slots held of kind ceilings, in the same way.
        number: Counts the reports to one steward; 1 is a whole report.
        unchanged: Whether the lanes are those of the previous report.
    """

    epoch: int
    lanes: tuple[LaneDemand, ...]
    held: tuple[SlotCount, ...]
    teams: tuple[SlotCount, ...] = ()
    kinds: tuple[SlotCount, ...] = ()
    number: int = 1
    unchanged: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Allocation:
    """What the steward grants to an entry until it expires.

    Attributes:
        epoch: Grows with each allocation that one steward sends.
        endpoints: Limits on slots of endpoints that have changed since the
            previous epoch. An endpoint never named keeps its fixed part.
        kinds: Limits under kind ceilings, in the same way.
        teams: Limits under team quotas, in the same way.
        valid_ms: Time until it expires.
        guarantees: Slots of this entry that each kind is sure of; replaces the
            previous list.
        restart: Whether the steward lacks a whole report of this entry; the
            entry keeps what it holds and sends one.
    """

    epoch: int
    endpoints: tuple[SlotCount, ...]
    kinds: tuple[SlotCount, ...]
    teams: tuple[SlotCount, ...]
    valid_ms: int
    guarantees: tuple[SlotCount, ...] = ()
    restart: bool = False
