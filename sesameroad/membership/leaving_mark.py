"""Marks of endpoints that are leaving before the platform's list shows it."""

import dataclasses

# Maximum lag of the platform's list. Until then, even a list that is newer
# than a mark may show the endpoint as it was before the mark.
LIST_LAG_S = 30.0


@dataclasses.dataclass(slots=True)
class LeavingMark:
    """The leaving mark of one endpoint.

    Attributes:
        endpoint_id: The endpoint.
        listing_version: Version of the list when the mark was made.
        made_at: Monotonic time when it was made, in seconds.
        confirmed: Whether the list at that time or a later one did not show the
            endpoint as live.
    """

    endpoint_id: str
    listing_version: int
    made_at: float
    confirmed: bool = False

    def is_expired(
        self, *, listing_version: int, listed_live: bool, now: float
    ) -> bool:
        """Returns whether a list supersedes the mark.

        Args:
            listing_version: Version of the list.
            listed_live: Whether the list shows the endpoint and not as leaving.
            now: Monotonic time in seconds.
        """
        if not listed_live or listing_version <= self.listing_version:
            return False
        return self.confirmed or now - self.made_at >= LIST_LAG_S
