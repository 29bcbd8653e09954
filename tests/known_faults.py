"""The tests in KNOWN-RED.txt, which fail because of faults that are known and not fixed yet.

A run passes over exactly these tests and prints them. It fails when one of them passes, fails in another way than by an
assertion, or is not found.
"""

import re
from collections.abc import Iterable
from pathlib import Path

import pytest

__all__ = ["KNOWN_FAULTS_FILE", "expect_known_faults", "listed_tests"]

KNOWN_FAULTS_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
#: A line that names a test by its id; an entry without such a line names a command that no test run executes.
TEST_LINE = re.compile(r"^\s+test: (\S+)$", re.MULTILINE)


def listed_tests(text: str) -> list[str]:
    """Return the ids of the tests that the file lists."""
    return TEST_LINE.findall(text)


def expect_known_faults(items: Iterable[pytest.Item], listed: Iterable[str], is_whole_run: bool) -> None:
    """Expect the listed tests among `items` to fail.

    Raises
    ------
    pytest.UsageError
        If a listed test is not among the items of a whole run.
    """
    by_id = {item.nodeid: item for item in items}
    for test_id in listed:
        item = by_id.get(test_id)
        if item is not None:
            reason = f"listed in {KNOWN_FAULTS_FILE.name}"
            item.add_marker(pytest.mark.xfail(reason=reason, raises=AssertionError, strict=True))
        elif is_whole_run:
            raise pytest.UsageError(f"{KNOWN_FAULTS_FILE.name} lists an unknown test: {test_id}")
