"""Tests of the time at which a peer counts as last heard."""

import unittest

import hypothesis
from hypothesis import strategies as st

from sesameroad.peering import messages
from sesameroad.peering import peer_clock
from tests import _properties

_PERIOD_S = 0.25
# Rounding to whole microseconds.
_TOLERANCE_S = 1e-5
_PEER_STARTED = 5_000.0


class _Stream:
    """Heartbeats between two sides whose clocks differ in offset and rate."""

    def __init__(self, *, rate=1.0):
        self._rate = rate
        self.now = 100.0
        self.own = peer_clock.PeerClock(greeted_at=self.now)
        self.peer = peer_clock.PeerClock(greeted_at=self._peer_at(self.now))

    def _peer_at(self, own_at):
        return _PEER_STARTED + own_at * self._rate

    def send(self, delay_s):
        """Sends a heartbeat to the peer; returns its arrival there."""
        readings = self.own.stamp(self.now)
        return self.now + delay_s, self.peer, readings

    def answer(self, delay_s):
        """Sends a heartbeat of the peer; returns its arrival."""
        readings = self.peer.stamp(self._peer_at(self.now))
        return self.now + delay_s, self.own, readings

    def deliver(self, arrival):
        at, receiver, readings = arrival
        self.now = at
        local = at if receiver is self.own else self._peer_at(at)
        receiver.record(readings, local)


class PeerClockTest(unittest.TestCase):

    def _play(self, count, *, out_s, in_s, rate=1.0):
        """Plays periods with fixed delays; returns how long ago it was heard.

        The result is that at the arrival of each heartbeat of the peer.
        """
        stream = _Stream(rate=rate)
        silences = []
        for _ in range(count):
            began_at = stream.now
            stream.deliver(stream.send(out_s))
            stream.deliver(stream.answer(in_s))
            silences.append(stream.now - stream.own.heard_at)
            stream.now = max(stream.now, began_at + _PERIOD_S)
        return silences

    def test_heartbeat_counts_from_its_sending(self):
        """Guards against a held-up heartbeat that keeps an origin alive."""
        for in_s in (0.001, 0.4, 0.6):
            for silence_s in self._play(20, out_s=0.001, in_s=in_s):
                self.assertGreaterEqual(silence_s, in_s - _TOLERANCE_S)
                self.assertLess(silence_s, in_s + 0.01)

    def test_delay_in_the_other_direction_makes_it_older_only(self):
        """Guards against a delay of one direction that is taken for a lead.

        Which direction is delayed can't be told, so the longer time counts.
        """
        for silence_s in self._play(20, out_s=0.4, in_s=0.001):
            self.assertGreaterEqual(silence_s, 0.001)
            self.assertLess(silence_s, 0.4 + 0.02)

    def test_clock_of_another_rate(self):
        """Guards against an estimate that drifts away in either direction.

        The difference of the clocks changes by 36 s in the hour played.
        """
        for rate in (0.99, 1.01):
            silences = self._play(14_400, out_s=0.001, in_s=0.3, rate=rate)
            self.assertGreaterEqual(min(silences), 0.3 - _TOLERANCE_S)
            self.assertLess(max(silences), 0.3 + 0.02)

    @_properties.examples(100)
    @hypothesis.given(
        rate=st.sampled_from([0.98, 0.999, 1.0, 1.001, 1.02]),
        delays=st.lists(
            st.tuples(
                *[st.sampled_from([0.001, 0.01, 0.2, 0.4, 0.6, 3.0])] * 2
            ),
            min_size=1,
            max_size=30,
        ),
    )
    def test_never_later_than_the_sending(self, rate, delays):
        """Guards against any order of delays that proves too much."""
        stream = _Stream(rate=rate)
        sent_at = stream.now
        for out_s, in_s in delays:
            stream.deliver(stream.send(out_s))
            sent_at = stream.now
            stream.deliver(stream.answer(in_s))
            self.assertLessEqual(stream.own.heard_at, sent_at + _TOLERANCE_S)

    def test_peer_of_an_earlier_release(self):
        """Guards against a peer that counts as lost as it sends no clocks."""
        clock = peer_clock.PeerClock(greeted_at=10.0)
        clock.record_envelope(10.1)
        self.assertEqual(clock.heard_at, 10.0)
        clock.record(None, 11.0)
        clock.record_envelope(12.0)
        self.assertEqual(clock.heard_at, 12.0)

    def test_own_clock_that_stopped(self):
        """Guards against an echo from before a stop that holds for ever."""
        stream = _Stream()
        stream.deliver(stream.send(0.001))
        stream.deliver(stream.answer(0.001))
        readings = stream.peer.stamp(_PEER_STARTED + stream.now + 2.0)
        stream.own.record(readings, stream.now)
        self.assertLessEqual(stream.own.heard_at, stream.now)
        stream.now += 1.0
        readings = stream.peer.stamp(_PEER_STARTED + stream.now + 1.5)
        stream.own.record(readings, stream.now)
        self.assertLess(stream.own.heard_at, stream.now - 0.4)

    def test_malformed_echo_proves_nothing(self):
        """Guards against an echo that was never sent."""
        clock = peer_clock.PeerClock(greeted_at=10.0)
        sent_us = 50_000_000
        for echoed_us, received_us in ((99_000_000, 1), (10_500_000, 2**63)):
            clock.record(
                messages.ClockReadings(sent_us, echoed_us, received_us), 11.0
            )
            self.assertEqual(clock.heard_at, 10.0)
