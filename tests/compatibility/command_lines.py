"""Calls of the command line and files that operators write, with what comes of them."""

import contextlib
import io
import json
import os
import re
from pathlib import Path
from typing import Any
from unittest.mock import patch

from compatibility import codecs

#: Arguments; FOLDER stands for a folder with the files below.
CASES: list[list[str]] = [
    ["--version"],
    [],
    ["--nothing"],
    ["--config"],
    ["--config", "FOLDER/none.json"],
    ["--config", "FOLDER/broken.json"],
    ["--config", "FOLDER/no_member.json"],
    ["--config", "FOLDER/address.json"],
    ["--config", "FOLDER/names.json"],
    ["--config", "FOLDER/teams.json"],
    ["--config", "FOLDER/lease.json"],
    ["--config", "FOLDER/cancel.json"],
    ["--config", "FOLDER/good.json", "--parts", "FOLDER/none.toml"],
    ["--config", "FOLDER/good.json", "--parts", "FOLDER/unknown_part.toml"],
    ["--config", "FOLDER/good.json", "LOG_LEVEL=loud"],
    ["--config", "FOLDER/unbindable.json"],
    ["run"],
    ["admin"],
    ["admin", "status"],
    ["admin", "--address", "127.0.0.1:9"],
    ["admin", "--address", "nowhere", "status"],
    ["admin", "--address", "127.0.0.1:9", "forget"],
    ["admin", "--address", "127.0.0.1:9", "set"],
    ["admin", "--address", "127.0.0.1:9", "set", "cooldown=soon"],
    ["admin", "--address", "127.0.0.1:9", "quota", "red"],
    ["admin", "--address", "127.0.0.1:9", "quota", "red", "cpus=1", "--reset"],
    ["admin", "--address", "127.0.0.1:9", "quota", "red", "cpus"],
    ["admin", "--address", "127.0.0.1:1", "status"],
    ["quota"],
    ["quota", "plan"],
    ["quota", "plan", "FOLDER/none.toml"],
    ["quota", "plan", "FOLDER/broken.toml"],
    ["quota", "plan", "FOLDER/plan.toml"],
    ["quota", "plan", "FOLDER/impossible.toml"],
]

SETTINGS: dict[str, Any] = {
    "member": "c0", "area": "a", "client_listen": "127.0.0.1:0", "peer_bind": "127.0.0.1:0", "siblings": [],
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "cluster": {
        "nodes": 1, "teams": [], "objectives": [], "workers": {"report_s": 1.0, "lease_s": 5.0, "cancel_s": 20.0},
        "state": {"rps": 10.0, "write_rps": 5.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 1.0},
    },
}  # fmt: skip
MACHINES = '[[machines]]\ntype = "m"\nzone = "a"\ncount = 4\ncores = 8\nram_gb = 32\n'
TEAM = '[[teams]]\nname = "red"\ntask = {cores = 2, ram_gb = 4}\n'


def _cluster(**changes: Any) -> dict[str, Any]:
    return SETTINGS | {"cluster": SETTINGS["cluster"] | changes}


def write_files(folder: Path) -> None:
    workers = SETTINGS["cluster"]["workers"]
    values = {
        "good": SETTINGS,
        "no_member": {name: value for name, value in SETTINGS.items() if name != "member"},
        "address": SETTINGS | {"outside": {"cloud": "127.0.0.1:3", "state": "nowhere"}},
        "names": SETTINGS | {"siblings": [{"member": "c0", "area": "a", "addr": "127.0.0.1:5"}]},
        "teams": _cluster(teams=[{"name": "red"}, {"name": "red"}]),
        "lease": _cluster(workers=workers | {"lease_s": 1.0}),
        "cancel": _cluster(workers=workers | {"cancel_s": 5.0}),
        "unbindable": SETTINGS | {"client_listen": "127.0.0.1:0", "peer_bind": "192.0.2.1:1"},
    }
    for name, value in values.items():
        (folder / f"{name}.json").write_text(json.dumps(value))
    (folder / "broken.json").write_text("{")
    (folder / "unknown_part.toml").write_text("[quota]\nenabled = true\n[other]\n")
    (folder / "broken.toml").write_text("[[machines")
    (folder / "plan.toml").write_text(MACHINES + TEAM + "cpus = 16\ncpus_max = 32\n")
    (folder / "impossible.toml").write_text(MACHINES + TEAM + "cpus = 40\ncpus_max = 48\n")


def result(arguments: list[str], folder: Path) -> dict[str, Any]:
    """The exit status, the output and the last line of errors; usage lines differ between interpreters."""
    write_files(folder)
    environment = dict(one.split("=") for one in arguments if one.startswith("LOG_LEVEL="))
    given = [one.replace("FOLDER", str(folder)) for one in arguments if "LOG_LEVEL" not in one]
    out, err = io.StringIO(), io.StringIO()
    with (
        patch.dict(os.environ, environment),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        status = codecs.run_command(given)
    errors = err.getvalue().replace(str(folder), "FOLDER").splitlines()
    return {"arguments": arguments, "status": status, "out": out.getvalue(), "error": errors[-1] if errors else ""}


COMMANDS: list[list[str]] = [
    [],
    ["compile"],
    ["admin"],
    ["admin", "--address", "h:1", "settings"],
    ["admin", "--address", "h:1", "set"],
    ["admin", "--address", "h:1", "status"],
    ["admin", "--address", "h:1", "metrics"],
    ["admin", "--address", "h:1", "quota"],
    ["quota"],
    ["quota", "plan"],
]


def all_flags() -> dict[str, list[str]]:
    """Flags, commands and names of arguments in the usage of each command."""
    found = {}
    for command in COMMANDS:
        out = io.StringIO()
        with patch.dict(os.environ, {"COLUMNS": "300"}), contextlib.redirect_stdout(out):
            assert codecs.run_command([*command, "--help"]) == 0
        usage = out.getvalue().splitlines()[0]
        found[" ".join(command)] = sorted(set(re.findall(r"--?[a-z]+|\{[a-z,]+\}|[A-Z:]+=?[A-Z]*|\b[a-z]+\b", usage)))
    return found


#: Kind and content of a file that operators write.
FILES: list[tuple[str, str]] = [
    ("parts", "[quota]\nenabled = true\n"),
    ("parts", "[quota]\nenabled = false\n"),
    ("parts", ""),
    ("parts", "[quota]\n"),
    ("parts", "[quota]\nenabled = 1\n"),
    ("parts", "[quota]\nenabled = true\nother = 1\n"),
    ("parts", "[quota]\nenabled = true\n[other]\n"),
    ("parts", "[quota"),
    (
        "plan",
        MACHINES
        + "gpus = 2\n"
        + TEAM
        + 'cpus = 4\ncpus_max = 8\ngpus = 0\ngpus_max = 0\ntypes = ["m"]\nzones = ["a"]\n',
    ),
    ("plan", MACHINES),
    ("plan", TEAM),
    ("plan", MACHINES + TEAM + "other = 1\n"),
    ("plan", MACHINES + TEAM + TEAM),
    ("plan", MACHINES + TEAM + "cpus = 9\ncpus_max = 8\n"),
    ("plan", MACHINES + TEAM + "cpus_max = 1\n"),
    ("plan", MACHINES + '[[teams]]\nname = "red"\ntask = {cores = 0}\n'),
]


def read_file(kind: str, content: str, folder: Path) -> dict[str, Any]:
    path = folder / f"{kind}.toml"
    path.write_text(content)
    read = codecs.load_parts if kind == "parts" else codecs.load_plan
    case: dict[str, Any] = {"kind": kind, "content": content}
    try:
        case["read"] = read(path)
    except codecs.REFUSED as error:
        case["error"] = str(error).replace(str(folder), "FOLDER")
    return case


_PLATFORM = {"name": "red", "cpus": 2.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}
_RECORD = {"version": 1, "in_force": {"cpus_max": 4.0}}
#: What an operator asks for, the record of the team, and the team in the platform's settings.
LIMIT_CHANGES: list[tuple[Any, Any, Any]] = [
    ({"cpus": 1, "cpus_max": 4, "gpus": 0, "gpus_max": 0}, None, _PLATFORM),
    ({"cpus_max": 6}, _RECORD, _PLATFORM),
    ({"removed": True}, _RECORD, _PLATFORM),
    (None, _RECORD, _PLATFORM),
    (None, _RECORD, None),
    ({"gpus": 1, "gpus_max": 4}, None, None),
    ({"cpus_max": 9}, None, _PLATFORM),
    ({"cpus": 5}, _RECORD, _PLATFORM),
    ({"cpu": 5}, None, _PLATFORM),
    ({"cpus": "5"}, None, _PLATFORM),
    ([1], None, _PLATFORM),
]


def limit_change(changes: Any, record: Any, platform: Any) -> dict[str, Any]:
    case: dict[str, Any] = {"changes": changes, "record": record, "platform": platform}
    try:
        case["written"] = codecs.change_limit("red", changes, record, platform)
    except codecs.REFUSED as error:
        case["error"] = str(error)
    return case
