"""Puts the sources on the import path, and passes over the known faults; the libraries come from `target/ci`."""

import sys
from pathlib import Path

import pytest

TESTS = Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS.parent / "src"))
sys.path.insert(0, str(TESTS))

from known_faults import KNOWN_FAULTS_FILE, expect_known_faults, listed_tests  # noqa: E402


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the tests in KNOWN-RED.txt to fail; a run of all tests requires that each of them is found."""
    is_whole_run = [Path(argument).resolve() for argument in config.args] == [TESTS] and not config.option.keyword
    expect_known_faults(items, listed_tests(KNOWN_FAULTS_FILE.read_text()), is_whole_run)
