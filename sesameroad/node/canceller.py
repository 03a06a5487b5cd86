"""Cancels jobs at all leaders for callers of any instance."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from sesameroad import errors
from sesameroad.jobs import cancellations as cancellations_module
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.node import keepers as keepers_module
from sesameroad.peering import links
from sesameroad.peering import messages
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import log

# Time for an answer of an instance, and the time for which a cancel is repeated
# while leaders do not answer or change. Callers expect the answer, and the end of
# all runs, within 3 s each.
_ANSWER_TIMEOUT_S = 0.5
_REPEAT_S = 1.5
_REPEAT_PAUSE_S = 0.1
# Least number of instances that know a cancel when it is acknowledged, if there are
# as many. At least one of them is neither a leader nor the one that took it.
_MIN_KEEPERS = 3
_Result = cancellations_module.Result


class Leaders(Protocol):
    """The leaders that are reachable now, and the other instances."""

    @property
    def leader_links(self) -> Mapping[str, links.Link | None]:
        """Link to each leader by its incarnation, None for this instance."""

    @property
    def peer_links(self) -> Mapping[str, links.Link]:
        """Live link to each peer by its instance id."""

    def tell_attempts(self) -> None:
        """Tells other leaders of the jobs here that they should know."""

    def unseen_led(self) -> Sequence[str]:
        """Returns the data centres that a leader may have which is not visible."""

    def cancel_key(self, key: str) -> bool | None:
        """Cancels a job at the leader in this process, and keeps the key.

        Returns:
            Whether it had the job, None if this instance leads nothing.
        """


@dataclasses.dataclass(slots=True)
class _Cancel:
    """A cancel that is being passed on.

    Attributes:
        key: Name of the job that its caller has chosen.
        answers: Answers of leaders, by incarnation.
        asked: Incarnations of peers that were asked to keep it.
        keepers: Incarnations of peers that know it.
    """

    key: str
    answers: dict[str, cancellations_module.Result] = dataclasses.field(
        default_factory=dict
    )
    asked: set[str] = dataclasses.field(default_factory=set)
    keepers: set[str] = dataclasses.field(default_factory=set)


class Canceller:
    """Passes cancels to the leaders, which know all jobs that have started.

    Each attempt of a job is offered to a leader, so a leader that keeps the
    cancelled keys prevents later attempts. It is told by all instances of the
    recent cancels that they know, and starts nothing before
    (`jobs.cancel_reports`), so a cancel holds while any instance that knows it
    lives.
    """

    __slots__ = ("_cancellations", "_clock", "_leaders", "_metrics", "_own_id")

    def __init__(
        self,
        *,
        leaders: Leaders,
        clock: clocks.Clock,
        cancellations: cancellations_module.Cancellations,
        metrics: job_metrics.JobMetrics,
        own_id: str = "",
    ) -> None:
        """Creates a canceller.

        Args:
            leaders: The leaders and the other instances.
            clock: Time source.
            cancellations: All cancelled keys that this instance knows.
            metrics: Counts cancels.
            own_id: Id of this instance.
        """
        self._leaders = leaders
        self._clock = clock
        self._cancellations = cancellations
        self._metrics = metrics
        self._own_id = own_id

    async def cancel(self, key: str) -> cancellations_module.Result:
        """Cancels a job at whatever leader has it.

        Returns:
            Whether a job was cancelled. It is uncertain if a leader that may run
            the job was not reached, or if no other instance knows the cancel.
        """
        began_at = self._clock.monotonic()
        cancel = _Cancel(key)
        while True:
            await self._pass_on(cancel)
            unseen = self._leaders.unseen_led()
            certain = self._is_certain(cancel) and not unseen
            if certain or self._clock.monotonic() - began_at > _REPEAT_S:
                break
            await asyncio.sleep(_REPEAT_PAUSE_S)
        result = _Result.UNCERTAIN
        if certain:
            found = _Result.CANCELLED in cancel.answers.values()
            result = _Result.CANCELLED if found else _Result.NO_SUCH_JOB
        self._metrics.cancelled(result.name.lower())
        report = log.event if certain else log.problem
        report(
            "job cancelled by its caller",
            step="cancel",
            request=key,
            result=result.name.lower(),
            leaders=len(cancel.answers),
            unseen=unseen,
            keepers=len(cancel.keepers) + 1,
            took_ms=int((self._clock.monotonic() - began_at) * 1_000),
        )
        return result

    def tell_leader(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Sends the recent cancels to a leader whose claim was not seen before.

        It starts nothing before it has them. The jobs that the leader here runs go
        ahead on the same stream, so it knows these as well.
        """
        if not heartbeat.own_claims:
            return
        token = max(claim.token for claim in heartbeat.own_claims)
        if token <= link.told_token:
            return
        self._leaders.tell_attempts()
        if self._send_recent(link, token):
            link.told_token = token

    def hand_over(self) -> None:
        """Sends the recent cancels to instances that stay, before a stop.

        The others that know them may stop as well shortly after.
        """
        if not len(self._cancellations):
            return
        staying = [
            link
            for link in self._leaders.peer_links.values()
            if not link.leaving
        ]
        for link in keepers_module.choose(
            self._own_id, staying, count=_MIN_KEEPERS - 1, data_centres=()
        ):
            self._send_recent(link, 0)

    def answer(self, query: messages.StatusQuery) -> messages.RelayReply:
        """Carries out a cancel that a peer has sent, and keeps its key."""
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

    def _send_recent(self, link: links.Link, token: int) -> bool:
        """Sends the recent cancels, also if there are none; returns success."""
        ages_s = self._cancellations.recent(self._clock.monotonic())
        items = list(ages_s.items())
        size = messages.MAX_RECENT_CANCELS
        try:
            for first in range(0, max(1, len(items)), size):
                link.send(
                    messages.RecentCancels(
                        token,
                        dict(items[first : first + size]),
                        complete=first + size >= len(items),
                    )
                )
        except errors.PeerError as error:
            log.problem(
                "recent cancels were not sent",
                step="cancel",
                peer=error.peer,
                token=token,
                error=str(error),
            )
            return False
        log.event(
            "recent cancels sent",
            step="cancel",
            peer=link.hello.instance_id,
            token=token,
            cancels=len(ages_s),
        )
        return True

    async def _pass_on(self, cancel: _Cancel) -> None:
        """Asks the leaders that have not answered, and peers to keep the key."""
        leaders = {
            incarnation: link
            for incarnation, link in self._leaders.leader_links.items()
            if incarnation not in cancel.answers
        }
        known = self._leaders.cancel_key(cancel.key)
        if known is not None:
            leaders.pop("", None)
            # A later round no longer finds what the first one has ended.
            cancel.answers.setdefault("", _result(known))
        keepers = self._further_keepers(cancel)
        cancel.asked |= {link.hello.incarnation for link in keepers}
        await asyncio.gather(
            *(
                self._ask_leader(cancel, incarnation, link)
                for incarnation, link in leaders.items()
                if link is not None
            ),
            *(self._ask_keeper(cancel, link) for link in keepers),
        )

    def _further_keepers(self, cancel: _Cancel) -> list[links.Link]:
        """Returns the peers to ask next to keep a cancel."""
        leaders = self._leaders.leader_links
        live = {
            link.hello.incarnation: link
            for link in self._leaders.peer_links.values()
        }
        others = {
            incarnation
            for incarnation in cancel.keepers
            if incarnation not in leaders
        }
        remote_leaders = len(leaders.keys() & live.keys())
        # This instance is one of them.
        missing = max(1, _MIN_KEEPERS - 1 - remote_leaders) - len(others)
        if missing <= 0:
            return []
        return keepers_module.choose(
            self._own_id,
            [
                link
                for incarnation, link in live.items()
                if incarnation not in leaders
                and incarnation not in cancel.asked
                and not link.leaving
            ],
            count=missing,
            data_centres={
                live[incarnation].hello.data_centre
                for incarnation in (leaders.keys() | others) & live.keys()
            },
        )

    def _is_certain(self, cancel: _Cancel) -> bool:
        """Returns whether all visible leaders have answered and enough keep it."""
        leaders = self._leaders.leader_links
        if not leaders or not leaders.keys() <= cancel.answers.keys():
            return False
        if self._further_keepers(cancel):
            return False
        return bool(cancel.keepers) or all(
            link.leaving for link in self._leaders.peer_links.values()
        )

    async def _ask_leader(
        self, cancel: _Cancel, incarnation: str, link: links.Link
    ) -> None:
        match await self._ask(link, cancel.key):
            case outcomes.Failed(cause=outcomes.Cause.CANCELLED):
                cancel.answers[incarnation] = _Result.CANCELLED
            case outcomes.NotRun(cause=outcomes.Cause.NOT_FOUND):
                cancel.answers[incarnation] = _Result.NO_SUCH_JOB
            case _:
                return
        cancel.keepers.add(incarnation)

    async def _ask_keeper(self, cancel: _Cancel, link: links.Link) -> None:
        incarnation = link.hello.incarnation
        match await self._ask(link, cancel.key):
            case outcomes.Failed(cause=outcomes.Cause.CANCELLED):
                # It has become a leader meanwhile.
                cancel.answers[incarnation] = _Result.CANCELLED
            case outcomes.NotRun(cause=outcomes.Cause.NOT_FOUND):
                cancel.answers[incarnation] = _Result.NO_SUCH_JOB
            case outcomes.NotRun(cause=outcomes.Cause.NOT_STEWARD):
                pass
            case _:
                return
        cancel.keepers.add(incarnation)

    async def _ask(self, link: links.Link, key: str) -> outcomes.Outcome | None:
        """Returns the answer of an instance, None if there was none."""
        try:
            reply = await link.ask(
                lambda number: messages.StatusQuery(number, key, cancel=True),
                timeout_s=_ANSWER_TIMEOUT_S,
            )
        except errors.PeerError as error:
            log.problem(
                "an instance has not answered a cancel",
                step="cancel",
                peer=error.peer,
                request=key,
                error=str(error),
            )
            return None
        match reply:
            case messages.RelayReply(outcome=outcome):
                return outcome
            case _:
                return None


def _result(known: bool) -> cancellations_module.Result:  # noqa: FBT001
    return _Result.CANCELLED if known else _Result.NO_SUCH_JOB
