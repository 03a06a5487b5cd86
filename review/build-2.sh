#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They are
# Python and use the libraries that the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/scene.py review/[6-9] review/10
PYTHONPATH="target/deps:." python3 -c "from review import scene"
