"""The executable script: puts the sources and the built libraries on the import path and runs the command line."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE / "src"), str(HERE / "target" / "deps")]
# The build writes the bytecode of the modules here. Without it a process that may not write beside the sources would
# compile all modules at each start.
sys.pycache_prefix = str(HERE / "target" / "bytecode")

from ramptide.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
