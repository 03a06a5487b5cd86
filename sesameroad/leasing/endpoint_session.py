"""Keeps one endpoint: renews its lease, reads its lists and sends its orders."""

import asyncio
from typing import Protocol

from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import order as orders
from sesameroad.leasing import run as runs
from sesameroad.model import clock as clocks

# Time that an endpoint waits for an end before it answers a look. Renewals are
# this far apart, so that a silence of 0.4 s does not let a lease of 1 s expire.
_WAIT_MS = 250
# Wait while a stop is under way, which takes at most 50 ms.
_STOP_WAIT_MS = 60
# Time beyond its wait after which a look counts as unanswered.
_LOOK_TIMEOUT_S = 0.25
# Pause between looks at an endpoint that does not answer.
_RETRY_S = 0.05
_SLOW_RETRY_S = 0.5
# Time in which further work may come before ends are acknowledged by a look of
# their own. A look each second at each endpoint is cheap beside one per task.
_ACKNOWLEDGE_S = 0.5
# Orders in flight to one endpoint, each on a connection of its own, so that one
# lost answer does not hold up the others.
_ORDER_CONNECTIONS = 2
# Pause before a stop without an answer is sent again.
_STOP_RETRY_S = 0.1


class Events(Protocol):
    """What the owner of the runs is told."""

    @property
    def token(self) -> int:
        """Fencing token of all orders."""

    def may_start(self, run: runs.Run) -> bool:
        """Returns whether a run may still start, directly before its order."""

    def accepted(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """A start was confirmed."""

    def refused(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs.Run,
        why: orders.Refusal,
    ) -> None:
        """A start did nothing."""

    def unanswered(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run, detail: str
    ) -> None:
        """A start may be carried out, now or later."""

    def reported(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        report: orders.Report,
        *,
        asked_at: float,
    ) -> None:
        """Both lists were read."""

    def fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """The endpoint has seen a higher token than that of the order."""

    def ended_all(
        self, leased: leased_endpoint.LeasedEndpoint, cause: str
    ) -> None:
        """Nothing that was started there runs any more."""


class EndpointSession:
    """Runs the tasks of one endpoint: one that looks, and its connections."""

    __slots__ = ("_clock", "_events", "_leased", "_orders")

    def __init__(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        *,
        orders_: orders.Orders,
        events: Events,
        clock: clocks.Clock,
    ) -> None:
        self._leased = leased
        self._orders = orders_
        self._events = events
        self._clock = clock

    async def run(self) -> None:
        """Keeps the endpoint until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._look())
            for _ in range(_ORDER_CONNECTIONS):
                group.create_task(self._send_orders())

    async def _look(self) -> None:
        leased = self._leased
        while True:
            if not self._is_look_due():
                unacknowledged = leased.seen > leased.acknowledged
                await leased.wait_woken(
                    _ACKNOWLEDGE_S if unacknowledged else None
                )
                if not self._is_look_due() and not unacknowledged:
                    continue
            await self._look_once()

    def _is_look_due(self) -> bool:
        leased = self._leased
        if not leased.surveyed or leased.foreign:
            return True
        return any(run.sent_at for run in leased.runs.values())

    async def _look_once(self) -> None:
        leased = self._leased
        wait_ms = self._wait_ms()
        asked_at = self._clock.monotonic()
        seen = leased.seen
        token = self._events.token
        lease_until_ms = None
        # An endpoint that does not answer is not renewed, so that its runs are
        # certain to have ended a lease later and can start elsewhere.
        if leased.runs and leased.lease.known and leased.silent_since is None:
            lease_until_ms = leased.lease.extend(asked_at)
        answer = await self._orders.look(
            leased.endpoint,
            token=token,
            seen=seen,
            lease_until_ms=lease_until_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / 1_000 + _LOOK_TIMEOUT_S,
        )
        now = self._clock.monotonic()
        match answer:
            case orders.Report():
                leased.silent_since = None
                leased.acknowledged = max(leased.acknowledged, seen)
                leased.lease.read(answer.clock_ms, now)
                self._events.reported(leased, answer, asked_at=asked_at)
            case orders.Refused(why=orders.Refusal.FENCED):
                self._events.fenced(leased, token)
                # Another steward holds it: no lease is renewed here any more.
                self._note_silence(now)
                await asyncio.sleep(_RETRY_S)
            case orders.Replaced():
                self._events.ended_all(leased, "another endpoint answers")
                await asyncio.sleep(_SLOW_RETRY_S)
            case orders.Refused() | orders.NoAnswer():
                await self._wait_silent(now)

    def _wait_ms(self) -> int:
        leased = self._leased
        if not leased.surveyed or leased.silent_since is not None:
            return 0
        if leased.foreign:
            return _STOP_WAIT_MS
        sent = [run for run in leased.runs.values() if run.sent_at]
        if not sent:
            return 0
        if any(run.state is runs.State.STOPPING for run in sent):
            return _STOP_WAIT_MS
        return _WAIT_MS

    async def _wait_silent(self, now: float) -> None:
        """Waits between looks without an answer."""
        self._note_silence(now)
        patient = not self._leased.runs
        await asyncio.sleep(_SLOW_RETRY_S if patient else _RETRY_S)

    def _note_silence(self, now: float) -> None:
        """Starts nothing and renews nothing; gives runs up in time."""
        leased = self._leased
        if leased.silent_since is None:
            leased.silent_since = now
        if leased.runs and now >= leased.lease.horizon:
            self._events.ended_all(leased, "lease expired without an answer")

    async def _send_orders(self) -> None:
        while True:
            match await self._leased.orders.get():
                case runs.StartOrder(run=run):
                    await self._start(run)
                case runs.StopOrder() as stop:
                    await self._stop(stop)

    async def _start(self, run: runs.Run) -> None:
        leased = self._leased
        if not self._events.may_start(run):
            return
        now = self._clock.monotonic()
        token = self._events.token
        run.sent_at = now
        leased.wake()
        answer = await self._orders.start(
            leased.endpoint,
            task=run.task,
            run=run.number,
            spec=run.spec,
            token=token,
            lease_until_ms=leased.lease.extend(now),
        )
        now = self._clock.monotonic()
        match answer:
            case orders.Accepted():
                run.confirmed_at = now
                leased.lease.read(answer.clock_ms, now)
                self._events.accepted(leased, run)
            case orders.Refused(why=orders.Refusal.FENCED):
                self._events.refused(leased, run, answer.why)
                self._events.fenced(leased, token)
            case orders.Refused():
                if answer.clock_ms:
                    leased.lease.read(answer.clock_ms, now)
                self._events.refused(leased, run, answer.why)
            case orders.Replaced():
                self._events.ended_all(leased, "another endpoint answers")
            case orders.NoAnswer():
                self._events.unanswered(leased, run, answer.detail)

    async def _stop(self, stop: runs.StopOrder) -> None:
        """Sends a stop until it is answered or the run is out of the books."""
        leased = self._leased
        token = self._events.token
        answer = await self._orders.stop(
            leased.endpoint, task=stop.task, run=stop.number, token=token
        )
        now = self._clock.monotonic()
        match answer:
            case orders.Accepted():
                leased.lease.read(answer.clock_ms, now)
                if stop.run is not None:
                    stop.run.confirmed_at = now
                leased.wake()
            case orders.Refused(why=orders.Refusal.FENCED):
                self._events.fenced(leased, token)
            case orders.Replaced():
                self._events.ended_all(leased, "another endpoint answers")
            case orders.Refused() | orders.NoAnswer():
                # A foreign run without an answer ends when its lease does.
                if stop.run is None or stop.task not in leased.runs:
                    return
                await asyncio.sleep(_STOP_RETRY_S)
                leased.orders.put_nowait(stop)
