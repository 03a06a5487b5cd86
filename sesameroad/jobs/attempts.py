"""Keeps a later attempt of a caller from starting beside an earlier one.

A caller without an answer submits its job again after 1.3 s, to any instance.
If the origin of the earlier attempt lives and has not noticed that the caller is
gone, the later one may reach a leader that does not know the earlier one. So a
leader tells the other leaders of each job that is older than a notice age, and
a leader that gets such a job from another origin holds it back until the earlier
attempt has ended. A job that ends sooner causes no message.

The load is one message to each other leader for each job that gets older than the
notice age, and one question each 0.1 s for each job that is held back.
"""

from collections.abc import Hashable
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
_RESIGNED_S = 1.5
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

    def send(self, leader: str, notice: attempts.Notice) -> None:
        """Sends a notice, which may be lost."""


@dataclasses.dataclass(slots=True)
class _Earlier:
    """Attempts that another leader has told of.

    Attributes:
        began_at: Time at which the latest of them was accepted.
        ends_by: Time at which all their runs have ended.
    """

    began_at: float
    ends_by: float


class Attempts:
    """Attempts of other leaders, and the jobs held back for them.

    It is without effect unless both peers and a notice age are given.
    """

    __slots__ = (
        "_clock",
        "_earlier",
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
        # By key, leader and the instances that wait.
        self._earlier: dict[str, dict[tuple[str, frozenset[str]], _Earlier]] = (
            {}
        )

    def hold(self, active: active_job.ActiveJob, origin: str) -> bool:
        """Holds a new job back if an earlier attempt runs elsewhere.

        Args:
            active: The job.
            origin: Instance that waits for it.

        Returns:
            Whether it is held back.
        """
        known = self._earlier.get(active.job.key)
        if not known or self._peers is None:
            return False
        for (leader, origins), earlier in known.items():
            # If both origins wait there, its tasks may have been moved here.
            if origins - {origin}:
                active.hold_back(leader, earlier.ends_by)
        if active.held_back_by:
            self._log_held(active, origin)
            self._ask(active, origin)
        return bool(active.held_back_by)

    def check(self, now: float) -> list[active_job.ActiveJob]:
        """Sends the notices that are due.

        Returns:
            Held jobs that can't end in time, as the leader of the earlier
            attempt can't be asked.
        """
        if self._peers is None:
            return []
        self._remove_expired(now)
        hopeless: list[active_job.ActiveJob] = []
        sessions: Mapping[Hashable, str] | None = None
        for active in self._table:
            if active.began_at + self._notice_s > now:
                continue
            if sessions is None:
                sessions = self._peers.sessions()
            self._announce(active, sessions, now)
        for active in self._table:
            active.release_expired(now)
            if not active.held_back_by:
                continue
            job = active.job
            latest = min(job.expires_at, job.deadline_at) - job.estimate_s
            if any(
                until > latest and not self._peers.reaches(leader)
                for leader, until in active.held_back_by.items()
            ):
                hopeless.append(active)
                continue
            for origin in active.live_origins:
                self._ask(active, origin)
        return hopeless

    def record_running(self, leader: str, notice: attempts.Running) -> None:
        """Records an attempt of another leader.

        A later attempt that is here already, because the notice was late, starts
        no further task for now.
        """
        if self._peers is None:
            return
        now = self._clock.monotonic()
        earlier = _Earlier(
            now - notice.age_s, _latest(now, notice.ends_within_s)
        )
        known = self._earlier.setdefault(notice.key, {})
        known[leader, notice.origins] = earlier
        for active in self._table.of_key(notice.key):
            if (
                any(notice.origins - {origin} for origin in active.origins)
                and earlier.began_at < active.began_at
            ):
                active.hold_back(leader, earlier.ends_by)
                active.started = True
                for origin in active.origins:
                    self._log_held(active, origin)
                    self._ask(active, origin)

    def record_ended(self, leader: str, notice: attempts.Ended) -> None:
        """Records that the attempts of other origins have ended at a leader."""
        until = _latest(self._clock.monotonic(), notice.within_s)
        known = self._earlier.get(notice.key, {})
        for (name, origins), earlier in list(known.items()):
            if name != leader or notice.origin in origins:
                continue
            if notice.within_s > 0:
                earlier.ends_by = min(earlier.ends_by, until)
            else:
                del known[name, origins]
        if not known:
            self._earlier.pop(notice.key, None)
        for active in self._table.of_key(notice.key):
            if notice.origin in active.origins:
                active.release(leader, until)

    def replaced_by(
        self, notice: attempts.Replaced
    ) -> list[active_job.ActiveJob]:
        """Returns the jobs that a later attempt of another origin replaces.

        A part for which that origin waits as well goes on unless its tasks run
        at the other leader.
        """
        began_at = self._clock.monotonic() - notice.age_s
        return [
            active
            for active in self._table.of_key(notice.key)
            if active.began_at < began_at
            and (
                notice.origin not in active.origins
                or not set(notice.indices).isdisjoint(active.job.indices)
            )
        ]

    def answer(self, leader: str, notice: attempts.Replaced) -> None:
        """Answers that no run of an earlier attempt is left here.

        Runs of a former term of this leader may be left until their lease ends,
        and the origin of the attempt may still offer it to the next leader.
        """
        if self._peers is None:
            return
        started_s = self._clock.monotonic() - self._started_at
        within_s = max(0.0, _RESIGNED_S - started_s)
        self._peers.send(
            leader, attempts.Ended(notice.key, notice.origin, within_s)
        )

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
            frozenset(active.origins),
            now - active.began_at,
            max(0.0, active.job.deadline_at - now) + RUNS_END_S,
        )
        for session, leader in sessions.items():
            if session not in active.told:
                self._peers.send(leader, notice)
        active.told = dict(sessions)

    def _ask(self, active: active_job.ActiveJob, origin: str) -> None:
        assert self._peers is not None
        age_s = self._clock.monotonic() - active.began_at
        for leader in active.held_back_by:
            self._peers.send(
                leader,
                attempts.Replaced(
                    active.job.key, origin, age_s, active.job.indices
                ),
            )

    def _remove_expired(self, now: float) -> None:
        for key, known in list(self._earlier.items()):
            for name, earlier in list(known.items()):
                if now >= earlier.ends_by:
                    del known[name]
            if not known:
                del self._earlier[key]

    def _log_held(self, active: active_job.ActiveJob, origin: str) -> None:
        log.event(
            "attempt held back for an earlier one at another leader",
            step="schedule",
            request=active.job.key,
            part=active.job.indices[0],
            home=origin,
            stewards=sorted(active.held_back_by),
        )


def _latest(now: float, within_s: float) -> float:
    """Returns the time by which a period on a peer's clock has passed."""
    return now + within_s * (1 + _MAX_RATE_DIFFERENCE)


def answer_without_leader(notice: attempts.Notice) -> attempts.Ended | None:
    """Returns the answer of an instance that no longer leads, or None.

    A run that is left there ends with its lease, unless the next leader gets its
    job, which tells the other leaders so itself.
    """
    match notice:
        case attempts.Replaced():
            return attempts.Ended(notice.key, notice.origin, _RESIGNED_S)
        case _:
            return None
