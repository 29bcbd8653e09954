"""Amounts of CPUs and GPUs that count against team limits, in integer units so that sums are exact."""

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import NamedTuple

from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.settings_file import Team

__all__ = [
    "NO_LIMIT",
    "UNITS_PER_WHOLE",
    "ZERO_AMOUNTS",
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
    "units_allowed",
    "units_needed",
    "units_to_number",
    "usage_from_wire",
]

#: Units in one CPU or GPU. Decimal numbers from the interfaces are converted to units where they are received.
UNITS_PER_WHOLE = 1_000_000
#: A decimal number counts as a whole number of units if the two differ by no more than this, as by the rounding error
#: of the binary form of the decimal number.
ROUNDING_TOLERANCE_UNITS = 1e-3
#: Represents the absence of a limit, in units; larger than any sum of amounts.
NO_LIMIT = 2**62
#: An absent limit stays at or above this number of units after any sum of amounts is subtracted from `NO_LIMIT`.
ABSENT_LIMIT_THRESHOLD_UNITS = NO_LIMIT // 2


class Amounts(NamedTuple):
    """Amounts of CPUs and of GPUs, in units."""

    cpus: int
    gpus: int

    def times(self, count: int) -> "Amounts":
        """Return the amounts of `count` tasks."""
        return Amounts(self.cpus * count, self.gpus * count)


#: Limits, quota shares or usage by team.
TeamAmounts = dict[str, Amounts]
#: CPUs and GPUs as decimal numbers, as in the messages between controllers; infinite where there is no limit.
WireAmounts = tuple[float, float]
ZERO_AMOUNTS = Amounts(0, 0)


def units_needed(value: float) -> int:
    """Return a decimal number of CPUs or GPUs in units, rounded up."""
    return math.ceil(value * UNITS_PER_WHOLE - ROUNDING_TOLERANCE_UNITS)


def units_allowed(value: float) -> int:
    """Return a decimal number of CPUs or GPUs in units, rounded down; `NO_LIMIT` for an infinite one."""
    return NO_LIMIT if math.isinf(value) else math.floor(value * UNITS_PER_WHOLE + ROUNDING_TOLERANCE_UNITS)


@lru_cache(maxsize=4096)
def _task_amounts(cpus: float, gpus: float) -> Amounts:
    return Amounts(units_needed(cpus), units_needed(gpus))


def amounts_of(spec: JobSpec) -> Amounts:
    """Return the amounts that one task of the job uses of its team's limits."""
    return _task_amounts(spec.cpus, spec.gpus)


def limits_of(team: Team) -> Amounts:
    """Return the team's limits; each is `NO_LIMIT` where the settings have none."""
    return Amounts(
        units_allowed(team.cpus_max) if team.cpus_max else NO_LIMIT,
        units_allowed(team.gpus_max) if team.gpus_max else NO_LIMIT,
    )


def team_limits(teams: Iterable[Team]) -> TeamAmounts:
    """Return the limits of the teams that have a limit on CPUs, GPUs or both."""
    return {team.name: limits_of(team) for team in teams if team.cpus_max or team.gpus_max}


def guarantee_of(team: Team) -> Amounts:
    """Return the amounts that the team is guaranteed."""
    return Amounts(units_allowed(team.cpus), units_allowed(team.gpus))


def add_amounts(total: TeamAmounts, team: str, amounts: Amounts) -> None:
    """Add amounts to the entry of a team in `total`, in place."""
    before = total.get(team, ZERO_AMOUNTS)
    total[team] = Amounts(before.cpus + amounts.cpus, before.gpus + amounts.gpus)


def tasks_within(remaining: Amounts, task: Amounts) -> int | None:
    """Return how many tasks of the given size fit into the remainder of a limit; None when no limit applies."""
    pairs = ((remaining.cpus, task.cpus), (remaining.gpus, task.gpus))
    counts = [left // needed for left, needed in pairs if needed > 0 and left < ABSENT_LIMIT_THRESHOLD_UNITS]
    return max(0, min(counts)) if counts else None


def units_to_number(units: int) -> float:
    """Return units as a decimal number of CPUs or GPUs; infinite for `NO_LIMIT`."""
    return math.inf if units == NO_LIMIT else units / UNITS_PER_WHOLE


def shares_to_wire(shares: Mapping[str, Amounts]) -> dict[str, WireAmounts]:
    """Return amounts by team as decimal numbers for messages."""
    return {team: (units_to_number(share.cpus), units_to_number(share.gpus)) for team, share in shares.items()}


def shares_from_wire(shares: Mapping[str, WireAmounts]) -> TeamAmounts:
    """Return the quota shares from a message in units, rounded down so that none is exceeded."""
    return {team: Amounts(units_allowed(cpus), units_allowed(gpus)) for team, (cpus, gpus) in shares.items()}


def usage_from_wire(usage: Mapping[str, WireAmounts]) -> TeamAmounts:
    """Return the usage from a message in units, rounded up so that none is underestimated."""
    return {team: Amounts(units_needed(cpus), units_needed(gpus)) for team, (cpus, gpus) in usage.items()}
