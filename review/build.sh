#!/bin/sh
# Builds what the cases start besides the proxy: their stand-ins need the standard library alone, in the
# environment that the build line of deploy/balancer.toml has made for `sim`.
cd "$(dirname "$0")" && test -e ../.bench/ready && ../.bench/bin/python -m compileall -q .
