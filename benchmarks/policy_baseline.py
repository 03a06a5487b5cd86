"""Central schedulers without entries, messages or delays, as baselines."""

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
    """Serves a trace from a single queue; no slot idles while work waits.

    Args:
        trace: Arrivals in order of time.
        slots: Number of slots of the data centre.
        content: Configuration whose kinds order the queue by urgency; without
            it, the queue is first come, first served.
    """
    kinds = content.product.kinds if content else {}
    sequence = itertools.count()
    waiting: list[tuple[int, int, policy_simulation.Arrival]] = []
    busy_until: list[float] = []
    served = []
    arrivals = [*trace, None]
    for arrival in arrivals:
        next_arrival_at = arrival.at if arrival else float("inf")
        while waiting and busy_until and busy_until[0] <= next_arrival_at:
            now = heapq.heappop(busy_until)
            _, _, first = heapq.heappop(waiting)
            served.append(_serve(first, now, busy_until))
        while busy_until and busy_until[0] <= next_arrival_at and arrival:
            heapq.heappop(busy_until)
        if arrival is None:
            break
        if len(busy_until) < slots:
            served.append(_serve(arrival, arrival.at, busy_until))
        else:
            urgency = kinds[arrival.kind].urgency if kinds else 0
            heapq.heappush(waiting, (urgency, next(sequence), arrival))
    return served


def _serve(
    arrival: policy_simulation.Arrival, now: float, busy_until: list[float]
) -> Served:
    """Serves an arrival, or drops it if its deadline has passed."""
    if now - arrival.at >= arrival.timeout_s:
        heapq.heappush(busy_until, now)
        return Served(arrival, None)
    heapq.heappush(busy_until, now + arrival.run_s)
    response_s = now + arrival.run_s - arrival.at
    return Served(
        arrival, response_s if response_s <= arrival.timeout_s else None
    )
