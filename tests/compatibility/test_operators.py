"""Guards against changes that would break operators' files, scripts and command lines.

The settings with their bounds, the input files that are accepted or refused, the command line with its exit statuses
and error texts, and the records that changes of team limits write equal the frozen ones.
"""

from pathlib import Path
from typing import Any

import pytest

from compatibility import codecs, command_lines, frozen

COMMAND_LINE_CASES = frozen.read_lines("command_line.jsonl")


def test_settings_have_the_frozen_defaults_bounds_and_descriptions() -> None:
    assert codecs.setting_definitions() == frozen.read_json("settings.json")


@pytest.mark.parametrize("name", sorted(frozen.read_json("settings.json")))
def test_operator_change_of_a_setting_changes_only_that_setting(name: str) -> None:
    default, low, high, _ = frozen.read_json("settings.json")[name]
    changed = codecs.change_settings({name: high if default != high else low})
    assert changed[name] != default
    assert [other for other in changed if changed[other] != frozen.read_json("settings.json")[other][0]] == [name]


@pytest.mark.parametrize("case", COMMAND_LINE_CASES, ids=lambda case: " ".join(case["arguments"]) or "nothing")
def test_command_line_has_the_frozen_exit_status_output_and_error(case: dict[str, Any], tmp_path: Path) -> None:
    assert command_lines.command_line_case(case["arguments"], tmp_path) == case


def test_every_command_line_is_in_the_frozen_file() -> None:
    assert [case["arguments"] for case in COMMAND_LINE_CASES] == command_lines.COMMAND_LINES


def test_usage_has_the_frozen_flags_and_commands() -> None:
    assert command_lines.usage_words() == frozen.read_json("help.json")


@pytest.mark.parametrize("case", frozen.read_lines("files.jsonl"), ids=lambda case: repr(case["content"])[:60])
def test_operator_file_has_the_frozen_content_or_error(case: dict[str, Any], tmp_path: Path) -> None:
    assert command_lines.operator_file_case(case["kind"], case["content"], tmp_path) == case


@pytest.mark.parametrize("case", frozen.read_lines("limit_changes.jsonl"), ids=lambda case: str(case["changes"]))
def test_limit_change_writes_the_frozen_record_or_has_the_frozen_error(case: dict[str, Any]) -> None:
    assert command_lines.limit_change_case(case["changes"], case["record"], case["platform"]) == case
