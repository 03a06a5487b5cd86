"""Arithmetic of dividing slots."""

from collections.abc import Hashable
from collections.abc import Mapping
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
