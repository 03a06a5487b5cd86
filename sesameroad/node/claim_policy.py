"""Decides which data centres an instance claims leadership of, and when."""

import collections
from collections.abc import Container
import math

from sesameroad.jobs import election
from sesameroad.model import clocks
from sesameroad.node import endpoint_list as endpoint_list_module
from sesameroad.node import instance_registry
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.settings import node

# An instance that reaches no peer claims nothing for this time after its start.
_DISCOVERY_TIMEOUT_S = 1.5
# The same for an instance that reaches some peers. It does not wait for all: a
# registered instance may be gone permanently, and connecting to it takes a
# second to fail. All live instances respond within 0.3 s.
_DISCOVERY_TIMEOUT_WITH_PEERS_S = 0.4
# Time without a leader after which an instance of another data centre claims
# the endpoints. It is long because a network partition looks the same, and the
# instances of the data centre then continue to lead it.
_REMOTE_CLAIM_DELAY_S = 3.0
# The same if the last instance of the data centre resigned to stop. It is
# longer than another instance there needs to claim, so that only one claims.
_REMOTE_HANDOVER_DELAY_S = 0.5
# Maximum number of endpoints of a single leader with a whole core: about 1,000
# starts per second use it up (docs/CAPACITY.md), and an endpoint takes about 15
# per second. Larger fleets have a leader in each data centre.
_MAX_SINGLE_LEADER_ENDPOINTS = 64
# Number of resigned claims that are remembered. Peers relay a claim for up to one
# heartbeat after its resignation, in which a few leaders at most follow.
_MAX_RESIGNED = 64
# A leader uses one thread, so that more than one core does not help it.
_CORE_MILLICORES = 1_000


class ClaimPolicy:
    """Decides on claims from the visible peers, the endpoints and the store.

    Attributes:
        leaving: Whether this instance is shutting down.
        slow: Whether it gets too little processor time to be a leader.
    """

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        mesh: mesh_module.Mesh,
        registry: instance_registry.InstanceRegistry,
        endpoint_list: endpoint_list_module.EndpointList,
        clock: clocks.Clock,
    ) -> None:
        self.leaving = False
        self.slow = False
        self._settings = settings
        self._mesh = mesh
        self._registry = registry
        self._endpoint_list = endpoint_list
        self._clock = clock
        self._vacant_since: dict[str, float] = {}
        # Time since which some data centre has no leader, infinite if none.
        self._unled_since = math.inf
        # Monotonic times before which data centres must not be claimed.
        self._deferred_until: dict[str, float] = {}
        # Data centres and tokens of claims whose holders have announced that they
        # have resigned them.
        self._resigned: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=_MAX_RESIGNED
        )
        self._created_at = clock.monotonic()
        # Time at which all instances that respond had been heard.
        self._discovered_at = math.inf

    @property
    def single_leader(self) -> bool:
        """Whether one leader can handle the endpoints of all data centres.

        The instance with the most processor time would be that leader. One with
        a small share of a core handles as much less.
        """
        millicores = min(
            max(member.processor_millicores for member in self.members),
            _CORE_MILLICORES,
        )
        endpoint_count = len(tuple(self._endpoint_list.live))
        return (
            endpoint_count * _CORE_MILLICORES
            <= _MAX_SINGLE_LEADER_ENDPOINTS * millicores
        )

    @property
    def members(self) -> list[election.Member]:
        """This instance and its connected peers."""
        settings = self._settings
        return [
            election.Member(
                settings.instance_id,
                settings.data_centre,
                self.leaving,
                self.slow,
                settings.processor_millicores,
            ),
            *(
                election.Member(
                    link.hello.instance_id,
                    link.hello.data_centre,
                    link.leaving,
                    link.slow,
                    link.hello.processor_millicores,
                )
                for link in self.peers
            ),
        ]

    @property
    def peers(self) -> list[links.Link]:
        """Connected peers that count in an election.

        The loss of a peer on an idle link is noticed late. All links become
        busy when a leader is lost, so live peers are heard soon after.
        """
        connected = list(self._mesh.peers.values())
        heartbeat_s = self._settings.timing.heartbeat_s
        if self._clock.monotonic() < self._unled_since + heartbeat_s:
            return connected
        heard_since = self._unled_since - heartbeat_s
        return [link for link in connected if link.is_heard_since(heard_since)]

    @property
    def has_vacancy(self) -> bool:
        """Whether a data centre with endpoints has no leader."""
        return self._unled_since < math.inf

    def is_own(self, data_centre: str) -> bool:
        """Returns whether this instance runs in a data centre."""
        return data_centre == self._settings.data_centre

    def has_better_leader(self, data_centre: str) -> bool:
        """Returns whether another local instance has more processor time.

        A leader that is slow because of its load does not hand over to a
        smaller instance, which the load would slow even more.
        """
        own, *others = self.members
        for other in others:
            if other.data_centre != data_centre or other.leaving or other.slow:
                continue
            if other.processor_millicores > own.processor_millicores:
                return True
            if own.slow and (
                other.processor_millicores == own.processor_millicores
            ):
                return True
        return False

    def defer(self, data_centre: str, until: float) -> None:
        """Prevents claims of a data centre until a monotonic time."""
        self._deferred_until[data_centre] = until

    def record_resigned(self, data_centre: str, token: int) -> None:
        """Records that the holder of a claim has announced its resignation.

        Peers relay the claim until their next heartbeat. A token is never used
        for a second claim of the same data centre.
        """
        self._resigned.append((data_centre, token))

    def is_resigned(self, data_centre: str, token: int) -> bool:
        """Returns whether the resignation of a claim has been announced."""
        return (data_centre, token) in self._resigned

    def choose(
        self,
        led: Container[str],
        preferred: str,
        *,
        resigned: Container[str] = (),
    ) -> list[str]:
        """Returns the data centres to claim now.

        Args:
            led: Data centres with a visible leader.
            preferred: Instance that leads some data centres and should claim
                further ones as well, empty if there is none.
            resigned: Data centres whose last known leader has announced that
                it has resigned.
        """
        now = self._clock.monotonic()
        if self._discovered_at > now and self._is_discovery_done(now):
            self._discovered_at = now
        self._update_unled_since(led, now)
        vacant = []
        for data_centre in self._settings.data_centres:
            if data_centre in led:
                self._vacant_since.pop(data_centre, None)
            elif self._may_claim(
                data_centre, preferred, now, resigned=data_centre in resigned
            ):
                vacant.append(data_centre)
        return vacant

    def _update_unled_since(self, led: Container[str], now: float) -> None:
        if all(
            data_centre in led
            or not self._endpoint_list.in_data_centre(data_centre)
            for data_centre in self._settings.data_centres
        ):
            self._unled_since = math.inf
        else:
            self._unled_since = min(self._unled_since, now)

    def _is_discovery_done(self, now: float) -> bool:
        """Whether all instances that respond have been heard."""
        age_s = now - self._created_at
        if self._registry.instances and self._mesh.all_dialled:
            return True
        if self._mesh.peers and self._mesh.all_heard:
            return age_s > _DISCOVERY_TIMEOUT_WITH_PEERS_S
        return age_s > _DISCOVERY_TIMEOUT_S

    def _may_claim(
        self, data_centre: str, preferred: str, now: float, *, resigned: bool
    ) -> bool:
        claimant = self._find_claimant(data_centre, preferred)
        discovered = self._discovered_at <= now
        # The required vacancy passes while further instances are being heard.
        watching = discovered or (self._mesh.peers and self._mesh.all_heard)
        if (
            not watching
            or claimant != self._settings.instance_id
            # The leader is alive; only the stream to it is broken.
            or self._is_relayed(data_centre)
        ):
            self._vacant_since.pop(data_centre, None)
            return False
        if now < self._deferred_until.get(data_centre, 0.0):
            return False
        if not self._endpoint_list.in_data_centre(data_centre):
            # There is nothing to lead without endpoints.
            return False
        since = self._vacant_since.setdefault(data_centre, now)
        delay_s = self._claim_delay_s(data_centre)
        if resigned and self.single_leader:
            # The successor inherits all that the leader held, also while no
            # instance of the data centre is visible.
            delay_s = 0.0
        if not discovered or delay_s is None or now - since < delay_s:
            return False
        if not self._mesh.all_heard and now - self._discovered_at < delay_s:
            # A peer that was connected last may lead.
            return False
        return not self._is_isolated()

    def _find_claimant(self, data_centre: str, preferred: str) -> str:
        """Returns the instance that should claim a data centre, or ""."""
        if not self.single_leader:
            return election.candidate(data_centre, self.members)
        return preferred or election.candidate_for_all(self.members)

    def _claim_delay_s(self, data_centre: str) -> float | None:
        """Returns the vacancy required for a claim; None forbids it."""
        members = self.members
        visible = any(m.data_centre == data_centre for m in members)
        if not visible and self._is_announced(data_centre):
            # Its instances are alive on the other side of a network
            # partition, and one of them claims it.
            return None
        local = visible if self.single_leader else self.is_own(data_centre)
        resigned = any(
            member.leaving
            and (self.single_leader or member.data_centre == data_centre)
            for member in members
        )
        match local, resigned:
            case True, True:
                return 0.0
            case True, False:
                # By then live peers on formerly idle links have been heard.
                timing = self._settings.timing
                return max(timing.claim_pause_s, timing.heartbeat_s)
            case False, True:
                return _REMOTE_HANDOVER_DELAY_S
            case _:
                return _REMOTE_CLAIM_DELAY_S

    def _is_relayed(self, data_centre: str) -> bool:
        """Whether a peer reports a leader that is not visible here.

        A leader that has announced its resignation here does not count.
        """
        return any(
            claim.relayed
            and claim.data_centre == data_centre
            and not self.is_resigned(data_centre, claim.token)
            for link in self.peers
            if link.last_heartbeat is not None
            for claim in link.last_heartbeat.claims
        )

    def _is_announced(self, data_centre: str) -> bool:
        """Whether another live instance of a data centre is in the store."""
        return any(
            other.data_centre == data_centre
            for name, other in self._registry.fresh_announcements().items()
            if name != self._settings.instance_id
        )

    def _is_isolated(self) -> bool:
        """Whether other instances are alive but none of them can be reached."""
        return not self.peers and self._is_announced(self._settings.data_centre)
