"""The planner for operators, and the features file.

The planner could call limits feasible that the fleet has no room for: because machines of other types or zones, or the
sum over machines with too little room each, were counted. A mistake in a file must give one line of text that names it,
not a traceback.
"""

from pathlib import Path

import pytest

from ramptide.cli import main
from ramptide.config.features import load_features
from ramptide.config.settings import SettingsError

MACHINES_TOML = '[[machines]]\ntype = "m"\nzone = "a"\ncount = 4\ncores = 8\nram_gb = 32\n'


def team_toml(name: str, extra_lines: str = "", cores: float = 2.0) -> str:
    return f'[[teams]]\nname = "{name}"\ntask = {{cores = {cores}, ram_gb = 4}}\n{extra_lines}\n'


def run_plan(tmp_path: Path, text: str, capfd: pytest.CaptureFixture[str]) -> tuple[int, str, str]:
    path = tmp_path / "plan.toml"
    path.write_text(text)
    exit_status = main(["quota", "plan", str(path)])
    stdout, stderr = capfd.readouterr()
    return exit_status, stdout, stderr


def test_plan_tells_what_holds_and_how_much_room_is_missing(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    text = MACHINES_TOML + team_toml("red", "cpus = 16\ncpus_max = 32") + team_toml("green", "cpus = 16")
    assert run_plan(tmp_path, text, capfd) == (
        0,
        (
            "red: guarantee 8 tasks, limit 16 tasks: holds\n"
            "green: guarantee 8 tasks, no limit: holds\n"
            "all guarantees and limits can hold\n"
        ),
        "",
    )
    text = MACHINES_TOML + team_toml("red", "cpus = 20\ncpus_max = 40") + team_toml("green", "cpus = 16")
    exit_status, stdout, _ = run_plan(tmp_path, text, capfd)
    assert exit_status == 1
    assert "lacks room for 2 tasks (4 cores)" in stdout
    assert "the limit can't be used: 4 tasks too many for the fleet (8 cores)" in stdout


@pytest.mark.parametrize("amount", ["5e-324", "1e-310", "1e-9"])
@pytest.mark.parametrize("field", ["cores", "ram_gb", "gpus"])
def test_task_of_tiny_amounts_gives_one_line_that_names_them(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], field: str, amount: str
) -> None:
    """Guards against a division by zero units, which ended the planner with a traceback."""
    task = {"cores": "2.0", "ram_gb": "4", "gpus": "0"} | {field: amount}
    fields = ", ".join(f"{name} = {value}" for name, value in task.items())
    text = f'{MACHINES_TOML}[[teams]]\nname = "red"\ntask = {{{fields}}}\ncpus = 16\n'
    exit_status, _, stderr = run_plan(tmp_path, text, capfd)
    assert exit_status == 2
    assert f"team 'red': its task takes {float(amount):g} {field}, too little to be counted" in stderr
    assert stderr.count("\n") == 1


def test_task_of_a_small_amount_that_counts_is_planned(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    """Guards against a refusal of what the planner can tell."""
    text = f'{MACHINES_TOML}[[teams]]\nname = "red"\ntask = {{cores = 2.0, ram_gb = 9e-7}}\ncpus = 16\n'
    assert run_plan(tmp_path, text, capfd)[0] == 0


def test_machines_of_other_types_or_zones_do_not_count(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    for constraint in ('types = ["other"]', 'zones = ["b"]'):
        exit_status, stdout, _ = run_plan(tmp_path, MACHINES_TOML + team_toml("red", f"cpus = 4\n{constraint}"), capfd)
        assert exit_status == 1
        assert "lacks room for 2 tasks" in stdout


def test_guarantee_does_not_hold_when_tasks_fit_the_fleet_but_not_its_machines(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Four machines of 8 cores have room for four tasks of 5 cores, not for six, although 6 x 5 is less than 4 x 8."""
    exit_status, stdout, _ = run_plan(tmp_path, MACHINES_TOML + team_toml("red", "cpus = 30", cores=5.0), capfd)
    assert exit_status == 1
    assert "lacks room for 2 tasks (10 cores)" in stdout


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("", "machines"),
        ("machines = []\nteams = []", "machines"),
        ("[[machines", "array declaration"),
        (MACHINES_TOML, "teams"),
        (MACHINES_TOML + team_toml("red", "cpu = 4"), "cpu"),
        (MACHINES_TOML + team_toml("red", 'cpus = "4"'), "cpus"),
        (MACHINES_TOML + team_toml("red", "cpus = -4"), "cpus"),
        (MACHINES_TOML + team_toml("red", "cpus = nan"), "cpus"),
        (MACHINES_TOML + team_toml("red", "cpus = 8\ncpus_max = 4"), "cpus_max"),
        (MACHINES_TOML + team_toml("red", "cpus_max = 1"), "cpus_max"),
        (MACHINES_TOML + team_toml("red") + team_toml("red"), "twice"),
        (MACHINES_TOML + team_toml("red", cores=0), "neither"),
        (MACHINES_TOML.replace("count = 4", "count = 0") + team_toml("red"), "count"),
    ],
)
def test_invalid_plan_file_is_refused_with_one_line_that_names_the_mistake(
    tmp_path: Path, text: str, expected_text: str, capfd: pytest.CaptureFixture[str]
) -> None:
    exit_status, stdout, stderr = run_plan(tmp_path, text, capfd)
    assert exit_status == 2
    assert stdout == ""
    assert expected_text in stderr
    assert stderr.count("\n") == 1


def test_missing_plan_file_is_refused_with_one_line(capfd: pytest.CaptureFixture[str]) -> None:
    assert main(["quota", "plan", "/nowhere/plan.toml"]) == 2
    assert capfd.readouterr().err == "ramptide: /nowhere/plan.toml: No such file or directory\n"


# The tests below load features files.


def test_features_file_of_the_repository_switches_quota_on() -> None:
    assert load_features(Path(__file__).parent.parent / "deploy" / "parts.toml").quota.enabled


@pytest.mark.parametrize(
    ("text", "expected_text"),
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
def test_invalid_features_file_is_refused_and_a_missing_one_ends_the_start_with_one_line(
    tmp_path: Path, text: str, expected_text: str, capfd: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "parts.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected_text):
        load_features(path)
    settings_path = tmp_path / "settings.json"
    settings_path.write_text("{}")
    assert main(["--parts", str(tmp_path / "none.toml"), "--config", str(settings_path)]) == 2
    assert capfd.readouterr().err.count("\n") == 1
