"""The settings file, the operators' settings, the command line, and the statuses of answers to users.

The tests guard against these failures: a process starts with invalid settings, or an operator cannot tell from the
error which field is wrong; a changed setting is out of bounds, reaches some controllers only or is lost in a restart; a
user gets a status other than the protocol specifies.
"""

import json
from pathlib import Path
from typing import Any

import pytest

from ramptide.api.administration import METRICS_PATH, SETTINGS_PATH, STATUS_PATH
from ramptide.cli import main
from ramptide.config.settings import SettingsError, load
from ramptide.config.tuning import BOUNDS, Tuning
from ramptide.controller.administration import build_admin_api
from ramptide.protocol.jobs import decode_job_spec
from ramptide.protocol.types import MessageError
from virtual import SETTINGS_FILE, World, job_spec, leader_of, started_world


def write_settings(path: Path, **changes: Any) -> Path:
    path.write_text(json.dumps(SETTINGS_FILE | changes))
    return path


def test_settings_file_is_accepted_with_unknown_fields(tmp_path: Path) -> None:
    assert load(write_settings(tmp_path / "s.json")).cluster.agents.lease_s == 5.0


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"member": 7}, "$.member"),
        ({"client_listen": "nowhere"}, "client_listen"),
        ({"outside": {"cloud": "127.0.0.1:3"}}, "state"),
        (
            {"cluster": SETTINGS_FILE["cluster"] | {"workers": {"report_s": -1, "lease_s": 5, "cancel_s": 20}}},
            "report_s",
        ),
        ({"cluster": SETTINGS_FILE["cluster"] | {"workers": {"report_s": 1, "lease_s": 5, "cancel_s": 4}}}, "cancel_s"),
        ({"siblings": [{"member": "c0", "area": "a", "addr": "127.0.0.1:5"}]}, "siblings"),
    ],
)
def test_process_names_the_field_and_exits_with_2_when_a_setting_is_invalid(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], changes: dict[str, Any], field: str
) -> None:
    assert main(["--config", str(write_settings(tmp_path / "s.json", **changes))]) == 2
    error_output = capsys.readouterr().err
    assert field in error_output
    assert error_output.count("\n") == 1


@pytest.mark.parametrize("quota", [None, {}, {"fd_limit": 64}])
def test_settings_file_is_accepted_when_the_quota_is_missing_or_lacks_cpu(
    tmp_path: Path, quota: dict[str, Any] | None
) -> None:
    cluster = {name: value for name, value in SETTINGS_FILE["cluster"].items() if name != "quota"}
    cluster |= {"quota": quota} if quota is not None else {}
    process_limits = load(write_settings(tmp_path / "s.json", cluster=cluster)).cluster.process_limits
    assert process_limits.cpu is None
    assert process_limits.fd_limit == (quota or {}).get("fd_limit")


def test_process_exits_with_2_when_the_settings_file_is_missing_or_broken(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["--config", str(tmp_path / "none.json")]) == 2
    (tmp_path / "s.json").write_text("{")
    assert main(["--config", str(tmp_path / "s.json")]) == 2
    assert capsys.readouterr().err.count("\n") == 2


def test_command_line_exits_with_0_for_the_version_and_2_for_invalid_arguments(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit) as system_exit:
        main(["--version"])
    assert system_exit.value.code == 0
    assert "ramptide" in capsys.readouterr().out
    with pytest.raises(SystemExit) as system_exit:
        main([])
    assert system_exit.value.code == 2
    assert main(["admin", "--address", "nowhere", "status"]) == 2
    assert main(["admin", "--address", "127.0.0.1:9", "set", "cooldown=soon"]) == 2


def test_every_setting_has_bounds_that_contain_its_default() -> None:
    defaults = Tuning().to_value()
    assert set(defaults) == set(BOUNDS)
    assert all(BOUNDS[name].low <= value <= BOUNDS[name].high for name, value in defaults.items())
    assert Tuning.from_value(Tuning().with_changes({"cooldown": 3}).to_value()) == Tuning().with_changes(
        {"cooldown": 3}
    )
    assert Tuning.from_value({"cooldown": -1, "of_a_later_version": 1}) == Tuning()


@pytest.mark.parametrize(
    "changes", [{"nothing": 1}, {"cooldown": "1"}, {"cooldown": -1}, {"pool_size": 1.5}, {"step": True}, [1]]
)
def test_error_names_the_setting_when_a_change_is_invalid(changes: Any) -> None:
    with pytest.raises(SettingsError) as raised:
        Tuning().with_changes(changes)
    assert (next(iter(changes)) if isinstance(changes, dict) else "settings") in str(raised.value)


def send_admin_request(
    world: World, controller_name: str, method: str, path: str, body: bytes = b""
) -> tuple[int, bytes]:
    answers: list[tuple[int, bytes]] = []
    controller = world.nodes[controller_name].controller
    assert controller is not None
    assert build_admin_api(controller).handle(
        method, path, body, lambda status, response, content_type: answers.append((status, response))
    )
    world.run(1.0)
    return answers[0]


def test_changed_settings_reach_all_controllers_and_survive_restarts() -> None:
    world = started_world(2)
    status, response = send_admin_request(world, "c1", "PATCH", SETTINGS_PATH, b'{"cooldown": 33}')
    assert status == 200
    assert json.loads(response)["cooldown"]["value"] == 33
    assert send_admin_request(world, "c1", "PATCH", SETTINGS_PATH, b'{"cooldown": -33}')[0] == 400
    assert send_admin_request(world, "c1", "DELETE", SETTINGS_PATH)[0] == 405
    for controller_name in world.controller_names:
        world.nodes[controller_name].kill()
        world.nodes[controller_name].start()
    world.run(3)
    for controller_name in world.controller_names:
        assert (
            json.loads(send_admin_request(world, controller_name, "GET", SETTINGS_PATH)[1])["cooldown"]["value"] == 33
        )


def test_status_and_metrics_show_the_leader_jobs_and_rentals() -> None:
    world = started_world(2)
    world.define_job("j-1", pieces=1, guessS=60.0)
    assert world.submit_until_accepted("j-1", "c0")
    world.run(15)
    status = json.loads(send_admin_request(world, "c0", "GET", STATUS_PATH)[1])
    assert status["view"]["leader"] == leader_of(world)
    assert status["jobs"]["j-1"]["pieces"] == 1
    metrics = send_admin_request(world, leader_of(world), "GET", METRICS_PATH)[1].decode()
    assert "ramptide_leading 1.0" in metrics
    assert "ramptide_rentals_total" in metrics


def submit(world: World, body: bytes) -> int:
    statuses: list[int] = []
    world.request(
        "c0", lambda controller: controller.job_api.submit(body, lambda status, *rest: statuses.append(status))
    )
    world.run(1.0)
    return statuses[0]


@pytest.mark.parametrize(
    "changes",
    [
        {"ref": "k-1"}, {"ref": "j-1/2"}, {"pieces": 0}, {"pieces": 100_001}, {"pieces": 1.5}, {"pieces": "3"},
        {"cores": -1.0}, {"cores": None}, {"cores": True}, {"shape": "gang"}, {"rank": "urgent"}, {"oneZone": 1},
        {"rigs": "m"}, {"rigs": [1]}, {"dueS": -1.0}, {"guessS": 1e300}, {"bundle": ""},
    ],
)  # fmt: skip
def test_job_spec_is_refused_when_a_field_is_invalid(changes: dict[str, Any]) -> None:
    with pytest.raises(MessageError):
        decode_job_spec(json.dumps(job_spec("j-1") | changes).encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"null", b'{"ref": NaN}', b"\xff\xfe", b"[" * 5000])
def test_job_spec_is_refused_when_the_body_is_not_a_valid_json_object(body: bytes) -> None:
    with pytest.raises(MessageError):
        decode_job_spec(body)


def test_submissions_polls_and_cancellations_get_the_specified_statuses() -> None:
    world = started_world(6, teams={"team": 0.0, "tight": 4.0})

    def submit_with(**fields: Any) -> int:
        return submit(world, json.dumps(job_spec("j-9") | fields).encode())

    assert submit(world, b"{}") == 400
    assert submit_with(owner="nobody") == 422
    assert submit_with(cores=99.0) == 422
    assert submit_with(owner="tight", cores=5.0) == 422
    assert submit_with(owner="tight", cores=2.0, pieces=3, shape="service") == 422
    assert submit_with(owner="tight", cores=2.0, pieces=3, ref="j-8") == 201
    assert submit_with(owner="tight", cores=2.0, pieces=3, ref="j-8") == 200
    world.define_job("j-8", owner="tight", cores=2.0, pieces=3)
    assert world.cancel_job("j-8", "c1")
    assert world.cancel_job("j-8", "c2")
    assert submit_with(owner="tight", cores=2.0, pieces=3, ref="j-8") == 200
    assert submit_with(owner="nobody", ref="j-8") == 200, "a job that was accepted before is never refused later"
    assert [world.poll_job(job_id, "c0")[0] for job_id in ("j-8", "j-77", "nonsense")] == [200, 404, 404]  # type: ignore[index]
    assert not world.cancel_job("j-77", "c0")
