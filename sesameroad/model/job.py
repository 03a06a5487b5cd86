"""Jobs of equal tasks that are answered when they end and stored nowhere."""

import dataclasses

from sesameroad.model import need as needs


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """A job whose caller waits for its end and sends it again if none comes.

    Attributes:
        key: Name that the caller chose, the same in each of its attempts.
        queue: Name of the queue.
        service: Endpoints of this service may run the tasks.
        spec: Text that each task receives.
        count: Number of tasks.
        need: Resources of one task.
        estimate_s: Rough run time of one task, as its caller declares it.
        priority: Urgency of the queue; 0 comes first.
        max_attempts: Failed runs of a task after which the job fails.
        required_label: Label that an endpoint must have, empty for any.
        preferred_label: Label of the endpoints near the data, empty for none.
        per_endpoint: Most tasks of the job on one endpoint, 0 for no bound.
        objective_at: Time up to which the answer is in time, on the clock of
            this process.
        deadline_at: Time up to which the caller waits, on the same clock.
    """

    key: str
    queue: str
    service: str
    spec: str
    count: int
    need: needs.Need
    estimate_s: float
    priority: int
    max_attempts: int
    required_label: str
    preferred_label: str
    per_endpoint: int
    objective_at: float
    deadline_at: float

    def task(self, index: int) -> str:
        """Returns the name of a task, unique in the fleet."""
        return f"{self.key}.0.0.{index}"

    @property
    def core_seconds(self) -> float:
        """Declared work of all tasks."""
        return self.count * self.need.cores * self.estimate_s
