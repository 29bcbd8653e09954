#!/bin/sh
# Compiles the stand-ins that the cases start: the project's own in tests/virtual, and review/harness.py.
# The build of deploy/service.toml has to run first, as it installs the libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX=target/bytecode PYTHONPATH=review:src:tests:target/deps
python3 -m compileall -q src tests/virtual review
python3 -c "import harness"
