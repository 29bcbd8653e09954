"""Amounts of CPUs and GPUs that count against team limits, in whole units: sums of them are exact."""

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.settings_file import Team

#: Units in one CPU or GPU. The interfaces carry decimal numbers, which are converted where they come in.
UNITS = 1_000_000
#: Decimal numbers that are whole units but for the error of their binary form count as whole.
BINARY_ERROR = 1e-3
#: Stands for the absence of a limit; larger than any sum of amounts.
NO_LIMIT = 2**62


class Amounts(NamedTuple):
    """Units of CPUs and of GPUs."""

    cpus: int
    gpus: int

    def times(self, count: int) -> "Amounts":
        """Return the amounts of `count` tasks."""
        return Amounts(self.cpus * count, self.gpus * count)


Grants = dict[str, Amounts]
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


def team_limits(teams: Iterable[Team]) -> Grants:
    """Return the limits of those teams that have one, on CPUs, GPUs or both."""
    return {team.name: limits_of(team) for team in teams if team.cpus_max or team.gpus_max}


def guarantee_of(team: Team) -> Amounts:
    """Return what the team is guaranteed."""
    return Amounts(units_allowed(team.cpus), units_allowed(team.gpus))


def add_amounts(total: Grants, team: str, amounts: Amounts) -> None:
    """Add amounts to a team's entry in `total`, which is changed in place."""
    before = total.get(team, NOTHING)
    total[team] = Amounts(before[0] + amounts[0], before[1] + amounts[1])


def tasks_within(left: Amounts, task: Amounts) -> int | None:
    """Return how many tasks of a size fit what is left of a limit; None when nothing limits them."""
    counts = [
        free // each for free, each in ((left[0], task[0]), (left[1], task[1])) if each > 0 and free < NO_LIMIT // 2
    ]
    return max(0, min(counts)) if counts else None


def to_number(units: int) -> float:
    """Return units as the decimal number of CPUs or GPUs that people read."""
    return math.inf if units == NO_LIMIT else units / UNITS


def grants_to_wire(grants: Mapping[str, Amounts]) -> dict[str, WireAmounts]:
    """Return amounts by team as decimal numbers."""
    return {team: (to_number(one[0]), to_number(one[1])) for team, one in grants.items()}


def grants_from_wire(grants: Mapping[str, WireAmounts]) -> Grants:
    """Return what another controller grants, never more than the decimal numbers say."""
    return {team: Amounts(units_allowed(one[0]), units_allowed(one[1])) for team, one in grants.items()}


def use_from_wire(use: Mapping[str, WireAmounts]) -> Grants:
    """Return what another controller uses, never less than the decimal numbers say."""
    return {team: Amounts(units_needed(one[0]), units_needed(one[1])) for team, one in use.items()}
