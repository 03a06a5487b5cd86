"""Options of a leader's scheduling under a shortage of capacity."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Scheduling:
    """Options of a leader; each is off by default and then changes nothing.

    Attributes:
        whole_starts: Whether a job starts only when there is capacity for the
            rest of it, and started jobs come before others.
    """

    whole_starts: bool = False
