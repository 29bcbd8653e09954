"""All controllers start anew while machines hang with tasks of a job that was cancelled just before."""

import pytest
from test_meetings import full_world, watch
from test_world import busy_world
from troubles import Scene, Trouble, alone, cut_state, freeze, refused, slow_services
from users import withdraw
from world import S, Worker, World, leader

HANG = 90.0


def hang_and_cancel(world: World, machines: int) -> list[Worker]:
    """So many machines with tasks of the job hang; then the job is cancelled."""
    hung = list({worker.host: worker for worker, _ in world.rules.on_machines()}.values())[:machines]
    for worker in hung:
        worker.hang(HANG)
    world.run(0.5)
    withdraw(world, world.rng, "j-1")
    assert world.run_until(lambda: "j-1" in world.cancelled, 5)
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
    world.slow_state = slow_state
    watch(world, kill_at)
    restart_all(world, 0.5)
    watch(world, 25)
    assert world.rules.broken == [] and not any(worker.alive for worker in hung)


@pytest.mark.parametrize("seed", range(1, 4))
def test_one_hanging_machine_is_returned_in_time_across_a_restart(seed: int) -> None:
    """It is killed just before it would have returned the machine, at three quarters of `cancel_s`."""
    world = busy_world(seed, guessS=500.0)
    hung = hang_and_cancel(world, 1)
    watch(world, 14.5)
    restart_all(world, 0.5)
    watch(world, 15)
    assert world.rules.broken == [] and not hung[0].alive


def test_hanging_machines_are_returned_in_time_when_all_are_away_for_a_lease() -> None:
    """`lease_s` is 8 s, and nine seconds are left when the controllers are back."""
    world = full_world()
    hung = hang_and_cancel(world, 6)
    watch(world, 2)
    restart_all(world, 9)
    watch(world, 25)
    assert world.rules.broken == [] and not any(worker.alive for worker in hung)


@pytest.mark.parametrize("away", [0.5, 2.0, 6.0, None], ids=str)
@pytest.mark.parametrize("kill_at", [2.0, 6.0, 9.0, 12.0, 14.5])
@pytest.mark.parametrize("machines", [1, 6])
def test_hanging_machines_are_returned_in_time_when_the_leader_ends(
    machines: int, kill_at: float, away: float | None
) -> None:
    """The other two controllers live on, and know when the job was cancelled. None: the leader is not back."""
    world = full_world()
    hung = hang_and_cancel(world, machines)
    watch(world, kill_at)
    node = world.nodes[leader(world)]
    node.kill()
    if away is not None:
        world.after(away * S, node.start)
    watch(world, 25)
    assert world.rules.broken == [] and not any(worker.alive for worker in hung)


@pytest.mark.parametrize("trouble", [refused, cut_state, alone, freeze, slow_services], ids=lambda one: one.__name__)
@pytest.mark.parametrize("begin", [2.0, 9.0, 12.7, 13.9])
@pytest.mark.parametrize("machines", [1, 6])
def test_hanging_machines_are_returned_in_time_when_the_leader_is_in_trouble(
    machines: int, begin: float, trouble: Trouble
) -> None:
    world = full_world()
    hung = hang_and_cancel(world, machines)
    watch(world, begin)
    trouble(Scene(world, world.rng, 9 * S, leader(world), []))
    watch(world, 25)
    assert world.rules.broken == [] and not any(worker.alive for worker in hung)


def test_without_the_guards_a_cancelled_task_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.app.PROVE_WITHIN", 0.75)
    monkeypatch.setattr("ramptide.app.Controller._count_witnesses", lambda controller, view: None)
    world = full_world()
    hang_and_cancel(world, 6)
    watch(world, 12)
    restart_all(world, 0.5)
    watch(world, 25)
    assert any(one.startswith("ran_cancelled j-1") for one in world.rules.broken)
