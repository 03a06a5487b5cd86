"""A task that waits for a slot."""

import dataclasses

from sesameroad.model import need as needs
from sesameroad.model import work as works
from sesameroad.ownership import ledger


@dataclasses.dataclass(slots=True, eq=False)
class PendingTask:
    """One task of a record, queued or being sent.

    Attributes:
        record: The record that the task belongs to.
        index: Place of the task in the work.
        enqueued_at: Monotonic seconds when it was first queued.
        attempts: Sends that may have run.
        withdrawn: Whether it must not be handed to a connection any more.
        refusals: Sends that an endpoint refused because it was full or leaving.
        unreachable: Sends of which no byte left.
        tried: Endpoints where a send failed or was lost.
        may_have_run: Whether any send so far may have run, or a hedge is out.
        hedge: Whether it repeats a task that is still being run elsewhere.
        queued: Whether it waits in the queue now.
        sequence: Place in the order of arrival at the queue.
        began_at: Monotonic seconds of its last start.
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
    began_at: float = 0.0

    @property
    def work(self) -> works.Work:
        """The request or submission that the task belongs to."""
        return self.record.work

    @property
    def task(self) -> works.Task:
        """The task to run."""
        return self.record.work.tasks[self.index]

    @property
    def need(self) -> needs.Need:
        """Resources that the task needs."""
        return self.task.need

    @property
    def id(self) -> str:
        """Name of the task in the whole fleet."""
        return f"{self.record.work.key}/{self.index}"
