"""Word that an endpoint is leaving, before the platform's list says so."""

import dataclasses

# How far the platform's list may lag. A list that is newer than a mark may still
# show the endpoint as it was before.
LIST_LAG_S = 30.0


@dataclasses.dataclass(slots=True)
class LeavingMark:
    """A leaving mark of one endpoint.

    Attributes:
        endpoint_id: The endpoint.
        listing_version: Version of the list when the mark was made.
        made_at: Monotonic time when it was made, in seconds.
        confirmed: Whether a list since then did not show the endpoint live.
    """

    endpoint_id: str
    listing_version: int
    made_at: float
    confirmed: bool = False

    def is_over(
        self, *, listing_version: int, listed_live: bool, now: float
    ) -> bool:
        """Returns whether a list ends the mark.

        Args:
            listing_version: Version of the list.
            listed_live: Whether it shows the endpoint, and not as leaving.
            now: Monotonic time in seconds.
        """
        if not listed_live or listing_version <= self.listing_version:
            return False
        return self.confirmed or now - self.made_at >= LIST_LAG_S
