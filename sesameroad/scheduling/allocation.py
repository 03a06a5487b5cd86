"""Tracks the slots and quotas that this entry may use and those in use."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.model import demands
from sesameroad.model import endpoints
from sesameroad.scheduling import quota_lease
from sesameroad.scheduling import rank


class SharedResource:
    """Limits and use of one shared resource: endpoint slots or quotas.

    Attributes:
        capacities: Slots of each name in the whole data centre.
        granted: Limits set by the allocator; other names have their fixed share.
        used: Slots that this entry uses.
        lent: Limits below the fixed share that an allocation has set which no
            longer holds. Other entries may still use the difference.
        fixed_shares: Cache of the fixed shares computed so far.
    """

    __slots__ = ("capacities", "fixed_shares", "granted", "lent", "used")

    def __init__(self) -> None:
        self.capacities: dict[str, int] = {}
        self.granted: dict[str, int] = {}
        self.used: collections.Counter[str] = collections.Counter()
        self.lent: dict[str, int] = {}
        self.fixed_shares: dict[str, int] = {}

    def apply(self, limits: Iterable[demands.SlotCount]) -> None:
        """Applies limits that the allocator has set."""
        for limit in limits:
            self.granted[limit.name] = limit.count

    def configure(self, capacities: Mapping[str, int]) -> None:
        """Sets the configured names and their slots in the data centre."""
        self.capacities = dict(capacities)
        self.fixed_shares.clear()
        for limits in (self.granted, self.lent):
            for name in limits.keys() - capacities.keys():
                del limits[name]


class Allocation:
    """Counts used slots against the limits of this entry.

    Without a valid allocation an entry has its fixed share of every resource,
    and at least one slot of each endpoint.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_endpoints",
        "_entry_count",
        "_epoch",
        "_expires_at",
        "_group_held",
        "_group_members",
        "_group_of",
        "_group_targets",
        "_guarantees",
        "_kinds",
        "_lent_until",
        "_loans_end_at",
        "_position",
        "_reports",
        "_session",
        "_slots_returned",
        "_teams",
        "_usable_slots",
        "_valid",
    )

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self._clock = clock or clocks.Clock()
        self._endpoints = SharedResource()
        self._teams = SharedResource()
        self._kinds = SharedResource()
        self._entry_count = 1
        self._position = 0
        self._epoch = 0
        self._valid = False
        self._expires_at = 0.0
        # Time until which quotas stay lent that the current allocator has lent.
        self._lent_until = 0.0
        # Time at which those return that an allocation lent which has ended.
        self._loans_end_at = 0.0
        self._reports = quota_lease.SentTimes()
        self._guarantees: dict[str, int] = {}
        self._usable_slots = 0
        self._capacity = 0
        self._session = 1
        self._group_of: dict[str, str] = {}
        self._group_members: dict[str, list[str]] = {}
        self._group_targets: dict[str, int] = {}
        self._group_held: collections.Counter[str] = collections.Counter()
        self._slots_returned = 0

    @property
    def epoch(self) -> int:
        """Epoch of the last allocation applied in this session, 0 if none."""
        return self._epoch

    @property
    def session(self) -> int:
        """Number of the session with the allocator."""
        return self._session

    @property
    def valid(self) -> bool:
        """Whether an allocation is current."""
        return self._valid

    @property
    def slots_returned(self) -> int:
        """Number of slots returned so far at the request of the allocator."""
        return self._slots_returned

    @property
    def usable_slots(self) -> int:
        """Number of slots that this entry may use over all endpoints."""
        return self._usable_slots

    @property
    def capacity(self) -> int:
        """Number of slots of all endpoints in the data centre."""
        return self._capacity

    def set_entries(self, count: int, position: int = 0) -> None:
        """Sets the number of entries, and the position of this one among them."""
        self._entry_count = max(1, count)
        self._position = position
        for resource in (self._endpoints, self._teams, self._kinds):
            resource.fixed_shares.clear()
        self._update_totals()

    def configure(self, operations: document.Operations) -> None:
        """Sets the team quotas and kind ceilings of the data centre."""
        self._teams.configure(operations.team_quotas)
        self._kinds.configure(operations.kind_ceilings)

    def set_endpoints(self, live: Iterable[endpoints.Endpoint]) -> None:
        """Sets the endpoints whose slots the entries share."""
        listed = tuple(live)
        self._endpoints.configure({e.id: e.slots for e in listed})
        if self._valid:
            # A new endpoint starts with the fixed share as a granted limit, which
            # the allocator can then move. Slots without a granted limit could
            # never be returned.
            self._endpoints.granted = self._endpoint_limits()
        self._capacity = sum(e.slots for e in listed)
        self._group_of = {e.id: e.group for e in listed}
        self._group_members = {}
        for endpoint in listed:
            self._group_members.setdefault(endpoint.group, []).append(
                endpoint.id
            )
        self._update_totals()

    def open_session(self) -> None:
        """Opens a new session; current limits stay until they expire."""
        self._session += 1
        self._epoch = 0
        self._reports.clear()

    def change_allocator(self) -> None:
        """Opens a session with another allocator.

        It does not know what the previous one has lent, so borrowed parts of
        quotas are given up, and lent ones stay lent for their time.
        """
        self._end_loans()
        self.open_session()

    def report_sent(self, number: int, *, now: float) -> None:
        """Records the time of a report, from which allocations are valid."""
        self._reports.record(number, now)

    def apply(self, granted: demands.Allocation, *, now: float) -> bool:
        """Applies an allocation.

        Returns:
            False if an earlier allocation is missing, so that the entry must
            open a new session. An allocation of an older session is ignored.
        """
        # A process that was paused may apply an allocation before it has seen
        # that the previous one has expired.
        self.check_expiry()
        if granted.session != self._session:
            return True
        if granted.restart or granted.epoch != self._epoch + 1:
            return False
        if not self._valid:
            self._endpoints.granted = self._endpoint_limits()
        self._epoch = granted.epoch
        self._valid = True
        reported_at = self._reports.confirm(granted.report)
        if reported_at is None:
            # An allocator of an earlier release does not name the report.
            reported_at = now
        self._expires_at = reported_at + granted.valid_ms / 1_000
        self._lent_until = now + quota_lease.LENT_S
        self._endpoints.apply(granted.endpoints)
        self._teams.apply(granted.teams)
        self._kinds.apply(granted.kinds)
        self._guarantees.update((g.name, g.count) for g in granted.guarantees)
        self._group_targets.update((p.name, p.count) for p in granted.pools)
        self._update_totals()
        self._return_free_slots()
        return True

    def check_expiry(self) -> bool:
        """Returns to the fixed share if the allocation has just expired.

        Returns:
            Whether the limits changed.
        """
        now = self._clock.monotonic()
        returned = self.lending and now >= self._loans_end_at
        if returned:
            self._teams.lent.clear()
            self._kinds.lent.clear()
        if not self._valid or now < self._expires_at:
            return returned
        self._valid = False
        self._end_loans()
        self.open_session()
        self._endpoints.granted.clear()
        self._guarantees = {}
        self._group_targets = {}
        self._update_totals()
        return True

    def endpoint_limit(self, endpoint_id: str) -> int:
        """Returns how many slots of an endpoint this entry may use."""
        slots = self._endpoints.capacities.get(endpoint_id, 0)
        granted = self._endpoints.granted.get(endpoint_id)
        if granted is not None:
            return min(granted, slots)
        if not slots:
            return 0
        return max(1, self._fixed_share(self._endpoints, endpoint_id))

    def team_limit(self, team: str) -> int:
        """Returns how many slots a team may use at this entry."""
        return self._quota(self._teams, team)

    def team_quota(self, team: str) -> int:
        """Returns the quota of a team in the whole data centre."""
        return self._teams.capacities.get(team, 0)

    @property
    def lending(self) -> bool:
        """Whether parts of quotas stay lent after their allocation has ended."""
        return bool(self._teams.lent or self._kinds.lent)

    @property
    def divided_teams(self) -> set[str]:
        """Teams for which the allocator has set a limit."""
        return set(self._teams.granted)

    def team_used(self, team: str) -> int:
        """Returns how many slots a team uses at this entry."""
        return self._teams.used[team]

    def kind_limit(self, kind: str) -> int | None:
        """Returns how many slots a kind may use here, or None if unlimited."""
        if kind not in self._kinds.capacities:
            return None
        return self._quota(self._kinds, kind)

    def guarantee(self, kind: str) -> int | None:
        """Returns the slots guaranteed to a kind here, or None if unknown."""
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
        """Frees a slot, and returns it if its group is above the target."""
        resource = self._endpoints
        resource.used[endpoint_id] -= 1
        group = self._group_of.get(endpoint_id)
        if group is None or not resource.granted.get(endpoint_id):
            return
        if self._group_held[group] > self._group_targets.get(
            group, self._usable_slots
        ):
            resource.granted[endpoint_id] -= 1
            self._group_held[group] -= 1
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
        """Removes a task from the counts of its team and kind."""
        self._teams.used[team] -= 1
        self._kinds.used[kind] -= 1

    def held_endpoints(self) -> dict[str, demands.SlotCount]:
        """Returns the slots of each endpoint that other entries may not use."""
        used = self._endpoints.used
        return {
            name: demands.SlotCount(
                name, max(self.endpoint_limit(name), used[name])
            )
            for name in self._endpoints.capacities
        }

    def held_teams(self) -> dict[str, demands.SlotCount]:
        """Returns held team quotas that may differ from the fixed share."""
        return self._held_quotas(self._teams)

    def held_kinds(self) -> dict[str, demands.SlotCount]:
        """Returns held kind ceilings that may differ from the fixed share."""
        return self._held_quotas(self._kinds)

    def _endpoint_limits(self) -> dict[str, int]:
        return {
            name: self.endpoint_limit(name)
            for name in self._endpoints.capacities
        }

    def _held_quotas(
        self, resource: SharedResource
    ) -> dict[str, demands.SlotCount]:
        """Returns the slots held where they may differ from the fixed share.

        A lent part counts as held, because it returns here without a message,
        and so does what has been granted since.
        """
        held = {}
        decided = resource.granted.keys() | resource.lent.keys()
        for name in decided | resource.used.keys():
            if name not in resource.capacities:
                continue
            fixed_share = self._fixed_share(resource, name)
            limit = self._quota(resource, name)
            if name in resource.lent:
                # The limits that hold once the loan is over.
                limit = max(fixed_share, resource.granted.get(name, 0))
            count = max(limit, resource.used[name])
            if count != fixed_share or name in decided:
                held[name] = demands.SlotCount(name, count)
        return held

    def _quota(self, resource: SharedResource, name: str) -> int:
        capacity = resource.capacities.get(name, 0)
        limit = resource.granted.get(name)
        if limit is None:
            limit = self._fixed_share(resource, name)
        lent_limit = resource.lent.get(name, limit)
        return min(limit, lent_limit, capacity)

    def _end_loans(self) -> None:
        """Returns quotas to the fixed share, lent ones after their time."""
        self._loans_end_at = max(self._loans_end_at, self._lent_until)
        for resource in (self._teams, self._kinds):
            for name, count in resource.granted.items():
                if count < self._fixed_share(resource, name):
                    resource.lent[name] = min(
                        count, resource.lent.get(name, count)
                    )
            resource.granted.clear()

    def _fixed_share(self, resource: SharedResource, name: str) -> int:
        fixed_share = resource.fixed_shares.get(name)
        if fixed_share is None:
            fixed_share = resource.fixed_shares[name] = rank.fixed_share(
                name,
                resource.capacities.get(name, 0),
                entries=self._entry_count,
                position=self._position,
            )
        return fixed_share

    def _return_free_slots(self) -> None:
        """Returns free slots above the target of each endpoint group."""
        resource = self._endpoints
        for group, target in self._group_targets.items():
            excess = self._group_held[group] - target
            for name in self._group_members.get(group, ()):
                if excess <= 0:
                    break
                free = resource.granted.get(name, 0) - resource.used[name]
                returned = max(0, min(free, excess))
                if returned:
                    resource.granted[name] -= returned
                    self._group_held[group] -= returned
                    self._usable_slots -= returned
                    self._slots_returned += returned
                    excess -= returned

    def _update_totals(self) -> None:
        self._group_held.clear()
        for name, group in self._group_of.items():
            self._group_held[group] += self.endpoint_limit(name)
        self._usable_slots = self._group_held.total()
