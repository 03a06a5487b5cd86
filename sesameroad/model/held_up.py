"""Starts without an answer that an endpoint may still carry out."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class HeldUpStart:
    """A start of a task of a job that may still be carried out.

    Attributes:
        index: Index of the task in its job.
        endpoint: Id of the endpoint to which it was sent.
        left_s: Time in seconds until its run has ended, if there is any.
    """

    index: int
    endpoint: str
    left_s: float
