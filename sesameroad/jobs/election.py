"""Which instance is the steward of the endpoints of a data centre."""

from collections.abc import Iterable
import dataclasses

import xxhash

from sesameroad.scheduling import rank

# Tokens rise with the time of day, so that a fleet that has lost everything
# supersedes its predecessor without asking the store. Steps of 0.1 s are finer
# than any succession of stewards; the lower bits tell instances apart. A token
# stays below 2**53, which every JSON decoder reads exactly.
_TOKEN_STEP_MS = 100
_TOKEN_INSTANCES = 1 << 18


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A live instance, as far as the choice of a steward is concerned."""

    id: str
    data_centre: str
    leaving: bool = False
    slow: bool = False


def candidate(data_centre: str, members: Iterable[Member]) -> str:
    """Returns who should claim a data centre without a steward, "" if nobody.

    Instances of the data centre come first; others take its endpoints only if
    none is left, because their orders cross data centres.
    """
    able = [member for member in members if not member.leaving]
    local = [m.id for m in able if m.data_centre == data_centre]
    ranked = rank.order(data_centre, local or [m.id for m in able])
    return ranked[0] if ranked else ""


def first(members: Iterable[Member]) -> str:
    """Returns who should claim all data centres, "" if nobody.

    A slow instance would hold up all jobs, and is chosen only among slow ones.
    """
    able = [member for member in members if not member.leaving]
    fast = [member.id for member in able if not member.slow]
    ranked = rank.order("", fast or [member.id for member in able])
    return ranked[0] if ranked else ""


def steps_above(token: int, steps: int) -> int:
    """Returns a token that is a number of steps above another."""
    return token + steps * _TOKEN_INSTANCES


def new_token(
    instance_id: str, *, wall_ms: int, above: Iterable[int] = ()
) -> int:
    """Returns a token above all given ones, which no other instance draws.

    Args:
        instance_id: Instance that draws it.
        wall_ms: Time of day.
        above: Tokens known to be in use.
    """
    highest = max(above, default=0)
    step = max(wall_ms // _TOKEN_STEP_MS, highest // _TOKEN_INSTANCES + 1)
    suffix = xxhash.xxh3_64_intdigest(instance_id.encode()) % _TOKEN_INSTANCES
    return step * _TOKEN_INSTANCES + suffix
