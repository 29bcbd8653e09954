"""What tasks wait for: their sizes, what a share of a limit leaves uncovered, and what fits in spare share. Pure."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from ramptide.quota.messages import Demands, TaskDemand
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import NO_LIMIT, NOTHING, Amounts, TeamAmounts, amounts_of, tasks_within

__all__ = ["difference", "missing_share", "waiting_demands", "whole_tasks_within"]

#: So many sizes of waiting tasks of a team are sent, the most numerous first; others are sent once those run.
MAX_SIZES_SENT = 8


def difference(amounts: Amounts, taken: Amounts) -> Amounts:
    """Return what is left of amounts."""
    return Amounts(amounts.cpus - taken.cpus, amounts.gpus - taken.gpus)


def waiting_demands(scheduler: JobScheduler, limits: TeamAmounts, now: timedelta) -> Demands:
    """Return our waiting tasks of teams with a limit, by size, no more of each than the limit allows at all."""
    counts: dict[str, Counter[Amounts]] = {}
    for job_state in scheduler.with_pending_tasks.values():
        spec = job_state.job.spec
        if spec.team in limits and job_state.retry_at <= now and not job_state.frozen:
            counts.setdefault(spec.team, Counter())[amounts_of(spec)] += job_state.startable
    demands = {team: _most_numerous(sizes, limits[team]) for team, sizes in counts.items()}
    return {team: found for team, found in demands.items() if found}


def _most_numerous(sizes: Counter[Amounts], limit: Amounts) -> list[TaskDemand]:
    found = []
    for size, count in sizes.most_common(MAX_SIZES_SENT):
        fits = tasks_within(limit, size)
        tasks = count if fits is None else min(count, fits)
        if tasks > 0:
            found.append(TaskDemand(size.cpus, size.gpus, tasks))
    return found


def missing_share(demands: Iterable[TaskDemand], available: Amounts) -> list[TaskDemand]:
    """Return the waiting tasks of a team that what is available of its share does not cover."""
    missing = []
    for demand in demands:
        fits = tasks_within(available, demand.size)
        covered = demand.count if fits is None else min(fits, demand.count)
        available = difference(available, demand.size.times(covered))
        if covered < demand.count:
            missing.append(TaskDemand(demand.cpus, demand.gpus, demand.count - covered))
    return missing


def whole_tasks_within(demands: Iterable[TaskDemand], spare: Amounts, limit: Amounts) -> Amounts:
    """Return what those tasks take that fit in spare share; nothing of a resource without a limit."""
    taken = NOTHING
    for demand in demands:
        fits = tasks_within(difference(spare, taken), demand.size)
        more = demand.size.times(min(fits or 0, demand.count))
        taken = Amounts(taken.cpus + more.cpus, taken.gpus + more.gpus)
    return Amounts(
        0 if limit.cpus == NO_LIMIT else taken.cpus,
        0 if limit.gpus == NO_LIMIT else taken.gpus,
    )
