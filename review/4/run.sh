#!/usr/bin/env bash
# Plays the case. 1: the rule was broken, 0: it held, 2: it could not run.
exec "$(dirname "$0")/../lib/run" "$(basename "$(cd "$(dirname "$0")" && pwd)")"
