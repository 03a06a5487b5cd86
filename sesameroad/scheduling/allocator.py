"""The allocator: divides the slots of a data centre among its entries."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from sesameroad.configuration import document
from sesameroad.model import demand as demands
from sesameroad.model import endpoint as endpoints
from sesameroad.model import need as needs
from sesameroad.scheduling import entry_state
from sesameroad.scheduling import fair_share
from sesameroad.scheduling import rank

VALID_S = 1.5
# Renewals leave room for four lost in a row before an allocation expires.
RENEW_S = 0.3
# An entry that is lost may use quotas it was granted until its allocation has
# expired, and for the tasks started by then; longer runs are not waited for.
_LOST_QUOTA_S = 3.0
# Demand of the recent past decides who gets spare slots, so that an entry with
# bursts finds some free without a message.
_PEAK_DECAY_S = 1.0
# While no kind waits, slots move when an entry has less than this part of its
# spare ones left. Exact targets change with each task and cost messages. Where a
# task waits, a fixed target can leave it with slots that it may not use.
_LEAST_SPARE = 0.5
# Guarantees follow demand, which changes with each task. While no kind waits for
# slots they need not be sent more often than this.
_GUARANTEE_GAP_S = 0.1


class Allocator:
    """Soft state of the allocator, rebuilt from reports after a change.

    A slot, or a part of a quota, counts as held by an entry until a report of
    that entry says otherwise; only what nobody holds is granted.
    """

    __slots__ = (
        "_began_at",
        "_decided_at",
        "_document",
        "_endpoints",
        "_members",
        "_pools",
        "_views",
    )

    def __init__(self, *, now: float) -> None:
        self._began_at = now
        self._decided_at = now
        self._document = document.Document()
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._pools: dict[str, list[endpoints.Endpoint]] = {}
        self._members: tuple[str, ...] = ()
        self._views: dict[str, entry_state.EntryState] = {}

    def configure(
        self,
        *,
        content: document.Document,
        live: Iterable[endpoints.Endpoint],
        members: Iterable[str],
        reachable: Iterable[str],
        now: float,
    ) -> None:
        """Sets what there is to divide, and among whom.

        Args:
            content: The configuration in force.
            live: Endpoints that get new work.
            members: Entries of the data centre in the order of rank. Those that
                are not reachable keep their fixed part of quotas.
            reachable: Entries that reports can come from.
            now: Monotonic seconds.
        """
        self._document = content
        self._endpoints = {endpoint.id: endpoint for endpoint in live}
        self._pools = {}
        for endpoint in self._endpoints.values():
            self._pools.setdefault(endpoint.group, []).append(endpoint)
        self._members = tuple(members)
        wanted = set(reachable)
        for place, entry in enumerate(self._members):
            view = self._views.get(entry)
            if view is None and entry in wanted:
                view = self._views[entry] = entry_state.EntryState(place)
            if view is None:
                continue
            view.place = place
            if entry in wanted:
                view.lost_at = None
            elif view.lost_at is None:
                view.lost_at = now
        for entry in self._views.keys() - set(self._members):
            del self._views[entry]

    def receive(
        self, entry: str, report: demands.Demand, *, now: float
    ) -> demands.Allocation | None:
        """Takes a report; returns a message if a whole report is needed."""
        view = self._views.get(entry)
        if view is None:
            return None
        if report.number == 1:
            view = self._views[entry] = entry_state.EntryState(
                view.place,
                session=report.session,
                peak=view.peak,
            )
        elif report.session != view.session or report.number != view.number + 1:
            return demands.Allocation(
                0, (), (), (), 0, session=report.session, restart=True
            )
        view.number = report.number
        view.reported_at = now
        for lane in report.lanes:
            name = (lane.kind, lane.team, lane.need)
            if lane.running or lane.queued:
                view.lanes[name] = lane
            else:
                view.lanes.pop(name, None)
        for epoch, limits in view.pending:
            if epoch <= report.epoch:
                for held, confirmed in zip(view.held, limits, strict=True):
                    held.update(confirmed)
        for held, counts in zip(
            view.held, (report.held, report.teams, report.kinds), strict=True
        ):
            held.update((count.name, count.count) for count in counts)
        view.pending = [p for p in view.pending if p[0] > report.epoch]
        return None

    def decide(self, *, now: float) -> dict[str, demands.Allocation]:
        """Returns the allocations to send now."""
        for entry, view in tuple(self._views.items()):
            if view.lost_at is not None and now - view.lost_at >= _LOST_QUOTA_S:
                del self._views[entry]
        active = {
            entry: view
            for entry, view in self._views.items()
            if view.lost_at is None
            and view.session
            and now - view.reported_at < VALID_S
        }
        if now - self._began_at < VALID_S and len(active) < len(self._members):
            # What an entry that has not reported holds of the previous
            # allocator's allocation is not known before that has expired.
            return self._renewals(active, now)
        decay = math.exp((self._decided_at - now) / _PEAK_DECAY_S)
        self._decided_at = now
        for view in active.values():
            view.peak = max(view.wants, view.peak * decay)
        targets, guarantees = self._targets(active)
        raised = self._raise_endpoints(active, targets, now)
        operations = self._document.operations
        teams = self._divide_quotas(
            active, entry_state.TEAMS, operations.team_quotas, now
        )
        kinds = self._divide_quotas(
            active, entry_state.KINDS, operations.kind_ceilings, now
        )
        waiting = entry_state.kind_waits(active)
        messages = {}
        for entry, view in active.items():
            limits = (raised[entry], teams[entry], kinds[entry])
            pools = _changed(view.pools, targets[entry])
            sure = {}
            if waiting or now - view.guaranteed_at >= _GUARANTEE_GAP_S:
                sure = _changed(view.guarantees, guarantees[entry])
            urgent = any(limits) or pools
            if not urgent and now - view.sent_at < RENEW_S:
                continue
            view.epoch += 1
            view.sent_at = now
            view.pools.update(pools)
            if sure:
                view.guaranteed_at = now
                view.guarantees.update(sure)
            if any(limits):
                view.pending.append((view.epoch, limits))
            messages[entry] = demands.Allocation(
                view.epoch,
                *(
                    _counts(limits[n])
                    for n in (
                        entry_state.ENDPOINTS,
                        entry_state.KINDS,
                        entry_state.TEAMS,
                    )
                ),
                valid_ms=int(VALID_S * 1_000),
                guarantees=_counts(sure),
                pools=_counts(pools),
                session=view.session,
            )
        return messages

    def _renewals(
        self, active: Mapping[str, entry_state.EntryState], now: float
    ) -> dict[str, demands.Allocation]:
        """Returns allocations that change nothing but the time of expiry."""
        messages = {}
        for entry, view in active.items():
            if now - view.sent_at < RENEW_S:
                continue
            view.epoch += 1
            view.sent_at = now
            messages[entry] = demands.Allocation(
                view.epoch,
                (),
                (),
                (),
                int(VALID_S * 1_000),
                session=view.session,
            )
        return messages

    def _targets(
        self, active: Mapping[str, entry_state.EntryState]
    ) -> tuple[dict[str, dict[str, int]], dict[str, dict[str, int]]]:
        """Returns slots by entry and pool, and guarantees by entry and kind."""
        kinds = self._document.product.kinds
        ceilings = self._document.operations.kind_ceilings
        capacity = sum(e.slots for e in self._endpoints.values())
        wants: dict[str, float] = collections.defaultdict(float)
        for view in active.values():
            for (kind, _, _), lane in view.lanes.items():
                if kind:
                    wants[kind] += lane.running + lane.queued
        capped = {
            kind: min(want, ceilings.get(kind, math.inf))
            for kind, want in wants.items()
        }
        shares = {name: kind.share for name, kind in kinds.items()}
        given = fair_share.kind_slots(
            capacity,
            capped,
            shares,
            {name: kind.urgency for name, kind in kinds.items()},
        )
        amounts: dict[tuple[str, str, needs.Need], float] = {}
        own: dict[str, dict[str, float]] = {}
        for entry, view in active.items():
            own[entry] = collections.defaultdict(float)
            for (kind, _, need), lane in view.lanes.items():
                if kind:
                    want = lane.running + lane.queued
                    amounts[entry, kind, need] = (
                        given[kind] * want / wants[kind]
                    )
                    own[entry][kind] += want
        weights = sum(shares.values()) or 1.0
        sure = {
            kind: capacity * share / weights for kind, share in shares.items()
        }
        return self._fill_pools(active, amounts), fair_share.guarantees(
            own, wants, sure
        )

    def _fill_pools(
        self,
        active: Mapping[str, entry_state.EntryState],
        amounts: Mapping[tuple[str, str, needs.Need], float],
    ) -> dict[str, dict[str, int]]:
        """Places amounts on the pools that accept them, then divides the rest."""
        left = {
            name: float(sum(e.slots for e in members))
            for name, members in self._pools.items()
        }
        fits = {
            (kind, need): [
                name
                for name, members in self._pools.items()
                if members[0].accepts(kind, need)
            ]
            for _, kind, need in amounts
        }
        wanted: dict[str, dict[str, float]] = {
            name: dict.fromkeys(active, 0.0) for name in self._pools
        }
        # Those with the fewest choices go first.
        by_choices: dict[
            tuple[str, ...], dict[tuple[str, str, needs.Need], float]
        ]
        by_choices = collections.defaultdict(dict)
        for unit, amount in amounts.items():
            by_choices[tuple(fits[unit[1], unit[2]])][unit] = amount
        for choices in sorted(by_choices, key=len):
            units = by_choices[choices]
            total = sum(units.values())
            room = sum(left[name] for name in choices)
            if total <= 0 or room <= 0:
                continue
            part = min(1.0, room / total)
            before = {name: left[name] for name in choices}
            for (entry, _, _), amount in units.items():
                for name in choices:
                    more = amount * part * before[name] / room
                    wanted[name][entry] += more
                    left[name] -= more
        spare = {
            entry: math.sqrt(view.peak + 1.0) for entry, view in active.items()
        }
        whole = sum(spare.values())
        targets: dict[str, dict[str, int]] = {entry: {} for entry in active}
        for name, members in self._pools.items():
            slots = sum(e.slots for e in members)
            shares = {
                entry: amount + max(0.0, left[name]) * spare[entry] / whole
                for entry, amount in wanted[name].items()
            }
            sent = {
                entry: view.pools.get(name, 0) for entry, view in active.items()
            }
            waiting = entry_state.kind_waits(active)
            if (
                waiting
                or sum(sent.values()) != slots
                or any(
                    sent[entry]
                    < amount + (shares[entry] - amount) * _LEAST_SPARE
                    for entry, amount in wanted[name].items()
                )
            ):
                sent = fair_share.apportion(slots, shares)
            for entry, count in sent.items():
                targets[entry][name] = count
        return targets

    def _raise_endpoints(
        self,
        active: Mapping[str, entry_state.EntryState],
        targets: Mapping[str, Mapping[str, int]],
        now: float,
    ) -> dict[str, dict[str, int]]:
        """Grants free slots to entries that hold fewer than their target."""
        held = {
            entry: self._held(view, entry_state.ENDPOINTS, now)
            for entry, view in self._views.items()
        }
        raised: dict[str, dict[str, int]] = {entry: {} for entry in active}
        for name, members in self._pools.items():
            free = {
                e.id: e.slots - sum(h[e.id] for h in held.values())
                for e in members
            }
            lacking = {
                entry: (
                    targets[entry][name]
                    - sum(held[entry][e.id] for e in members)
                )
                for entry in active
            }
            lacking = {e: count for e, count in lacking.items() if count > 0}
            available = sum(count for count in free.values() if count > 0)
            if not available or not lacking:
                continue
            portion = min(1.0, available / sum(lacking.values()))
            counts = fair_share.apportion(
                available,
                {entry: count * portion for entry, count in lacking.items()},
            )
            for entry, count in counts.items():
                own = held[entry]
                for _ in range(count):
                    best = max(free, key=lambda e: (free[e], -own[e]))  # noqa: B023
                    if free[best] <= 0:
                        break
                    free[best] -= 1
                    own[best] += 1
                    raised[entry][best] = own[best]
        return raised

    def _divide_quotas(
        self,
        active: Mapping[str, entry_state.EntryState],
        resource: int,
        capacities: Mapping[str, int],
        now: float,
    ) -> dict[str, dict[str, int]]:
        """Returns changed limits of teams or kinds whose fixed part is short."""
        wants: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for entry, view in active.items():
            for (kind, team, _), lane in view.lanes.items():
                name = team if resource == entry_state.TEAMS else kind
                if name in capacities and bool(kind) == (
                    resource == entry_state.KINDS
                ):
                    wants[name][entry] = (
                        wants[name].get(entry, 0) + lane.running + lane.queued
                    )
        changed: dict[str, dict[str, int]] = {entry: {} for entry in active}
        if not active:
            return changed
        divided = {
            name
            for view in self._views.values()
            for name in view.held[resource]
            if name in capacities
        }
        for name in wants.keys() | divided:
            by_entry = wants.get(name, {})
            capacity = capacities[name]
            held = {
                entry: self._quota_held(view, resource, name, now)
                for entry, view in self._views.items()
            }
            absent = sum(
                rank.fixed_share(
                    name, capacity, entries=len(self._members), place=place
                )
                for place, entry in enumerate(self._members)
                if entry not in self._views
            )
            free = capacity - absent - sum(held.values())
            if free >= 0 and all(by_entry.get(e, 0) <= held[e] for e in active):
                continue
            silent = sum(held[e] for e in self._views if e not in active)
            targets = fair_share.quota_targets(
                max(0, capacity - absent - silent),
                {entry: by_entry.get(entry, 0) for entry in active},
                {
                    entry: view.sent[resource].get(name, held[entry])
                    for entry, view in active.items()
                },
            )
            for entry, target in sorted(
                targets.items(), key=lambda pair: pair[1] - held[pair[0]]
            ):
                grant = min(target, held[entry] + max(0, free))
                free -= max(0, grant - held[entry])
                sent = active[entry].sent[resource]
                if grant != sent.get(name, held[entry]):
                    changed[entry][name] = grant
                    sent[name] = grant
        return changed

    def _held(
        self, view: entry_state.EntryState, resource: int, now: float
    ) -> collections.Counter[str]:
        """Returns what an entry may be using of the endpoints."""
        if view.lost_at is not None and now - view.lost_at >= VALID_S:
            return collections.Counter()
        if not view.session or now - view.reported_at >= VALID_S:
            return collections.Counter(
                {
                    name: max(1, self._part(name, endpoint.slots, view.place))
                    for name, endpoint in self._endpoints.items()
                }
            )
        held = collections.Counter(view.held[resource])
        for name, endpoint in self._endpoints.items():
            if name not in held:
                held[name] = max(
                    1, self._part(name, endpoint.slots, view.place)
                )
        for _, limits in view.pending:
            for name, count in limits[resource].items():
                held[name] = max(held[name], count)
        return held

    def _quota_held(
        self, view: entry_state.EntryState, resource: int, name: str, now: float
    ) -> int:
        operations = self._document.operations
        capacities = (
            operations.team_quotas
            if resource == entry_state.TEAMS
            else operations.kind_ceilings
        )
        part = self._part(name, capacities.get(name, 0), view.place)
        held = max(
            view.held[resource].get(name, part),
            *(limits[resource].get(name, 0) for _, limits in view.pending),
            0,
        )
        silent_s = now - view.reported_at
        if view.lost_at is None and silent_s < VALID_S:
            return held
        # Its limit may grow back to the fixed part without a message.
        return max(held, part) if silent_s < _LOST_QUOTA_S else part

    def _part(self, name: str, capacity: int, place: int) -> int:
        return rank.fixed_share(
            name, capacity, entries=len(self._members), place=place
        )


def _changed(
    known: Mapping[str, int], new: Mapping[str, int]
) -> dict[str, int]:
    return {
        name: count for name, count in new.items() if known.get(name) != count
    }


def _counts(limits: Mapping[str, int]) -> tuple[demands.SlotCount, ...]:
    return tuple(
        demands.SlotCount(name, count) for name, count in limits.items()
    )
