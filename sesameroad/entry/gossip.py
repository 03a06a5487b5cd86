"""Exchanges configuration, instance list and leaving marks with the peers."""

from collections.abc import Callable
from collections.abc import Iterable
import zlib

import msgspec
import xxhash

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.configuration import store as store_module
from sesameroad.membership import directory as directory_module
from sesameroad.membership import listing as listing_module
from sesameroad.model import clocks
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from sesameroad.telemetry import log

# A peer with an older version usually gets the new one from the entry that
# pushed it, or from its own poll of the platform. Offers are delayed by the
# time that this takes. After it, entries make their offers one after another,
# ordered by rank, so that a peer does not get the same content from all.
_CONFIGURATION_DELAY_S = 0.25
_LISTING_DELAY_S = 1.25
_TURN_DELAY_S = 0.25
_MAX_TURNS = 4
# After this time an entry that reaches neither the table nor its peers accepts
# callers with the fallback configuration.
_CATCH_UP_TIMEOUT_S = 3.0
# A list of the largest fleet in the design takes 200 KB. Anything above this
# limit is not a valid list.
_MAX_LISTING_BYTES = 16 * 1024 * 1024


class Gossip:
    """Pushes changes to peers and offers them what their heartbeats lack."""

    def __init__(
        self,
        *,
        instance_id: str,
        mesh: mesh_module.Mesh,
        store: store_module.Store,
        directory: directory_module.Directory,
        clock: clocks.Clock,
        configuration_changed: Callable[[], None],
        members_changed: Callable[[], None],
    ) -> None:
        """Creates the exchange with the peers.

        Args:
            instance_id: Id of this entry.
            mesh: Streams to the peers.
            store: The current configuration.
            directory: The instance list and leaving marks.
            clock: Time source.
            configuration_changed: Called after a configuration from a peer has
                been applied.
            members_changed: Called after a list or leaving marks from a peer
                have been applied.
        """
        self._instance_id = instance_id
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._clock = clock
        self._configuration_changed = configuration_changed
        self._members_changed = members_changed
        self._started_at = clock.monotonic()
        self._caught_up = False
        # Each a version number and the time at which it was first noticed.
        self._configuration_seen = (store.current.number, self._started_at)
        self._listing_seen = (directory.listing.version, self._started_at)
        self._compressed_listing = (0, b"")
        self._leaving_endpoints: frozenset[str] = frozenset()

    @property
    def caught_up(self) -> bool:
        """Whether peers are linked and their newest configuration is applied.

        Until an entry has links, it cannot relay keys that have another home.
        """
        if not self._caught_up:
            number = self._store.current.number
            states = [link.last_heartbeat for link in self._mesh.peers.values()]
            newest = self._store.was_read or (
                bool(states)
                and all(
                    state is not None and state.configuration_version <= number
                    for state in states
                )
            )
            waited_s = self._clock.monotonic() - self._started_at
            self._caught_up = (
                newest
                and self._mesh.all_dialled
                or waited_s > _CATCH_UP_TIMEOUT_S
            )
        return self._caught_up

    def push_configuration(self) -> None:
        """Sends the current version to the peers that have an older one.

        Only for versions that this entry accepted or read from the table. A
        version from a peer has already been pushed by that peer.
        """
        number = self._store.current.number
        for link in self._mesh.peers.values():
            state = link.last_heartbeat
            if state is None or state.configuration_version < number:
                self._send_configuration(link)

    def listing_changed(self) -> None:
        """Sends marks for endpoints that a new list shows as leaving."""
        listed = self._directory.listing.endpoints
        leaving = frozenset(e.id for e in listed if e.leaving)
        version = self._directory.listing.version
        self._send_marks(
            messages.LeavingMark(endpoint_id, version, 0)
            for endpoint_id in sorted(leaving - self._leaving_endpoints)
        )
        self._leaving_endpoints = leaving

    def mark_endpoint_leaving(self, endpoint_id: str) -> bool:
        """Marks an endpoint that said it is leaving, and informs the peers.

        Returns:
            Whether the endpoint was not marked before.
        """
        version = self._directory.listing.version
        if not self._directory.mark_leaving(endpoint_id):
            return False
        self._send_marks([messages.LeavingMark(endpoint_id, version, 0)])
        return True

    def receive(self, link: links.Link, message: messages.Message) -> None:
        """Handles a heartbeat or an update from a peer."""
        match message:
            case messages.Heartbeat():
                self._send_missing(link, message)
            case messages.ConfigurationUpdate(version=text):
                self._apply_configuration(link, text)
            case messages.EndpointUpdate(listing=listing, marks=marks):
                listing_applied = bool(listing) and self._apply_listing(
                    link, listing
                )
                new_marks = [mark for mark in marks if self._apply_mark(mark)]
                self._send_marks(new_marks, skip=link)
                if listing_applied or new_marks:
                    self._members_changed()
            case _:
                return

    def _send_missing(
        self, link: links.Link, state: messages.Heartbeat
    ) -> None:
        """Sends a peer what its heartbeat lacks, each version once per link."""
        number = self._store.current.number
        version = self._directory.listing.version
        now = self._clock.monotonic()
        if not link.offered_marks:
            link.offered_marks = True
            self._send_all_marks(link)
        if number != self._configuration_seen[0]:
            self._configuration_seen = (number, now)
        if version != self._listing_seen[0]:
            self._listing_seen = (version, now)
        if (
            state.configuration_version < number
            and link.offered_configuration < number
        ):
            delay_s = self._offer_delay_s(link, _CONFIGURATION_DELAY_S)
            if (
                not state.configuration_version
                or now - self._configuration_seen[1] >= delay_s
            ):
                self._send_configuration(link)
        if state.listing_version < version and link.offered_listing < version:
            delay_s = self._offer_delay_s(link, _LISTING_DELAY_S)
            if (
                not state.listing_version
                or now - self._listing_seen[1] >= delay_s
            ):
                link.offered_listing = version
                self._mesh.send(
                    link, messages.EndpointUpdate(self._compress_listing())
                )

    def _offer_delay_s(self, link: links.Link, delay_s: float) -> float:
        """Returns how long after a change this entry offers it to a peer.

        The entries are ordered by a hash, which differs from peer to peer.
        """
        peer = link.hello.instance_id

        def rank(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{peer}|{name}".encode())

        own_rank = rank(self._instance_id)
        others = (name for name in self._mesh.peers if name != peer)
        turn = sum(1 for name in others if rank(name) < own_rank)
        return delay_s + min(turn, _MAX_TURNS) * _TURN_DELAY_S

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

    def _send_all_marks(self, link: links.Link) -> None:
        """Sends all current marks to a peer that may have missed some."""
        marks = tuple(
            messages.LeavingMark(
                mark.endpoint_id,
                mark.listing_version,
                int(self._directory.age_s(mark) * 1_000),
            )
            for mark in self._directory.leaving_marks
        )
        if marks:
            self._mesh.send(link, messages.EndpointUpdate(b"", marks))

    def _compress_listing(self) -> bytes:
        listing = self._directory.listing
        if self._compressed_listing[0] != listing.version:
            compressed = zlib.compress(msgspec.json.encode(listing))
            self._compressed_listing = (listing.version, compressed)
        return self._compressed_listing[1]

    def _apply_configuration(self, link: links.Link, text: bytes) -> None:
        try:
            version = document.Version.from_json(text)
        except errors.ConfigurationError as error:
            _log_rejected(link, error)
            return
        if self._store.apply(version):
            self._configuration_changed()

    def _apply_listing(self, link: links.Link, compressed: bytes) -> bool:
        try:
            text = zlib.decompressobj().decompress(
                compressed, _MAX_LISTING_BYTES
            )
            # What the sender could not read it has left out already.
            listing, _ = listing_module.decode(text)
        except (zlib.error, errors.MalformedError) as error:
            _log_rejected(link, error)
            return False
        return self._directory.apply(listing)

    def _apply_mark(self, mark: messages.LeavingMark) -> bool:
        return self._directory.mark_leaving(
            mark.endpoint_id,
            listing_version=mark.listing_version,
            age_s=mark.age_ms / 1_000,
        )


def _log_rejected(link: links.Link, error: Exception) -> None:
    log.problem(
        "invalid update from a peer ignored",
        step="receive update",
        peer=link.hello.instance_id,
        error=str(error),
    )
