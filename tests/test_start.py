"""The build compiles all modules of a controller, so that no start has to."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_build_leaves_bytecode_of_every_module_of_a_controller(tmp_path: Path) -> None:
    shutil.copytree(ROOT / "src", tmp_path / "src", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "run.py", tmp_path)
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    environment["PYTHONPATH"] = os.pathsep.join(sys.path)
    subprocess.run([sys.executable, str(tmp_path / "run.py"), "compile"], env=environment, check=True)
    compiled = {path.name.split(".")[0] for path in (tmp_path / "target" / "bytecode").rglob("src/ramptide/**/*.pyc")}
    modules = {path.stem for path in (ROOT / "src" / "ramptide").rglob("*.py")}
    assert len(modules) > 50
    assert modules <= compiled


def test_the_deploy_file_compiles_with_the_interpreter_and_flags_that_it_runs_with() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    program = deploy["run"].removesuffix(" --config")
    assert deploy["build"].endswith(f" && {program} compile")
