#!/bin/sh
# Builds what the scripts of the second review start, beside the planner itself, which the deploy file builds: the stand-ins
# need nothing but the planner's own interpreter, so they are only compiled.
set -eu
cd "$(dirname "$0")"
for folder in common-2 6 7 8 9 10; do
    test ! -d "$folder" || ../.venv/bin/python -m compileall -q "$folder"
done
