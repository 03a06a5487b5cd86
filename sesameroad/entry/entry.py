"""Creates, starts and stops the components of an entry instance."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Self

from aiohttp import web

from sesameroad.configuration import store
from sesameroad.configuration import watcher as configuration_watcher
from sesameroad.entry import console
from sesameroad.entry import dispatcher
from sesameroad.entry import fleet
from sesameroad.entry import gossip
from sesameroad.entry import inspection
from sesameroad.entry import intake
from sesameroad.entry import membership_updates
from sesameroad.entry import observer
from sesameroad.entry import spill
from sesameroad.entry import supervisor
from sesameroad.entry import web as web_module
from sesameroad.membership import directory
from sesameroad.membership import listing
from sesameroad.membership import watcher as membership_watcher
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.node import http_server
from sesameroad.operators import access
from sesameroad.operators import interpreter
from sesameroad.operators import recent_events
from sesameroad.ownership import claims
from sesameroad.ownership import handoffs
from sesameroad.ownership import keys
from sesameroad.ownership import ledger
from sesameroad.peering import links
from sesameroad.peering import mesh
from sesameroad.peering import messages
from sesameroad.platform import object_store
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.platform import table as table_module
from sesameroad.routing import connection_pool
from sesameroad.routing import endpoint_health
from sesameroad.routing import feasibility
from sesameroad.routing import results
from sesameroad.routing import retry_budget
from sesameroad.routing import sender
from sesameroad.scheduling import admission
from sesameroad.scheduling import allocation
from sesameroad.scheduling import allocation_agent
from sesameroad.scheduling import matcher
from sesameroad.scheduling import pending_task
from sesameroad.scheduling import policy
from sesameroad.scheduling import queue as queue_module
from sesameroad.settings import settings as settings_module
from sesameroad.telemetry import burn
from sesameroad.telemetry import log
from sesameroad.telemetry import metrics

_SWEEP_PERIOD_S = 1.0
# How long a stop waits for open sends. Their outcomes are decided before, so no
# caller waits for them.
_CLOSE_TIMEOUT_S = 5.0
# Time to write the answers that are decided at the end of the graceful stop.
_LAST_REQUESTS_S = 1.0
# Time until an idle connection of a caller is closed. It is longer than proxies
# keep theirs, so that no request crosses the close.
_KEEPALIVE_S = 3_630.0


class Entry:
    """An entry instance with all its components."""

    def __init__(
        self, settings: settings_module.Settings, *, clock: clocks.Clock
    ) -> None:
        timing = settings.timing
        limits = settings.limits
        self._settings = settings
        self._incarnation = keys.new_incarnation()
        self._leaving = False
        self._supervisor = supervisor.Supervisor()
        self._clock = clock
        self._runner: web.AppRunner | None = None
        self._server: http_server.HttpServer | None = None
        # Time of the end of the graceful stop.
        self._stop_by = 0.0
        self._platform = platform_client.PlatformClient.open(
            settings.platform_url, timeout_s=timing.platform_timeout_s
        )
        table = table_module.Table(row_store.RowStore(self._platform))
        self._listing_reader = listing.ListingReader(table)
        self._store = store.Store(
            table=table,
            fallback=settings.fallback,
            accepted=self._configuration_accepted,
        )
        self._directory = directory.Directory(seeds=settings.peers, clock=clock)
        self._ledger = ledger.Ledger(
            clock=clock,
            max_records=limits.max_records,
            max_marks=limits.max_key_marks,
            max_held_bytes=limits.max_held_bytes,
            incarnation=self._incarnation,
        )
        self._handoff_store = handoffs.HandoffStore(
            objects=object_store.ObjectStore(self._platform), clock=clock
        )
        self._allocation = allocation.Allocation(clock)
        self._policy = policy.Policy(
            self._store.current.document, allocation=self._allocation
        )
        queue = queue_module.Queue()
        self._health = endpoint_health.EndpointHealth(clock=clock)
        self._budget = retry_budget.RetryBudget()
        self._matcher = matcher.Matcher(
            queue=queue,
            policy=self._policy,
            allocation=self._allocation,
            rank=self._health.rank,
            clock=clock,
        )
        self._admission = admission.Admission(
            self._store.current.document,
            max_queued=limits.max_queued_tasks,
            queue=queue,
            policy=self._policy,
            allocation=self._allocation,
        )
        self._matcher.set_callbacks(observe=self._admission.observe)
        self._allocation_agent = allocation_agent.AllocationAgent(
            entry=settings.instance_id,
            allocation=self._allocation,
            matcher=self._matcher,
            policy=self._policy,
            queue=queue,
            clock=clock,
            send=self._send_to_entry,
        )
        self._mesh = mesh.Mesh(
            hello=messages.Hello(
                settings.instance_id, settings.data_centre, self._incarnation
            ),
            heartbeat=self._make_heartbeat,
            receive=self._receive,
            changed=self._members_changed,
            heartbeat_s=timing.heartbeat_s,
            timeout_s=timing.peer_timeout_s,
        )
        self._gossip = gossip.Gossip(
            instance_id=settings.instance_id,
            mesh=self._mesh,
            store=self._store,
            directory=self._directory,
            clock=clock,
            configuration_changed=self._configuration_changed,
            members_changed=self._members_changed,
        )
        self._feasibility = feasibility.Feasibility()
        self._spill = spill.Spill(
            data_centre=settings.data_centre,
            ledger=self._ledger,
            mesh=self._mesh,
            feasibility=self._feasibility,
            expected_wait_s=self._admission.expected_wait_s,
            clock=clock,
            wait_limit_s=self._store.current.document.operations.spill_wait_ms
            / 1_000,
        )
        self._dispatcher = dispatcher.Dispatcher(
            ledger=self._ledger,
            matcher=self._matcher,
            admission=self._admission,
            clock=clock,
            observe=self._record_outcome,
            budget=self._budget,
            spill=self._spill,
        )
        self._sender = sender.Sender.open(
            ledger=self._ledger,
            clock=clock,
            answer_grace_s=timing.answer_grace_s,
            max_answer_bytes=limits.max_answer_bytes,
        )
        self._connection_pool = connection_pool.ConnectionPool(
            matcher=self._matcher,
            sender=self._sender,
            settle=self._handle_send_result,
            health=self._health,
            budget=self._budget,
            clock=clock,
            leaving=self._endpoint_leaving,
        )
        self._membership_updates = membership_updates.MembershipUpdates(
            settings=settings,
            directory=self._directory,
            store=self._store,
            mesh=self._mesh,
            pool=self._connection_pool,
            allocation_agent=self._allocation_agent,
            feasibility=self._feasibility,
            is_leaving=lambda: self._leaving,
        )
        self._intake = intake.Intake(
            incarnation=self._incarnation,
            issuer=keys.Issuer.from_secret(
                settings.key_secret,
                data_centre=settings.data_centre,
                incarnation=self._incarnation,
                lifetime_s=timing.key_lifetime_s,
                clock=clock,
            ),
            claim_store=claims.ClaimStore(
                table=table,
                clock=clock,
                incarnation=self._incarnation,
                data_centre=settings.data_centre,
                lifetime_ms=int(timing.key_lifetime_s * 1_000),
            ),
            handoff_store=self._handoff_store,
            dispatcher=self._dispatcher,
            ledger=self._ledger,
            mesh=self._mesh,
            clock=clock,
            clock_skew_ms=int(timing.clock_skew_s * 1_000),
        )
        self._recent_events = recent_events.RecentEvents()
        self._inspection = inspection.Inspection(
            settings=settings,
            incarnation=self._incarnation,
            clock=clock,
            store=self._store,
            directory=self._directory,
            ledger=self._ledger,
            sender=self._sender,
            dispatcher=self._dispatcher,
            allocation=self._allocation,
            pool=self._connection_pool,
            mesh=self._mesh,
            recent_events=self._recent_events,
            burn_counts=burn.Burn(),
        )
        self._metrics = metrics.Metrics(self._inspection.figures)
        self._observer = observer.Observer(
            metrics=self._metrics,
            burn=self._inspection.burn_counts,
            recent_events=self._recent_events,
            clock=clock,
            configuration=lambda: self._store.current.document,
        )
        self._interpreter = interpreter.Interpreter(
            inspection=self._inspection,
            fleet=fleet.Fleet(
                instance_id=settings.instance_id,
                directory=self._directory,
                mesh=self._mesh,
            ),
            recent_events=self._recent_events,
            configuration=self._store,
            changer=self._store,
        )
        self._web = web_module.Web(
            intake=self._intake,
            store=self._store,
            clock=clock,
            check_feasibility=self._feasibility.refusal,
            ready=lambda: self.ready,
            observer=self._observer,
            console=console.Console(
                access=access.Access(settings.operators),
                interpreter=self._interpreter,
                metrics=self._metrics,
            ),
        )

    @classmethod
    def from_settings(cls, settings: settings_module.Settings) -> Self:
        """Returns an entry that is not started yet."""
        return cls(settings, clock=clocks.Clock())

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        return (
            not self._leaving
            and self._gossip.caught_up
            and bool(tuple(self._connection_pool.live))
        )

    async def start(self) -> None:
        """Starts all services."""
        settings = self._settings
        await self._mesh.start(settings.peer.host, settings.peer.port)
        self._apply_configuration()
        period_s = settings.timing.poll_s
        self._supervisor.run(
            "watch members",
            lambda: membership_watcher.watch(
                self._listing_reader,
                self._directory,
                period_s=period_s,
                changed=self._listing_changed,
            ),
        )
        self._supervisor.run(
            "watch configuration",
            lambda: configuration_watcher.watch(
                self._store,
                period_s=period_s,
                changed=self._configuration_accepted,
            ),
        )
        self._supervisor.run("share slots", self._allocation_agent.run)
        self._supervisor.run("sweep", self._sweep)
        application = self._web.application(
            max_body_bytes=settings.limits.max_body_bytes
        )
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        application_server = self._runner.server
        assert application_server is not None
        # The sites of aiohttp drop what arrives on open connections while they
        # are closed.
        self._server = await http_server.HttpServer.open(
            (settings.web.host, settings.web.port),
            application_server.request_handler,
            interrupted=self._web.interrupted,
            keepalive_s=_KEEPALIVE_S,
            request_factory=application_server.request_factory,
            ends_abandoned=False,
        )
        log.event(
            "entry started",
            step="start",
            incarnation=self._incarnation,
        )

    async def stop(self) -> None:
        """Stops gracefully, so that requests in flight still get responses."""
        self._leaving = self._inspection.leaving = True
        self._mesh.send_heartbeats()
        self._members_changed()
        # The load balancer sends callers here until it sees a failed readiness
        # check.
        await asyncio.sleep(self._settings.timing.stop_notice_s)
        self._dispatcher.stop_accepting()
        graceful_stop_s = self._settings.timing.graceful_stop_s
        self._stop_by = self._clock.monotonic() + graceful_stop_s
        try:
            async with asyncio.timeout(graceful_stop_s):
                await self._dispatcher.drain()
        except TimeoutError:
            log.problem(
                "work is still in flight at the end of the graceful stop",
                step="stop",
                in_flight=self._dispatcher.in_flight,
            )
        self._dispatcher.shut_down()
        await self._close()
        log.event("entry stopped", step="stop")

    async def _close(self) -> None:
        """Closes all components, also after one has failed to close.

        Raises:
            ExceptionGroup: If any component failed to close.
        """
        steps: list[Callable[[], Awaitable[None]]] = [
            self._intake.drain,
            lambda: self._handoff_store.write(self._incarnation, self._ledger),
            self._supervisor.stop,
            self._close_connections,
            self._mesh.stop,
            self._sender.close,
            self._platform.close,
        ]
        if self._runner is not None:
            steps.insert(2, self._runner.cleanup)
        if self._server is not None:
            # The HTTP server closes only now, so that callers get responses
            # for the outcomes that the stop has decided.
            steps.insert(2, self._close_server)
        failures: list[Exception] = []
        for step in steps:
            try:
                await step()
            except Exception as error:  # noqa: BLE001
                failures.append(error)
        if failures:
            raise ExceptionGroup("graceful stop", failures)

    async def _close_server(self) -> None:
        """Closes the HTTP server once all requests have been answered.

        Work whose home is another entry is answered as unknown at the end of the
        graceful stop.
        """
        assert self._server is not None
        remaining_s = self._stop_by - self._clock.monotonic()
        await self._server.close(timeout_s=max(_LAST_REQUESTS_S, remaining_s))

    async def _close_connections(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await self._connection_pool.close()

    def _make_heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            configuration_version=self._store.current.number,
            listing_version=self._directory.listing.version,
            leaving=self._leaving,
        )

    def _receive(self, link: links.Link, message: messages.Message) -> None:
        match message:
            case messages.RelayRequest(purpose=purpose):
                self._metrics.relay_received(purpose.name.lower())
                self._intake.receive(link, message)
            case messages.StatusQuery():
                self._intake.receive(link, message)
            case messages.FleetQuery():
                fleet.reply(link, message, self._interpreter.answer_peer)
            case messages.Demand() | messages.Allocation():
                self._allocation_agent.receive(link.hello.instance_id, message)
            case _:
                self._gossip.receive(link, message)

    def _members_changed(self) -> None:
        self._membership_updates.apply()

    def _send_to_entry(self, entry: str, message: messages.Message) -> bool:
        """Sends a message on the allocation of slots to an entry.

        Returns:
            Whether it was sent.
        """
        link = self._mesh.peers.get(entry)
        return link is not None and self._mesh.send(link, message)

    def _listing_changed(self) -> None:
        self._gossip.listing_changed()
        self._members_changed()

    def _endpoint_leaving(self, endpoint_id: str) -> None:
        if self._gossip.mark_endpoint_leaving(endpoint_id):
            self._members_changed()

    def _configuration_accepted(self) -> None:
        self._gossip.push_configuration()
        self._configuration_changed()

    def _configuration_changed(self) -> None:
        version = self._store.current
        self._recent_events.record_change(
            {
                "version": version.number,
                "author": version.author,
                "role": version.role.value,
                "summary": version.summary,
            }
        )
        self._apply_configuration()

    def _apply_configuration(self) -> None:
        document = self._store.current.document
        self._budget.configure(document.operations.retry_percent)
        self._spill.configure(document.operations.spill_wait_ms)
        self._policy.configure(document)
        self._admission.configure(document)
        self._directory.drain(document.operations.drained)
        self._members_changed()

    def _record_outcome(
        self, work: work_module.Work, outcome: outcomes.Outcome, _seconds: float
    ) -> None:
        self._metrics.decided(work.kind, outcomes.label(outcome))

    def _handle_send_result(
        self, pending: pending_task.PendingTask, result: results.Result
    ) -> None:
        self._observer.record_send(pending, result)
        self._dispatcher.handle_send_result(pending, result)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_PERIOD_S)
            self._dispatcher.sweep()
