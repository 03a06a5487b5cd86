"""Holds back the starts of a new leader until its list of endpoints is current."""

import asyncio

from sesameroad.model import clocks
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Longest wait for a list that was asked for after the claim. The store usually
# answers in 4 ms. Without the store, the leader goes on with the list that it has.
LONGEST_WAIT_S = 0.25


class StartGate:
    """Opens once a list of endpoints has been read that is newer than the claim.

    An instance that does not lead reads the list each 4 s, so that the one that
    it has shows endpoints as ready that have been draining for long. The gate
    opens as well if the list cannot be read, and then stays open.
    """

    __slots__ = ("_claimed_at", "_clock", "_metrics", "_open")

    def __init__(
        self, *, clock: clocks.Clock, metrics: job_metrics.JobMetrics
    ) -> None:
        """Creates a gate that is closed; the claim is made now.

        Args:
            clock: Time source.
            metrics: Receives the time until the gate opens.
        """
        self._clock = clock
        self._metrics = metrics
        self._claimed_at = clock.monotonic()
        self._open = asyncio.Event()

    def record_list(self, asked_at: float) -> None:
        """Records that a list is in use that was asked for at a time."""
        if self._open.is_set() or asked_at < self._claimed_at:
            return
        log.event(
            "a new leader has read the list of endpoints",
            step="steward",
            waited_ms=self._waited_ms,
        )
        self._set_open("read")

    def record_failure(self, asked_at: float) -> None:
        """Records that the list could not be read when it was asked for."""
        if not self._open.is_set() and asked_at >= self._claimed_at:
            self._give_up("the store cannot be read")

    async def wait(self) -> None:
        """Waits until the gate is open."""
        left_s = self._claimed_at + LONGEST_WAIT_S - self._clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                await self._open.wait()
        except TimeoutError:
            if not self._open.is_set():
                self._give_up("the store has not answered in time")

    @property
    def _waited_ms(self) -> int:
        return int((self._clock.monotonic() - self._claimed_at) * 1_000)

    def _give_up(self, cause: str) -> None:
        log.problem(
            "a new leader starts tasks by an old list of endpoints",
            step="steward",
            error=cause,
            waited_ms=self._waited_ms,
        )
        self._set_open("failed")

    def _set_open(self, result: str) -> None:
        self._metrics.leader_list_took(
            result, self._clock.monotonic() - self._claimed_at
        )
        self._open.set()
