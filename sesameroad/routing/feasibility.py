"""Tells whether any endpoint of the fleet can run a task."""

from collections.abc import Iterable

from sesameroad.model import endpoints
from sesameroad.model import needs
from sesameroad.model import outcomes

_RETRY_S = 1.0
# The endpoints of a fleet have few shapes, that is, combinations of kinds and
# offered resources. The bound only guards against a list that never repeats one.
_MAX_SHAPES = 1_000

_Shape = tuple[tuple[str, ...], needs.Need]


class Feasibility:
    """Records which tasks the endpoints of the whole fleet can run."""

    __slots__ = ("_live_by_data_centre", "_shapes")

    def __init__(self) -> None:
        self._live_by_data_centre: dict[str, list[endpoints.Endpoint]] = {}
        self._shapes: dict[_Shape, endpoints.Endpoint] = {}

    def update(
        self,
        listed: Iterable[endpoints.Endpoint],
        live: Iterable[endpoints.Endpoint],
    ) -> None:
        """Updates the endpoints.

        Args:
            listed: All endpoints of the list.
            live: The endpoints that accept new work.
        """
        for endpoint in listed:
            shape = (endpoint.kinds, endpoint.offer)
            if len(self._shapes) < _MAX_SHAPES:
                self._shapes.setdefault(shape, endpoint)
        self._live_by_data_centre = {}
        for endpoint in live:
            self._live_by_data_centre.setdefault(
                endpoint.data_centre, []
            ).append(endpoint)

    def can_run(
        self, data_centre: str, kind: str, wanted: Iterable[needs.Need]
    ) -> bool:
        """Returns whether live endpoints of a data centre can meet all needs."""
        live = self._live_by_data_centre.get(data_centre, ())
        return all(
            any(endpoint.accepts(kind, need) for endpoint in live)
            for need in wanted
        )

    def refusal(self, kind: str, need: needs.Need) -> outcomes.NotRun | None:
        """Returns why no endpoint can run such a task now, or None if one can."""
        if any(
            self.can_run(name, kind, (need,))
            for name in self._live_by_data_centre
        ):
            return None
        # Before the first list is known, the task cannot be called impossible.
        known_shapes = self._shapes.values()
        if not known_shapes or any(e.accepts(kind, need) for e in known_shapes):
            return outcomes.NotRun(
                outcomes.Cause.ENDPOINT_MISSING,
                f"no live endpoint can run kind {kind!r} with {need}",
                _RETRY_S,
            )
        return outcomes.NotRun(
            outcomes.Cause.NO_ENDPOINT,
            f"no endpoint can run kind {kind!r} with {need}",
        )
