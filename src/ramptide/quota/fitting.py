"""Splits a team's limit among members in whole waiting tasks, considering CPUs and GPUs together.

This module does no I/O.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass

from ramptide.quota.messages import Demands, TaskDemand
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, tasks_within

#: Stands for any number of tasks where the limit does not bound the tasks of a size.
UNLIMITED_TASKS = 10**9


@dataclass(slots=True)
class _Portion:
    """The tasks of one size for which a member is granted share."""

    member: str
    demand: TaskDemand
    tasks: int = 0


class FittingSplit:
    """Grants each member what it uses and share for whole waiting tasks: first in proportion, then while any fits.

    A split in proportion alone would leave each member with a remainder in which no task fits.
    """

    def __init__(self, waiting: Mapping[str, Demands]) -> None:
        self._waiting = waiting

    def basis(self, team: str) -> Hashable:
        """Return the team's waiting tasks by member: what the split depends on besides limit and usage."""
        return tuple((member, tuple(demands[team])) for member, demands in self._waiting.items() if team in demands)

    def targets(self, team: str, limit: Amounts, usage: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return the share that each member should have, given what each member uses."""
        left = Amounts(
            max(0, limit.cpus - sum(used.cpus for used in usage.values())),
            max(0, limit.gpus - sum(used.gpus for used in usage.values())),
        )
        portions = [
            _Portion(member, demand)
            for member in sorted(usage)
            for demand in self._waiting.get(member, {}).get(team, ())
            if demand.count
        ]
        left = _allocate_in_proportion(portions, left)
        _allocate_remainder(portions, left)
        targets = dict(usage)
        for portion in portions:
            more, before = portion.demand.size.times(portion.tasks), targets[portion.member]
            targets[portion.member] = Amounts(before.cpus + more.cpus, before.gpus + more.gpus)
        return targets


def _allocate(portion: _Portion, tasks: int, left: Amounts) -> Amounts:
    """Add tasks to a portion and return the share that is left."""
    portion.tasks += tasks
    allocated = portion.demand.size.times(tasks)
    return Amounts(left.cpus - allocated.cpus, left.gpus - allocated.gpus)


def _allocate_in_proportion(portions: list[_Portion], left: Amounts) -> Amounts:
    """Allocate the same fraction of each demand's tasks, rounded down, and return the share that is left."""
    wanted = ZERO_AMOUNTS
    for portion in portions:
        more = portion.demand.size.times(portion.demand.count)
        wanted = Amounts(wanted.cpus + more.cpus, wanted.gpus + more.gpus)
    # The scarcer resource decides. The fraction is kept as two whole numbers, so that the task counts are exact.
    fractions = [(free, need) for free, need in zip(left, wanted, strict=True) if need > free]
    numerator, denominator = min(fractions, key=lambda fraction: fraction[0] / fraction[1], default=(1, 1))
    for portion in portions:
        left = _allocate(portion, portion.demand.count * numerator // denominator, left)
    return left


def _largest_first(portion: _Portion) -> tuple[int, int, str]:
    return (-portion.demand.gpus, -portion.demand.cpus, portion.member)


def _allocate_remainder(portions: list[_Portion], left: Amounts) -> None:
    """Allocate the remaining share to whole tasks, the largest first, as these fit in the fewest places."""
    for portion in sorted(portions, key=_largest_first):
        fitting_tasks = tasks_within(left, portion.demand.size)
        tasks = min(UNLIMITED_TASKS if fitting_tasks is None else fitting_tasks, portion.demand.count - portion.tasks)
        if tasks > 0:
            left = _allocate(portion, tasks, left)
