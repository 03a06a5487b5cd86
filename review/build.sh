#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python like the project, so it only
# checks that they compile and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 2
[ -e target/deps/.complete ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m compileall -q standins review
