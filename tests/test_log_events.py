"""Every event that is logged at `info` or above is explained to operators, and has the form they search by."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = ROOT / "src" / "ramptide"
LEVELS = {"info", "warning", "error", "exception", "critical"}
#: An event, then key=value pairs; a controller that just says that something happened has no pairs.
FORM = re.compile(r"[a-z][a-z-]*( [a-z][a-z-]*)*(: [a-z_]+=%\S+( [a-z_]+=%\S+)*)?")


def logged_formats() -> Iterator[tuple[str, str]]:
    """Yield each format at `info` or above, with the place where it stands."""
    for path in sorted(SOURCES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            receiver = node.func.value
            if isinstance(receiver, ast.Name) and receiver.id == "log" and node.func.attr in LEVELS:
                form = node.args[0]
                assert isinstance(form, ast.Constant), f"{path}:{node.lineno}"
                assert isinstance(form.value, str), f"{path}:{node.lineno}"
                yield f"{path.relative_to(SOURCES)}:{node.lineno}", form.value


FORMATS = sorted(logged_formats())


def log_section() -> str:
    manual = (ROOT / "docs" / "operations.md").read_text()
    return manual[manual.index("## Reading the log") : manual.index("### Log lines of earlier versions")]


def test_there_are_formats_to_look_at() -> None:
    assert len(FORMATS) > 25


@pytest.mark.parametrize(("place", "form"), FORMATS, ids=[place for place, _ in FORMATS])
def test_each_event_is_explained_to_operators(place: str, form: str) -> None:
    event = form.partition(":")[0]
    assert f"`{event}" in log_section(), place


@pytest.mark.parametrize(("place", "form"), FORMATS, ids=[place for place, _ in FORMATS])
def test_each_line_gives_the_event_first_and_then_its_values_by_name(place: str, form: str) -> None:
    assert FORM.fullmatch(form), f"{place}: {form!r}"
