"""Divides team quotas and kind ceilings among the entries of a data centre."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from sesameroad.scheduling import entry_state
from sesameroad.scheduling import fair_share
from sesameroad.scheduling import quota_lease
from sesameroad.scheduling import rank


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaDivision:
    """Divides one kind of limit, by the bounds that `quota_lease` states.

    Attributes:
        resource: The limits to divide: `entry_state.TEAMS` or `KINDS`.
        capacities: Quota of each team, or ceiling of each kind.
        members: Entries of the data centre in rank order.
        states: States of the entries that have reported.
        now: Monotonic time in seconds.
    """

    resource: int
    capacities: Mapping[str, int]
    members: Sequence[str]
    states: Mapping[str, entry_state.EntryState]
    now: float

    def divide(
        self, active: Mapping[str, entry_state.EntryState]
    ) -> dict[str, dict[str, int]]:
        """Divides the quotas whose fixed shares are too small.

        Args:
            active: States of the entries that get an allocation.

        Returns:
            The changed limits by entry and name.
        """
        changed: dict[str, dict[str, int]] = {entry: {} for entry in active}
        wants = self._wants(active)
        divided = {
            name
            for state in self.states.values()
            for name in state.held[self.resource]
            if name in self.capacities
        }
        for name in wants.keys() | divided:
            limits = self._limits(name, active, wants.get(name, {}))
            for entry, limit in limits.items():
                changed[entry][name] = limit
                active[entry].limits_sent[self.resource][name] = limit
        return changed

    def _wants(
        self, active: Mapping[str, entry_state.EntryState]
    ) -> dict[str, dict[str, int]]:
        """Returns the slots that entries want, by name and entry."""
        wants: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for entry, state in active.items():
            for (kind, team, _), lane in state.lanes.items():
                name = team if self.resource == entry_state.TEAMS else kind
                if name in self.capacities and bool(kind) == (
                    self.resource == entry_state.KINDS
                ):
                    wants[name][entry] = (
                        wants[name].get(entry, 0) + lane.running + lane.queued
                    )
        return wants

    def _limits(
        self,
        name: str,
        active: Mapping[str, entry_state.EntryState],
        wants: Mapping[str, int],
    ) -> dict[str, int]:
        """Returns the limits of one quota that change, by entry."""
        held = {
            entry: self._held(state, name)
            for entry, state in self.states.items()
        }
        held_by_absent = sum(
            self._fixed_share(name, position)
            for position, entry in enumerate(self.members)
            if entry not in self.states
        )
        free = self.capacities[name] - held_by_absent - sum(held.values())
        lenders = {
            entry: state
            for entry, state in active.items()
            if is_counted_on(state, self.now)
        }
        if free >= 0 and all(
            wants.get(entry, 0) <= held[entry] for entry in lenders
        ):
            return {}
        targets = self._targets(name, lenders, wants, held, held_by_absent)
        if free < 0:
            # Entries that may not keep to a lower limit lend nothing, but must
            # not go on borrowing either.
            for entry, state in active.items():
                fixed_share = self._fixed_share(name, state.position)
                if entry not in lenders and held[entry] > fixed_share:
                    targets[entry] = fixed_share
        limits = {}
        for entry, target in sorted(
            targets.items(), key=lambda pair: pair[1] - held[pair[0]]
        ):
            sent = active[entry].limits_sent[self.resource]
            if free >= 0:
                limit = min(target, held[entry] + free)
                free -= max(0, limit - held[entry])
            else:
                # An entry may hold more than its limit, by running tasks and
                # lent parts. While more than the quota is held, no limit is
                # raised, not even to what its entry holds.
                limit = min(target, held[entry], sent.get(name, target))
            if limit != sent.get(name, held[entry]):
                limits[entry] = limit
        return limits

    def _targets(
        self,
        name: str,
        lenders: Mapping[str, entry_state.EntryState],
        wants: Mapping[str, int],
        held: Mapping[str, int],
        held_by_absent: int,
    ) -> dict[str, int]:
        """Divides what no other entry holds among the lenders."""
        if not lenders:
            return {}
        held_by_others = sum(
            held[entry] for entry in self.states if entry not in lenders
        )
        return fair_share.quota_targets(
            max(0, self.capacities[name] - held_by_absent - held_by_others),
            {entry: wants.get(entry, 0) for entry in lenders},
            {
                entry: state.limits_sent[self.resource].get(name, held[entry])
                for entry, state in lenders.items()
            },
        )

    def _held(self, state: entry_state.EntryState, name: str) -> int:
        """Returns the slots of a quota that an entry may be using."""
        fixed_share = self._fixed_share(name, state.position)
        held = max(
            state.held[self.resource].get(name, fixed_share),
            *(
                limits[self.resource].get(name, 0)
                for _, limits in state.unconfirmed
            ),
            0,
        )
        if is_counted_on(state, self.now):
            return held
        # Its limit may return to the fixed share without a message.
        if self.now - state.reported_at < quota_lease.BORROWED_S:
            return max(held, fixed_share)
        return fixed_share

    def _fixed_share(self, name: str, position: int) -> int:
        return rank.fixed_share(
            name,
            self.capacities[name],
            entries=len(self.members),
            position=position,
        )


def is_counted_on(state: entry_state.EntryState, now: float) -> bool:
    """Returns whether an entry keeps to a limit below its fixed share."""
    return (
        state.unreachable_since is None
        and now - state.confirmed_at < quota_lease.VALID_S
    )
