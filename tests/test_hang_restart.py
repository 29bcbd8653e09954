"""All controllers start anew while machines hang with tasks of a job that was cancelled just before."""

import pytest

from virtual import (
    Agent,
    Fault,
    FaultContext,
    S,
    World,
    busy_world,
    cancel_job,
    cut_store_link,
    freeze_controller,
    full_world,
    leader_of,
    lose_store_and_peers,
    run_with_checks,
    slow_service_links,
    store_refuses_controller,
)

HANG = 90.0


def hang_and_cancel(world: World, machines: int) -> list[Agent]:
    """So many machines with tasks of the job hang; then the job is cancelled."""
    hung = list({agent.host: agent for agent, _ in world.invariants.running_tasks()}.values())[:machines]
    for agent in hung:
        agent.hang(HANG)
    world.run(0.5)
    cancel_job(world, world.rng, "j-1")
    assert world.run_until(lambda: "j-1" in world.cancelled_at, 5)
    return hung


def restart_all(world: World, away: float) -> None:
    for node in world.nodes.values():
        node.kill()
        world.after(away * S, node.start)


@pytest.mark.parametrize("slow_state", [0.0, 1.0])
@pytest.mark.parametrize("kill_at", [2.0, 6.0, 10.0, 12.0, 14.0])
def test_many_hanging_machines_are_returned_in_time_across_a_restart(kill_at: float, slow_state: float) -> None:
    """The processes are back within half a second; `cancel_s` is 20 s."""
    world = full_world()
    hung = hang_and_cancel(world, 6)
    world.max_store_delay_s = slow_state
    run_with_checks(world, kill_at)
    restart_all(world, 0.5)
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


@pytest.mark.parametrize("seed", range(1, 4))
def test_one_hanging_machine_is_returned_in_time_across_a_restart(seed: int) -> None:
    """It is killed just before it would have returned the machine, at three quarters of `cancel_s`."""
    world = busy_world(seed, guessS=500.0)
    hung = hang_and_cancel(world, 1)
    run_with_checks(world, 14.5)
    restart_all(world, 0.5)
    run_with_checks(world, 15)
    assert world.invariants.violations == []
    assert not hung[0].alive


def test_hanging_machines_are_returned_in_time_when_all_are_away_for_a_lease() -> None:
    """`lease_s` is 8 s, and nine seconds are left when the controllers are back."""
    world = full_world()
    hung = hang_and_cancel(world, 6)
    run_with_checks(world, 2)
    restart_all(world, 9)
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


@pytest.mark.parametrize("away", [0.5, 2.0, 6.0, None], ids=str)
@pytest.mark.parametrize("kill_at", [2.0, 6.0, 9.0, 12.0, 14.5])
@pytest.mark.parametrize("machines", [1, 6])
def test_hanging_machines_are_returned_in_time_when_the_leader_ends(
    machines: int, kill_at: float, away: float | None
) -> None:
    """The other two controllers live on, and know when the job was cancelled. None: the leader is not back."""
    world = full_world()
    hung = hang_and_cancel(world, machines)
    run_with_checks(world, kill_at)
    node = world.nodes[leader_of(world)]
    node.kill()
    if away is not None:
        world.after(away * S, node.start)
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


@pytest.mark.parametrize(
    "trouble",
    [store_refuses_controller, cut_store_link, lose_store_and_peers, freeze_controller, slow_service_links],
    ids=lambda one: one.__name__,
)
@pytest.mark.parametrize("begin", [2.0, 9.0, 12.7, 13.9])
@pytest.mark.parametrize("machines", [1, 6])
def test_hanging_machines_are_returned_in_time_when_the_leader_is_in_trouble(
    machines: int, begin: float, trouble: Fault
) -> None:
    world = full_world()
    hung = hang_and_cancel(world, machines)
    run_with_checks(world, begin)
    trouble(FaultContext(world, world.rng, 9 * S, leader_of(world), []))
    run_with_checks(world, 25)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


def test_without_the_guards_a_cancelled_task_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.controller.timings.CONFIRM_TIMEOUT_RATIO", 0.75)
    monkeypatch.setattr("ramptide.controller.fencing.SurvivingPeers.on_new_view", lambda survivors, view: None)
    world = full_world()
    hang_and_cancel(world, 6)
    run_with_checks(world, 12)
    restart_all(world, 0.5)
    run_with_checks(world, 25)
    assert any(one.startswith("ran_cancelled j-1") for one in world.invariants.violations)
