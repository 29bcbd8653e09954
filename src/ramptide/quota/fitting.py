"""The leader's split of a team's limit in sizes that fit the waiting tasks, both resources together. Pure."""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass

from ramptide.quota.messages import Demands, TaskDemand
from ramptide.state.amounts import NOTHING, Amounts, tasks_within

#: What the count of waiting tasks is taken for where the limit does not bound them.
MANY = 10**9


@dataclass(slots=True)
class _Portion:
    """What one member gets for its waiting tasks of one size."""

    member: str
    demand: TaskDemand
    tasks: int = 0


class FittingSplit:
    """Gives each member what it uses, and share for whole tasks of what waits, in proportion and then while any fits.

    A split in proportion alone leaves each member with a fraction in which no task fits.
    """

    def __init__(self, waiting: Mapping[str, Demands]) -> None:
        self._waiting = waiting

    def basis(self, team: str) -> Hashable:
        """Return what waits of the team, by member."""
        return tuple((member, tuple(demands[team])) for member, demands in self._waiting.items() if team in demands)

    def targets(self, team: str, limit: Amounts, usage: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return what each member should have, given what each uses."""
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
        left = _in_proportion(portions, left)
        _while_any_fits(portions, left)
        targets = dict(usage)
        for portion in portions:
            more, before = portion.demand.size.times(portion.tasks), targets[portion.member]
            targets[portion.member] = Amounts(before.cpus + more.cpus, before.gpus + more.gpus)
        return targets


def _take(portion: _Portion, tasks: int, left: Amounts) -> Amounts:
    portion.tasks += tasks
    taken = portion.demand.size.times(tasks)
    return Amounts(left.cpus - taken.cpus, left.gpus - taken.gpus)


def _in_proportion(portions: list[_Portion], left: Amounts) -> Amounts:
    """Give each demand the same fraction of its tasks, rounded down, and return what is left."""
    wanted = NOTHING
    for portion in portions:
        more = portion.demand.size.times(portion.demand.count)
        wanted = Amounts(wanted.cpus + more.cpus, wanted.gpus + more.gpus)
    # The resource that is shorter decides; a fraction is numerator by denominator, as whole numbers.
    fractions = [(free, need) for free, need in zip(left, wanted, strict=True) if need > free]
    numerator, denominator = min(fractions, key=lambda fraction: fraction[0] / fraction[1], default=(1, 1))
    for portion in portions:
        left = _take(portion, portion.demand.count * numerator // denominator, left)
    return left


def _largest_first(portion: _Portion) -> tuple[int, int, str]:
    return (-portion.demand.gpus, -portion.demand.cpus, portion.member)


def _while_any_fits(portions: list[_Portion], left: Amounts) -> None:
    """Give what is left to whole tasks, the largest first, as these fit in the least places."""
    for portion in sorted(portions, key=_largest_first):
        fits = tasks_within(left, portion.demand.size)
        tasks = min(MANY if fits is None else fits, portion.demand.count - portion.tasks)
        if tasks > 0:
            left = _take(portion, tasks, left)
