"""Controllers on a slow processor: each event delays what follows. No rule may break, and the service goes on."""

import random

import pytest

from ramptide.controller.controller import Controller
from virtual import MS, Node, S, World, cancel_job, leader_of, restart_controller, submit_job

#: A controller has some thirty events a second here without users.
EVENT_COST = 20 * MS


def slow_world(seed: int) -> World:
    """Services and arrays on controllers that are slow from their start on."""
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


def watch(world: World, seconds: int) -> None:
    for _ in range(seconds * 2):
        world.run(0.5)
        world.invariants.check()


def goes_on(world: World, job_id: str) -> None:
    """A new array is accepted and done."""
    world.define_job(job_id, pieces=4, guessS=2.0)
    submit_job(world, world.rng, job_id, 60)
    assert world.run_until(lambda: world.is_done(job_id), 60)
    assert world.invariants.violations == []


def views(world: World) -> int:
    return max(
        node.controller.state.view.number
        for node in world.nodes.values()
        if node.controller and node.controller.state.view
    )


@pytest.mark.parametrize("seed", range(2))
def test_slowness_alone_changes_no_membership(seed: int) -> None:
    world = slow_world(seed)
    before = views(world)
    watch(world, 30)
    assert views(world) == before
    goes_on(world, "j-100")


def flood(world: World) -> list[int]:
    """For ten seconds the leader gets more questions than it has time for; the statuses of its answers."""
    name = leader_of(world)
    answered: list[int] = []

    def poll(controller: Controller) -> None:
        controller.job_api.poll("j-4", lambda status, *_: answered.append(status))

    for number in range(800):
        world.after(number * 12.5 * MS, lambda: world.request(name, poll))
    world.run(9)
    assert world.nodes[name].backlog > 200, "it is behind"
    watch(world, 31)
    return answered


@pytest.mark.parametrize("seed", range(2))
def test_a_flood_of_questions_costs_a_slow_controller_neither_its_place_nor_machines(seed: int) -> None:
    world = slow_world(seed)
    before, machines = (
        views(world),
        {agent.host: agent.agent_epoch for agent in world.agents.values() if agent.alive},
    )
    answered = flood(world)
    assert len(answered) == 800
    assert views(world) == before
    assert all(world.agents[host].agent_epoch == tenure for host, tenure in machines.items()), "no lease ran out"
    goes_on(world, "j-100")


def test_when_questions_are_not_put_off_it_loses_its_place(monkeypatch: pytest.MonkeyPatch) -> None:
    ask = Node.request
    monkeypatch.setattr(
        Node, "request", lambda node, call, on_dead=lambda: None, deferrable=False: ask(node, call, on_dead)
    )
    world = slow_world(0)
    before = views(world)
    flood(world)
    assert views(world) > before


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("away", [0.3, 3.0])
def test_a_restart_of_all_and_of_the_leader(seed: int, away: float) -> None:
    world = slow_world(seed)
    for name in world.controller_names:
        restart_controller(world, name, away)
    watch(world, 20)
    restart_controller(world, leader_of(world), away)
    watch(world, 20)
    goes_on(world, "j-100")


@pytest.mark.parametrize("seed", range(2))
def test_a_leader_that_is_cut_off(seed: int) -> None:
    world = slow_world(seed)
    world.isolate(leader_of(world), *list(world.agents)[:3])
    watch(world, 20)
    world.heal()
    watch(world, 10)
    goes_on(world, "j-100")


@pytest.mark.parametrize("seed", range(3))
def test_cancellations_in_an_outage_end_in_time(seed: int) -> None:
    world = slow_world(seed)
    for job_id in ("j-0", "j-1", "j-3"):
        world.accepted_jobs.add(job_id)
        cancel_job(world, world.rng, job_id)
    world.after(0.4 * S, lambda: world.store.start_outage(30))
    watch(world, 45)
    assert world.invariants.violations == []
    goes_on(world, "j-100")
