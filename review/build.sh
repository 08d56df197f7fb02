#!/usr/bin/env bash
# Compiles the stand-ins and the scripts, which need nothing but Python 3.11.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
