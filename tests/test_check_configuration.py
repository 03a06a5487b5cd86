"""Checks of a configuration before it is sent."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from aiohttp import web
import hypothesis
from hypothesis import strategies as st
import msgspec

from sesameroad import errors
from sesameroad.command_line import check_configuration  # noqa: F401
from sesameroad.command_line import exits
from sesameroad.command_line import main
from sesameroad.configuration import document
from sesameroad.model import endpoints
from sesameroad.operators import interpreter
from sesameroad.platform import configuration
from sesameroad.validation import checks
from sesameroad.validation import findings
from sesameroad.validation import inventory
from sesameroad.validation import json_positions
from standins import fleet as fleet_module
from standins import store
from tests import _properties

_DOCUMENT = {
    "product": {
        "kinds": {
            "checkout": {"urgency": 0, "share": 3.0, "target_ms": 900},
            "v.1:x": {"objective": 0.9},
        },
        "team_weights": {"shop": 2.0},
    },
    "operations": {
        "team_quotas": {"shop": 40, "a.b": 8},
        "kind_ceilings": {"checkout": 30},
        "drained": {"racks": ["r1"], "data_centres": ["dc9"]},
    },
}
_ROUTE = {
    "name": "a",
    "host": "h",
    "path-prefix": "/a/",
    "service": "s",
    "target-latency-ms": 60,
}
_PLATFORM = {"version": 2, "routes": [_ROUTE], "limits": {"max-body-bytes": 9}}
_INVENTORY = inventory.Inventory(
    [
        endpoints.Endpoint(
            id=f"e{number}",
            url="",
            data_centre=f"dc{number % 2}",
            rack="r1",
            slots=10,
            kinds=("checkout", "v.1:x"),
        )
        for number in range(4)
    ]
)

_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["checkout", "shop", "/a/", "dc0"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def _places(value, path=()):
    """Returns the paths of all values, and of one more field of each object."""
    paths = [path]
    match value:
        case dict():
            paths.append((*path, "new"))
            for name, child in value.items():
                paths += _places(child, (*path, name))
        case list():
            for index, child in enumerate(value):
                paths += _places(child, (*path, index))
    return paths


@st.composite
def _changed(draw, valid):
    """Draws a valid document with up to three of its values replaced."""
    changed = json.loads(json.dumps(valid))
    for _ in range(draw(st.integers(0, 3))):
        path = draw(st.sampled_from(_places(changed)))
        if not path:
            changed = draw(_JSON)
            continue
        parent = changed
        for part in path[:-1]:
            parent = parent[part]
        parent[path[-1]] = draw(_JSON)
    return json.dumps(changed).encode()


def _errors(result):
    return [f for f in result.found if f.severity is findings.Severity.ERROR]


def _codes(result):
    return {(f.code, findings.render(f.path)) for f in result.found}


class PropertyTest(unittest.TestCase):
    """Guards against a check that a document ends, or that misleads."""

    def check_document(self, content):
        result = checks.check_document(content, inventory=_INVENTORY)
        result.to_json()
        result.to_text()
        try:
            accepted = checks.decode_document(content).check()
        except errors.ConfigurationError:
            self.assertTrue(_errors(result), content)
            return
        version = document.Version(
            1, "a", document.Role.PRODUCT, "c", "s", accepted
        )
        decoded = document.Version.from_json(version.to_json())
        self.assertEqual(decoded.document, accepted)
        self.assertNotIn("invalid", {f.code for f in result.found})

    def check_queues(self, content):
        result = checks.check_queues(content, inventory=_INVENTORY)
        result.to_json()
        result.to_text()
        try:
            configuration.decode(content)
        except errors.ConfigurationError:
            self.assertTrue(_errors(result), content)
            return
        self.assertNotIn("invalid", {f.code for f in result.found})

    @_properties.examples(300)
    @hypothesis.given(_changed(_DOCUMENT))
    def test_document_that_passes_is_accepted_by_the_store(self, content):
        self.check_document(content)

    @_properties.examples(200)
    @hypothesis.given(_changed(_PLATFORM))
    def test_queues_that_pass_are_accepted_by_the_decoder(self, content):
        self.check_queues(content)

    @_properties.examples(200)
    @hypothesis.given(st.binary(max_size=60) | st.text().map(str.encode))
    @hypothesis.example(b"[" * 5_000)
    @hypothesis.example(b'{"product":' + b'{"a":' * 5_000)
    @hypothesis.example(b'{"product":' + b"[" * 900 + b"]" * 900 + b"}")
    @hypothesis.example(b'{"operations":{"retry_percent":%s}}' % (b"9" * 4_999))
    def test_any_content_is_answered(self, content):
        self.check_document(content)
        self.check_queues(content)

    @_properties.examples(100)
    @hypothesis.given(_changed(_DOCUMENT))
    def test_configuration_shown_by_an_entry_is_read_back(self, content):
        """Guards against a comparison with what is not in force."""
        try:
            shown = document.Document.from_json(content)
        except errors.ConfigurationError:
            return
        answer = interpreter._show_configuration(
            document.fallback_version(shown)
        )
        rows = msgspec.json.decode(msgspec.json.encode(answer.rows))
        self.assertEqual(checks.decode_document(checks.unflatten(rows)), shown)

    @_properties.examples(200)
    @hypothesis.given(_JSON)
    def test_each_field_has_its_line(self, value):
        text = json.dumps(value, indent=1)
        positions = json_positions.JsonPositions.from_text(text)
        lines = text.split("\n")
        for path in _places(value):
            if path[-1:] and isinstance(path[-1], str) and path[-1] != "new":
                line = lines[positions.line(path) - 1]
                self.assertIn(f"{json.dumps(path[-1])}:", line)


class RulesTest(unittest.TestCase):
    """Guards against a fault of each kind that is not reported."""

    def document(self, **sections):
        content = json.loads(json.dumps(_DOCUMENT))
        for section, fields in sections.items():
            content[section].update(fields)
        return json.dumps(content).encode()

    def test_rules_of_the_document(self):
        drained = {"data_centres": ["dc0", "dc1"], "workers": ["w"]}
        kinds = {"checkout": {"target_ms": 400_000}, "other": {}}
        cases = (
            (
                {"product": {"kinds": kinds}},
                ("target-beyond-timeout", "$.product.kinds.checkout.target_ms"),
            ),
            (
                {"product": {"kinds": kinds}},
                ("matches-nothing", "$.product.kinds.other"),
            ),
            (
                {"operations": {"spill_wait_ms": 1_000}},
                ("spill-beyond-target", "$.operations.spill_wait_ms"),
            ),
            (
                {"operations": {"team_quotas": {"shop": 0}}},
                ("never-runs", "$.operations.team_quotas.shop"),
            ),
            (
                {"operations": {"team_quotas": {"shop": 21}}},
                ("quota-over-total", "$.operations.team_quotas.shop"),
            ),
            (
                {"operations": {"kind_ceilings": {"checkout": 14}}},
                ("ceiling-under-floor", "$.operations.kind_ceilings.checkout"),
            ),
            (
                {"operations": {"drained": drained}},
                ("matches-nothing", "$.operations.drained.workers[0]"),
            ),
            (
                {"operations": {"drained": drained}},
                ("nothing-accepted", "$.operations.drained.data_centres"),
            ),
            (
                {"operations": {"kind_ceilings": {"gone": 1}}},
                ("invalid", "$.operations.kind_ceilings.gone"),
            ),
        )
        for sections, expected in cases:
            with self.subTest(expected=expected):
                content = self.document(**sections)
                result = checks.check_document(content, inventory=_INVENTORY)
                self.assertIn(expected, _codes(result))

    def test_rules_of_queues(self):
        second = {**_ROUTE, "name": "b"}
        late = {**second, "path-prefix": "/b/", "target-latency-ms": 0}
        cases = (
            ({}, ("shadowed", "$.routes[1].path-prefix")),
            ({"host": "H"}, ("shadowed", "$.routes[1].path-prefix")),
            ({"name": "a"}, ("duplicate-name", "$.routes[1].name")),
            ({"host": "h:80"}, ("matches-nothing", "$.routes[1].host")),
            (
                {"path-prefix": "b"},
                ("matches-nothing", "$.routes[1].path-prefix"),
            ),
            ({"service": "t"}, ("matches-nothing", "$.routes[1].service")),
            ({"advice": {}}, ("never-runs", "$.routes[1].advice")),
            (
                {"target-latency-ms": 40_000},
                ("target-beyond-timeout", "$.routes[1].target-latency-ms"),
            ),
            (
                {**late, "stretch": 0.5},
                ("target-under-work", "$.routes[1].stretch"),
            ),
            (
                {**late, "max-attempts": 4},
                ("attempts-do-not-fit", "$.routes[1].max-attempts"),
            ),
        )
        for change, expected in cases:
            with self.subTest(expected=expected):
                routes = [_ROUTE, {**second, **change}]
                content = json.dumps({**_PLATFORM, "routes": routes}).encode()
                result = checks.check_queues(content, inventory=_INVENTORY)
                self.assertIn(expected, _codes(result))

    def test_valid_configurations_have_no_findings(self):
        drained = {"drained": {}, "team_quotas": {"shop": 9}}
        content = self.document(operations=drained)
        result = checks.check_document(content, inventory=_INVENTORY)
        self.assertEqual(result.found, [])
        result = checks.check_queues(json.dumps(_PLATFORM).encode())
        self.assertEqual(result.found, [])

    def test_all_errors_are_reported_with_their_lines(self):
        """Guards against an author who must send a file once per error."""
        content = b"""{"number": 1, "document": {
            "product": {"kinds": {"a": {"target_ms": 0},
              "b.c": {"share": 1, "urgency": true, "share": 2},
              "d d": {}}, "surplus": 1},
            "operations": {"drained": {"racks":
              ["?", "r",
               "!"]}}}}"""
        found = checks.check_document(content).found
        self.assertEqual(
            [(f.line, f.path[2:]) for f in found if f.code == "invalid"],
            [
                (2, ("kinds", "a", "target_ms")),
                (3, ("kinds", "b.c", "urgency")),
                (4, ("kinds", "d d")),
                (4, ("surplus",)),
                (6, ("drained", "racks", 0)),
                (7, ("drained", "racks", 2)),
            ],
        )
        self.assertIn("duplicate-field", {f.code for f in found})


class ChangesTest(unittest.TestCase):
    """Guards against a diff of the text instead of its meaning."""

    def test_same_meaning_has_no_changes(self):
        before = document.Document.from_json(json.dumps(_DOCUMENT).encode())
        content = msgspec.to_builtins(before)
        content["product"]["kinds"] = dict(
            reversed(content["product"]["kinds"].items())
        )
        result = checks.check_document(
            json.dumps(content).encode(), against=before
        )
        self.assertEqual(result.changes, [])

    def test_changes_of_documents_and_queues(self):
        before = document.Document.from_json(json.dumps(_DOCUMENT).encode())
        content = json.loads(json.dumps(_DOCUMENT))
        content["product"]["kinds"]["checkout"]["target_ms"] = 800
        del content["operations"]["team_quotas"]["a.b"]
        result = checks.check_document(
            json.dumps(content).encode(), against=before
        )
        self.assertEqual(
            [(c.path[-1], c.before, c.after) for c in result.changes],
            [("a.b", 8, None), ("target_ms", 900, 800)],
        )
        queues = configuration.decode(json.dumps(_PLATFORM).encode())
        routes = [{**_ROUTE, "name": "b", "path-prefix": "/b/"}, _ROUTE]
        for version, codes in (
            (2, {("never-in-force", "$.version")}),
            (3, set()),
        ):
            result = checks.check_queues(
                json.dumps(
                    {**_PLATFORM, "version": version, "routes": routes}
                ).encode(),
                against=queues,
            )
            self.assertEqual(_codes(result), codes)
            self.assertEqual({c.path[1] for c in result.changes}, {"b"})


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Guards against exit codes and output that a script cannot rely on."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def file(self, name, content):
        path = self.directory / name
        path.write_text(json.dumps(content))
        return str(path)

    def run_command(self, *arguments):
        with (
            contextlib.redirect_stdout(io.StringIO()) as out,
            contextlib.redirect_stderr(io.StringIO()) as err,
        ):
            code = main.main(["sesameroad", "check-configuration", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_exit_codes_and_json(self):
        own = self.file("own.json", _DOCUMENT)
        bad = self.file("bad.json", {"product": 1})
        platform = self.file("platform.json", _PLATFORM)
        newer = self.file("newer.json", {**_PLATFORM, "version": 3})
        row = {
            "service": "other",
            "address": "10.0.0.1:80",
            "zone": "dc1",
            "state": "ready",
        }
        rows = self.file("rows.json", {"e1": row})
        listed = self.file(
            "list.json",
            {
                "version": 1,
                "endpoints": [{"id": "e", "url": "", "data_centre": "dc1"}],
            },
        )
        cases = (
            ((own,), exits.OK),
            ((f"--endpoints={listed}", own), exits.OK),
            ((f"--endpoints={listed}", "--strict", own), exits.INVALID),
            ((bad,), exits.INVALID),
            ((f"--against={own}", own), exits.OK),
            ((f"--against={bad}", own), exits.USAGE),
            (("--platform", platform), exits.OK),
            (("--platform", f"--endpoints={rows}", platform), exits.OK),
            (("--platform", f"--endpoints={own}", platform), exits.USAGE),
            (("--platform", f"--against={platform}", newer), exits.OK),
            (("--platform", f"--against={newer}", platform), exits.INVALID),
            ((), exits.USAGE),
            (("/nonexistent",), exits.USAGE),
            (("--url=http://127.0.0.1:1", own), exits.USAGE),
            (
                ("--url=http://127.0.0.1:1", f"--token_file={own}", own),
                exits.UNREACHABLE,
            ),
            (
                ("--platform", "--url=http://127.0.0.1:1", platform),
                exits.UNREACHABLE,
            ),
        )
        for arguments, expected in cases:
            with self.subTest(arguments=arguments):
                code, out, err = self.run_command("--json", *arguments)
                self.assertEqual(code, expected, out + err)
                if code in (exits.OK, exits.INVALID):
                    content = json.loads(out)
                    self.assertEqual(
                        len(content["findings"]),
                        content["errors"] + content["warnings"],
                    )
                else:
                    self.assertTrue(err)
        code, out, _ = self.run_command(bad)
        self.assertIn("error line 1 $.product invalid", out)

    async def test_version_in_force_is_read_from_an_entry(self):
        token = self.directory / "token"
        token.write_text(fleet_module.PRODUCT_TOKEN)
        content = msgspec.to_builtins(fleet_module.default_document())
        content["product"]["kinds"]["checkout"]["target_ms"] = 501
        own = self.file("own.json", content)
        async with fleet_module.Fleet.open(
            data_centres=1, endpoints_each=1
        ) as fleet:
            code, out, err = await asyncio.to_thread(
                self.run_command,
                f"--url={fleet.entries['dc1-entry1'].url}",
                f"--token_file={token}",
                "--json",
                own,
            )
        self.assertEqual(code, exits.OK, out + err)
        path = ["product", "kinds", "checkout", "target_ms"]
        self.assertEqual(
            json.loads(out)["changes"],
            [{"path": path, "before": 500, "after": 501}],
        )

    async def test_version_in_force_is_read_from_the_store(self):
        platform = store.Store()
        await platform.put("op", "config", _PLATFORM)
        runner = web.AppRunner(platform.application(), access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = fleet_module.free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        code, out, err = await asyncio.to_thread(
            self.run_command,
            "--platform",
            f"--url=http://127.0.0.1:{port}",
            self.file("newer.json", {"version": 3, "routes": [_ROUTE]}),
        )
        self.assertEqual(code, exits.OK, out + err)
        self.assertIn("changed $.limits.max_body_bytes 9 -> 262144", out)


if __name__ == "__main__":
    unittest.main()
