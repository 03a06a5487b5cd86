#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15, after the build of the deploy file. They need
# no packages beyond those in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
PYTHONPATH=target/deps:. python3 -c "import review.testbed"
