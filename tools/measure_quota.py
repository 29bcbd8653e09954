"""Compares the quota feature with the leader's proportional split alone, on the virtual clock of the tests.

    PYTHONPATH=src:tests:target/ci python3 tools/measure_quota.py

For each load, the output has these figures over all seeds: the part of a limit that is unused although a waiting task
of the team fits in it, on average over the samples in which tasks of the team wait; the time from the acceptance of
jobs to their first start, or to the end of the run; messages between controllers and transactions per start; transfers
of share; starts; and violations of the invariants.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from ramptide.config.features import Features, QuotaFeature
from ramptide.quota.fitting import FittingSplit
from ramptide.quota.messages import TaskDemand
from ramptide.quota.planner import max_usable
from ramptide.state.amounts import NO_LIMIT, UNITS_PER_WHOLE, ZERO_AMOUNTS, Amounts
from ramptide.team_limits.split_policy import ProportionalSplit, SplitPolicy
from test_quota import submit_repeatedly
from virtual import SECOND, Agent, Task, World, started_world

RUN_S = 60
SAMPLE_INTERVAL_S = 0.05
SEEDS = range(1, 7)
#: The limit of each team in CPUs.
TEAM_LIMITS = {"tight": 12.0, "other": 10.0, "third": 9.0, "fourth": 7.0}


@dataclass(frozen=True)
class Load:
    """Bursts of jobs; the jobs of a burst are of one team and are submitted within a fifth of a second."""

    name: str
    burst_count: int
    jobs_per_burst: int
    task_runtime_s: float


LOADS = [
    Load("sparse: bursts below the limit", 40, 2, 2.0),
    Load("bursts that take the whole limit", 30, 6, 2.0),
    Load("flood: far more than the limits allow", 60, 6, 4.0),
]


@dataclass
class Result:
    """The figures of a load, summed over seeds; waits are in milliseconds."""

    samples: int = 0
    unused_ratio_sum: float = 0.0
    waits_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000, 2))
    starts: int = 0
    peer_messages: int = 0
    transactions: int = 0
    transfers: int = 0
    violations: list[str] = field(default_factory=list)

    def line(self) -> str:
        """Return the figures as a row of a table."""
        waits_s = [self.waits_ms.get_value_at_percentile(percentile) / 1000 for percentile in (50, 90, 99)]
        return (
            f"{100 * self.unused_ratio_sum / max(self.samples, 1):.1f} % | "
            f"{waits_s[0]:.2f} / {waits_s[1]:.2f} / {waits_s[2]:.2f} s | "
            f"{self.peer_messages / self.starts:.2f} | {self.transactions / self.starts:.2f} | {self.transfers} | "
            f"{self.starts} | {len(self.violations)}"
        )


def play_load(load: Load, seed: int, features: Features | None, result: Result) -> None:
    """Run a load with one seed and add the figures to the result."""
    world = started_world(seed, teams=TEAM_LIMITS, capacity=16, features=features)
    schedule_load(world, load, random.Random(seed))
    accepted_at: dict[str, timedelta] = {}
    first_started_at: dict[str, timedelta] = {}
    on_task_started = world.invariants.on_task_started

    def record_start(agent: Agent, task: Task) -> None:
        first_started_at.setdefault(task.job_id, world.now)
        on_task_started(agent, task)

    world.invariants.on_task_started = record_start  # type: ignore[method-assign]
    counts_before = Counter(world.request_counts)
    for _ in range(int(RUN_S / SAMPLE_INTERVAL_S)):
        world.run(SAMPLE_INTERVAL_S)
        for job_id in world.accepted_jobs - accepted_at.keys():
            accepted_at[job_id] = world.now
        sample_usage(world, result)
    for job_id, since in accepted_at.items():
        result.waits_ms.record_value(
            max(1, round((first_started_at.get(job_id, world.now) - since) / timedelta(milliseconds=1)))
        )
    result.starts += world.invariants.start_count
    result.peer_messages += world.request_counts["POST sync"] - counts_before["POST sync"]
    result.transactions += world.request_counts["POST txn"] - counts_before["POST txn"]
    result.violations += world.invariants.violations
    for node in world.nodes.values():
        if node.controller is not None and node.controller.quota is not None:
            result.transfers += node.controller.quota.counters["given"]


def schedule_load(world: World, load: Load, rng: random.Random) -> None:
    """Schedule the bursts, and a job before them, so that machines are already rented when the first burst begins."""
    for burst in range(load.burst_count):
        team, begin_s = rng.choice(list(TEAM_LIMITS)), rng.uniform(12, RUN_S * 0.8)
        for number in range(load.jobs_per_burst):
            job_id = f"j-{burst * load.jobs_per_burst + number}"
            world.define_job(
                job_id,
                owner=team,
                pieces=rng.randint(1, 3),
                cores=rng.choice([0.7, 1.0, 2.0, 3.0]),
                guessS=load.task_runtime_s,
            )
            world.after(
                (begin_s + rng.uniform(0, 0.2)) * SECOND,
                lambda job_id=job_id: submit_repeatedly(world, rng, job_id),  # type: ignore[misc]
            )
    world.define_job("j-9999", owner=next(iter(TEAM_LIMITS)), pieces=12, cores=1.0, guessS=2.0)
    world.after(0.5 * SECOND, lambda: submit_repeatedly(world, rng, "j-9999"))


def sample_usage(world: World, result: Result) -> None:
    """Add a sample for each team with waiting tasks: the unused part of its limit, or 0 if no waiting task fits."""
    controllers = [node.controller for node in world.nodes.values() if node.controller is not None]
    schedulers = [controller.state.scheduler for controller in controllers if controller.state.scheduler is not None]
    for team, limit in TEAM_LIMITS.items():
        used_units = sum(scheduler.usage_with_transfers().get(team, (0, 0))[0] for scheduler in schedulers)
        unused_cpus = limit - used_units / UNITS_PER_WHOLE
        waiting_cpus = [
            job_state.job.spec.cpus
            for scheduler in schedulers
            for job_state in scheduler.jobs_with_pending_tasks.values()
            if job_state.job.spec.team == team
        ]
        if not waiting_cpus:
            continue
        result.samples += 1
        if min(waiting_cpus) <= unused_cpus + 1e-6:
            result.unused_ratio_sum += unused_cpus / limit


def compare_splits(rounds: int = 400) -> None:
    """Print how much of a limit whole tasks can use with each split policy, and the optimum that a solver finds."""
    rng, limit = random.Random(1), Amounts(20 * UNITS_PER_WHOLE, NO_LIMIT)
    used_units = Counter[str]()
    for _ in range(rounds):
        demands = {
            member: TaskDemand(round(rng.choice([0.7, 1.0, 1.5, 3.0, 6.0]) * UNITS_PER_WHOLE), 0, rng.randint(1, 8))
            for member in ("a", "b", "c")
        }
        no_usage = dict.fromkeys(demands, ZERO_AMOUNTS)
        waiting_amounts = {member: {"t": demand.size.times(demand.count)} for member, demand in demands.items()}
        waiting_tasks = {member: {"t": [demand]} for member, demand in demands.items()}
        policies: dict[str, SplitPolicy] = {
            "proportional": ProportionalSplit(waiting_amounts),
            "fitting": FittingSplit(waiting_tasks),
        }
        for name, policy in policies.items():
            shares = policy.targets("t", limit, no_usage)
            used_units[name] += sum(
                shares[member].cpus // demand.cpus * demand.cpus for member, demand in demands.items()
            )
        used_units["optimal"] += max_usable(Amounts(limit.cpus, 0), list(demands.values())).cpus
    for name, units in used_units.items():
        print(f"split {name}: whole tasks use {100 * units / rounds / limit.cpus:.1f} % of the limit")


def main() -> None:
    """Print the comparison of the splits, and the table of the loads."""
    compare_splits()
    print(
        "load | quota feature | unused | wait 50/90/99 % | messages per start | transactions per start | transfers | "
        "starts | violations"
    )
    for load in LOADS:
        for setting, features in (("off", None), ("on", Features(QuotaFeature(True)))):
            result = Result()
            for seed in SEEDS:
                play_load(load, seed, features, result)
            print(f"{load.name} | {setting} | {result.line()}", flush=True)


if __name__ == "__main__":
    main()
