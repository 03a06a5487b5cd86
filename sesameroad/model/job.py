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
        indices: Places of the tasks in the job as the caller submitted it; a
            part of a job has some of them.
        need: Resources of one task.
        estimate_s: Rough run time of one task, as its caller declares it.
        priority: Urgency of the queue; 0 comes first.
        max_attempts: Failed runs of a task after which the job fails.
        required_label: Label that an endpoint must have, empty for any.
        preferred_label: Label of the endpoints near the data, empty for none.
        per_endpoint: Most tasks of the job on one endpoint, 0 for no bound.
        objective_at: Time up to which the answer is in time, on the clock of
            this process.
        expires_at: Time after which an answer is too late to be of use.
        deadline_at: Time up to which the caller waits, on the same clock.
        committed: Whether another part of it may have started, so that this
            part cannot be refused without wasting that one.
    """

    key: str
    queue: str
    service: str
    spec: str
    indices: tuple[int, ...]
    need: needs.Need
    estimate_s: float
    priority: int
    max_attempts: int
    required_label: str
    preferred_label: str
    per_endpoint: int
    objective_at: float
    expires_at: float
    deadline_at: float
    committed: bool = False

    @property
    def count(self) -> int:
        """Number of tasks."""
        return len(self.indices)

    @property
    def name(self) -> str:
        """Name of the job, or of this part of it, at its steward."""
        return f"{self.key}/{self.indices[0]}"

    def part(self, indices: tuple[int, ...]) -> "Job":
        """Returns the part of the job that has some of its tasks."""
        return dataclasses.replace(self, indices=indices, committed=True)

    def task(self, index: int) -> str:
        """Returns the name of a task, unique in the fleet."""
        return f"{self.key}.0.0.{index}"

    @property
    def core_seconds(self) -> float:
        """Declared work of all tasks."""
        return self.count * self.need.cores * self.estimate_s
