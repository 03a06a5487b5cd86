"""Hands work of a data centre without capacity to another one."""

from collections.abc import Callable
import dataclasses
import random

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.ownership import ledger as ledgers
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.routing import feasibility as feasibilities
from sesameroad.telemetry import log

_REPLY_GRACE_S = 1.0
_MAX_TARGETS = 2
_RETRY_S = 1.0
_REFUSAL_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class _NoReply:
    """The message may have left and no reply came."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class _NotSent:
    """The message certainly did not leave."""


class Spill:
    """Delegates whole records to entries of other data centres."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_expected_wait_s",
        "_feasibility",
        "_ledger",
        "_mesh",
        "_refused_at",
        "_wait_limit_s",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        ledger: ledgers.Ledger,
        mesh: meshes.Mesh,
        feasibility: feasibilities.Feasibility,
        expected_wait_s: Callable[[works.Work], float],
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
        self._refused_at: dict[str, float] = {}

    def configure(self, wait_limit_ms: int) -> None:
        """Sets the expected wait over which work is delegated."""
        self._wait_limit_s = wait_limit_ms / 1_000

    def refusal(self, work: works.Work) -> outcomes.NotRun | None:
        """Returns why work that another entry spilled is not taken, or None.

        It never goes on to a third data centre, so that it cannot circle.
        """
        if not self._fits(work, self._data_centre):
            return _missing(work)
        if self._is_busy(work):
            return outcomes.NotRun(
                outcomes.Cause.OVERLOAD,
                f"{self._data_centre} is busy as well",
                _RETRY_S,
            )
        return None

    def wanted(self, work: works.Work) -> bool:
        """Returns whether work should not wait for this data centre."""
        if not self._fits(work, self._data_centre):
            return True
        return self._is_busy(work) and bool(self._targets(work))

    async def place(self, record: ledgers.Record) -> outcomes.Outcome | None:
        """Delegates untouched work that should not wait here.

        The starts of all tasks are taken before the message is sent and given
        back only when nothing ran, so the ledger keeps this entry from starting
        delegated work.

        Returns:
            The outcome, or None if the work is to be queued here.
        """
        work = record.work
        fits_here = self._fits(work, self._data_centre)
        may_have_run = False
        for link in self._targets(work):
            match await self._delegate(link, record):
                case _NotSent():
                    self._give_back(record, may_have_run)
                case outcomes.NotRun():
                    self._give_back(record, may_have_run)
                    self._refused_at[link.hello.data_centre] = (
                        self._clock.monotonic()
                    )
                case _NoReply(detail=detail) if work.idempotent:
                    may_have_run = True
                    log.problem(
                        "spilled request got no reply; it is placed again",
                        step="spill",
                        peer=link.hello.instance_id,
                        error=detail,
                    )
                case _NoReply(detail=detail):
                    return _lost(work, detail)
                case outcomes.Unknown() as outcome:
                    # The other entry keeps no record that could answer later.
                    return dataclasses.replace(outcome, ask_again_at_ms=None)
                case outcome:
                    return outcome
            if record.finished:
                return record.done.result()
        if fits_here:
            return None
        if may_have_run:
            return _lost(work, "no data centre has answered")
        return _missing(work)

    async def _delegate(
        self, link: links.Link, record: ledgers.Record
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
                lambda number: messages.RelayRequest(
                    number,
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
                return _NoReply("the reply is of another type")

    def _give_back(self, record: ledgers.Record, may_have_run: bool) -> None:
        if may_have_run:
            return
        for index in range(len(record.work.tasks)):
            self._ledger.return_start(record, index)

    def _targets(self, work: works.Work) -> list[links.Link]:
        fitting = [
            link
            for link in self._mesh.peers.values()
            if link.hello.data_centre != self._data_centre
            and self._fits(work, link.hello.data_centre)
            and self._is_willing(link.hello.data_centre)
        ]
        return random.sample(fitting, min(_MAX_TARGETS, len(fitting)))

    def _is_willing(self, data_centre: str) -> bool:
        """Whether a data centre has not just refused work.

        In a flood of the whole fleet every try would be a wasted message.
        """
        refused_at = self._refused_at.get(data_centre)
        if refused_at is None:
            return True
        return self._clock.monotonic() - refused_at > _REFUSAL_PAUSE_S

    def _fits(self, work: works.Work, data_centre: str) -> bool:
        wanted = {task.need for task in work.tasks}
        return self._feasibility.fits(data_centre, work.kind, wanted)

    def _is_busy(self, work: works.Work) -> bool:
        return self._expected_wait_s(work) > self._wait_limit_s


def _missing(work: works.Work) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Cause.ENDPOINT_MISSING,
        f"no live endpoint can run this work of kind {work.kind!r}",
        _RETRY_S,
    )


def _lost(work: works.Work, detail: str) -> outcomes.Outcome:
    match work:
        case works.Request(idempotent=False):
            return outcomes.Unknown(outcomes.Cause.HOME_LOST, detail)
        case _:
            return outcomes.Failed(
                outcomes.Cause.HOME_LOST, detail, may_have_run=True
            )
