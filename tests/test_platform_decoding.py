"""Decoding of rows and responses written by the operator and by endpoints."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from sesameroad import errors
from sesameroad.leasing import orders
from sesameroad.platform import configuration
from sesameroad.platform import endpoint_rows
from sesameroad.platform import order_client
from sesameroad.platform import row_store

_ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 1_500,
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "born": 1_780_000_000_123,
    "seq": 4,
}


def _row(value: bytes) -> row_store.Row:
    return row_store.Row("i-1", 7, value)


class EndpointRowTest(unittest.TestCase):

    def test_fields_and_units(self):
        endpoint = endpoint_rows.decode(_row(json.dumps(_ENTRY).encode()))
        self.assertEqual(endpoint.id, "i-1")
        self.assertEqual(endpoint.url, "http://10.0.0.1:80")
        self.assertEqual(endpoint.offer.cores, 16.0)
        self.assertEqual(endpoint.offer.accelerators, 1)
        self.assertEqual(endpoint.labels, ("a", "r1-3"))
        self.assertEqual(endpoint.born_ms, 1_780_000_000_123)
        self.assertFalse(endpoint.leaving)
        self.assertEqual(endpoint.cold_remaining_ms, 1_500)

    def test_draining_endpoint_is_leaving(self):
        # An odd value of a hint does not cost the endpoint.
        entry = {**_ENTRY, "state": "draining", "remaining-ms": 900}
        entry["cold-remaining-ms"] = "x"
        self.assertTrue(
            endpoint_rows.decode(_row(json.dumps(entry).encode())).leaving
        )

    def test_malformed_rows_are_skipped(self):
        """Guards against an incomplete row used as an endpoint without room."""
        for change in (
            {"state": "asleep"},
            {"state": 3},
            {"service": None},
            {"address": "nowhere"},
            {"address": ":"},
            {"capacity": "much"},
            {"labels": [1]},
        ):
            text = json.dumps({**_ENTRY, **change}).encode()
            self.assertIsInstance(
                endpoint_rows.decode(_row(text)), endpoint_rows.Unusable, change
            )
        for missing in ("service", "address", "zone", "state"):
            entry = {k: v for k, v in _ENTRY.items() if k != missing}
            text = json.dumps(entry).encode()
            self.assertIsInstance(
                endpoint_rows.decode(_row(text)),
                endpoint_rows.Unusable,
                missing,
            )

    @hypothesis.given(strategies.binary())
    def test_arbitrary_bytes_do_not_raise(self, value):
        endpoint_rows.decode(_row(value))


class ConfigurationTest(unittest.TestCase):

    def test_longest_path_prefix_of_the_host_is_chosen(self):
        document = {
            "version": 7,
            "routes": [
                _route("short", "a.example", "/a/"),
                _route("long", "a.example", "/a/b/"),
                _route("other", "b.example", "/a/"),
            ],
            "services": [],
            "limits": {"max-body-bytes": 5, "idle-timeout-ms": 2_000},
        }
        catalogue = configuration.decode(json.dumps(document).encode())
        self.assertEqual(catalogue.version, 7)
        self.assertEqual(catalogue.find("a.example", "/a/b/c").name, "long")
        self.assertEqual(catalogue.find("A.example:80", "/a/c").name, "short")
        self.assertEqual(catalogue.find("b.example", "/a/b/c").name, "other")
        self.assertIsNone(catalogue.find("c.example", "/a/b/c"))
        self.assertIsNone(catalogue.find("a.example", "/c"))
        self.assertEqual(catalogue.limits.max_body_bytes, 5)
        self.assertEqual(catalogue.limits.idle_timeout_s, 2.0)

    def test_queue_with_advice_is_marked(self):
        """Guards against starting tasks that endpoints reject without a ticket.

        Endpoints of a queue with advice run a task only with a ticket of the
        advice service.
        """
        advice = {"decision-ms": 20, "each-ms": 1, "valid-ms": 3_000}
        document = {
            "version": 1,
            "routes": [
                _route("plain", "a.example", "/a/"),
                _route("advised", "a.example", "/b/") | {"advice": advice},
            ],
        }
        catalogue = configuration.decode(json.dumps(document).encode())
        self.assertFalse(catalogue.find("a.example", "/a/").advised)
        self.assertTrue(catalogue.find("a.example", "/b/").advised)

    def test_malformed_document_is_an_error(self):
        for text in (b"", b"{}", b'{"version":"x"}', b"\xff"):
            with self.assertRaises(errors.ConfigurationError):
                configuration.decode(text)


def _route(name, host, prefix):
    return {
        "name": name,
        "host": host,
        "path-prefix": prefix,
        "service": "s",
        "kind": "unsafe",
        "timeout-ms": 1500,
        "target-latency-ms": 60,
        "priority": 1,
        "max-attempts": 4,
        "stretch": 1.6,
    }


class RunListsTest(unittest.TestCase):

    def test_running_and_ended_runs(self):
        text = json.dumps(
            {
                "clock-ms": 482_113,
                "born": 5,
                "running": [["k.0.0.1", 2, "", 41, 900]],
                "ended": [
                    [58, "k.0.0.0", 1, "done", ""],
                    [59, "k.0.0.2", 1, "alone", ""],
                ],
            }
        ).encode()
        report = order_client._decode_report(text)
        self.assertEqual(
            report,
            orders.Report(
                482_113,
                5,
                (orders.RunningTask("k.0.0.1", 2, 41),),
                (
                    orders.End(58, "k.0.0.0", 1, orders.Ending.DONE),
                    orders.End(59, "k.0.0.2", 1, orders.Ending.OTHER),
                ),
            ),
        )

    def test_malformed_lists_count_as_no_answer(self):
        """Guards against an empty report, which would mark all runs as lost."""
        for text in (b"", b"{}", b'{"clock-ms":1,"running":[[1]],"ended":[]}'):
            self.assertIsInstance(
                order_client._decode_report(text), orders.NoAnswer
            )
