"""Wires the parts of an instance on the platform together."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import Self

from aiohttp import web

from sesameroad import errors
from sesameroad.entry import supervisor as supervisors
from sesameroad.jobs import acceptance
from sesameroad.jobs import catalogue as catalogues
from sesameroad.jobs import coordinator
from sesameroad.model import clock as clocks
from sesameroad.model import job as jobs
from sesameroad.model import job_request as job_requests
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes
from sesameroad.node import announcer as announcers
from sesameroad.node import configured
from sesameroad.node import endpoint_watcher
from sesameroad.node import lag as lags
from sesameroad.node import leaders
from sesameroad.node import listing as listings
from sesameroad.node import roster as rosters
from sesameroad.node import routes
from sesameroad.ownership import key as keys
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.platform import client as clients
from sesameroad.platform import front as fronts
from sesameroad.platform import orders
from sesameroad.platform import rows as row_module
from sesameroad.settings import node as settings_module
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Period of the choice of stewards, and of what a steward tells of its room.
_TICK_S = 0.1
# An announcement counts as fresh for this many periods, so that one lost write
# does not make a live instance look dead.
_FRESH_PERIODS = 2.5
# Time that peers have to read a new configuration from the store themselves
# before it is sent to them.
_PASS_ON_S = 1.0
_METRICS_PATH = "/metrics"
_STOP_STEP_S = 0.05
# Time after which a caller that is refused by a stopping instance should return;
# its next connection goes to another one.
_STOP_RETRY_AFTER_S = 1.0
# Time for an instance elsewhere to see a resignation as one and to claim.
_FAREWELL_S = 0.8


class Node:
    """One instance, from its settings to its graceful shutdown."""

    def __init__(
        self, settings: settings_module.Node, *, clock: clocks.Clock
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._clock = clock
        self._leaving = False
        self._stop_began_at = math.inf
        self._lag = lags.Lag()
        self._supervisor = supervisors.Supervisor()
        self._runners: list[web.ServerRunner] = []
        self._offers: set[asyncio.Task[None]] = set()
        self._running: dict[str, asyncio.Task[outcomes.Outcome]] = {}
        self._metrics = job_metrics.JobMetrics(self._figures)
        self._client = clients.Client.open(
            f"http://{settings.platform}",
            timeout_s=timing.platform_timeout_s,
            observe=self._metrics.store_called,
        )
        rows = row_module.Rows(self._client)
        self._orders = orders.Orders.open(metrics=self._metrics)
        self._configured = configured.Configured(
            rows=rows, wait_s=timing.configuration_wait_s, clock=clock
        )
        self._listing = listings.Listing(clock=clock)
        self._roster = rosters.Roster(
            clock=clock, fresh_s=timing.announce_period_s * _FRESH_PERIODS
        )
        self._mesh = meshes.Mesh(
            hello=messages.Hello(
                settings.instance_id,
                settings.data_centre,
                keys.new_incarnation(),
            ),
            heartbeat=self._heartbeat,
            receive=self._receive,
            changed=self._members_changed,
            heartbeat_s=timing.heartbeat_s,
            timeout_s=timing.peer_timeout_s,
        )
        self._leaders = leaders.Leaders(
            settings=settings,
            mesh=self._mesh,
            roster=self._roster,
            listing=self._listing,
            orders_=self._orders,
            clock=clock,
            metrics=self._metrics,
            changed=self._leaders_changed,
        )
        self._endpoint_watcher = endpoint_watcher.EndpointWatcher(
            rows=rows,
            listing=self._listing,
            period_s=self._list_period_s,
            changed=self._leaders.update_endpoints,
        )
        self._announcer = announcers.Announcer(
            settings=settings,
            rows=rows,
            roster=self._roster,
            tokens=lambda: self._leaders.tokens,
            changed=lambda: self._mesh.update(self._roster.instances),
            clock=clock,
        )
        self._coordinator = coordinator.JobCoordinator(
            data_centre=settings.data_centre,
            leaders=self._leaders,
            clock=clock,
        )
        self._front = fronts.Front(self, clock=clock)

    @classmethod
    def from_settings(cls, settings: settings_module.Node) -> Self:
        """Returns an instance that is not started yet."""
        return cls(settings, clock=clocks.Clock())

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """Configuration in force."""
        return self._configured.catalogue

    @property
    def leaving(self) -> bool:
        """Whether the instance is about to stop."""
        return self._leaving

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return (
            not self._leaving
            and self.catalogue.version > 0
            and self._leaders.reachable
        )

    async def start(self) -> None:
        """Starts all services."""
        settings = self._settings
        await self._mesh.start(*settings_module.host_port(settings.peer))
        for name, loop in (
            ("watch configuration", self._configured.watch),
            ("watch endpoints", self._endpoint_watcher.run),
            ("announce", self._announcer.run),
            ("choose stewards", self._choose_leaders),
        ):
            self._supervisor.run(name, loop)
        await self._serve(settings.metrics, self._handle_metrics)
        await self._serve(settings.ready, self._handle_ready)
        await self._serve(settings.web, self._front.handle)
        log.event(
            "instance started",
            step="start",
            data_centres=sorted(settings.data_centres),
        )

    async def stop(self) -> None:
        """Stops gracefully: no request in flight is cut off."""
        log.event("instance stops", step="stop", in_flight=len(self._running))
        timing = self._settings.timing
        began = self._stop_began_at = self._clock.monotonic()
        self._leaving = True
        self._leaders.leave()
        self._mesh.send_heartbeats()
        # The balancer sends callers here until it has seen two failed checks.
        await asyncio.sleep(timing.stop_notice_s)
        while self._running:
            if self._clock.monotonic() - began > timing.graceful_stop_s:
                log.problem(
                    "jobs are still in flight at the end of the graceful stop",
                    step="stop",
                    in_flight=len(self._running),
                )
                break
            await asyncio.sleep(_STOP_STEP_S)
        await self._resign(began)
        await self._close()

    async def _resign(self, began: float) -> None:
        """Resigns what nobody took over, and stays in sight until it is taken.

        Args:
            began: Time at which the stop began.
        """
        if not self._leaders.held:
            return
        await self._leaders.close()
        self._mesh.send_heartbeats()
        timing = self._settings.timing
        left_s = began + timing.graceful_stop_s - self._clock.monotonic()
        await asyncio.sleep(max(0.0, min(_FAREWELL_S, left_s)))

    async def submit(
        self, submission: job_requests.JobRequest, queue: catalogues.Queue
    ) -> outcomes.Outcome:
        """Runs a submission or refuses it; cancelling the call ends it."""
        refusal = self._stop_refusal() or acceptance.refusal(submission, queue)
        if refusal is not None:
            self._log_refusal(submission, queue, refusal)
            return refusal
        room = self._room(queue.service, submission.steps[0].need)
        return await self._run(acceptance.job(submission, queue, room=room))

    def _stop_refusal(self) -> outcomes.NotRun | None:
        """Refuses jobs late in a graceful stop, which could be cut off."""
        stopping_s = self._clock.monotonic() - self._stop_began_at
        if stopping_s < self._settings.timing.stop_notice_s:
            return None
        return outcomes.NotRun(
            outcomes.Cause.STOPPING, "this instance stops", _STOP_RETRY_AFTER_S
        )

    async def _run(self, job: jobs.Job) -> outcomes.Outcome:
        """Runs a job for a caller; cancelling the call ends it."""
        began = self._clock.monotonic()
        earlier = self._running.get(job.key)
        if earlier is not None:
            # The caller has sent it again while its first attempt runs here.
            return await asyncio.shield(earlier)
        task = asyncio.create_task(self._coordinator.run(job))
        self._running[job.key] = task
        outcome: outcomes.Outcome | None = None
        try:
            outcome = await task
        finally:
            self._running.pop(job.key, None)
            self._log_answer(job, outcome, began)
        return outcome

    def _room(self, service: str, need: needs.Need) -> int:
        """Returns how many tasks of a need all endpoints run at once."""
        if need.cores <= 0:
            return 0
        return sum(
            int(endpoint.offer.cores / need.cores)
            for endpoint in self._listing.live
            if service in endpoint.kinds and not endpoint.leaving
        )

    def is_running(self, key: str) -> bool:
        """Returns whether a job is being run for a caller here."""
        return key in self._running

    def cancel(self, key: str) -> bool:
        """Ends a job; returns whether it was known here."""
        task = self._running.get(key)
        if task is None:
            return False
        task.cancel()
        return True

    def pending(self, queue: str) -> int:
        """Returns the number of jobs without a started task."""
        return self._leaders.pending(queue)

    def reload(self) -> None:
        """Notes that the settings file has changed.

        Its fields hold for the life of a process; addresses of others and limits
        that change come from the store.
        """
        log.event(
            "settings have changed; they hold from the next start",
            step="reload",
        )

    def _log_refusal(
        self,
        submission: job_requests.JobRequest,
        queue: catalogues.Queue,
        refusal: outcomes.NotRun,
    ) -> None:
        self._metrics.answered(refusal, 0.0)
        log.event(
            "caller answered",
            step="accept",
            request=submission.key,
            queue=queue.name,
            outcome=outcomes.label(refusal),
            cause=f"{refusal.cause.value}: {refusal.detail}",
            tasks=sum(step.count for step in submission.steps),
            took_ms=0,
            configuration=self.catalogue.version,
        )

    def _log_answer(
        self, job: jobs.Job, outcome: outcomes.Outcome | None, began: float
    ) -> None:
        match outcome:
            case None:
                label, cause = "caller left", ""
            case outcomes.Complete():
                label, cause = outcomes.label(outcome), ""
            case _:
                label = outcomes.label(outcome)
                cause = f"{outcome.cause.value}: {outcome.detail}"
        seconds = self._clock.monotonic() - began
        self._metrics.answered(outcome, seconds)
        log.event(
            "caller answered",
            step="answer",
            request=job.key,
            queue=job.queue,
            outcome=label,
            cause=cause,
            tasks=job.count,
            estimate_ms=int(job.estimate_s * 1_000),
            objective_ms=int((job.objective_at - began) * 1_000),
            deadline_ms=int((job.deadline_at - began) * 1_000),
            took_ms=int(seconds * 1_000),
            configuration=self.catalogue.version,
        )

    # Peers.

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            configuration_version=self.catalogue.version,
            listing_version=int(self._listing.known),
            leaving=self._leaving,
            claims=self._leaders.news(),
            slow=self._lag.is_slow(self._clock.monotonic()),
        )

    def _receive(self, link: links.Link, message: messages.Message) -> None:
        match message:
            case messages.Heartbeat():
                self._pass_configuration_on(link, message)
                self._pass_endpoints_on(link, message)
                self._leaders.heard(message)
                self._leaders.evaluate()
            case messages.JobOffer():
                task = asyncio.create_task(self._serve_offer(link, message))
                self._offers.add(task)
                task.add_done_callback(self._offers.discard)
            case messages.JobCancel(name=name):
                self._leaders.cancel(name, link.hello.instance_id)
            case messages.EndpointUpdate(listing=text):
                self._endpoint_watcher.adopt(
                    text, source=link.hello.instance_id
                )
            case messages.ConfigurationUpdate(version=text):
                self._configured.apply(text, source=link.hello.instance_id)
            case _:
                log.problem(
                    "message of a kind that instances here do not send",
                    step="receive",
                    peer=link.hello.instance_id,
                    message=type(message).__name__,
                )

    async def _serve_offer(
        self, link: links.Link, offer: messages.JobOffer
    ) -> None:
        outcome = await self._leaders.submit(
            offer.data_centre,
            offer.job,
            routes.PeerOrigin(link),
            moved=offer.moved,
            lent=offer.lent,
        )
        try:
            link.send(messages.RelayReply(offer.id, outcome))
        except errors.PeerNotSentError as error:
            log.problem(
                "answer of a job was not delivered to its home",
                step="answer home",
                peer=error.peer,
                request=offer.job.key,
                error=str(error),
            )

    def _pass_configuration_on(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        version = self.catalogue.version
        if (
            heartbeat.configuration_version < version
            and link.offered_configuration < version
            and self._configured.age_s > _PASS_ON_S
        ):
            link.offered_configuration = version
            self._mesh.send(
                link, messages.ConfigurationUpdate(self._configured.text)
            )

    def _pass_endpoints_on(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Sends the endpoints to a peer that could not read them so far."""
        if heartbeat.listing_version or not self._listing.known:
            return
        if link.offered_listing:
            return
        link.offered_listing = 1
        text = self._endpoint_watcher.encode()
        self._mesh.send(link, messages.EndpointUpdate(text))

    def _list_period_s(self) -> float:
        timing = self._settings.timing
        if self._leaders.held:
            return timing.list_period_s
        return timing.idle_list_period_s

    def _members_changed(self) -> None:
        log.event(
            "streams to peers changed",
            step="members",
            peers=sorted(self._mesh.peers),
        )
        self._leaders.evaluate()

    def _leaders_changed(self) -> None:
        self._endpoint_watcher.read_now()
        self._mesh.send_heartbeats()

    async def _choose_leaders(self) -> None:
        while True:
            self._leaders.evaluate()
            if self._leaders.held:
                # Homes divide jobs by what stewards tell of their room.
                self._mesh.send_heartbeats()
            due_at = self._clock.monotonic() + _TICK_S
            await asyncio.sleep(_TICK_S)
            now = self._clock.monotonic()
            self._lag.note(now - due_at, now)
            self._leaders.note_slowness(self._lag.is_slow(now))

    # HTTP.

    async def _serve(
        self,
        address: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        server = web.Server(
            handler,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=self.catalogue.limits.idle_timeout_s,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, *settings_module.host_port(address)).start()

    async def _handle_ready(self, http: web.BaseRequest) -> web.Response:
        del http  # Only one question is asked at this address.
        return web.Response(status=200 if self.ready else 503)

    async def _handle_metrics(self, http: web.BaseRequest) -> web.Response:
        if http.path != _METRICS_PATH:
            return web.Response(status=404)
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": job_metrics.CONTENT_TYPE},
        )

    def _figures(self) -> job_metrics.Figures:
        return job_metrics.Figures(
            configuration_version=self.catalogue.version,
            peers=len(self._mesh.peers),
            stewardships=self._leaders.count,
            free_cores=self._leaders.free_cores,
            waiting_jobs=self._leaders.waiting_jobs,
            jobs_in_flight=len(self._running),
            endpoint_list_age_s=self._listing.age_s,
            log_lines_dropped=log.dropped(),
        )

    async def _close(self) -> None:
        """Closes all parts; one that fails does not keep the others open.

        Raises:
            ExceptionGroup: If any part failed to close.
        """
        steps: list[Callable[[], Awaitable[None]]] = [
            *(runner.cleanup for runner in self._runners),
            self._supervisor.stop,
            self._leaders.close,
            self._mesh.stop,
            self._orders.close,
            self._client.close,
        ]
        failures: list[Exception] = []
        for step in steps:
            try:
                await step()
            except Exception as error:  # noqa: BLE001
                failures.append(error)
        log.event("instance stopped", step="stop")
        if failures:
            raise ExceptionGroup("graceful stop", failures)
