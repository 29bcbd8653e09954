"""The settings file, the operators' settings, the command line and the users' bad input."""

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


def written(path: Path, **changes: Any) -> Path:
    path.write_text(json.dumps(SETTINGS_FILE | changes))
    return path


def test_the_file_is_taken_with_unknown_fields(tmp_path: Path) -> None:
    assert load(written(tmp_path / "s.json")).cluster.agents.lease_s == 5.0


@pytest.mark.parametrize(
    ("changes", "named"),
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
def test_a_bad_field_is_named_and_ends_with_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], changes: dict[str, Any], named: str
) -> None:
    assert main(["--config", str(written(tmp_path / "s.json", **changes))]) == 2
    error = capsys.readouterr().err
    assert named in error
    assert error.count("\n") == 1


@pytest.mark.parametrize("quota", [None, {}, {"fd_limit": 64}])
def test_a_quota_that_is_missing_or_names_no_processor_is_taken(tmp_path: Path, quota: dict[str, Any] | None) -> None:
    cluster = {name: value for name, value in SETTINGS_FILE["cluster"].items() if name != "quota"}
    cluster |= {"quota": quota} if quota is not None else {}
    found = load(written(tmp_path / "s.json", cluster=cluster)).cluster.process_limits
    assert found.cpu is None
    assert found.fd_limit == (quota or {}).get("fd_limit")


def test_a_missing_or_broken_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--config", str(tmp_path / "none.json")]) == 2
    (tmp_path / "s.json").write_text("{")
    assert main(["--config", str(tmp_path / "s.json")]) == 2
    assert capsys.readouterr().err.count("\n") == 2


def test_the_command_line(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["--version"])
    assert ended.value.code == 0
    assert "ramptide" in capsys.readouterr().out
    with pytest.raises(SystemExit) as ended:
        main([])
    assert ended.value.code == 2
    assert main(["admin", "--address", "nowhere", "status"]) == 2
    assert main(["admin", "--address", "127.0.0.1:9", "set", "cooldown=soon"]) == 2


def test_every_setting_has_a_bound_that_holds_its_default() -> None:
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
def test_bad_changes_name_the_setting(changes: Any) -> None:
    with pytest.raises(SettingsError) as caught:
        Tuning().with_changes(changes)
    assert (next(iter(changes)) if isinstance(changes, dict) else "settings") in str(caught.value)


def administer(world: World, node: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    got: list[tuple[int, bytes]] = []
    controller = world.nodes[node].controller
    assert controller is not None
    assert build_admin_api(controller).handle(
        method, path, body, lambda status, response, kind: got.append((status, response))
    )
    world.run(1.0)
    return got[0]


def test_changed_settings_reach_all_and_outlive_restarts() -> None:
    world = started_world(2)
    status, response = administer(world, "c1", "PATCH", SETTINGS_PATH, b'{"cooldown": 33}')
    assert status == 200
    assert json.loads(response)["cooldown"]["value"] == 33
    assert administer(world, "c1", "PATCH", SETTINGS_PATH, b'{"cooldown": -33}')[0] == 400
    assert administer(world, "c1", "DELETE", SETTINGS_PATH)[0] == 405
    for name in world.controller_names:
        world.nodes[name].kill()
        world.nodes[name].start()
    world.run(3)
    for name in world.controller_names:
        assert json.loads(administer(world, name, "GET", SETTINGS_PATH)[1])["cooldown"]["value"] == 33


def test_status_and_metrics() -> None:
    world = started_world(2)
    world.define_job("j-1", pieces=1, guessS=60.0)
    assert world.submit_until_accepted("j-1", "c0")
    world.run(15)
    status = json.loads(administer(world, "c0", "GET", STATUS_PATH)[1])
    assert status["view"]["leader"] == leader_of(world)
    assert status["jobs"]["j-1"]["pieces"] == 1
    metrics = administer(world, leader_of(world), "GET", METRICS_PATH)[1].decode()
    assert "ramptide_leading 1.0" in metrics
    assert "ramptide_rentals_total" in metrics


def submitted(world: World, body: bytes) -> int:
    got: list[int] = []
    world.request("c0", lambda c: c.job_api.submit(body, lambda status, *rest: got.append(status)))
    world.run(1.0)
    return got[0]


@pytest.mark.parametrize(
    "changes",
    [
        {"ref": "k-1"}, {"ref": "j-1/2"}, {"pieces": 0}, {"pieces": 100_001}, {"pieces": 1.5}, {"pieces": "3"},
        {"cores": -1.0}, {"cores": None}, {"cores": True}, {"shape": "gang"}, {"rank": "urgent"}, {"oneZone": 1},
        {"rigs": "m"}, {"rigs": [1]}, {"dueS": -1.0}, {"guessS": 1e300}, {"bundle": ""},
    ],
)  # fmt: skip
def test_malformed_submissions(changes: dict[str, Any]) -> None:
    with pytest.raises(MessageError):
        decode_job_spec(json.dumps(job_spec("j-1") | changes).encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"null", b'{"ref": NaN}', b"\xff\xfe", b"[" * 5000])
def test_what_is_no_submission(body: bytes) -> None:
    with pytest.raises(MessageError):
        decode_job_spec(body)


def test_statuses_of_submissions_polls_and_cancellations() -> None:
    world = started_world(6, teams={"team": 0.0, "tight": 4.0})

    def send(**fields: Any) -> int:
        return submitted(world, json.dumps(job_spec("j-9") | fields).encode())

    assert submitted(world, b"{}") == 400
    assert send(owner="nobody") == 422
    assert send(cores=99.0) == 422
    assert send(owner="tight", cores=5.0) == 422
    assert send(owner="tight", cores=2.0, pieces=3, shape="service") == 422
    assert send(owner="tight", cores=2.0, pieces=3, ref="j-8") == 201
    assert send(owner="tight", cores=2.0, pieces=3, ref="j-8") == 200
    world.define_job("j-8", owner="tight", cores=2.0, pieces=3)
    assert world.cancel_job("j-8", "c1")
    assert world.cancel_job("j-8", "c2")
    assert send(owner="tight", cores=2.0, pieces=3, ref="j-8") == 200
    assert send(owner="nobody", ref="j-8") == 200, "an accepted job is never refused later"
    assert [world.poll_job(job_id, "c0")[0] for job_id in ("j-8", "j-77", "nonsense")] == [200, 404, 404]  # type: ignore[index]
    assert not world.cancel_job("j-77", "c0")
