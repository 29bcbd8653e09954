"""Controllers on slow processors, where each event delays all later ones.

The tests guard against controllers that lose their leases or machines because heartbeats, messages and responses wait
behind other events. No invariant may be violated, and new jobs must be accepted and finish.
"""

import random

import pytest

from ramptide.controller.controller import Controller
from virtual import MILLISECOND, SECOND, Node, World, cancel_job, leader_of, restart_controller, submit_job

#: The processor time of an event. Without requests of users, a controller has about 30 events per second in these
#: tests.
EVENT_COST = 20 * MILLISECOND


def slow_world(seed: int) -> World:
    """Return a world with services and arrays, whose controllers have slow processors from their start on."""
    world = World(seed, teams={"team": 0.0, "tight": 24.0}, capacity=10)
    for node in world.nodes.values():
        node.event_cost = EVENT_COST
        node.start()
    assert world.run_until(
        lambda: all(node.controller and node.controller.state.reconciled for node in world.nodes.values()), 15
    )
    rng = random.Random(seed)
    for number in range(8):
        shape = "service" if number < 3 else "batch"
        team = "tight" if number % 2 else "team"
        world.define_job(f"j-{number}", shape=shape, pieces=1 if number < 3 else 6, guessS=6.0, owner=team)
        submit_job(world, rng, f"j-{number}", 60)
    world.run(12)
    return world


def run_with_two_checks_per_second(world: World, seconds: int) -> None:
    """Advance the clock, and check the invariants twice a second."""
    for _ in range(seconds * 2):
        world.run(0.5)
        world.invariants.check()


def check_new_job_finishes(world: World, job_id: str) -> None:
    """Check that a new array is accepted and finishes, and that no invariant was violated."""
    world.define_job(job_id, pieces=4, guessS=2.0)
    submit_job(world, world.rng, job_id, 60)
    assert world.run_until(lambda: world.is_done(job_id), 60)
    assert world.invariants.violations == []


def newest_view_number(world: World) -> int:
    return max(
        node.controller.state.view.number
        for node in world.nodes.values()
        if node.controller and node.controller.state.view
    )


@pytest.mark.parametrize("seed", range(2))
def test_view_does_not_change_when_controllers_are_only_slow(seed: int) -> None:
    world = slow_world(seed)
    before = newest_view_number(world)
    run_with_two_checks_per_second(world, 30)
    assert newest_view_number(world) == before
    check_new_job_finishes(world, "j-100")


def flood_leader_with_polls(world: World) -> list[int]:
    """Send the leader more polls in ten seconds than it can answer in that time; return the statuses of its answers."""
    name = leader_of(world)
    statuses: list[int] = []

    def poll(controller: Controller) -> None:
        controller.job_api.poll("j-4", lambda status, *_: statuses.append(status))

    for number in range(800):
        world.after(number * 12.5 * MILLISECOND, lambda: world.request(name, poll))
    world.run(9)
    assert world.nodes[name].backlog > 200, "the leader is behind with its events"
    run_with_two_checks_per_second(world, 31)
    return statuses


@pytest.mark.parametrize("seed", range(2))
def test_slow_controller_keeps_its_place_and_its_machines_during_a_flood_of_polls(seed: int) -> None:
    world = slow_world(seed)
    before, epochs = (
        newest_view_number(world),
        {agent.host: agent.agent_epoch for agent in world.agents.values() if agent.alive},
    )
    statuses = flood_leader_with_polls(world)
    assert len(statuses) == 800
    assert newest_view_number(world) == before
    assert all(world.agents[host].agent_epoch == epoch for host, epoch in epochs.items()), "no lease expired"
    check_new_job_finishes(world, "j-100")


def test_slow_controller_loses_its_place_without_the_deferral_of_user_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    original_request = Node.request
    monkeypatch.setattr(
        Node,
        "request",
        lambda node, call, on_not_running=lambda: None, deferrable=False: original_request(node, call, on_not_running),
    )
    world = slow_world(0)
    before = newest_view_number(world)
    flood_leader_with_polls(world)
    assert newest_view_number(world) > before


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("down_s", [0.3, 3.0])
def test_new_job_finishes_when_all_controllers_and_then_the_leader_restarted(seed: int, down_s: float) -> None:
    world = slow_world(seed)
    for name in world.controller_names:
        restart_controller(world, name, down_s)
    run_with_two_checks_per_second(world, 20)
    restart_controller(world, leader_of(world), down_s)
    run_with_two_checks_per_second(world, 20)
    check_new_job_finishes(world, "j-100")


@pytest.mark.parametrize("seed", range(2))
def test_new_job_finishes_when_the_leader_was_isolated(seed: int) -> None:
    world = slow_world(seed)
    world.isolate(leader_of(world), *list(world.agents)[:3])
    run_with_two_checks_per_second(world, 20)
    world.heal()
    run_with_two_checks_per_second(world, 10)
    check_new_job_finishes(world, "j-100")


@pytest.mark.parametrize("seed", range(3))
def test_cancelled_tasks_end_in_time_when_an_outage_of_the_store_follows(seed: int) -> None:
    world = slow_world(seed)
    for job_id in ("j-0", "j-1", "j-3"):
        world.accepted_jobs.add(job_id)
        cancel_job(world, world.rng, job_id)
    world.after(0.4 * SECOND, lambda: world.store.start_outage(30))
    run_with_two_checks_per_second(world, 45)
    assert world.invariants.violations == []
    check_new_job_finishes(world, "j-100")
