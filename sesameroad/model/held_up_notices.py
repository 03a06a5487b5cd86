"""What instances tell each other about starts without an answer."""

from collections.abc import Mapping
import dataclasses

from sesameroad.model import held_up

# Bounds one message to about 0.3 MB with keys of 16 characters.
MAX_STARTS = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """Starts that may still be carried out.

    Attributes:
        starts: The starts by the key of their job, with the time left when the
            notice was sent.
    """

    starts: Mapping[str, tuple[held_up.HeldUpStart, ...]]
