"""The thin program: puts the built libraries and the sources on the path and hands over."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE / "src"), str(HERE / "target" / "deps")]

from ramptide.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
