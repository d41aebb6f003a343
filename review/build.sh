#!/usr/bin/env bash
# Builds what the scripts start besides the deploy file's build: their stand-ins are
# Python, so they are only compiled, which shows that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review tests/harness dotterelpitch/standins
