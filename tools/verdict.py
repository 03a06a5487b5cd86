"""Runs the tests with nose2 and prints a summary.

A test listed in KNOWN-RED.txt, by a line that starts with "test: ", may fail
without failing the run; its name is printed. Any other failure fails the run.
A listed test that passes fails the run as well, because its entry is out of
date, unless the entry has a line that starts with "intermittent: ". The result
of such a test is printed.
"""

import pathlib
import subprocess
import sys
from xml.etree import ElementTree

_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
_REPORT = pathlib.Path("build/nose2-junit.xml")
_TEST_PREFIX = "test: "
_INTERMITTENT_PREFIX = "intermittent: "


def _known_red() -> tuple[set[str], set[str]]:
    """Returns the listed tests, and the intermittent ones among them."""
    listed: set[str] = set()
    intermittent: set[str] = set()
    name = ""
    for line in _KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.startswith(_TEST_PREFIX):
            name = line.removeprefix(_TEST_PREFIX).strip()
            listed.add(name)
        elif line.startswith(_INTERMITTENT_PREFIX) and name:
            intermittent.add(name)
    return listed, intermittent


def _results() -> tuple[set[str], set[str], int]:
    """Returns the passed and failed tests, and the number of skipped ones."""
    passed: set[str] = set()
    failed: set[str] = set()
    skipped = 0
    for case in ElementTree.parse(_REPORT).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(name)
        elif case.find("skipped") is not None:
            skipped += 1
        else:
            passed.add(name)
    return passed - failed, failed, skipped


def main() -> int:
    """Runs nose2 and returns the exit code."""
    _REPORT.unlink(missing_ok=True)
    run = subprocess.run(
        [sys.executable, "-m", "nose2", *sys.argv[1:]], check=False
    )
    if not _REPORT.exists():
        print("nose2 did not write the report")
        return run.returncode or 1
    passed, failed, skipped = _results()
    known, intermittent = _known_red()
    for name in sorted(failed & known):
        print(f"known red: {name}")
    for name in sorted(passed & intermittent):
        print(f"known red, intermittent, passed this time: {name}")
    outdated = passed & known - intermittent
    for name in sorted(outdated):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    unexpected = failed - known
    print(f"{len(passed)} passed, {len(unexpected)} failed, {skipped} skipped")
    # nose2 also fails for import errors, which have no test case in the report.
    if run.returncode != 0 and not failed:
        return run.returncode
    return 1 if unexpected or outdated or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
