"""Bounds on the time for which entries use parts of quotas that others lend.

The fixed shares of all entries add up to the quota. An allocator raises the limit
of one entry above its fixed share only by what it has lowered another entry's
limit below it, so a raised limit is a loan. The invariant: the parts of a quota
that any entry may still use, those of entries that are cut off included, never add
up to more than the quota. It holds without agreement on which entry is the
allocator, as each bound is measured on one clock:

- A borrower starts tasks above its fixed share for `VALID_S` after it sent the
  report that its last allocation answers. The allocator received that report
  later, so it knows an upper bound.
- An allocator counts on a lender for `VALID_S` after it sent the last allocation
  that the lender has confirmed. After that it takes the loan back: it lowers the
  limits of the borrowers, and renews none of them without that.
- A lender returns to its fixed share `LENT_S` after it received its last
  allocation. By then the borrowers' last renewals have expired and the tasks that
  they started have ended. Until then it reports its whole fixed share as held to
  any other allocator, which therefore cannot lend it a second time.

Tasks that run longer than `TASK_S` can exceed a quota after a cut: a running task
is not stopped.
"""

import collections

# Validity of an allocation, and the time for which a lender is counted on.
VALID_S = 1.5
# Time allowed for the tasks that a borrower has started to end. Most tasks run
# for less than a second.
TASK_S = 1.5
# A borrower holds what it was granted until its last renewal has expired and the
# tasks that it started by then have ended.
BORROWED_S = VALID_S + TASK_S
# Time for which a lender stays below its fixed share: the allocator counts on it
# for `VALID_S`, and the borrower may use the loan for `BORROWED_S` more.
LENT_S = VALID_S + BORROWED_S


class SentTimes:
    """Times at which numbered messages were sent, until they are confirmed."""

    __slots__ = ("_times",)

    # Reports are at least 10 ms apart and are confirmed within `VALID_S`.
    _MAX_TIMES = 1_000

    def __init__(self) -> None:
        self._times: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=self._MAX_TIMES
        )

    def record(self, number: int, now: float) -> None:
        """Records that a message was sent; numbers increase."""
        self._times.append((number, now))

    def confirm(self, number: int) -> float | None:
        """Returns when a message was sent, and forgets earlier ones.

        Args:
            number: Number of a message that the receiver has confirmed.

        Returns:
            Monotonic time in seconds, None if the message is not known.
        """
        while self._times and self._times[0][0] < number:
            self._times.popleft()
        if self._times and self._times[0][0] == number:
            return self._times[0][1]
        return None

    def clear(self) -> None:
        """Forgets all messages."""
        self._times.clear()
