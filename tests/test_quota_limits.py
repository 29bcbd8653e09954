"""Team limits that operators change while jobs run: the records, the checks of changes, and the starts meanwhile.

Tasks could start above a lowered limit when a member that is disconnected from the leader still acts on a share of the
old limit, or when all controllers restart and the change is lost. Other tests guard against invalid changes and
records.
"""

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

QUOTA_ENABLED = Features(QuotaFeature(True))
PLATFORM_TEAM = Team("tight", cpus=4.0, cpus_max=12.0)


def cpu_limit(count: int) -> Amounts:
    return Amounts(count * UNITS_PER_WHOLE, NO_LIMIT)


def test_lower_limit_is_in_effect_while_a_change_is_pending() -> None:
    lowered = with_pending_change("tight", {"cpus_max": 6}, None, PLATFORM_TEAM)
    assert effective_limits({"tight": PLATFORM_TEAM}, {"tight": lowered}).limits["tight"] == cpu_limit(6)
    in_force = promote(lowered, PLATFORM_TEAM)
    assert in_force == LimitRecord(1, TeamLimit(4.0, 6.0))
    raised = with_pending_change("tight", None, in_force, PLATFORM_TEAM)
    in_effect = effective_limits({"tight": PLATFORM_TEAM}, {"tight": raised})
    assert in_effect.limits["tight"] == cpu_limit(6)
    assert in_effect.teams["tight"].cpus_max == 6.0
    assert promote(raised, PLATFORM_TEAM) is None, "the limit of the platform's settings needs no record"


def test_limit_of_removed_team_is_zero_and_added_team_counts_only_when_in_force() -> None:
    removed = with_pending_change("tight", {"removed": True}, None, PLATFORM_TEAM)
    in_effect = effective_limits({"tight": PLATFORM_TEAM}, {"tight": removed})
    assert in_effect.limits["tight"] == (0, 0)
    assert "tight" not in in_effect.teams
    assert "tight" not in in_effect.guarantees
    added = with_pending_change("new", {"cpus_max": 8}, None, None)
    assert "new" not in effective_limits({}, {"new": added}).teams
    in_effect = effective_limits({}, {"new": promote(added, None)})  # type: ignore[dict-item]
    assert in_effect.teams["new"].cpus_max == 8.0
    assert in_effect.limits["new"] == cpu_limit(8)


@pytest.mark.parametrize(
    ("changes", "expected_text"),
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
def test_invalid_change_is_refused_with_one_line_that_names_the_mistake(changes: Any, expected_text: str) -> None:
    with pytest.raises(LimitError, match=expected_text) as raised:
        with_pending_change("tight", changes, None, PLATFORM_TEAM)
    assert "\n" not in str(raised.value)
    assert str(raised.value).startswith("tight")


@pytest.mark.parametrize("value", [None, 5, {}, {"version": 2}, {"version": 1, "in_force": {"cpus": -1}}])
def test_invalid_limit_record_is_refused(value: Any) -> None:
    with pytest.raises(LimitError):
        decode_record(value)


def test_key_encodes_any_team_name_that_is_neither_empty_nor_too_long() -> None:
    assert team_of(key_of("night shift/ü")) == "night shift/ü"
    assert " " not in key_of("night shift")
    for name in ("", "x" * 201):
        with pytest.raises(LimitError):
            key_of(name)


# The tests below change limits in a running cluster.


def world_at_limit() -> World:
    """Return a world with a team at its limit.

    Each job fits the machines of one member, so that each member runs some of the jobs.
    """
    world = started_world(2, teams={"tight": 12.0, "other": 10.0}, capacity=12, features=QUOTA_ENABLED)
    for number in range(30):
        world.define_job(f"j-{number}", owner="tight", pieces=4, cores=1.0, guessS=3.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    assert world.run_until(lambda: cpus_in_use(world) >= 10.0, 40)
    return world


def cpus_in_use(world: World) -> float:
    return sum(float(world.job_specs[task.job_id]["cores"]) for _, task in world.invariants.running_tasks())


def call_quota_api(world: World, name: str, changes: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
    """Call the administration API of a controller, and return the status and the decoded body of its answer.

    The call changes limits; with None for `changes`, it reads them.
    """
    from ramptide.controller.administration import build_admin_api

    controller = world.nodes[name].controller
    assert controller is not None
    answers: list[tuple[int, dict[str, Any]]] = []
    body = json.dumps(changes).encode() if changes is not None else b""
    method = "GET" if changes is None else "PATCH"
    assert build_admin_api(controller).handle(
        method,
        "/admin/quota",
        body,
        lambda status, answer_body, kind: answers.append((status, json.loads(answer_body))),
    )
    world.run_until(lambda: bool(answers), 5)
    return answers[0]


def is_change_pending(world: World, team: str) -> bool:
    entry = world.store.entries.get(key_of(team))
    return entry is not None and "pending" in entry[0]


def follower_with_most_usage(world: World) -> str:
    """Return the member, other than the leader, whose tasks use most of the limit."""
    usage: dict[str, int] = {}
    for name, node in world.nodes.items():
        assert node.controller is not None
        assert node.controller.state.scheduler is not None
        usage[name] = node.controller.state.scheduler.usage().get("tight", (0, 0))[0]
    name = max((name for name in world.controller_names if name != leader_of(world)), key=lambda member: usage[member])
    assert usage[name] > UNITS_PER_WHOLE
    return name


def run_and_check_starts(world: World, limit_cpus: float, seconds: float) -> None:
    """Run the world, and record a violation for each task that starts above the limit."""
    on_task_started = world.invariants.on_task_started

    def check_start(agent: Any, task: Any) -> None:
        if cpus_in_use(world) > limit_cpus + 1e-6:
            world.invariants.violations.append(f"started above the new limit: {cpus_in_use(world)}")
        on_task_started(agent, task)

    world.invariants.on_task_started = check_start  # type: ignore[method-assign]
    world.run(seconds)
    world.invariants.on_task_started = on_task_started  # type: ignore[method-assign]


def lower_limit(world: World, limit_cpus: float) -> None:
    """Lower the limit of the team, and wait until the change is in force."""
    assert call_quota_api(world, "c1", {"tight": {"cpus_max": limit_cpus}}) == (202, {"pending": ["tight"]})
    assert world.run_until(lambda: not is_change_pending(world, "tight"), 10)


def test_no_task_starts_above_a_limit_that_was_lowered_below_usage() -> None:
    """After the commit that puts the lowered limit in force, no task starts above it."""
    world = world_at_limit()
    lower_limit(world, 4.0)
    starts_before = world.invariants.start_count
    run_and_check_starts(world, 4.0, 30)
    assert world.invariants.violations == []
    assert world.invariants.start_count > starts_before
    assert cpus_in_use(world) <= 4.0
    assert call_quota_api(world, "c2", {"tight": None})[0] == 202
    assert world.run_until(lambda: cpus_in_use(world) >= 10.0, 20), "the platform's limit is in effect again"
    assert key_of("tight") not in world.store.entries
    assert world.invariants.violations == []


def test_task_starts_above_a_lowered_limit_without_the_wait_for_all_members(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that is disconnected from the leader keeps starting tasks within its old share."""
    monkeypatch.setattr(LimitTable, "_are_shares_within_limit", lambda self, team: True)
    world = world_at_limit()
    world.cut_link(follower_with_most_usage(world), leader_of(world))
    lower_limit(world, 1.0)
    run_and_check_starts(world, 1.0, 10)
    assert world.invariants.violations


def test_change_stays_pending_while_a_member_is_disconnected_from_the_leader() -> None:
    world = world_at_limit()
    world.cut_link(follower_with_most_usage(world), leader_of(world))
    assert call_quota_api(world, leader_of(world), {"tight": {"cpus_max": 1.0}})[0] == 202
    world.run(3)
    assert is_change_pending(world, "tight")
    assert call_quota_api(world, leader_of(world), None)[1]["teams"]["tight"]["record"]["pending"]["cpus_max"] == 1.0
    world.heal()
    assert world.run_until(lambda: not is_change_pending(world, "tight"), 30)
    run_and_check_starts(world, 1.0, 10)
    assert world.invariants.violations == []


def test_lowered_limit_stays_in_effect_when_all_controllers_restart() -> None:
    world = world_at_limit()
    lower_limit(world, 4.0)
    for node in world.nodes.values():
        node.kill()
    world.run(1)
    for node in world.nodes.values():
        node.start()
    world.run(15)
    starts_before = world.invariants.start_count
    run_and_check_starts(world, 4.0, 15)
    assert world.invariants.violations == []
    assert world.invariants.start_count > starts_before
    assert cpus_in_use(world) <= 4.0


def submit_job(world: World, body: bytes, statuses: list[int]) -> None:
    world.request("c1", lambda controller: controller.job_api.submit(body, lambda status, *_: statuses.append(status)))


def test_removed_team_runs_nothing_and_only_its_known_jobs_are_accepted_until_it_is_restored() -> None:
    world = world_at_limit()
    assert call_quota_api(world, "c0", {"tight": {"removed": True}})[0] == 202
    assert world.run_until(lambda: not is_change_pending(world, "tight"), 10)
    run_and_check_starts(world, 0.0, 10)
    assert world.invariants.violations == []
    assert cpus_in_use(world) == 0
    statuses: list[int] = []
    for job_id in ("j-0", "j-77"):
        world.define_job(job_id, owner="tight", pieces=4, cores=1.0, guessS=3.0)
        body = json.dumps(world.job_specs[job_id]).encode()
        submit_job(world, body, statuses)
        world.run(1)
    assert statuses == [200, 422]
    assert call_quota_api(world, "c0", {"tight": None})[0] == 202
    assert world.run_until(lambda: cpus_in_use(world) > 0, 20)


@pytest.mark.parametrize(
    "changes", [{}, [], {"tight": {"cpus_max": 99}}, {"x" * 300: {}}, {str(n): None for n in range(40)}]
)
def test_invalid_call_changes_no_limit(changes: Any) -> None:
    world = started_world(1, teams={"tight": 12.0}, features=QUOTA_ENABLED)
    status, answer = call_quota_api(world, "c0", changes)
    assert status == 400
    assert answer["error"]
    assert not [key for key in world.store.entries if key.startswith("live/quota/")]


def test_broken_limit_record_leaves_the_limit_unchanged(caplog: pytest.LogCaptureFixture) -> None:
    world = started_world(1, teams={"tight": 12.0}, features=QUOTA_ENABLED)
    world.store.put(key_of("tight"), {"version": 9})
    world.run(2)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.state.limits["tight"] == cpu_limit(12)
    assert len([record for record in caplog.records if "broken limit record: team='tight'" in record.message]) == len(
        world.controller_names
    )


def test_change_is_reported_as_conflicting_when_another_one_came_first() -> None:
    world = started_world(1, teams={"tight": 12.0}, features=QUOTA_ENABLED)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.limit_table is not None
    results: list[TransactionResult] = []
    for limit_cpus in (5, 6):
        controller.limit_table.request_changes({"tight": {"cpus_max": limit_cpus}}, results.append)
    world.run(2)
    assert [result.is_applied for result in results] == [True, False]
    assert results[1].conflicting_keys == (key_of("tight"),)
