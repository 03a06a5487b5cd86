"""One start of one task."""

import dataclasses
import enum


class State(enum.Enum):
    """What the steward knows of a run that has not ended.

    STARTING: The order is queued or unanswered.
    RUNNING: The endpoint confirmed it.
    STOPPING: It must end; whether it ever started may be unknown.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One start of one task on one endpoint.

    Attributes:
        task: Name of the task.
        number: Number of the start, from 1.
        key: Job that the task belongs to.
        job: Name under which its steward keeps the job, or the part of it.
        index: Place of the task in its job.
        cores: Processor cores that it takes.
        memory_mb: Memory that it takes.
        accelerators: Accelerators that it takes.
        estimate_s: Declared run time.
        spec: Text that the task receives.
        state: What is known of it.
        confirmed_at: Time of the last answer that showed its state; a report
            requested later must show the run, or the run is gone.
        sent_at: Time at which the start left, 0 before.
        stop_sent: Whether a stop is queued or was answered.
        percent: Progress at the last report.
        progressed_at: Time at which the progress was last seen to change.
    """

    task: str
    number: int
    key: str
    job: str
    index: int
    cores: float
    memory_mb: int
    accelerators: int
    estimate_s: float
    spec: str
    state: State = State.STARTING
    confirmed_at: float = 0.0
    sent_at: float = 0.0
    stop_sent: bool = False
    percent: int = 0
    progressed_at: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class StartOrder:
    """Start a run."""

    run: Run


@dataclasses.dataclass(slots=True, frozen=True)
class StopOrder:
    """Stop a run, by name because it may be of an earlier steward."""

    task: str
    number: int
    run: Run | None = None


Order = StartOrder | StopOrder
