"""The input file of `ramptide quota plan`: a fleet, and the teams that share it."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from ramptide.state.amounts import units_needed

Size = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class PlanError(Exception):
    """Raised for a plan file that cannot be read or is invalid, and for a solver that is missing or fails.

    The text is one line; for a file, it names the place.
    """


class _Checked(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the file's tables, which refuse unknown fields: these may be misspelled ones."""


class MachineKind(_Checked, frozen=True):
    """Machines of one type in one zone."""

    type: Name
    zone: Name
    count: Count
    cores: Size
    ram_gb: Size
    gpus: Size = 0.0


class TaskSize(_Checked, frozen=True):
    """The resources that one task of a team needs."""

    cores: Size
    ram_gb: Size = 0.0
    gpus: Size = 0.0


class TeamPlan(_Checked, frozen=True):
    """A team's guarantee and limit (0: none), the size of its tasks, and where these may run (empty: anywhere)."""

    name: Name
    task: TaskSize
    cpus: Size = 0.0
    cpus_max: Size = 0.0
    gpus: Size = 0.0
    gpus_max: Size = 0.0
    types: list[Name] = []
    zones: list[Name] = []

    def may_use(self, kind: MachineKind) -> bool:
        """Return whether the team's tasks may run on machines of this kind."""
        return (not self.types or kind.type in self.types) and (not self.zones or kind.zone in self.zones)


class PlanFile(_Checked, frozen=True):
    """The content of a plan file."""

    machines: Annotated[list[MachineKind], msgspec.Meta(min_length=1)]
    teams: Annotated[list[TeamPlan], msgspec.Meta(min_length=1)]


def load(path: Path) -> PlanFile:
    """Read and check a plan file.

    Raises
    ------
    PlanError
        If the file cannot be read, a field is unknown, missing or wrong, or fields contradict each other.
    """
    try:
        value = tomllib.loads(path.read_text(encoding="utf-8"))
        plan_file = msgspec.convert(value, PlanFile)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from error
    names = [team.name for team in plan_file.teams]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise PlanError(f"{path}: team {duplicates[0]!r} is there twice")
    for team in plan_file.teams:
        _check_team(path, team)
    return plan_file


def _check_team(path: Path, team: TeamPlan) -> None:
    if not team.task.cores and not team.task.gpus:
        raise PlanError(f"{path}: team {team.name!r}: its task takes neither cores nor gpus")
    for field, amount in (("cores", team.task.cores), ("ram_gb", team.task.ram_gb), ("gpus", team.task.gpus)):
        if amount and not units_needed(amount):
            raise PlanError(f"{path}: team {team.name!r}: its task takes {amount:g} {field}, too little to be counted")
    for guaranteed, maximum, per_task, field in (
        (team.cpus, team.cpus_max, team.task.cores, "cpus"),
        (team.gpus, team.gpus_max, team.task.gpus, "gpus"),
    ):
        if maximum and guaranteed > maximum:
            raise PlanError(f"{path}: team {team.name!r}: {field} {guaranteed:g} is above {field}_max {maximum:g}")
        if maximum and per_task > maximum:
            raise PlanError(f"{path}: team {team.name!r}: one task takes more than {field}_max {maximum:g}")
