#!/usr/bin/env bash
# Builds what the scripts of the second review start. The stand-ins are Python like the
# project, so it checks that the build of the deploy file is there and that they load.
# It leaves no files in review/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e target/deps/.complete ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m compileall -q standins
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib
from review import scene
for case in [6, 7, 8, 9, 10]:
    path = pathlib.Path("review", str(case), "case.py")
    compile(path.read_text(), path, "exec")
'
