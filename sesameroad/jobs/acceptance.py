"""Validates job requests and derives the deadlines of their jobs."""

from sesameroad.jobs import catalogue
from sesameroad.model import job_requests
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes

MAX_TASKS = 1_100
MAX_SPEC_BYTES = 4_000
# Multiple of the objective after which a response is worthless: the platform's
# rules then treat the job as unanswered.
_EXPIRY_RATIO = 3.0
# The platform's rules expect a step to take several waves if it needs more than
# this fraction (one divided by this number) of the total capacity.
_WAVE_SHARE = 4
# About 30 years. Messages between instances carry times in milliseconds, in 64
# bits.
_MAX_OBJECTIVE_S = 1e9


def refusal(
    request: job_requests.JobRequest, queue: catalogue.Queue
) -> outcomes.NotRun | None:
    """Returns why a job request is refused, or None if it is accepted.

    Only best-effort jobs with one step of independent tasks are supported. Any
    other request is refused before any of its tasks starts.
    """
    problem = _problem(request)
    if problem:
        return outcomes.NotRun(outcomes.Cause.INVALID, problem)
    step = request.steps[0]
    if (
        not request.best_effort
        or len(request.steps) > 1
        or step.gang
        or step.long_running
        or request.occurrences
        or request.starts_at_ms
    ):
        return outcomes.NotRun(
            outcomes.Cause.UNSUPPORTED, "jobs of this shape are not run here"
        )
    if queue.advised:
        return outcomes.NotRun(
            outcomes.Cause.UNSUPPORTED,
            "queues whose endpoints are chosen by advice are not served here",
        )
    return None


def job(
    request: job_requests.JobRequest, queue: catalogue.Queue, *, room: int
) -> jobs.Job:
    """Returns the job for an accepted request.

    Args:
        request: The request.
        queue: Queue to which it was submitted.
        room: Number of such tasks that all endpoints of the service can run at
            once.
    """
    step = request.steps[0]
    width = max(1, room // _WAVE_SHARE)
    waves = -(-step.count // width) if room else 1
    objective_s = min(
        queue.stretch * step.estimate_s * waves + queue.allowance_s,
        _MAX_OBJECTIVE_S,
    )
    arrived_at = request.arrived_at
    return jobs.Job(
        key=request.key,
        queue=queue.name,
        service=queue.service,
        spec=request.spec,
        indices=tuple(range(step.count)),
        need=step.need,
        estimate_s=step.estimate_s,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        required_label=step.required_label,
        preferred_label=step.preferred_label,
        per_endpoint=step.per_endpoint,
        objective_at=arrived_at + objective_s,
        expires_at=arrived_at + _EXPIRY_RATIO * objective_s,
        deadline_at=arrived_at + request.timeout_s,
        accepted_at=arrived_at,
    )


def _problem(request: job_requests.JobRequest) -> str:
    """Returns a description of what is invalid, empty if nothing is."""
    if not request.steps:
        return "steps is empty"
    if len(request.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is over {MAX_SPEC_BYTES} bytes"
    for number, step in enumerate(request.steps):
        if not 1 <= step.count <= MAX_TASKS:
            return f"steps[{number}].count is not from 1 to {MAX_TASKS}"
        if _is_negative(step.need) or step.estimate_s < 0:
            return f"steps[{number}] has a negative need"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"steps[{number}].after names no earlier step"
    return ""


def _is_negative(need: needs.Need) -> bool:
    return min(need.cores, need.memory_mb, need.accelerators) < 0
