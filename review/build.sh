#!/bin/sh
# Builds every stand-in that a case starts: they are Python files of this folder.
# Run it after the `build` command of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
