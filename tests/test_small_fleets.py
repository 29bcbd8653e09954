"""Generated histories of small fleets without further capacity, on which machines fail or refuse tasks for a while.

On a small fleet nothing but time ends the wait of a job for which machines are left out, as no other can be rented.
The tests guard against a job that is left waiting beside room once the machines are well again.
"""

import random

import pytest

from virtual import QUOTA_ON, SECOND, Agent, Task, World, longest_starvation, started_world, submit_job

#: How long a job may wait beside room once the faults are over.
MAX_STARVATION = 90 * SECOND
#: The longest time for which machines fail or refuse tasks, in seconds.
MAX_FAULT_S = 40.0
FAULT_COUNT, JOB_COUNT = 4, 8
#: How long faults begin and jobs are submitted, in seconds.
HISTORY_S = 60.0


def refuse_task(agent: Agent, task: Task) -> None:
    """Refuse a task as a machine without room does."""
    agent.tasks[task.key] = task
    agent._end(task, "no_room")


def make_faulty_for_a_while(world: World, rng: random.Random) -> None:
    """Let some machines fail all tasks, or refuse them, for a random time."""
    agents = [agent for agent in world.agents.values() if agent.alive]
    refuses = rng.random() < 0.3
    for agent in rng.sample(agents, rng.randint(min(1, len(agents)), len(agents))):
        if refuses:
            agent._fetch = lambda task, agent=agent: refuse_task(agent, task)  # type: ignore[method-assign, misc]
        else:
            agent.is_faulty = True
    world.after(rng.uniform(3, MAX_FAULT_S) * SECOND, lambda: make_well(agents))


def make_well(agents: list[Agent]) -> None:
    """End the faults of machines."""
    for agent in agents:
        agent.is_faulty = False
        agent.__dict__.pop("_fetch", None)


def schedule_jobs(world: World, rng: random.Random) -> None:
    """Define random jobs, and schedule their submissions at random times."""
    for number in range(JOB_COUNT):
        job_id = f"j-{number}"
        shape = rng.choice(["batch", "batch", "batch", "service"])
        world.define_job(
            job_id,
            shape=shape,
            rank=rng.choice(["low", "normal", "normal", "production"]),
            pieces=rng.randint(1, 3) if shape == "service" else rng.randint(1, 8),
            cores=rng.choice([1.0, 2.0, 3.0]),
            guessS=rng.choice([2.0, 5.0, 12.0]),
        )
        world.after(rng.uniform(0, HISTORY_S) * SECOND, lambda job_id=job_id: submit_job(world, rng, job_id))  # type: ignore[misc]


def play_faults_on_small_fleet(seed: int) -> World:
    """Play a history; return its world when all machines are well again."""
    rng = random.Random(seed)
    world = started_world(seed, capacity=rng.randint(1, 5), features=QUOTA_ON if rng.random() < 0.5 else None)
    schedule_jobs(world, rng)
    for _ in range(FAULT_COUNT):
        world.after(rng.uniform(5, HISTORY_S) * SECOND, lambda: make_faulty_for_a_while(world, rng))
    world.run(HISTORY_S + MAX_FAULT_S)
    make_well(list(world.agents.values()))
    return world


@pytest.mark.parametrize("seed", range(400, 416))
def test_no_job_is_left_waiting_beside_room_after_machines_were_faulty_for_a_while(seed: int) -> None:
    world = play_faults_on_small_fleet(seed)
    waited, job_id = longest_starvation(world, 150)
    assert waited < MAX_STARVATION, f"{job_id} waits although there is room for it"
    assert world.invariants.violations == []
