"""An entry's part in the division of its data centre's slots."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import math

from sesameroad.configuration import document
from sesameroad.model import clock as clocks
from sesameroad.model import demand as demands
from sesameroad.model import endpoint as endpoints
from sesameroad.model import need as needs
from sesameroad.scheduling import allocation as allocations
from sesameroad.scheduling import allocator as allocators
from sesameroad.scheduling import matcher as matchers
from sesameroad.scheduling import policy as policies
from sesameroad.scheduling import queue as queues
from sesameroad.scheduling import rank

_REPORT_PERIOD_S = 0.25
_REPORT_GAP_S = 0.01
_DECIDE_GAP_S = 0.002
# A decision looks at each endpoint for each entry, so that it takes longer in a
# large data centre; the gap bounds the part of a core that it may take.
_DECIDE_GAP_PER_PAIR_S = 2e-5
# While a queue grows, a report is worth its message when this much more waits.
_GROWTH = 1.25
# Running tasks of a lane are reported again when their number has changed by
# more than this part; spare slots cover a smaller change.
_STEP = 0.1

_Lanes = dict[tuple[str, str, needs.Need], demands.LaneDemand]
Message = demands.Demand | demands.Allocation
Send = Callable[[str, Message], bool]


class AllocationAgent:
    """Reports demand to the allocator, and is the allocator if it ranks first.

    The allocator's own entry takes the same path without the network.
    """

    __slots__ = (
        "_allocation",
        "_allocator",
        "_allocator_id",
        "_clock",
        "_decide_at",
        "_decide_gap_s",
        "_decided_at",
        "_entry",
        "_granted",
        "_held",
        "_lanes",
        "_matcher",
        "_number",
        "_policy",
        "_queue",
        "_report_at",
        "_reported_at",
        "_send",
        "_session",
        "_slots_returned",
        "_waiting",
        "_wake",
    )

    def __init__(
        self,
        *,
        entry: str,
        allocation: allocations.Allocation,
        matcher: matchers.Matcher,
        policy: policies.Policy,
        queue: queues.Queue,
        clock: clocks.Clock,
        send: Send,
    ) -> None:
        self._entry = entry
        self._allocation = allocation
        self._matcher = matcher
        self._policy = policy
        self._queue = queue
        self._clock = clock
        self._send = send
        self._allocator: allocators.Allocator | None = None
        self._allocator_id = ""
        self._decide_at = math.inf
        self._decided_at = -math.inf
        self._decide_gap_s = _DECIDE_GAP_S
        self._report_at = 0.0
        self._reported_at = -math.inf
        self._number = 0
        self._session = 0
        self._lanes: _Lanes = {}
        self._held: tuple[dict[str, demands.SlotCount], ...] = ({}, {}, {})
        # Granted since the last report; the allocator counts it as held when it
        # is confirmed, so that it need not be reported.
        self._granted: list[demands.Allocation] = []
        self._slots_returned = 0
        self._waiting = 0
        self._wake = asyncio.Event()
        matcher.set_callbacks(changed=self.notice)

    @property
    def allocator_id(self) -> str:
        """Entry that this one takes for the allocator."""
        return self._allocator_id

    def configure(
        self,
        *,
        data_centre: str,
        content: document.Document,
        live: Iterable[endpoints.Endpoint],
        reachable: Iterable[str],
        listed: Iterable[str] = (),
        leaving: Iterable[str] = (),
    ) -> None:
        """Takes a new configuration, or new members, into account.

        Args:
            data_centre: Data centre whose slots are shared.
            content: The configuration in force.
            live: Endpoints of the data centre that get new work.
            reachable: This entry and those of the data centre with a live
                stream to it.
            listed: Entries that are known but may be unreachable; they keep
                their fixed part of quotas.
            leaving: Entries that are leaving; none of them is the allocator.
        """
        live = tuple(live)
        reachable = set(reachable)
        members = rank.order(data_centre, reachable | set(listed))
        candidates = [
            entry for entry in members if entry in reachable - set(leaving)
        ]
        now = self._clock.monotonic()
        self._allocation.set_entries(len(members), members.index(self._entry))
        allocator_id = candidates[0] if candidates else ""
        if allocator_id != self._allocator_id:
            self._allocator_id = allocator_id
            self._allocator = (
                allocators.Allocator(now=now)
                if allocator_id == self._entry
                else None
            )
            self._open_session()
        if self._allocator is not None:
            self._allocator.configure(
                content=content,
                live=live,
                members=members,
                reachable=reachable,
                now=now,
            )
            self._decide_gap_s = max(
                _DECIDE_GAP_S,
                _DECIDE_GAP_PER_PAIR_S * len(live) * len(members),
            )
            self._plan_decision()
        self._matcher.refresh()

    def receive(self, sender: str, message: Message) -> None:
        """Takes a report as the allocator, or an allocation from it."""
        now = self._clock.monotonic()
        match message:
            case demands.Demand() if self._allocator is not None:
                answer = self._allocator.receive(sender, message, now=now)
                if answer is not None:
                    self._pass_on(sender, answer)
                self._plan_decision()
            case demands.Allocation() if sender == self._allocator_id:
                if self._allocation.apply(message, now=now):
                    self._granted.append(message)
                    self._matcher.refresh()
                else:
                    self._open_session()
            case _:
                return

    def notice(self) -> None:
        """Sees after a change of the queue whether the allocator should know."""
        waiting = min(len(self._queue), max(1, self._allocation.capacity))
        news = (
            waiting > self._waiting * _GROWTH
            or self._allocation.slots_returned != self._slots_returned
        )
        self._waiting = min(self._waiting, waiting)
        due = self._reported_at + _REPORT_GAP_S
        if news and due < self._report_at:
            self._report_at = due
            self._wake.set()

    async def run(self) -> None:
        """Sends reports and decisions when they are due."""
        while True:
            due = min(self._report_at, self._decide_at)
            delay = due - self._clock.monotonic()
            if delay > 0:
                try:
                    async with asyncio.timeout(delay):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                self._wake.clear()
            self.step()

    def step(self) -> None:
        """Does what is due now."""
        now = self._clock.monotonic()
        if now >= self._report_at:
            self._report(now)
        if now >= self._decide_at:
            self._decide(now)

    def _report(self, now: float) -> None:
        if not self._allocation.valid:
            # Notices that limits have grown back to the fixed part.
            self._matcher.refresh()
        self._reported_at = now
        self._report_at = now + _REPORT_PERIOD_S
        held = (
            self._allocation.held(),
            self._allocation.held_teams(),
            self._allocation.held_kinds(),
        )
        if self._allocation.session != self._session:
            self._session = self._allocation.session
            self._number = 0
        if self._number == 0:
            self._lanes, self._held = {}, ({}, {}, {})
            self._granted.clear()
        for granted in self._granted:
            if granted.session != self._session:
                continue
            for known, counts, after in zip(
                self._held,
                (granted.endpoints, granted.teams, granted.kinds),
                held,
                strict=True,
            ):
                # A name that is not configured here yet is reported when it is.
                known.update((c.name, c) for c in counts if c.name in after)
        self._granted.clear()
        lanes = {
            name: _steady(self._lanes.get(name), lane)
            for name, lane in self._demand().items()
        }
        gone = tuple(
            demands.LaneDemand(kind, team, 0, 0, need)
            for kind, team, need in self._lanes.keys() - lanes.keys()
        )
        self._number += 1
        report = demands.Demand(
            self._allocation.epoch,
            gone
            + tuple(
                lane
                for name, lane in lanes.items()
                if self._lanes.get(name) != lane
            ),
            *(
                _differences(before, after, limit)
                for before, after, limit in zip(
                    self._held,
                    held,
                    (
                        lambda _: 0,
                        self._allocation.team_limit,
                        self._allocation.kind_limit,
                    ),
                    strict=True,
                )
            ),
            session=self._allocation.session,
            number=self._number,
        )
        self._lanes, self._held = lanes, held
        self._slots_returned = self._allocation.slots_returned
        self._waiting = min(len(self._queue), max(1, self._allocation.capacity))
        if self._allocator_id and not self._pass_on(self._allocator_id, report):
            self._allocation.restart()

    def _demand(self) -> _Lanes:
        """Returns demand by kind and need, and by team where a quota is short."""
        allocation = self._allocation
        capacity = allocation.capacity
        queued: dict[tuple[str, needs.Need], int] = {}
        wants: dict[str, int] = {}
        for (kind, team, need), count in self._queue.demand.items():
            limit = allocation.team_limit(team)
            free = max(0, limit - allocation.team_used(team))
            queued[kind, need] = queued.get((kind, need), 0) + min(count, free)
            wants[team] = wants.get(team, 0) + count
        lanes: _Lanes = {}
        running = dict(self._policy.running_needs)
        for kind, need in queued.keys() | running.keys():
            lanes[kind, "", need] = demands.LaneDemand(
                kind,
                "",
                running.get((kind, need), 0),
                min(capacity, queued.get((kind, need), 0)),
                need,
            )
        divided = allocation.divided_teams
        for team in wants.keys() | divided:
            limit = allocation.team_limit(team)
            want = min(
                allocation.quota(team),
                allocation.team_used(team) + wants.get(team, 0),
            )
            if want <= limit:
                if team not in divided:
                    continue
                # Reported only in steps of half the limit, because the demand
                # of many teams changes with each task.
                want = limit if want * 2 > limit else (limit + 1) // 2
            if want:
                lanes["", team, needs.Need()] = demands.LaneDemand(
                    "", team, 0, want
                )
        return lanes

    def _decide(self, now: float) -> None:
        self._decide_at = math.inf
        if self._allocator is None:
            return
        self._decided_at = now
        for entry, granted in self._allocator.decide(now=now).items():
            self._pass_on(entry, granted)

    def _plan_decision(self) -> None:
        due = self._decided_at + self._decide_gap_s
        if due < self._decide_at:
            self._decide_at = due
            self._wake.set()

    def _open_session(self) -> None:
        self._allocation.restart()
        self._report_at = self._clock.monotonic()
        self._wake.set()

    def _pass_on(self, entry: str, message: Message) -> bool:
        if entry == self._entry:
            self.receive(entry, message)
            return True
        return self._send(entry, message)


def _steady(
    before: demands.LaneDemand | None, now: demands.LaneDemand
) -> demands.LaneDemand:
    """Returns the demand to report; the one before if that says enough.

    Where tasks wait each slot counts, but not whether it is in use already.
    """
    if before is None:
        return now
    change = abs(now.running + now.queued - before.running - before.queued)
    if before.queued or now.queued:
        return now if change else before
    return now if change > _STEP * before.running else before


def _differences(
    before: dict[str, demands.SlotCount],
    after: dict[str, demands.SlotCount],
    limit: Callable[[str], int | None],
) -> tuple[demands.SlotCount, ...]:
    """Returns the counts that have changed; names left out get their limit."""
    changed = [c for name, c in after.items() if before.get(name) != c]
    changed += [
        demands.SlotCount(name, limit(name) or 0)
        for name in before.keys() - after.keys()
    ]
    return tuple(changed)
