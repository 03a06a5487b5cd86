"""Divides the tasks of a job among data centres."""

from collections.abc import Iterable
import dataclasses

from sesameroad.model import job as jobs

# A job that must wait goes to another data centre only if it waits this much
# less there; the state of others is up to a heartbeat old.
_MARGIN_S = 0.03


@dataclasses.dataclass(slots=True)
class Offer:
    """What the steward of a data centre has to offer.

    Attributes:
        data_centre: Data centre.
        free_cores: Cores that no task uses.
        wait_s: Time that a new job waits for its first task.
    """

    data_centre: str
    free_cores: float
    wait_s: float

    def room(self, job: jobs.Job) -> int:
        """Returns how many tasks of a job may start there at once."""
        if self.free_cores <= 0:
            return 0
        if job.need.cores <= 0:
            return job.count
        return int(min(self.free_cores / job.need.cores, job.count))


def partition(
    job: jobs.Job, offers: Iterable[Offer], *, own: str
) -> list[tuple[str, jobs.Job]]:
    """Returns the parts of a job, each with its data centre; the first may wait.

    All tasks stay in the own data centre as long as there is room. What does
    not fit goes where there is room at once, and what fits nowhere waits in one
    data centre.

    Args:
        job: The job.
        offers: Data centres whose steward can be asked.
        own: Data centre of the caller.
    """
    by_name = {offer.data_centre: offer for offer in offers}
    if not by_name:
        return []
    home = by_name.pop(own, None)
    if home is None:
        home = min(by_name.values(), key=attraction)
        del by_name[home.data_centre]
    others = sorted(by_name.values(), key=lambda o: -o.room(job))
    left = list(job.indices)
    lent: list[tuple[str, jobs.Job]] = []
    room = home.room(job)
    for other in others:
        if len(left) <= room:
            break
        count = min(other.room(job), len(left) - room)
        if count > 0:
            part = tuple(left[-count:])
            del left[-count:]
            lent.append((other.data_centre, job.part(part)))
    if left and not lent and room <= 0 and others:
        best = min(others, key=attraction)
        if best.wait_s + _MARGIN_S < home.wait_s:
            home = best
    if not left:
        return lent
    if not lent:
        return [(home.data_centre, job)]
    return [(home.data_centre, job.part(tuple(left))), *lent]


def attraction(offer: Offer) -> tuple[float, float]:
    """Returns the order in which data centres are chosen, the best first."""
    return offer.wait_s, -offer.free_cores
