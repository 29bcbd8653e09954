"""Access to the frozen files, which hold the expected results of the tests in this package."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

DATA_FOLDER = Path(__file__).resolve().parent / "data"


def read_text(name: str) -> str:
    """Return the text of a frozen file."""
    return (DATA_FOLDER / name).read_text(encoding="utf-8")


def read_lines(name: str) -> list[Any]:
    """Return the values of a file that has one JSON value on each line."""
    return [json.loads(line) for line in read_text(name).splitlines()]


def read_json(name: str) -> Any:
    """Return the value of a file that has one JSON value."""
    return json.loads(read_text(name))


def to_lines(values: list[Any]) -> str:
    """Return the text of a file that `read_lines` reads."""
    return "".join(json.dumps(value) + "\n" for value in values)


def write_text(name: str, text: str) -> None:
    """Write a frozen file, and create its folder if there is none."""
    path = DATA_FOLDER / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")


def record_traffic(scenario: str) -> list[list[str]]:
    """Return the traffic of a scenario, which is run in a process of its own.

    There PYTHONHASHSEED is 0, as in CI, because the traffic depends on the order of sets of strings.
    """
    command = [sys.executable, "-m", "compatibility.traffic", scenario]
    import_path = os.pathsep.join([str(Path(__file__).resolve().parents[1]), *sys.path])
    environment = os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": import_path}
    completed = subprocess.run(command, env=environment, stdout=subprocess.PIPE, check=True)
    return [json.loads(line) for line in completed.stdout.splitlines()]
