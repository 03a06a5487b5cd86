"""Reports of recent cancels that a new leader waits for before it starts tasks."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

from sesameroad.model import clocks
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Time after which a peer that is heard but does not report is not waited for. It may
# be of an earlier release, or its report was malformed. A peer that is short of
# processor time reports within half of it.
_MAX_WAIT_S = 1.0
_CHECK_PERIOD_S = 0.05


class Peer(Protocol):
    """The stream to a peer."""

    @property
    def live(self) -> bool:
        """Whether the stream is open and the peer was heard recently."""

    def is_heard_since(self, at: float) -> bool:
        """Returns whether the peer was heard since a monotonic time."""


class CancelReports:
    """Peers that have not yet told a new leader of the cancels that they keep.

    A former leader has ended jobs that callers have cancelled, and their requests
    may arrive again. Each peer reports when it first sees the claim, within one
    round trip.
    """

    __slots__ = (
        "_arrived",
        "_awaited",
        "_began_at",
        "_clock",
        "_metrics",
        "_timeout_s",
        "token",
    )

    def __init__(
        self,
        *,
        token: int,
        peers: Mapping[str, Peer],
        timeout_s: float,
        clock: clocks.Clock,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Begins to wait.

        Args:
            token: Token of the claim. Reports for a lower one are of an earlier
                claim.
            peers: Streams to the peers that are live now, by instance id.
            timeout_s: Silence after which a peer counts as lost, in seconds.
            clock: Time source.
            metrics: Records the wait and the peers that have not reported.
        """
        self.token = token
        self._awaited = dict(peers)
        self._timeout_s = timeout_s
        self._clock = clock
        self._metrics = metrics
        self._began_at = clock.monotonic()
        self._arrived = asyncio.Event()

    def record(self, peer: str) -> None:
        """Records that a peer has reported all of its recent cancels."""
        if self._awaited.pop(peer, None) is not None:
            self._arrived.set()

    async def wait(self) -> None:
        """Waits until each peer has reported or is lost."""
        count = len(self._awaited)
        silent: set[str] = set()
        while self._awaited:
            now = self._clock.monotonic()
            lost = {
                n for n, p in self._awaited.items() if self._is_lost(p, now)
            }
            if now - self._began_at >= _MAX_WAIT_S:
                lost = set(self._awaited)
            for name in lost:
                del self._awaited[name]
            silent |= lost
            if not self._awaited:
                break
            self._arrived.clear()
            try:
                async with asyncio.timeout(_CHECK_PERIOD_S):
                    await self._arrived.wait()
            except TimeoutError:
                continue
        waited_s = self._clock.monotonic() - self._began_at
        self._metrics.cancel_reports_awaited(waited_s, missing=len(silent))
        report = log.problem if silent else log.event
        report(
            "leader knows the recent cancels of its peers",
            step="steward",
            token=self.token,
            reports=count - len(silent),
            missing=sorted(silent),
            took_ms=int(waited_s * 1_000),
        )

    def _is_lost(self, peer: Peer, now: float) -> bool:
        """Returns whether a peer is gone or has been silent since the claim.

        The link to an idle peer may have been silent before; it reports as soon
        as it sees the claim.
        """
        if not peer.live:
            return True
        silent_since = now - self._timeout_s
        return silent_since >= self._began_at and not peer.is_heard_since(
            silent_since
        )
