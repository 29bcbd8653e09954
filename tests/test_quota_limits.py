"""Limits that operators change while work runs: the records, their checks, and what starts meanwhile."""

import json
from typing import Any

import pytest

from ramptide.clients.transactions import TransactionResult
from ramptide.config.features import Features, QuotaFeature
from ramptide.protocol.settings_file import Team
from ramptide.quota.limit_table import LimitTable
from ramptide.quota.overrides import (
    LimitError,
    LimitRecord,
    TeamLimit,
    decode_record,
    effective_limits,
    key_of,
    promote,
    team_of,
    with_pending_change,
)
from ramptide.state.amounts import NO_LIMIT, UNITS_PER_WHOLE, Amounts
from virtual import World, leader_of, started_world

ON = Features(QuotaFeature(True))
PLATFORM = Team("tight", cpus=4.0, cpus_max=12.0)


def cores(count: int) -> Amounts:
    return Amounts(count * UNITS_PER_WHOLE, NO_LIMIT)


def test_while_a_change_is_pending_the_stricter_limit_counts() -> None:
    lowered = with_pending_change("tight", {"cpus_max": 6}, None, PLATFORM)
    assert effective_limits({"tight": PLATFORM}, {"tight": lowered}).limits["tight"] == cores(6)
    in_force = promote(lowered, PLATFORM)
    assert in_force == LimitRecord(1, TeamLimit(4.0, 6.0))
    raised = with_pending_change("tight", None, in_force, PLATFORM)
    now = effective_limits({"tight": PLATFORM}, {"tight": raised})
    assert now.limits["tight"] == cores(6)
    assert now.teams["tight"].cpus_max == 6.0
    assert promote(raised, PLATFORM) is None, "the platform's limit needs no record"


def test_a_removed_team_starts_nothing_and_an_added_one_counts_once_in_force() -> None:
    removed = with_pending_change("tight", {"removed": True}, None, PLATFORM)
    now = effective_limits({"tight": PLATFORM}, {"tight": removed})
    assert now.limits["tight"] == (0, 0)
    assert "tight" not in now.teams
    assert "tight" not in now.guarantees
    added = with_pending_change("new", {"cpus_max": 8}, None, None)
    assert "new" not in effective_limits({}, {"new": added}).teams
    now = effective_limits({}, {"new": promote(added, None)})  # type: ignore[dict-item]
    assert now.teams["new"].cpus_max == 8.0
    assert now.limits["new"] == cores(8)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"cpu_max": 6}, "cpu_max"),
        ({"cpus_max": -1}, "cpus_max"),
        ({"cpus_max": "6"}, "cpus_max"),
        ({"cpus_max": 13}, "platform"),
        ({"cpus_max": 0}, "platform"),
        ({"cpus": 7, "cpus_max": 6}, "cpus_max"),
        ({"gpus": 2, "gpus_max": 1}, "gpus_max"),
        ([], "not an object"),
    ],
)
def test_changes_that_make_no_sense_are_refused_in_one_line(changes: Any, named: str) -> None:
    with pytest.raises(LimitError, match=named) as raised:
        with_pending_change("tight", changes, None, PLATFORM)
    assert "\n" not in str(raised.value)
    assert str(raised.value).startswith("tight")


@pytest.mark.parametrize("value", [None, 5, {}, {"version": 2}, {"version": 1, "in_force": {"cpus": -1}}])
def test_records_that_cannot_be_read_are_refused(value: Any) -> None:
    with pytest.raises(LimitError):
        decode_record(value)


def test_names_of_any_kind_have_a_key() -> None:
    assert team_of(key_of("night shift/ü")) == "night shift/ü"
    assert " " not in key_of("night shift")
    for name in ("", "x" * 201):
        with pytest.raises(LimitError):
            key_of(name)


# In a running cluster.


def running() -> World:
    """A team at its limit; its jobs are small enough for the machines of one member, so that each member has some."""
    world = started_world(2, teams={"tight": 12.0, "other": 10.0}, capacity=12, parts=ON)
    for number in range(30):
        world.define_job(f"j-{number}", owner="tight", pieces=4, cores=1.0, guessS=3.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    assert world.run_until(lambda: in_use(world) >= 10.0, 40)
    return world


def in_use(world: World) -> float:
    return sum(float(world.job_specs[task.job_id]["cores"]) for _, task in world.invariants.running_tasks())


def admin(world: World, name: str, changes: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
    """A call of the administration API."""
    from ramptide.controller.administration import build_admin_api

    controller = world.nodes[name].controller
    assert controller is not None
    got: list[tuple[int, dict[str, Any]]] = []
    body = json.dumps(changes).encode() if changes is not None else b""
    method = "GET" if changes is None else "PATCH"
    assert build_admin_api(controller).handle(
        method, "/admin/quota", body, lambda status, raw, kind: got.append((status, json.loads(raw)))
    )
    world.run_until(lambda: bool(got), 5)
    return got[0]


def pending(world: World, team: str) -> bool:
    row = world.store.entries.get(key_of(team))
    return row is not None and "pending" in row[0]


def busiest(world: World) -> str:
    """The member beside the leader whose tasks use most of the limit."""
    use: dict[str, int] = {}
    for name, node in world.nodes.items():
        assert node.controller is not None
        assert node.controller.state.scheduler is not None
        use[name] = node.controller.state.scheduler.usage().get("tight", (0, 0))[0]
    name = max((name for name in world.controller_names if name != leader_of(world)), key=lambda one: use[one])
    assert use[name] > UNITS_PER_WHOLE
    return name


def watch_limit(world: World, most: float, seconds: float) -> None:
    """For so long nothing starts above the limit."""
    begun = world.invariants.on_task_started

    def starting(agent: Any, task: Any) -> None:
        if in_use(world) > most + 1e-6:
            world.invariants.violations.append(f"started above the new limit: {in_use(world)}")
        begun(agent, task)

    world.invariants.on_task_started = starting  # type: ignore[method-assign]
    world.run(seconds)
    world.invariants.on_task_started = begun  # type: ignore[method-assign]


def lower(world: World, most: float) -> None:
    assert admin(world, "c1", {"tight": {"cpus_max": most}}) == (202, {"pending": ["tight"]})
    assert world.run_until(lambda: not pending(world, "tight"), 10)


def test_a_limit_lowered_below_use_starts_nothing_above_it_from_its_commit_on() -> None:
    world = running()
    lower(world, 4.0)
    starts = world.invariants.start_count
    watch_limit(world, 4.0, 30)
    assert world.invariants.violations == []
    assert world.invariants.start_count > starts
    assert in_use(world) <= 4.0
    assert admin(world, "c2", {"tight": None})[0] == 202
    assert world.run_until(lambda: in_use(world) >= 10.0, 20), "raised again"
    assert key_of("tight") not in world.store.entries
    assert world.invariants.violations == []


def test_without_waiting_for_the_members_something_starts_above_the_new_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that is cut off from the leader goes on under the share that it has."""
    monkeypatch.setattr(LimitTable, "_are_shares_within_limit", lambda self, team: True)
    world = running()
    world.cut_link(busiest(world), leader_of(world))
    lower(world, 1.0)
    watch_limit(world, 1.0, 10)
    assert world.invariants.violations


def test_a_member_that_is_cut_off_keeps_the_change_pending() -> None:
    world = running()
    world.cut_link(busiest(world), leader_of(world))
    assert admin(world, leader_of(world), {"tight": {"cpus_max": 1.0}})[0] == 202
    world.run(3)
    assert pending(world, "tight")
    assert admin(world, leader_of(world), None)[1]["teams"]["tight"]["record"]["pending"]["cpus_max"] == 1.0
    world.heal()
    assert world.run_until(lambda: not pending(world, "tight"), 30)
    watch_limit(world, 1.0, 10)
    assert world.invariants.violations == []


def test_a_change_outlives_the_leader_and_a_restart_of_all() -> None:
    world = running()
    lower(world, 4.0)
    for node in world.nodes.values():
        node.kill()
    world.run(1)
    for node in world.nodes.values():
        node.start()
    world.run(15)
    starts = world.invariants.start_count
    watch_limit(world, 4.0, 15)
    assert world.invariants.violations == []
    assert world.invariants.start_count > starts
    assert in_use(world) <= 4.0


def submit(world: World, body: bytes, statuses: list[int]) -> None:
    world.request("c1", lambda controller: controller.job_api.submit(body, lambda status, *_: statuses.append(status)))


def test_a_removed_team_is_refused_its_known_jobs_are_not_and_it_can_come_back() -> None:
    world = running()
    assert admin(world, "c0", {"tight": {"removed": True}})[0] == 202
    assert world.run_until(lambda: not pending(world, "tight"), 10)
    watch_limit(world, 0.0, 10)
    assert world.invariants.violations == []
    assert in_use(world) == 0
    got: list[int] = []
    for job_id in ("j-0", "j-77"):
        world.define_job(job_id, owner="tight", pieces=4, cores=1.0, guessS=3.0)
        body = json.dumps(world.job_specs[job_id]).encode()
        submit(world, body, got)
        world.run(1)
    assert got == [200, 422]
    assert admin(world, "c0", {"tight": None})[0] == 202
    assert world.run_until(lambda: in_use(world) > 0, 20)


@pytest.mark.parametrize(
    "changes", [{}, [], {"tight": {"cpus_max": 99}}, {"x" * 300: {}}, {str(n): None for n in range(40)}]
)
def test_calls_that_make_no_sense_change_nothing(changes: Any) -> None:
    world = started_world(1, teams={"tight": 12.0}, parts=ON)
    status, told = admin(world, "c0", changes)
    assert status == 400
    assert told["error"]
    assert not [key for key in world.store.entries if key.startswith("live/quota/")]


def test_a_broken_record_leaves_the_limit_as_it_was(caplog: pytest.LogCaptureFixture) -> None:
    world = started_world(1, teams={"tight": 12.0}, parts=ON)
    world.store.put(key_of("tight"), {"version": 9})
    world.run(2)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.state.limits["tight"] == cores(12)
    assert len([one for one in caplog.records if "broken limit record: team='tight'" in one.message]) == len(
        world.controller_names
    )


def test_a_change_lost_to_another_one_is_told() -> None:
    world = started_world(1, teams={"tight": 12.0}, parts=ON)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.limit_table is not None
    results: list[TransactionResult] = []
    for most in (5, 6):
        controller.limit_table.request_changes({"tight": {"cpus_max": most}}, results.append)
    world.run(2)
    assert [one.is_applied for one in results] == [True, False]
    assert results[1].conflicting_keys == (key_of("tight"),)
