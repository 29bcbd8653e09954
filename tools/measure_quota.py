"""Measures the quota part against the leader's split alone, on the virtual clock of the tests.

    PYTHONPATH=src:tests:target/ci python3 tools/measure_quota.py

Printed for each load, summed over seeds: how much of a limit nobody used while a waiting task fitted in it, how long
jobs waited from their acceptance to their first start, and messages between controllers and transactions per start.
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
from test_quota import send
from virtual import Agent, S, Task, World, started_world

SECONDS = 60
SAMPLE_S = 0.05
SEEDS = range(1, 7)
TEAMS = {"tight": 12.0, "other": 10.0, "third": 9.0, "fourth": 7.0}


@dataclass(frozen=True)
class Load:
    """Bursts of jobs, each burst of one team and within a fifth of a second."""

    name: str
    bursts: int
    jobs_each: int
    run_s: float


LOADS = [
    Load("sparse: bursts below the limit", 40, 2, 2.0),
    Load("bursts that take the whole limit", 30, 6, 2.0),
    Load("flood: far more than the limits allow", 60, 6, 4.0),
]


@dataclass
class Result:
    """Sums over seeds."""

    samples: int = 0
    unused: float = 0.0
    waits: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000, 2))
    starts: int = 0
    syncs: int = 0
    transactions: int = 0
    transfers: int = 0
    broken: list[str] = field(default_factory=list)

    def line(self) -> str:
        """Return the figures as a row of a table."""
        waits = [self.waits.get_value_at_percentile(one) / 1000 for one in (50, 90, 99)]
        return (
            f"{100 * self.unused / max(self.samples, 1):.1f} % | {waits[0]:.2f} / {waits[1]:.2f} / {waits[2]:.2f} s | "
            f"{self.syncs / self.starts:.2f} | {self.transactions / self.starts:.2f} | {self.transfers} | "
            f"{self.starts} | {len(self.broken)}"
        )


def play(load: Load, seed: int, parts: Features | None, result: Result) -> None:
    """Play one seed and add its figures."""
    world = started_world(seed, teams=TEAMS, capacity=16, parts=parts)
    plan(world, load, random.Random(seed))
    accepted_at: dict[str, timedelta] = {}
    first_start: dict[str, timedelta] = {}
    begun = world.invariants.on_task_started

    def starting(agent: Agent, task: Task) -> None:
        first_start.setdefault(task.job_id, world.now)
        begun(agent, task)

    world.invariants.on_task_started = starting  # type: ignore[method-assign]
    before = Counter(world.call_counts)
    for _ in range(int(SECONDS / SAMPLE_S)):
        world.run(SAMPLE_S)
        for ref in world.accepted_jobs - accepted_at.keys():
            accepted_at[ref] = world.now
        sample(world, result)
    for ref, at in accepted_at.items():
        result.waits.record_value(max(1, round((first_start.get(ref, world.now) - at) / timedelta(milliseconds=1))))
    result.starts += world.invariants.start_count
    result.syncs += world.call_counts["POST sync"] - before["POST sync"]
    result.transactions += world.call_counts["POST txn"] - before["POST txn"]
    result.broken += world.invariants.violations
    for node in world.nodes.values():
        if node.controller is not None and node.controller.quota is not None:
            result.transfers += node.controller.quota.counters["given"]


def plan(world: World, load: Load, rng: random.Random) -> None:
    """Plan the bursts; machines are there before the first one."""
    for burst in range(load.bursts):
        team, at = rng.choice(list(TEAMS)), rng.uniform(12, SECONDS * 0.8)
        for number in range(load.jobs_each):
            ref = f"j-{burst * load.jobs_each + number}"
            world.define_job(
                ref, owner=team, pieces=rng.randint(1, 3), cores=rng.choice([0.7, 1.0, 2.0, 3.0]), guessS=load.run_s
            )
            world.after((at + rng.uniform(0, 0.2)) * S, lambda ref=ref: send(world, rng, ref))  # type: ignore[misc]
    world.define_job("j-9999", owner=next(iter(TEAMS)), pieces=12, cores=1.0, guessS=2.0)
    world.after(0.5 * S, lambda: send(world, rng, "j-9999"))


def sample(world: World, result: Result) -> None:
    """Look at what all controllers together use of each limit, while one of their waiting tasks would fit."""
    controllers = [node.controller for node in world.nodes.values() if node.controller is not None]
    homes = [one.state.scheduler for one in controllers if one.state.scheduler is not None]
    for team, limit in TEAMS.items():
        used = sum(home.usage_with_transfers().get(team, (0, 0))[0] for home in homes)
        left = limit - used / UNITS_PER_WHOLE
        sizes = [
            w.job.spec.cpus for home in homes for w in home.jobs_with_pending_tasks.values() if w.job.spec.team == team
        ]
        if not sizes:
            continue
        result.samples += 1
        if min(sizes) <= left + 1e-6:
            result.unused += left / limit


def compare_splits(rounds: int = 400) -> None:
    """Print how much of a limit whole tasks can use under each split, against the best that a solver finds."""
    rng, limit = random.Random(1), Amounts(20 * UNITS_PER_WHOLE, NO_LIMIT)
    used = Counter[str]()
    for _ in range(rounds):
        demands = {
            member: TaskDemand(round(rng.choice([0.7, 1.0, 1.5, 3.0, 6.0]) * UNITS_PER_WHOLE), 0, rng.randint(1, 8))
            for member in ("a", "b", "c")
        }
        nothing = dict.fromkeys(demands, ZERO_AMOUNTS)
        asking = {member: {"t": demand.size.times(demand.count)} for member, demand in demands.items()}
        waiting = {member: {"t": [demand]} for member, demand in demands.items()}
        policies: dict[str, SplitPolicy] = {"in proportion": ProportionalSplit(asking), "whole": FittingSplit(waiting)}
        for name, policy in policies.items():
            shares = policy.targets("t", limit, nothing)
            used[name] += sum(shares[m].cpus // demand.cpus * demand.cpus for m, demand in demands.items())
        used["best"] += max_usable(Amounts(limit.cpus, 0), list(demands.values())).cpus
    for name, units in used.items():
        print(f"split {name}: whole tasks use {100 * units / rounds / limit.cpus:.1f} % of the limit")


def main() -> None:
    """Print both tables."""
    compare_splits()
    print(
        "load | part | unused | wait 50/90/99 % | messages a start | transactions a start | transfers | starts | broken"
    )
    for load in LOADS:
        for name, parts in (("off", None), ("on", Features(QuotaFeature(True)))):
            result = Result()
            for seed in SEEDS:
                play(load, seed, parts, result)
            print(f"{load.name} | {name} | {result.line()}", flush=True)


if __name__ == "__main__":
    main()
