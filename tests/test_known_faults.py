"""The way in which a run passes over the known faults: over exactly the listed tests, and only while they fail."""

import subprocess
import sys
from pathlib import Path

import pytest

from known_faults import KNOWN_FAULTS_FILE, listed_tests

TESTS = Path(__file__).parent
SUITE = """
import pytest

@pytest.mark.parametrize("seed", [1, 2])
def test_scene(seed: int) -> None:
    assert seed == 2

def test_broken() -> None:
    raise OSError
"""


def run_suite(folder: Path, *listed: str) -> subprocess.CompletedProcess[str]:
    """Run a suite with one failing case, one that passes and one that raises, with these tests listed."""
    suite = folder / "tests"
    suite.mkdir()
    for name in ("conftest.py", "known_faults.py"):
        (suite / name).write_text((TESTS / name).read_text())
    (suite / "test_suite.py").write_text(SUITE)
    lines = [f"   test: tests/test_suite.py::{name}" for name in listed]
    (folder / "KNOWN-RED.txt").write_text("\n".join(["1. A fault.", *lines, "   issue: 1"]))
    command = [sys.executable, "-m", "pytest", "-q", "-rx", "-p", "no:cacheprovider", "--rootdir", str(folder), "tests"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False, timeout=60)


def test_listed_test_that_fails_is_passed_over_and_printed(tmp_path: Path) -> None:
    result = run_suite(tmp_path, "test_scene[1]")
    assert "XFAIL tests/test_suite.py::test_scene[1]" in result.stdout
    assert "1 failed, 1 passed, 1 xfailed" in result.stdout, "the test that raises is not listed"
    assert result.returncode == 1


def test_run_fails_when_a_listed_test_passes(tmp_path: Path) -> None:
    result = run_suite(tmp_path, "test_scene[1]", "test_scene[2]")
    assert "2 failed, 1 xfailed" in result.stdout
    assert "XPASS(strict)" in result.stdout


def test_run_fails_when_a_listed_test_fails_in_another_way_than_by_an_assertion(tmp_path: Path) -> None:
    assert "1 failed, 1 passed, 1 xfailed" in run_suite(tmp_path, "test_scene[1]", "test_broken").stdout


@pytest.mark.parametrize("name", ["test_scene[3]", "test_nothing"])
def test_run_fails_when_a_listed_test_is_unknown(tmp_path: Path, name: str) -> None:
    result = run_suite(tmp_path, name)
    assert result.returncode != 0
    assert f"KNOWN-RED.txt lists an unknown test: tests/test_suite.py::{name}" in result.stdout + result.stderr


def test_each_entry_of_the_file_names_its_issue_and_a_test_or_a_command() -> None:
    entries = KNOWN_FAULTS_FILE.read_text().split("\n\n")[1:]
    for entry in entries:
        assert "\n   issue: " in entry
        assert listed_tests(entry) or "\n   command: " in entry
