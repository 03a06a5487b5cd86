"""Tests of the protobuf encoding of messages."""

import dataclasses
import unittest

from google.protobuf import message as protobuf_message
import hypothesis
from hypothesis import strategies as st

from sesameroad import errors
from sesameroad.model import held_up
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import pending_starts
from sesameroad.model import work
from sesameroad.peering import codec
from sesameroad.peering import messages
from sesameroad.peering import peer_pb2

_TASKS = (work.Task(b"1", needs.Need(1.5, 10, 1)), work.Task(b"2"))
_WORK = work.Submission("k", "team", "kind", 5, _TASKS)
_MESSAGES = [
    messages.Hello("a", "dc1", "ff"),
    messages.Heartbeat(3, 4, True),
    messages.Heartbeat(3, 4, False, slow=True),
    messages.AttemptRunning("k", {"a": 0, "b": 7}, 1.25, 8.5, (0, 3)),
    messages.AttemptReplaced("k", "b", 1.5, (0, 3), 7),
    messages.AttemptEnded("k", "b", 1.25, (0, 3)),
    messages.HeldUpStarts(
        {
            "k": (
                held_up.HeldUpStart(0, "e1", 12.5),
                held_up.HeldUpStart(3, "e2", 0.25),
            ),
            "j": (held_up.HeldUpStart(0, "e1", 1.0),),
        }
    ),
    messages.PendingStarts(
        (
            pending_starts.PendingStart(7, "k", 3, "e1"),
            pending_starts.PendingStart(8, "j", 0, "e2"),
        )
    ),
    messages.PendingStarts((), ()),
    messages.PendingStarts((), (7, 8)),
    messages.Heartbeat(3, 4, False, evacuations_version=9, evacuated=("z",)),
    messages.ConfigurationUpdate(b"{}"),
    messages.EndpointUpdate(b"x", (messages.LeavingMark("e", 3, 1_500),)),
    messages.RelayRequest(1, messages.Purpose.SPILL, _WORK, "d", 9),
    messages.RelayReply(1, outcomes.Complete((b"1", b"2"))),
    messages.StatusQuery(2, "k", True),
    messages.RecentCancels(7, {"k": 0.5, "j": 29.25}, complete=False),
    messages.RecentCancels(0, {}),
    messages.FleetQuery(3, "show"),
    messages.FleetReply(3, b"{}"),
]


class CodecTest(unittest.TestCase):
    """Guards against lost fields and against crashes on malformed input."""

    def test_messages_survive_the_round_trip(self):
        text = codec.encode(_MESSAGES).SerializeToString()
        decoded = codec.decode(peer_pb2.Envelope.FromString(text))
        self.assertEqual(decoded, _MESSAGES)

    def test_tasks_that_have_not_been_started_survive_the_round_trip(self):
        """Guards against a started task that the next leader starts again."""
        job = jobs.Job(
            key="k",
            queue="q",
            service="s",
            spec="",
            indices=(0, 1, 2, 3),
            need=needs.Need(1.0, 64, 0),
            estimate_s=0.1,
            priority=0,
            max_attempts=1,
            required_label="",
            preferred_label="",
            per_endpoint=0,
            objective_at=1.0,
            expires_at=3.0,
            deadline_at=3.0,
        )
        for unstarted in ((), (1, 3)):
            offer = messages.JobOffer(
                1,
                "dc1",
                dataclasses.replace(job, unstarted=unstarted, succeeded=(2,)),
                True,
            )
            reply = messages.RelayReply(
                1,
                outcomes.Unknown(
                    outcomes.Cause.STEWARD_LOST,
                    "changed",
                    unstarted=unstarted,
                    succeeded=(2,),
                ),
            )
            text = codec.encode([offer, reply]).SerializeToString()
            decoded = codec.decode(peer_pb2.Envelope.FromString(text))
            self.assertEqual(decoded[0].job.unstarted, unstarted)
            self.assertEqual(decoded[0].job.succeeded, (2,))
            self.assertEqual(decoded[1], reply)

    def test_messages_that_a_release_does_not_know_are_left_out(self):
        """Guards against streams that break while releases are mixed.

        A peer of an earlier release gets the notices of held-up starts like this.
        """
        unknown = b"\xc2\x3e\x02\x08\x01"  # Field 1000 with a message.
        item = peer_pb2.Item.FromString(unknown)
        self.assertEqual(codec.decode(peer_pb2.Envelope(items=[item])), [])

    def test_held_up_start_without_an_endpoint_is_malformed(self):
        """Guards against a task that is blocked for no endpoint."""
        for field in ("held_up_starts", "pending_starts"):
            item = peer_pb2.Item()
            getattr(item, field).starts.add(key="k")
            with self.assertRaises(errors.PeerError):
                codec.decode_item(item)

    @hypothesis.given(st.binary(max_size=64))
    def test_malformed_input_raises_only_peer_errors(self, text):
        """Any other error would end the task that reads from the stream."""
        for field in peer_pb2.Item.DESCRIPTOR.fields:
            item = peer_pb2.Item()
            try:
                getattr(item, field.name).MergeFromString(text)
                getattr(item, field.name).SetInParent()
            except protobuf_message.DecodeError:
                continue
            try:
                codec.decode_item(item)
            except errors.PeerError:
                continue
