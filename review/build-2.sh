#!/bin/sh
# Builds what the scripts 6 to 10 start, after the `build` of deploy/balancer.toml.
# The stand-ins are Python files without dependencies; nothing is fetched.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q milletsill review/common review/6 review/7 review/8 \
    review/9 review/10
