"""What leaders tell each other about the attempts of a caller.

A caller without an answer submits its job again under the same key. Times are
durations that count from the arrival of the notice, as clocks differ.

An origin numbers its offers to leaders upwards, so that its latest offer of a task
is known although the estimates of two leaders of its age differ.
"""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """The sender runs, or is about to run, tasks of an attempt.

    Attributes:
        key: Key of the job.
        offers: Number of the offer of each instance that waits, 0 if unknown.
        age_s: Time since the latest attempt was accepted, in seconds. Only earlier
            releases use it.
        ends_within_s: Time within which all its runs have ended, whether or not
            anyone stops them, in seconds.
        indices: Tasks of the sender, none if unknown.
    """

    key: str
    offers: Mapping[str, int]
    age_s: float
    ends_within_s: float
    indices: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Replaced:
    """Asks the receiver to end all attempts older than one of an origin.

    Attributes:
        key: Key of the job.
        origin: Instance that waits for the later attempt.
        age_s: Time since it accepted that attempt, in seconds.
        indices: Tasks that the sender is to run. If the origin waits for them
            at the receiver, too, its later offer owns them.
        offer: Number of the offer to the sender, 0 if unknown.
    """

    key: str
    origin: str
    age_s: float
    indices: tuple[int, ...]
    offer: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """Answers `Replaced`: no run is left beside which none may start.

    Attributes:
        key: Key of the job.
        origin: Instance that waits for the later attempt.
        within_s: Time within which that is true, in seconds.
        indices: Tasks of the question, none if unknown.
    """

    key: str
    origin: str
    within_s: float
    indices: tuple[int, ...] = ()


Notice = Running | Replaced | Ended
