#!/usr/bin/env bash
# Plays the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/deps/.complete ] || exit 2
PYTHONPATH=".:target/deps" exec python3 review/5/case.py
