#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: they need Python 3.11 and
# its standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q second 4 5 6 7
