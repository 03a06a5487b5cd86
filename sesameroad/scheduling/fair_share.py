"""Arithmetic for dividing slots by weight, urgency and demand."""

from collections.abc import Hashable
from collections.abc import Mapping
import math
from typing import TypeVar

_Name = TypeVar("_Name", bound=Hashable)


def water_fill(
    capacity: float,
    wants: Mapping[_Name, float],
    weights: Mapping[_Name, float],
) -> dict[_Name, float]:
    """Divides a capacity by weight, giving no name more than it wants.

    Args:
        capacity: The amount to divide.
        wants: The most that each name may get.
        weights: Weight of each name in wants, above 0.
    """
    granted: dict[_Name, float] = {name: 0.0 for name in wants}
    # Names are served in ascending order of want per unit of weight. Each gets
    # what it wants, at most its weighted share of what is left.
    remaining = capacity
    remaining_weight = sum(weights[name] for name in wants)
    for name in sorted(wants, key=lambda n: wants[n] / weights[n]):
        level = remaining / remaining_weight if remaining_weight > 0 else 0.0
        granted[name] = min(wants[name], level * weights[name])
        remaining -= granted[name]
        remaining_weight -= weights[name]
    return granted


def apportion(total: int, amounts: Mapping[_Name, float]) -> dict[_Name, int]:
    """Rounds amounts to whole slots by largest remainder.

    The result adds up to the rounded sum of the amounts, or to the total if
    that is less.
    """
    rounded = {name: int(amount + 1e-9) for name, amount in amounts.items()}
    remaining = min(total, round(sum(amounts.values()))) - sum(rounded.values())
    order = sorted(
        amounts, key=lambda name: amounts[name] - rounded[name], reverse=True
    )
    for name in order[: max(0, remaining)]:
        rounded[name] += 1
    return rounded


def kind_slots(
    capacity: float,
    wants: Mapping[str, float],
    shares: Mapping[str, float],
    urgencies: Mapping[str, int],
) -> dict[str, float]:
    """Divides slots among kinds by share first, and the rest by urgency.

    Args:
        capacity: Number of slots in the data centre.
        wants: Slots that each kind can use within its ceiling and the team
            quotas.
        shares: Weight of every kind in the configuration.
        urgencies: Urgency of each kind; 0 is the most urgent.
    """
    weights = sum(shares.values())
    granted = {}
    remaining = capacity
    for kind, want in wants.items():
        share = shares.get(kind, 0.0)
        granted[kind] = (
            min(want, capacity * share / weights) if weights > 0 else 0.0
        )
        remaining -= granted[kind]
    for kind in sorted(wants, key=lambda k: urgencies.get(k, 0)):
        more = min(wants[kind] - granted[kind], max(0.0, remaining))
        granted[kind] += more
        remaining -= more
    return granted


def guarantees(
    wants_by_entry: Mapping[str, Mapping[str, float]],
    wants: Mapping[str, float],
    guaranteed: Mapping[str, float],
) -> dict[str, dict[str, int]]:
    """Divides the guaranteed slots of each kind among entries.

    Guaranteed slots that a kind can use now are rounded so that they fit into
    the slots of each entry and add up for each kind. If each number were rounded
    up, the least urgent kind would lose the excess of the others. Guaranteed
    slots that a kind cannot use yet are added on top, for tasks that arrive
    before the next allocation.

    Args:
        wants_by_entry: Wanted slots by entry and kind.
        wants: Wanted slots by kind.
        guaranteed: Guaranteed slots by kind.
    """
    remainder = dict.fromkeys(guaranteed, 0.0)
    guarantees_by_entry = {}
    for entry, by_kind in wants_by_entry.items():
        exact = {}
        unused = {}
        for kind, count in guaranteed.items():
            want = wants.get(kind, 0.0)
            fraction = (
                by_kind.get(kind, 0.0) / want
                if want
                else 1 / len(wants_by_entry)
            )
            exact[kind] = max(
                0.0, min(want, count) * fraction + remainder[kind]
            )
            unused[kind] = math.ceil(max(0.0, count - want) * fraction)
        total = math.ceil(sum(exact.values()))
        rounded = apportion(total, exact)
        for kind in guaranteed:
            remainder[kind] = exact[kind] - rounded[kind]
        guarantees_by_entry[entry] = {
            kind: rounded[kind] + unused[kind] for kind in guaranteed
        }
    return guarantees_by_entry


def quota_targets(
    capacity: int, wants: Mapping[str, int], limits: Mapping[str, int]
) -> dict[str, int]:
    """Divides a quota among entries.

    A quota that is too small for the demand is divided in proportion to demand.
    Otherwise a limit is raised only where it is below the demand, by an equal
    part of the surplus on top of the demand, and lowered where it exceeds the
    demand most. Slots that remain are divided equally. Other limits stay as they
    are, because each changed limit costs a message to its entry and a report
    back.

    Args:
        capacity: Number of slots to divide.
        wants: Slots wanted by entry.
        limits: Limits last sent by entry.
    """
    total = sum(wants.values())
    if total >= capacity:
        fraction = capacity / total if total else 0.0
        return apportion(
            capacity, {entry: want * fraction for entry, want in wants.items()}
        )
    surplus = (capacity - total) // len(wants)
    targets = {
        entry: limits[entry] if limits[entry] >= want else want + surplus
        for entry, want in wants.items()
    }
    unassigned = capacity - sum(targets.values())
    while unassigned < 0:
        entry_with_most = max(
            wants, key=lambda entry: targets[entry] - wants[entry]
        )
        targets[entry_with_most] -= 1
        unassigned += 1
    extra = apportion(unassigned, dict.fromkeys(wants, unassigned / len(wants)))
    return {entry: count + extra[entry] for entry, count in targets.items()}
