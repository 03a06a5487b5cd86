"""Delegates work that lacks capacity here to another data centre."""

from collections.abc import Callable
import dataclasses
import random

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from sesameroad.routing import feasibility as feasibility_module
from sesameroad.telemetry import log

_REPLY_GRACE_S = 1.0
_MAX_TARGETS = 2
_RETRY_S = 1.0
_PAUSE_AFTER_REFUSAL_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class _NoReply:
    """No reply was received, but the message may have been sent."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class _NotSent:
    """The message was certainly not sent."""


class Spill:
    """Delegates whole requests and submissions to other data centres."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_expected_wait_s",
        "_feasibility",
        "_ledger",
        "_mesh",
        "_last_refusal",
        "_wait_limit_s",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        ledger: ledger_module.Ledger,
        mesh: mesh_module.Mesh,
        feasibility: feasibility_module.Feasibility,
        expected_wait_s: Callable[[work_module.Work], float],
        clock: clocks.Clock,
        wait_limit_s: float,
    ) -> None:
        self._data_centre = data_centre
        self._ledger = ledger
        self._mesh = mesh
        self._feasibility = feasibility
        self._expected_wait_s = expected_wait_s
        self._clock = clock
        self._wait_limit_s = wait_limit_s
        self._last_refusal: dict[str, float] = {}

    def configure(self, wait_limit_ms: int) -> None:
        """Sets the expected wait over which work is delegated."""
        self._wait_limit_s = wait_limit_ms / 1_000

    def refusal(self, work: work_module.Work) -> outcomes.NotRun | None:
        """Returns why work from another data centre is refused, or None.

        Such work is never delegated again, so that it cannot circulate among
        data centres.
        """
        if not self._fits(work, self._data_centre):
            return _no_endpoint(work)
        if self._is_busy(work):
            return outcomes.NotRun(
                outcomes.Cause.OVERLOAD,
                f"{self._data_centre} has no free capacity either",
                _RETRY_S,
            )
        return None

    def should_delegate(self, work: work_module.Work) -> bool:
        """Returns whether to delegate work instead of queueing it here."""
        if not self._fits(work, self._data_centre):
            return True
        return self._is_busy(work) and bool(self._choose_targets(work))

    async def delegate(
        self, record: ledger_module.Record
    ) -> outcomes.Outcome | None:
        """Delegates work of which no task has been started.

        The ledger records a start of every task before the message is sent, and
        the starts are returned only if nothing ran elsewhere. Meanwhile the
        ledger refuses starts of these tasks by this entry.

        Returns:
            The outcome, or None if the work is to be queued here.
        """
        work = record.work
        fits_here = self._fits(work, self._data_centre)
        may_have_run = False
        for link in self._choose_targets(work):
            match await self._ask_peer(link, record):
                case _NotSent():
                    self._return_starts(record, may_have_run)
                case outcomes.NotRun():
                    self._return_starts(record, may_have_run)
                    self._last_refusal[link.hello.data_centre] = (
                        self._clock.monotonic()
                    )
                case _NoReply(detail=detail) if work.idempotent:
                    may_have_run = True
                    log.problem(
                        "no reply to a spilled request; trying it again",
                        step="spill",
                        peer=link.hello.instance_id,
                        error=detail,
                    )
                case _NoReply(detail=detail):
                    return _no_reply_outcome(work, detail)
                case outcomes.Unknown() as outcome:
                    # The other entry keeps no record of the work, so asking
                    # again later would not help.
                    return dataclasses.replace(outcome, ask_again_at_ms=None)
                case outcome:
                    return outcome
            if record.finished:
                return record.done.result()
        if fits_here:
            return None
        if may_have_run:
            return _no_reply_outcome(work, "no other data centre has answered")
        return _no_endpoint(work)

    async def _ask_peer(
        self, link: links.Link, record: ledger_module.Record
    ) -> outcomes.Outcome | _NoReply | _NotSent:
        work = record.work
        try:
            for index in range(len(work.tasks)):
                self._ledger.start(record, index)
        except errors.StartRefusedError as error:
            return outcomes.NotRun(outcomes.Cause.DEADLINE, str(error))
        remaining_s = (work.deadline_ms - self._clock.wall_ms()) / 1_000
        if remaining_s <= 0:
            return _NotSent()
        try:
            reply = await link.ask(
                lambda message_id: messages.RelayRequest(
                    message_id,
                    messages.Purpose.SPILL,
                    work,
                    record.digest,
                    record.expiry_ms,
                ),
                timeout_s=remaining_s + _REPLY_GRACE_S,
            )
        except errors.PeerNotSentError:
            return _NotSent()
        except errors.PeerError as error:
            return _NoReply(str(error))
        match reply:
            case messages.RelayReply(outcome=outcome):
                return outcome
            case _:
                return _NoReply("the reply has an unexpected type")

    def _return_starts(
        self, record: ledger_module.Record, may_have_run: bool
    ) -> None:
        if may_have_run:
            return
        for index in range(len(record.work.tasks)):
            self._ledger.return_start(record, index)

    def _choose_targets(self, work: work_module.Work) -> list[links.Link]:
        candidates = [
            link
            for link in self._mesh.peers.values()
            if link.hello.data_centre != self._data_centre
            and self._fits(work, link.hello.data_centre)
            and self._accepts_spills(link.hello.data_centre)
        ]
        return random.sample(candidates, min(_MAX_TARGETS, len(candidates)))

    def _accepts_spills(self, data_centre: str) -> bool:
        """Returns whether a data centre has not refused work recently.

        When the whole fleet is overloaded, asking again at once would only add
        messages.
        """
        last_refusal = self._last_refusal.get(data_centre)
        if last_refusal is None:
            return True
        return self._clock.monotonic() - last_refusal > _PAUSE_AFTER_REFUSAL_S

    def _fits(self, work: work_module.Work, data_centre: str) -> bool:
        needs = {task.need for task in work.tasks}
        return self._feasibility.can_run(data_centre, work.kind, needs)

    def _is_busy(self, work: work_module.Work) -> bool:
        return self._expected_wait_s(work) > self._wait_limit_s


def _no_endpoint(work: work_module.Work) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Cause.ENDPOINT_MISSING,
        f"no live endpoint can run this work of kind {work.kind!r}",
        _RETRY_S,
    )


def _no_reply_outcome(work: work_module.Work, detail: str) -> outcomes.Outcome:
    match work:
        case work_module.Request(idempotent=False):
            return outcomes.Unknown(outcomes.Cause.HOME_LOST, detail)
        case _:
            return outcomes.Failed(
                outcomes.Cause.HOME_LOST, detail, may_have_run=True
            )
