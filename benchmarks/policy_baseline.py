"""Central schedulers without entries, messages or delays, to compare with."""

import heapq
import itertools

from benchmarks import policy_simulation
from sesameroad.configuration import document

Served = policy_simulation.Served


def central(
    trace: list[policy_simulation.Arrival],
    *,
    slots: int,
    content: document.Document | None = None,
) -> list[Served]:
    """Serves a trace from one queue over all slots, which never idles.

    Args:
        trace: Arrivals in order of time.
        slots: Slots of the data centre.
        content: Kinds whose urgency orders the queue; without it, first come is
            first served.
    """
    kinds = content.product.kinds if content else {}
    count = itertools.count()
    waiting: list[tuple[int, int, policy_simulation.Arrival]] = []
    busy: list[float] = []
    served = []
    arrivals = [*trace, None]
    for arrival in arrivals:
        until = arrival.at if arrival else float("inf")
        while waiting and busy and busy[0] <= until:
            now = heapq.heappop(busy)
            _, _, first = heapq.heappop(waiting)
            served.append(_start(first, now, busy))
        while busy and busy[0] <= until and arrival:
            heapq.heappop(busy)
        if arrival is None:
            break
        if len(busy) < slots:
            served.append(_start(arrival, arrival.at, busy))
        else:
            urgency = kinds[arrival.kind].urgency if kinds else 0
            heapq.heappush(waiting, (urgency, next(count), arrival))
    return served


def _start(
    arrival: policy_simulation.Arrival, now: float, busy: list[float]
) -> Served:
    """Runs an arrival, or drops it if its deadline has passed."""
    if now - arrival.at >= arrival.timeout_s:
        heapq.heappush(busy, now)
        return Served(arrival, None)
    heapq.heappush(busy, now + arrival.run_s)
    response = now + arrival.run_s - arrival.at
    return Served(arrival, response if response <= arrival.timeout_s else None)
