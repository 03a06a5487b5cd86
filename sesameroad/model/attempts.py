"""What leaders tell each other about the attempts of a caller.

A caller without an answer submits its job again under the same key. Times are
durations that count from the arrival of the notice, as clocks differ.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """The sender runs, or is about to run, tasks of an attempt.

    Attributes:
        key: Key of the job.
        origins: Instances that wait for the attempt.
        age_s: Time since the first of them accepted it, in seconds.
        ends_within_s: Time within which all its runs have ended, whether or not
            anyone stops them, in seconds.
    """

    key: str
    origins: frozenset[str]
    age_s: float
    ends_within_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Replaced:
    """Asks the receiver to end all attempts older than one of an origin.

    Attributes:
        key: Key of the job.
        origin: Instance that waits for the later attempt.
        age_s: Time since it accepted that attempt, in seconds.
        indices: Tasks that the sender is to run. If the origin waits for them
            at the receiver, too, it has moved them from there.
    """

    key: str
    origin: str
    age_s: float
    indices: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """Answers `Replaced`: no run is left beside which none may start.

    Attributes:
        key: Key of the job.
        origin: Instance that waits for the later attempt.
        within_s: Time within which that is true, in seconds.
    """

    key: str
    origin: str
    within_s: float


Notice = Running | Replaced | Ended
