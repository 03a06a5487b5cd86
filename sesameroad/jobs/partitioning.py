"""Partitions the tasks of a job among data centres."""

from collections.abc import Iterable
import dataclasses

from sesameroad.model import jobs

# A job that must wait goes to another data centre only if its expected wait
# there is shorter by this margin: the reported state is up to one heartbeat
# old.
_MARGIN_S = 0.03


@dataclasses.dataclass(slots=True)
class Offer:
    """Capacity that the leader of a data centre reports.

    Attributes:
        data_centre: Data centre.
        free_cores: Cores that are not in use.
        wait_s: Expected wait of a new job until its first task starts.
    """

    data_centre: str
    free_cores: float
    wait_s: float

    def room(self, job: jobs.Job) -> int:
        """Returns how many tasks of a job can start there immediately."""
        if self.free_cores <= 0:
            return 0
        if job.need.cores <= 0:
            return job.count
        return int(min(self.free_cores / job.need.cores, job.count))


def partition(
    job: jobs.Job, offers: Iterable[Offer], *, own: str
) -> list[tuple[str, jobs.Job]]:
    """Returns the parts of a job, each with its data centre.

    Tasks stay in the caller's data centre as long as they fit. The others go to
    data centres where they can start immediately, and tasks that fit nowhere
    wait in one data centre. Only the first part may have to wait.

    Args:
        job: The job.
        offers: Data centres with a reachable leader.
        own: Data centre of the caller.
    """
    by_name = {offer.data_centre: offer for offer in offers}
    if not by_name:
        return []
    local = by_name.pop(own, None)
    if local is None:
        local = min(by_name.values(), key=preference)
        del by_name[local.data_centre]
    others = sorted(by_name.values(), key=lambda o: -o.room(job))
    remaining = list(job.indices)
    lent: list[tuple[str, jobs.Job]] = []
    room = local.room(job)
    for other in others:
        if len(remaining) <= room:
            break
        count = min(other.room(job), len(remaining) - room)
        if count > 0:
            part = tuple(remaining[-count:])
            del remaining[-count:]
            lent.append((other.data_centre, job.part(part)))
    if remaining and not lent and room <= 0 and others:
        best = min(others, key=preference)
        if best.wait_s + _MARGIN_S < local.wait_s:
            local = best
    if not remaining:
        return lent
    if not lent:
        return [(local.data_centre, job)]
    return [(local.data_centre, job.part(tuple(remaining))), *lent]


def preference(offer: Offer) -> tuple[float, float]:
    """Returns a sort key for offers; the best one sorts first."""
    return offer.wait_s, -offer.free_cores
