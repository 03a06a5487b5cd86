"""Scheduling policy against an ideal scheduler and against two baselines."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random

from benchmarks import policy_baseline
from benchmarks import policy_simulation
from sesameroad.configuration import document
from sesameroad.model import endpoint as endpoints

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

LIVE = [
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


def _run_s(rng: random.Random) -> float:
    """50 ms to 1 s, and a few of several seconds."""
    if rng.random() < 0.03:
        return rng.uniform(2.0, 5.0)
    return rng.uniform(0.05, 1.0)


_MEAN_RUN_S = 0.97 * 0.525 + 0.03 * 3.5


def trace(
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
    """Returns Poisson arrivals that use a part of all slots."""
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
                _run_s(rng),
                timeout_s,
                rng.uniform(0.0, 1.0) if rng.random() < cancelled else None,
            )
        )


def merged(*traces: list[Arrival]) -> list[Arrival]:
    """Returns several traces as one, in order of time."""
    return sorted((a for t in traces for a in t), key=lambda a: a.at)


def percentile(values: Iterable[float], part: float) -> float:
    """Returns a percentile, infinity of nothing."""
    ordered = sorted(values)
    if not ordered:
        return math.inf
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def responses(
    served: Iterable[Served], wanted: Callable[[Arrival], bool]
) -> list[float]:
    """Returns response times after the warm-up; a refusal counts as infinite."""
    return [
        math.inf if s.response_s is None else s.response_s
        for s in served
        if s.arrival.at >= _WARM_UP_S and wanted(s.arrival)
    ]


def _everything(_: Arrival) -> bool:
    return True


def _by_arrival(served: Iterable[Served]) -> list[float]:
    """Returns response times in the order of arrival."""
    ordered = sorted(served, key=lambda s: s.arrival.at)
    return responses(ordered, _everything)


def slots_used(
    served: Iterable[Served],
    wanted: Callable[[Arrival], bool],
    *,
    since: float,
    until: float,
) -> float:
    """Returns the mean number of slots that completed work used."""
    used = 0.0
    for s in served:
        if s.response_s is None or not wanted(s.arrival):
            continue
        end = s.arrival.at + s.response_s
        begin = end - s.arrival.run_s
        used += max(0.0, min(end, until) - max(begin, since))
    return used / (until - since)


def _traffic(report: policy_simulation.Report) -> list[int]:
    """Returns bytes of encoded messages by entry and second."""
    return [
        round(count / report.seconds)
        for _, count in sorted(report.message_bytes.items())
    ]


def _idle(seconds: float) -> None:
    """Measures the traffic of entries that have one request in all."""
    last = Arrival(seconds, 0, "urgent", TEAMS[0], 0.1)
    report = policy_simulation.simulate([last], content=_content(), live=LIVE)
    print(f"idle: bytes/s sent by each entry {_traffic(report)}")


def _load(seconds: float) -> None:
    content = _content()
    for load in (0.5, 0.8, 0.95):
        arrivals = trace(_SEED, load=load, seconds=seconds)
        served = policy_baseline.central(
            arrivals, slots=_SLOTS, content=content
        )
        ideal = responses(served, _everything)
        for variant in policy_simulation.Variant:
            report = policy_simulation.simulate(
                arrivals, content=content, live=LIVE, variant=variant
            )
            own = responses(report.served, _everything)
            each = [
                mine / best
                for mine, best in zip(
                    _by_arrival(report.served), _by_arrival(served), strict=True
                )
            ]
            print(
                f"load {load:.0%}, {variant.value}: response over ideal"
                f" median {percentile(own, 0.5) / percentile(ideal, 0.5):.3f}"
                f" p99 {percentile(own, 0.99) / percentile(ideal, 0.99):.3f};"
                " request by request median"
                f" {percentile(each, 0.5):.3f} p99 {percentile(each, 0.99):.3f};"
                f" wasted {report.wasted / report.sends:.2%};"
                f" bytes/s sent by each entry {_traffic(report)}"
            )


def _large(seconds: float) -> None:
    """Measures traffic where most teams' quotas are spread thinly."""
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
    arrivals = trace(
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
    own = responses(report.served, _everything)
    ideal = responses(
        policy_baseline.central(arrivals, slots=slots, content=content),
        _everything,
    )
    print(
        f"{len(live)} endpoints, {len(teams)} teams, load 80%: response over"
        f" ideal median {percentile(own, 0.5) / percentile(ideal, 0.5):.3f} p99"
        f" {percentile(own, 0.99) / percentile(ideal, 0.99):.3f};"
        f" bytes/s sent by each entry {_traffic(report)}"
    )


def _overload(seconds: float) -> None:
    """Offers twice the capacity; a patience under 5 s is below some run times."""
    content = _content()
    for timeout_s in (10.0, 3.0):
        arrivals = trace(
            _SEED + 1, load=2.0, seconds=seconds, timeout_s=timeout_s
        )
        for variant in policy_simulation.Variant:
            report = policy_simulation.simulate(
                arrivals, content=content, live=LIVE, variant=variant
            )
            used = slots_used(
                report.served, _everything, since=_WARM_UP_S, until=seconds
            )
            print(
                f"twice the capacity, deadline {timeout_s:.0f} s,"
                f" {variant.value}: wasted {report.wasted / report.sends:.2%},"
                f" slots in useful work {used / _SLOTS:.1%};"
                f" bytes/s sent by each entry {_traffic(report)}"
            )


def _flood(seconds: float) -> None:
    """Floods with one kind while the others want a part or all of their shares.

    The kept part is measured with demand above the share, response time with
    demand below it.
    """
    content = _content()
    weights = sum(kind.share for kind in KINDS.values())
    span = {"since": _WARM_UP_S, "until": seconds}
    for flooding in ("batch", "urgent"):
        others = [kind for kind in KINDS if kind != flooding]
        flood = trace(
            _SEED + 9,
            load=10.0,
            seconds=seconds,
            kinds=(flooding,),
            timeout_s=10.0,
            entry_weights=(1, 1, 4),
        )
        served = {}
        for part in (0.9, 1.2):
            base = merged(
                *(
                    trace(
                        _SEED + 2 + n,
                        load=part * KINDS[kind].share / weights,
                        seconds=seconds,
                        kinds=(kind,),
                        timeout_s=10.0,
                    )
                    for n, kind in enumerate(others)
                )
            )
            both = merged(base, flood)
            served["quiet", part] = policy_simulation.simulate(
                base, content=content, live=LIVE
            ).served
            served["first come", part] = policy_baseline.central(
                both, slots=_SLOTS
            )
            for variant in policy_simulation.Variant:
                served[variant.value, part] = policy_simulation.simulate(
                    both, content=content, live=LIVE, variant=variant
                ).served
        for name in (
            *(v.value for v in policy_simulation.Variant),
            "first come",
        ):
            kept = []
            for kind in others:
                wanted = _of_kind(kind)
                share = _SLOTS * KINDS[kind].share / weights
                used = slots_used(served[name, 1.2], wanted, **span)
                slow = percentile(
                    responses(served[name, 0.9], wanted), 0.99
                ) / percentile(responses(served["quiet", 0.9], wanted), 0.99)
                kept.append(
                    f"{kind} keeps {used / share:.1%} of its share,"
                    f" p99 x{slow:.2f}"
                )
            print(f"flood of {flooding}, {name}: {'; '.join(kept)}")


def _of_kind(kind: str) -> Callable[[Arrival], bool]:
    return lambda arrival: arrival.kind == kind


def _of_team(team: str) -> Callable[[Arrival], bool]:
    return lambda arrival: arrival.team == team


def _team_flood(seconds: float) -> None:
    """Floods with one team while the others want most of their quotas."""
    content = _content(quota=_SLOTS // 3)
    base = [
        trace(
            _SEED + 20 + n,
            load=0.8 / 3,
            seconds=seconds,
            kinds=("normal",),
            teams=(team,),
            timeout_s=10.0,
        )
        for n, team in enumerate(TEAMS[1:])
    ]
    flood = trace(
        _SEED + 29,
        load=10.0,
        seconds=seconds,
        kinds=("normal",),
        teams=TEAMS[:1],
        timeout_s=10.0,
    )
    quiet = policy_simulation.simulate(
        merged(*base), content=content, live=LIVE
    )
    for variant in policy_simulation.Variant:
        report = policy_simulation.simulate(
            merged(*base, flood), content=content, live=LIVE, variant=variant
        )
        kept = []
        for team in TEAMS[1:]:
            wanted = _of_team(team)
            span = {"since": _WARM_UP_S, "until": seconds}
            part = slots_used(report.served, wanted, **span) / slots_used(
                quiet.served, wanted, **span
            )
            slow = percentile(
                responses(report.served, wanted), 0.99
            ) / percentile(responses(quiet.served, wanted), 0.99)
            kept.append(f"{team} keeps {part:.1%}, p99 x{slow:.2f}")
        highest = report.max_running[f"team {TEAMS[0]}"]
        print(
            f"flood of team {TEAMS[0]}, {variant.value}: {'; '.join(kept)};"
            f" {TEAMS[0]} ran at most {highest} of {_SLOTS // 3}"
        )


def _cancellations(seconds: float) -> None:
    """Cancels half of a burst of three times the capacity."""
    content = _content()
    base = trace(_SEED + 30, load=0.6, seconds=seconds)
    wave = trace(_SEED + 31, load=3.0, seconds=5.0, since=10.0, cancelled=0.9)
    both = merged(base, wave)

    def wanted(a: Arrival) -> bool:
        return a.cancel_s is None

    ideal = policy_baseline.central(
        [a for a in both if wanted(a)], slots=_SLOTS, content=content
    )
    report = policy_simulation.simulate(both, content=content, live=LIVE)
    own = responses(report.served, wanted)
    central = responses(ideal, wanted)
    print(
        "cancellations: response of the rest over an ideal that never saw the"
        f" cancelled: median"
        f" {percentile(own, 0.5) / percentile(central, 0.5):.3f} p99"
        f" {percentile(own, 0.99) / percentile(central, 0.99):.3f}"
    )


def _run_times_off(seconds: float) -> None:
    """Makes run times ten times longer than those learnt before."""
    content = _content()
    learnt = trace(_SEED + 40, load=0.08, seconds=10.0, timeout_s=20.0)
    short = [dataclasses.replace(a, run_s=a.run_s / 10) for a in learnt]
    later = trace(
        _SEED + 41, load=0.8, seconds=seconds, since=10.0, timeout_s=20.0
    )
    arrivals = merged(short, later)
    ideal = policy_baseline.central(arrivals, slots=_SLOTS, content=content)
    report = policy_simulation.simulate(arrivals, content=content, live=LIVE)

    def wanted(a: Arrival) -> bool:
        return a.at >= 10.0

    own = responses(report.served, wanted)
    central = responses(ideal, wanted)
    refused = sum(1 for value in own if math.isinf(value))
    print(
        "run times ten times those learnt: response over ideal median"
        f" {percentile(own, 0.5) / percentile(central, 0.5):.3f} p99"
        f" {percentile(own, 0.99) / percentile(central, 0.99):.3f},"
        f" refused {refused} of {len(own)}"
    )


def main(seconds: float = 40.0) -> None:
    """Runs all parts; the seeds are fixed."""
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
