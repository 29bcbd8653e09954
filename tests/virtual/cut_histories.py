"""Generated histories in which the controllers of a busy fleet lose their links to each other.

The intervals are those of the deployments: with them a controller still counts as heard while its peers are cut off, so
jobs are handed over and tasks are placed on what was known before the cut.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial

from virtual.clock import MILLISECOND, SECOND
from virtual.histories import schedule_periodic_check
from virtual.scenarios import restart_controller
from virtual.users import submit_job
from virtual.world import World, started_world

#: The settings of the large deployments.
HEARTBEAT_INTERVAL_S, LEASE_S, CANCEL_TIMEOUT_S = 2.5, 15.25, 40.25
#: Enough machines for each of three controllers to own dozens.
MACHINES = 80
JOBS = 200
#: By this time most machines are up and full, and jobs wait for room.
FULL_AFTER_S = 14.0
LENGTH_S = 40.0
#: How often the leader is the controller that is cut off.
LEADER_CUT_RATIO = 0.8


def play_cut_history(seed: int, periodic_check: Callable[[World], None] | None = None) -> World:
    """Play one history and return its world, in which all violations of the invariants are recorded.

    `periodic_check` is called every half second.
    """
    rng = random.Random(seed)
    world = started_world(seed, capacity=MACHINES, heartbeat_interval_s=HEARTBEAT_INTERVAL_S, lease_s=LEASE_S)
    world.cancel_timeout_s = CANCEL_TIMEOUT_S
    world.holds_requests_on_cut_links = True
    world.held_request_interval = rng.choice([0, 20, 120]) * MILLISECOND
    _schedule_jobs(world, rng)
    if rng.random() < 0.5:
        _schedule_restart(world, rng)
    for _ in range(rng.randint(1, 2)):
        _schedule_cuts(world, rng)
    for second in range(int(LENGTH_S)):
        world.after(second * SECOND, world.invariants.check)
    if periodic_check is not None:
        schedule_periodic_check(world, periodic_check, LENGTH_S)
    world.run(LENGTH_S)
    return world


def _schedule_jobs(world: World, rng: random.Random) -> None:
    """Submit small arrays, which any controller may schedule, until the fleet is full and jobs wait for room."""
    for number in range(JOBS):
        job_id = f"j-{number}"
        runtime_s = rng.choice([4.0, 8.0]) * rng.uniform(0.7, 1.3)
        world.define_job(job_id, pieces=rng.choice([2, 3, 3, 4]), cores=4.0, loaners=True, guessS=runtime_s)
        submitted_at = rng.uniform(0, 3) if rng.random() < 0.2 else rng.uniform(3, LENGTH_S * 0.8)
        world.after(submitted_at * SECOND, partial(submit_job, world, rng, job_id))


def _schedule_restart(world: World, rng: random.Random) -> None:
    """Restart a controller shortly before the cuts, so that they fall into a view that is not reconciled yet."""
    name, downtime_s = rng.choice(world.controller_names), rng.uniform(0.2, 3)
    world.after(rng.uniform(8, 16) * SECOND, lambda: restart_controller(world, name, downtime_s))


def _schedule_cuts(world: World, rng: random.Random) -> None:
    """Cut a controller off from the others alone, and some machines off from all controllers, until during that cut."""
    begin_s, duration_s = rng.uniform(FULL_AFTER_S, LENGTH_S * 0.7), rng.uniform(4, 8)
    world.after(begin_s * SECOND, lambda: _cut_controller(world, rng, duration_s))
    for _ in range(rng.randint(1, 4)):
        machines_begin_s = begin_s - rng.uniform(1, 7)
        machines_end_s = begin_s + rng.uniform(0, duration_s)
        share = rng.uniform(0.05, 0.4)
        cut = partial(_cut_machines, world, rng, share, machines_end_s - machines_begin_s)
        world.after(machines_begin_s * SECOND, cut)


def _cut_controller(world: World, rng: random.Random, seconds: float) -> None:
    """Cut the leader off from the other controllers, or sometimes any controller."""
    name = rng.choice(world.controller_names)
    if rng.random() < LEADER_CUT_RATIO:
        name = next((leader for leader in world.controller_names if _is_leading(world, leader)), name)
    _cut_for(world, _links([name], [other for other in world.controller_names if other != name]), seconds)


def _is_leading(world: World, name: str) -> bool:
    controller = world.nodes[name].controller
    return controller is not None and controller.membership.is_leading


def _cut_machines(world: World, rng: random.Random, share: float, seconds: float) -> None:
    up = [agent.host for agent in world.agents.values() if agent.alive and agent.booted]
    _cut_for(world, _links(rng.sample(up, int(len(up) * share)), world.controller_names), seconds)


def _links(some: Iterable[str], others: list[str]) -> list[frozenset[str]]:
    return [frozenset((one, other)) for one in some for other in others]


def _cut_for(world: World, links: list[frozenset[str]], seconds: float) -> None:
    world.cut_links.update(links)
    world.after(seconds * SECOND, lambda: world.heal_links(links))
