"""Decoders of everything that another process writes or sends.

Each must return or raise its documented error, whatever the content: an error of
another class ends the loop that follows a table, or the stream to a peer.
"""

import asyncio
import contextlib
import dataclasses
import json
import logging
import re
import types
import unittest

from google.protobuf import message as protobuf_message
import hypothesis
from hypothesis import strategies as st
import yarl

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.jobs import acceptance
from sesameroad.jobs import catalogue
from sesameroad.membership import listing
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.node import endpoint_list
from sesameroad.node import endpoint_watcher
from sesameroad.node import instance_registry
from sesameroad.operators import answers
from sesameroad.ownership import claims
from sesameroad.ownership import handoffs
from sesameroad.peering import codec
from sesameroad.peering import messages
from sesameroad.peering import peer_pb2
from sesameroad.platform import configuration
from sesameroad.platform import endpoint_rows
from sesameroad.platform import job_api
from sesameroad.platform import order_client
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.platform import table
from sesameroad.settings import node
from sesameroad.settings import settings
from sesameroad.telemetry import timeline
from tests import _properties

_DEEP = b"[" * 100_000 + b"]" * 100_000
_LITERALS = [
    b"9" * 401,
    b"-" + b"9" * 401,
    b"18446744073709551615",
    b"-1",
    b"0",
    b"1e400",
    b"-1e308",
    b"0.5",
    b"NaN",
    b"null",
    b"true",
    b'""',
    b'"\\ud800"',
    b'"\xff"',
    b'"nowhere"',
    b'"127.0.0.1:99999"',
    b'"a b/..@c:80"',
    b'"\xd9\xa1:\xd9\xa2"',
    b"[]",
    b"{}",
    b"[[[]]]",
    _DEEP,
]
_SCALAR = re.compile(rb'-?\d[\d.]*|"[^"]*"(?!\s*:)|true|false|null')


@st.composite
def _hostile(draw, sample):
    """Returns a sample with some values, members or bytes changed."""
    content = sample
    for _ in range(draw(st.integers(1, 3))):
        match draw(
            st.sampled_from(["value", "member", "twice", "cut", "bytes"])
        ):
            case "value":
                scalars = list(_SCALAR.finditer(content[:5_000]))
                if scalars:
                    found = draw(st.sampled_from(scalars))
                    literal = draw(st.sampled_from(_LITERALS))
                    content = (
                        content[: found.start()]
                        + literal
                        + content[found.end() :]
                    )
            case "member":
                literal = draw(st.sampled_from(_LITERALS))
                content = content.replace(b"{", b'{"x":' + literal + b",", 1)
            case "twice":
                first = re.search(rb'\{("[^"]*":)', content)
                if first:
                    literal = draw(st.sampled_from(_LITERALS))
                    content = content.replace(
                        b"{", b"{" + first[1] + literal + b",", 1
                    )
            case "cut":
                content = content[: draw(st.integers(0, len(content)))]
            case "bytes":
                at = draw(st.integers(0, len(content)))
                content = content[:at] + draw(st.binary()) + content[at:]
    return content


def _run(coroutine):
    return asyncio.run(coroutine)


class _Client:
    """A platform client that answers each call with the same content."""

    def __init__(self, status, body):
        self._response = platform_client.Response(status, body)

    async def call(self, *arguments, **options):
        return self._response


class _Objects:

    def __init__(self, body):
        self._body = body

    async def get(self, name, *, step):
        return self._body


_ENDPOINT_ROW = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "born": 1_780_000_000_123,
}


_LARGE_ROUTE = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path-prefix": "/p/",
            "service": "s",
            "priority": 2**53 - 1,
            "max-attempts": 2**53 - 1,
            "stretch": 2**53 - 1,
            "target-latency-ms": 2**53 - 1,
        }
    ],
}


def _decode_endpoint_row(content):
    match endpoint_rows.decode(row_store.Row("i-1", 7, content)):
        case endpoints.Endpoint() as endpoint:
            url = yarl.URL(endpoint.url)
            assert url.host
            assert 0 < url.port <= 65_535
            assert 0 <= endpoint.slots <= 100_000
            assert endpoint.offer.cores >= 0
            assert endpoint.group
        case endpoint_rows.Unusable() as unusable:
            assert unusable.reason


def _update_registry(content):
    registry = instance_registry.InstanceRegistry(
        clock=clocks.Clock(), fresh_s=5.0
    )
    registry.update("front-1", version=1, value=content)
    for instance in registry.instances:
        _, port = node.host_port(instance.address)
        assert 0 < port <= 65_535


def _read_rows(content):
    _run(row_store.RowStore(_Client(200, content)).read("t", step="read"))


def _write_rows(content):
    for status in (200, 412):
        store = row_store.RowStore(_Client(status, content))
        put = row_store.Put("t", "k", b"")
        try:
            _run(store.transact(puts=[put], step="write"))
        except errors.PlatformError:
            continue


def _decode_job(content):
    request = job_api._decode(
        content, key="a" * 16, arrived_at=1.0, timeout_s=2.0
    )
    large = json.dumps(_LARGE_ROUTE).encode()
    for queue in (
        catalogue.Queue("q", "h", "/", "s"),
        configuration.decode(large).queues[0],
    ):
        if acceptance.refusal(request, queue) is None:
            job = acceptance.job(request, queue, room=100)
            assert 1 <= job.count <= acceptance.MAX_TASKS
            # A job that cannot be encoded could not be offered to a leader.
            [offer] = codec.decode(
                codec.encode([messages.JobOffer(1, "dc1", job)])
            )
            assert offer.job.indices == job.indices


def _decode_lists(content):
    match order_client._decode_report(content):
        case order_client.orders.Report() as report:
            assert all(end.number >= 0 for end in report.ended)
            assert all(run.percent >= 0 for run in report.running)
        case order_client.orders.NoAnswer():
            pass


def _decode_orders(content):
    assert order_client._decode_answer(content).clock_ms >= 0
    for status in (200, 400, 409, 421, 429, 500, 503):
        order_client._decode_refusal(status, content)


def _adopt(content):
    known = endpoint_list.EndpointList(clock=clocks.Clock())
    watcher = endpoint_watcher.EndpointWatcher(
        store=None,
        endpoint_list=known,
        period_s=lambda: 1.0,
        changed=lambda: None,
    )
    watcher.adopt(content, source="front-2")
    for endpoint in known.live:
        assert endpoint.slots >= 0


def _find_handoff(content):
    store = handoffs.HandoffStore(
        objects=_Objects(content), clock=clocks.Clock()
    )
    _run(store.find("00000000000000ff"))


def _decode_claim(content):
    text = content.decode(errors="replace")
    claims._decode(table.Row("claims/k", 3, text))


def _read_lines(content):
    text = content.decode(errors="replace").replace("\n", " ")
    lines, _ = timeline.read([text], "a1")
    timeline.render(lines)


_ENDPOINT = {
    "id": "e1",
    "url": "http://10.0.0.1:80",
    "data_centre": "dc1",
    "slots": 8,
    "kinds": ["call"],
    "offer": {"cores": 1.0, "memory_mb": 5, "accelerators": 0},
}
_INSTANCE = {"id": "a", "data_centre": "dc1", "address": "10.0.0.1:80"}
_NODE_SETTINGS = {
    "instance_id": "a",
    "data_centre": "dc1",
    "data_centres": {"dc1": "r"},
    **dict.fromkeys(
        ("web", "ready", "peer", "metrics", "platform"), "10.0.0.1:80"
    ),
    "max_lease_ms": 1_000,
    "timing": {"heartbeat_s": 0.25},
}
_VERSION = document.Version(
    number=3,
    author="a",
    role=document.Role.OPERATIONS,
    change_id="c",
    summary="s",
    document=document.Document(),
)


@dataclasses.dataclass(frozen=True)
class _Decoder:
    """A decoder, a valid sample, and the error that it documents, if any."""

    decode: types.FunctionType
    sample: object
    error: type = ()


_ROW = {"table": "t", "key": "k", "value": "YQ==", "ver": 3}
_DECODERS = {
    "endpoint row": _Decoder(_decode_endpoint_row, _ENDPOINT_ROW),
    "instance row": _Decoder(
        _update_registry,
        {
            "data_centre": "dc1",
            "address": "10.0.0.1:80",
            "beat": 3,
            "written_ms": 5,
            "tokens": {"dc1": 7},
        },
    ),
    "configuration": _Decoder(
        configuration.decode,
        {
            "version": 3,
            "routes": [
                {
                    "name": "r",
                    "host": "h",
                    "path-prefix": "/p/",
                    "service": "s",
                    "priority": 1,
                    "max-attempts": 4,
                    "stretch": 1.5,
                    "target-latency-ms": 10,
                }
            ],
            "limits": {"max-body-bytes": 10, "idle-timeout-ms": 5},
        },
        errors.ConfigurationError,
    ),
    "rows": _Decoder(
        _read_rows,
        {"rows": [_ROW], "ver": 4, "has-more": False},
        errors.PlatformError,
    ),
    "transaction": _Decoder(_write_rows, {"rows": [_ROW], "ver": 4}),
    "job": _Decoder(
        _decode_job,
        {
            "spec": "s",
            "steps": [{"count": 2, "cpu": 500, "est-runtime-ms": 60}],
            "best-effort": True,
        },
        errors.MalformedError,
    ),
    "run lists": _Decoder(
        _decode_lists,
        {
            "clock-ms": 5,
            "born": 9,
            "running": [["t.0.0.1", 2, "", 41]],
            "ended": [[58, "t.0.0.2", 1, "done", ""]],
        },
    ),
    "order answer": _Decoder(_decode_orders, {"clock-ms": 5, "reason": "room"}),
    "adopted endpoints": _Decoder(_adopt, [_ENDPOINT, _ENDPOINT]),
    "instance list": _Decoder(
        listing.decode,
        {"version": 3, "entries": [_INSTANCE], "endpoints": [_ENDPOINT]},
        errors.MalformedError,
    ),
    "version": _Decoder(
        document.Version.from_json,
        json.loads(_VERSION.to_json()),
        errors.ConfigurationError,
    ),
    "document": _Decoder(
        document.Document.from_json,
        {"product": {"kinds": {"call": {"urgency": 1, "share": 2.0}}}},
        errors.ConfigurationError,
    ),
    "settings of an entry": _Decoder(
        settings.Settings.from_json, _NODE_SETTINGS, errors.SettingsError
    ),
    "settings of an instance": _Decoder(
        node.NodeSettings.from_json, _NODE_SETTINGS, errors.SettingsError
    ),
    "claim": _Decoder(
        _decode_claim,
        {
            "incarnation": "a",
            "data_centre": "dc1",
            "expiry_ms": 5,
            "token": "t",
        },
    ),
    "hand-off": _Decoder(
        _find_handoff, {"incarnation": "a", "outcomes": {}, "spent": ""}
    ),
    "operators' answer": _Decoder(
        lambda content: answers.decode_entry_answer(content, entry="a"),
        {"entry": "a", "rows": [{"kind": "call"}]},
        errors.PeerError,
    ),
    "log line": _Decoder(
        _read_lines, {"time": "t", "request": "a1", "message": "m", "runs": []}
    ),
}


class DecoderTest(unittest.TestCase):
    """Guards against processes and loops that end at malformed content."""

    def setUp(self):
        # Malformed content is logged, which is not what these tests are about.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _decode(self, name, content):
        decoder = _DECODERS[name]
        with contextlib.suppress(decoder.error):
            decoder.decode(content)

    def test_samples_are_valid(self):
        """A sample that is malformed itself would make the other tests void."""
        for name in ("endpoint row", "configuration", "rows", "job"):
            decoder = _DECODERS[name]
            decoder.decode(json.dumps(decoder.sample).encode())

    def test_large_and_deep_contents(self):
        for name, decoder in _DECODERS.items():
            sample = json.dumps(decoder.sample).encode()
            for content in (
                b"",
                _DEEP,
                b'{"x":' * 100_000,
                sample.replace(b"{", b'{"x":' + _DEEP + b",", 1),
                sample.replace(b"{", b'{"x":"' + b"a" * 16_000_000 + b'",', 1),
                b"\xff" * 1_000,
            ):
                with self.subTest(name, start=content[:30]):
                    self._decode(name, content)

    @_properties.examples(600)
    @hypothesis.given(st.data(), st.sampled_from(sorted(_DECODERS)))
    def test_changed_samples(self, data, name):
        sample = json.dumps(_DECODERS[name].sample).encode()
        self._decode(name, data.draw(_hostile(sample)))

    def test_good_items_of_a_list_are_kept(self):
        """One odd endpoint in a list must not cost the others."""
        bad = {**_ENDPOINT, "id": "bad", "slots": -1}
        text = json.dumps(
            {
                "version": 3,
                "entries": [_INSTANCE, {**_INSTANCE, "address": "x:99999"}],
                "endpoints": [_ENDPOINT, bad],
            }
        )
        decoded, malformed = listing.decode(text)
        self.assertEqual([e.id for e in decoded.endpoints], ["e1"])
        self.assertEqual(len(decoded.entries), 1)
        self.assertEqual(len(malformed), 2)

    @_properties.examples(300)
    @hypothesis.given(st.binary(max_size=400))
    def test_envelopes_of_arbitrary_bytes(self, content):
        """The bytes of an envelope, as grpclib passes them to protobuf."""
        try:
            envelope = peer_pb2.Envelope.FromString(content)
        except protobuf_message.DecodeError:
            return
        self._decode_envelope(envelope)

    @_properties.examples(300)
    @hypothesis.given(st.data())
    def test_envelopes_with_odd_values(self, data):
        """Guards against values that no release sends, such as infinite needs."""
        envelope = peer_pb2.Envelope()
        _fill(data.draw, envelope, depth=0)
        self._decode_envelope(envelope)

    def _decode_envelope(self, envelope):
        for item in envelope.items:
            try:
                decoded = codec.decode_item(item)
            except errors.PeerError:
                continue
            if isinstance(decoded, messages.JobOffer):
                self.assertGreaterEqual(decoded.job.count, 1)
                self.assertTrue(decoded.job.need.cores >= 0)
                self.assertTrue(decoded.job.deadline_at < float("inf"))


_INTEGERS = st.sampled_from([0, 1, 2**31 - 1, 2**31, 2**53, 2**63 - 1])
_FLOATS = st.sampled_from(
    [0.0, 1.0, -1.0, 1e308, float("inf"), -float("inf"), float("nan")]
)


def _fill(draw, message, depth):
    """Sets fields of a message to odd values, the nested ones included."""
    for field in message.DESCRIPTOR.fields:
        if not draw(st.booleans()):
            continue
        repeated = field.is_repeated
        if field.message_type is not None:
            if field.message_type.GetOptions().map_entry:
                continue
            for _ in range(draw(st.integers(1, 2)) if repeated else 1):
                nested = getattr(message, field.name)
                _fill(draw, nested.add() if repeated else nested, depth + 1)
            continue
        match field.cpp_type:
            case field.CPPTYPE_STRING if field.type == field.TYPE_BYTES:
                values = st.sampled_from([b"", b"\xff", b"{}"])
            case field.CPPTYPE_STRING:
                values = st.sampled_from(["", "a", "x" * 300])
            case field.CPPTYPE_BOOL:
                values = st.booleans()
            case field.CPPTYPE_DOUBLE | field.CPPTYPE_FLOAT:
                values = _FLOATS
            case field.CPPTYPE_ENUM:
                values = st.sampled_from([0, 1, 2, 3, 99])
            case field.CPPTYPE_INT32 | field.CPPTYPE_UINT32:
                values = st.sampled_from([0, 1, 2**31 - 1])
            case _:
                values = _INTEGERS
        value = draw(values)
        try:
            if repeated:
                getattr(message, field.name).append(value)
            else:
                setattr(message, field.name, value)
        except (ValueError, TypeError):
            continue
