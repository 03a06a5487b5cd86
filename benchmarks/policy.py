"""Compares the scheduling policy with an ideal scheduler and two baselines."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random

from benchmarks import policy_baseline
from benchmarks import policy_simulation
from sesameroad.configuration import document
from sesameroad.model import endpoints

_ENDPOINTS = 8
_SLOTS = 64
_ENTRY_WEIGHTS = (6, 3, 1)
_LARGE_ENDPOINTS = 110
_LARGE_TEAMS = 320
_LARGE_QUOTA = 8
_LARGE_ENTRY_WEIGHTS = (4, 3, 2, 1, 1)
_WARM_UP_S = 5.0
_SEED = 20_261

Arrival = policy_simulation.Arrival
Served = policy_simulation.Served

LIVE_ENDPOINTS = [
    endpoints.Endpoint(f"dc1-endpoint{n}", "", policy_simulation.DATA_CENTRE)
    for n in range(_ENDPOINTS)
]
KINDS = {
    "urgent": document.Kind(urgency=0, share=2.0),
    "normal": document.Kind(urgency=1, share=2.0),
    "batch": document.Kind(urgency=2, share=1.0),
}
TEAMS = ("red", "green", "blue")


def _content(quota: int = _SLOTS) -> document.Document:
    return document.Document(
        product=document.Product(kinds=KINDS),
        operations=document.Operations(team_quotas=dict.fromkeys(TEAMS, quota)),
    )


def _random_run_s(rng: random.Random) -> float:
    """Returns a run time of 50 ms to 1 s, or in 3% of cases of 2 s to 5 s."""
    if rng.random() < 0.03:
        return rng.uniform(2.0, 5.0)
    return rng.uniform(0.05, 1.0)


_MEAN_RUN_S = 0.97 * 0.525 + 0.03 * 3.5


def generate_trace(
    seed: int,
    *,
    load: float,
    seconds: float,
    kinds: Iterable[str] = tuple(KINDS),
    teams: Iterable[str] = TEAMS,
    since: float = 0.0,
    timeout_s: float = 60.0,
    cancelled: float = 0.0,
    entry_weights: Iterable[float] = _ENTRY_WEIGHTS,
) -> list[Arrival]:
    """Returns Poisson arrivals that use a fraction of all slots.

    Args:
        seed: Seed of the random numbers.
        load: Fraction of the slots that the arrivals use.
        seconds: Duration of the trace.
        kinds: Kinds to choose from.
        teams: Teams to choose from.
        since: Start of the trace in seconds.
        timeout_s: Time from arrival to deadline.
        cancelled: Fraction of arrivals that are cancelled within a second.
        entry_weights: Relative arrival rate of each entry.
    """
    rng = random.Random(seed)
    kinds = tuple(kinds)
    teams = tuple(teams)
    weights = tuple(entry_weights)
    rate = load * _SLOTS / _MEAN_RUN_S
    arrivals = []
    at = since
    while True:
        at += rng.expovariate(rate)
        if at >= since + seconds:
            return arrivals
        arrivals.append(
            Arrival(
                at,
                rng.choices(range(len(weights)), weights)[0],
                rng.choice(kinds),
                rng.choice(teams),
                _random_run_s(rng),
                timeout_s,
                rng.uniform(0.0, 1.0) if rng.random() < cancelled else None,
            )
        )


def merge_traces(*traces: list[Arrival]) -> list[Arrival]:
    """Merges several traces in order of arrival."""
    return sorted((a for t in traces for a in t), key=lambda a: a.at)


def percentile(values: Iterable[float], fraction: float) -> float:
    """Returns a percentile, or infinity if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return math.inf
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def response_times(
    served: Iterable[Served], predicate: Callable[[Arrival], bool]
) -> list[float]:
    """Returns response times after the warm-up, infinite for failed requests."""
    return [
        math.inf if s.response_s is None else s.response_s
        for s in served
        if s.arrival.at >= _WARM_UP_S and predicate(s.arrival)
    ]


def _any_arrival(_: Arrival) -> bool:
    return True


def _by_arrival(served: Iterable[Served]) -> list[float]:
    """Returns response times in order of arrival."""
    ordered = sorted(served, key=lambda s: s.arrival.at)
    return response_times(ordered, _any_arrival)


def slots_used(
    served: Iterable[Served],
    predicate: Callable[[Arrival], bool],
    *,
    since: float,
    until: float,
) -> float:
    """Returns the mean number of slots that ran work which completed."""
    used = 0.0
    for s in served:
        if s.response_s is None or not predicate(s.arrival):
            continue
        end = s.arrival.at + s.response_s
        begin = end - s.arrival.run_s
        used += max(0.0, min(end, until) - max(begin, since))
    return used / (until - since)


def _traffic(report: policy_simulation.Report) -> list[int]:
    """Returns the encoded bytes that each entry sent, per second."""
    return [
        round(count / report.seconds)
        for _, count in sorted(report.message_bytes.items())
    ]


def _idle(seconds: float) -> None:
    """Measures the traffic of entries that serve a single request in all."""
    last = Arrival(seconds, 0, "urgent", TEAMS[0], 0.1)
    report = policy_simulation.simulate(
        [last], content=_content(), live=LIVE_ENDPOINTS
    )
    print(f"idle: bytes/s sent by each entry {_traffic(report)}")


def _load(seconds: float) -> None:
    content = _content()
    for load in (0.5, 0.8, 0.95):
        arrivals = generate_trace(_SEED, load=load, seconds=seconds)
        served = policy_baseline.central(
            arrivals, slots=_SLOTS, content=content
        )
        ideal = response_times(served, _any_arrival)
        for variant in policy_simulation.Variant:
            report = policy_simulation.simulate(
                arrivals, content=content, live=LIVE_ENDPOINTS, variant=variant
            )
            simulated = response_times(report.served, _any_arrival)
            ratios = [
                response_s / ideal_s
                for response_s, ideal_s in zip(
                    _by_arrival(report.served), _by_arrival(served), strict=True
                )
            ]
            print(
                f"load {load:.0%}, {variant.value}: response over ideal"
                f" median {percentile(simulated, 0.5) / percentile(ideal, 0.5):.3f}"
                f" p99 {percentile(simulated, 0.99) / percentile(ideal, 0.99):.3f};"
                " request by request median"
                f" {percentile(ratios, 0.5):.3f} p99 {percentile(ratios, 0.99):.3f};"
                f" wasted {report.wasted / report.sends:.2%};"
                f" bytes/s sent by each entry {_traffic(report)}"
            )


def _large(seconds: float) -> None:
    """Measures traffic with many teams whose small quotas are divided thinly."""
    live = [
        endpoints.Endpoint(
            f"dc1-endpoint{n}", "", policy_simulation.DATA_CENTRE
        )
        for n in range(_LARGE_ENDPOINTS)
    ]
    slots = sum(endpoint.slots for endpoint in live)
    teams = [f"team{n}" for n in range(_LARGE_TEAMS)]
    content = document.Document(
        product=document.Product(kinds=KINDS),
        operations=document.Operations(
            team_quotas=dict.fromkeys(teams, _LARGE_QUOTA)
        ),
    )
    arrivals = generate_trace(
        _SEED + 50,
        load=0.8 * slots / _SLOTS,
        seconds=seconds,
        teams=teams,
        entry_weights=_LARGE_ENTRY_WEIGHTS,
    )
    report = policy_simulation.simulate(
        arrivals,
        content=content,
        live=live,
        entries=len(_LARGE_ENTRY_WEIGHTS),
    )
    simulated = response_times(report.served, _any_arrival)
    ideal = response_times(
        policy_baseline.central(arrivals, slots=slots, content=content),
        _any_arrival,
    )
    print(
        f"{len(live)} endpoints, {len(teams)} teams, load 80%: response over"
        f" ideal median {percentile(simulated, 0.5) / percentile(ideal, 0.5):.3f} p99"
        f" {percentile(simulated, 0.99) / percentile(ideal, 0.99):.3f};"
        f" bytes/s sent by each entry {_traffic(report)}"
    )


def _overload(seconds: float) -> None:
    """Offers twice the capacity.

    Some run times exceed a timeout under 5 s.
    """
    content = _content()
    for timeout_s in (10.0, 3.0):
        arrivals = generate_trace(
            _SEED + 1, load=2.0, seconds=seconds, timeout_s=timeout_s
        )
        for variant in policy_simulation.Variant:
            report = policy_simulation.simulate(
                arrivals, content=content, live=LIVE_ENDPOINTS, variant=variant
            )
            used = slots_used(
                report.served, _any_arrival, since=_WARM_UP_S, until=seconds
            )
            print(
                f"twice the capacity, deadline {timeout_s:.0f} s,"
                f" {variant.value}: wasted {report.wasted / report.sends:.2%},"
                f" slots in useful work {used / _SLOTS:.1%};"
                f" bytes/s sent by each entry {_traffic(report)}"
            )


def _flood(seconds: float) -> None:
    """Overloads one kind while the others demand about their shares.

    The fraction of its share that a kind keeps is measured with demand above
    the share, the response time with demand below it.
    """
    content = _content()
    weights = sum(kind.share for kind in KINDS.values())
    span = {"since": _WARM_UP_S, "until": seconds}
    for flooding in ("batch", "urgent"):
        others = [kind for kind in KINDS if kind != flooding]
        flood = generate_trace(
            _SEED + 9,
            load=10.0,
            seconds=seconds,
            kinds=(flooding,),
            timeout_s=10.0,
            entry_weights=(1, 1, 4),
        )
        served = {}
        for demand in (0.9, 1.2):
            base = merge_traces(
                *(
                    generate_trace(
                        _SEED + 2 + n,
                        load=demand * KINDS[kind].share / weights,
                        seconds=seconds,
                        kinds=(kind,),
                        timeout_s=10.0,
                    )
                    for n, kind in enumerate(others)
                )
            )
            both = merge_traces(base, flood)
            served["quiet", demand] = policy_simulation.simulate(
                base, content=content, live=LIVE_ENDPOINTS
            ).served
            served["first come", demand] = policy_baseline.central(
                both, slots=_SLOTS
            )
            for variant in policy_simulation.Variant:
                served[variant.value, demand] = policy_simulation.simulate(
                    both, content=content, live=LIVE_ENDPOINTS, variant=variant
                ).served
        for name in (
            *(v.value for v in policy_simulation.Variant),
            "first come",
        ):
            kept = []
            for kind in others:
                predicate = _of_kind(kind)
                share = _SLOTS * KINDS[kind].share / weights
                used = slots_used(served[name, 1.2], predicate, **span)
                slowdown = percentile(
                    response_times(served[name, 0.9], predicate), 0.99
                ) / percentile(
                    response_times(served["quiet", 0.9], predicate), 0.99
                )
                kept.append(
                    f"{kind} keeps {used / share:.1%} of its share,"
                    f" p99 x{slowdown:.2f}"
                )
            print(f"flood of {flooding}, {name}: {'; '.join(kept)}")


def _of_kind(kind: str) -> Callable[[Arrival], bool]:
    return lambda arrival: arrival.kind == kind


def _of_team(team: str) -> Callable[[Arrival], bool]:
    return lambda arrival: arrival.team == team


def _team_flood(seconds: float) -> None:
    """Overloads one team while the others demand most of their quotas."""
    content = _content(quota=_SLOTS // 3)
    base = [
        generate_trace(
            _SEED + 20 + n,
            load=0.8 / 3,
            seconds=seconds,
            kinds=("normal",),
            teams=(team,),
            timeout_s=10.0,
        )
        for n, team in enumerate(TEAMS[1:])
    ]
    flood = generate_trace(
        _SEED + 29,
        load=10.0,
        seconds=seconds,
        kinds=("normal",),
        teams=TEAMS[:1],
        timeout_s=10.0,
    )
    quiet = policy_simulation.simulate(
        merge_traces(*base), content=content, live=LIVE_ENDPOINTS
    )
    for variant in policy_simulation.Variant:
        report = policy_simulation.simulate(
            merge_traces(*base, flood),
            content=content,
            live=LIVE_ENDPOINTS,
            variant=variant,
        )
        kept = []
        for team in TEAMS[1:]:
            predicate = _of_team(team)
            span = {"since": _WARM_UP_S, "until": seconds}
            kept_fraction = slots_used(
                report.served, predicate, **span
            ) / slots_used(quiet.served, predicate, **span)
            slowdown = percentile(
                response_times(report.served, predicate), 0.99
            ) / percentile(response_times(quiet.served, predicate), 0.99)
            kept.append(
                f"{team} keeps {kept_fraction:.1%}, p99 x{slowdown:.2f}"
            )
        highest = report.max_running[f"team {TEAMS[0]}"]
        print(
            f"flood of team {TEAMS[0]}, {variant.value}: {'; '.join(kept)};"
            f" {TEAMS[0]} ran at most {highest} of {_SLOTS // 3}"
        )


def _cancellations(seconds: float) -> None:
    """Cancels 90% of a burst of three times the capacity within a second."""
    content = _content()
    base = generate_trace(_SEED + 30, load=0.6, seconds=seconds)
    burst = generate_trace(
        _SEED + 31, load=3.0, seconds=5.0, since=10.0, cancelled=0.9
    )
    both = merge_traces(base, burst)

    def predicate(a: Arrival) -> bool:
        return a.cancel_s is None

    ideal = policy_baseline.central(
        [a for a in both if predicate(a)], slots=_SLOTS, content=content
    )
    report = policy_simulation.simulate(
        both, content=content, live=LIVE_ENDPOINTS
    )
    simulated = response_times(report.served, predicate)
    central = response_times(ideal, predicate)
    print(
        "cancellations: response of the rest over an ideal that never saw the"
        f" cancelled: median"
        f" {percentile(simulated, 0.5) / percentile(central, 0.5):.3f} p99"
        f" {percentile(simulated, 0.99) / percentile(central, 0.99):.3f}"
    )


def _run_times_off(seconds: float) -> None:
    """Makes run times ten times as long as those learnt before."""
    content = _content()
    learnt = generate_trace(_SEED + 40, load=0.08, seconds=10.0, timeout_s=20.0)
    short = [dataclasses.replace(a, run_s=a.run_s / 10) for a in learnt]
    later = generate_trace(
        _SEED + 41, load=0.8, seconds=seconds, since=10.0, timeout_s=20.0
    )
    arrivals = merge_traces(short, later)
    ideal = policy_baseline.central(arrivals, slots=_SLOTS, content=content)
    report = policy_simulation.simulate(
        arrivals, content=content, live=LIVE_ENDPOINTS
    )

    def predicate(a: Arrival) -> bool:
        return a.at >= 10.0

    simulated = response_times(report.served, predicate)
    central = response_times(ideal, predicate)
    refused = sum(1 for value in simulated if math.isinf(value))
    print(
        "run times ten times those learnt: response over ideal median"
        f" {percentile(simulated, 0.5) / percentile(central, 0.5):.3f} p99"
        f" {percentile(simulated, 0.99) / percentile(central, 0.99):.3f},"
        f" refused {refused} of {len(simulated)}"
    )


def main(seconds: float = 40.0) -> None:
    """Runs all parts with fixed seeds."""
    _idle(seconds)
    _load(seconds)
    _large(seconds / 4)
    _overload(seconds)
    _flood(seconds)
    _team_flood(seconds)
    _cancellations(seconds)
    _run_times_off(seconds)


if __name__ == "__main__":
    main()
