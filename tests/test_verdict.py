"""Tests of the test runner that ignores the failures in KNOWN-RED.txt."""

import contextlib
import io
import pathlib
import subprocess
import tempfile
import unittest
from unittest import mock

from tools import verdict

_KNOWN_RED = """\
# A line of the head.
test: tests.test_a.ATest.test_red
command: a
test: tests.test_a.ATest.test_flaky
intermittent: 1 of 3 runs
command: b
"""


class VerdictTest(unittest.TestCase):
    """Guards against a failure missing from the summary or the exit code.

    Only tests listed in KNOWN-RED.txt may fail without failing the run.
    """

    def run_main(self, **results):
        """Returns the exit code and output of a run with the given results.

        Args:
            **results: "pass" or "fail" by the name of the test.
        """
        cases = "".join(
            f'<testcase classname="tests.test_a.ATest" name="test_{name}">'
            + ("<failure/>" if result == "fail" else "")
            + "</testcase>"
            for name, result in results.items()
        )
        directory = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )
        known_red = directory / "known.txt"
        known_red.write_text(_KNOWN_RED, encoding="utf-8")
        report = directory / "report.xml"

        def run(*_, **__):
            report.write_text(f"<testsuite>{cases}</testsuite>")
            return subprocess.CompletedProcess(
                [], 1 if "fail" in results.values() else 0
            )

        output = io.StringIO()
        with (
            mock.patch.object(verdict, "_KNOWN_RED", known_red),
            mock.patch.object(verdict, "_REPORT", report),
            mock.patch.object(subprocess, "run", run),
            contextlib.redirect_stdout(output),
        ):
            return verdict.main(), output.getvalue()

    def test_intermittent_test_may_pass_or_fail(self):
        for result in ("pass", "fail"):
            code, output = self.run_main(red="fail", flaky=result, other="pass")
            self.assertEqual(code, 0, output)
            self.assertIn("test_flaky", output)
            self.assertIn(" 0 failed", output)

    def test_listed_test_must_not_pass(self):
        """Guards against entries that stay listed after the fault is fixed."""
        code, output = self.run_main(red="pass", flaky="fail", other="pass")
        self.assertEqual(code, 1, output)

    def test_unlisted_failure_fails_the_run(self):
        code, output = self.run_main(red="fail", flaky="pass", other="fail")
        self.assertEqual(code, 1, output)
        self.assertIn(" 1 failed", output)
