#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: Python on the standard library alone, compiled beforehand.
# The build command of the deploy file comes first; it makes .venv.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/common review/[0-9]
