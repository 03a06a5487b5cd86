"""Takes part in dividing the slots of a data centre on behalf of one entry."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math

from sesameroad.configuration import document
from sesameroad.model import clocks
from sesameroad.model import demands
from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import allocator
from sesameroad.scheduling import matcher as matcher_module
from sesameroad.scheduling import policy as policy_module
from sesameroad.scheduling import queue as queue_module
from sesameroad.scheduling import rank

_REPORT_PERIOD_S = 0.25
_MIN_REPORT_GAP_S = 0.01
_MIN_DECIDE_GAP_S = 0.002
# The cost of a decision grows with the number of endpoints times entries. The gap
# bounds the fraction of a core that decisions may use in a large data centre.
_DECIDE_GAP_PER_PAIR_S = 2e-5
# A growing queue is reported early when it has grown by this factor.
_QUEUE_GROWTH = 1.25
# The running tasks of a lane are reported again when their number has changed by
# more than this fraction. Spare slots cover smaller changes.
_RUNNING_CHANGE = 0.1

_Lanes = dict[tuple[str, str, needs.Need], demands.LaneDemand]
Message = demands.Demand | demands.Allocation
Send = Callable[[str, Message], bool]


class AllocationAgent:
    """Reports demand and applies allocations; is the allocator if ranked first.

    The entry that runs the allocator sends itself the same messages as the other
    entries, but without the network.
    """

    __slots__ = (
        "_allocation",
        "_allocator",
        "_allocator_id",
        "_allocator_incarnation",
        "_clock",
        "_decide_at",
        "_decide_gap_s",
        "_decided_at",
        "_entry",
        "_held",
        "_lanes",
        "_matcher",
        "_policy",
        "_queue",
        "_report_at",
        "_report_number",
        "_reported_at",
        "_send",
        "_session",
        "_slots_returned",
        "_unreported_grants",
        "_waiting",
        "_wake",
    )

    def __init__(
        self,
        *,
        entry: str,
        allocation: allocation_module.Allocation,
        matcher: matcher_module.Matcher,
        policy: policy_module.Policy,
        queue: queue_module.Queue,
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
        self._allocator: allocator.Allocator | None = None
        self._allocator_id = ""
        self._allocator_incarnation = ""
        self._decide_at = math.inf
        self._decided_at = -math.inf
        self._decide_gap_s = _MIN_DECIDE_GAP_S
        self._report_at = 0.0
        self._reported_at = -math.inf
        self._report_number = 0
        self._session = 0
        self._lanes: _Lanes = {}
        self._held: tuple[dict[str, demands.SlotCount], ...] = ({}, {}, {})
        # Allocations applied since the last report. The allocator counts them as
        # held when the next report confirms their epoch, so they need not be
        # repeated in it.
        self._unreported_grants: list[demands.Allocation] = []
        self._slots_returned = 0
        self._waiting = 0
        self._wake = asyncio.Event()
        matcher.set_callbacks(changed=self.queue_changed)

    @property
    def allocator_id(self) -> str:
        """Id of the entry that this one regards as the allocator."""
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
        incarnations: Mapping[str, str] | None = None,
    ) -> None:
        """Applies a new configuration or new members.

        Args:
            data_centre: Data centre whose slots are shared.
            content: The current configuration.
            live: Endpoints of the data centre that accept new work.
            reachable: This entry and those of the data centre with a live
                stream to it.
            listed: Entries that are known but may be unreachable; they keep
                their fixed share of quotas.
            leaving: Entries that are leaving; none of them becomes the
                allocator.
            incarnations: Incarnation of each other reachable entry.
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
        # An allocator that restarts under its id has lost what it lent.
        incarnation = (incarnations or {}).get(allocator_id, "")
        if (allocator_id, incarnation) != (
            self._allocator_id,
            self._allocator_incarnation,
        ):
            self._allocator_id = allocator_id
            self._allocator_incarnation = incarnation
            self._allocator = (
                allocator.Allocator(now=now)
                if allocator_id == self._entry
                else None
            )
            self._allocation.change_allocator()
            self._report_soon()
        if self._allocator is not None:
            self._allocator.configure(
                content=content,
                live=live,
                members=members,
                reachable=reachable,
                now=now,
            )
            self._decide_gap_s = max(
                _MIN_DECIDE_GAP_S,
                _DECIDE_GAP_PER_PAIR_S * len(live) * len(members),
            )
            self._schedule_decision()
        self._matcher.refresh()

    def receive(self, sender: str, message: Message) -> None:
        """Handles a report as the allocator, or an allocation from it."""
        now = self._clock.monotonic()
        match message:
            case demands.Demand() if self._allocator is not None:
                answer = self._allocator.receive(sender, message, now=now)
                if answer is not None:
                    self._deliver(sender, answer)
                self._schedule_decision()
            case demands.Allocation() if sender == self._allocator_id:
                if self._allocation.apply(message, now=now):
                    self._unreported_grants.append(message)
                    self._matcher.refresh()
                else:
                    self._open_session()
            case _:
                return

    def queue_changed(self) -> None:
        """Schedules an early report if the queue grew or slots were returned."""
        waiting = min(len(self._queue), max(1, self._allocation.capacity))
        news = (
            waiting > self._waiting * _QUEUE_GROWTH
            or self._allocation.slots_returned != self._slots_returned
        )
        self._waiting = min(self._waiting, waiting)
        due = self._reported_at + _MIN_REPORT_GAP_S
        if news and due < self._report_at:
            self._report_at = due
            self._wake.set()

    async def run(self) -> None:
        """Sends reports and allocations when they are due."""
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
        """Sends the reports and allocations that are due now."""
        now = self._clock.monotonic()
        if now >= self._report_at:
            self._report(now)
        if now >= self._decide_at:
            self._decide(now)

    def _report(self, now: float) -> None:
        if not self._allocation.valid or self._allocation.lending:
            # Applies limits that have returned to the fixed share.
            self._matcher.refresh()
        self._reported_at = now
        self._report_at = now + _REPORT_PERIOD_S
        held = (
            self._allocation.held_endpoints(),
            self._allocation.held_teams(),
            self._allocation.held_kinds(),
        )
        if self._allocation.session != self._session:
            self._session = self._allocation.session
            self._report_number = 0
        if self._report_number == 0:
            self._lanes, self._held = {}, ({}, {}, {})
            self._unreported_grants.clear()
        for allocation in self._unreported_grants:
            if allocation.session != self._session:
                continue
            for known_counts, counts, after in zip(
                self._held,
                (allocation.endpoints, allocation.teams, allocation.kinds),
                held,
                strict=True,
            ):
                # A name that is not configured here yet is reported once it is.
                known_counts.update(
                    (c.name, c) for c in counts if c.name in after
                )
        self._unreported_grants.clear()
        lanes = {
            name: _damped(self._lanes.get(name), lane)
            for name, lane in self._demand().items()
        }
        removed = tuple(
            demands.LaneDemand(kind, team, 0, 0, need)
            for kind, team, need in self._lanes.keys() - lanes.keys()
        )
        self._report_number += 1
        self._allocation.report_sent(self._report_number, now=now)
        report = demands.Demand(
            self._allocation.epoch,
            removed
            + tuple(
                lane
                for name, lane in lanes.items()
                if self._lanes.get(name) != lane
            ),
            *(
                _changed_counts(before, after, limit)
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
            number=self._report_number,
        )
        self._lanes, self._held = lanes, held
        self._slots_returned = self._allocation.slots_returned
        self._waiting = min(len(self._queue), max(1, self._allocation.capacity))
        if self._allocator_id and not self._deliver(self._allocator_id, report):
            self._allocation.open_session()

    def _demand(self) -> _Lanes:
        """Returns demand by kind and need, and by team where limits are short."""
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
        running = dict(self._policy.running_by_need)
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
                allocation.team_quota(team),
                allocation.team_used(team) + wants.get(team, 0),
            )
            if want <= limit:
                if team not in divided:
                    continue
                # Reported in steps of half the limit only, because the demand of
                # many teams changes with each task. Rounded down, so that an
                # entry without demand gives up the last slot as well.
                want = limit if want * 2 > limit else limit // 2
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
            self._deliver(entry, granted)

    def _schedule_decision(self) -> None:
        due = self._decided_at + self._decide_gap_s
        if due < self._decide_at:
            self._decide_at = due
            self._wake.set()

    def _open_session(self) -> None:
        self._allocation.open_session()
        self._report_soon()

    def _report_soon(self) -> None:
        self._report_at = self._clock.monotonic()
        self._wake.set()

    def _deliver(self, entry: str, message: Message) -> bool:
        if entry == self._entry:
            self.receive(entry, message)
            return True
        return self._send(entry, message)


def _damped(
    before: demands.LaneDemand | None, now: demands.LaneDemand
) -> demands.LaneDemand:
    """Returns the demand to report: the previous one if it is close enough.

    While tasks wait, every change of the total of running and queued tasks is
    reported, but not a task that only moves from queued to running.
    """
    if before is None:
        return now
    change = abs(now.running + now.queued - before.running - before.queued)
    if before.queued or now.queued:
        return now if change else before
    return now if change > _RUNNING_CHANGE * before.running else before


def _changed_counts(
    before: dict[str, demands.SlotCount],
    after: dict[str, demands.SlotCount],
    limit: Callable[[str], int | None],
) -> tuple[demands.SlotCount, ...]:
    """Returns the counts that changed; a name no longer held gets its limit."""
    changed = [c for name, c in after.items() if before.get(name) != c]
    changed += [
        demands.SlotCount(name, limit(name) or 0)
        for name in before.keys() - after.keys()
    ]
    return tuple(changed)
