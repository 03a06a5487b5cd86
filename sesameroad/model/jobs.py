"""Jobs of identical tasks, answered when they end and never stored."""

import dataclasses

from sesameroad.model import needs


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """A job whose caller waits for its end and resubmits it without an answer.

    Attributes:
        key: Name chosen by the caller, the same in each of its attempts.
        queue: Name of the queue.
        service: Service whose endpoints may run the tasks.
        spec: Text that each task receives.
        indices: Indices of the tasks in the job that the caller submitted; a
            part of a job has some of them.
        need: Resources of one task.
        estimate_s: Approximate run time of one task, as the caller declared it.
        priority: Priority of the queue; 0 is the highest.
        max_attempts: Failed runs of a task after which the job fails.
        required_label: Label that an endpoint must have; empty for no
            requirement.
        preferred_label: Label of the endpoints near the data; empty for no
            preference.
        per_endpoint: Maximum number of tasks of the job on one endpoint; 0 for
            no limit.
        objective_at: Latest time at which the answer meets its objective, on
            the clock of this process.
        expires_at: Time after which the answer is of no use, on the same clock.
        deadline_at: Time until which the caller waits, on the same clock.
        committed: Whether another part of the job may have started, so that
            refusing this part would waste the work of that one.
        accepted_at: Time at which its origin accepted it, on the same clock; 0
            if unknown.
        unstarted: Indices of the tasks that no leader has sent to an endpoint,
            if the job has moved from an earlier leader that has told; none if
            unknown.
        succeeded: Indices of the tasks whose success an earlier leader has told.
        offer: Number of the offer to a leader, higher than those of all earlier
            offers of its origin; 0 if unknown.
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
    accepted_at: float = 0.0
    unstarted: tuple[int, ...] = ()
    succeeded: tuple[int, ...] = ()
    offer: int = 0

    @property
    def count(self) -> int:
        """Number of tasks."""
        return len(self.indices)

    @property
    def name(self) -> str:
        """Name of the job, or of this part of it, at its leader."""
        return f"{self.key}/{self.indices[0]}"

    def part(self, indices: tuple[int, ...]) -> "Job":
        """Returns a part of the job with the given tasks."""
        return dataclasses.replace(self, indices=indices, committed=True)

    def task(self, index: int) -> str:
        """Returns the name of a task, unique in the fleet."""
        return f"{self.key}.0.0.{index}"

    @property
    def core_seconds(self) -> float:
        """Declared core-seconds of all tasks together."""
        return self.count * self.need.cores * self.estimate_s
