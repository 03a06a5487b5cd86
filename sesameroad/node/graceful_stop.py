"""Graceful stop of an instance, step by step."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import Protocol

from sesameroad.model import clocks
from sesameroad.settings import node
from sesameroad.telemetry import log

_POLL_S = 0.05
# Time for an instance of another data centre to see a resignation and to claim.
_HANDOVER_S = 0.8
# Time, in seconds, for which requests that are not jobs are answered after the end
# of the graceful stop, and the least time for them if that is over. With
# the time to withdraw jobs, 0.1 s is left before the platform kills the process.
_LAST_REQUESTS_S = 0.4
_MIN_CLOSE_S = 0.1

Step = Callable[[], Awaitable[None]]


class CallerJobs(Protocol):
    """The jobs of callers, each of which is owed an answer."""

    def __len__(self) -> int:
        """Returns the number of jobs in flight."""

    async def withdraw_all(self) -> None:
        """Ends all jobs and answers their callers."""


class Leaders(Protocol):
    """The leadership of the instance."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads any data centre."""

    async def close(self) -> None:
        """Resigns all data centres."""


class Server(Protocol):
    """An HTTP server."""

    async def close(self, *, timeout_s: float) -> None:
        """Answers what arrives on open connections, then closes them."""


async def run_steps(*steps: Step) -> list[Exception]:
    """Runs all steps in order; returns the errors of those that failed."""
    failures: list[Exception] = []
    for step in steps:
        try:
            await step()
        except Exception as error:  # noqa: BLE001
            log.problem(
                "step of the stop failed", step="stop", error=repr(error)
            )
            failures.append(error)
    return failures


class GracefulStop:
    """Answers all requests that an instance has taken, then closes it.

    The platform kills the process a fixed time after it has requested the stop, so
    each step ends by a time that counts from then. A step that fails does not keep
    the next ones from their work.
    """

    __slots__ = (
        "_announce",
        "_caller_jobs",
        "_clock",
        "_close",
        "_leaders",
        "_requested_at",
        "_servers",
        "_tell_peers",
        "_timing",
    )

    def __init__(
        self,
        *,
        timing: node.Timing,
        clock: clocks.Clock,
        announce: Callable[[], None],
        tell_peers: Callable[[], None],
        caller_jobs: CallerJobs,
        leaders: Leaders,
        servers: Sequence[Server],
        close: Step,
    ) -> None:
        """Creates a stop that has not been requested.

        Args:
            timing: Durations of the steps.
            clock: Time source.
            announce: Tells peers and the load balancer that the instance stops.
            tell_peers: Sends the leadership of this instance to all peers.
            caller_jobs: Jobs of the callers of this instance.
            leaders: Leadership of this instance.
            servers: HTTP servers, the one for callers last.
            close: Closes everything else.
        """
        self._timing = timing
        self._clock = clock
        self._announce = announce
        self._tell_peers = tell_peers
        self._caller_jobs = caller_jobs
        self._leaders = leaders
        self._servers = servers
        self._close = close
        self._requested_at = math.inf

    @property
    def refuses_jobs(self) -> bool:
        """Whether jobs come too late, so that the stop could abort them."""
        return self._elapsed_s >= self._timing.stop_notice_s

    @property
    def _elapsed_s(self) -> float:
        """Time since the stop was requested, in seconds; negative before."""
        return self._clock.monotonic() - self._requested_at

    async def run(self, requested_at: float | None = None) -> None:
        """Stops the instance.

        Args:
            requested_at: Monotonic time at which the stop was requested, now by
                default.

        Raises:
            ExceptionGroup: If any step failed.
        """
        log.event(
            "instance stops", step="stop", in_flight=len(self._caller_jobs)
        )
        now = self._clock.monotonic()
        self._requested_at = now if requested_at is None else requested_at
        failures = await run_steps(
            self._begin,
            self._wait_noticed,
            self._finish_jobs,
            self._caller_jobs.withdraw_all,
            self._resign,
            self._close_servers,
            self._close,
        )
        log.event(
            "instance stopped",
            step="stop",
            took_ms=int(self._elapsed_s * 1_000),
        )
        if failures:
            raise ExceptionGroup("graceful stop", failures)

    async def _begin(self) -> None:
        self._announce()

    async def _wait_noticed(self) -> None:
        """Waits until the load balancer has noticed the stop.

        It sends callers here until two of its checks have failed.
        """
        await asyncio.sleep(
            max(0.0, self._timing.stop_notice_s - self._elapsed_s)
        )

    async def _finish_jobs(self) -> None:
        """Waits until the jobs of callers have ended, for a limited time."""
        while len(self._caller_jobs):
            if self._elapsed_s > self._timing.graceful_stop_s:
                log.problem(
                    "jobs are still in flight at the end of the graceful stop",
                    step="stop",
                    in_flight=len(self._caller_jobs),
                )
                return
            await asyncio.sleep(_POLL_S)

    async def _resign(self) -> None:
        """Resigns the data centres that no other instance has taken over.

        It keeps its streams for a short time, so that other instances notice
        the resignation and claim the data centres.
        """
        if not self._leaders.is_leader:
            return
        await self._leaders.close()
        self._tell_peers()
        remaining_s = self._timing.graceful_stop_s - self._elapsed_s
        await asyncio.sleep(max(0.0, min(_HANDOVER_S, remaining_s)))

    async def _close_servers(self) -> None:
        """Closes the server for callers, then the others.

        Requests that are not jobs, such as cancels, are answered until the end of
        the graceful stop, and for a short time after it.
        """
        limit_s = self._timing.graceful_stop_s + _LAST_REQUESTS_S
        for server in reversed(self._servers):
            remaining_s = limit_s - self._elapsed_s
            await server.close(timeout_s=max(_MIN_CLOSE_S, remaining_s))
