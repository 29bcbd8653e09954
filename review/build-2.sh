#!/bin/sh
# Prepares the stand-ins of the cases 4 to 7, which are Python modules: compiles them, with the libraries of the build.
cd "$(dirname "$0")/.." || exit 2
exec python3 -I -S -c '
import sys
sys.pycache_prefix = "target/bytecode"
sys.path[:0] = ["review"]
import harness_2
'
