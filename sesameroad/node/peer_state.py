"""What the last heartbeat of a peer means for leadership."""

import dataclasses
from typing import Self

from sesameroad.peering import messages


@dataclasses.dataclass(slots=True, frozen=True)
class PeerState:
    """State of a peer, which is compared with that of its last heartbeat.

    Attributes:
        incarnation: Incarnation of the peer.
        leaving: Whether it is about to stop.
        slow: Whether it gets too little processor time to lead.
        own_claims: Data centres that it leads, each with its token.
        relayed_claims: The same for the other leaders that it sees.
    """

    incarnation: str
    leaving: bool
    slow: bool
    own_claims: frozenset[tuple[str, int]]
    relayed_claims: frozenset[tuple[str, int]]

    @classmethod
    def from_heartbeat(
        cls, hello: messages.Hello, heartbeat: messages.Heartbeat
    ) -> Self:
        """Returns the state that a heartbeat of a peer reports."""
        return cls(
            hello.incarnation,
            heartbeat.leaving,
            heartbeat.slow,
            frozenset(
                (claim.data_centre, claim.token)
                for claim in heartbeat.own_claims
            ),
            frozenset(
                (claim.data_centre, claim.token)
                for claim in heartbeat.claims
                if claim.relayed
            ),
        )
