"""The planner for operators, and the file that switches parts on: results, and one clear line for each mistake."""

from pathlib import Path

import pytest

from ramptide.cli import main
from ramptide.config.features import load_features
from ramptide.config.settings import SettingsError

MACHINES = '[[machines]]\ntype = "m"\nzone = "a"\ncount = 4\ncores = 8\nram_gb = 32\n'


def team(name: str, extra: str = "", cores: float = 2.0) -> str:
    return f'[[teams]]\nname = "{name}"\ntask = {{cores = {cores}, ram_gb = 4}}\n{extra}\n'


def plan(tmp_path: Path, text: str, capfd: pytest.CaptureFixture[str]) -> tuple[int, str, str]:
    path = tmp_path / "plan.toml"
    path.write_text(text)
    code = main(["quota", "plan", str(path)])
    out, err = capfd.readouterr()
    return code, out, err


def test_what_holds_and_what_does_not_by_how_much(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    text = MACHINES + team("red", "cpus = 16\ncpus_max = 32") + team("green", "cpus = 16")
    assert plan(tmp_path, text, capfd) == (
        0,
        (
            "red: guarantee 8 tasks, limit 16 tasks: holds\n"
            "green: guarantee 8 tasks, no limit: holds\n"
            "all guarantees and limits can hold\n"
        ),
        "",
    )
    text = MACHINES + team("red", "cpus = 20\ncpus_max = 40") + team("green", "cpus = 16")
    code, out, _ = plan(tmp_path, text, capfd)
    assert code == 1
    assert "lacks room for 2 tasks (4 cores)" in out
    assert "the limit can't be used: 4 tasks too many for the fleet (8 cores)" in out


def test_machines_of_the_wrong_type_or_zone_do_not_count(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    for extra in ('types = ["other"]', 'zones = ["b"]'):
        code, out, _ = plan(tmp_path, MACHINES + team("red", f"cpus = 4\n{extra}"), capfd)
        assert code == 1
        assert "lacks room for 2 tasks" in out


def test_tasks_that_fit_the_fleet_and_no_machine_do_not_hold(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    """Four machines of 8 cores take four tasks of 5, not six."""
    code, out, _ = plan(tmp_path, MACHINES + team("red", "cpus = 30", cores=5.0), capfd)
    assert code == 1
    assert "lacks room for 2 tasks (10 cores)" in out


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("", "machines"),
        ("machines = []\nteams = []", "machines"),
        ("[[machines", "array declaration"),
        (MACHINES, "teams"),
        (MACHINES + team("red", "cpu = 4"), "cpu"),
        (MACHINES + team("red", 'cpus = "4"'), "cpus"),
        (MACHINES + team("red", "cpus = -4"), "cpus"),
        (MACHINES + team("red", "cpus = nan"), "cpus"),
        (MACHINES + team("red", "cpus = 8\ncpus_max = 4"), "cpus_max"),
        (MACHINES + team("red", "cpus_max = 1"), "cpus_max"),
        (MACHINES + team("red") + team("red"), "twice"),
        (MACHINES + team("red", cores=0), "neither"),
        (MACHINES.replace("count = 4", "count = 0") + team("red"), "count"),
    ],
)
def test_a_file_that_makes_no_sense_gets_one_line(
    tmp_path: Path, text: str, named: str, capfd: pytest.CaptureFixture[str]
) -> None:
    code, out, err = plan(tmp_path, text, capfd)
    assert code == 2
    assert out == ""
    assert named in err
    assert err.count("\n") == 1


def test_a_missing_file_gets_one_line(capfd: pytest.CaptureFixture[str]) -> None:
    assert main(["quota", "plan", "/nowhere/plan.toml"]) == 2
    assert capfd.readouterr().err == "ramptide: /nowhere/plan.toml: No such file or directory\n"


# The file that switches parts on.


def test_the_file_of_the_repository_is_read() -> None:
    assert load_features(Path(__file__).parent.parent / "deploy" / "parts.toml").quota.enabled


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("", "quota"),
        ("[quota]", "enabled"),
        ("[quota]\nenabled = 1", "enabled"),
        ("[quota]\nenabled = true\nmore = 1", "more"),
        ("[quotas]\nenabled = true", "quotas"),
        ("quota", "key/value"),
        ("\x00", "line 1"),
    ],
)
def test_a_wrong_file_ends_the_start_with_one_line(
    tmp_path: Path, text: str, named: str, capfd: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "parts.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=named):
        load_features(path)
    settings = tmp_path / "settings.json"
    settings.write_text("{}")
    assert main(["--parts", str(tmp_path / "none.toml"), "--config", str(settings)]) == 2
    assert capfd.readouterr().err.count("\n") == 1
