"""What operators write and read: settings, files, the command line, changes of limits."""

from pathlib import Path
from typing import Any

import pytest

from compatibility import codecs, command_lines, frozen

COMMAND_LINES = frozen.read_lines("command_line.jsonl")


def test_the_settings_with_their_defaults_bounds_and_texts() -> None:
    assert codecs.setting_bounds() == frozen.read_json("settings.json")


@pytest.mark.parametrize("name", sorted(frozen.read_json("settings.json")))
def test_each_setting_is_changed_by_its_name(name: str) -> None:
    default, low, high, _ = frozen.read_json("settings.json")[name]
    changed = codecs.change_settings({name: high if default != high else low})
    assert changed[name] != default
    assert [other for other in changed if changed[other] != frozen.read_json("settings.json")[other][0]] == [name]


@pytest.mark.parametrize("case", COMMAND_LINES, ids=lambda case: " ".join(case["arguments"]) or "nothing")
def test_exit_status_output_and_error_line(case: dict[str, Any], tmp_path: Path) -> None:
    assert command_lines.result(case["arguments"], tmp_path) == case


def test_every_command_line_is_frozen() -> None:
    assert [case["arguments"] for case in COMMAND_LINES] == command_lines.CASES


def test_the_flags_and_commands() -> None:
    assert command_lines.all_flags() == frozen.read_json("help.json")


@pytest.mark.parametrize("case", frozen.read_lines("files.jsonl"), ids=lambda case: repr(case["content"])[:60])
def test_a_file_is_read_or_refused_as_ever(case: dict[str, Any], tmp_path: Path) -> None:
    assert command_lines.read_file(case["kind"], case["content"], tmp_path) == case


@pytest.mark.parametrize("case", frozen.read_lines("limit_changes.jsonl"), ids=lambda case: str(case["changes"]))
def test_a_change_of_a_limit_is_written_or_refused_as_ever(case: dict[str, Any]) -> None:
    assert command_lines.limit_change(case["changes"], case["record"], case["platform"]) == case
