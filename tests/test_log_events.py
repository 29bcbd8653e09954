"""The events that are logged at `info` or above.

The tests guard against an event that the operators' manual does not explain, and against a line that does not have the
form by which operators search the log.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = ROOT / "src" / "ramptide"
LEVELS = {"info", "warning", "error", "exception", "critical"}
#: An event, then key=value pairs, which are absent where the event alone says what happened.
LINE_FORM = re.compile(r"[a-z][a-z-]*( [a-z][a-z-]*)*(: [a-z_]+=%\S+( [a-z_]+=%\S+)*)?")


def logged_formats() -> Iterator[tuple[str, str]]:
    """Yield the file and line, and the format, of each call that logs at `info` or above."""
    for path in sorted(SOURCES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            receiver = node.func.value
            if isinstance(receiver, ast.Name) and receiver.id == "log" and node.func.attr in LEVELS:
                log_format = node.args[0]
                assert isinstance(log_format, ast.Constant), f"{path}:{node.lineno}"
                assert isinstance(log_format.value, str), f"{path}:{node.lineno}"
                yield f"{path.relative_to(SOURCES)}:{node.lineno}", log_format.value


FORMATS = sorted(logged_formats())


def log_section() -> str:
    manual = (ROOT / "docs" / "operations.md").read_text()
    return manual[manual.index("## Reading the log") : manual.index("### Log lines of earlier versions")]


def test_log_formats_are_found_in_the_sources() -> None:
    assert len(FORMATS) > 25


@pytest.mark.parametrize(("place", "log_format"), FORMATS, ids=[place for place, _ in FORMATS])
def test_each_logged_event_is_explained_to_operators(place: str, log_format: str) -> None:
    event = log_format.partition(":")[0]
    assert f"`{event}" in log_section(), place


@pytest.mark.parametrize(("place", "log_format"), FORMATS, ids=[place for place, _ in FORMATS])
def test_each_log_format_has_the_event_first_and_then_its_named_values(place: str, log_format: str) -> None:
    assert LINE_FORM.fullmatch(log_format), f"{place}: {log_format!r}"
