"""Cases for the command line, for the files that operators write and for their changes of team limits.

Each case is a JSON object with an input and its result, as the frozen files hold it.
"""

import contextlib
import io
import json
import os
import re
from pathlib import Path
from typing import Any
from unittest.mock import patch

from compatibility import codecs

#: The arguments of each command line. FOLDER stands for the folder in which `write_input_files` writes the files.
COMMAND_LINES: list[list[str]] = [
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

SETTINGS_FILE: dict[str, Any] = {
    "member": "c0", "area": "a", "client_listen": "127.0.0.1:0", "peer_bind": "127.0.0.1:0", "siblings": [],
    "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "cluster": {
        "nodes": 1, "teams": [], "objectives": [], "workers": {"report_s": 1.0, "lease_s": 5.0, "cancel_s": 20.0},
        "state": {"rps": 10.0, "write_rps": 5.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 1.0},
    },
}  # fmt: skip
PLAN_MACHINES_TOML = '[[machines]]\ntype = "m"\nzone = "a"\ncount = 4\ncores = 8\nram_gb = 32\n'
PLAN_TEAM_TOML = '[[teams]]\nname = "red"\ntask = {cores = 2, ram_gb = 4}\n'


def _with_cluster_fields(**changes: Any) -> dict[str, Any]:
    """Return the settings file with some fields of its cluster replaced."""
    return SETTINGS_FILE | {"cluster": SETTINGS_FILE["cluster"] | changes}


def write_input_files(folder: Path) -> None:
    """Write the valid and invalid files that the command lines name."""
    workers = SETTINGS_FILE["cluster"]["workers"]
    settings_files = {
        "good": SETTINGS_FILE,
        "no_member": {name: value for name, value in SETTINGS_FILE.items() if name != "member"},
        "address": SETTINGS_FILE | {"outside": {"cloud": "127.0.0.1:3", "state": "nowhere"}},
        "names": SETTINGS_FILE | {"siblings": [{"member": "c0", "area": "a", "addr": "127.0.0.1:5"}]},
        "teams": _with_cluster_fields(teams=[{"name": "red"}, {"name": "red"}]),
        "lease": _with_cluster_fields(workers=workers | {"lease_s": 1.0}),
        "cancel": _with_cluster_fields(workers=workers | {"cancel_s": 5.0}),
        "unbindable": SETTINGS_FILE | {"client_listen": "127.0.0.1:0", "peer_bind": "192.0.2.1:1"},
    }
    for name, value in settings_files.items():
        (folder / f"{name}.json").write_text(json.dumps(value))
    (folder / "broken.json").write_text("{")
    (folder / "unknown_part.toml").write_text("[quota]\nenabled = true\n[other]\n")
    (folder / "broken.toml").write_text("[[machines")
    (folder / "plan.toml").write_text(PLAN_MACHINES_TOML + PLAN_TEAM_TOML + "cpus = 16\ncpus_max = 32\n")
    (folder / "impossible.toml").write_text(PLAN_MACHINES_TOML + PLAN_TEAM_TOML + "cpus = 40\ncpus_max = 48\n")


def command_line_case(arguments: list[str], folder: Path) -> dict[str, Any]:
    """Run a command line, and return it with its exit status, its output and the last line of its error output.

    The other lines of the error output are left out, as usage lines differ between versions of Python. An argument
    `LOG_LEVEL=...` is set as an environment variable instead.
    """
    write_input_files(folder)
    environment = dict(argument.split("=") for argument in arguments if argument.startswith("LOG_LEVEL="))
    command = [argument.replace("FOLDER", str(folder)) for argument in arguments if "LOG_LEVEL" not in argument]
    stdout, stderr = io.StringIO(), io.StringIO()
    with (
        patch.dict(os.environ, environment),
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        exit_status = codecs.run_command(command)
    error_lines = stderr.getvalue().replace(str(folder), "FOLDER").splitlines()
    return {
        "arguments": arguments,
        "status": exit_status,
        "out": stdout.getvalue(),
        "error": error_lines[-1] if error_lines else "",
    }


#: The commands whose usage is frozen.
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


def usage_words() -> dict[str, list[str]]:
    """Return the flags, subcommands and names of arguments in the usage line of each command."""
    words_by_command = {}
    for command in COMMANDS:
        stdout = io.StringIO()
        # The usage has to fit on one line.
        with patch.dict(os.environ, {"COLUMNS": "300"}), contextlib.redirect_stdout(stdout):
            assert codecs.run_command([*command, "--help"]) == 0
        usage = stdout.getvalue().splitlines()[0]
        words_by_command[" ".join(command)] = sorted(
            set(re.findall(r"--?[a-z]+|\{[a-z,]+\}|[A-Z:]+=?[A-Z]*|\b[a-z]+\b", usage))
        )
    return words_by_command


#: The kind and content of files that operators write: features files ("parts") and input files of `quota plan`.
OPERATOR_FILES: list[tuple[str, str]] = [
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
        PLAN_MACHINES_TOML
        + "gpus = 2\n"
        + PLAN_TEAM_TOML
        + 'cpus = 4\ncpus_max = 8\ngpus = 0\ngpus_max = 0\ntypes = ["m"]\nzones = ["a"]\n',
    ),
    ("plan", PLAN_MACHINES_TOML),
    ("plan", PLAN_TEAM_TOML),
    ("plan", PLAN_MACHINES_TOML + PLAN_TEAM_TOML + "other = 1\n"),
    ("plan", PLAN_MACHINES_TOML + PLAN_TEAM_TOML + PLAN_TEAM_TOML),
    ("plan", PLAN_MACHINES_TOML + PLAN_TEAM_TOML + "cpus = 9\ncpus_max = 8\n"),
    ("plan", PLAN_MACHINES_TOML + PLAN_TEAM_TOML + "cpus_max = 1\n"),
    ("plan", PLAN_MACHINES_TOML + '[[teams]]\nname = "red"\ntask = {cores = 0}\n'),
]


def operator_file_case(kind: str, content: str, folder: Path) -> dict[str, Any]:
    """Write and load a file, and return its content with the value that was read or the text of the error."""
    path = folder / f"{kind}.toml"
    path.write_text(content)
    load = codecs.load_features if kind == "parts" else codecs.load_plan
    case: dict[str, Any] = {"kind": kind, "content": content}
    try:
        case["read"] = load(path)
    except codecs.REFUSAL_ERRORS as error:
        case["error"] = str(error).replace(str(folder), "FOLDER")
    return case


_PLATFORM_TEAM = {"name": "red", "cpus": 2.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}
_LIMIT_RECORD = {"version": 1, "in_force": {"cpus_max": 4.0}}
#: The changes that an operator requests, the team's stored record, and the team in the settings file.
LIMIT_CHANGES: list[tuple[Any, Any, Any]] = [
    ({"cpus": 1, "cpus_max": 4, "gpus": 0, "gpus_max": 0}, None, _PLATFORM_TEAM),
    ({"cpus_max": 6}, _LIMIT_RECORD, _PLATFORM_TEAM),
    ({"removed": True}, _LIMIT_RECORD, _PLATFORM_TEAM),
    (None, _LIMIT_RECORD, _PLATFORM_TEAM),
    (None, _LIMIT_RECORD, None),
    ({"gpus": 1, "gpus_max": 4}, None, None),
    ({"cpus_max": 9}, None, _PLATFORM_TEAM),
    ({"cpus": 5}, _LIMIT_RECORD, _PLATFORM_TEAM),
    ({"cpu": 5}, None, _PLATFORM_TEAM),
    ({"cpus": "5"}, None, _PLATFORM_TEAM),
    ([1], None, _PLATFORM_TEAM),
]


def limit_change_case(changes: Any, record: Any, platform: Any) -> dict[str, Any]:
    """Change a team's limit, and return the input with the record that was written or the text of the error."""
    case: dict[str, Any] = {"changes": changes, "record": record, "platform": platform}
    try:
        case["written"] = codecs.change_limit("red", changes, record, platform)
    except codecs.REFUSAL_ERRORS as error:
        case["error"] = str(error)
    return case
