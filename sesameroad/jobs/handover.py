"""What a leader that ends tells the origins of its jobs for the next leader."""

from collections.abc import Iterable

from sesameroad.jobs import active_job
from sesameroad.jobs import ending
from sesameroad.jobs import held_up_starts as held_up_starts_module
from sesameroad.jobs import job_table
from sesameroad.leasing import leased_endpoint
from sesameroad.model import outcomes


def outcome(
    active: active_job.ActiveJob,
    *,
    table: job_table.JobTable,
    pool: Iterable[leased_endpoint.LeasedEndpoint],
    held_up_starts: held_up_starts_module.HeldUpStarts,
) -> outcomes.Outcome:
    """Returns the outcome of an unfinished job at the end of its leader.

    A job without a start of its own may still have runs: of an attempt that it has
    replaced, or of a former leader, which the origin that joined it may not know.
    """
    unstarted = _unstarted(
        active, table=table, pool=pool, held_up_starts=held_up_starts
    )
    if not active.started and unstarted == active.job.indices:
        return ending.not_leader()
    return outcomes.Unknown(
        outcomes.Cause.STEWARD_LOST,
        "the leader has changed",
        unstarted=unstarted,
        succeeded=tuple(sorted(active.succeeded)),
    )


def _unstarted(
    active: active_job.ActiveJob,
    *,
    table: job_table.JobTable,
    pool: Iterable[leased_endpoint.LeasedEndpoint],
    held_up_starts: held_up_starts_module.HeldUpStarts,
) -> tuple[int, ...]:
    """Returns the tasks of a job that no leader and no attempt started.

    A run of the job itself that counts here has not been sent.
    """
    orphans = {task for leased in pool for task in leased.orphans}
    unstarted = []
    for index in active.unstarted:
        task = active.job.task(index)
        former = index not in active.runs and table.has_run(task)
        if not (former or task in orphans or held_up_starts.blocks(task)):
            unstarted.append(index)
    return tuple(unstarted)
