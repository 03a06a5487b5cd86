"""Jobs as callers submit them, of any shape."""

import dataclasses

from sesameroad.model import need as needs


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Equal tasks of a job.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_s: Rough run time of one task, as its caller declares it.
        after: Places of earlier steps whose tasks must all be done first.
        gang: Whether the tasks work only together.
        long_running: Whether the tasks run until the job is cancelled.
        required_label: Label that an endpoint must have, empty for any.
        preferred_label: Label of the endpoints near the data, empty for none.
        per_endpoint: Most tasks of the step on one endpoint, 0 for no bound.
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
    """A job as it arrived.

    Attributes:
        key: Name that the caller chose, the same in each of its attempts.
        spec: Text that each task receives.
        steps: Its steps.
        best_effort: Whether its caller waits for its end, so that it need not
            be stored.
        occurrences: How often the steps run; 0 for once, at once.
        starts_at_ms: Time of the first occurrence, in milliseconds since 1970.
        arrived_at: Time of its arrival, on the clock of this process.
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
