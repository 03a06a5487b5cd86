"""Whether any endpoint of the fleet can run a task."""

from collections.abc import Iterable

from sesameroad.model import endpoint as endpoints
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes

_RETRY_S = 1.0
# Endpoints of a fleet come in few shapes; the bound only guards against a list
# that never repeats one.
_MAX_SHAPES = 1_000

_Shape = tuple[tuple[str, ...], needs.Need]


class Feasibility:
    """Remembers what endpoints of the whole fleet could run."""

    __slots__ = ("_live", "_shapes")

    def __init__(self) -> None:
        self._live: dict[str, list[endpoints.Endpoint]] = {}
        self._shapes: dict[_Shape, endpoints.Endpoint] = {}

    def update(
        self,
        listed: Iterable[endpoints.Endpoint],
        live: Iterable[endpoints.Endpoint],
    ) -> None:
        """Takes the endpoints of the list, and those that get new work."""
        for endpoint in listed:
            shape = (endpoint.kinds, endpoint.offer)
            if len(self._shapes) < _MAX_SHAPES:
                self._shapes.setdefault(shape, endpoint)
        self._live = {}
        for endpoint in live:
            self._live.setdefault(endpoint.data_centre, []).append(endpoint)

    def fits(
        self, data_centre: str, kind: str, wanted: Iterable[needs.Need]
    ) -> bool:
        """Returns whether live endpoints of a data centre can run all needs."""
        live = self._live.get(data_centre, ())
        return all(
            any(endpoint.accepts(kind, need) for endpoint in live)
            for need in wanted
        )

    def refusal(self, kind: str, need: needs.Need) -> outcomes.NotRun | None:
        """Returns why no endpoint can run such a task now, or None."""
        if any(self.fits(name, kind, (need,)) for name in self._live):
            return None
        # Before the first list is known, nothing says that it is impossible.
        known = self._shapes.values()
        if not known or any(e.accepts(kind, need) for e in known):
            return outcomes.NotRun(
                outcomes.Cause.ENDPOINT_MISSING,
                f"no live endpoint can run kind {kind!r} with {need}",
                _RETRY_S,
            )
        return outcomes.NotRun(
            outcomes.Cause.NO_ENDPOINT,
            f"no endpoint can run kind {kind!r} with {need}",
        )
