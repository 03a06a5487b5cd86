"""Runs the tests with nose2 and prints one closing line.

A test named in KNOWN-RED.txt (a line that starts with "test: ") may fail
without failing the run; it is printed. Any other failure fails the run, and so
does a listed test that passes, because its entry is then out of date. An entry
with a line that starts with "intermittent: " allows both; the result is
printed.
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
    """Returns the listed tests, and those among them that may also pass."""
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
    """Runs nose2 and returns the exit code of the run."""
    _REPORT.unlink(missing_ok=True)
    run = subprocess.run(
        [sys.executable, "-m", "nose2", *sys.argv[1:]], check=False
    )
    if not _REPORT.exists():
        print("nose2 wrote no report")
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
    # nose2 also exits non-zero for import errors that have no test case.
    if run.returncode != 0 and not failed:
        return run.returncode
    return 1 if unexpected or outdated or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
