"""The frozen files, and how they are read and written."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

DATA = Path(__file__).resolve().parent / "data"


def read_text(name: str) -> str:
    return (DATA / name).read_text(encoding="utf-8")


def read_lines(name: str) -> list[Any]:
    """A file with a JSON value on each line."""
    return [json.loads(line) for line in read_text(name).splitlines()]


def read_json(name: str) -> Any:
    return json.loads(read_text(name))


def to_lines(values: list[Any]) -> str:
    """The text of a file that `read_lines` reads."""
    return "".join(json.dumps(value) + "\n" for value in values)


def write_text(name: str, text: str) -> None:
    path = DATA / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")


def play(scenario: str) -> list[list[str]]:
    """The traffic of a scenario, played by a process with the order of sets that CI has."""
    program = [sys.executable, "-m", "compatibility.traffic", scenario]
    path = os.pathsep.join([str(Path(__file__).resolve().parents[1]), *sys.path])
    environment = os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": path}
    done = subprocess.run(program, env=environment, stdout=subprocess.PIPE, check=True)
    return [json.loads(line) for line in done.stdout.splitlines()]
