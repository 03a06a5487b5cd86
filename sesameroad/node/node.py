"""An instance on the platform: its services and how they are connected."""

import asyncio
import math
import socket
from typing import Self

from aiohttp import web_request
from aiohttp import web_response

from sesameroad import errors
from sesameroad.entry import supervisor
from sesameroad.jobs import acceptance
from sesameroad.jobs import cancellations
from sesameroad.jobs import catalogue as catalogue_module
from sesameroad.jobs import coordinator
from sesameroad.jobs import eligibility
from sesameroad.membership import evacuations
from sesameroad.model import clocks
from sesameroad.model import job_requests
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.node import announcer
from sesameroad.node import caller_jobs
from sesameroad.node import canceller
from sesameroad.node import configuration_watcher
from sesameroad.node import endpoint_list
from sesameroad.node import endpoint_watcher
from sesameroad.node import graceful_stop
from sesameroad.node import http_server
from sesameroad.node import instance_registry
from sesameroad.node import leaders
from sesameroad.node import loop_lag
from sesameroad.node import loop_pulse
from sesameroad.node import routes
from sesameroad.ownership import keys
from sesameroad.peering import links
from sesameroad.peering import mesh
from sesameroad.peering import messages
from sesameroad.platform import job_api
from sesameroad.platform import order_client
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Period of the election of leaders and of the reports of a leader on its free
# cores.
_ELECTION_PERIOD_S = 0.1
# Time for which a heartbeat is sent to further peers without being composed anew.
_HEARTBEAT_REUSE_S = 0.02
# An announcement counts as fresh for this many periods, so that one failed
# write does not make a live instance look dead.
_FRESH_PERIODS = 2.5
# Delay before a new configuration is sent to peers that have not read it from
# the store themselves.
_FORWARD_DELAY_S = 1.0
# Callers that arrive before the first configuration wait this long for it. It
# covers a second read, 0.4 s after a failed one. Without any configuration they are
# refused before they would send the job again, 1.3 s after they first did.
_FIRST_CONFIGURATION_S = 0.6
# Callers whose connections waited during the start may have left and sent their
# jobs to another instance. For a time after the start, which covers the connections
# that waited, a request waits until the end of its connection would have been read. The
# same holds after the process was paused for so long that the periodic step, each
# 0.1 s, is late.
_ARREARS_S = 1.0
_PAUSE_S = 0.3
_DEPARTURE_S = 0.005
_METRICS_PATH = "/metrics"
_INTERFERENCE_PATH = "/interference"
# Retry delay for a caller that a stopping instance refuses. The next connection
# of the caller goes to another instance.
_STOP_RETRY_AFTER_S = 1.0


class Node:
    """One instance, from its settings to its graceful shutdown."""

    def __init__(
        self, settings: node.NodeSettings, *, clock: clocks.Clock
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._clock = clock
        self._leaving = False
        # The last heartbeat and the time at which it was composed.
        self._heartbeat_cache: tuple[float, messages.Heartbeat] | None = None
        # The claims in the last report to the local instances.
        self._reported_claims: tuple[messages.LeadershipClaim, ...] = ()
        # Whether peers may still lack the current configuration.
        self._forward_due = False
        # Time from which on no request has waited during the start.
        self._settled_at = math.inf
        self._loop_lag = loop_lag.LoopLag()
        self._pulse = loop_pulse.LoopPulse(clock)
        self._supervisor = supervisor.Supervisor()
        self._servers: list[http_server.HttpServer] = []
        self._offer_tasks: set[asyncio.Task[None]] = set()
        self._metrics = job_metrics.JobMetrics(self._figures)
        self._client = platform_client.PlatformClient.open(
            f"http://{settings.platform}",
            timeout_s=timing.platform_timeout_s,
            observe=self._metrics.store_called,
        )
        store = row_store.RowStore(self._client)
        self._evacuations = evacuations.Evacuations(self._evacuations_changed)
        # Cancelled keys that this instance knows, in whatever part it plays.
        self._cancellations = cancellations.Cancellations()
        self._orders = order_client.OrderClient.open(metrics=self._metrics)
        self._configuration_watcher = (
            configuration_watcher.ConfigurationWatcher(
                store=store,
                wait_s=timing.configuration_wait_s,
                clock=clock,
                changed=self._configuration_changed,
                evacuations=self._evacuations,
            )
        )
        self._endpoint_list = endpoint_list.EndpointList(clock=clock)
        self._registry = instance_registry.InstanceRegistry(
            clock=clock, fresh_s=timing.announce_period_s * _FRESH_PERIODS
        )
        self._mesh = mesh.Mesh(
            hello=messages.Hello(
                settings.instance_id,
                settings.data_centre,
                keys.new_incarnation(),
                settings.processor_millicores,
            ),
            heartbeat=self._heartbeat,
            receive=self._receive,
            changed=self._peers_changed,
            heartbeat_s=timing.heartbeat_s,
            timeout_s=timing.peer_timeout_s,
            idle_heartbeat_s=timing.idle_heartbeat_s,
        )
        self._leaders = leaders.Leaders(
            settings=settings,
            mesh=self._mesh,
            registry=self._registry,
            endpoint_list=self._endpoint_list,
            orders_=self._orders,
            clock=clock,
            metrics=self._metrics,
            changed=self._leaders_changed,
            evacuations=self._evacuations,
            cancellations=self._cancellations,
            pulse=self._pulse,
        )
        self._endpoint_watcher = endpoint_watcher.EndpointWatcher(
            store=store,
            endpoint_list=self._endpoint_list,
            period_s=self._list_period_s,
            changed=self._leaders.update_endpoints,
            failed=self._leaders.record_list_failure,
        )
        self._announcer = announcer.Announcer(
            settings=settings,
            store=store,
            registry=self._registry,
            tokens=lambda: self._leaders.tokens,
            changed=lambda: self._mesh.update(self._registry.instances),
            clock=clock,
        )
        self._coordinator = coordinator.JobCoordinator(
            data_centre=settings.data_centre,
            leaders=self._leaders,
            clock=clock,
            evacuations=self._evacuations,
            confined_to=self._confined_to,
            reroutes=settings.scheduling.reroute_refused,
            left=self._leaders.tell_left,
        )
        self._caller_jobs = caller_jobs.CallerJobs(
            coordinator=self._coordinator,
            ended=self._log_answer,
            clock=clock,
            cancellations=self._cancellations,
        )
        self._canceller = canceller.Canceller(
            leaders=self._leaders,
            clock=clock,
            cancellations=self._cancellations,
            metrics=self._metrics,
            own_id=settings.instance_id,
        )
        self._job_api = job_api.JobApi(self, clock=clock)
        self._graceful_stop = graceful_stop.GracefulStop(
            timing=timing,
            clock=clock,
            announce=self._announce_stop,
            tell_peers=self._mesh.send_heartbeats,
            caller_jobs=self._caller_jobs,
            leaders=self._leaders,
            servers=self._servers,
            close=self._close,
        )

    @classmethod
    def from_settings(cls, settings: node.NodeSettings) -> Self:
        """Returns an instance that is not started yet."""
        return cls(settings, clock=clocks.Clock())

    @property
    def catalogue(self) -> catalogue_module.Catalogue:
        """Current configuration."""
        return self._configuration_watcher.catalogue

    @property
    def settled(self) -> bool:
        """Whether requests can be handled without a wait after a start or pause."""
        return self.catalogue.version > 0 and not self._has_arrears

    @property
    def _has_arrears(self) -> bool:
        """Whether requests may have waited whose callers have left meanwhile."""
        return (
            self._pulse.is_older_than(_PAUSE_S)
            or self._clock.monotonic() < self._settled_at
        )

    async def wait_settled(self) -> None:
        """Waits a short time until requests can be handled after that."""
        if self._has_arrears:
            await asyncio.sleep(_DEPARTURE_S)
        await self._configuration_watcher.wait_first(_FIRST_CONFIGURATION_S)

    @property
    def leaving(self) -> bool:
        """Whether the instance is shutting down."""
        return self._leaving

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this instance."""
        return (
            not self._leaving
            and self.catalogue.version > 0
            and self._leaders.reachable
        )

    async def start(self, listener: socket.socket | None = None) -> None:
        """Starts all services.

        Args:
            listener: Listening socket of the service for callers, None to open
                one at the address in the settings.
        """
        settings = self._settings
        await self._mesh.start(*node.host_port(settings.peer))
        for name, loop in (
            ("watch configuration", self._configuration_watcher.run),
            ("watch endpoints", self._endpoint_watcher.run),
            ("announce", self._announcer.run),
            ("choose stewards", self._elect_leaders),
        ):
            self._supervisor.run(name, loop)
        await self._serve(
            node.host_port(settings.metrics), self._handle_metrics
        )
        await self._serve(node.host_port(settings.ready), self._handle_ready)
        await self._serve(
            listener or node.host_port(settings.web), self._job_api.handle
        )
        self._settled_at = self._clock.monotonic() + _ARREARS_S
        log.event(
            "instance started",
            step="start",
            data_centres=sorted(settings.data_centres),
        )

    async def stop(self, *, requested_at: float | None = None) -> None:
        """Stops gracefully, after the requests in flight have been answered.

        Args:
            requested_at: Monotonic time at which the stop was requested, now by
                default.

        Raises:
            ExceptionGroup: If any step failed.
        """
        await self._graceful_stop.run(requested_at)

    def _announce_stop(self) -> None:
        """Tells peers and the load balancer that this instance stops."""
        self._leaving = True
        self._heartbeat_cache = None
        self._leaders.prepare_stop()
        self._mesh.send_heartbeats()
        self._canceller.hand_over()

    async def submit(
        self, request: job_requests.JobRequest, queue: catalogue_module.Queue
    ) -> outcomes.Outcome:
        """Runs a job or refuses it; cancelling the call ends the job."""
        refusal = self._stop_refusal() or acceptance.refusal(request, queue)
        if refusal is not None:
            self._log_refusal(request, queue, refusal)
            return refusal
        capacity = self._capacity(queue.service, request.steps[0].need)
        return await self._caller_jobs.run(
            acceptance.job(request, queue, room=capacity)
        )

    def _confined_to(self, job: jobs.Job) -> tuple[str, ...]:
        """Returns the data centres that alone can run a job.

        They have an endpoint that may still carry out a start of it, or are
        evacuated as all that can run it.
        """
        held_up = self._leaders.held_up_in(job.key)
        if held_up:
            return held_up
        evacuated = self._evacuations.data_centres
        if not evacuated:
            return ()
        return eligibility.evacuated_only(
            job, self._endpoint_list.live, evacuated
        )

    def _stop_refusal(self) -> outcomes.NotRun | None:
        """Refuses jobs late in a graceful stop, which the stop could abort."""
        if not self._graceful_stop.refuses_jobs:
            return None
        return outcomes.NotRun(
            outcomes.Cause.STOPPING, "this instance stops", _STOP_RETRY_AFTER_S
        )

    def _capacity(self, service: str, need: needs.Need) -> int:
        """Returns how many tasks of a need fit on all endpoints together."""
        if need.cores <= 0:
            return 0
        return sum(
            int(endpoint.offer.cores / need.cores)
            for endpoint in self._endpoint_list.live
            if service in endpoint.kinds
            and not endpoint.leaving
            and not self._evacuations.covers(endpoint.data_centre)
        )

    def is_running(self, key: str) -> bool:
        """Returns whether a job of a caller of this instance is running."""
        return self._caller_jobs.is_running(key)

    async def cancel(self, key: str) -> cancellations.Result:
        """Cancels a job that any instance has taken, and its later attempts."""
        known = self._caller_jobs.cancel(key)
        result = await self._canceller.cancel(key)
        if known and result is cancellations.Result.NO_SUCH_JOB:
            return cancellations.Result.CANCELLED
        return result

    def pending(self, queue: str) -> int:
        """Returns the number of jobs that have not started a task."""
        return self._leaders.pending(queue)

    def reload(self) -> None:
        """Logs that a changed settings file takes effect at the next start.

        Settings are fixed for the life of a process. The addresses of other
        instances and the limits that may change come from the store.
        """
        log.event(
            "settings have changed; they hold from the next start",
            step="reload",
        )

    def _log_refusal(
        self,
        request: job_requests.JobRequest,
        queue: catalogue_module.Queue,
        refusal: outcomes.NotRun,
    ) -> None:
        self._metrics.answered(refusal, 0.0)
        log.event(
            "caller answered",
            step="accept",
            request=request.key,
            queue=queue.name,
            outcome=outcomes.label(refusal),
            cause=f"{refusal.cause.value}: {refusal.detail}",
            tasks=sum(step.count for step in request.steps),
            took_ms=0,
            configuration=self.catalogue.version,
        )

    def _log_answer(
        self, job: jobs.Job, outcome: outcomes.Outcome | None, started_at: float
    ) -> None:
        match outcome:
            case None:
                label, cause = "caller left", ""
            case outcomes.Complete():
                label, cause = outcomes.label(outcome), ""
            case _:
                label = outcomes.label(outcome)
                cause = f"{outcome.cause.value}: {outcome.detail}"
        seconds = self._clock.monotonic() - started_at
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
            objective_ms=int((job.objective_at - started_at) * 1_000),
            deadline_ms=int((job.deadline_at - started_at) * 1_000),
            took_ms=int(seconds * 1_000),
            configuration=self.catalogue.version,
        )

    # Peers.

    def _heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat for all peers.

        It is composed once for the peers to which it is sent at the same time,
        because the figures of a leader go over all of its endpoints.
        """
        now = self._clock.monotonic()
        cached = self._heartbeat_cache
        if cached is not None and now - cached[0] < _HEARTBEAT_REUSE_S:
            return cached[1]
        heartbeat = messages.Heartbeat(
            configuration_version=self.catalogue.version,
            listing_version=int(self._endpoint_list.known),
            leaving=self._leaving,
            claims=self._leaders.visible_claims(),
            slow=self._loop_lag.is_slow(now),
            evacuations_version=self._evacuations.version,
            evacuated=tuple(sorted(self._evacuations.data_centres)),
        )
        self._heartbeat_cache = now, heartbeat
        return heartbeat

    def _receive(self, link: links.Link, message: messages.Message) -> None:
        match message:
            case messages.Heartbeat():
                self._evacuations.adopt(
                    message.evacuations_version,
                    message.evacuated,
                    source=link.hello.instance_id,
                )
                self._forward_configuration(link, message)
                self._forward_endpoints(link, message)
                self._leaders.apply_heartbeat(link, message)
                self._leaders.tell_held_up(link, message)
                self._leaders.tell_moving(
                    link, message, self._coordinator.between_leaders
                )
                self._canceller.tell_leader(link, message)
                link.set_idle(self._leaders.is_idle(link))
            case messages.JobOffer():
                task = asyncio.create_task(self._serve_offer(link, message))
                self._offer_tasks.add(task)
                task.add_done_callback(self._offer_tasks.discard)
            case messages.JobCancel(name=name):
                # The task of an offer starts in the next turn of the event
                # loop. A cancel that came with the offer must not overtake it.
                asyncio.get_running_loop().call_soon(
                    self._leaders.cancel, name, link.hello.instance_id
                )
            case messages.StatusQuery(cancel=True):
                self._answer_cancel(link, message)
            case messages.RecentCancels():
                self._leaders.receive_cancels(link, message)
            case (
                messages.AttemptRunning()
                | messages.AttemptReplaced()
                | messages.AttemptEnded()
            ):
                self._leaders.receive_notice(link.hello.instance_id, message)
            case messages.HeldUpStarts():
                self._leaders.receive_held_up(message)
            case messages.PendingStarts():
                self._leaders.receive_pending(link, message)
            case messages.EndpointUpdate(listing=content):
                self._endpoint_watcher.adopt(
                    content, source=link.hello.instance_id
                )
            case messages.ConfigurationUpdate(version=document):
                self._configuration_watcher.apply(
                    document, source=link.hello.instance_id
                )
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
        """Runs a job of a peer and sends it the outcome.

        The peer waits for a reply until the deadline of the job, or until the
        link is closed.
        """
        try:
            outcome = await self._leaders.submit(
                offer.data_centre,
                offer.job,
                routes.PeerOrigin(link),
                moved=offer.moved,
                lent=offer.lent,
            )
        except Exception as error:  # noqa: BLE001
            log.problem(
                "offered job failed by an error",
                step="serve offer",
                peer=link.hello.instance_id,
                request=offer.job.key,
                error=repr(error),
            )
            outcome = outcomes.Unknown(
                outcomes.Cause.ENDPOINT_FAILED, "an error at the leader"
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
            link.close("an answer could not be sent")

    def _answer_cancel(
        self, link: links.Link, query: messages.StatusQuery
    ) -> None:
        try:
            link.send(self._canceller.answer(query))
        except errors.PeerNotSentError as error:
            log.problem(
                "answer to a cancel was not sent",
                step="cancel",
                peer=error.peer,
                request=query.key,
                error=str(error),
            )

    def _configuration_changed(self) -> None:
        """Tells all peers the new version, also those on idle links."""
        self._forward_due = True
        self._heartbeat_cache = None
        self._mesh.send_heartbeats()

    def _evacuations_changed(self) -> None:
        """Tells all peers before jobs are refused for the new state.

        Their origins then look for another data centre.
        """
        self._heartbeat_cache = None
        self._mesh.send_heartbeats()
        self._leaders.apply_evacuations()
        # Jobs are offered by what this instance knows of all endpoints.
        self._endpoint_watcher.read_now()

    def _forward_new_configuration(self) -> None:
        """Sends a new configuration once to the peers that still lack it."""
        if (
            not self._forward_due
            or self._configuration_watcher.age_s <= _FORWARD_DELAY_S
        ):
            return
        self._forward_due = False
        for link in self._mesh.peers.values():
            if link.last_heartbeat is not None:
                self._forward_configuration(link, link.last_heartbeat)

    def _forward_configuration(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        version = self.catalogue.version
        if (
            heartbeat.configuration_version < version
            and link.offered_configuration < version
            and self._configuration_watcher.age_s > _FORWARD_DELAY_S
        ):
            link.offered_configuration = version
            self._mesh.send(
                link,
                messages.ConfigurationUpdate(
                    self._configuration_watcher.document
                ),
            )

    def _forward_endpoints(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Sends the endpoints to a peer that has not been able to read them."""
        if heartbeat.listing_version or not self._endpoint_list.known:
            return
        if link.offered_listing:
            return
        link.offered_listing = 1
        content = self._endpoint_watcher.encode()
        self._mesh.send(link, messages.EndpointUpdate(content))

    def _list_period_s(self) -> float:
        timing = self._settings.timing
        if self._leaders.is_leader:
            return timing.list_period_s
        return timing.idle_list_period_s

    def _peers_changed(self) -> None:
        log.event(
            "streams to peers changed",
            step="members",
            peers=sorted(self._mesh.peers),
        )
        self._leaders.evaluate()
        self._update_idle_links()

    def _leaders_changed(self) -> None:
        self._heartbeat_cache = None
        self._endpoint_watcher.read_now()
        self._mesh.send_heartbeats()

    def _update_idle_links(self) -> None:
        for link in self._mesh.peers.values():
            link.set_idle(self._leaders.is_idle(link))

    async def _elect_leaders(self) -> None:
        while True:
            self._leaders.evaluate()
            self._update_idle_links()
            self._report_free_cores()
            self._forward_new_configuration()
            due_at = self._clock.monotonic() + _ELECTION_PERIOD_S
            await asyncio.sleep(_ELECTION_PERIOD_S)
            now = self._clock.monotonic()
            self._loop_lag.record(now - due_at, now)
            if now - due_at > _PAUSE_S:
                await self._resume(now - due_at)
            self._pulse.record()
            self._leaders.set_loop_delay(
                self._loop_lag.delay_s, slow=self._loop_lag.is_slow(now)
            )

    async def _resume(self, paused_s: float) -> None:
        """Reads what has arrived in a pause before anything counts on this step."""
        log.event(
            "the process was paused, or short of processor time",
            step="resume",
            paused_ms=int(paused_s * 1_000),
            requests=len(self._caller_jobs),
            stewardships=self._leaders.leadership_count,
        )
        self._settled_at = max(
            self._settled_at, self._clock.monotonic() + _ARREARS_S
        )
        await asyncio.sleep(_DEPARTURE_S)

    def _report_free_cores(self) -> None:
        """Reports changed figures to the instances that offer jobs here first.

        They divide their jobs by the reported free cores. The report is sent
        with the answer to the next of their jobs, so those that offer most have
        the latest figures. Instances of other data centres send only what these
        cannot take, for which the figures of the regular heartbeats suffice.
        """
        claims = self._leaders.claims()
        if claims == self._reported_claims:
            return
        self._reported_claims = claims
        for link in self._mesh.peers.values():
            if self._leaders.leads(link.hello.data_centre):
                link.attach_heartbeat()

    # HTTP.

    async def _serve(
        self,
        address: tuple[str, int] | socket.socket,
        handler: http_server.Handler,
    ) -> None:
        self._servers.append(
            await http_server.HttpServer.open(
                address,
                handler,
                interrupted=self._job_api.interrupted,
                keepalive_s=self.catalogue.limits.idle_timeout_s,
            )
        )

    async def _handle_ready(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        del request  # All paths of this address are the readiness check.
        return web_response.Response(status=200 if self.ready else 503)

    async def _handle_metrics(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        if request.path == _INTERFERENCE_PATH:
            return web_response.json_response(self._leaders.interference_report)
        if request.path != _METRICS_PATH:
            return web_response.Response(status=404)
        return web_response.Response(
            body=self._metrics.render(),
            headers={"Content-Type": job_metrics.CONTENT_TYPE},
        )

    def _figures(self) -> job_metrics.Figures:
        return job_metrics.Figures(
            configuration_version=self.catalogue.version,
            peers=len(self._mesh.peers),
            stewardships=self._leaders.leadership_count,
            free_cores=self._leaders.free_cores,
            waiting_jobs=self._leaders.waiting_jobs,
            jobs_in_flight=len(self._caller_jobs),
            endpoint_list_age_s=self._endpoint_list.age_s,
            log_lines_dropped=log.dropped(),
            loop_delay_s=self._loop_lag.delay_s,
            evacuated_data_centres=len(self._evacuations.data_centres),
            evacuated_runs=self._leaders.evacuated_runs,
            recent_cancels=len(self._cancellations),
        )

    async def _close(self) -> None:
        """Closes all parts, also if some of them fail to close.

        Raises:
            ExceptionGroup: If any part failed to close.
        """
        failures = await graceful_stop.run_steps(
            self._supervisor.stop,
            self._leaders.close,
            self._mesh.stop,
            self._orders.close,
            self._client.close,
        )
        if failures:
            raise ExceptionGroup("close", failures)
