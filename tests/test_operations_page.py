"""Tests of the on-call page (docs/OPERATIONS.md) and of its examples."""

import pathlib
import re
import unittest

from sesameroad.telemetry import job_metrics
from sesameroad.telemetry import timeline

_ROOT = pathlib.Path(__file__).parent.parent
_PAGE = (_ROOT / "docs" / "OPERATIONS.md").read_text()
_LOGS = (_ROOT / "tests" / "data" / "requests.log").read_text().splitlines()


def _sources() -> str:
    return "\n".join(
        path.read_text() for path in (_ROOT / "sesameroad").rglob("*.py")
    )


class PageTest(unittest.TestCase):
    """Guards against unknown names and missing metrics on the page."""

    def test_each_log_line_on_the_page_is_written_by_the_code(self):
        table = _PAGE.partition("| `message` |")[2].partition("\n\n")[0]
        names = [
            name
            for row in table.splitlines()[2:]
            for name in re.findall(r"`([^`]+)`", row.split("|")[1])
        ]
        self.assertGreater(len(names), 15)
        sources = _sources()
        for name in names:
            # The messages of a dependency are built from its name.
            known = name.removeprefix("... ").removesuffix(" is lost")
            self.assertIn(known, sources)

    def test_each_metric_on_the_page_exists_and_none_is_missing(self):
        figures = job_metrics.Figures(1, 2, 1, 8.0, 0, 0, 0.5, 0, 0.0)
        text = job_metrics.JobMetrics(lambda: figures).render().decode()
        table = _PAGE.partition("## Metrics")[2].partition("## What")[0]
        named = set(re.findall(r"`(sesameroad_[a-z_]+)`", table))
        served = {
            line.split()[2] for line in text.splitlines() if "# TYPE" in line
        }
        # prometheus_client adds a creation time to each counter.
        served = {name for name in served if not name.endswith("_created")}
        self.assertEqual(named, served)


class ExplainTest(unittest.TestCase):
    """Guards against wrong causes for recorded logs of real runs.

    The page shows these requests as examples.
    """

    def explain(self, request):
        """Returns the timeline of a request."""
        lines, unreadable = timeline.read(_LOGS, request)
        self.assertEqual(unreadable, 0)
        return timeline.render(lines)

    def test_refused_request(self):
        text = self.explain("f30ab8af5f162a2e")
        self.assertIn("cause: not run: overload", text)
        self.assertNotIn("missing", text)

    def test_late_answer_names_the_endpoint(self):
        text = self.explain("7c2dde24cc7ccb14")
        self.assertIn("cause: answered late, 785 of 187 ms", text)
        self.assertIn("i-fffa5a4ca8", text.splitlines()[-1])

    def test_request_of_a_killed_origin_names_the_missing_line(self):
        text = self.explain("d0d0d0d0d0d0d0d0")
        self.assertIn("missing: the line 'caller answered'", text)
        self.assertIn("cause: never answered", text)

    def test_unknown_request_is_reported_as_unknown(self):
        self.assertIn("missing: every line", self.explain("0" * 16))

    def test_damaged_line_is_counted(self):
        _, unreadable = timeline.read(['{"request": "aa", '], "aa")
        self.assertEqual(unreadable, 1)
