"""Generated histories: jobs and faults drawn from a seed, played in the virtual world."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ramptide.config.features import Features, QuotaFeature
from virtual.agent import ENDED, MACHINE_CPUS, Agent, Task
from virtual.clock import S
from virtual.faults import OVERLAPPING_FAULTS, SINGLE_FAULTS, inject_fault
from virtual.observer import Observer
from virtual.users import Users, submit_job
from virtual.world import World, started_world

#: How long a history is, unless told.
SECONDS = 60.0
#: For `parts`.
QUOTA_ON = Features(QuotaFeature(True))
#: Keys of jobs that are not over, in the key-value store.
JOB_PREFIX = "live/job/"
#: Where a job's tasks may be placed, drawn for each job.
PLACEMENTS: list[dict[str, Any]] = [{}, {}, {}, {"oneZone": True}, {"spread": True}, {"yard": "a"}]


def play(
    seed: int,
    seconds: float = SECONDS,
    look: Callable[[World], None] | None = None,
    overlapping: bool = False,
    parts: Features | None = None,
    observer: Observer | None = None,
) -> World:
    """Play one history, and return its world for judging.

    `look` is called every half second. With `overlapping`, faults come in pairs, slow links are among them, and a
    process is back within half a second in the middle of each pair. `parts` are switched on at the controllers;
    `observer` is told of all that they send.
    """
    rng = random.Random(seed)
    world = started_world(seed, teams={"team": 0.0, "tight": 24.0}, capacity=10, parts=parts, observer=observer)
    users = Users(world, rng)
    world.holds_requests_on_cut_links = rng.random() < 0.5
    world.duplication_rate = rng.choice([0.0, 0.01])
    schedule_jobs(world, rng, seconds)
    if overlapping:
        schedule_fault_pairs(world, rng, seconds)
    else:
        schedule_faults(world, rng, seconds)
    for tenth in range(int(seconds * 10)):
        world.after(tenth * 0.1 * S, world.invariants.check)
    for second in range(int(seconds)):
        world.after((second + rng.random()) * S, users.send_random_request)
    if look is not None:
        schedule_looks(world, look, seconds)
    world.run(seconds)
    return world


def schedule_looks(world: World, look: Callable[[World], None], seconds: float) -> None:
    """Call a function every half second."""
    for half in range(int(seconds * 2)):
        world.after(half * 0.5 * S, lambda: look(world))


def schedule_jobs(world: World, rng: random.Random, seconds: float) -> None:
    """Draw some jobs, and when they are submitted."""
    for number in range(rng.randint(4, 10)):
        job_id = f"j-{number}"
        world.define_job(
            job_id,
            owner=rng.choice(["team", "tight"]),
            shape=rng.choice(["batch", "batch", "service"]),
            pieces=rng.randint(1, 8),
            cores=rng.choice([1.0, 2.0, 3.0]),
            loaners=rng.random() < 0.5,
            guessS=rng.choice([2.0, 5.0, 12.0]),
            **rng.choice(PLACEMENTS),
        )
        _schedule_submission(world, rng, rng.uniform(0, seconds * 0.7), job_id)


def _schedule_submission(world: World, rng: random.Random, at_seconds: float, job_id: str) -> None:
    world.after(at_seconds * S, lambda: submit_job(world, rng, job_id))


def _schedule_fault(world: World, rng: random.Random, at_seconds: float, name: str) -> None:
    world.after(at_seconds * S, lambda: inject_fault(world, rng, name))


def schedule_faults(world: World, rng: random.Random, seconds: float) -> None:
    """Draw some faults, each by itself."""
    for _ in range(rng.randint(2, 6)):
        name = rng.choice(list(SINGLE_FAULTS))
        _schedule_fault(world, rng, rng.uniform(3, seconds * 0.8), name)


def schedule_fault_pairs(world: World, rng: random.Random, seconds: float) -> None:
    """Draw pairs of faults.

    The second of a pair begins within two seconds of the first, and a process is restarted meanwhile.
    """
    for _ in range(rng.randint(1, 3)):
        begin = rng.uniform(3, seconds * 0.7)
        for name in rng.sample(list(OVERLAPPING_FAULTS), 2):
            _schedule_fault(world, rng, begin + rng.uniform(0, 2), name)
        if rng.random() < 0.5:
            _schedule_fault(world, rng, begin + rng.uniform(0, 4), "quick_restart")
        if rng.random() < 0.3:
            _schedule_fault(world, rng, begin + rng.uniform(0, 4), "late_heartbeats")


def starved_jobs(world: World) -> set[str]:
    """Return the jobs that wait without need.

    These have a task that waits although a machine that it may use has room and its team is under its limit.
    """
    present = [(agent, task) for agent in world.agents.values() if agent.alive for task in agent.tasks.values()]
    job_ids = [key.removeprefix(JOB_PREFIX) for key in world.store.entries if key.startswith(JOB_PREFIX)]
    return {job_id for job_id in job_ids if _is_starved(world, job_id, present)}


def _is_starved(world: World, job_id: str, present: list[tuple[Agent, Task]]) -> bool:
    spec = world.job_specs[job_id]
    held = [(agent, task) for agent, task in present if task.status != ENDED]
    agent_by_index = {task.index: agent for agent, task in present if task.job_id == job_id}
    finished = {index for finished_job_id, index in world.invariants.finished_tasks if finished_job_id == job_id}
    waiting_count = spec["pieces"] - len(agent_by_index.keys() | finished)
    if not waiting_count or not _is_under_team_limit(world, spec, held):
        return False
    zones = [agent.zone for index, agent in agent_by_index.items() if index not in finished]
    return any(_fits(world, spec, agent, zones, held) for agent in world.agents.values() if agent.booted)


def _is_under_team_limit(world: World, spec: dict[str, Any], held: list[tuple[Agent, Task]]) -> bool:
    limit = world.teams[spec["owner"]]
    specs = [world.job_specs[task.job_id] for _, task in held]
    used = sum(other["cores"] for other in specs if other["owner"] == spec["owner"])
    return not limit or used + spec["cores"] <= limit


def _fits(world: World, spec: dict[str, Any], agent: Agent, zones: list[str], held: list[tuple[Agent, Task]]) -> bool:
    """Tell whether one more task of a job that has tasks in these zones may start on the machine."""
    free = MACHINE_CPUS - sum(world.job_specs[task.job_id]["cores"] for holder, task in held if holder is agent)
    is_allowed = spec.get("yard") in (None, agent.zone) and (spec["loaners"] or not agent.spot)
    if spec["oneZone"]:
        is_allowed = is_allowed and set(zones) <= {agent.zone}
    if spec["spread"]:
        is_allowed = is_allowed and zones.count(agent.zone) < (spec["pieces"] + 1) // 2
    return agent.alive and not agent.is_faulty and is_allowed and free >= spec["cores"]


def longest_starvation(world: World, seconds: int) -> tuple[timedelta, str]:
    """Return how long a job was starved at the most, with none of its tasks started meanwhile, and which."""
    starved_since: dict[tuple[str, int], timedelta] = {}
    longest = (timedelta(0), "")
    for _ in range(seconds):
        world.run(1.0)
        world.invariants.check()
        starved = [(job_id, world.invariants.starts_by_job[job_id]) for job_id in starved_jobs(world)]
        starved_since = {key: starved_since.get(key, world.now) for key in starved}
        longest = max([longest, *((world.now - since, job_id) for (job_id, _), since in starved_since.items())])
    return longest
