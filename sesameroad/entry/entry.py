"""Wires the parts of an entry instance together."""

import asyncio
from typing import Self

from aiohttp import web

from sesameroad.configuration import store as stores
from sesameroad.configuration import watcher as configuration_watcher
from sesameroad.entry import dispatcher as dispatchers
from sesameroad.entry import intake as intakes
from sesameroad.entry import spread as spreads
from sesameroad.entry import web as webs
from sesameroad.membership import directory as directories
from sesameroad.membership import watcher as membership_watcher
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.ownership import claim as claims
from sesameroad.ownership import key as keys
from sesameroad.ownership import ledger as ledgers
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.platform import client as clients
from sesameroad.platform import instances
from sesameroad.platform import table as tables
from sesameroad.routing import pool as pools
from sesameroad.routing import sender as senders
from sesameroad.scheduling import allocation as allocations
from sesameroad.scheduling import matcher as matchers
from sesameroad.scheduling import policy as policies
from sesameroad.scheduling import queue as queues
from sesameroad.settings import settings as settings_module
from sesameroad.telemetry import log

_SWEEP_PERIOD_S = 1.0


class Entry:
    """One entry instance, from its settings to its graceful shutdown."""

    def __init__(
        self, settings: settings_module.Settings, *, clock: clocks.Clock
    ) -> None:
        timing = settings.timing
        limits = settings.limits
        self._settings = settings
        self._incarnation = keys.new_incarnation()
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._platform = clients.Client.open(
            settings.platform_url, timeout_s=timing.platform_timeout_s
        )
        table = tables.Table(self._platform)
        self._instances = instances.Instances(self._platform)
        self._store = stores.Store(
            table=table,
            fallback=settings.fallback,
            accepted=self._configuration_accepted,
        )
        self._directory = directories.Directory(
            seeds=settings.peers, clock=clock
        )
        self._ledger = ledgers.Ledger(
            clock=clock, max_records=limits.max_records
        )
        self._policy = policies.Policy(self._store.current.document)
        self._allocation = allocations.Allocation()
        self._matcher = matchers.Matcher(
            queue=queues.Queue(),
            policy=self._policy,
            allocation=self._allocation,
        )
        self._dispatcher = dispatchers.Dispatcher(
            ledger=self._ledger,
            matcher=self._matcher,
            limits=limits,
            clock=clock,
            observe=self._observe,
        )
        self._sender = senders.Sender.open(
            ledger=self._ledger,
            clock=clock,
            answer_grace_s=timing.answer_grace_s,
            max_answer_bytes=limits.max_answer_bytes,
        )
        self._pool = pools.Pool(
            matcher=self._matcher,
            sender=self._sender,
            settle=self._dispatcher.settle,
        )
        self._mesh = meshes.Mesh(
            hello=messages.Hello(
                settings.instance_id, settings.data_centre, self._incarnation
            ),
            heartbeat=self._heartbeat,
            receive=self._receive,
            changed=self._members_changed,
            heartbeat_s=timing.heartbeat_s,
            timeout_s=timing.peer_timeout_s,
        )
        self._spread = spreads.Spread(
            instance_id=settings.instance_id,
            mesh=self._mesh,
            store=self._store,
            directory=self._directory,
            clock=clock,
            configuration_changed=self._configuration_changed,
            members_changed=self._members_changed,
        )
        self._intake = intakes.Intake(
            incarnation=self._incarnation,
            issuer=keys.Issuer.from_secret(
                settings.key_secret,
                data_centre=settings.data_centre,
                incarnation=self._incarnation,
                lifetime_s=timing.key_lifetime_s,
                clock=clock,
            ),
            claimer=claims.Claims(
                table=table,
                clock=clock,
                incarnation=self._incarnation,
                data_centre=settings.data_centre,
                lifetime_ms=int(timing.key_lifetime_s * 1_000),
            ),
            dispatcher=self._dispatcher,
            ledger=self._ledger,
            mesh=self._mesh,
            clock=clock,
            clock_skew_ms=int(timing.clock_skew_s * 1_000),
        )
        self._web = webs.Web(
            intake=self._intake,
            store=self._store,
            clock=clock,
            accepts=self._pool.accepts,
            ready=lambda: self.ready,
        )

    @classmethod
    def from_settings(cls, settings: settings_module.Settings) -> Self:
        """Returns an entry that is not started yet."""
        return cls(settings, clock=clocks.Clock())

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return (
            not self._leaving
            and self._spread.settled
            and bool(tuple(self._pool.live))
        )

    async def start(self) -> None:
        """Starts all services."""
        settings = self._settings
        await self._mesh.start(settings.peer.host, settings.peer.port)
        self._members_changed()
        self._tasks = [
            asyncio.create_task(
                membership_watcher.watch(
                    self._instances,
                    self._directory,
                    period_s=settings.timing.poll_s,
                    changed=self._listing_changed,
                )
            ),
            asyncio.create_task(
                configuration_watcher.watch(
                    self._store,
                    period_s=settings.timing.poll_s,
                    changed=self._configuration_accepted,
                )
            ),
            asyncio.create_task(self._sweep()),
        ]
        application = self._web.application(
            max_body_bytes=settings.limits.max_body_bytes
        )
        self._runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=settings.timing.graceful_stop_s,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, settings.web.host, settings.web.port)
        await site.start()
        log.event(
            "entry started",
            step="start",
            incarnation=self._incarnation,
        )

    async def stop(self) -> None:
        """Stops gracefully: no request in flight is cut off."""
        self._leaving = True
        self._mesh.beat()
        self._dispatcher.stop_accepting()
        try:
            async with asyncio.timeout(self._settings.timing.graceful_stop_s):
                await self._dispatcher.drain()
        except TimeoutError:
            log.problem(
                "work is still in flight at the end of the graceful stop",
                step="stop",
                in_flight=self._dispatcher.in_flight,
            )
        if self._runner is not None:
            await self._runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await self._pool.close()
        await self._mesh.stop()
        await self._sender.close()
        await self._platform.close()
        log.event("entry stopped", step="stop")

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            configuration_version=self._store.current.number,
            listing_version=self._directory.listing.version,
            leaving=self._leaving,
        )

    def _receive(self, link: links.Link, message: messages.Message) -> None:
        match message:
            case messages.RelayRequest() | messages.StatusQuery():
                self._intake.receive(link, message)
            case _:
                self._spread.receive(link, message)

    def _members_changed(self) -> None:
        data_centre = self._settings.data_centre
        self._mesh.update(self._directory.entries.values())
        neighbours = [
            link
            for link in self._mesh.peers.values()
            if link.hello.data_centre == data_centre
            and not link.leaving
            and not self._directory.is_leaving_entry(link.hello.instance_id)
        ]
        self._allocation.set_entries(1 + len(neighbours))
        self._pool.update(self._directory.live_endpoints(data_centre))
        self._matcher.match()

    def _listing_changed(self) -> None:
        self._spread.listing_changed()
        self._members_changed()

    def _endpoint_leaving(self, endpoint_id: str) -> None:
        if self._spread.endpoint_leaving(endpoint_id):
            self._members_changed()

    def _configuration_accepted(self) -> None:
        self._spread.push_configuration()
        self._configuration_changed()

    def _configuration_changed(self) -> None:
        content = self._store.current.document
        self._policy.configure(content)
        self._directory.drain(content.operations.drained)
        self._members_changed()

    def _observe(
        self, work: works.Work, outcome: outcomes.Outcome, seconds: float
    ) -> None:
        log.event(
            "work finished",
            step="answer",
            key=work.key,
            kind=work.kind,
            team=work.team,
            outcome=outcomes.label(outcome),
            seconds=round(seconds, 4),
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_PERIOD_S)
            self._ledger.sweep()
