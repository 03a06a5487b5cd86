"""The stewards of all data centres, as this instance sees and serves them."""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from sesameroad.jobs import active_job
from sesameroad.jobs import coordinator
from sesameroad.jobs import election
from sesameroad.jobs import partitioning
from sesameroad.jobs import scheduler as schedulers
from sesameroad.leasing import order as orders
from sesameroad.model import clock as clocks
from sesameroad.model import job as jobs
from sesameroad.model import outcome as outcomes
from sesameroad.node import claim_policy
from sesameroad.node import endpoint_list
from sesameroad.node import instance_registry
from sesameroad.node import routes
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.settings import node as settings_module
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Pause after endpoints refused this instance for a higher token, in which the
# other steward shows itself; longer where this instance sees no peer.
_FENCED_PAUSE_S = 1.0
_ISOLATED_PAUSE_S = 3.0
# Steps by which a token is raised that endpoints refuse before any accepts it:
# the time of day of the earlier steward may have been ahead by seconds.
_RAISE_STEPS = 64
_MILLICORES = 1_000
# Longest wait that a steward tells; it may be without any endpoint.
_MAX_WAIT_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Leader:
    """A claim and where it was seen; no link for this instance's own."""

    claim: messages.LeadershipClaim
    link: links.Link | None


class Leaders:
    """Claims and resigns stewardships, and finds the way to each steward.

    One instance is the steward of all data centres that it sees members of, so
    that a task waits only while there is no room anywhere. Where instances
    cannot see each other, each side has a steward for its own data centres.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Node,
        mesh: meshes.Mesh,
        registry: instance_registry.InstanceRegistry,
        endpoint_list: endpoint_list.EndpointList,
        orders_: orders.Orders,
        clock: clocks.Clock,
        metrics: job_metrics.JobMetrics,
        changed: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._registry = registry
        self._endpoint_list = endpoint_list
        self._orders = orders_
        self._clock = clock
        self._metrics = metrics
        self._changed = changed
        self._scheduler: schedulers.Scheduler | None = None
        self._task: asyncio.Task[None] | None = None
        # Data centres whose endpoints this instance holds.
        self._scope: set[str] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._tokens: dict[str, int] = {}
        self._expected: dict[str, float] = {}
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
    def held(self) -> bool:
        """Whether this instance is the steward of any data centre."""
        return bool(self._scope)

    @property
    def count(self) -> int:
        """Number of data centres whose steward this instance is."""
        return len(self._scope)

    @property
    def free_cores(self) -> float:
        """Free cores of the endpoints held."""
        return self._scheduler.free_cores if self._scheduler else 0.0

    @property
    def waiting_jobs(self) -> int:
        """Jobs without a started task."""
        return sum(self._scheduler.pending.values()) if self._scheduler else 0

    @property
    def reachable(self) -> bool:
        """Whether any steward can be asked."""
        return bool(self._leaders())

    @property
    def unserved_s(self) -> float:
        """Time for which no steward could be asked, 0 if one can be."""
        if self.reachable:
            return 0.0
        return self._clock.monotonic() - self._reachable_at

    @property
    def tokens(self) -> dict[str, int]:
        """Token of each data centre whose steward this instance is."""
        if self._scheduler is None:
            return {}
        return dict.fromkeys(sorted(self._scope), self._scheduler.token)

    def note_slowness(self, slow: bool) -> None:
        """Notes whether this process gets the time that a steward needs."""
        if slow != self._claim_policy.slow:
            log.event(
                "this instance is slow" if slow else "this instance is fast",
                step="steward",
                stewardships=len(self._scope),
            )
        self._claim_policy.slow = slow

    def leave(self) -> None:
        """Claims nothing any more, and resigns if another can follow."""
        self._claim_policy.leaving = True
        self._hand_over()

    async def close(self) -> None:
        """Resigns everything, and waits until all stewardships have ended."""
        self._claim_policy.leaving = True
        self._resign("this instance stops")
        if self._closing:
            await asyncio.wait(self._closing)

    def claims(self) -> tuple[messages.LeadershipClaim, ...]:
        """Returns what this instance tells its peers."""
        scheduler = self._scheduler
        if scheduler is None:
            return ()
        free_millicores = int(scheduler.free_cores * _MILLICORES)
        wait_ms = int(min(scheduler.wait_s, _MAX_WAIT_S) * 1_000)
        return tuple(
            messages.LeadershipClaim(
                data_centre, scheduler.token, free_millicores, wait_ms
            )
            for data_centre in sorted(self._scope)
        )

    def news(self) -> tuple[messages.LeadershipClaim, ...]:
        """Returns this instance's claims, and those that it sees of others."""
        seen = [
            messages.LeadershipClaim(
                data_centre, leader.claim.token, relayed=True
            )
            for data_centre, leader in self._leaders().items()
            if leader.link is not None
        ]
        return (*self.claims(), *seen)

    def pending(self, queue: str) -> int:
        """Returns the jobs of a queue here without a started task."""
        return self._scheduler.pending.get(queue, 0) if self._scheduler else 0

    def offers(self) -> list[partitioning.Offer]:
        """Returns what each steward has to offer, less what is on its way.

        A steward of several data centres has one offer, under the name of the
        own data centre if that is among them.
        """
        own = self._settings.data_centre
        found: dict[str, partitioning.Offer] = {}
        for data_centre, leader in sorted(
            self._leaders().items(), key=lambda item: (item[0] != own, item[0])
        ):
            link = leader.link
            holder = link.hello.incarnation if link is not None else ""
            if holder in found:
                continue
            if link is None and self._scheduler is not None:
                found[holder] = partitioning.Offer(
                    data_centre,
                    self._scheduler.free_cores,
                    self._scheduler.wait_s,
                )
                continue
            expected = self._expected.get(data_centre, 0.0)
            found[holder] = partitioning.Offer(
                data_centre,
                leader.claim.free_millicores / _MILLICORES - expected,
                leader.claim.wait_ms / 1_000,
            )
        return list(found.values())

    def route(self, data_centre: str) -> coordinator.Route | None:
        """Returns the way to the steward of a data centre, or None."""
        chosen = self._leaders().get(data_centre)
        if chosen is None:
            return None
        if chosen.link is None and self._scheduler is not None:
            return routes.LocalRoute(self._scheduler, self._origin)
        return routes.PeerRoute(chosen.link, data_centre, clock=self._clock)

    def expect(self, data_centre: str, job: jobs.Job) -> None:
        """Notes that a job is on its way to a steward.

        What a steward tells of its room is up to a heartbeat old.
        """
        self._expected[data_centre] = (
            self._expected.get(data_centre, 0.0) + job.count * job.need.cores
        )

    def refused(self, data_centre: str) -> None:
        """Notes that a steward has no room until it says otherwise."""
        self._expected[data_centre] = math.inf

    def heard(self, heartbeat: messages.Heartbeat) -> None:
        """Takes the news of a steward in place of what was expected."""
        for claim in heartbeat.claims:
            if not claim.relayed:
                self._expected.pop(claim.data_centre, None)

    async def submit(
        self,
        data_centre: str,
        job: jobs.Job,
        origin: active_job.Origin,
        *,
        moved: bool,
        lent: bool,
    ) -> outcomes.Outcome:
        """Runs a job of a peer, if this instance is the steward."""
        if self._scheduler is None or data_centre not in self._scope:
            return outcomes.NotRun(
                outcomes.Cause.NOT_STEWARD, f"no steward of {data_centre} here"
            )
        return await self._scheduler.submit(job, origin, moved=moved, lent=lent)

    def cancel(self, name: str, origin_id: str) -> None:
        """Ends a job of a peer."""
        if self._scheduler is not None:
            self._scheduler.cancel(name, origin_id)

    def update_endpoints(self) -> None:
        """Takes a new list of endpoints into use."""
        if self._scheduler is None:
            return
        self._scheduler.update(
            [
                e
                for e in self._endpoint_list.live
                if e.data_centre in self._scope
            ]
        )

    def evaluate(self) -> None:
        """Claims data centres without a steward, and resigns to better ones."""
        if self._claim_policy.leaving:
            self._hand_over()
            return
        now = self._clock.monotonic()
        leaders = self._leaders()
        if leaders:
            self._reachable_at = now
        for data_centre, leader in leaders.items():
            self._tokens[data_centre] = max(
                self._tokens.get(data_centre, 0), leader.claim.token
            )
        if self._scope:
            self._consider_resigning(leaders)
        vacant = self._claim_policy.choose(leaders, self._holder(leaders))
        if vacant:
            self._claim(vacant)

    def _leaders(self) -> dict[str, _Leader]:
        """Returns the steward with the highest token of each data centre."""
        found: dict[str, _Leader] = {}
        own = [
            _Leader(messages.LeadershipClaim(data_centre, token), None)
            for data_centre, token in self.tokens.items()
        ]
        peers = [
            _Leader(claim, link)
            for link in self._mesh.peers.values()
            if link.state is not None
            for claim in link.state.claims
            if not claim.relayed
        ]
        for leader in own + peers:
            known = found.get(leader.claim.data_centre)
            if known is None or leader.claim.token > known.claim.token:
                found[leader.claim.data_centre] = leader
        return found

    def _holder(self, leaders: dict[str, _Leader]) -> str:
        """Returns the instance with the highest token that stays, or ""."""
        if not leaders:
            return ""
        highest = max(leaders.values(), key=lambda s: s.claim.token)
        if highest.link is None:
            return self._settings.instance_id
        if highest.link.leaving:
            return ""
        return highest.link.hello.instance_id

    def _claim(self, vacant: list[str]) -> None:
        highest = max(self._tokens.get(name, 0) for name in vacant)
        scheduler = self._scheduler
        if scheduler is None:
            scheduler = self._start(self._draw_token(highest))
        elif scheduler.token <= highest:
            scheduler.raise_token(self._draw_token(highest))
        self._scope |= set(vacant)
        for data_centre in vacant:
            self._tokens[data_centre] = scheduler.token
            log.event(
                "stewardship claimed",
                step="steward",
                steward_of=data_centre,
                token=scheduler.token,
                peers=sorted(self._mesh.peers),
                endpoints=len(self._endpoint_list.of(data_centre)),
            )
        self.update_endpoints()
        self._changed()

    def _draw_token(self, above: int) -> int:
        return election.new_token(
            self._settings.instance_id,
            wall_ms=self._clock.wall_ms(),
            above=[above],
        )

    def _start(self, token: int) -> schedulers.Scheduler:
        scheduler = self._scheduler = schedulers.Scheduler(
            token=token,
            orders_=self._orders,
            lease_s=self._settings.max_lease_ms / 1_000,
            clock=self._clock,
            lost=self._fenced,
            metrics=self._metrics,
        )
        self._task = asyncio.create_task(scheduler.run(), name="steward")
        return scheduler

    def _consider_resigning(self, leaders: dict[str, _Leader]) -> None:
        """Resigns to a steward with a higher token, or to local instances."""
        token = self._scheduler.token if self._scheduler else 0
        for data_centre, leader in leaders.items():
            if leader.link is None or leader.claim.token < token:
                continue
            peer = leader.link.hello.instance_id
            if self._claim_policy.joint:
                self._resign(f"{peer} has a higher token")
                return
            if data_centre in self._scope:
                self._drop(data_centre, f"{peer} has a higher token")
        if self._claim_policy.joint:
            if self._claim_policy.slow and any(
                not (member.leaving or member.slow)
                for member in self._claim_policy.members
            ):
                self._resign("this instance is slow")
            return
        for data_centre in tuple(self._scope):
            if not self._claim_policy.is_own(data_centre) and any(
                member.data_centre == data_centre and not member.leaving
                for member in self._claim_policy.members
            ):
                self._drop(
                    data_centre, "an instance of the data centre is back"
                )

    def _hand_over(self) -> None:
        """Resigns, before this instance stops, if another would claim.

        Endpoints without a steward serve nobody, so the last instance holds
        them until it closes.
        """
        able = [m for m in self._claim_policy.members if not m.leaving]
        if self._claim_policy.joint:
            if able:
                self._resign("this instance stops")
            return
        for data_centre in tuple(self._scope):
            own = self._claim_policy.is_own(data_centre)
            if any(not own or m.data_centre == data_centre for m in able):
                self._drop(data_centre, "this instance stops")

    def _drop(self, data_centre: str, cause: str) -> None:
        """Gives up one data centre; its runs count until their leases end."""
        if self._scope == {data_centre}:
            self._resign(cause)
            return
        self._scope.discard(data_centre)
        self._log_resigned(data_centre, cause)
        self.update_endpoints()
        self._changed()

    def _resign(self, cause: str) -> None:
        """Gives up all data centres; homes offer their jobs to the next."""
        if self._task is None:
            return
        for data_centre in sorted(self._scope):
            self._log_resigned(data_centre, cause)
        self._task.cancel()
        self._closing.add(self._task)
        self._task.add_done_callback(self._closing.discard)
        self._scheduler = self._task = None
        self._scope.clear()
        self._changed()

    def _log_resigned(self, data_centre: str, cause: str) -> None:
        log.event(
            "stewardship resigned",
            step="steward",
            steward_of=data_centre,
            token=self._scheduler.token if self._scheduler else 0,
            cause=cause,
        )

    def _fenced(self, data_centre: str) -> None:
        """Answers a refusal of an endpoint for a higher token."""
        scheduler = self._scheduler
        if scheduler is None or data_centre not in self._scope:
            return
        above = election.steps_above(scheduler.token, _RAISE_STEPS)
        if not scheduler.is_established(data_centre):
            # Endpoints remember a steward whose time of day was ahead.
            scheduler.raise_token(self._draw_token(above))
            for name in self._scope:
                self._tokens[name] = scheduler.token
            self._changed()
            return
        self._tokens[data_centre] = max(self._tokens.get(data_centre, 0), above)
        alone = not self._mesh.peers
        pause_s = _ISOLATED_PAUSE_S if alone else _FENCED_PAUSE_S
        barred_until = self._clock.monotonic() + pause_s
        if not any(
            m.data_centre == data_centre for m in self._claim_policy.members
        ):
            # Its own instances hold it beyond a cut.
            self._claim_policy.bar(data_centre, barred_until)
            self._drop(data_centre, "an endpoint has seen a higher token")
            return
        for name in self._scope:
            self._claim_policy.bar(name, barred_until)
        self._resign("an endpoint has seen a higher token")
