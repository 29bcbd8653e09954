"""The compilation of all modules during the build.

The tests guard against a module without bytecode, and against bytecode of another interpreter or other flags: every
start of a controller would then have to compile modules first.
"""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_build_writes_bytecode_of_every_module(tmp_path: Path) -> None:
    shutil.copytree(ROOT / "src", tmp_path / "src", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "run.py", tmp_path)
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    environment["PYTHONPATH"] = os.pathsep.join(sys.path)
    subprocess.run([sys.executable, str(tmp_path / "run.py"), "compile"], env=environment, check=True)
    compiled_modules = {
        path.name.split(".")[0] for path in (tmp_path / "target" / "bytecode").rglob("src/ramptide/**/*.pyc")
    }
    modules = {path.stem for path in (ROOT / "src" / "ramptide").rglob("*.py")}
    assert len(modules) > 50
    assert modules <= compiled_modules


def test_deploy_file_compiles_with_the_same_interpreter_and_flags_as_it_runs_with() -> None:
    service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    command = service["run"].removesuffix(" --config")
    assert service["build"].endswith(f" && {command} compile")
