"""Decides how long an endpoint may hold a poll.

Addresses endpoints that leave some polls unanswered. The ends of runs are known
only from polls, so that a lost one hides the ends and the free cores until it
counts as lost.
"""

from collections.abc import Iterable

from sesameroad.leasing import runs as runs_module

# Shortest time, in seconds, so that a run that takes longer than declared does not
# cause polls one after the other.
_MIN_S = 0.06
# Multiple of the expected run time after which the end of a run is overdue.
# Declared run times are off by 40%.
_OVERDUE_RATIO = 1.5


def wait_s(
    runs: Iterable[runs_module.Run],
    *,
    slowness: float,
    now: float,
    longest_s: float,
) -> float:
    """Returns the time by which an end of a run is due, in seconds.

    Args:
        runs: Runs that were sent to the endpoint.
        slowness: Actual over declared run time there.
        now: Current monotonic time.
        longest_s: Longest time for which the endpoint may hold a poll.
    """
    due_s = min(
        (
            run.sent_at + _OVERDUE_RATIO * run.estimate_s * slowness - now
            for run in runs
        ),
        default=longest_s,
    )
    return min(max(_MIN_S, due_s), longest_s)
