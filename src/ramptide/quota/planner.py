"""Whether limits and guarantees can hold on a given fleet, by an integer program. For operators; no controller uses it.

The program treats the machines of a kind as one pool, with no more tasks of a team than fit machine by machine. What it
calls impossible is so; what it calls possible is packed machine by machine then, and reported if that fails.
"""

import math
import os
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ramptide.quota.messages import TaskDemand
from ramptide.quota.plan_file import MachineKind, PlanError, PlanFile, TeamPlan, load
from ramptide.state.amounts import NOTHING, Amounts, units_allowed, units_needed

__all__ = ["PlanError", "PlanReport", "TeamReport", "most_used", "plan"]

STDOUT = 1


@dataclass(frozen=True, slots=True)
class TeamReport:
    """What comes out for a team, in whole tasks."""

    team: TeamPlan
    guaranteed: int
    #: Tasks of the guarantee that don't fit while all teams use theirs.
    short: int
    #: Tasks that the limit allows (None: no limit), and those that fit the empty fleet, up to that.
    allowed: int | None
    reachable: int

    @property
    def holds(self) -> bool:
        """Whether the guarantee can be given and the limit be used."""
        return not self.short and (self.allowed is None or self.reachable >= self.allowed)

    def line(self) -> str:
        """Return the result in words."""
        limit = "no limit" if self.allowed is None else f"limit {self.allowed} tasks"
        parts = [f"{self.team.name}: guarantee {self.guaranteed} tasks, {limit}"]
        if self.short:
            parts.append(f"the guarantee lacks room for {self.short} tasks ({self._amounts(self.short)})")
        if self.allowed is not None and self.reachable < self.allowed:
            missing = self.allowed - self.reachable
            parts.append(f"the limit can't be used: {missing} tasks too many for the fleet ({self._amounts(missing)})")
        return "; ".join(parts) if len(parts) > 1 else f"{parts[0]}: holds"

    def _amounts(self, tasks: int) -> str:
        task = self.team.task
        found = [
            f"{task.cores * tasks:g} cores" if task.cores else "",
            f"{task.gpus * tasks:g} gpus" if task.gpus else "",
        ]
        return ", ".join(one for one in found if one)


@dataclass(frozen=True, slots=True)
class PlanReport:
    """What comes out of a plan file."""

    teams: list[TeamReport]

    @property
    def holds(self) -> bool:
        """Whether all limits and guarantees can hold."""
        return all(team.holds for team in self.teams)

    def lines(self) -> list[str]:
        """Return the results in words, a line for each team."""
        verdict = "all guarantees and limits can hold" if self.holds else "not all guarantees and limits can hold"
        return [*(team.line() for team in self.teams), verdict]


def plan(path: Path) -> PlanReport:
    """Read a plan file and work out what holds.

    Raises
    ------
    PlanError
        If the file makes no sense, or the solver is missing or gives up.
    """
    file = load(path)
    wanted = [_tasks(team.cpus, team.gpus, team) or 0 for team in file.teams]
    placed = _most_placed(file, file.teams, wanted)
    packed = _pack(file, file.teams, placed)
    reports = []
    for team, guaranteed, fits in zip(file.teams, wanted, packed, strict=True):
        allowed = _tasks(team.cpus_max, team.gpus_max, team)
        alone = _most_placed(file, [team], [allowed if allowed is not None else _everywhere(file, team)])
        reports.append(TeamReport(team, guaranteed, guaranteed - fits, allowed, sum(alone[0])))
    return PlanReport(reports)


def _tasks(cores: float, gpus: float, team: TeamPlan) -> int | None:
    """Return how many tasks of a team amounts cover; None where neither resource is bounded."""
    task = Amounts(units_needed(team.task.cores), units_needed(team.task.gpus))
    counts = [
        units_allowed(most) // each for most, each in ((cores, task.cpus), (gpus, task.gpus)) if most > 0 and each > 0
    ]
    return min(counts) if counts else None


def _fits(team: TeamPlan, kind: MachineKind) -> int:
    """Return how many tasks of a team fit one empty machine."""
    if not team.may_use(kind):
        return 0
    task = team.task
    sizes = ((kind.cores, task.cores), (kind.gpus, task.gpus), (kind.ram_gb, task.ram_gb))
    return min(units_allowed(room) // units_needed(each) for room, each in sizes if each > 0)


def _everywhere(file: PlanFile, team: TeamPlan) -> int:
    return sum(kind.count * _fits(team, kind) for kind in file.machines)


def _solver() -> Any:
    try:
        import highspy
    except ImportError as error:
        raise PlanError("the solver is missing: install requirements-planner.txt") from error
    with _without_output():
        model = highspy.Highs()
    model.silent()
    return model


@contextmanager
def _without_output() -> Iterator[None]:
    """Keep what the solver's own code prints when it starts out of the report."""
    sys.stdout.flush()
    kept, nowhere = os.dup(STDOUT), os.open(os.devnull, os.O_WRONLY)
    try:
        os.dup2(nowhere, STDOUT)
        yield
    finally:
        os.dup2(kept, STDOUT)
        os.close(kept)
        os.close(nowhere)


def _solve(model: Any, objective: Any) -> None:
    import highspy

    model.maximize(objective)
    status = model.getModelStatus()
    if status != highspy.HighsModelStatus.kOptimal:
        raise PlanError(f"the solver gives up: {model.modelStatusToString(status)}")


def _whole_number(model: Any, most: int) -> Any:
    import highspy

    return model.addVariable(lb=0, ub=most, type=highspy.HighsVarType.kInteger)


def _most_placed(file: PlanFile, teams: Sequence[TeamPlan], wanted: Sequence[int]) -> list[list[int]]:
    """Return how many tasks of each team go to each kind of machine, so that as much as possible is placed."""
    model = _solver()
    counts = [
        [_whole_number(model, min(most, kind.count * _fits(team, kind))) for kind in file.machines]
        for team, most in zip(teams, wanted, strict=True)
    ]
    for row, most in zip(counts, wanted, strict=True):
        model.addConstr(sum(row) <= most)
    for index, kind in enumerate(file.machines):
        for resource in ("cores", "gpus", "ram_gb"):
            used = [getattr(team.task, resource) * row[index] for team, row in zip(teams, counts, strict=True)]
            model.addConstr(sum(used) <= getattr(kind, resource) * kind.count)
    weights = [max(team.task.cores, team.task.gpus) for team in teams]
    _solve(model, sum(weight * one for weight, row in zip(weights, counts, strict=True) for one in row))
    return [[round(model.val(one)) for one in row] for row in counts]


def _pack(file: PlanFile, teams: Sequence[TeamPlan], placed: list[list[int]]) -> list[int]:
    """Put the tasks onto single machines, the largest first, and return how many of each team find room."""
    found = [0] * len(teams)
    order = sorted(range(len(teams)), key=lambda one: -max(teams[one].task.cores, teams[one].task.gpus))
    for index, kind in enumerate(file.machines):
        rooms = [[kind.cores, kind.gpus, kind.ram_gb] for _ in range(kind.count)]
        for one in order:
            found[one] += _first_fit(rooms, teams[one], placed[one][index])
    return found


def _first_fit(rooms: list[list[float]], team: TeamPlan, tasks: int) -> int:
    sizes = [team.task.cores, team.task.gpus, team.task.ram_gb]
    left = tasks
    for room in rooms:
        fits = min(math.floor(free / each + 1e-9) for free, each in zip(room, sizes, strict=True) if each > 0)
        take = min(fits, left)
        for side, each in enumerate(sizes):
            room[side] -= each * take
        left -= take
        if not left:
            break
    return tasks - left


def most_used(limit: Amounts, demands: Sequence[TaskDemand]) -> Amounts:
    """Return what whole tasks of these sizes can use of a limit at the most, all decided in one place.

    No split among controllers can do better, so it tells how much a split leaves unused.
    """
    if not demands:
        return NOTHING
    model = _solver()
    counts = [_whole_number(model, demand.count) for demand in demands]
    for side in ("cpus", "gpus"):
        model.addConstr(
            sum(getattr(demand, side) * one for demand, one in zip(demands, counts, strict=True))
            <= getattr(limit, side)
        )
    _solve(model, sum((demand.cpus + demand.gpus) * one for demand, one in zip(demands, counts, strict=True)))
    tasks = [round(model.val(one)) for one in counts]
    return Amounts(
        sum(demand.cpus * count for demand, count in zip(demands, tasks, strict=True)),
        sum(demand.gpus * count for demand, count in zip(demands, tasks, strict=True)),
    )
