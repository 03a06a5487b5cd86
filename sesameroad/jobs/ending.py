"""Outcomes of jobs at the leader, and the log line at the end of a job."""

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import runs
from sesameroad.model import outcomes
from sesameroad.telemetry import log

# Retry delay given to the callers of abandoned jobs: bursts last for seconds.
_RETRY_AFTER_S = 1.0


def replaced() -> outcomes.Unknown:
    """Returns the outcome of an attempt that is superseded by a later one."""
    return outcomes.Unknown(
        outcomes.Cause.CANCELLED, "replaced by a later attempt"
    )


def cancelled() -> outcomes.Failed:
    """Returns the outcome of a job that its caller has cancelled."""
    return outcomes.Failed(
        outcomes.Cause.CANCELLED, "cancelled by its caller", may_have_run=True
    )


def not_leader() -> outcomes.NotRun:
    """Returns the refusal of an instance that is not the leader."""
    return outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "no leader here")


def held_up() -> outcomes.Unknown:
    """Returns the outcome of a job that a start without an answer holds up."""
    return outcomes.Unknown(
        outcomes.Cause.ENDPOINT_LOST,
        "a start without an answer may still be carried out",
    )


def unaccounted() -> outcomes.Unknown:
    """Returns the outcome of a job of which a task was lost track of."""
    return outcomes.Unknown(
        outcomes.Cause.ENDPOINT_LOST, "the leader has lost track of a task"
    )


def held_back() -> outcomes.Unknown:
    """Returns the outcome of a job that an earlier attempt blocks."""
    return outcomes.Unknown(
        outcomes.Cause.HOME_UNREACHABLE,
        "an earlier attempt may still run at a leader that can't be reached",
    )


def abandoned(
    active: active_job.ActiveJob, cause: outcomes.Cause, detail: str
) -> outcomes.Outcome:
    """Returns the outcome of a job that is abandoned."""
    if active.started or active.moved:
        return outcomes.Unknown(cause, detail)
    return outcomes.NotRun(cause, detail, _RETRY_AFTER_S)


def describe_run(
    active: active_job.ActiveJob,
    leased: leased_endpoint.LeasedEndpoint,
    run: runs.Run,
    reason: str,
    now: float,
) -> str:
    """Formats a run for the log: task, endpoint, start, end and result."""
    begin_ms = int((run.sent_at - active.arrived_at) * 1_000)
    end_ms = int((now - active.arrived_at) * 1_000)
    sent = f"{begin_ms}" if run.sent_at else "-"
    return (
        f"{run.index}#{run.number}@{leased.endpoint.id}"
        f" {sent}..{end_ms} ms {reason}"
    )


def log_end(
    active: active_job.ActiveJob,
    outcome: outcomes.Outcome,
    *,
    now: float,
    waiting_jobs: int,
    token: int,
) -> None:
    """Logs the end of a job with all of its runs.

    Args:
        active: The job.
        outcome: Its outcome.
        now: Current monotonic time.
        waiting_jobs: Number of jobs with waiting tasks at the leader.
        token: Fencing token of the leader.
    """
    match outcome:
        case outcomes.Complete():
            cause = ""
        case _:
            cause = f"{outcome.cause.value}: {outcome.detail}"
    log.event(
        "job ended",
        step="schedule",
        request=active.job.key,
        queue=active.job.queue,
        outcome=outcomes.label(outcome),
        cause=cause,
        tasks=active.job.count,
        done=active.done,
        sends=active.sends,
        part=active.job.indices[0],
        moved=active.moved,
        homes=active.origins,
        runs=active.history,
        waiting_jobs=waiting_jobs,
        token=token,
        first_send_ms=int(
            ((active.first_sent_at or now) - active.arrived_at) * 1_000
        ),
        took_ms=int((now - active.arrived_at) * 1_000),
    )
