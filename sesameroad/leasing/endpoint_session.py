"""Session with one endpoint: lease renewal, polling and sending of orders."""

import asyncio
from typing import Protocol

from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import orders
from sesameroad.leasing import runs
from sesameroad.model import clocks
from sesameroad.telemetry import log

# Time for which an endpoint holds a long poll (the order "look") if no run
# ends. This is also the renewal interval, so that a lease of 1 s survives a
# silence of 0.4 s.
_WAIT_MS = 250
# Duration of a long poll while a stop is in progress, which takes at most 50
# ms.
_STOP_WAIT_MS = 60
# Time beyond its duration after which a poll counts as unanswered.
_POLL_TIMEOUT_S = 0.25
# Pauses between polls of an endpoint that does not answer, with and without
# runs.
_RETRY_S = 0.05
_SLOW_RETRY_S = 0.5
# Delay before ends are acknowledged by a separate poll, as another run may come
# whose polls acknowledge them. A poll per second and endpoint is cheap compared
# to one per task.
_ACKNOWLEDGE_S = 0.5
# Concurrent orders to one endpoint, each on its own connection, so that a lost
# answer does not block the others.
_ORDER_CONNECTIONS = 2
# Time from a stop without an answer to the next one, also if the endpoint refuses
# connections at once. Other orders wait for the connection as long.
_STOP_PERIOD_S = 0.07


class Events(Protocol):
    """Callbacks of a session to the owner of the runs."""

    @property
    def token(self) -> int:
        """Fencing token of all orders."""

    def may_start(self, run: runs.Run) -> bool:
        """Returns whether a run may start; called just before its order."""

    def on_accepted(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run
    ) -> None:
        """Called when a start was confirmed."""

    def on_refused(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        run: runs.Run,
        refusal: orders.Refusal,
    ) -> None:
        """Called when a start was refused without effect."""

    def on_unanswered(
        self, leased: leased_endpoint.LeasedEndpoint, run: runs.Run, detail: str
    ) -> None:
        """Called when a start was not answered; it may be carried out later."""

    def on_reported(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        report: orders.Report,
        *,
        asked_at: float,
    ) -> None:
        """Called when the lists of running and ended runs were read."""

    def on_fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """Called when the endpoint has seen a higher token than the order's."""

    def on_all_ended(
        self, leased: leased_endpoint.LeasedEndpoint, cause: str
    ) -> None:
        """Called when no run that was started on the endpoint is left."""


class EndpointSession:
    """Polls one endpoint and sends its orders on several connections."""

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
        """Runs the session until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_when_due())
            for _ in range(_ORDER_CONNECTIONS):
                group.create_task(self._send_orders())

    async def _poll_when_due(self) -> None:
        leased = self._leased
        while True:
            if not self._is_poll_due():
                unacknowledged = leased.seen > leased.acknowledged
                await leased.wait_woken(
                    _ACKNOWLEDGE_S if unacknowledged else None
                )
                if not self._is_poll_due() and not unacknowledged:
                    continue
            await self._poll()

    def _is_poll_due(self) -> bool:
        leased = self._leased
        if not leased.reconciled or leased.orphans:
            return True
        return any(run.sent_at for run in leased.runs.values())

    async def _poll(self) -> None:
        leased = self._leased
        wait_ms = self._wait_ms()
        asked_at = self._clock.monotonic()
        seen = leased.seen
        token = self._events.token
        lease_until_ms = None
        # The lease of an unresponsive endpoint is not renewed, so its runs are
        # certain to have ended one lease later and can start elsewhere.
        if (
            leased.runs
            and leased.lease.clock_known
            and leased.silent_since is None
        ):
            lease_until_ms = leased.lease.extend(asked_at)
        answer = await self._orders.poll(
            leased.endpoint,
            token=token,
            seen=seen,
            lease_until_ms=lease_until_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / 1_000 + _POLL_TIMEOUT_S,
        )
        now = self._clock.monotonic()
        match answer:
            case orders.Report():
                leased.silent_since = None
                leased.acknowledged = max(leased.acknowledged, seen)
                leased.lease.update_clock(answer.clock_ms, now)
                self._events.on_reported(leased, answer, asked_at=asked_at)
            case orders.Refused(refusal=orders.Refusal.FENCED):
                self._events.on_fenced(leased, token)
                # Another leader holds the endpoint; its lease is not renewed
                # here.
                self._record_silence(now)
                await asyncio.sleep(_RETRY_S)
            case orders.Replaced():
                self._events.on_all_ended(leased, "another endpoint answers")
                await asyncio.sleep(_SLOW_RETRY_S)
            case orders.Refused() | orders.NoAnswer():
                await self._wait_after_silence(now)

    def _wait_ms(self) -> int:
        leased = self._leased
        if not leased.reconciled or leased.silent_since is not None:
            return 0
        if leased.orphans:
            return _STOP_WAIT_MS
        sent = [run for run in leased.runs.values() if run.sent_at]
        if not sent:
            return 0
        if any(run.state is runs.State.STOPPING for run in sent):
            return _STOP_WAIT_MS
        return _WAIT_MS

    async def _wait_after_silence(self, now: float) -> None:
        """Records an unanswered poll and waits before the next one."""
        self._record_silence(now)
        patient = not self._leased.runs
        await asyncio.sleep(_SLOW_RETRY_S if patient else _RETRY_S)

    def _record_silence(self, now: float) -> None:
        """Suspends starts and renewals; drops runs once the lease ends."""
        leased = self._leased
        if leased.silent_since is None:
            leased.silent_since = now
        if leased.runs and now >= leased.lease.latest_end:
            self._events.on_all_ended(leased, "lease expired without an answer")

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
                self._update_clock(answer.clock_ms, now)
                self._events.on_accepted(leased, run)
            case orders.Refused(refusal=orders.Refusal.FENCED):
                self._events.on_refused(leased, run, answer.refusal)
                self._events.on_fenced(leased, token)
            case orders.Refused():
                self._update_clock(answer.clock_ms, now)
                self._events.on_refused(leased, run, answer.refusal)
            case orders.Replaced():
                self._events.on_all_ended(leased, "another endpoint answers")
            case orders.NoAnswer():
                self._events.on_unanswered(leased, run, answer.detail)

    def _update_clock(self, clock_ms: int, now: float) -> None:
        """Updates the endpoint's clock from an answer that contains it."""
        if clock_ms:
            self._leased.lease.update_clock(clock_ms, now)

    async def _stop(self, stop: runs.StopOrder) -> None:
        """Sends a stop; repeats it until answered or the run is removed."""
        leased = self._leased
        token = self._events.token
        sent_at = self._clock.monotonic()
        answer = await self._orders.stop(
            leased.endpoint, task=stop.task, run=stop.number, token=token
        )
        now = self._clock.monotonic()
        match answer:
            case orders.Accepted():
                self._update_clock(answer.clock_ms, now)
                if stop.run is not None:
                    stop.run.confirmed_at = now
                leased.wake()
            case orders.Refused(refusal=orders.Refusal.FENCED):
                self._events.on_fenced(leased, token)
            case orders.Replaced():
                self._events.on_all_ended(leased, "another endpoint answers")
            case orders.Refused() | orders.NoAnswer():
                # An unknown run of an earlier leader ends with its lease.
                if stop.run is None or stop.task not in leased.runs:
                    return
                log.problem(
                    "stop without an answer",
                    step="stop",
                    peer=leased.endpoint.id,
                    request=stop.run.key,
                    task=stop.task,
                    run=stop.number,
                )
                await asyncio.sleep(max(0.0, sent_at + _STOP_PERIOD_S - now))
                leased.orders.put_nowait(stop)
