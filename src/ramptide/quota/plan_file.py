"""The file that `ramptide quota plan` reads: a fleet, and the teams that are to share it."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

Size = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class PlanError(Exception):
    """A file that can't be read or makes no sense; the text is one line that names the place."""


class _Checked(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields that are not known are refused, as they would be misspelled ones."""


class MachineKind(_Checked, frozen=True):
    """Machines of one type in one zone."""

    type: Name
    zone: Name
    count: Count
    cores: Size
    ram_gb: Size
    gpus: Size = 0.0


class TaskSize(_Checked, frozen=True):
    """What one task of a team takes."""

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
        """Tell whether the team's tasks may run on machines of this kind."""
        return (not self.types or kind.type in self.types) and (not self.zones or kind.zone in self.zones)


class PlanFile(_Checked, frozen=True):
    """The whole file."""

    machines: Annotated[list[MachineKind], msgspec.Meta(min_length=1)]
    teams: Annotated[list[TeamPlan], msgspec.Meta(min_length=1)]


def load(path: Path) -> PlanFile:
    """Read and check a plan file.

    Raises
    ------
    PlanError
        If it can't be read, a field is unknown, missing or wrong, or it contradicts itself.
    """
    try:
        value = tomllib.loads(path.read_text(encoding="utf-8"))
        found = msgspec.convert(value, PlanFile)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from error
    names = [team.name for team in found.teams]
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise PlanError(f"{path}: team {twice[0]!r} is there twice")
    for team in found.teams:
        _check_team(path, team)
    return found


def _check_team(path: Path, team: TeamPlan) -> None:
    if not team.task.cores and not team.task.gpus:
        raise PlanError(f"{path}: team {team.name!r}: its task takes neither cores nor gpus")
    for guaranteed, most, each, field in (
        (team.cpus, team.cpus_max, team.task.cores, "cpus"),
        (team.gpus, team.gpus_max, team.task.gpus, "gpus"),
    ):
        if most and guaranteed > most:
            raise PlanError(f"{path}: team {team.name!r}: {field} {guaranteed:g} is above {field}_max {most:g}")
        if most and each > most:
            raise PlanError(f"{path}: team {team.name!r}: one task takes more than {field}_max {most:g}")
