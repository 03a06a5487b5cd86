"""Starts without an answer that an instance knows of, whether it leads or not.

The leader that has sent such a start tells all instances as soon as it gives up
waiting for the answer. They keep it until it can no longer be carried out, and
pass it on with each offer of its job and to each new leader. So the leaders that
get the job later know of it, also if the former one has been killed or the job
has been answered meanwhile. A start that is answered causes no message.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools

from sesameroad.model import clocks
from sesameroad.model import held_up
from sesameroad.model import held_up_notices
from sesameroad.telemetry import log

# Ratio by which the clocks of two instances may differ in rate, as in
# `peering.peer_clock`.
_MAX_RATE_DIFFERENCE = 0.02
# Bounds the memory of a fault that leaves all starts without an answer to a few
# megabytes: 800 jobs a second for 12 s.
_MAX_KEYS = 10_000
# Longest time for which a start that another instance tells of is kept, in seconds:
# the 12 s of a late order and a lease, with the allowance for clocks. A wrong or
# hostile notice must not keep a task for longer.
_MAX_LEFT_S = 14.0

_Starts = dict[tuple[int, str], "_KnownStart"]


@dataclasses.dataclass(slots=True)
class _KnownStart:
    """A start that may still be carried out.

    Attributes:
        until: Time at which its run has ended, if there is any.
        own: Whether the present leader in this process has sent it, which then
            knows more of it.
    """

    until: float
    own: bool


class HeldUpNotices:
    """Keeps the starts that may still be carried out, and tells others."""

    __slots__ = ("_clock", "_is_full", "_queued", "_send", "_starts")

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        send: Callable[[held_up_notices.Notice], None] | None = None,
    ) -> None:
        """Creates the state of an instance that knows of no start.

        Args:
            clock: Time source.
            send: Sends a notice to all other instances, None if there are
                none. Notices may be lost.
        """
        self._clock = clock
        self._send = send
        # By key, in the order in which the first start of each was added.
        self._starts: dict[str, _Starts] = {}
        # Own starts that the others have not been told of.
        self._queued: list[tuple[str, int, str]] = []
        self._is_full = False

    def __len__(self) -> int:
        """Returns the number of jobs with such starts."""
        return len(self._starts)

    def begin_term(self) -> None:
        """Records that a new leader in this process has sent none of them."""
        for starts in self._starts.values():
            for start in starts.values():
                start.own = False

    def record(
        self, key: str, start: held_up.HeldUpStart, *, own: bool = True
    ) -> None:
        """Adds a start whose answer is not waited for any more.

        The other instances are told in the next turn of the event loop: a
        leader that was late gives up many starts at once.

        Args:
            key: Key of its job.
            start: The start.
            own: Whether the leader in this process has given it up, and not one
                that was lost.
        """
        self._add(key, start, own=own)
        if self._send is not None:
            if not self._queued:
                asyncio.get_running_loop().call_soon(self.flush)
            self._queued.append((key, start.index, start.endpoint))

    def flush(self) -> None:
        """Tells the other instances of the starts that were added."""
        queued, self._queued = self._queued, []
        if not queued or self._send is None:
            return
        now = self._clock.monotonic()
        told: dict[str, list[held_up.HeldUpStart]] = {}
        for key, index, endpoint in queued:
            known = self._starts.get(key, {}).get((index, endpoint))
            if known is not None and now < known.until:
                told.setdefault(key, []).append(
                    held_up.HeldUpStart(index, endpoint, known.until - now)
                )
        for notice in _notices(told):
            self._send(notice)

    def receive(self, notice: held_up_notices.Notice) -> None:
        """Adds the starts that another instance has told of."""
        for key, starts in notice.starts.items():
            for start in starts:
                left_s = min(
                    start.left_s * (1 + _MAX_RATE_DIFFERENCE), _MAX_LEFT_S
                )
                self._add(
                    key, dataclasses.replace(start, left_s=left_s), own=False
                )

    def of(
        self, key: str, *, foreign: bool = False
    ) -> tuple[held_up.HeldUpStart, ...]:
        """Returns the starts of a job that may still be carried out.

        Args:
            key: Key of the job.
            foreign: Whether to leave out those of the present leader here.
        """
        known = self._starts.get(key)
        if known is None:
            return ()
        now = self._clock.monotonic()
        return tuple(
            held_up.HeldUpStart(index, endpoint, start.until - now)
            for (index, endpoint), start in known.items()
            if now < start.until and not (foreign and start.own)
        )

    def notice_of(self, key: str) -> held_up_notices.Notice | None:
        """Returns what to tell a leader to which a job is offered, or None."""
        starts = self.of(key)
        return held_up_notices.Notice({key: starts}) if starts else None

    def all(self) -> Iterator[held_up_notices.Notice]:
        """Returns what to tell a new leader."""
        starts = {key: self.of(key) for key in self._starts}
        yield from _notices({key: s for key, s in starts.items() if s})

    def _add(self, key: str, start: held_up.HeldUpStart, *, own: bool) -> None:
        now = self._clock.monotonic()
        self._remove_expired(now)
        until = now + start.left_s
        name = start.index, start.endpoint
        starts = self._starts.setdefault(key, {})
        known = starts.get(name)
        if known is None:
            starts[name] = _KnownStart(until, own)
        else:
            known.until = max(known.until, until)
            known.own = known.own or own
        self._bound()

    def _bound(self) -> None:
        if len(self._starts) <= _MAX_KEYS:
            return
        del self._starts[next(iter(self._starts))]
        if not self._is_full:
            self._is_full = True
            log.problem(
                "too many starts without an answer; the oldest are forgotten",
                step="start",
                jobs=_MAX_KEYS,
            )

    def _remove_expired(self, now: float) -> None:
        """Removes expired starts; one that was added late waits for its turn."""
        while self._starts:
            key, starts = next(iter(self._starts.items()))
            if any(now < start.until for start in starts.values()):
                return
            del self._starts[key]
            self._is_full = False


def _notices(
    starts: Mapping[str, Sequence[held_up.HeldUpStart]],
) -> Iterator[held_up_notices.Notice]:
    """Returns starts in notices of bounded size."""
    flat = ((key, start) for key, known in starts.items() for start in known)
    while batch := list(itertools.islice(flat, held_up_notices.MAX_STARTS)):
        by_key: dict[str, list[held_up.HeldUpStart]] = {}
        for key, start in batch:
            by_key.setdefault(key, []).append(start)
        yield held_up_notices.Notice({k: tuple(s) for k, s in by_key.items()})
