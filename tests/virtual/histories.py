"""Generated histories: random jobs and faults, drawn from a seed and played in a virtual world."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ramptide.config.features import Features, QuotaFeature
from virtual.agent import ENDED, MACHINE_CPUS, Agent, Task
from virtual.clock import SECOND
from virtual.faults import OVERLAPPING_FAULTS, SINGLE_FAULTS, inject_fault
from virtual.network import STORE
from virtual.observer import Observer
from virtual.scenarios import restart_controller
from virtual.users import Users, cancel_job, submit_job
from virtual.world import World, started_world

#: The length of a history by default.
DEFAULT_HISTORY_S = 60.0
#: The features of controllers on which the quota feature is switched on.
QUOTA_ON = Features(QuotaFeature(True))
#: The prefix of the keys under which the key-value store has the unfinished jobs.
JOB_PREFIX = "live/job/"
#: Fields that restrict where the tasks of a job may be placed; one of the entries is drawn for each job.
PLACEMENT_FIELDS: list[dict[str, Any]] = [{}, {}, {}, {"oneZone": True}, {"spread": True}, {"yard": "a"}]


def play_history(
    seed: int,
    seconds: float = DEFAULT_HISTORY_S,
    periodic_check: Callable[[World], None] | None = None,
    overlapping: bool = False,
    repeated_view_changes: bool = False,
    features: Features | None = None,
    observer: Observer | None = None,
) -> World:
    """Play one history and return its world, in which all violations of the invariants are recorded.

    Parameters
    ----------
    periodic_check
        Called every half second.
    overlapping
        Whether faults come in overlapping pairs, which include slow links. During some pairs a controller is restarted
        within half a second, or copies of heartbeats arrive late.
    repeated_view_changes
        Whether the controllers restart and stall again and again after a cancellation, for longer than a cancelled task
        may run on.
    features
        The features that are on at the controllers; None when all are off.
    observer
        Notified of everything that the controllers send.
    """
    rng = random.Random(seed)
    world = started_world(seed, teams={"team": 0.0, "tight": 24.0}, capacity=10, features=features, observer=observer)
    users = Users(world, rng)
    world.holds_requests_on_cut_links = rng.random() < 0.5
    world.duplication_rate = rng.choice([0.0, 0.01])
    schedule_jobs(world, rng, seconds)
    if overlapping:
        schedule_fault_pairs(world, rng, seconds)
    else:
        schedule_faults(world, rng, seconds)
    if repeated_view_changes:
        ViewChanges(world, rng).schedule()
    for tenth_of_second in range(int(seconds * 10)):
        world.after(tenth_of_second * 0.1 * SECOND, world.invariants.check)
    for second in range(int(seconds)):
        world.after((second + rng.random()) * SECOND, users.send_random_request)
    if periodic_check is not None:
        schedule_periodic_check(world, periodic_check, seconds)
    world.run(seconds)
    return world


def schedule_periodic_check(world: World, check: Callable[[World], None], seconds: float) -> None:
    """Schedule a call of `check` every half second."""
    for half_second in range(int(seconds * 2)):
        world.after(half_second * 0.5 * SECOND, lambda: check(world))


def schedule_jobs(world: World, rng: random.Random, seconds: float) -> None:
    """Define random jobs, and schedule their submissions at random times."""
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
            **rng.choice(PLACEMENT_FIELDS),
        )
        _schedule_submission(world, rng, rng.uniform(0, seconds * 0.7), job_id)


def _schedule_submission(world: World, rng: random.Random, delay_s: float, job_id: str) -> None:
    world.after(delay_s * SECOND, lambda: submit_job(world, rng, job_id))


def _schedule_fault(world: World, rng: random.Random, delay_s: float, name: str) -> None:
    world.after(delay_s * SECOND, lambda: inject_fault(world, rng, name))


def schedule_faults(world: World, rng: random.Random, seconds: float) -> None:
    """Schedule random faults at independent random times."""
    for _ in range(rng.randint(2, 6)):
        name = rng.choice(list(SINGLE_FAULTS))
        _schedule_fault(world, rng, rng.uniform(3, seconds * 0.8), name)


def schedule_fault_pairs(world: World, rng: random.Random, seconds: float) -> None:
    """Schedule random pairs of faults.

    Both faults of a pair begin within the same two seconds. With a probability of 0.5 a controller is restarted quickly
    as well, and with a probability of 0.3 copies of heartbeats arrive late; both begin at most 4 s after the pair.
    """
    for _ in range(rng.randint(1, 3)):
        begin_s = rng.uniform(3, seconds * 0.7)
        for name in rng.sample(list(OVERLAPPING_FAULTS), 2):
            _schedule_fault(world, rng, begin_s + rng.uniform(0, 2), name)
        if rng.random() < 0.5:
            _schedule_fault(world, rng, begin_s + rng.uniform(0, 4), "quick_restart")
        if rng.random() < 0.3:
            _schedule_fault(world, rng, begin_s + rng.uniform(0, 4), "late_heartbeats")


class ViewChanges:
    """Cancels a running job and ends all controllers; then ends or stalls controllers for longer than `cancel_s`.

    A controller that has just renewed the lease of a machine with a cancelled task ends soon after, in most cases.
    """

    CHECK_INTERVAL = 0.05 * SECOND

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.renewed_at: dict[str, timedelta] = {}

    def schedule(self) -> None:
        """Schedule the cancellation and the changes."""
        began_at = self.rng.uniform(10, 20) * SECOND
        self.world.after(began_at, self._cancel_running_job)
        changes = int((self.world.cancel_timeout_s + 10) * SECOND / self.CHECK_INTERVAL)
        for number in range(changes):
            self.world.after(began_at + number * self.CHECK_INTERVAL, self._change)

    def _cancel_running_job(self) -> None:
        running = sorted({task.job_id for _, task in self.world.invariants.running_tasks()})
        if not running:
            return
        cancel_job(self.world, self.rng, self.rng.choice(running))
        for name in self.world.controller_names:
            self._restart_after(self.rng.uniform(0.1, 0.6), name, self.rng.uniform(2, 4))

    def _restart_after(self, delay_s: float, name: str, downtime_s: float) -> None:
        self.world.after(delay_s * SECOND, lambda: restart_controller(self.world, name, downtime_s))

    def _change(self) -> None:
        for agent in list(self.world.agents.values()):
            if agent.alive and any(task.job_id in self.world.cancelled_at for task in agent.tasks.values()):
                self._change_after_renewal(agent)

    def _change_after_renewal(self, agent: Agent) -> None:
        if agent.lease_renewed_at == self.renewed_at.get(agent.host):
            return
        self.renewed_at[agent.host] = agent.lease_renewed_at
        name = self.world.controller_names[agent.controller_index]
        change = self.rng.random()
        if change < 0.7:
            self._restart_after(self.rng.uniform(0, 0.5), name, self.rng.uniform(0.2, 3))
        elif change < 0.8:
            self.world.nodes[name].freeze(self.rng.uniform(3, 6))
        elif change < 0.9:
            self.world.cut_link(name, self.rng.choice([STORE, agent.host]))
            self.world.after(self.rng.uniform(1, 5) * SECOND, self.world.heal)


def starved_jobs(world: World) -> set[str]:
    """Return the unfinished jobs that wait although they could start a task.

    Such a job has a task that is on no machine, although a machine where it may run has room and its team is below its
    limit.
    """
    present = [(agent, task) for agent in world.agents.values() if agent.alive for task in agent.tasks.values()]
    job_ids = [key.removeprefix(JOB_PREFIX) for key in world.store.entries if key.startswith(JOB_PREFIX)]
    return {job_id for job_id in job_ids if _is_starved(world, job_id, present)}


def _is_starved(world: World, job_id: str, present: list[tuple[Agent, Task]]) -> bool:
    spec = world.job_specs[job_id]
    unfinished = [(agent, task) for agent, task in present if task.status != ENDED]
    agent_by_index = {task.index: agent for agent, task in present if task.job_id == job_id}
    succeeded = {index for other_job_id, index in world.invariants.succeeded_tasks if other_job_id == job_id}
    waiting_count = spec["pieces"] - len(agent_by_index.keys() | succeeded)
    if not waiting_count or not _is_below_team_limit(world, spec, unfinished):
        return False
    zones = [agent.zone for index, agent in agent_by_index.items() if index not in succeeded]
    return any(_may_start_on(world, spec, agent, zones, unfinished) for agent in world.agents.values() if agent.booted)


def _is_below_team_limit(world: World, spec: dict[str, Any], unfinished: list[tuple[Agent, Task]]) -> bool:
    limit = world.teams[spec["owner"]]
    specs = [world.job_specs[task.job_id] for _, task in unfinished]
    used = sum(other["cores"] for other in specs if other["owner"] == spec["owner"])
    return not limit or used + spec["cores"] <= limit


def _may_start_on(
    world: World, spec: dict[str, Any], agent: Agent, zones: list[str], unfinished: list[tuple[Agent, Task]]
) -> bool:
    """Return whether one more task of a job whose tasks are in the given zones may start on the machine."""
    free_cpus = MACHINE_CPUS - sum(
        world.job_specs[task.job_id]["cores"] for other, task in unfinished if other is agent
    )
    is_allowed = spec.get("yard") in (None, agent.zone) and (spec["loaners"] or not agent.spot)
    if spec["oneZone"]:
        is_allowed = is_allowed and set(zones) <= {agent.zone}
    if spec["spread"]:
        is_allowed = is_allowed and zones.count(agent.zone) < (spec["pieces"] + 1) // 2
    return agent.alive and not agent.is_faulty and is_allowed and free_cpus >= spec["cores"]


def longest_starvation(world: World, seconds: int) -> tuple[timedelta, str]:
    """Run the world; return the longest time for which a job was starved without a start of its tasks, and its id."""
    starved_since: dict[tuple[str, int], timedelta] = {}
    longest = (timedelta(0), "")
    for _ in range(seconds):
        world.run(1.0)
        world.invariants.check()
        starved = [(job_id, world.invariants.starts_by_job[job_id]) for job_id in starved_jobs(world)]
        starved_since = {key: starved_since.get(key, world.now) for key in starved}
        longest = max([longest, *((world.now - since, job_id) for (job_id, _), since in starved_since.items())])
    return longest
