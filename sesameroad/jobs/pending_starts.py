"""Starts on their way, as their leader and the instances that it tells know them.

A leader tells the others of a start without an answer when it gives up waiting. If
it is lost before, nobody else would know that the start may still be carried out. So
a leader tells two other instances, the keepers, of each start before it sends it. A
keeper forgets the starts that are settled: answered, or told to all. The starts that it
keeps when it loses the leader count as starts without an answer.
"""

from collections.abc import Callable
from collections.abc import Mapping
import itertools

from sesameroad.leasing import runs
from sesameroad.model import held_up
from sesameroad.model import pending_starts
from sesameroad.telemetry import log

# Bounds the memory for one leader to about a megabyte, more starts than it sends
# in a second.
_MAX_KEPT = 5_000


class PendingStarts:
    """Starts of the leader in this process that are not settled."""

    __slots__ = ("_has_added", "_has_settled", "_last", "_send", "_starts")

    def __init__(self, *, send: Callable[[bool], None] | None = None) -> None:
        """Creates the state of a leader that has sent nothing.

        Args:
            send: Tells the keepers of the starts that are new to them, and, if
                its argument is true, which others are still pending. None if
                there are no keepers.
        """
        self._send = send
        self._starts: dict[runs.Run, pending_starts.PendingStart] = {}
        # Number of the last start.
        self._last = 0
        # Whether there are starts that the keepers have not been told of, and
        # whether others have been settled since they were told.
        self._has_added = False
        self._has_settled = False

    def add(self, run: runs.Run, endpoint: str) -> None:
        """Adds a start that is about to be sent."""
        if self._send is None:
            return
        self._last += 1
        self._starts[run] = pending_starts.PendingStart(
            self._last, run.key, run.index, endpoint
        )
        self._has_added = True

    def settle(self, run: runs.Run) -> None:
        """Removes a start that was answered or told to all, if it is known."""
        if self._starts.pop(run, None) is not None:
            self._has_settled = True

    def tell_added(self) -> None:
        """Tells the keepers of the starts that were added."""
        if self._has_added and self._send is not None:
            self._has_added = False
            self._send(False)  # noqa: FBT003  # The only argument.

    def tell_settled(self) -> None:
        """Tells the keepers which starts are still pending, if it has changed."""
        if self._has_settled and self._send is not None:
            self._has_added = self._has_settled = False
            self._send(True)  # noqa: FBT003

    def notice(self, told: int, *, settled: bool) -> pending_starts.Notice:
        """Returns what a keeper does not know yet.

        Args:
            told: Number of the last start that it was told of.
            settled: Whether to tell which earlier ones are pending.
        """
        starts = tuple(
            itertools.islice(
                (s for s in self._starts.values() if s.number > told),
                pending_starts.MAX_STARTS,
            )
        )
        awaited = None
        if settled:
            awaited = tuple(
                s.number for s in self._starts.values() if s.number <= told
            )
        return pending_starts.Notice(starts, awaited)


class KeptStarts:
    """Starts that other leaders are about to send, by leader."""

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[str, dict[int, pending_starts.PendingStart]] = {}

    @property
    def leaders(self) -> tuple[str, ...]:
        """The leaders of which starts are kept."""
        return tuple(self._starts)

    def receive(self, leader: str, notice: pending_starts.Notice) -> None:
        """Applies what a leader tells."""
        known = self._starts.get(leader, {})
        if notice.awaited is not None:
            known = {n: known[n] for n in notice.awaited if n in known}
        known.update((start.number, start) for start in notice.starts)
        if len(known) > _MAX_KEPT:
            log.problem(
                "too many starts on their way; the oldest are forgotten",
                step="start",
                peer=leader,
                starts=len(known),
            )
            known = dict(list(known.items())[-_MAX_KEPT:])
        if known:
            self._starts[leader] = known
        else:
            self._starts.pop(leader, None)

    def of(
        self, leader: str, *, left_s: float
    ) -> Mapping[str, tuple[held_up.HeldUpStart, ...]]:
        """Returns the starts of a leader by job.

        Args:
            leader: The leader.
            left_s: Time in seconds in which they may have effects from now on.
        """
        starts: dict[str, dict[tuple[int, str], held_up.HeldUpStart]] = {}
        for start in self._starts.get(leader, {}).values():
            name = start.index, start.endpoint
            starts.setdefault(start.key, {})[name] = held_up.HeldUpStart(
                start.index, start.endpoint, left_s
            )
        return {key: tuple(known.values()) for key, known in starts.items()}

    def forget(self, leader: str) -> None:
        """Forgets the starts of a leader."""
        self._starts.pop(leader, None)
