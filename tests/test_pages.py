"""Tests that the documentation pages are complete and name existing code."""

import ast
import dataclasses
import functools
import pathlib
import re
import unittest

from sesameroad.command_line import exits
from sesameroad.configuration import document
from sesameroad.model import instances
from sesameroad.model import outcomes
from sesameroad.model import scheduling
from sesameroad.operators import commands
from sesameroad.settings import node
from sesameroad.settings import settings
from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import metrics

_ROOT = pathlib.Path(__file__).parent.parent
_DOCS = _ROOT / "docs"
_PACKAGE = _ROOT / "sesameroad"
_CODE = (
    *("sesameroad", "tests", "tools", "benchmarks", "standins", "examples"),
)
_DIRECTORIES = {*_CODE, "deploy", "docs"}
_CODE_SPAN = re.compile(r"`([^`]+)`")
# A path such as `sesameroad/jobs` or `entry/web.py`.
_SLASH_PATH = re.compile(
    r"(?<![\w/.<>{}*-])\w+(?:/\w+)+(?:\.[a-z]+)?(?![\w/<{*])"
)
# A name such as `jobs.coordinator` or `Ledger.start`.
_DOTTED_NAME = re.compile(
    r"(?<![\w/.@-])[A-Za-z_]\w*(?:\.[A-Za-z_*]\w*)+(?![\w/-])"
)
_TEST_NAME = re.compile(r"(?<![\w.])(?:test_\w+|[A-Z]\w*Test)(?![\w.])")
_METRIC = re.compile(r"(?<![\w.])sesameroad_[a-z_]+")
# A package and the next cell of its row in a table, which lists its modules.
_PACKAGE_ROW = re.compile(r"(?m)^\| `(?:sesameroad/)?(\w+)` \|([^|]*)\|")
# The glossary lists names that were replaced in the first cells of this table.
_FORMER_NAMES_HEADING = "## Formerly\n"
_FIRST_CELL = re.compile(r"(?m)^\|[^|]*\|")
_FILE_SUFFIXES = {"json", "log", "md", "proto", "py", "toml", "txt"}


class PagesTest(unittest.TestCase):
    """Guards against settings, causes and commands missing from the pages."""

    def test_settings_page_has_every_field(self):
        page = (_DOCS / "settings.md").read_text()
        classes = (
            *(settings.Settings, settings.Limits),
            *(settings.Timing, settings.Operator),
            *(document.Kind, document.Product, document.Operations),
            *(document.DrainedSet, instances.Instance),
        )
        for settings_class in classes:
            for field in dataclasses.fields(settings_class):
                self.assertRegex(page, rf"`([a-z.*]+\.)?{field.name}(\.|`)")

    def test_settings_page_has_every_field_of_an_instance(self):
        page = (_DOCS / "settings.md").read_text()
        page = page.partition("# Settings of an instance on the platform")[2]
        for table, settings_class in (
            ("", node.NodeSettings),
            ("timing.", node.Timing),
            ("", scheduling.Scheduling),
            ("interference.", node.Interference),
        ):
            for field in dataclasses.fields(settings_class):
                if field.name not in {"timing", "scheduling", "interference"}:
                    self.assertIn(f"| `{table}{field.name}`", page)

    def test_callers_page_has_every_cause(self):
        page = (_DOCS / "callers.md").read_text()
        for cause in outcomes.Cause:
            self.assertIn(f"`{cause.value}`", page)

    def test_operators_page_has_the_whole_language(self):
        page = (_DOCS / "operators.md").read_text()
        names = [*commands.State, *commands.Topic, *commands.Level]
        for name in names:
            self.assertIn(name.value, page)
        for code, text in exits.MEANINGS.items():
            self.assertIn(
                f"| {code} | {text.replace('burn --check', '`burn --check`')} |",
                page,
            )


@dataclasses.dataclass(slots=True, frozen=True)
class _Module:
    """Names that a module defines.

    Attributes:
        names: Names at the top level.
        members: Names in the body of each class, by class.
    """

    names: frozenset[str]
    members: dict[str, frozenset[str]]


def _defined_names(body: list[ast.stmt]) -> frozenset[str]:
    names: set[str] = set()
    for statement in body:
        match statement:
            case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
                names.add(statement.name)
            case ast.Assign(targets=targets):
                names |= {t.id for t in targets if isinstance(t, ast.Name)}
            case ast.AnnAssign(target=ast.Name(id=name)):
                names.add(name)
    return frozenset(names)


def _code_files() -> list[pathlib.Path]:
    return [
        path for name in _CODE for path in sorted((_ROOT / name).rglob("*.py"))
    ]


@functools.cache
def _modules() -> dict[str, _Module]:
    """Returns all modules of the repository by dotted name."""
    modules = {}
    for path in _code_files():
        body = ast.parse(path.read_text()).body
        classes = [item for item in body if isinstance(item, ast.ClassDef)]
        parts = path.relative_to(_ROOT).with_suffix("").parts
        modules[".".join(parts).removesuffix(".__init__")] = _Module(
            _defined_names(body),
            {item.name: _defined_names(item.body) for item in classes},
        )
    return modules


@functools.cache
def _imported_libraries() -> frozenset[str]:
    """Returns the top-level names of all libraries that the code imports."""
    found: set[str] = set()
    for path in _code_files():
        for statement in ast.walk(ast.parse(path.read_text())):
            match statement:
                case ast.Import(names=names):
                    found |= {name.name.partition(".")[0] for name in names}
                case ast.ImportFrom(module=str(module)):
                    found.add(module.partition(".")[0])
    return frozenset(found - set(_CODE))


@functools.cache
def _settings_fields() -> frozenset[str]:
    """Returns the names of all settings, of which pages build dotted paths."""
    return frozenset(
        name
        for path in (_PACKAGE / "settings", _PACKAGE / "configuration")
        for module in path.glob("*.py")
        for statement in ast.parse(module.read_text()).body
        if isinstance(statement, ast.ClassDef)
        for name in _defined_names(statement.body)
    )


def _has_names(module: _Module, names: list[str]) -> bool:
    """Whether a module defines a name, or a class and a member of it."""
    match names:
        case []:
            return True
        case [name]:
            return name in module.names
        case [name, member]:
            return member in module.members.get(name, ())
    return False


def _exists(name: str) -> bool:
    """Whether a dotted name is defined in the repository or a library."""
    parts = name.split(".")
    modules = _modules()
    if (_PACKAGE / parts[0]).is_dir():
        parts = ["sesameroad", *parts]
    if parts[0] in _CODE:
        return any(
            ".".join(parts[:n]) in modules
            and _has_names(modules[".".join(parts[:n])], parts[n:])
            for n in range(1, len(parts) + 1)
        )
    if parts[0] in _imported_libraries():
        return True
    if all(part == "*" or part in _settings_fields() for part in parts):
        return True
    # A name without a package, such as `Ledger.start` or `work.Task`.
    return any(
        _has_names(module, parts)
        or (path.endswith(f".{parts[0]}") and _has_names(module, parts[1:]))
        for path, module in modules.items()
        if path.startswith("sesameroad.")
    )


def _path_exists(path: str) -> bool:
    """Whether a path from the root or from the package exists.

    Rows of the platform's tables have names such as `configuration/current`
    that the code contains as strings.
    """
    if any(
        candidate.exists()
        for root in (_ROOT, _PACKAGE)
        for candidate in (root / path, root / f"{path}.py")
    ):
        return True
    return any(
        f'"{path}"' in file.read_text() for file in _PACKAGE.rglob("*.py")
    )


def _is_code_path(path: str) -> bool:
    head = path.partition("/")[0]
    return head in _DIRECTORIES or (_PACKAGE / head).is_dir()


def _served_metrics() -> set[str]:
    """Returns the names of all metrics of an entry and of an instance."""
    entry = metrics.Metrics(
        lambda: metrics.Figures({}, 0, 0, 0, 0, 0, 0, 0, 0, 0)
    )
    names = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in entry.collect()
    }
    text = job_metrics.JobMetrics(
        lambda: job_metrics.Figures(0, 0, 0, 0.0, 0, 0, 0.0, 0, 0.0)
    ).render()
    return names | set(re.findall(r"# TYPE (\w+)", text.decode()))


class NamesTest(unittest.TestCase):
    """Guards against pages that name code which was renamed or removed.

    Readers follow these names into the code, and run the tests that the page
    of guarantees lists. Incidents, and the glossary's column of former names,
    describe the code of their time and are left out.
    """

    maxDiff = None

    def _spans(self) -> list[tuple[str, str]]:
        """Returns each text in backticks and the name of its page."""
        pages = [
            *sorted(_DOCS.glob("*.md")),
            *(_ROOT / "README.md", _ROOT / "CONTRIBUTING.md"),
        ]
        self.assertGreater(len(pages), 10)
        found = []
        for page in pages:
            # Indented blocks show commands and their output.
            text = re.sub(r"(?m)^    .*$", "", page.read_text())
            if page.name == "glossary.md":
                present, heading, former = text.partition(_FORMER_NAMES_HEADING)
                text = present + heading + _FIRST_CELL.sub("|", former)
            for paragraph in text.split("\n\n"):
                self.assertEqual(
                    paragraph.count("`") % 2, 0, f"{page.name}: {paragraph}"
                )
                found += [
                    (page.name, " ".join(span.split()))
                    for span in _CODE_SPAN.findall(paragraph)
                ]
        return found

    def _check(self, pattern, is_checked, exists, *, at_least):
        """Checks the names that a pattern finds on the pages.

        The lower limit keeps the test from passing because the pattern or
        the pages have changed and nothing is found.
        """
        found = {
            (page, name)
            for page, span in self._spans()
            for name in pattern.findall(span)
            if is_checked(name)
        }
        self.assertGreaterEqual(len({name for _, name in found}), at_least)
        missing = sorted(
            f"{page}: {name}" for page, name in found if not exists(name)
        )
        self.assertEqual(missing, [])

    def test_modules_classes_and_functions_exist(self):
        self._check(
            _DOTTED_NAME,
            lambda name: not name.startswith("tests.")
            and name.rpartition(".")[2] not in _FILE_SUFFIXES,
            _exists,
            at_least=50,
        )

    def test_paths_exist(self):
        self._check(_SLASH_PATH, _is_code_path, _path_exists, at_least=40)

    def test_tests_exist(self):
        self._check(
            _DOTTED_NAME,
            lambda name: name.startswith("tests."),
            _exists,
            at_least=50,
        )

    def test_tests_without_a_module_exist(self):
        names = {
            name
            for path, module in _modules().items()
            if path.startswith("tests.")
            for name in (
                *module.names,
                *(n for members in module.members.values() for n in members),
            )
        }
        self._check(_TEST_NAME, lambda _: True, names.__contains__, at_least=2)

    def test_modules_in_rows_of_packages_exist(self):
        found = [
            _PACKAGE / package / f"{name}.py"
            for page in sorted(_DOCS.glob("*.md"))
            for package, cell in _PACKAGE_ROW.findall(page.read_text())
            if (_PACKAGE / package).is_dir()
            for name in re.findall(r"`([a-z_]+)`", cell)
        ]
        self.assertGreaterEqual(len(set(found)), 60)
        missing = sorted(
            str(path.relative_to(_ROOT)) for path in found if not path.exists()
        )
        self.assertEqual(missing, [])

    def test_metrics_are_served(self):
        served = _served_metrics()
        self._check(_METRIC, lambda _: True, served.__contains__, at_least=20)
