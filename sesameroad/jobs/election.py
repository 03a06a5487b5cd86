"""Selects the leader of a data centre and generates fencing tokens."""

from collections.abc import Iterable
import dataclasses

import xxhash

from sesameroad.scheduling import rank

# Tokens grow with wall time, so that a fleet that has lost all its state
# supersedes its predecessor without access to the store. A step of 0.1 s is
# shorter than any interval between two elections. The lower bits identify the
# instance. Tokens stay below 2**53, which every JSON decoder reads exactly.
_TOKEN_STEP_MS = 100
_TOKEN_INSTANCES = 1 << 18


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """The attributes of a live instance that matter in an election.

    Attributes:
        id: Instance id.
        data_centre: Data centre where it runs.
        leaving: Whether it is about to stop.
        slow: Whether it gets too little processor time to lead.
        processor_millicores: Processor time that a thread of it gets.
    """

    id: str
    data_centre: str
    leaving: bool = False
    slow: bool = False
    processor_millicores: int = 0


def candidate(data_centre: str, members: Iterable[Member]) -> str:
    """Returns the instance that should lead a data centre, "" if there is none.

    Instances outside the data centre are chosen only if it has none left,
    because their orders would cross data centres.
    """
    able = [member for member in members if not member.leaving]
    local = [member for member in able if member.data_centre == data_centre]
    return _best(data_centre, local or able)


def candidate_for_all(members: Iterable[Member]) -> str:
    """Returns the instance that should lead all data centres, "" if none.

    A slow instance would delay all jobs and is chosen only if all are slow.
    """
    return _best("", [member for member in members if not member.leaving])


def _best(name: str, members: list[Member]) -> str:
    """Returns the first of the instances with the most processor time.

    All orders to the endpoints pass through one thread of the leader. Slow
    instances come last, whatever they should get.
    """
    able = [member for member in members if not member.slow] or members
    most = max((member.processor_millicores for member in able), default=0)
    ranked = rank.order(
        name,
        [m.id for m in able if m.processor_millicores == most],
    )
    return ranked[0] if ranked else ""


def steps_above(token: int, steps: int) -> int:
    """Returns a token raised by a number of steps."""
    return token + steps * _TOKEN_INSTANCES


def new_token(
    instance_id: str, *, wall_ms: int, above: Iterable[int] = ()
) -> int:
    """Returns a token above all given ones, unique to the instance.

    Args:
        instance_id: Instance that will use the token.
        wall_ms: Wall time in milliseconds.
        above: Tokens known to be in use.
    """
    highest = max(above, default=0)
    step = max(wall_ms // _TOKEN_STEP_MS, highest // _TOKEN_INSTANCES + 1)
    suffix = xxhash.xxh3_64_intdigest(instance_id.encode()) % _TOKEN_INSTANCES
    return step * _TOKEN_INSTANCES + suffix
