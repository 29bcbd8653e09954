"""The thin program: puts the built libraries and the sources on the path and hands over."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE / "src"), str(HERE / "target" / "deps")]
# The build compiles the modules into here. Without it a process that may not write beside the sources would compile
# all of them at each start.
sys.pycache_prefix = str(HERE / "target" / "bytecode")

from ramptide.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
