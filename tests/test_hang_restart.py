"""Controllers restart or fail while machines hang with tasks of a job that was cancelled just before.

A silent machine may still run the cancelled task, so it has to be returned within `cancel_s` of the confirmation. The
tests guard against a late return, which comes about when restarted processes do not know when the job was cancelled, or
when a leader fails just before it would have returned the machine.
"""

import pytest

from virtual import (
    SECOND,
    Agent,
    Fault,
    FaultContext,
    World,
    busy_world,
    cancel_job,
    cut_store_link,
    freeze_controller,
    large_busy_world,
    leader_of,
    lose_store_and_peers,
    run_with_checks,
    slow_service_links,
    store_refuses_controller,
)

HANG_DURATION_S = 90.0


def hang_and_cancel(world: World, machine_count: int) -> list[Agent]:
    """Hang `machine_count` machines with tasks of j-1 and cancel the job; return the machines."""
    hung = list({agent.host: agent for agent, _ in world.invariants.running_tasks()}.values())[:machine_count]
    for agent in hung:
        agent.hang(HANG_DURATION_S)
    world.run(0.5)
    cancel_job(world, world.rng, "j-1")
    assert world.run_until(lambda: "j-1" in world.cancelled_at, 5)
    return hung


def restart_all(world: World, down_s: float) -> None:
    for node in world.nodes.values():
        node.kill()
        world.after(down_s * SECOND, node.start)


@pytest.mark.parametrize("store_delay_s", [0.0, 1.0])
@pytest.mark.parametrize("kill_at_s", [2.0, 6.0, 10.0, 12.0, 14.0])
def test_many_hanging_machines_are_returned_in_time_when_all_controllers_restart(
    kill_at_s: float, store_delay_s: float
) -> None:
    """The processes start again after half a second; `cancel_s` is 20 s."""
    world = large_busy_world()
    hung = hang_and_cancel(world, 6)
    world.max_store_delay_s = store_delay_s
    run_with_checks(world, kill_at_s)
    restart_all(world, 0.5)
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


@pytest.mark.parametrize("seed", range(1, 4))
def test_one_hanging_machine_is_returned_in_time_when_all_controllers_restart(seed: int) -> None:
    """The controllers are killed 14.5 s after the confirmation, just before three quarters of `cancel_s`.

    The machine would be returned then if `CONFIRM_TIMEOUT_RATIO` were 0.75.
    """
    world = busy_world(seed, guessS=500.0)
    hung = hang_and_cancel(world, 1)
    run_with_checks(world, 14.5)
    restart_all(world, 0.5)
    run_with_checks(world, 15)
    assert world.invariants.violations == []
    assert not hung[0].alive


def test_hanging_machines_are_returned_in_time_when_all_controllers_are_down_for_a_lease() -> None:
    """`lease_s` is 8 s, and 9 s of `cancel_s` are left when the controllers start again."""
    world = large_busy_world()
    hung = hang_and_cancel(world, 6)
    run_with_checks(world, 2)
    restart_all(world, 9)
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


@pytest.mark.parametrize("down_s", [0.5, 2.0, 6.0, None], ids=str)
@pytest.mark.parametrize("kill_at_s", [2.0, 6.0, 9.0, 12.0, 14.5])
@pytest.mark.parametrize("machine_count", [1, 6])
def test_hanging_machines_are_returned_in_time_when_the_leader_is_killed(
    machine_count: int, kill_at_s: float, down_s: float | None
) -> None:
    """The other controllers continue, and know when the job was cancelled.

    If `down_s` is None, the leader is not started again.
    """
    world = large_busy_world()
    hung = hang_and_cancel(world, machine_count)
    run_with_checks(world, kill_at_s)
    node = world.nodes[leader_of(world)]
    node.kill()
    if down_s is not None:
        world.after(down_s * SECOND, node.start)
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


@pytest.mark.parametrize(
    "fault",
    [store_refuses_controller, cut_store_link, lose_store_and_peers, freeze_controller, slow_service_links],
    ids=lambda function: function.__name__,
)
@pytest.mark.parametrize("fault_at_s", [2.0, 9.0, 12.7, 13.9])
@pytest.mark.parametrize("machine_count", [1, 6])
def test_hanging_machines_are_returned_in_time_when_a_fault_affects_the_leader(
    machine_count: int, fault_at_s: float, fault: Fault
) -> None:
    world = large_busy_world()
    hung = hang_and_cancel(world, machine_count)
    run_with_checks(world, fault_at_s)
    fault(FaultContext(world, world.rng, 9 * SECOND, leader_of(world), []))
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


def test_cancelled_task_runs_on_without_early_machine_return_and_tracking_of_surviving_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ramptide.controller.timings.CONFIRM_TIMEOUT_RATIO", 0.75)
    monkeypatch.setattr("ramptide.controller.fencing.SurvivingPeers.on_new_view", lambda survivors, view: None)
    world = large_busy_world()
    hang_and_cancel(world, 6)
    run_with_checks(world, 12)
    restart_all(world, 0.5)
    run_with_checks(world, 25)
    assert any(violation.startswith("ran_cancelled j-1") for violation in world.invariants.violations)
