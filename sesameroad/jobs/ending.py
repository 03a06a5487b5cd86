"""Outcomes of jobs at their steward, and the log lines of their ends."""

from sesameroad.jobs import active_job
from sesameroad.leasing import leased_endpoint
from sesameroad.leasing import run as runs
from sesameroad.model import outcome as outcomes
from sesameroad.telemetry import log

# Time after which a job that was given up is worth another try: a burst lasts
# for seconds.
_RETRY_AFTER_S = 1.0


def replaced() -> outcomes.Unknown:
    """Returns the outcome of an attempt that a later one replaces."""
    return outcomes.Unknown(
        outcomes.Cause.CANCELLED, "replaced by a later attempt"
    )


def not_leader() -> outcomes.NotRun:
    """Returns the refusal of a job that belongs to another steward."""
    return outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "no steward here")


def given_up(
    active: active_job.ActiveJob, cause: outcomes.Cause, detail: str
) -> outcomes.Outcome:
    """Returns the outcome of a job that is not served."""
    if active.started or active.moved:
        return outcomes.Unknown(cause, detail)
    return outcomes.NotRun(cause, detail, _RETRY_AFTER_S)


def describe(
    active: active_job.ActiveJob,
    leased: leased_endpoint.LeasedEndpoint,
    run: runs.Run,
    how: str,
    now: float,
) -> str:
    """Returns a run for the log: place, time of its start and end, cause."""
    begin_ms = int((run.sent_at - active.arrived_at) * 1_000)
    end_ms = int((now - active.arrived_at) * 1_000)
    sent = f"{begin_ms}" if run.sent_at else "-"
    return (
        f"{run.index}#{run.number}@{leased.endpoint.id}"
        f" {sent}..{end_ms} ms {how}"
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
        now: Time.
        waiting_jobs: Jobs with waiting tasks at its steward.
        token: Fencing token of its steward.
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
        runs=active.history,
        waiting_jobs=waiting_jobs,
        token=token,
        first_send_ms=int(
            ((active.first_sent_at or now) - active.arrived_at) * 1_000
        ),
        took_ms=int((now - active.arrived_at) * 1_000),
    )
