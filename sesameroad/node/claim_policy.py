"""Which data centres an instance should claim, and when."""

from collections.abc import Container

from sesameroad.jobs import election
from sesameroad.model import clock as clocks
from sesameroad.node import endpoint_list
from sesameroad.node import instance_registry
from sesameroad.peering import mesh as meshes
from sesameroad.settings import node as settings_module

# Time after which an instance that cannot reach the others acts on its own.
_SETTLE_S = 1.5
# The same for one that hears some: a listed instance may be gone for good, and
# dialling it takes a second to fail. All that live answer within 0.3 s.
_SETTLE_AMONG_PEERS_S = 0.4
# Time without a steward after which an instance of another data centre takes
# the endpoints: a cut looks the same, and its own instances then go on.
_FOREIGN_PAUSE_S = 3.0
# The same if its last instance resigned because it stops: longer than another
# instance there needs to claim, so that only one does.
_FOREIGN_HANDOVER_S = 0.5
# Endpoints that one steward can hold: about 1,000 starts a second use up a core
# (docs/CAPACITY.md), and an endpoint takes some 15 a second. Larger fleets have a
# steward in each data centre.
_MAX_JOINT_ENDPOINTS = 64


class ClaimPolicy:
    """Judges what this instance sees of the others, of endpoints and the store.

    Attributes:
        leaving: Whether this instance is about to stop.
        slow: Whether it gets too little processor time for a steward.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Node,
        mesh: meshes.Mesh,
        registry: instance_registry.InstanceRegistry,
        endpoint_list: endpoint_list.EndpointList,
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
        self._barred_until: dict[str, float] = {}
        self._created_at = clock.monotonic()
        self._settled = False

    @property
    def joint(self) -> bool:
        """Whether one steward can hold the endpoints of all data centres."""
        return len(tuple(self._endpoint_list.live)) <= _MAX_JOINT_ENDPOINTS

    @property
    def members(self) -> list[election.Member]:
        """This instance and those that it sees."""
        settings = self._settings
        return [
            election.Member(
                settings.instance_id,
                settings.data_centre,
                self.leaving,
                self.slow,
            ),
            *(
                election.Member(
                    link.hello.instance_id,
                    link.hello.data_centre,
                    link.leaving,
                    link.slow,
                )
                for link in self._mesh.peers.values()
            ),
        ]

    def is_own(self, data_centre: str) -> bool:
        """Returns whether this instance runs in a data centre."""
        return data_centre == self._settings.data_centre

    def bar(self, data_centre: str, until: float) -> None:
        """Claims a data centre only after a time."""
        self._barred_until[data_centre] = until

    def choose(self, held: Container[str], holder: str) -> list[str]:
        """Returns the data centres to claim now.

        Args:
            held: Data centres whose steward is seen.
            holder: Instance that should claim more beside what it holds, empty
                if there is none.
        """
        now = self._clock.monotonic()
        self._settled = self._settled or self._is_settled(now)
        vacant = []
        for data_centre in self._settings.data_centres:
            if data_centre in held:
                self._vacant_since.pop(data_centre, None)
            elif self._may_claim(data_centre, holder, now):
                vacant.append(data_centre)
        return vacant

    def _is_settled(self, now: float) -> bool:
        """Whether the other instances were heard, as far as they answer."""
        age_s = now - self._created_at
        if self._registry.instances and self._mesh.explored:
            return True
        if self._mesh.peers and self._mesh.heard:
            return age_s > _SETTLE_AMONG_PEERS_S
        return age_s > _SETTLE_S

    def _may_claim(self, data_centre: str, holder: str, now: float) -> bool:
        claimant = self._find_claimant(data_centre, holder)
        if (
            not self._settled
            or claimant != self._settings.instance_id
            # The stream to the steward is broken, but the steward lives.
            or self._is_relayed(data_centre)
        ):
            self._vacant_since.pop(data_centre, None)
            return False
        if now < self._barred_until.get(data_centre, 0.0):
            return False
        if not self._endpoint_list.of(data_centre):
            # Without endpoints there is nothing to hold.
            return False
        since = self._vacant_since.setdefault(data_centre, now)
        pause_s = self._claim_pause_s(data_centre)
        if pause_s is None or now - since < pause_s:
            return False
        return not self._is_isolated()

    def _find_claimant(self, data_centre: str, holder: str) -> str:
        """Returns the instance that should claim a data centre, "" if none."""
        if not self.joint:
            return election.candidate(data_centre, self.members)
        return holder or election.first(self.members)

    def _claim_pause_s(self, data_centre: str) -> float | None:
        """Returns how long a data centre must be vacant, None for ever."""
        members = self.members
        visible = any(m.data_centre == data_centre for m in members)
        if not visible and self._is_announced(data_centre):
            # Its instances live beyond a cut, and one of them claims it.
            return None
        near = visible if self.joint else self.is_own(data_centre)
        resigned = any(
            member.leaving and (self.joint or member.data_centre == data_centre)
            for member in members
        )
        match near, resigned:
            case True, True:
                return 0.0
            case True, False:
                return self._settings.timing.claim_pause_s
            case False, True:
                return _FOREIGN_HANDOVER_S
            case _:
                return _FOREIGN_PAUSE_S

    def _is_relayed(self, data_centre: str) -> bool:
        """Whether a peer sees a steward that this instance does not see."""
        return any(
            claim.relayed and claim.data_centre == data_centre
            for link in self._mesh.peers.values()
            if link.state is not None
            for claim in link.state.claims
        )

    def _is_announced(self, data_centre: str) -> bool:
        """Whether the store shows another live instance of a data centre."""
        return any(
            other.data_centre == data_centre
            for name, other in self._registry.fresh().items()
            if name != self._settings.instance_id
        )

    def _is_isolated(self) -> bool:
        """Whether the others live, but only the store shows it."""
        return not self._mesh.peers and self._is_announced(
            self._settings.data_centre
        )
