"""Divides the slots and quotas of a data centre among its entries."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from sesameroad.configuration import document
from sesameroad.model import demands
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.scheduling import entry_state
from sesameroad.scheduling import fair_share
from sesameroad.scheduling import quota_division
from sesameroad.scheduling import quota_lease
from sesameroad.scheduling import rank

# Four renewals in a row can be lost before an allocation expires.
RENEW_S = 0.3
# Spare slots are divided by recent peak demand, so that an entry with bursts has
# free slots without having to ask for them.
_PEAK_DECAY_S = 1.0
# While no task waits, targets change only when an entry has less than this
# fraction of its spare slots left, because exact targets change with each task
# and cost messages. While a task waits, targets are exact: a target that is kept
# could leave the task without the slots that it can use.
_MIN_SPARE_FRACTION = 0.5
# Guarantees follow demand, which changes with each task. While no task waits for
# a slot, they are sent at most once in this period.
_MIN_GUARANTEE_GAP_S = 0.1


class Allocator:
    """Grants slots and quotas to entries, from the demand that they report.

    The state is not stored; a new allocator rebuilds it from reports. A slot or
    a part of a quota counts as held by an entry until a report of that entry
    says otherwise, and only what no entry holds is granted.
    """

    __slots__ = (
        "_decided_at",
        "_document",
        "_endpoints",
        "_groups",
        "_members",
        "_started_at",
        "_starting",
        "_states",
    )

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        # Whether entries may still hold slots that a previous allocator granted.
        self._starting = True
        self._decided_at = now
        self._document = document.Document()
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._groups: dict[str, list[endpoints.Endpoint]] = {}
        self._members: tuple[str, ...] = ()
        self._states: dict[str, entry_state.EntryState] = {}

    def configure(
        self,
        *,
        content: document.Document,
        live: Iterable[endpoints.Endpoint],
        members: Iterable[str],
        reachable: Iterable[str],
        now: float,
    ) -> None:
        """Sets the resources to divide and the entries that share them.

        Args:
            content: The current configuration.
            live: Endpoints that accept new work.
            members: Entries of the data centre in rank order. Those that are not
                reachable keep their fixed share of quotas.
            reachable: Entries from which reports can arrive.
            now: Monotonic time in seconds.
        """
        self._document = content
        self._endpoints = {endpoint.id: endpoint for endpoint in live}
        self._groups = {}
        for endpoint in self._endpoints.values():
            self._groups.setdefault(endpoint.group, []).append(endpoint)
        self._members = tuple(members)
        reachable_entries = set(reachable)
        for position, entry in enumerate(self._members):
            state = self._states.get(entry)
            if state is None and entry in reachable_entries:
                state = self._states[entry] = entry_state.EntryState(position)
            if state is None:
                continue
            state.position = position
            if entry in reachable_entries:
                state.unreachable_since = None
            elif state.unreachable_since is None:
                state.unreachable_since = now
        for entry in self._states.keys() - set(self._members):
            del self._states[entry]

    def receive(
        self, entry: str, report: demands.Demand, *, now: float
    ) -> demands.Allocation | None:
        """Records a report.

        Returns:
            A request to open a new session if a report is missing, else None.
        """
        state = self._states.get(entry)
        if state is None:
            return None
        if report.number == 1:
            state = self._states[entry] = entry_state.EntryState(
                state.position,
                session=report.session,
                peak_demand=state.peak_demand,
                confirmed_at=state.confirmed_at,
            )
        elif (
            report.session != state.session
            or report.number != state.report_number + 1
        ):
            return demands.Allocation(
                0, (), (), (), 0, session=report.session, restart=True
            )
        state.report_number = report.number
        state.reported_at = now
        for lane in report.lanes:
            name = (lane.kind, lane.team, lane.need)
            if lane.running or lane.queued:
                state.lanes[name] = lane
            else:
                state.lanes.pop(name, None)
        confirmed_at = state.sent_epochs.confirm(report.epoch)
        if confirmed_at is not None:
            state.confirmed_at = confirmed_at
        for epoch, limits in state.unconfirmed:
            if epoch <= report.epoch:
                for held, confirmed in zip(state.held, limits, strict=True):
                    held.update(confirmed)
        for held, counts in zip(
            state.held, (report.held, report.teams, report.kinds), strict=True
        ):
            held.update((count.name, count.count) for count in counts)
        state.unconfirmed = [
            p for p in state.unconfirmed if p[0] > report.epoch
        ]
        return None

    def decide(self, *, now: float) -> dict[str, demands.Allocation]:
        """Returns the allocations to send now."""
        for entry, state in tuple(self._states.items()):
            if (
                state.unreachable_since is not None
                and now - state.unreachable_since >= quota_lease.BORROWED_S
            ):
                del self._states[entry]
        active = {
            entry: state
            for entry, state in self._states.items()
            if state.unreachable_since is None
            and state.session
            and now - state.reported_at < quota_lease.VALID_S
        }
        if now - self._started_at >= quota_lease.VALID_S or len(active) == len(
            self._members
        ):
            self._starting = False
        if self._starting:
            # Entries that have not reported may still hold an allocation of the
            # previous allocator, which is known only once it has expired.
            return self._renewals(active, now)
        decay = math.exp((self._decided_at - now) / _PEAK_DECAY_S)
        self._decided_at = now
        for state in active.values():
            state.peak_demand = max(state.demand, state.peak_demand * decay)
        targets, guarantees = self._compute_targets(active)
        endpoints_by_entry = self._grant_slots(active, targets, now)
        operations = self._document.operations
        teams_by_entry = self._divide_quotas(
            active, entry_state.TEAMS, operations.team_quotas, now
        )
        kinds_by_entry = self._divide_quotas(
            active, entry_state.KINDS, operations.kind_ceilings, now
        )
        waiting = entry_state.has_waiting_tasks(active)
        messages = {}
        for entry, state in active.items():
            limits = (
                endpoints_by_entry[entry],
                teams_by_entry[entry],
                kinds_by_entry[entry],
            )
            new_targets = _differing(state.group_targets, targets[entry])
            new_guarantees = {}
            if (
                waiting
                or now - state.guarantees_sent_at >= _MIN_GUARANTEE_GAP_S
            ):
                new_guarantees = _differing(state.guarantees, guarantees[entry])
            urgent = any(limits) or new_targets
            if not urgent and now - state.sent_at < RENEW_S:
                continue
            _advance(state, now)
            state.group_targets.update(new_targets)
            if new_guarantees:
                state.guarantees_sent_at = now
                state.guarantees.update(new_guarantees)
            if any(limits):
                state.unconfirmed.append((state.epoch, limits))
            messages[entry] = demands.Allocation(
                state.epoch,
                *(
                    _slot_counts(limits[n])
                    for n in (
                        entry_state.ENDPOINTS,
                        entry_state.KINDS,
                        entry_state.TEAMS,
                    )
                ),
                valid_ms=int(quota_lease.VALID_S * 1_000),
                guarantees=_slot_counts(new_guarantees),
                pools=_slot_counts(new_targets),
                session=state.session,
                report=state.report_number,
            )
        return messages

    def _renewals(
        self, active: Mapping[str, entry_state.EntryState], now: float
    ) -> dict[str, demands.Allocation]:
        """Returns allocations that only extend the time of expiry."""
        messages = {}
        for entry, state in active.items():
            if now - state.sent_at < RENEW_S:
                continue
            _advance(state, now)
            messages[entry] = demands.Allocation(
                state.epoch,
                (),
                (),
                (),
                int(quota_lease.VALID_S * 1_000),
                session=state.session,
                report=state.report_number,
            )
        return messages

    def _compute_targets(
        self, active: Mapping[str, entry_state.EntryState]
    ) -> tuple[dict[str, dict[str, int]], dict[str, dict[str, int]]]:
        """Returns targets by entry and group, guarantees by entry and kind."""
        kinds = self._document.product.kinds
        ceilings = self._document.operations.kind_ceilings
        capacity = sum(e.slots for e in self._endpoints.values())
        wants: dict[str, float] = collections.defaultdict(float)
        for state in active.values():
            for (kind, _, _), lane in state.lanes.items():
                if kind:
                    wants[kind] += lane.running + lane.queued
        capped = {
            kind: min(want, ceilings.get(kind, math.inf))
            for kind, want in wants.items()
        }
        shares = {name: kind.share for name, kind in kinds.items()}
        slots_by_kind = fair_share.kind_slots(
            capacity,
            capped,
            shares,
            {name: kind.urgency for name, kind in kinds.items()},
        )
        amounts: dict[tuple[str, str, needs.Need], float] = {}
        wants_by_entry: dict[str, dict[str, float]] = {}
        for entry, state in active.items():
            wants_by_entry[entry] = collections.defaultdict(float)
            for (kind, _, need), lane in state.lanes.items():
                if kind:
                    want = lane.running + lane.queued
                    amounts[entry, kind, need] = (
                        slots_by_kind[kind] * want / wants[kind]
                    )
                    wants_by_entry[entry][kind] += want
        total_share = sum(shares.values()) or 1.0
        guaranteed = {
            kind: capacity * share / total_share
            for kind, share in shares.items()
        }
        return self._divide_groups(active, amounts), fair_share.guarantees(
            wants_by_entry, wants, guaranteed
        )

    def _divide_groups(
        self,
        active: Mapping[str, entry_state.EntryState],
        amounts: Mapping[tuple[str, str, needs.Need], float],
    ) -> dict[str, dict[str, int]]:
        """Returns the target of each entry in each endpoint group.

        Demand is assigned to the groups that accept it. The slots that remain
        are divided by recent peak demand.
        """
        remaining = {
            name: float(sum(e.slots for e in members))
            for name, members in self._groups.items()
        }
        accepting = {
            (kind, need): [
                name
                for name, members in self._groups.items()
                if members[0].accepts(kind, need)
            ]
            for _, kind, need in amounts
        }
        assigned: dict[str, dict[str, float]] = {
            name: dict.fromkeys(active, 0.0) for name in self._groups
        }
        # Demand that fits the fewest groups is assigned first.
        lanes_by_groups: dict[
            tuple[str, ...], dict[tuple[str, str, needs.Need], float]
        ]
        lanes_by_groups = collections.defaultdict(dict)
        for lane, amount in amounts.items():
            lanes_by_groups[tuple(accepting[lane[1], lane[2]])][lane] = amount
        for groups in sorted(lanes_by_groups, key=len):
            lane_amounts = lanes_by_groups[groups]
            total = sum(lane_amounts.values())
            room = sum(remaining[name] for name in groups)
            if total <= 0 or room <= 0:
                continue
            fraction = min(1.0, room / total)
            remaining_before = {name: remaining[name] for name in groups}
            for (entry, _, _), amount in lane_amounts.items():
                for name in groups:
                    added = amount * fraction * remaining_before[name] / room
                    assigned[name][entry] += added
                    remaining[name] -= added
        spare_weight = {
            entry: math.sqrt(state.peak_demand + 1.0)
            for entry, state in active.items()
        }
        total_weight = sum(spare_weight.values())
        targets: dict[str, dict[str, int]] = {entry: {} for entry in active}
        for name, members in self._groups.items():
            slots = sum(e.slots for e in members)
            shares = {
                entry: (
                    amount
                    + max(0.0, remaining[name])
                    * spare_weight[entry]
                    / total_weight
                )
                for entry, amount in assigned[name].items()
            }
            current = {
                entry: state.group_targets.get(name, 0)
                for entry, state in active.items()
            }
            waiting = entry_state.has_waiting_tasks(active)
            if (
                waiting
                or sum(current.values()) != slots
                or any(
                    current[entry]
                    < amount + (shares[entry] - amount) * _MIN_SPARE_FRACTION
                    for entry, amount in assigned[name].items()
                )
            ):
                current = fair_share.apportion(slots, shares)
            for entry, count in current.items():
                targets[entry][name] = count
        return targets

    def _grant_slots(
        self,
        active: Mapping[str, entry_state.EntryState],
        targets: Mapping[str, Mapping[str, int]],
        now: float,
    ) -> dict[str, dict[str, int]]:
        """Grants free slots to entries that hold fewer slots than their target.

        Returns:
            The raised limits by entry and endpoint.
        """
        held = {
            entry: self._held_slots(state, entry_state.ENDPOINTS, now)
            for entry, state in self._states.items()
        }
        raised: dict[str, dict[str, int]] = {entry: {} for entry in active}
        for name, members in self._groups.items():
            free = {
                e.id: e.slots - sum(h[e.id] for h in held.values())
                for e in members
            }
            missing = {
                entry: (
                    targets[entry][name]
                    - sum(held[entry][e.id] for e in members)
                )
                for entry in active
            }
            missing = {e: count for e, count in missing.items() if count > 0}
            available = sum(count for count in free.values() if count > 0)
            if not available or not missing:
                continue
            fraction = min(1.0, available / sum(missing.values()))
            counts = fair_share.apportion(
                available,
                {entry: count * fraction for entry, count in missing.items()},
            )
            for entry, count in counts.items():
                entry_held = held[entry]
                for _ in range(count):
                    best = max(free, key=lambda e: (free[e], -entry_held[e]))  # noqa: B023
                    if free[best] <= 0:
                        break
                    free[best] -= 1
                    entry_held[best] += 1
                    raised[entry][best] = entry_held[best]
        return raised

    def _divide_quotas(
        self,
        active: Mapping[str, entry_state.EntryState],
        resource: int,
        capacities: Mapping[str, int],
        now: float,
    ) -> dict[str, dict[str, int]]:
        """Returns the limits of quotas to change, by entry and name."""
        return quota_division.QuotaDivision(
            resource, capacities, self._members, self._states, now
        ).divide(active)

    def _held_slots(
        self, state: entry_state.EntryState, resource: int, now: float
    ) -> collections.Counter[str]:
        """Returns the slots of each endpoint that an entry may be using."""
        if (
            state.unreachable_since is not None
            and now - state.unreachable_since >= quota_lease.VALID_S
        ):
            return collections.Counter()
        if not state.session or now - state.reported_at >= quota_lease.VALID_S:
            return collections.Counter(
                {
                    name: max(
                        1,
                        self._fixed_share(name, endpoint.slots, state.position),
                    )
                    for name, endpoint in self._endpoints.items()
                }
            )
        held = collections.Counter(state.held[resource])
        for name, endpoint in self._endpoints.items():
            if name not in held:
                held[name] = max(
                    1, self._fixed_share(name, endpoint.slots, state.position)
                )
        for _, limits in state.unconfirmed:
            for name, count in limits[resource].items():
                held[name] = max(held[name], count)
        return held

    def _fixed_share(self, name: str, capacity: int, position: int) -> int:
        return rank.fixed_share(
            name, capacity, entries=len(self._members), position=position
        )


def _advance(state: entry_state.EntryState, now: float) -> None:
    """Begins the next epoch of an entry, whose allocation is sent now."""
    state.epoch += 1
    state.sent_at = now
    state.sent_epochs.record(state.epoch, now)


def _differing(
    known: Mapping[str, int], new: Mapping[str, int]
) -> dict[str, int]:
    return {
        name: count for name, count in new.items() if known.get(name) != count
    }


def _slot_counts(limits: Mapping[str, int]) -> tuple[demands.SlotCount, ...]:
    return tuple(
        demands.SlotCount(name, count) for name, count in limits.items()
    )
