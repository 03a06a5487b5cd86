"""Spreads configuration, instance list and leaving marks between entries."""

from collections.abc import Callable
from collections.abc import Iterable
import zlib

import msgspec
import xxhash

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.configuration import store as stores
from sesameroad.membership import directory as directories
from sesameroad.membership import listing as listings
from sesameroad.model import clock as clocks
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.telemetry import log

# A peer that is behind is likely to get the version from the entry that pushed
# it, or from its own poll. Offers wait that long, and entries take turns by
# rank, so that one peer does not get the same content from all.
_CONFIGURATION_DELAY_S = 0.25
_LISTING_DELAY_S = 1.25
_TURN_S = 0.25
_MAX_TURNS = 4
# After this time an entry that can reach neither table nor peers goes on with
# the fallback.
_SETTLE_TIMEOUT_S = 3.0
# A list of the design size takes 200 KB; more than this is not a list.
_MAX_LISTING_BYTES = 16 * 1024 * 1024


class Spread:
    """Pushes what is new here, and offers what a peer's heartbeat lacks."""

    def __init__(
        self,
        *,
        instance_id: str,
        mesh: meshes.Mesh,
        store: stores.Store,
        directory: directories.Directory,
        clock: clocks.Clock,
        configuration_changed: Callable[[], None],
        members_changed: Callable[[], None],
    ) -> None:
        """Connects the parts.

        Args:
            instance_id: Id of this entry.
            mesh: Streams to the peers.
            store: The configuration in force.
            directory: The instance list and leaving marks.
            clock: Time source.
            configuration_changed: Called when a peer's version came into force.
            members_changed: Called when a peer's list or mark was taken.
        """
        self._instance_id = instance_id
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._clock = clock
        self._configuration_changed = configuration_changed
        self._members_changed = members_changed
        self._began = clock.monotonic()
        self._settled = False
        self._configuration = (store.current.number, self._began)
        self._listing = (directory.listing.version, self._began)
        self._packed_listing = (0, b"")
        self._leaving: frozenset[str] = frozenset()

    @property
    def settled(self) -> bool:
        """Whether peers are linked and their newest configuration is in force.

        An entry without links answers for no key of another home.
        """
        if not self._settled:
            number = self._store.current.number
            states = [link.last_heartbeat for link in self._mesh.peers.values()]
            newest = self._store.was_read or (
                bool(states)
                and all(
                    state is not None and state.configuration_version <= number
                    for state in states
                )
            )
            waited_s = self._clock.monotonic() - self._began
            self._settled = (
                newest
                and self._mesh.all_dialled
                or waited_s > _SETTLE_TIMEOUT_S
            )
        return self._settled

    def push_configuration(self) -> None:
        """Sends the version in force to the peers that have an older one.

        For versions that this entry accepted or read from the table; what came
        from a peer was pushed by that peer.
        """
        number = self._store.current.number
        for link in self._mesh.peers.values():
            state = link.last_heartbeat
            if state is None or state.configuration_version < number:
                self._send_configuration(link)

    def listing_changed(self) -> None:
        """Sends marks for endpoints that a list from the platform retires."""
        listed = self._directory.listing.endpoints
        leaving = frozenset(e.id for e in listed if e.leaving)
        version = self._directory.listing.version
        self._send_marks(
            messages.LeavingMark(endpoint_id, version, 0)
            for endpoint_id in sorted(leaving - self._leaving)
        )
        self._leaving = leaving

    def endpoint_leaving(self, endpoint_id: str) -> bool:
        """Notes that an endpoint said it is leaving, and tells the peers.

        Returns:
            Whether this was news.
        """
        version = self._directory.listing.version
        if not self._directory.mark_leaving(endpoint_id):
            return False
        self._send_marks([messages.LeavingMark(endpoint_id, version, 0)])
        return True

    def receive(self, link: links.Link, message: messages.Message) -> None:
        """Takes what a peer sent."""
        match message:
            case messages.Heartbeat():
                self._offer(link, message)
            case messages.ConfigurationUpdate(version=text):
                self._take_configuration(link, text)
            case messages.EndpointUpdate(listing=listing, marks=marks):
                taken = bool(listing) and self._take_listing(link, listing)
                news = [mark for mark in marks if self._take_mark(mark)]
                self._send_marks(news, skip=link)
                if taken or news:
                    self._members_changed()
            case _:
                return

    def _offer(self, link: links.Link, state: messages.Heartbeat) -> None:
        """Sends a peer what its heartbeat shows it lacks, once on each link."""
        number = self._store.current.number
        version = self._directory.listing.version
        now = self._clock.monotonic()
        if not link.offered_marks:
            link.offered_marks = True
            self._send_held_marks(link)
        if number != self._configuration[0]:
            self._configuration = (number, now)
        if version != self._listing[0]:
            self._listing = (version, now)
        if (
            state.configuration_version < number
            and link.offered_configuration < number
        ):
            wait_s = self._wait_s(link, _CONFIGURATION_DELAY_S)
            if (
                not state.configuration_version
                or now - self._configuration[1] >= wait_s
            ):
                self._send_configuration(link)
        if state.listing_version < version and link.offered_listing < version:
            wait_s = self._wait_s(link, _LISTING_DELAY_S)
            if not state.listing_version or now - self._listing[1] >= wait_s:
                link.offered_listing = version
                self._mesh.send(
                    link, messages.EndpointUpdate(self._pack_listing())
                )

    def _wait_s(self, link: links.Link, delay_s: float) -> float:
        """Returns how long after a change this entry offers it to a peer."""
        peer = link.hello.instance_id

        def rank(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{peer}|{name}".encode())

        own = rank(self._instance_id)
        others = (name for name in self._mesh.peers if name != peer)
        turn = sum(1 for name in others if rank(name) < own)
        return delay_s + min(turn, _MAX_TURNS) * _TURN_S

    def _send_configuration(self, link: links.Link) -> None:
        version = self._store.current
        if link.offered_configuration >= version.number:
            return
        link.offered_configuration = version.number
        self._mesh.send(link, messages.ConfigurationUpdate(version.to_json()))

    def _send_marks(
        self,
        marks: Iterable[messages.LeavingMark],
        *,
        skip: links.Link | None = None,
    ) -> None:
        update = messages.EndpointUpdate(b"", tuple(marks))
        if update.marks:
            self._mesh.broadcast(update, skip=skip)

    def _send_held_marks(self, link: links.Link) -> None:
        """Sends the marks in force to a peer that may have missed them."""
        held = tuple(
            messages.LeavingMark(
                mark.endpoint_id,
                mark.listing_version,
                int(self._directory.age_s(mark) * 1_000),
            )
            for mark in self._directory.leaving_marks
        )
        if held:
            self._mesh.send(link, messages.EndpointUpdate(b"", held))

    def _pack_listing(self) -> bytes:
        listing = self._directory.listing
        if self._packed_listing[0] != listing.version:
            packed = zlib.compress(msgspec.json.encode(listing))
            self._packed_listing = (listing.version, packed)
        return self._packed_listing[1]

    def _take_configuration(self, link: links.Link, text: bytes) -> None:
        try:
            version = document.Version.from_json(text)
        except errors.ConfigurationError as error:
            _log_refused(link, error)
            return
        if self._store.apply(version):
            self._configuration_changed()

    def _take_listing(self, link: links.Link, packed: bytes) -> bool:
        try:
            text = zlib.decompressobj().decompress(packed, _MAX_LISTING_BYTES)
            listing = msgspec.json.decode(text, type=listings.Listing)
        except (zlib.error, msgspec.MsgspecError) as error:
            _log_refused(link, error)
            return False
        return self._directory.apply(listing)

    def _take_mark(self, mark: messages.LeavingMark) -> bool:
        return self._directory.mark_leaving(
            mark.endpoint_id,
            listing_version=mark.listing_version,
            age_s=mark.age_ms / 1_000,
        )


def _log_refused(link: links.Link, error: Exception) -> None:
    log.problem(
        "update of a peer refused",
        step="receive update",
        peer=link.hello.instance_id,
        error=str(error),
    )
