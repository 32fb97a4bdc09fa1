#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python files: the
# project's stand-ins run with what the build of the deploy file has put into
# target/deps, the review's own need nothing besides Python.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q standins review/lib
python3 -c 'import standins.object_store.app'
