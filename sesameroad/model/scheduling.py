"""Options of the scheduling under a shortage of capacity."""

import dataclasses
from typing import Annotated

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class Scheduling:
    """Options of leaders and origins; each is off by default and then changes nothing.

    Attributes:
        whole_starts: Whether a job starts only when there is capacity for the
            rest of it, and started jobs come before others.
        start_answer_ms: Shortest wait for the answer to a start before its task
            is started elsewhere, in milliseconds; 0 for the timeout of orders.
        poll_answer_ms: Shortest wait for the answer to a poll beyond the time for
            which the endpoint may hold it, before it is sent once more, in
            milliseconds; 0 for 250 ms, after which the endpoint counts as
            silent.
        headroom: Whether cores are kept free for the next arrivals of urgent,
            shorter jobs.
        reroute_refused: Whether an origin offers a job that one leader refuses
            for want of capacity once to another one with free cores.
    """

    whole_starts: bool = False
    start_answer_ms: Annotated[int, msgspec.Meta(ge=0, le=300)] = 0
    poll_answer_ms: Annotated[int, msgspec.Meta(ge=0, le=250)] = 0
    headroom: bool = False
    reroute_refused: bool = False
