"""Runs of tasks and the orders to start and stop them."""

import dataclasses
import enum
import math

# Time for which an order without an answer may be held up on its way. On the
# platform, orders were carried out up to 12 s late.
HELD_UP_S = 12.0


class State(enum.Enum):
    """State of a run that has not ended, as known to the leader.

    STARTING: The start order is queued or not answered yet.
    RUNNING: The endpoint has confirmed the start.
    STOPPING: The run is to be stopped; it may or may not have started.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One start of one task on one endpoint.

    Attributes:
        task: Name of the task.
        number: Number of the run of this task, from 1.
        key: Key of the job that the task belongs to.
        job: Name of the job, or of the part of it, at the leader.
        index: Index of the task in its job.
        cores: Processor cores that it uses.
        memory_mb: Memory that it uses.
        accelerators: Accelerators that it uses.
        estimate_s: Declared run time.
        spec: Text that the task receives.
        state: State as known to the leader.
        confirmed_at: Time of the last answer that showed its state; a report
            requested later must show the run, or the run is gone.
        sent_at: Time at which the start was sent, 0 before.
        token: Fencing token of the start.
        held_up_until: Time until which the start may be carried out late, 0 if
            it was accepted or listed.
        born_ms: Start time of the endpoint in the description by which the run
            was placed there.
        url: Address to which the start was sent, "" if it is not known.
        end_by: Time by which it must have ended, once its job is finished. It
            limits the lease of its endpoint.
        stop_sent: Whether a stop is queued or was answered.
        percent: Progress in the last report.
        progressed_at: Time at which the progress last changed.
        queue: Queue of its job.
        alongside: Time in seconds for which runs of each queue that have ended
            were on its endpoint; kept only for the detection of interference.
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
    token: int = 0
    held_up_until: float = 0.0
    born_ms: int = 0
    url: str = ""
    end_by: float = math.inf
    stop_sent: bool = False
    percent: int = 0
    progressed_at: float = 0.0
    queue: str = ""
    alongside: dict[str, float] | None = None

    def is_gone(self, *, asked_at: float, token: int) -> bool:
        """Returns whether a report that does not list the run shows its end.

        Args:
            asked_at: Time at which the report was requested.
            token: Fencing token of the request. The endpoint refuses a start
                with a lower one that arrives after it.
        """
        if not self.sent_at:
            return False
        confirmed = 0 < self.confirmed_at < asked_at
        return confirmed or self.token < token


@dataclasses.dataclass(slots=True, frozen=True)
class StartOrder:
    """An order to start a run."""

    run: Run


@dataclasses.dataclass(slots=True, frozen=True)
class StopOrder:
    """An order to stop a run.

    Identifies the run by name because an earlier leader may have started it.
    """

    task: str
    number: int
    run: Run | None = None
