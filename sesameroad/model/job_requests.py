"""Requests for jobs as callers send them, including unsupported ones."""

import dataclasses

from sesameroad.model import needs


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """A step of a job: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_s: Approximate run time of one task, as the caller declared it.
        after: Indices of earlier steps whose tasks must all be done first.
        gang: Whether the tasks must run at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        required_label: Label that an endpoint must have; empty for no
            requirement.
        preferred_label: Label of the endpoints near the data; empty for no
            preference.
        per_endpoint: Maximum number of tasks of the step on one endpoint; 0 for
            no limit.
    """

    count: int
    need: needs.Need = needs.Need()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    long_running: bool = False
    required_label: str = ""
    preferred_label: str = ""
    per_endpoint: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class JobRequest:
    """A request to run a job, as it arrived.

    Attributes:
        key: Name chosen by the caller, the same in each of its attempts.
        spec: Text that each task receives.
        steps: Steps of the job.
        best_effort: Whether the caller waits for the end of the job, so that it
            need not be stored.
        occurrences: Number of times that the steps run; 0 for once and at once.
        starts_at_ms: Time of the first occurrence, in milliseconds since 1970.
        arrived_at: Time of arrival, on the clock of this process.
        patience_s: Time that the caller waits for the answer.
    """

    key: str
    spec: str
    steps: tuple[Step, ...]
    best_effort: bool
    occurrences: int
    starts_at_ms: int
    arrived_at: float
    patience_s: float
