"""Bounds the time at which a peer sent its last heartbeat.

A heartbeat may be held up on its way, so the time at which it is read proves
little. Each one carries the clock of its sender and an echo: the clock of the
receiver in the last heartbeat that the sender got, and the sender's clock when
it got that. The sender read the echoed time after it was written, so each echo
gives a lower bound of the difference between both clocks.

It addresses a link with one heartbeat in each 0.25 s and direction: a few
arithmetic operations for each, and no state beside one echo.
"""

from sesameroad.peering import messages

# Ratio by which the clocks of two instances may differ in rate. The same ratio
# is assumed of the clocks of endpoints (`leasing.leases`).
MAX_RATE_DIFFERENCE = 0.02
_US = 1_000_000


class PeerClock:
    """Estimates on the own clock when the peer of a stream was last heard.

    The estimate is never later than the time of sending if the rates of both
    clocks differ by `MAX_RATE_DIFFERENCE` at most. All times are in seconds on
    the own clock unless stated otherwise.
    """

    __slots__ = (
        "_echo_own_at",
        "_echo_peer_at",
        "_heard_at",
        "_known",
        "_received_at",
        "_received_us",
        "_unstamped",
    )

    def __init__(self, *, greeted_at: float) -> None:
        """Creates the state of a new stream.

        Args:
            greeted_at: Time before the own greeting was sent, which the peer
                has read.
        """
        self._heard_at = greeted_at
        # The kept echo: own time, and the peer's clock when it had read that.
        self._echo_own_at = greeted_at
        self._echo_peer_at = 0.0
        self._known = False
        # Clock in the last heartbeat of the peer, and the time of its arrival.
        self._received_us = 0
        self._received_at = 0.0
        # Whether the peer runs an earlier release, which sends no clocks.
        self._unstamped = False

    @property
    def heard_at(self) -> float:
        """Latest time at which the peer is proved to have sent a message."""
        return self._heard_at

    def stamp(self, now: float) -> messages.ClockReadings:
        """Returns the readings for a heartbeat that is sent now."""
        return messages.ClockReadings(
            int(now * _US), self._received_us, int(self._received_at * _US)
        )

    def record_envelope(self, now: float) -> None:
        """Records an envelope, which proves something only without clocks."""
        if self._unstamped:
            self._heard_at = max(self._heard_at, now)

    def record(
        self, readings: messages.ClockReadings | None, now: float
    ) -> None:
        """Records a heartbeat.

        Args:
            readings: Clocks in it, None from a peer of an earlier release.
            now: Time at which it is read.
        """
        if readings is None:
            self._unstamped = True
            self._heard_at = max(self._heard_at, now)
            return
        self._unstamped = False
        self._received_us = readings.sent_us
        self._received_at = now
        sent = readings.sent_us / _US
        own_at = readings.echoed_us / _US
        peer_at = readings.echo_received_us / _US
        if not readings.echoed_us or own_at > now or peer_at > sent:
            # The first heartbeat was sent after the greeting was read. An echo
            # from the future or from after the heartbeat is malformed.
            if self._known:
                own_at, peer_at = self._echo_own_at, self._echo_peer_at
            else:
                own_at, peer_at = self._echo_own_at, sent
        proved_at = _later(own_at, sent - peer_at)
        if self._known:
            kept_at = _later(self._echo_own_at, sent - self._echo_peer_at)
            if proved_at < kept_at <= now:
                own_at, peer_at = self._echo_own_at, self._echo_peer_at
                proved_at = kept_at
        if proved_at > now:
            # A heartbeat from the future shows that the own clock has stopped
            # for a while, so that no earlier echo holds. The heartbeat still
            # follows the one before it.
            own_at = proved_at = self._heard_at
            peer_at = sent
        self._known = True
        self._echo_own_at = own_at
        self._echo_peer_at = peer_at
        self._heard_at = max(self._heard_at, proved_at)


def _later(own_at: float, passed_s: float) -> float:
    """Returns the earliest time after a period on the clock of the peer."""
    return own_at + passed_s * (1 - MAX_RATE_DIFFERENCE)
