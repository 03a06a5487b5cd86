"""Arithmetic of dividing slots."""

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
    """Divides by weight what those that want more can use.

    Args:
        capacity: What is divided.
        wants: The most that each may get.
        weights: Weight of each name in wants, above 0.
    """
    given: dict[_Name, float] = {name: 0.0 for name in wants}
    # In order of want for each unit of weight, each gets its want or an equal
    # level of what is left.
    left = capacity
    weight_left = sum(weights[name] for name in wants)
    for name in sorted(wants, key=lambda n: wants[n] / weights[n]):
        level = left / weight_left if weight_left > 0 else 0.0
        given[name] = min(wants[name], level * weights[name])
        left -= given[name]
        weight_left -= weights[name]
    return given


def apportion(total: int, amounts: Mapping[_Name, float]) -> dict[_Name, int]:
    """Rounds amounts to whole slots by largest remainder.

    The result adds up to the rounded sum of the amounts, at most to the total.
    """
    whole = {name: int(amount + 1e-9) for name, amount in amounts.items()}
    left = min(total, round(sum(amounts.values()))) - sum(whole.values())
    order = sorted(
        amounts, key=lambda name: amounts[name] - whole[name], reverse=True
    )
    for name in order[: max(0, left)]:
        whole[name] += 1
    return whole


def kind_slots(
    capacity: float,
    wants: Mapping[str, float],
    shares: Mapping[str, float],
    urgencies: Mapping[str, int],
) -> dict[str, float]:
    """Divides slots among kinds: shares first, the rest by urgency.

    Args:
        capacity: Slots of the data centre.
        wants: Slots that each kind can use, ceilings and quotas applied.
        shares: Weight of every kind of the configuration.
        urgencies: Rank of each kind, 0 is the most urgent.
    """
    weights = sum(shares.values())
    given = {}
    left = capacity
    for kind, want in wants.items():
        share = shares.get(kind, 0.0)
        given[kind] = (
            min(want, capacity * share / weights) if weights > 0 else 0.0
        )
        left -= given[kind]
    for kind in sorted(wants, key=lambda k: urgencies.get(k, 0)):
        more = min(wants[kind] - given[kind], max(0.0, left))
        given[kind] += more
        left -= more
    return given


def guarantees(
    own: Mapping[str, Mapping[str, float]],
    wants: Mapping[str, float],
    sure: Mapping[str, float],
) -> dict[str, dict[str, int]]:
    """Divides the guaranteed slots of each kind among entries.

    What kinds can use now is rounded so that the guarantees fit into the slots
    of an entry and those of a kind add up: if each were rounded up, the least
    urgent kind would lose what the others have too much. What a kind cannot use
    yet is added on top, for tasks that arrive before the next allocation.

    Args:
        own: Wanted slots by entry and kind.
        wants: Wanted slots by kind.
        sure: Guaranteed slots by kind.
    """
    carry = dict.fromkeys(sure, 0.0)
    divided = {}
    for entry, by_kind in own.items():
        exact = {}
        unused = {}
        for kind, count in sure.items():
            want = wants.get(kind, 0.0)
            part = by_kind.get(kind, 0.0) / want if want else 1 / len(own)
            exact[kind] = max(0.0, min(want, count) * part + carry[kind])
            unused[kind] = math.ceil(max(0.0, count - want) * part)
        total = math.ceil(sum(exact.values()))
        whole = apportion(total, exact)
        for kind in sure:
            carry[kind] = exact[kind] - whole[kind]
        divided[entry] = {kind: whole[kind] + unused[kind] for kind in sure}
    return divided


def quota_targets(
    capacity: int, wants: Mapping[str, int], limits: Mapping[str, int]
) -> dict[str, int]:
    """Divides a quota: in proportion to demand if it is short.

    Otherwise only entries that lack some get more, with a part of what is over,
    and those give that have the most to spare. Each changed limit is a message
    to its entry and a report back.

    Args:
        capacity: Slots to divide.
        wants: Slots wanted by entry.
        limits: Limits last sent by entry.
    """
    total = sum(wants.values())
    if total >= capacity:
        portion = capacity / total if total else 0.0
        return apportion(
            capacity, {entry: want * portion for entry, want in wants.items()}
        )
    over = (capacity - total) // len(wants)
    targets = {
        entry: limits[entry] if limits[entry] >= want else want + over
        for entry, want in wants.items()
    }
    free = capacity - sum(targets.values())
    while free < 0:
        most = max(wants, key=lambda entry: targets[entry] - wants[entry])
        targets[most] -= 1
        free += 1
    spare = apportion(free, dict.fromkeys(wants, free / len(wants)))
    return {entry: count + spare[entry] for entry, count in targets.items()}
