"""Amounts of CPUs and GPUs that count against team limits, in whole units: sums of them are exact."""

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.settings_file import Team

__all__ = [
    "NOTHING",
    "NO_LIMIT",
    "UNITS",
    "Amounts",
    "TeamAmounts",
    "WireAmounts",
    "add_amounts",
    "amounts_of",
    "guarantee_of",
    "limits_of",
    "shares_from_wire",
    "shares_to_wire",
    "tasks_within",
    "team_limits",
    "to_number",
    "units_allowed",
    "units_needed",
    "usage_from_wire",
]

#: Units in one CPU or GPU. The interfaces carry decimal numbers, which are converted where they come in.
UNITS = 1_000_000
#: In units: decimal numbers that are whole units but for the error of their binary form count as whole.
BINARY_ERROR = 1e-3
#: Stands for the absence of a limit; larger than any sum of amounts.
NO_LIMIT = 2**62
#: What is left of an absent limit, after any sum of amounts was taken from it, is above this.
ABSENT_LIMIT_THRESHOLD = NO_LIMIT // 2


class Amounts(NamedTuple):
    """Units of CPUs and of GPUs."""

    cpus: int
    gpus: int

    def times(self, count: int) -> "Amounts":
        """Return the amounts of `count` tasks."""
        return Amounts(self.cpus * count, self.gpus * count)


#: Limits, shares or usage by team.
TeamAmounts = dict[str, Amounts]
#: CPUs and GPUs as decimal numbers, infinite for no limit, as the messages between controllers carry them.
WireAmounts = tuple[float, float]
NOTHING = Amounts(0, 0)


def units_needed(value: float) -> int:
    """Return the units that cover a decimal number."""
    return math.ceil(value * UNITS - BINARY_ERROR)


def units_allowed(value: float) -> int:
    """Return the units that a decimal number covers; `NO_LIMIT` for an infinite one."""
    return NO_LIMIT if math.isinf(value) else math.floor(value * UNITS + BINARY_ERROR)


@lru_cache(maxsize=4096)
def _task_amounts(cpus: float, gpus: float) -> Amounts:
    return Amounts(units_needed(cpus), units_needed(gpus))


def amounts_of(spec: JobSpec) -> Amounts:
    """Return what one task of the job takes of its team's limit."""
    return _task_amounts(spec.cpus, spec.gpus)


def limits_of(team: Team) -> Amounts:
    """Return the team's limits, each `NO_LIMIT` where the settings give none."""
    return Amounts(
        units_allowed(team.cpus_max) if team.cpus_max else NO_LIMIT,
        units_allowed(team.gpus_max) if team.gpus_max else NO_LIMIT,
    )


def team_limits(teams: Iterable[Team]) -> TeamAmounts:
    """Return the limits of those teams that have one, on CPUs, GPUs or both."""
    return {team.name: limits_of(team) for team in teams if team.cpus_max or team.gpus_max}


def guarantee_of(team: Team) -> Amounts:
    """Return what the team is guaranteed."""
    return Amounts(units_allowed(team.cpus), units_allowed(team.gpus))


def add_amounts(total: TeamAmounts, team: str, amounts: Amounts) -> None:
    """Add amounts to a team's entry in `total`, which is changed in place."""
    before = total.get(team, NOTHING)
    total[team] = Amounts(before.cpus + amounts.cpus, before.gpus + amounts.gpus)


def tasks_within(remaining: Amounts, task: Amounts) -> int | None:
    """Return how many tasks of a size fit what remains of a limit; None when nothing limits them."""
    pairs = ((remaining.cpus, task.cpus), (remaining.gpus, task.gpus))
    counts = [left // needed for left, needed in pairs if needed > 0 and left < ABSENT_LIMIT_THRESHOLD]
    return max(0, min(counts)) if counts else None


def to_number(units: int) -> float:
    """Return units as the decimal number of CPUs or GPUs that people read; infinite for `NO_LIMIT`."""
    return math.inf if units == NO_LIMIT else units / UNITS


def shares_to_wire(shares: Mapping[str, Amounts]) -> dict[str, WireAmounts]:
    """Return amounts by team as decimal numbers."""
    return {team: (to_number(share.cpus), to_number(share.gpus)) for team, share in shares.items()}


def shares_from_wire(shares: Mapping[str, WireAmounts]) -> TeamAmounts:
    """Return the shares that another controller assigns, never more than the decimal numbers say."""
    return {team: Amounts(units_allowed(cpus), units_allowed(gpus)) for team, (cpus, gpus) in shares.items()}


def usage_from_wire(usage: Mapping[str, WireAmounts]) -> TeamAmounts:
    """Return what another controller uses, never less than the decimal numbers say."""
    return {team: Amounts(units_needed(cpus), units_needed(gpus)) for team, (cpus, gpus) in usage.items()}
