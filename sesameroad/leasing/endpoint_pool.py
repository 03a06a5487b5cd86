"""The endpoints that a leader holds, each with its session."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Protocol

from sesameroad.leasing import answer_times
from sesameroad.leasing import endpoint_session
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import leases
from sesameroad.leasing import orders
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.telemetry import log

# Time within which sessions end after they were cancelled, in seconds.
_END_TIMEOUT_S = 0.5


class Events(endpoint_session.Events, Protocol):
    """Callbacks of sessions and of the pool to the owner of the runs."""

    def on_released(self, leased: leased_endpoint.LeasedEndpoint) -> None:
        """Called when an endpoint is released; its runs count as ended."""


class EndpointPool:
    """Holds the listed endpoints and releases those no longer listed."""

    __slots__ = (
        "_clock",
        "_evacuated",
        "_events",
        "_leased",
        "_sessions",
        "_start_times",
        "_lease_s",
        "_orders",
        "_poll_times",
        "_released_fences",
        "_unlisted",
    )

    def __init__(
        self,
        *,
        orders_: orders.Orders,
        lease_s: float,
        events: Events,
        clock: clocks.Clock,
        start_times: answer_times.AnswerTimes | None = None,
        poll_times: answer_times.AnswerTimes | None = None,
    ) -> None:
        """Creates a pool without endpoints.

        Args:
            orders_: Sends orders.
            lease_s: Longest lease that an endpoint grants, in seconds.
            events: Receives the events of the endpoints.
            clock: Time source.
            start_times: Wait for answers to starts, None for that of orders.
            poll_times: Wait for answers to polls, None for that of orders.
        """
        self._start_times = start_times
        self._poll_times = poll_times
        self._orders = orders_
        self._lease_s = lease_s
        self._events = events
        self._clock = clock
        self._leased: dict[str, leased_endpoint.LeasedEndpoint] = {}
        self._sessions: dict[str, asyncio.Task[None]] = {}
        self._unlisted: set[str] = set()
        self._evacuated: frozenset[str] = frozenset()
        # One more than the highest number of fences of a released endpoint. One
        # that is listed again refuses lower tokens, and also orders from before.
        self._released_fences = 0

    def __len__(self) -> int:
        return len(self._leased)

    def __iter__(self) -> Iterator[leased_endpoint.LeasedEndpoint]:
        return iter(tuple(self._leased.values()))

    def find(self, name: str) -> leased_endpoint.LeasedEndpoint | None:
        """Returns an endpoint by its id, None if it is not held."""
        return self._leased.get(name)

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres whose endpoints get no more starts."""
        return self._evacuated

    @property
    def free_cores(self) -> float:
        """Processor cores that no run uses."""
        now = self._clock.monotonic()
        return sum(
            leased.free_cores for leased in self if leased.accepts_runs(now)
        )

    @property
    def expected_cores(self) -> float:
        """Cores on which jobs can count, used or not, weighted by speed."""
        now = self._clock.monotonic()
        return sum(
            leased.endpoint.offer.cores
            * leased.share
            / max(1.0, leased.slowness)
            for leased in self
            if leased.is_expected(now) and not leased.closed
        )

    def is_established(self, data_centre: str) -> bool:
        """Whether any endpoint of a data centre has accepted the token."""
        return any(
            leased.accepted_token and leased.endpoint.data_centre == data_centre
            for leased in self
        )

    def is_reconciled(self, now: float) -> bool:
        """Whether all live runs of earlier leaders are known."""
        return all(
            leased.reconciled or now >= leased.unknown_until for leased in self
        )

    def invalidate(self) -> None:
        """Marks the known runs of all endpoints as incomplete."""
        now = self._clock.monotonic()
        for leased in self:
            leased.invalidate(now)

    def expect_held_up_starts(self) -> None:
        """Has all endpoints polled while starts of an earlier leader may come.

        The endpoints refuse them for their lower token, unless they have
        started again since and have not been polled.
        """
        now = self._clock.monotonic()
        for leased in self:
            leased.expect_held_up_start(now)

    def update(self, listed: Iterable[endpoints.Endpoint]) -> None:
        """Adds newly listed endpoints and marks the others as leaving."""
        wanted = {endpoint.id: endpoint for endpoint in listed}
        for name in self._leased.keys() - wanted.keys():
            # Its runs may still be active although it is no longer listed.
            leased = self._leased[name]
            leased.describe(endpoints.as_leaving(leased.endpoint))
            self._unlisted.add(name)
        self._unlisted -= wanted.keys()
        for name, endpoint in wanted.items():
            leased = self._leased.get(name)
            if leased is None:
                self._hold(endpoint)
                continue
            former = leased.endpoint
            listed_before_ms = former.born_ms
            leased.describe(endpoint)
            now = self._clock.monotonic()
            leased.record_cold(former, now)
            leased.set_evacuated(endpoint.data_centre in self._evacuated, now)
            if endpoint.born_ms != listed_before_ms:
                log.event(
                    "the list shows another start of an endpoint",
                    step="run",
                    peer=name,
                    born_ms=endpoint.born_ms,
                    former_born_ms=listed_before_ms,
                    reported_born_ms=leased.born_ms,
                )

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Replaces the data centres whose endpoints get no more starts."""
        self._evacuated = data_centres
        now = self._clock.monotonic()
        for leased in self:
            leased.set_evacuated(
                leased.endpoint.data_centre in data_centres, now
            )

    def update_recovery(self) -> None:
        """Updates the endpoints that are cold or have been taken back."""
        now = self._clock.monotonic()
        for leased in self:
            leased.update_recovery(now)

    def release_unlisted(self) -> None:
        """Releases endpoints that are no longer listed and have no runs."""
        now = self._clock.monotonic()
        for name in tuple(self._unlisted):
            leased = self._leased[name]
            # Without its state a restart would not be noticed while a start to
            # the former incarnation may still be carried out.
            if leased.runs or leased.orphans or now < leased.held_up_until:
                continue
            self._release(name)

    def cancel(self) -> None:
        """Has all sessions end without another order; recorded runs stay."""
        for leased in self._leased.values():
            leased.released = True
        for task in self._sessions.values():
            task.cancel()

    async def wait_ended(self) -> None:
        """Waits until the sessions have ended after `cancel`, for a short time.

        One whose cancellation was lost ends after the order that it has sent.
        """
        if not self._sessions:
            return
        _, pending = await asyncio.wait(
            self._sessions.values(), timeout=_END_TIMEOUT_S
        )
        if pending:
            log.problem(
                "sessions with endpoints end later than their leader",
                step="keep endpoint",
                sessions=sorted(task.get_name() for task in pending),
            )

    def _hold(self, endpoint: endpoints.Endpoint) -> None:
        leased = leased_endpoint.LeasedEndpoint(
            endpoint, lease=leases.Lease(duration_s=self._lease_s)
        )
        leased.evacuated = endpoint.data_centre in self._evacuated
        leased.record_cold(None, self._clock.monotonic())
        leased.fences = self._released_fences
        leased.invalidate(self._clock.monotonic())
        self._leased[endpoint.id] = leased
        session = endpoint_session.EndpointSession(
            leased,
            orders_=self._orders,
            events=self._events,
            clock=self._clock,
            start_times=self._start_times,
            poll_times=self._poll_times,
        )
        self._sessions[endpoint.id] = asyncio.create_task(
            self._run_session(leased, session), name=f"endpoint {endpoint.id}"
        )

    async def _run_session(
        self,
        leased: leased_endpoint.LeasedEndpoint,
        session: endpoint_session.EndpointSession,
    ) -> None:
        try:
            await session.run()
        except ExceptionGroup as error:
            log.problem(
                "the task of an endpoint failed",
                step="keep endpoint",
                peer=leased.endpoint.id,
                error=repr(error.exceptions[0]),
            )
            # Without a session the lease is not renewed. The runs end with it,
            # and the next update adds the endpoint again.
            left_s = leased.lease.latest_end - self._clock.monotonic()
            await asyncio.sleep(max(0.0, left_s))
            self._release(leased.endpoint.id)

    def _release(self, name: str) -> None:
        leased = self._leased.pop(name)
        leased.released = True
        self._released_fences = max(self._released_fences, leased.fences + 1)
        self._unlisted.discard(name)
        task = self._sessions.pop(name, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._events.on_released(leased)
