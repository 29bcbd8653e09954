"""Waiting tasks by size: those that a share does not cover, and those that spare share covers.

This module does no I/O.
"""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from ramptide.quota.messages import Demands, TaskDemand
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import NO_LIMIT, ZERO_AMOUNTS, Amounts, TeamAmounts, amounts_of, tasks_within

__all__ = ["subtract", "uncovered_demands", "waiting_demands", "whole_tasks_within"]

#: The most sizes of waiting tasks that are sent for a team: the most numerous ones; others follow once those tasks run.
MAX_SIZES_SENT = 8


def subtract(amounts: Amounts, subtrahend: Amounts) -> Amounts:
    """Return the amounts that are left after a subtraction."""
    return Amounts(amounts.cpus - subtrahend.cpus, amounts.gpus - subtrahend.gpus)


def waiting_demands(scheduler: JobScheduler, limits: TeamAmounts, now: timedelta) -> Demands:
    """Return the scheduler's waiting tasks of teams with a limit, by size, each count at most what the limit allows."""
    counts: dict[str, Counter[Amounts]] = {}
    for job_state in scheduler.jobs_with_pending_tasks.values():
        spec = job_state.job.spec
        if spec.team in limits and job_state.retry_at <= now and not job_state.is_frozen:
            counts.setdefault(spec.team, Counter())[amounts_of(spec)] += job_state.startable
    demands = {team: _most_numerous(sizes, limits[team]) for team, sizes in counts.items()}
    return {team: team_demands for team, team_demands in demands.items() if team_demands}


def _most_numerous(sizes: Counter[Amounts], limit: Amounts) -> list[TaskDemand]:
    demands = []
    for size, count in sizes.most_common(MAX_SIZES_SENT):
        fitting_tasks = tasks_within(limit, size)
        tasks = count if fitting_tasks is None else min(count, fitting_tasks)
        if tasks > 0:
            demands.append(TaskDemand(size.cpus, size.gpus, tasks))
    return demands


def uncovered_demands(demands: Iterable[TaskDemand], available: Amounts) -> list[TaskDemand]:
    """Return the waiting tasks of a team that the available share does not cover."""
    uncovered = []
    for demand in demands:
        fitting_tasks = tasks_within(available, demand.size)
        covered = demand.count if fitting_tasks is None else min(fitting_tasks, demand.count)
        available = subtract(available, demand.size.times(covered))
        if covered < demand.count:
            uncovered.append(TaskDemand(demand.cpus, demand.gpus, demand.count - covered))
    return uncovered


def whole_tasks_within(demands: Iterable[TaskDemand], spare: Amounts, limit: Amounts) -> Amounts:
    """Return the amounts of the tasks that fit in the spare share; zero for a resource without a limit."""
    total = ZERO_AMOUNTS
    for demand in demands:
        fitting_tasks = tasks_within(subtract(spare, total), demand.size)
        more = demand.size.times(min(fitting_tasks or 0, demand.count))
        total = Amounts(total.cpus + more.cpus, total.gpus + more.gpus)
    return Amounts(
        0 if limit.cpus == NO_LIMIT else total.cpus,
        0 if limit.gpus == NO_LIMIT else total.gpus,
    )
