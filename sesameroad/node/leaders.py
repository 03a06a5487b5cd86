"""Leadership of data centres: claims, resignations and routes to leaders."""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import math

from sesameroad.jobs import active_job
from sesameroad.jobs import attempts
from sesameroad.jobs import cancel_reports
from sesameroad.jobs import cancellations as cancellations_module
from sesameroad.jobs import coordinator
from sesameroad.jobs import election
from sesameroad.jobs import interference
from sesameroad.jobs import partitioning
from sesameroad.jobs import scheduler as scheduler_module
from sesameroad.jobs import start_gate
from sesameroad.leasing import orders
from sesameroad.membership import evacuations as evacuations_module
from sesameroad.model import attempts as notices
from sesameroad.model import clocks
from sesameroad.model import jobs
from sesameroad.model import outcomes
from sesameroad.node import claim_policy
from sesameroad.node import endpoint_list as endpoint_list_module
from sesameroad.node import instance_registry
from sesameroad.node import leader_coverage
from sesameroad.node import loop_pulse
from sesameroad.node import peer_state
from sesameroad.node import routes
from sesameroad.node import start_notices
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Delay of the next claim after endpoints have refused this instance for a
# higher token, in which the other leader should become visible. It is longer if
# this instance has no connected peer.
_FENCED_DELAY_S = 1.0
_ISOLATED_FENCED_DELAY_S = 3.0
# Steps by which a token is raised if endpoints refuse it before any accepts it:
# the wall clock of the previous leader may have been ahead by seconds.
_RAISE_STEPS = 64
_MILLICORES = 1_000
# Time, in seconds, for which a leader of a large fleet stays before it hands over
# to an instance with more processor time. A change delays jobs by up to 1.2 s.
_MIN_TERM_S = 5.0
# Time after which an instance that was connected last can claim: it waits up to
# 0.4 s for its other peers and evaluates claims each 0.1 s.
_SUCCESSOR_READY_S = 0.5
# Maximum wait that a leader reports. Without endpoints its wait is unbounded.
_MAX_REPORTED_WAIT_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Leader:
    """A leader: its claim and the link to it, None for this instance."""

    claim: messages.LeadershipClaim
    link: links.Link | None


class Leaders:
    """Claims and resigns leadership, and finds the route to each leader.

    One instance leads all data centres that it sees members of, so that a task
    waits only while no data centre has room. During a network partition, each
    side has a leader for its own data centres. Fleets with more endpoints than
    one leader can handle have a leader in each data centre.
    """

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        mesh: mesh_module.Mesh,
        registry: instance_registry.InstanceRegistry,
        endpoint_list: endpoint_list_module.EndpointList,
        orders_: orders.Orders,
        clock: clocks.Clock,
        metrics: job_metrics.JobMetrics,
        changed: Callable[[], None],
        evacuations: evacuations_module.Evacuations | None = None,
        cancellations: cancellations_module.Cancellations | None = None,
        pulse: loop_pulse.LoopPulse | None = None,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._registry = registry
        self._endpoint_list = endpoint_list
        self._orders = orders_
        self._clock = clock
        self._metrics = metrics
        self._changed = changed
        self._evacuations = evacuations
        self._pulse = pulse
        self._scheduler: scheduler_module.Scheduler | None = None
        self._start_gate: start_gate.StartGate | None = None
        self._task: asyncio.Task[None] | None = None
        # Cancelled keys that this instance knows, whether it leads or not.
        self._cancellations = (
            cancellations_module.Cancellations()
            if cancellations is None
            else cancellations
        )
        self._cancel_reports: cancel_reports.CancelReports | None = None
        # Starts without an answer that this instance knows, in the same way.
        self._start_notices = start_notices.StartNotices(
            settings=settings, mesh=mesh, clock=clock, metrics=metrics
        )
        # Data centres that this instance leads.
        self._led: set[str] = set()
        # Time of the last claim.
        self._claimed_at = 0.0
        self._closing: set[asyncio.Task[None]] = set()
        # Data centres with a leader in the last evaluation.
        self._seen_led: frozenset[str] = frozenset()
        # Highest known token of each data centre.
        self._tokens: dict[str, int] = {}
        # Jobs of callers here whose leader was lost or has resigned, by key, and
        # the time by which the next leader has told the others of them.
        self._left: dict[str, float] = {}
        # Cores of the jobs sent to the leader of a data centre since its last
        # heartbeat, infinite after it refused one.
        self._in_transit_cores: dict[str, float] = {}
        # What the last heartbeat of each peer means for leadership.
        self._peer_states: dict[str, peer_state.PeerState] = {}
        self._origin = routes.LocalOrigin(settings.instance_id)
        self._claim_policy = claim_policy.ClaimPolicy(
            settings=settings,
            mesh=mesh,
            registry=registry,
            endpoint_list=endpoint_list,
            clock=clock,
        )
        self._reachable_at = clock.monotonic()

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads any data centre."""
        return bool(self._led)

    @property
    def leadership_count(self) -> int:
        """Number of data centres that this instance leads."""
        return len(self._led)

    @property
    def free_cores(self) -> float:
        """Free cores of the endpoints that this instance leads."""
        return self._scheduler.free_cores if self._scheduler else 0.0

    @property
    def waiting_jobs(self) -> int:
        """Number of jobs of this leader that have not started a task."""
        return sum(self._scheduler.pending.values()) if self._scheduler else 0

    @property
    def evacuated_runs(self) -> int:
        """Runs of this leader that are left in evacuated data centres."""
        return self._scheduler.evacuated_runs if self._scheduler else 0

    @property
    def reachable(self) -> bool:
        """Whether a leader of any data centre is reachable."""
        return bool(self._leaders())

    @property
    def unserved_s(self) -> float:
        """Time in seconds without a reachable leader, 0 if there is one."""
        if self.reachable:
            return 0.0
        return self._clock.monotonic() - self._reachable_at

    @property
    def tokens(self) -> dict[str, int]:
        """Fencing token for each data centre that this instance leads."""
        if self._scheduler is None:
            return {}
        return dict.fromkeys(sorted(self._led), self._scheduler.token)

    def leads(self, data_centre: str) -> bool:
        """Returns whether this instance leads a data centre."""
        return data_centre in self._led

    def set_loop_delay(self, delay_s: float, *, slow: bool) -> None:
        """Sets how much processor time this process lacks.

        Args:
            delay_s: Mean delay of the event loop, in seconds.
            slow: Whether it has too little processor time to lead.
        """
        if self._scheduler is not None:
            self._scheduler.set_loop_delay(delay_s)
        if slow != self._claim_policy.slow:
            log.event(
                "this instance is slow" if slow else "this instance is fast",
                step="steward",
                stewardships=len(self._led),
            )
        self._claim_policy.slow = slow

    def prepare_stop(self) -> None:
        """Stops claiming, and resigns if another instance can take over."""
        self._claim_policy.leaving = True
        self._resign_for_stop()

    async def close(self) -> None:
        """Resigns all data centres and waits for the schedulers to end."""
        self._claim_policy.leaving = True
        self._resign_all("this instance stops")
        if self._closing:
            await asyncio.wait(self._closing)

    def claims(self) -> tuple[messages.LeadershipClaim, ...]:
        """Returns the leadership claims of this instance."""
        scheduler = self._scheduler
        if scheduler is None:
            return ()
        free_millicores = int(scheduler.free_cores * _MILLICORES)
        wait_ms = int(min(scheduler.wait_s, _MAX_REPORTED_WAIT_S) * 1_000)
        return tuple(
            messages.LeadershipClaim(
                data_centre, scheduler.token, free_millicores, wait_ms
            )
            for data_centre in sorted(self._led)
        )

    def visible_claims(self) -> tuple[messages.LeadershipClaim, ...]:
        """Returns the claims of this instance and relays those of peers."""
        relayed = [
            messages.LeadershipClaim(
                data_centre, leader.claim.token, relayed=True
            )
            for data_centre, leader in self._leaders().items()
            if leader.link is not None
        ]
        return (*self.claims(), *relayed)

    @property
    def interference_report(self) -> list[dict[str, object]]:
        """Pairs of queues that interfere at endpoints of this leader."""
        return self._scheduler.interference_report if self._scheduler else []

    def pending(self, queue: str) -> int:
        """Returns the number of jobs that have not started a task."""
        return self._scheduler.pending.get(queue, 0) if self._scheduler else 0

    def offers(self) -> list[partitioning.Offer]:
        """Returns the free cores and wait of each leader, less jobs in transit.

        A leader of several data centres has one offer. It is named after the
        local data centre if that is one of them.
        """
        own = self._settings.data_centre
        offers: dict[str, partitioning.Offer] = {}
        for data_centre, leader in sorted(
            self._serving_leaders().items(),
            key=lambda item: (item[0] != own, item[0]),
        ):
            link = leader.link
            leader_id = link.hello.incarnation if link is not None else ""
            if leader_id in offers:
                continue
            if link is None and self._scheduler is not None:
                offers[leader_id] = partitioning.Offer(
                    data_centre,
                    self._scheduler.free_cores,
                    self._scheduler.wait_s,
                )
                continue
            in_transit_cores = self._in_transit_cores.get(data_centre, 0.0)
            offers[leader_id] = partitioning.Offer(
                data_centre,
                leader.claim.free_millicores / _MILLICORES - in_transit_cores,
                leader.claim.wait_ms / 1_000,
            )
        return list(offers.values())

    def _serving_leaders(self) -> dict[str, _Leader]:
        """Returns the leaders without those of evacuated data centres only.

        If all data centres are evacuated, it returns all; they refuse the jobs.
        """
        leaders = self._leaders()
        if self._evacuations is None or not self._evacuations.data_centres:
            return leaders
        serving = {
            leader.link
            for data_centre, leader in leaders.items()
            if not self._evacuations.covers(data_centre)
        }
        return {
            data_centre: leader
            for data_centre, leader in leaders.items()
            if leader.link in serving or not serving
        }

    def route(self, data_centre: str) -> coordinator.Route | None:
        """Returns the route to the leader of a data centre, or None."""
        chosen = self._leaders().get(data_centre)
        if chosen is None:
            return None
        if chosen.link is None and self._scheduler is not None:
            return routes.LocalRoute(self._scheduler, self._origin)
        return routes.PeerRoute(
            chosen.link,
            data_centre,
            clock=self._clock,
            held_up_notices=self._start_notices.held_up,
        )

    def reserve(self, data_centre: str, job: jobs.Job) -> None:
        """Counts a job as in transit to a leader.

        The free cores that a leader reports are up to one heartbeat old and do
        not include it yet.
        """
        self._in_transit_cores[data_centre] = (
            self._in_transit_cores.get(data_centre, 0.0)
            + job.count * job.need.cores
        )

    def mark_full(self, data_centre: str) -> None:
        """Treats a leader as full until its next heartbeat."""
        self._in_transit_cores[data_centre] = math.inf

    def apply_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Applies the leadership claims in a heartbeat of a peer.

        Jobs in transit to the leaders that report free cores are included in
        that report. Leadership is evaluated only if the claims have changed,
        because each instance receives hundreds of heartbeats a second.
        """
        for claim in heartbeat.own_claims:
            self._in_transit_cores.pop(claim.data_centre, None)
        name = link.hello.instance_id
        state = peer_state.PeerState.from_heartbeat(link.hello, heartbeat)
        former = self._peer_states.get(name)
        if former == state:
            return
        self._peer_states[name] = state
        if (
            state.leaving
            and former is not None
            and former.incarnation == state.incarnation
        ):
            # Other resignations may mean that there is another leader.
            for data_centre, token in former.own_claims - state.own_claims:
                self._claim_policy.record_resigned(data_centre, token)
        self.evaluate()

    def is_idle(self, link: links.Link) -> bool:
        """Whether the peer on a link need not hear soon that this side is lost.

        Jobs go to the leader of the own data centre. The leader of another one
        must hear this side only while it has a job from here. A peer that
        misses a leader must hear soon that the leader is alive.
        """
        heartbeat = link.last_heartbeat
        if heartbeat is None or heartbeat.leaving or link.in_use:
            return False
        if any(
            claim.data_centre == self._settings.data_centre
            for claim in heartbeat.own_claims
        ):
            return False
        if self._led or self._claim_policy.leaving:
            return False
        if self._claim_policy.has_vacancy:
            return False
        seen_by_peer = {claim.data_centre for claim in heartbeat.claims}
        return self._seen_led <= seen_by_peer

    async def submit(
        self,
        data_centre: str,
        job: jobs.Job,
        origin: active_job.Origin,
        *,
        moved: bool,
        lent: bool,
    ) -> outcomes.Outcome:
        """Runs a job of a peer if this instance leads the data centre."""
        if self._scheduler is None or data_centre not in self._led:
            return outcomes.NotRun(
                outcomes.Cause.NOT_STEWARD, f"no steward of {data_centre} here"
            )
        return await self._scheduler.submit(job, origin, moved=moved, lent=lent)

    def cancel(self, name: str, origin_id: str) -> None:
        """Cancels a job of a peer."""
        if self._scheduler is not None:
            self._scheduler.cancel(name, origin_id)

    @property
    def leader_links(self) -> dict[str, links.Link | None]:
        """Link to each leader by its incarnation, None for this instance.

        A former leader that has not seen its successor is one as well.
        """
        leaders: dict[str, links.Link | None] = {
            link.hello.incarnation: link
            for link in self._mesh.peers.values()
            if link.last_heartbeat is not None
            and link.last_heartbeat.own_claims
        }
        if self._scheduler is not None:
            leaders[""] = None
        return leaders

    @property
    def peer_links(self) -> dict[str, links.Link]:
        """Live link to each peer by its instance id."""
        return self._mesh.peers

    def unseen_led(self) -> list[str]:
        """Returns the data centres that a leader may have which is not visible."""
        return leader_coverage.unseen(
            visible={
                data_centre: leader.claim.token
                for data_centre, leader in self._leaders().items()
            },
            served=[
                data_centre
                for data_centre in self._settings.data_centres
                if self._endpoint_list.in_data_centre(data_centre)
            ],
            announced=self._registry.announced_leaders(),
            reached={self._settings.instance_id, *self._mesh.peers},
        )

    def cancel_key(self, key: str, *, age_s: float = 0.0) -> bool | None:
        """Cancels a job here, and its later attempts also under a later leader.

        Args:
            key: Name of the job that its caller has chosen.
            age_s: Time since the caller cancelled it, in seconds.

        Returns:
            Whether the leader here had it, None if this instance leads nothing.
        """
        if self._scheduler is None:
            self._cancellations.add(key, self._clock.monotonic() - age_s)
            return None
        return self._scheduler.cancel_key(key, age_s=age_s)

    def receive_cancels(
        self, link: links.Link, report: messages.RecentCancels
    ) -> None:
        """Applies the recent cancels of a peer."""
        reports = self._cancel_reports if self._scheduler else None
        name = link.hello.instance_id
        if report.token and (reports is None or report.token < reports.token):
            log.problem(
                "recent cancels for a claim that is over were ignored",
                step="cancel",
                peer=name,
                token=report.token,
                cancels=len(report.ages_s),
            )
            return
        now = self._clock.monotonic()
        for key, age_s in report.ages_s.items():
            if age_s >= cancellations_module.KEPT_S:
                log.problem(
                    "cancel that came too late was ignored",
                    step="cancel",
                    peer=name,
                    request=key,
                    age_ms=int(age_s * 1_000),
                )
            elif not self._cancellations.contains(key, now):
                # What is known here has ended the job before.
                self.cancel_key(key, age_s=age_s)
        if report.token and report.complete and reports is not None:
            reports.record(name)

    def held_up_in(self, key: str) -> tuple[str, ...]:
        """Returns the data centres where starts of a job may still come.

        A leader that does not hold their endpoints can't run these tasks.
        Evacuated ones are left out.
        """
        if not len(self._start_notices.held_up):
            return ()
        names = {
            start.endpoint for start in self._start_notices.held_up.of(key)
        }
        if not names:
            return ()
        found = {
            endpoint.data_centre
            for endpoint in self._endpoint_list.live
            if endpoint.id in names
        }
        if self._evacuations is not None:
            found.difference_update(self._evacuations.data_centres)
        return tuple(sorted(found))

    def receive_held_up(self, notice: messages.HeldUpStarts) -> None:
        """Applies what a peer tells of starts without an answer."""
        self._start_notices.held_up.receive(notice)
        if self._scheduler is not None:
            self._scheduler.apply_held_up(notice.starts)

    def receive_pending(
        self, link: links.Link, notice: messages.PendingStarts
    ) -> None:
        """Keeps the starts that a leader is about to send."""
        self._start_notices.receive_pending(link, notice)

    def tell_held_up(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Tells a leader whose claim was not seen before of such starts.

        It must be called before the recent cancels are sent, for which a new
        leader waits before it starts any task.
        """
        self._start_notices.tell(link, heartbeat)

    def tell_moving(
        self,
        link: links.Link,
        heartbeat: messages.Heartbeat,
        moving: Callable[[], Iterable[jobs.Job]],
    ) -> None:
        """Tells a leader whose claim was not seen before of jobs of callers here.

        If their leader was lost together with that of the other one, no leader
        knows them until they have been offered to the next one. It must be called
        before the recent cancels are sent, for which a new leader waits before it
        starts any task.

        Args:
            link: Link to the leader.
            heartbeat: Its heartbeat.
            moving: Returns the offered jobs that no leader has now.
        """
        if not heartbeat.own_claims:
            return
        token = max(claim.token for claim in heartbeat.own_claims)
        if token <= link.told_token:
            return
        for job in moving():
            notice = self._left_notice(job)
            if notice is not None:
                self._mesh.send(link, notice)

    def tell_left(self, job: jobs.Job) -> None:
        """Tells all leaders of a job, or part, whose leader was lost or resigned.

        The leader may not have told them, as the job is too young or it was
        lost before. Its runs go on for a lease, and the caller may come again at
        another leader before the job has been offered to the next one.
        """
        notice = self._left_notice(job)
        if notice is None:
            return
        for leader in self.sessions().values():
            self.send(leader, notice)
        if self._scheduler is not None:
            self._scheduler.receive_notice(self._settings.instance_id, notice)

    def _left_notice(self, job: jobs.Job) -> notices.Running | None:
        """Returns what to tell of a job that no leader has, if anything."""
        if not self._settings.timing.attempt_notice_s:
            return None
        now = self._clock.monotonic()
        while self._left and self._left[key := next(iter(self._left))] <= now:
            del self._left[key]
        # Added at the end, as they expire in this order.
        self._left.pop(job.key, None)
        self._left[job.key] = now + attempts.RESIGNED_S
        return notices.Running(
            job.key,
            {self._settings.instance_id: 0},
            now - job.accepted_at,
            attempts.RESIGNED_S,
            job.indices,
        )

    def sessions(self) -> dict[Hashable, str]:
        """Returns the other leaders, by their stream and their token."""
        sessions: dict[Hashable, str] = {}
        for name, link in self._mesh.peers.items():
            heartbeat = link.last_heartbeat
            if heartbeat is not None and heartbeat.own_claims:
                token = max(claim.token for claim in heartbeat.own_claims)
                sessions[link, token] = name
        return sessions

    def reaches(self, instance: str) -> bool:
        """Returns whether an instance is reachable."""
        return instance in self._mesh.peers

    def send(self, leader: str, notice: notices.Notice) -> bool:
        """Sends a notice to another leader; it is lost if none is reachable.

        Returns:
            Whether it was queued.
        """
        link = self._mesh.peers.get(leader)
        return link is not None and self._mesh.send(link, notice)

    def receive_notice(self, leader: str, notice: notices.Notice) -> None:
        """Handles a notice of another leader."""
        if self._scheduler is not None:
            left_s = self._left.get(notice.key, 0.0) - self._clock.monotonic()
            self._scheduler.receive_notice(
                leader, notice, left_s=max(0.0, left_s)
            )
            return
        answer = attempts.answer_without_leader(notice)
        if answer is not None:
            self.send(leader, answer)

    def tell_attempts(self) -> None:
        """Tells other leaders of the jobs here that they should know."""
        if self._scheduler is not None:
            self._scheduler.tell_attempts()

    def update_endpoints(self) -> None:
        """Applies the current list of endpoints."""
        if self._scheduler is None:
            return
        self._scheduler.update(
            [e for e in self._endpoint_list.live if e.data_centre in self._led]
        )
        if self._start_gate is not None:
            self._start_gate.record_list(self._endpoint_list.applied_asked_at)

    def record_list_failure(self) -> None:
        """Records that the last read of the list of endpoints has failed."""
        if self._start_gate is not None:
            self._start_gate.record_failure(self._endpoint_list.asked_at)

    def apply_evacuations(self) -> None:
        """Applies a change of the evacuated data centres."""
        if self._scheduler is not None:
            self._scheduler.apply_evacuations()

    def evaluate(self) -> None:
        """Claims data centres without a leader; resigns to better leaders."""
        now = self._clock.monotonic()
        lost = self._start_notices.record_losses()
        if lost and self._scheduler is not None:
            self._scheduler.apply_held_up(lost)
        leaders = self._leaders()
        self._seen_led = frozenset(leaders)
        if leaders:
            self._reachable_at = now
        if self._claim_policy.leaving:
            self._resign_for_stop()
            return
        for data_centre, leader in leaders.items():
            self._tokens[data_centre] = max(
                self._tokens.get(data_centre, 0), leader.claim.token
            )
        if self._led:
            self._consider_resigning(leaders)
        vacant = self._claim_policy.choose(
            leaders,
            self._preferred_claimant(leaders),
            resigned=[
                data_centre
                for data_centre, token in self._tokens.items()
                if self._claim_policy.is_resigned(data_centre, token)
            ],
        )
        if vacant:
            self._claim(vacant)

    def _leaders(self) -> dict[str, _Leader]:
        """Returns the leader with the highest token of each data centre."""
        leaders: dict[str, _Leader] = {}
        own = [
            _Leader(messages.LeadershipClaim(data_centre, token), None)
            for data_centre, token in self.tokens.items()
        ]
        peers = [
            _Leader(claim, link)
            for link in self._mesh.peers.values()
            if link.last_heartbeat is not None
            for claim in link.last_heartbeat.own_claims
        ]
        for leader in own + peers:
            known = leaders.get(leader.claim.data_centre)
            if known is None or leader.claim.token > known.claim.token:
                leaders[leader.claim.data_centre] = leader
        return leaders

    def _preferred_claimant(self, leaders: dict[str, _Leader]) -> str:
        """Returns the instance with the highest token, or "" if it stops."""
        if not leaders:
            return ""
        highest = max(leaders.values(), key=lambda leader: leader.claim.token)
        if highest.link is None:
            return self._settings.instance_id
        if highest.link.leaving:
            return ""
        return highest.link.hello.instance_id

    def _claim(self, vacant: list[str]) -> None:
        highest = max(self._tokens.get(name, 0) for name in vacant)
        scheduler = self._scheduler
        if scheduler is None:
            scheduler = self._start_scheduler(self._new_token(highest))
        elif scheduler.token <= highest:
            scheduler.raise_token(self._new_token(highest))
        self._led |= set(vacant)
        self._claimed_at = self._clock.monotonic()
        for data_centre in vacant:
            self._tokens[data_centre] = scheduler.token
            log.event(
                "stewardship claimed",
                step="steward",
                steward_of=data_centre,
                token=scheduler.token,
                peers=sorted(self._mesh.peers),
                endpoints=len(self._endpoint_list.in_data_centre(data_centre)),
            )
        self.update_endpoints()
        self._changed()

    def _new_token(self, above: int) -> int:
        return election.new_token(
            self._settings.instance_id,
            wall_ms=self._clock.wall_ms(),
            above=[above],
        )

    def _start_scheduler(self, token: int) -> scheduler_module.Scheduler:
        self._cancel_reports = cancel_reports.CancelReports(
            token=token,
            # The loss of a peer on an idle link is noticed late. Those that were
            # not heard while there was no leader need not be waited for.
            peers={
                link.hello.instance_id: link
                for link in self._claim_policy.peers
            },
            timeout_s=self._settings.timing.peer_timeout_s,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._start_gate = start_gate.StartGate(
            clock=self._clock, metrics=self._metrics
        )
        scheduler = self._scheduler = scheduler_module.Scheduler(
            token=token,
            orders_=self._orders,
            lease_s=self._settings.max_lease_ms / 1_000,
            clock=self._clock,
            on_fenced=self._handle_fenced,
            metrics=self._metrics,
            evacuations=self._evacuations,
            peers=self,
            attempt_notice_s=self._settings.timing.attempt_notice_s,
            scheduling=self._settings.scheduling,
            interference=interference.Interference.from_settings(
                self._settings.interference
            ),
            cancellations=self._cancellations,
            cancel_reports=self._cancel_reports,
            start_gate=self._start_gate,
            held_up_notices=self._start_notices.held_up,
            pending_starts=self._start_notices.pending,
            was_paused=self._was_paused,
        )
        self._task = asyncio.create_task(scheduler.run(), name="leader")
        self._task.add_done_callback(self._handle_ended)
        return scheduler

    def _was_paused(self) -> bool:
        """Returns whether callers of this instance may have left unnoticed.

        It goes by the time after which a leader gives up the callers of a peer.
        """
        return self._pulse is not None and self._pulse.is_older_than(
            self._settings.timing.peer_timeout_s
        )

    def _handle_ended(self, task: asyncio.Task[None]) -> None:
        """Resigns if the leader in this process has failed."""
        if task.cancelled() or task.exception() is None:
            return
        log.problem(
            "leader failed", step="steward", error=repr(task.exception())
        )
        if task is self._task:
            self._resign_all("the leader in this process failed")

    def _consider_resigning(self, leaders: dict[str, _Leader]) -> None:
        """Resigns to a higher token, a faster instance or a local one."""
        token = self._scheduler.token if self._scheduler else 0
        for data_centre, leader in leaders.items():
            if leader.link is None or leader.claim.token < token:
                continue
            peer = leader.link.hello.instance_id
            if self._claim_policy.single_leader:
                self._resign_all(f"{peer} has a higher token")
                return
            if data_centre in self._led:
                self._resign_one(data_centre, f"{peer} has a higher token")
        if self._claim_policy.single_leader:
            if self._claim_policy.slow and any(
                not (member.leaving or member.slow)
                for member in self._claim_policy.members
            ):
                self._resign_all("this instance is slow")
            return
        may_hand_over = (
            self._clock.monotonic() >= self._claimed_at + _MIN_TERM_S
        )
        for data_centre in tuple(self._led):
            if not self._claim_policy.is_own(data_centre):
                if any(
                    member.data_centre == data_centre and not member.leaving
                    for member in self._claim_policy.members
                ):
                    self._resign_one(
                        data_centre, "an instance of the data centre is back"
                    )
            elif may_hand_over and self._claim_policy.has_better_leader(
                data_centre
            ):
                self._resign_one(
                    data_centre, "another instance has more processor time"
                )

    def _resign_for_stop(self) -> None:
        """Resigns before this instance stops if another instance would claim.

        Endpoints without a leader run no tasks, so the last instance leads them
        until it closes, and one whose successor has just started until that can
        claim.
        """
        staying = [m for m in self._claim_policy.members if not m.leaving]
        if self._claim_policy.single_leader:
            if self._can_claim(election.candidate_for_all(staying)):
                self._resign_all("this instance stops")
            return
        for data_centre in tuple(self._led):
            own = self._claim_policy.is_own(data_centre)
            able = [
                member
                for member in staying
                if not own or member.data_centre == data_centre
            ]
            if self._can_claim(election.candidate(data_centre, able)):
                self._resign_one(data_centre, "this instance stops")

    def _can_claim(self, instance: str) -> bool:
        """Returns whether a peer has been connected for long enough to claim."""
        link = self._mesh.peers.get(instance)
        return link is not None and link.age_s >= _SUCCESSOR_READY_S

    def _resign_one(self, data_centre: str, cause: str) -> None:
        """Resigns one data centre; its runs count until their leases end."""
        if self._led == {data_centre}:
            self._resign_all(cause)
            return
        self._led.discard(data_centre)
        self._log_resigned(data_centre, cause)
        self.update_endpoints()
        self._changed()

    def _resign_all(self, cause: str) -> None:
        """Resigns all data centres; origins resend jobs to the next leader."""
        if self._task is None:
            return
        for data_centre in sorted(self._led):
            self._log_resigned(data_centre, cause)
        assert self._scheduler is not None
        self._task.cancel()
        closing = asyncio.create_task(
            self._end_scheduler(self._scheduler, self._task)
        )
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)
        self._scheduler = self._task = self._start_gate = None
        self._led.clear()
        self._changed()

    async def _end_scheduler(
        self, scheduler: scheduler_module.Scheduler, task: asyncio.Task[None]
    ) -> None:
        """Ends a leader in this process whose task has been cancelled.

        A task that is cancelled before its first step runs none of its code.
        """
        await asyncio.wait([task])
        await scheduler.close()

    def _log_resigned(self, data_centre: str, cause: str) -> None:
        log.event(
            "stewardship resigned",
            step="steward",
            steward_of=data_centre,
            token=self._scheduler.token if self._scheduler else 0,
            cause=cause,
        )

    def _handle_fenced(self, data_centre: str) -> None:
        """Handles that an endpoint has refused an order for a higher token."""
        scheduler = self._scheduler
        if scheduler is None or data_centre not in self._led:
            return
        above = election.steps_above(scheduler.token, _RAISE_STEPS)
        if not scheduler.is_established(data_centre):
            # The endpoints remember a leader whose wall clock was ahead.
            scheduler.raise_token(self._new_token(above))
            for name in self._led:
                self._tokens[name] = scheduler.token
            self._changed()
            return
        self._tokens[data_centre] = max(self._tokens.get(data_centre, 0), above)
        isolated = not self._claim_policy.peers
        delay_s = _ISOLATED_FENCED_DELAY_S if isolated else _FENCED_DELAY_S
        deferred_until = self._clock.monotonic() + delay_s
        if not any(
            m.data_centre == data_centre for m in self._claim_policy.members
        ):
            # Its instances lead it on the other side of a network partition.
            self._claim_policy.defer(data_centre, deferred_until)
            self._resign_one(data_centre, "an endpoint has seen a higher token")
            return
        for name in self._led:
            self._claim_policy.defer(name, deferred_until)
        self._resign_all("an endpoint has seen a higher token")
