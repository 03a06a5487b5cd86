"""Cancels jobs at all leaders for callers of any instance."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

from sesameroad import errors
from sesameroad.jobs import cancellations as cancellations_module
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.peering import links
from sesameroad.peering import messages
from sesameroad.telemetry import log

# Time for an answer of a leader, and the time for which a cancel is repeated
# while leaders do not answer or change. Callers expect the answer, and the end of
# all runs, within 3 s each.
_ANSWER_TIMEOUT_S = 0.5
_REPEAT_S = 1.5
_REPEAT_PAUSE_S = 0.1


class Leaders(Protocol):
    """The leaders that are reachable now."""

    @property
    def leader_links(self) -> Mapping[str, links.Link | None]:
        """Link to each leader by its incarnation, None for this instance."""

    def cancel_key(self, key: str) -> bool | None:
        """Cancels a job at the leader in this process.

        Returns:
            Whether it had the job, None if this instance leads nothing.
        """


class Canceller:
    """Passes cancels to the leaders, which know all jobs that have started.

    Each attempt of a job is offered to a leader, so a leader that keeps the
    cancelled keys prevents later attempts. Cancels of the last seconds are also
    sent to leaders that are seen later.
    """

    __slots__ = ("_cancellations", "_clock", "_informed", "_leaders", "_tasks")

    def __init__(self, *, leaders: Leaders, clock: clocks.Clock) -> None:
        self._leaders = leaders
        self._clock = clock
        self._cancellations = cancellations_module.Cancellations()
        # Leaders that were sent all recent cancels.
        self._informed: set[str] = set()
        self._tasks: set[asyncio.Task[cancellations_module.Result]] = set()

    async def cancel(self, key: str) -> cancellations_module.Result:
        """Cancels a job at whatever leader has it."""
        began_at = self._clock.monotonic()
        if not len(self._cancellations):
            self._informed = set(self._leaders.leader_links)
        self._cancellations.add(key, began_at)
        found = False
        while True:
            results = await self._ask_all(key)
            found = found or cancellations_module.Result.CANCELLED in results
            if results and (
                cancellations_module.Result.UNCERTAIN not in results
            ):
                break
            if self._clock.monotonic() - began_at > _REPEAT_S:
                break
            await asyncio.sleep(_REPEAT_PAUSE_S)
        result = cancellations_module.Result.NO_SUCH_JOB
        if found:
            result = cancellations_module.Result.CANCELLED
        elif not results or cancellations_module.Result.UNCERTAIN in results:
            result = cancellations_module.Result.UNCERTAIN
        log.event(
            "job cancelled by its caller",
            step="cancel",
            request=key,
            result=result.name.lower(),
            leaders=len(results),
            took_ms=int((self._clock.monotonic() - began_at) * 1_000),
        )
        return result

    def inform_new_leaders(self) -> None:
        """Sends the recent cancels to leaders that have not been sent them."""
        if not len(self._cancellations):
            return
        leaders = self._leaders.leader_links
        new = leaders.keys() - self._informed
        self._informed = set(leaders)
        if not new:
            return
        for key in self._cancellations.recent(self._clock.monotonic()):
            for leader_id in new:
                task = asyncio.create_task(self._ask(leaders[leader_id], key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def answer(self, query: messages.StatusQuery) -> messages.RelayReply:
        """Carries out a cancel that a peer has sent to the leader here."""
        outcome: outcomes.Outcome
        match self._leaders.cancel_key(query.key):
            case None:
                outcome = outcomes.NotRun(
                    outcomes.Cause.NOT_STEWARD, "no leader here"
                )
            case True:
                outcome = outcomes.Failed(
                    outcomes.Cause.CANCELLED, "cancelled", may_have_run=True
                )
            case False:
                outcome = outcomes.NotRun(
                    outcomes.Cause.NOT_FOUND, "no such job"
                )
        return messages.RelayReply(query.id, outcome)

    async def _ask_all(self, key: str) -> list[cancellations_module.Result]:
        return await asyncio.gather(
            *(
                self._ask(link, key)
                for link in self._leaders.leader_links.values()
            )
        )

    async def _ask(
        self, link: links.Link | None, key: str
    ) -> cancellations_module.Result:
        if link is None:
            return _result(self._leaders.cancel_key(key))
        try:
            reply = await link.ask(
                lambda number: messages.StatusQuery(number, key, cancel=True),
                timeout_s=_ANSWER_TIMEOUT_S,
            )
        except errors.PeerError as error:
            log.problem(
                "a leader has not answered a cancel",
                step="cancel",
                peer=error.peer,
                request=key,
                error=str(error),
            )
            return cancellations_module.Result.UNCERTAIN
        match reply:
            case messages.RelayReply(
                outcome=outcomes.Failed(cause=outcomes.Cause.CANCELLED)
            ):
                return cancellations_module.Result.CANCELLED
            case messages.RelayReply(
                outcome=outcomes.NotRun(cause=outcomes.Cause.NOT_FOUND)
            ):
                return cancellations_module.Result.NO_SUCH_JOB
            case _:
                return cancellations_module.Result.UNCERTAIN


def _result(known: bool | None) -> cancellations_module.Result:
    match known:
        case None:
            return cancellations_module.Result.UNCERTAIN
        case True:
            return cancellations_module.Result.CANCELLED
        case False:
            return cancellations_module.Result.NO_SUCH_JOB
