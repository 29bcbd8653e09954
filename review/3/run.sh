#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPYCACHEPREFIX=target/bytecode PYTHONPATH=review:src:tests:target/deps exec python3 review/3/case.py
