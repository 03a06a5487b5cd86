"""A task that is queued or being sent."""

import dataclasses

from sesameroad.model import needs
from sesameroad.model import work as work_module
from sesameroad.ownership import ledger


@dataclasses.dataclass(slots=True, eq=False)
class PendingTask:
    """One task of a record while it is queued or being sent.

    Attributes:
        record: The record that the task belongs to.
        index: Index of the task in the work.
        enqueued_at: Monotonic time in seconds when it was first queued.
        attempts: Number of sends that may have run the task.
        withdrawn: Whether it must no longer be handed to a connection.
        refusals: Number of sends that an endpoint refused because it was full
            or leaving.
        unreachable: Number of sends that failed before any byte was written.
        tried: Ids of the endpoints where a send failed or was lost.
        may_have_run: Whether any earlier send may have run the task, or a
            hedged send of it is in flight.
        hedge: Whether this is a hedged send: a copy of a task that is still in
            flight to another endpoint.
        queued: Whether it is in the queue now.
        sequence: Position in the order of arrival at the queue.
        started_at: Monotonic time in seconds of its last start.
    """

    record: ledger.Record
    index: int
    enqueued_at: float
    attempts: int = 0
    withdrawn: bool = False
    refusals: int = 0
    unreachable: int = 0
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    hedge: bool = False
    queued: bool = False
    sequence: int = 0
    started_at: float = 0.0

    @property
    def work(self) -> work_module.Work:
        """The request or submission that the task belongs to."""
        return self.record.work

    @property
    def task(self) -> work_module.Task:
        """The task to run."""
        return self.record.work.tasks[self.index]

    @property
    def need(self) -> needs.Need:
        """Resources that the task needs."""
        return self.task.need

    @property
    def id(self) -> str:
        """Id of the task, unique in the fleet."""
        return f"{self.record.work.key}/{self.index}"
