#!/bin/sh
# Builds the stand-ins of the cases from 6 on: byte code of Python files of the standard library only, run by .edge.
set -eu
cd "$(dirname "$0")"
python=../.edge/bin/python
test -x "$python" || { echo "run the build line of deploy/balancer.toml first" >&2; exit 1; }
"$python" -m compileall -q standins2
