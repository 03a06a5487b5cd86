"""What a leader tells of the starts that it is about to send."""

import dataclasses

# Bounds one message to about 0.3 MB with keys of 16 characters.
MAX_STARTS = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class PendingStart:
    """A start that is about to be sent, or whose answer is not known yet.

    Attributes:
        number: Number at its leader, which rises with each start.
        key: Key of the job of its task.
        index: Index of the task in its job.
        endpoint: Id of the endpoint.
    """

    number: int
    key: str
    index: int
    endpoint: str


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """Pending starts of a leader.

    Attributes:
        starts: Those that the receiver has not been told of.
        awaited: Numbers of those told before that are still pending; all others
            are settled. None if nothing is said of them.
    """

    starts: tuple[PendingStart, ...]
    awaited: tuple[int, ...] | None = None
