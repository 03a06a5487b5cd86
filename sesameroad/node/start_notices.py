"""Exchanges with peers what is known of starts without an answer."""

from sesameroad.jobs import held_up_notices
from sesameroad.jobs import pending_starts
from sesameroad.leasing import leases
from sesameroad.leasing import runs
from sesameroad.model import clocks
from sesameroad.node import keepers
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from sesameroad.settings import node
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Keepers of the starts on their way: one in the own data centre, as that may be cut
# off, and one outside, as all instances in it may be lost together.
_KEEPERS = 2
# Bounds the jobs named in the log line of a lost leader.
_MAX_LOGGED_JOBS = 16


class StartNotices:
    """Starts without an answer that this instance knows of, leader or not.

    Attributes:
        held_up: Starts whose answer is not waited for any more.
        pending: Starts on their way of the leader in this process.
    """

    __slots__ = (
        "_keepers",
        "_kept",
        "_kept_s",
        "_mesh",
        "_metrics",
        "_settings",
        "held_up",
        "pending",
    )

    def __init__(
        self,
        *,
        settings: node.NodeSettings,
        mesh: mesh_module.Mesh,
        clock: clocks.Clock,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Creates the state of an instance that knows of no start.

        Args:
            settings: Settings of the instance.
            mesh: Streams to the other instances.
            clock: Time source.
            metrics: Counts starts of lost leaders.
        """
        self._settings = settings
        self._mesh = mesh
        self._metrics = metrics
        self.held_up = held_up_notices.HeldUpNotices(
            clock=clock, send=self._broadcast
        )
        self.pending = pending_starts.PendingStarts(send=self._send_pending)
        # Number of the last start that each keeper of the leader here was told
        # of, by the stream to it.
        self._keepers: dict[links.Link, int] = {}
        # Starts on their way of other leaders.
        self._kept = pending_starts.KeptStarts()
        lease = leases.Lease(duration_s=settings.max_lease_ms / 1_000)
        # Time after the loss of a leader until the runs of its starts have ended.
        self._kept_s = runs.HELD_UP_S + lease.longest_s

    def receive_pending(
        self, link: links.Link, notice: messages.PendingStarts
    ) -> None:
        """Keeps what a leader tells of its starts on their way."""
        self._kept.receive(link.hello.incarnation, notice)

    def tell(self, link: links.Link, heartbeat: messages.Heartbeat) -> None:
        """Tells a leader whose claim was not seen before of all such starts.

        Those on their way count if their leader has the same data centre: it is
        lost, or about to resign.
        """
        if not heartbeat.own_claims:
            return
        token = max(claim.token for claim in heartbeat.own_claims)
        if token <= link.told_token:
            return
        for notice in self.held_up.all():
            self._mesh.send(link, notice)
        claimed = {claim.data_centre for claim in heartbeat.own_claims}
        for leader in self._kept.leaders:
            former = self._mesh.find(leader)
            if former is None or former is link:
                continue
            last = former.last_heartbeat
            if last is not None and any(
                claim.data_centre in claimed for claim in last.own_claims
            ):
                starts = self._kept.of(leader, left_s=self._kept_s)
                self._mesh.send(link, messages.HeldUpStarts(starts))

    def record_losses(self) -> tuple[str, ...]:
        """Counts the starts of leaders that were lost as held up.

        Returns:
            Keys of their jobs.
        """
        keys: list[str] = []
        for leader in self._kept.leaders:
            if self._mesh.find(leader) is not None:
                continue
            starts = self._kept.of(leader, left_s=self._kept_s)
            self._kept.forget(leader)
            for key, of_job in starts.items():
                for start in of_job:
                    self.held_up.record(key, start, own=False)
            count = sum(map(len, starts.values()))
            self._metrics.starts_of_lost_leader(count)
            log.event(
                "a leader was lost with starts on their way",
                step="start",
                peer=leader,
                starts=count,
                requests=list(starts)[:_MAX_LOGGED_JOBS],
            )
            keys += starts
        return tuple(keys)

    def _broadcast(self, notice: messages.HeldUpStarts) -> None:
        self._mesh.broadcast(notice)

    def _send_pending(self, settled: bool) -> None:  # noqa: FBT001
        """Tells the keepers what they do not know."""
        self._choose_keepers()
        for link, told in self._keepers.items():
            notice = self.pending.notice(told, settled=settled)
            if self._mesh.send(link, notice) and notice.starts:
                self._keepers[link] = notice.starts[-1].number

    def _choose_keepers(self) -> None:
        """Replaces the keepers that are lost or about to stop."""
        kept = {
            link: told
            for link, told in self._keepers.items()
            if link.live and not link.leaving
        }
        own = self._settings.data_centre
        while len(kept) < _KEEPERS:
            others = [
                link
                for link in self._mesh.peers.values()
                if link not in kept and not link.leaving
            ]
            if not others:
                break
            near = [k for k in others if k.hello.data_centre == own]
            if near and not any(k.hello.data_centre == own for k in kept):
                others = near
            chosen = keepers.choose(
                self._settings.instance_id,
                others,
                count=1,
                data_centres={k.hello.data_centre for k in kept},
            )
            kept.update(dict.fromkeys(chosen, 0))
        self._keepers = kept
