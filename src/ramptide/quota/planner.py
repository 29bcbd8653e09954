"""Checks by an integer program whether limits and guarantees can hold on a given fleet.

Operators run this module through the command line; no controller uses it. The program treats the machines of a kind as
one pool, with no more tasks of a team than fit machine by machine. A shortage that it finds is real. The tasks that it
places are then packed machine by machine, and those that find no room are reported too.
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
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, units_allowed, units_needed

__all__ = ["PlanError", "PlanReport", "TeamReport", "max_usable", "plan"]

STDOUT_FD = 1


@dataclass(frozen=True, slots=True)
class TeamReport:
    """The result of a plan for one team, in whole tasks."""

    team: TeamPlan
    guaranteed: int
    #: Tasks of the guarantee that do not fit while all teams use their guarantees.
    short: int
    #: Tasks that the limit allows; None for no limit.
    allowed: int | None
    #: Tasks that fit the empty fleet, counted up to the limit.
    reachable: int

    @property
    def is_feasible(self) -> bool:
        """Whether the fleet has room for the guarantee and for all that the limit allows."""
        return not self.short and (self.allowed is None or self.reachable >= self.allowed)

    def line(self) -> str:
        """Return the result as a line of text."""
        limit = "no limit" if self.allowed is None else f"limit {self.allowed} tasks"
        parts = [f"{self.team.name}: guarantee {self.guaranteed} tasks, {limit}"]
        if self.short:
            parts.append(f"the guarantee lacks room for {self.short} tasks ({self._format_amounts(self.short)})")
        if self.allowed is not None and self.reachable < self.allowed:
            missing = self.allowed - self.reachable
            parts.append(
                f"the limit can't be used: {missing} tasks too many for the fleet ({self._format_amounts(missing)})"
            )
        return "; ".join(parts) if len(parts) > 1 else f"{parts[0]}: holds"

    def _format_amounts(self, tasks: int) -> str:
        task = self.team.task
        parts = [
            f"{task.cores * tasks:g} cores" if task.cores else "",
            f"{task.gpus * tasks:g} gpus" if task.gpus else "",
        ]
        return ", ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class PlanReport:
    """The result of a plan file."""

    teams: list[TeamReport]

    @property
    def is_feasible(self) -> bool:
        """Whether all limits and guarantees can hold."""
        return all(team.is_feasible for team in self.teams)

    def lines(self) -> list[str]:
        """Return a line of text for each team, and one for the whole plan."""
        verdict = "all guarantees and limits can hold" if self.is_feasible else "not all guarantees and limits can hold"
        return [*(team.line() for team in self.teams), verdict]


def plan(path: Path) -> PlanReport:
    """Read a plan file and check which guarantees and limits can hold.

    Raises
    ------
    PlanError
        If the file is invalid, or the solver is missing or finds no optimal solution.
    """
    file = load(path)
    wanted = [_tasks_covered(team.cpus, team.gpus, team) or 0 for team in file.teams]
    placed = _maximize_placement(file, file.teams, wanted)
    packed = _pack_tasks(file, file.teams, placed)
    reports = []
    for team, guaranteed, packed_tasks in zip(file.teams, wanted, packed, strict=True):
        allowed = _tasks_covered(team.cpus_max, team.gpus_max, team)
        alone = _maximize_placement(file, [team], [allowed if allowed is not None else _fleet_capacity(file, team)])
        reports.append(TeamReport(team, guaranteed, guaranteed - packed_tasks, allowed, sum(alone[0])))
    return PlanReport(reports)


def _tasks_covered(cores: float, gpus: float, team: TeamPlan) -> int | None:
    """Return how many tasks of a team the given amounts cover; None where they bound neither resource."""
    task = Amounts(units_needed(team.task.cores), units_needed(team.task.gpus))
    counts = [
        units_allowed(amount) // per_task
        for amount, per_task in ((cores, task.cpus), (gpus, task.gpus))
        if amount > 0 and per_task > 0
    ]
    return min(counts) if counts else None


def _tasks_per_machine(team: TeamPlan, kind: MachineKind) -> int:
    """Return how many tasks of a team fit one empty machine."""
    if not team.may_use(kind):
        return 0
    task = team.task
    sizes = ((kind.cores, task.cores), (kind.gpus, task.gpus), (kind.ram_gb, task.ram_gb))
    return min(units_allowed(room) // units_needed(per_task) for room, per_task in sizes if per_task > 0)


def _fleet_capacity(file: PlanFile, team: TeamPlan) -> int:
    """Return how many tasks of a team fit the empty fleet, machine by machine."""
    return sum(kind.count * _tasks_per_machine(team, kind) for kind in file.machines)


def _new_model() -> Any:
    """Return an empty model of the solver, which prints nothing."""
    try:
        import highspy
    except ImportError as error:
        raise PlanError("the solver is missing: install requirements-planner.txt") from error
    with _discarded_stdout():
        model = highspy.Highs()
    model.silent()
    return model


@contextmanager
def _discarded_stdout() -> Iterator[None]:
    """Discard standard output, to which the solver's native code prints when it starts."""
    sys.stdout.flush()
    saved_stdout, devnull_fd = os.dup(STDOUT_FD), os.open(os.devnull, os.O_WRONLY)
    try:
        os.dup2(devnull_fd, STDOUT_FD)
        yield
    finally:
        os.dup2(saved_stdout, STDOUT_FD)
        os.close(saved_stdout)
        os.close(devnull_fd)


def _solve(model: Any, objective: Any) -> None:
    """Maximize the objective.

    Raises
    ------
    PlanError
        If the solver finds no optimal solution.
    """
    import highspy

    model.maximize(objective)
    status = model.getModelStatus()
    if status != highspy.HighsModelStatus.kOptimal:
        raise PlanError(f"the solver gives up: {model.modelStatusToString(status)}")


def _integer_variable(model: Any, maximum: int) -> Any:
    import highspy

    return model.addVariable(lb=0, ub=maximum, type=highspy.HighsVarType.kInteger)


def _maximize_placement(file: PlanFile, teams: Sequence[TeamPlan], wanted: Sequence[int]) -> list[list[int]]:
    """Return how many tasks of each team go to each kind of machine when as much as possible is placed."""
    model = _new_model()
    counts = [
        [_integer_variable(model, min(maximum, kind.count * _tasks_per_machine(team, kind))) for kind in file.machines]
        for team, maximum in zip(teams, wanted, strict=True)
    ]
    for row, maximum in zip(counts, wanted, strict=True):
        model.addConstr(sum(row) <= maximum)
    for index, kind in enumerate(file.machines):
        for resource in ("cores", "gpus", "ram_gb"):
            used = [getattr(team.task, resource) * row[index] for team, row in zip(teams, counts, strict=True)]
            model.addConstr(sum(used) <= getattr(kind, resource) * kind.count)
    weights = [max(team.task.cores, team.task.gpus) for team in teams]
    _solve(model, sum(weight * variable for weight, row in zip(weights, counts, strict=True) for variable in row))
    return [[round(model.val(variable)) for variable in row] for row in counts]


def _pack_tasks(file: PlanFile, teams: Sequence[TeamPlan], placed: list[list[int]]) -> list[int]:
    """Pack the tasks onto single machines, the largest first; return how many of each team find room."""
    packed = [0] * len(teams)
    order = sorted(range(len(teams)), key=lambda index: -max(teams[index].task.cores, teams[index].task.gpus))
    for kind_index, kind in enumerate(file.machines):
        rooms = [[kind.cores, kind.gpus, kind.ram_gb] for _ in range(kind.count)]
        for team_index in order:
            packed[team_index] += _first_fit(rooms, teams[team_index], placed[team_index][kind_index])
    return packed


def _first_fit(rooms: list[list[float]], team: TeamPlan, tasks: int) -> int:
    """Place tasks in the first rooms that fit them, and reduce these rooms; return how many tasks were placed."""
    sizes = [team.task.cores, team.task.gpus, team.task.ram_gb]
    left = tasks
    for room in rooms:
        fitting_tasks = min(
            math.floor(free / per_task + 1e-9) for free, per_task in zip(room, sizes, strict=True) if per_task > 0
        )
        placed = min(fitting_tasks, left)
        for resource, per_task in enumerate(sizes):
            room[resource] -= per_task * placed
        left -= placed
        if not left:
            break
    return tasks - left


def max_usable(limit: Amounts, demands: Sequence[TaskDemand]) -> Amounts:
    """Return the largest part of a limit that whole tasks of these sizes can use without a split among controllers.

    No split among controllers can use more, so the difference shows how much a split leaves unused.
    """
    if not demands:
        return ZERO_AMOUNTS
    model = _new_model()
    counts = [_integer_variable(model, demand.count) for demand in demands]
    for resource in ("cpus", "gpus"):
        model.addConstr(
            sum(getattr(demand, resource) * variable for demand, variable in zip(demands, counts, strict=True))
            <= getattr(limit, resource)
        )
    _solve(model, sum((demand.cpus + demand.gpus) * variable for demand, variable in zip(demands, counts, strict=True)))
    tasks = [round(model.val(variable)) for variable in counts]
    return Amounts(
        sum(demand.cpus * count for demand, count in zip(demands, tasks, strict=True)),
        sum(demand.gpus * count for demand, count in zip(demands, tasks, strict=True)),
    )
