"""Slots of endpoints and parts of quotas that this entry may use."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from sesameroad.configuration import document
from sesameroad.model import clock as clocks
from sesameroad.model import demand as demands
from sesameroad.model import endpoint as endpoints
from sesameroad.scheduling import rank

# After an allocation has expired, quotas grow back to the fixed part only when
# the allocations of all other entries have expired or been renewed as well.
_QUOTA_GRACE_S = 1.5


class Division:
    """One resource that entries share: endpoints' slots, quotas or ceilings.

    Attributes:
        capacities: Slots of each name in the whole data centre.
        granted: Limits set by the allocator; other names have their fixed part.
        used: Slots in use by this entry.
        parts: Fixed parts already computed.
    """

    __slots__ = ("capacities", "granted", "parts", "used")

    def __init__(self) -> None:
        self.capacities: dict[str, int] = {}
        self.granted: dict[str, int] = {}
        self.used: collections.Counter[str] = collections.Counter()
        self.parts: dict[str, int] = {}

    def apply(self, limits: Iterable[demands.SlotCount]) -> None:
        """Takes over limits that the allocator has set."""
        for limit in limits:
            self.granted[limit.name] = limit.count

    def configure(self, capacities: Mapping[str, int]) -> None:
        """Sets the names that exist and their slots in the data centre."""
        self.capacities = dict(capacities)
        self.parts.clear()
        for name in self.granted.keys() - capacities.keys():
            del self.granted[name]


class Allocation:
    """Counts slots in use against what this entry may use.

    Without a valid allocation of the allocator an entry has its fixed part of
    everything, at least one slot of each endpoint.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_endpoints",
        "_entries",
        "_epoch",
        "_expires_at",
        "_guarantees",
        "_kinds",
        "_members",
        "_place",
        "_pool_held",
        "_pools",
        "_session",
        "_slots_returned",
        "_targets",
        "_teams",
        "_usable_slots",
        "_valid",
    )

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self._clock = clock or clocks.Clock()
        self._endpoints = Division()
        self._teams = Division()
        self._kinds = Division()
        self._entries = 1
        self._place = 0
        self._epoch = 0
        self._valid = False
        self._expires_at = 0.0
        self._guarantees: dict[str, int] = {}
        self._usable_slots = 0
        self._capacity = 0
        self._session = 1
        self._pools: dict[str, str] = {}
        self._members: dict[str, list[str]] = {}
        self._targets: dict[str, int] = {}
        self._pool_held: collections.Counter[str] = collections.Counter()
        self._slots_returned = 0

    @property
    def epoch(self) -> int:
        """Epoch of the last allocation applied in this session, or 0."""
        return self._epoch

    @property
    def session(self) -> int:
        """Number of the session with the allocator."""
        return self._session

    @property
    def valid(self) -> bool:
        """Whether an allocation of the allocator is in force."""
        return self._valid

    @property
    def slots_returned(self) -> int:
        """Number of slots given up so far at the allocator's request."""
        return self._slots_returned

    @property
    def usable_slots(self) -> int:
        """Slots of all endpoints that this entry may use."""
        return self._usable_slots

    @property
    def capacity(self) -> int:
        """Slots of all endpoints of the data centre."""
        return self._capacity

    def set_entries(self, count: int, place: int = 0) -> None:
        """Sets how many entries share the data centre, and this one's place."""
        self._entries = max(1, count)
        self._place = place
        for division in (self._endpoints, self._teams, self._kinds):
            division.parts.clear()
        self._sum_up()

    def configure(self, operations: document.Operations) -> None:
        """Sets the team quotas and kind ceilings of the data centre."""
        self._teams.configure(operations.team_quotas)
        self._kinds.configure(operations.kind_ceilings)

    def set_endpoints(self, live: Iterable[endpoints.Endpoint]) -> None:
        """Sets the endpoints whose slots are shared."""
        listed = tuple(live)
        self._endpoints.configure({e.id: e.slots for e in listed})
        if self._valid:
            # A new endpoint starts with the fixed part, which the allocator can
            # then move; without an entry here it could never be given up.
            self._endpoints.granted = self._limits()
        self._capacity = sum(e.slots for e in listed)
        self._pools = {e.id: e.group for e in listed}
        self._members = {}
        for endpoint in listed:
            self._members.setdefault(endpoint.group, []).append(endpoint.id)
        self._sum_up()

    def restart(self) -> None:
        """Opens a new session; what is held stays until it expires."""
        self._session += 1
        self._epoch = 0

    def apply(self, granted: demands.Allocation, *, now: float) -> bool:
        """Puts what the allocator has granted into force.

        Returns:
            False if a message before it is missing, so that the entry must open
            a new session. An allocation of an older session changes nothing.
        """
        if granted.session != self._session:
            return True
        if granted.restart or granted.epoch != self._epoch + 1:
            return False
        if not self._valid:
            self._endpoints.granted = self._limits()
            self._teams.granted.clear()
            self._kinds.granted.clear()
        self._epoch = granted.epoch
        self._valid = True
        self._expires_at = now + granted.valid_ms / 1_000
        self._endpoints.apply(granted.endpoints)
        self._teams.apply(granted.teams)
        self._kinds.apply(granted.kinds)
        self._guarantees.update((g.name, g.count) for g in granted.guarantees)
        self._targets.update((p.name, p.count) for p in granted.pools)
        self._sum_up()
        self._give_up_free()
        return True

    def refresh(self) -> bool:
        """Falls back to the fixed share at expiry; returns whether it did."""
        if not self._valid or self._clock.monotonic() < self._expires_at:
            return False
        self._valid = False
        self.restart()
        self._endpoints.granted.clear()
        self._guarantees = {}
        self._targets = {}
        self._sum_up()
        return True

    def endpoint_limit(self, endpoint_id: str) -> int:
        """Returns how many slots of an endpoint this entry may use."""
        slots = self._endpoints.capacities.get(endpoint_id, 0)
        granted = self._endpoints.granted.get(endpoint_id)
        if granted is not None:
            return min(granted, slots)
        if not slots:
            return 0
        return max(1, self._part(self._endpoints, endpoint_id))

    def team_limit(self, team: str) -> int:
        """Returns how many slots a team may use at this entry."""
        return self._quota(self._teams, team)

    def quota(self, team: str) -> int:
        """Returns a team's quota in the whole data centre."""
        return self._teams.capacities.get(team, 0)

    @property
    def divided_teams(self) -> set[str]:
        """Teams whose quota the allocator has divided by demand."""
        return set(self._teams.granted)

    def team_used(self, team: str) -> int:
        """Returns how many slots a team uses at this entry."""
        return self._teams.used[team]

    def kind_limit(self, kind: str) -> int | None:
        """Returns how many slots a kind may use here, None if unlimited."""
        if kind not in self._kinds.capacities:
            return None
        return self._quota(self._kinds, kind)

    def guarantee(self, kind: str) -> int | None:
        """Returns the slots a kind is sure of here, None if not known."""
        return self._guarantees.get(kind)

    def has_free(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether a slot of the endpoint may be used now."""
        return self._endpoints.used[endpoint.id] < self.endpoint_limit(
            endpoint.id
        )

    def acquire(self, endpoint_id: str) -> None:
        """Counts a slot as used."""
        self._endpoints.used[endpoint_id] += 1

    def release(self, endpoint_id: str) -> None:
        """Counts a slot as free again, and gives it up if it is one too many."""
        division = self._endpoints
        division.used[endpoint_id] -= 1
        pool = self._pools.get(endpoint_id)
        if pool is None or not division.granted.get(endpoint_id):
            return
        if self._pool_held[pool] > self._targets.get(pool, self._usable_slots):
            division.granted[endpoint_id] -= 1
            self._pool_held[pool] -= 1
            self._usable_slots -= 1
            self._slots_returned += 1

    def used(self, endpoint_id: str) -> int:
        """Returns how many slots of an endpoint are used."""
        return self._endpoints.used[endpoint_id]

    def task_started(self, kind: str, team: str) -> None:
        """Counts a task against the quota of its team and its kind's ceiling."""
        self._teams.used[team] += 1
        self._kinds.used[kind] += 1

    def task_ended(self, kind: str, team: str) -> None:
        """Counts a task out."""
        self._teams.used[team] -= 1
        self._kinds.used[kind] -= 1

    def held(self) -> dict[str, demands.SlotCount]:
        """Returns the slots of each endpoint that others may not use now."""
        used = self._endpoints.used
        return {
            name: demands.SlotCount(
                name, max(self.endpoint_limit(name), used[name])
            )
            for name in self._endpoints.capacities
        }

    def held_teams(self) -> dict[str, demands.SlotCount]:
        """Returns what is held of team quotas the allocator has divided."""
        return self._held_quotas(self._teams)

    def held_kinds(self) -> dict[str, demands.SlotCount]:
        """Returns what is held of kind ceilings the allocator has divided."""
        return self._held_quotas(self._kinds)

    def _limits(self) -> dict[str, int]:
        return {
            name: self.endpoint_limit(name)
            for name in self._endpoints.capacities
        }

    def _held_quotas(self, division: Division) -> dict[str, demands.SlotCount]:
        """Returns quotas held that may differ from the fixed part.

        Without an allocation the fixed part counts as held even while the limit
        is lower, because the limit grows back without a message.
        """
        held = {}
        for name in division.granted.keys() | division.used.keys():
            capacity = division.capacities.get(name)
            if capacity is None:
                continue
            part = self._part(division, name)
            limit = self._quota(division, name) if self._valid else part
            count = max(limit, division.used[name])
            if count != part or (self._valid and name in division.granted):
                held[name] = demands.SlotCount(name, count)
        return held

    def _quota(self, division: Division, name: str) -> int:
        capacity = division.capacities.get(name, 0)
        granted = division.granted.get(name)
        part = self._part(division, name)
        if granted is None:
            return part
        if self._valid:
            return min(granted, capacity)
        if self._clock.monotonic() < self._expires_at + _QUOTA_GRACE_S:
            return min(part, granted)
        return part

    def _part(self, division: Division, name: str) -> int:
        part = division.parts.get(name)
        if part is None:
            part = division.parts[name] = rank.fixed_share(
                name,
                division.capacities.get(name, 0),
                entries=self._entries,
                place=self._place,
            )
        return part

    def _give_up_free(self) -> None:
        """Gives up free slots above the target of each pool."""
        division = self._endpoints
        for pool, target in self._targets.items():
            excess = self._pool_held[pool] - target
            for name in self._members.get(pool, ()):
                if excess <= 0:
                    break
                free = division.granted.get(name, 0) - division.used[name]
                given = max(0, min(free, excess))
                if given:
                    division.granted[name] -= given
                    self._pool_held[pool] -= given
                    self._usable_slots -= given
                    self._slots_returned += given
                    excess -= given

    def _sum_up(self) -> None:
        self._pool_held.clear()
        for name, pool in self._pools.items():
            self._pool_held[pool] += self.endpoint_limit(name)
        self._usable_slots = self._pool_held.total()
