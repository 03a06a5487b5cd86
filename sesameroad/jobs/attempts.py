"""Keeps attempts of a caller at several leaders from running side by side.

A caller without an answer submits its job again after 1.3 s, to any instance.
If the origin of the earlier attempt lives and has not noticed that the caller is
gone, the later one may reach a leader that does not know the earlier one. An origin
may also move its job while the former leader still hears it. So a leader tells the
other leaders of each job whose first attempt is older than a notice age, and again of
each offer after that. Leaders that have a task for different offers hold it back
and ask each other, and the one whose offer is replaced ends its job. A job that ends
sooner causes no message.

The load is one message to each other leader for each job that gets older than the
notice age, and for each later offer of it, and one question each 0.1 s for each job
that is held back.
"""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Protocol

from sesameroad.jobs import active_job
from sesameroad.jobs import job_table
from sesameroad.model import attempts
from sesameroad.model import clocks
from sesameroad.telemetry import log

# Time within which all runs of a job have ended after it was given up: the
# longest lease on a slow clock, as for the runs of a lost origin.
RUNS_END_S = 1.2
# Time within which the next leader has told of an earlier attempt whose leader has
# resigned: its origin looks for the next leader for 1.2 s, and tasks that have not
# started start there at once; the notice follows with the next check, 0.1 s later.
# The rest is for delays on the way and differences between clocks.
RESIGNED_S = 1.5
# Leader, and the tasks of a job there or the instances that wait for it.
_Part = tuple[str, frozenset[int] | frozenset[str]]
# Ratio by which the clocks of two instances may differ in rate, as in
# `peering.peer_clock`.
_MAX_RATE_DIFFERENCE = 0.02


class Peers(Protocol):
    """The other leaders that are reachable now."""

    def sessions(self) -> Mapping[Hashable, str]:
        """Returns the instance ids of other leaders.

        The key changes with the stream and the term of the leader, either of
        which may have lost earlier notices.
        """

    def reaches(self, instance: str) -> bool:
        """Returns whether an instance is reachable, leader or not."""

    def send(self, leader: str, notice: attempts.Notice) -> bool:
        """Sends a notice, which may be lost; returns whether it was queued."""


@dataclasses.dataclass(slots=True)
class _Elsewhere:
    """A job at another leader, as that has told of it.

    Attributes:
        offers: Number of the offer of each instance that waits, 0 if unknown.
        indices: Its tasks, none if unknown.
        ends_by: Time at which all its runs have ended.
    """

    offers: Mapping[str, int]
    indices: frozenset[int]
    ends_by: float

    def overlaps(self, indices: Iterable[int]) -> bool:
        """Returns whether it may have any of some tasks."""
        return not self.indices or not self.indices.isdisjoint(indices)

    def conflicts(self, active: active_job.ActiveJob) -> bool:
        """Returns whether it has a task of a job for another offer.

        If an earlier release does not number its offers, tasks for which the
        same instance waits may have been moved here.
        """
        latest = active.latest
        return self.overlaps(active.job.indices) and any(
            origin != latest.origin.id
            or (offer and latest.offer and offer != latest.offer)
            for origin, offer in self.offers.items()
        )

    def is_left_by_all(self, active: active_job.ActiveJob) -> bool:
        """Returns whether all that wait there have offered the job here since."""
        return all(
            0 < offer < active.offers.get(origin, 0)
            for origin, offer in self.offers.items()
        )


class Attempts:
    """Attempts of other leaders, and the jobs held back for them.

    It is without effect unless both peers and a notice age are given.
    """

    __slots__ = (
        "_clock",
        "_elsewhere",
        "_notice_s",
        "_peers",
        "_started_at",
        "_table",
    )

    def __init__(
        self,
        *,
        table: job_table.JobTable,
        clock: clocks.Clock,
        peers: Peers | None,
        notice_s: float,
    ) -> None:
        """Creates the state of a leader that has no jobs.

        Args:
            table: Jobs of this leader.
            clock: Time source.
            peers: Other leaders, None if there never are any.
            notice_s: Age from which other leaders are told of a job, in
                seconds; 0 for never.
        """
        self._table = table
        self._clock = clock
        self._peers = peers if notice_s > 0 else None
        self._notice_s = notice_s
        self._started_at = clock.monotonic()
        # By key, leader and the tasks, or the instances that wait if the leader
        # does not tell the tasks.
        self._elsewhere: dict[str, dict[_Part, _Elsewhere]] = {}

    def hold(self, active: active_job.ActiveJob) -> bool:
        """Holds a new attempt back if another one runs elsewhere.

        Args:
            active: The job, for which the attempt waits.

        Returns:
            Whether it is held back.
        """
        if self._peers is None:
            return False
        known = self._known(active.job.key)
        leaders = set(self._peers.sessions().values()) if known else set()
        for (leader, _), elsewhere in known:
            if not elsewhere.conflicts(active):
                continue
            if (
                active.moved
                and leader not in leaders
                and elsewhere.is_left_by_all(active)
            ):
                # The job has moved here from a leader that has resigned. It
                # waits for the runs that this one has not told as not started.
                continue
            self._hold_back(active, leader, elsewhere)
        if active.held_back_by:
            self._log_held(active)
            self._ask(active)
        return bool(active.held_back_by)

    def tell(self, active: active_job.ActiveJob) -> None:
        """Tells the other leaders of a job at once if they should know it."""
        now = self._clock.monotonic()
        if self._peers is not None and self._is_due(active, now):
            self._announce(active, self._peers.sessions(), now)

    def tell_all(self) -> None:
        """Tells the other leaders of all jobs that they should know."""
        if self._peers is None:
            return
        now = self._clock.monotonic()
        sessions: Mapping[Hashable, str] | None = None
        for active in self._table:
            if not self._is_due(active, now):
                continue
            if sessions is None:
                sessions = self._peers.sessions()
            self._announce(active, sessions, now)

    def check(self, now: float) -> list[active_job.ActiveJob]:
        """Sends the notices that are due.

        Returns:
            Held jobs that can't end in time, as the leader of another attempt
            can't be asked.
        """
        if self._peers is None:
            return []
        self._remove_expired(now)
        self.tell_all()
        hopeless: list[active_job.ActiveJob] = []
        for active in self._table:
            self._release_moved(active, now)
            active.release_expired(now)
            if not active.held_back_by:
                continue
            job = active.job
            latest = min(job.expires_at, job.deadline_at) - job.estimate_s
            if active.waiting and any(
                until > latest and not self._peers.reaches(leader)
                for leader, until in active.held_back_by.items()
            ):
                hopeless.append(active)
                continue
            self._ask(active)
        return hopeless

    def record_running(self, leader: str, notice: attempts.Running) -> None:
        """Records an attempt of another leader.

        A job that is here already starts no further task until one of the two
        has been ended.
        """
        if self._peers is None:
            return
        now = self._clock.monotonic()
        elsewhere = _Elsewhere(
            notice.offers,
            frozenset(notice.indices),
            _latest(now, notice.ends_within_s),
        )
        part = leader, frozenset(notice.indices or notice.offers)
        self._elsewhere.setdefault(notice.key, {})[part] = elsewhere
        for active in self._table.of_key(notice.key):
            if elsewhere.conflicts(active):
                self._hold_back(active, leader, elsewhere)
                active.started = True
                self._log_held(active)
                self.tell(active)
                self._ask(active)

    def record_ended(self, leader: str, notice: attempts.Ended) -> None:
        """Records that other attempts of tasks have ended at a leader."""
        until = _latest(self._clock.monotonic(), notice.within_s)
        known = self._elsewhere.get(notice.key, {})
        for (name, tasks), elsewhere in list(known.items()):
            if name != leader or (
                notice.origin in elsewhere.offers
                # The leader may go on with tasks for which the same instance
                # waits.
                and not (
                    elsewhere.indices and elsewhere.overlaps(notice.indices)
                )
            ):
                continue
            if notice.within_s > 0:
                elsewhere.ends_by = min(elsewhere.ends_by, until)
            else:
                del known[name, tasks]
        if not known:
            self._elsewhere.pop(notice.key, None)
        asked = set(notice.indices)
        for active in self._table.of_key(notice.key):
            if notice.origin in active.origins and not (
                asked and asked.isdisjoint(active.job.indices)
            ):
                active.release(leader, until)

    def replaced_by(
        self, notice: attempts.Replaced
    ) -> list[active_job.ActiveJob]:
        """Returns the jobs that another attempt replaces.

        Of one origin, the later offer of a task owns it, of different ones the
        later attempt. A part for which the origin waits as well goes on unless
        its tasks run at the other leader. The age arrives late and so makes the
        other attempt seem later: both leaders may end theirs if they are as old
        as each other, but not go on.
        """
        accepted_at = self._clock.monotonic() - notice.age_s
        replaced = []
        for active in self._table.of_key(notice.key):
            latest = active.latest
            shared = not set(notice.indices).isdisjoint(active.job.indices)
            if latest.origin.id == notice.origin and (
                latest.offer and notice.offer
            ):
                is_replaced = shared and latest.offer < notice.offer
            else:
                is_replaced = latest.accepted_at <= accepted_at and (
                    shared or notice.origin not in active.origins
                )
            if is_replaced:
                replaced.append(active)
        return replaced

    def answer(
        self, leader: str, notice: attempts.Replaced, *, left_s: float = 0.0
    ) -> None:
        """Answers that no run of another attempt is left here.

        Runs of a former term of this leader may be left until their lease ends,
        and the origin of the attempt may still offer it to the next leader.

        Args:
            leader: The leader that has asked.
            notice: Its question.
            left_s: Time in seconds for which other leaders may have left runs.
        """
        if self._peers is None:
            return
        started_s = self._clock.monotonic() - self._started_at
        within_s = max(left_s, RESIGNED_S - started_s)
        self._peers.send(leader, _ended(notice, within_s))

    def _known(self, key: str) -> list[tuple[_Part, _Elsewhere]]:
        return list(self._elsewhere.get(key, {}).items())

    def _is_due(self, active: active_job.ActiveJob, now: float) -> bool:
        return active.began_at + self._notice_s <= now

    def _hold_back(
        self, active: active_job.ActiveJob, leader: str, elsewhere: _Elsewhere
    ) -> None:
        now = self._clock.monotonic()
        active.hold_back(leader, elsewhere.ends_by)
        # The other leaders must know a job of several attempts at any age.
        active.began_at = min(active.began_at, now - self._notice_s)
        self._release_moved(active, now)

    def _release_moved(self, active: active_job.ActiveJob, now: float) -> None:
        """Waits only for the leases of a lost leader if all have left it."""
        assert self._peers is not None
        for leader in active.held_back_by:
            if self._peers.reaches(leader):
                continue
            if all(
                elsewhere.is_left_by_all(active)
                for (name, _), elsewhere in self._known(active.job.key)
                if name == leader and elsewhere.conflicts(active)
            ):
                active.release(leader, now + RUNS_END_S)

    def _announce(
        self,
        active: active_job.ActiveJob,
        sessions: Mapping[Hashable, str],
        now: float,
    ) -> None:
        assert self._peers is not None
        if active.told.keys() == sessions.keys():
            return
        notice = attempts.Running(
            active.job.key,
            active.offers,
            now - active.latest.accepted_at,
            max(0.0, active.job.deadline_at - now) + RUNS_END_S,
            active.job.indices,
        )
        active.told = {
            session: leader
            for session, leader in sessions.items()
            if session in active.told or self._peers.send(leader, notice)
        }

    def _ask(self, active: active_job.ActiveJob) -> None:
        assert self._peers is not None
        latest = active.latest
        question = attempts.Replaced(
            active.job.key,
            latest.origin.id,
            self._clock.monotonic() - latest.accepted_at,
            active.job.indices,
            latest.offer,
        )
        for leader in active.held_back_by:
            self._peers.send(leader, question)

    def _remove_expired(self, now: float) -> None:
        for key, known in list(self._elsewhere.items()):
            for part, elsewhere in list(known.items()):
                if now >= elsewhere.ends_by:
                    del known[part]
            if not known:
                del self._elsewhere[key]

    def _log_held(self, active: active_job.ActiveJob) -> None:
        log.event(
            "job held back for an attempt at another leader",
            step="schedule",
            request=active.job.key,
            part=active.job.indices[0],
            home=active.latest.origin.id,
            stewards=sorted(active.held_back_by),
        )


def _latest(now: float, within_s: float) -> float:
    """Returns the time by which a period on a peer's clock has passed."""
    return now + within_s * (1 + _MAX_RATE_DIFFERENCE)


def _ended(notice: attempts.Replaced, within_s: float) -> attempts.Ended:
    return attempts.Ended(notice.key, notice.origin, within_s, notice.indices)


def answer_without_leader(notice: attempts.Notice) -> attempts.Ended | None:
    """Returns the answer of an instance that no longer leads, or None.

    A run that is left there ends with its lease, unless the next leader gets its
    job, which tells the other leaders so itself.
    """
    match notice:
        case attempts.Replaced():
            return _ended(notice, RESIGNED_S)
        case _:
            return None
