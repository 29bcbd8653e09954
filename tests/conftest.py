"""Puts the sources on the import path; the libraries come from `target/ci` or from the environment."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
