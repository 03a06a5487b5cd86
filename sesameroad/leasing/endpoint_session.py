"""Session with one endpoint: lease renewal, polling and sending of orders."""

import asyncio
import functools
import math
from typing import Protocol

from sesameroad.leasing import answer_times
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import orders
from sesameroad.leasing import poll_schedule
from sesameroad.leasing import runs
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.telemetry import log

# Time for which an endpoint holds a long poll (the order "look") if no run
# ends. This is also the renewal interval, so that a lease of 1 s survives a
# silence of 0.4 s while the origins of the runs are heard.
_WAIT_MS = 250
# Duration of a long poll while a stop is in progress, which takes at most 50
# ms.
_STOP_WAIT_MS = 60
# Duration of a long poll of an endpoint without runs. A run that starts
# meanwhile must be polled before its lease of 1 s ends.
_IDLE_WAIT_MS = 500
# Time beyond its duration after which a poll counts as unanswered.
_POLL_TIMEOUT_S = 0.25
# Pauses between polls of an endpoint that does not answer, with and without
# runs.
_RETRY_S = 0.05
_SLOW_RETRY_S = 0.5
# Pause between polls of an endpoint without runs that may have a start held up. Its
# task waits for the endpoint, and the token bars starts of an earlier leader.
_HELD_UP_RETRY_S = 0.2
# Delay before ends are acknowledged by a separate poll, as another run may come
# whose polls acknowledge them. A poll per second and endpoint is cheap compared
# to one per task.
_ACKNOWLEDGE_S = 0.5
# Longest time between an answer and the next poll after which ends may still be
# acknowledged while runs are sent. After more, the endpoint may have started
# again and ended a run, whose end has the number of an earlier one.
_CONTINUOUS_S = 0.05
# Concurrent starts and stops at one endpoint, each on its own connection, so
# that a lost answer does not block the others.
_START_CONNECTIONS = 2
_STOP_CONNECTIONS = 2
# Time from a stop without an answer to the next one, also if the endpoint refuses
# connections at once. Other stops wait for the connection as long.
_STOP_PERIOD_S = 0.07


class Events(Protocol):
    """Callbacks of a session to the owner of the runs."""

    @property
    def token(self) -> int:
        """Fencing token of all orders."""

    def runs_end_by(self, leased: leased_endpoint.LeasedEndpoint) -> float:
        """Returns the earliest time by which a run there must have ended."""

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
        token: int,
    ) -> None:
        """Called when the lists of running and ended runs were read.

        Args:
            leased: The endpoint.
            report: The lists.
            asked_at: Time at which they were requested.
            token: Fencing token of the request.
        """

    def on_restarted(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        report: orders.Report,
        *,
        former_born_ms: int,
    ) -> None:
        """Called when a report shows that the endpoint has started again."""

    def on_fenced(
        self, leased: leased_endpoint.LeasedEndpoint, token: int
    ) -> None:
        """Called when the endpoint has seen a higher token of another leader.

        Args:
            leased: The endpoint.
            token: Fencing token of the refused order.
        """

    def on_replaced(
        self, leased: leased_endpoint.LeasedEndpoint, url: str
    ) -> None:
        """Called when another endpoint answers at an address of this one."""

    def on_all_ended(
        self, leased: leased_endpoint.LeasedEndpoint, cause: str
    ) -> None:
        """Called when no run that was sent to the endpoint is left."""


class EndpointSession:
    """Polls one endpoint and sends its orders on several connections."""

    __slots__ = (
        "_clock",
        "_events",
        "_leased",
        "_orders",
        "_overdue",
        "_poll_limit",
        "_poll_times",
        "_repeats_poll",
        "_start_times",
    )

    def __init__(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        *,
        orders_: orders.Orders,
        events: Events,
        clock: clocks.Clock,
        start_times: answer_times.AnswerTimes | None = None,
        poll_times: answer_times.AnswerTimes | None = None,
    ) -> None:
        """Creates a session.

        Args:
            leased: The endpoint.
            orders_: Sends orders.
            events: Receives the events of the endpoint.
            clock: Time source.
            start_times: Wait for answers to starts, None for that of orders.
            poll_times: Wait for answers to polls, None for that of orders.
        """
        self._start_times = start_times
        self._poll_times = poll_times
        # Whether the poll in progress repeats one without an answer.
        self._repeats_poll = False
        # Ends the poll in progress at once; None if none is in progress.
        self._poll_limit: asyncio.Timeout | None = None
        # Starts whose usual time of an answer is over, by run, until the lists
        # have been read.
        self._overdue: dict[runs.Run, asyncio.Timeout] = {}
        self._leased = leased
        self._orders = orders_
        self._events = events
        self._clock = clock

    async def run(self) -> None:
        """Runs the session until it is cancelled and the endpoint is released.

        The HTTP library loses a cancellation that comes together with the timeout
        of a request, so the tasks end after any order as well.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_when_due())
            for _ in range(_STOP_CONNECTIONS):
                group.create_task(self._send_stops())
            for _ in range(_START_CONNECTIONS):
                group.create_task(self._send_starts())

    @property
    def _token(self) -> int:
        """Fencing token of an order that is sent now.

        No order to the endpoint was sent with a higher one: neither part ever
        decreases, and an endpoint that is held again starts above its former
        number of fences.
        """
        return self._events.token + self._leased.fences

    def _is_outdated(self, token: int) -> bool:
        """Returns whether this leader has raised the token since an order.

        The endpoint may then have refused the order because another one of
        this leader has overtaken it. If another leader has sent a higher token,
        the next poll is refused as well.
        """
        return token < self._token

    async def _poll_when_due(self) -> None:
        leased = self._leased
        while not leased.released:
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
        if not leased.reconciled or leased.silent_since is not None:
            return True
        if leased.orphans or leased.has_sent_runs:
            return True
        return self._clock.monotonic() < leased.held_up_until

    async def _poll(self) -> None:
        leased = self._leased
        wait_ms = self._wait_ms()
        asked_at = self._clock.monotonic()
        seen = leased.seen if self._may_acknowledge(asked_at) else 0
        token = self._token
        reports_required = leased.reports_required
        lease_until_ms = None
        # The lease of an unresponsive endpoint is not renewed, so its runs are
        # certain to have ended one lease later and can start elsewhere.
        if (
            leased.runs
            and leased.lease.clock_known
            and leased.silent_since is None
        ):
            lease_until_ms = self._extend_lease(asked_at)
        endpoint = leased.endpoint
        leased.report_due = False
        answer: orders.PollAnswer
        try:
            async with asyncio.timeout(None) as self._poll_limit:
                answer = await self._orders.poll(
                    endpoint,
                    token=token,
                    seen=seen,
                    lease_until_ms=lease_until_ms,
                    wait_ms=wait_ms,
                    timeout_s=wait_ms / 1_000 + self._poll_timeout_s,
                )
        except TimeoutError:
            # A report that was requested later is needed. The lease counts as
            # extended, and ends that are acknowledged again do no harm.
            return
        finally:
            self._poll_limit = None
        now = self._clock.monotonic()
        if self._poll_times is not None and not wait_ms:
            self._poll_times.record(now - asked_at)
        match answer:
            case orders.Report():
                self._repeats_poll = False
                leased.silent_since = None
                if reports_required == leased.reports_required:
                    self._record_report(
                        answer, asked_at, token=token, seen=seen
                    )
            case orders.Refused(refusal=orders.Refusal.FENCED):
                # An outdated poll is repeated at once. Otherwise another leader
                # holds the endpoint; its lease is not renewed here.
                if not self._is_outdated(token):
                    self._events.on_fenced(leased, token)
                    self._record_silence(now)
                    await asyncio.sleep(_RETRY_S)
            case orders.NoAnswer() if (
                self._poll_times is not None and not self._repeats_poll
            ):
                # One lost answer is no silence.
                self._repeats_poll = leased.report_due = True
            case orders.Refused() | orders.NoAnswer():
                self._check_replaced(answer, endpoint.url)
                await self._wait_after_silence(now)

    @property
    def _poll_timeout_s(self) -> float:
        """Time beyond its duration after which a poll counts as unanswered."""
        if self._poll_times is None:
            return _POLL_TIMEOUT_S
        return min(self._poll_times.wait_s, _POLL_TIMEOUT_S)

    def _request_report(self) -> None:
        """Has the lists read at once, in place of the poll in progress."""
        self._leased.report_due = True
        limit = self._poll_limit
        # A limit that has been set is about to end the poll already.
        if limit is not None and limit.when() is None:
            limit.reschedule(asyncio.get_running_loop().time())

    def _record_overdue(self, run: runs.Run, timeout: asyncio.Timeout) -> None:
        """Has the lists read, as the answer to a start is late.

        An endpoint that does not answer this either is slow itself. Its starts
        then end with the timeout of orders.
        """
        self._overdue[run] = timeout
        self._request_report()

    def _give_up_overdue(self) -> None:
        """Gives up the starts that a report has not shown."""
        for run, timeout in self._overdue.items():
            if run.state is not runs.State.RUNNING and timeout.when() is None:
                timeout.reschedule(asyncio.get_running_loop().time())

    def _check_replaced(self, answer: orders.PollAnswer, url: str) -> None:
        """Reports an answer that shows another endpoint at the address."""
        match answer:
            case orders.Refused(refusal=orders.Refusal.MISDIRECTED):
                self._events.on_replaced(self._leased, url)
            case _:
                pass

    def _extend_lease(self, now: float) -> int:
        leased = self._leased
        return leased.lease.extend(now, end_by=self._events.runs_end_by(leased))

    def _may_acknowledge(self, now: float) -> bool:
        """Whether all ends up to the last known one belong to this incarnation.

        Numbers of ends start anew with each incarnation.
        """
        leased = self._leased
        if leased.silent_since is not None or not leased.reconciled:
            return False
        return (
            not leased.has_sent_runs or now - leased.polled_at < _CONTINUOUS_S
        )

    def _record_report(
        self,
        report: orders.Report,
        asked_at: float,
        *,
        token: int,
        seen: int,
    ) -> None:
        leased = self._leased
        now = self._clock.monotonic()
        leased.accepted_token = True
        leased.polled_at = now
        former_born_ms = leased.born_ms
        restarted = leased.record_incarnation(report.born_ms)
        leased.lease.update_clock(report.clock_ms, now)
        if restarted:
            leased.lease.assume_extended(now)
            self._events.on_restarted(
                leased, report, former_born_ms=former_born_ms
            )
            return
        leased.acknowledged = max(leased.acknowledged, seen)
        self._events.on_reported(leased, report, asked_at=asked_at, token=token)
        self._give_up_overdue()

    def _wait_ms(self) -> int:
        leased = self._leased
        if not leased.reconciled or leased.silent_since is not None:
            return 0
        if leased.report_due:
            return 0
        if leased.orphans:
            return _STOP_WAIT_MS
        sent = [run for run in leased.runs.values() if run.sent_at]
        if not sent and leased.seen > leased.acknowledged:
            return 0
        if not sent:
            return _IDLE_WAIT_MS
        if any(run.state is runs.State.STOPPING for run in sent):
            return _STOP_WAIT_MS
        if self._poll_times is None:
            return _WAIT_MS
        return int(
            1_000
            * poll_schedule.wait_s(
                sent,
                slowness=leased.slowness,
                now=self._clock.monotonic(),
                longest_s=_WAIT_MS / 1_000,
            )
        )

    async def _wait_after_silence(self, now: float) -> None:
        """Records an unanswered poll and waits before the next one."""
        self._record_silence(now)
        leased = self._leased
        if leased.runs:
            await asyncio.sleep(_RETRY_S)
        elif now < leased.held_up_until:
            await asyncio.sleep(_HELD_UP_RETRY_S)
        else:
            await asyncio.sleep(_SLOW_RETRY_S)

    def _record_silence(self, now: float) -> None:
        """Suspends starts and renewals; drops runs once the lease ends."""
        leased = self._leased
        if leased.silent_since is None:
            leased.silent_since = now
        has_runs = leased.has_sent_runs or leased.orphans
        if has_runs and now >= leased.lease.latest_end:
            # Starts and renewals without an answer may still be carried out.
            leased.fence()
            self._events.on_all_ended(leased, "lease expired without an answer")

    async def _send_starts(self) -> None:
        while not self._leased.released:
            order = await self._leased.starts.get()
            # The message that tells other instances of the start goes first.
            await asyncio.sleep(0)
            await self._start(order.run)

    async def _send_stops(self) -> None:
        while not self._leased.released:
            await self._stop(await self._leased.stops.get())

    async def _start(self, run: runs.Run) -> None:
        leased = self._leased
        if not self._events.may_start(run):
            return
        sent_at = self._clock.monotonic()
        fences = leased.fences
        run.token = self._token
        run.sent_at = sent_at
        run.held_up_until = sent_at + runs.HELD_UP_S
        endpoint = leased.endpoint
        run.url = endpoint.url
        leased.wake()
        answer = await self._order_start(endpoint, run, sent_at)
        now = self._clock.monotonic()
        if fences != leased.fences:
            # The endpoint may have started again before it got the order.
            leased.lease.assume_extended(now)
        match answer:
            case orders.Accepted():
                run.confirmed_at = now
                self._update_clock(answer.clock_ms, sent_at, fences=fences)
                self._events.on_accepted(leased, run)
            case orders.Refused(refusal=orders.Refusal.FENCED):
                self._events.on_refused(leased, run, answer.refusal)
                if not self._is_outdated(run.token):
                    self._events.on_fenced(leased, run.token)
            case orders.Refused():
                self._update_clock(answer.clock_ms, sent_at, fences=fences)
                self._events.on_refused(leased, run, answer.refusal)
                self._check_replaced(answer, endpoint.url)
            case orders.NoAnswer():
                if answer.sent:
                    leased.expect_held_up_start(now)
                else:
                    run.held_up_until = 0.0
                self._events.on_unanswered(leased, run, answer.detail)

    async def _order_start(
        self, endpoint: endpoints.Endpoint, run: runs.Run, sent_at: float
    ) -> orders.Answer:
        """Sends a start and waits for its answer no longer than is usual."""
        times = self._start_times
        answer: orders.Answer
        limit: answer_times.Limit | None = None
        try:
            async with asyncio.timeout(None) as timeout:
                if times is not None:
                    limit = answer_times.Limit(
                        times.wait_s,
                        functools.partial(self._record_overdue, run, timeout),
                    )
                answer = await self._orders.start(
                    endpoint,
                    task=run.task,
                    run=run.number,
                    spec=run.spec,
                    token=run.token,
                    lease_until_ms=self._extend_lease(sent_at),
                )
        except TimeoutError:
            answer = orders.NoAnswer("no answer in the usual time")
        finally:
            if limit is not None:
                limit.cancel()
                self._overdue.pop(run, None)
        took_s = self._clock.monotonic() - sent_at
        for recorded in (times, self._poll_times):
            if recorded is not None:
                recorded.record(took_s)
        return answer

    def _update_clock(
        self, clock_ms: int, sent_at: float, *, fences: int
    ) -> None:
        """Updates the endpoint's clock from an answer to a start or a stop.

        The answer may come from a former incarnation if the endpoint has been
        fenced since the order was sent. A clock that has gone back shows a
        restart before any report does. The end of a lease on the former clock is
        far ahead on that of the next incarnation, which then grants the longest
        lease from the time at which it carries the order out.
        """
        leased = self._leased
        now = self._clock.monotonic()
        if not clock_ms or fences != leased.fences:
            return
        if leased.lease.shows_restart(clock_ms, sent_at):
            leased.lease.assume_extended(now)
            leased.lease.reset_clock()
            leased.fence()
        else:
            leased.lease.update_clock(clock_ms, now)

    async def _stop(self, stop: runs.StopOrder) -> None:
        """Sends a stop; repeats it until answered or the run is removed."""
        leased = self._leased
        fences = leased.fences
        token = self._token
        sent_at = self._clock.monotonic()
        endpoint = leased.endpoint
        answer = await self._orders.stop(
            endpoint,
            task=stop.task,
            run=stop.number,
            token=token,
        )
        now = self._clock.monotonic()
        match answer:
            case orders.Accepted():
                self._update_clock(answer.clock_ms, sent_at, fences=fences)
                if stop.run is not None:
                    if self._start_times is not None and not (
                        stop.run.confirmed_at
                    ):
                        # The stop was carried out before its answer arrived, so
                        # a report that is requested now counts.
                        now = math.nextafter(now, 0.0)
                        self._request_report()
                    stop.run.confirmed_at = now
                leased.wake()
            case orders.Refused(refusal=orders.Refusal.FENCED):
                if self._is_outdated(token):
                    leased.stops.put_nowait(stop)
                else:
                    self._events.on_fenced(leased, token)
            case orders.Refused() | orders.NoAnswer():
                self._check_replaced(answer, endpoint.url)
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
                if not stop.run.confirmed_at and stop.run.token == token:
                    # The next report shows whether the run has begun; its start
                    # has no effect after it.
                    leased.fence()
                await asyncio.sleep(max(0.0, sent_at + _STOP_PERIOD_S - now))
                leased.stops.put_nowait(stop)
