"""Team limits that operators changed: their records, checked changes, and what is in force. Pure.

A change is first *pending*: the stricter of the old and the new limit counts. It comes into force when every member has
acknowledged a share under it. So from that commit on nothing starts above the new limit, whoever was slow to hear.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import quote, unquote

import msgspec

from ramptide.protocol.settings_file import Team
from ramptide.state.amounts import NOTHING, Amounts, TeamAmounts, guarantee_of, limits_of
from ramptide.state.records import LIMIT_PREFIX

RECORD_VERSION = 1
MAX_KEY_BYTES = 200

Number = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class LimitError(ValueError):
    """A change of limits that is refused; the text names the team and the field in one line."""


class TeamLimit(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What a team is guaranteed and may use; 0 means none. Of a removed team nothing is accepted or started."""

    cpus: Number = 0.0
    cpus_max: Number = 0.0
    gpus: Number = 0.0
    gpus_max: Number = 0.0
    removed: bool = False

    def team(self, name: str) -> Team:
        """Return it in the form of the platform's settings."""
        return Team(name, self.cpus, self.cpus_max, self.gpus, self.gpus_max)

    @classmethod
    def of_team(cls, team: Team | None) -> "TeamLimit":
        """Return the platform's limit of a team; a team that the platform does not know counts as removed."""
        if team is None:
            return cls(removed=True)
        return cls(team.cpus, team.cpus_max, team.gpus, team.gpus_max)


class LimitRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the state service keeps of one team. `in_force` None: the platform's limit."""

    version: int
    in_force: TeamLimit | None = None
    pending: TeamLimit | None = None


@dataclass(frozen=True, slots=True)
class EffectiveLimits:
    """What counts now: the teams of which jobs are accepted, and all limits and guarantees."""

    teams: dict[str, Team]
    limits: TeamAmounts
    guarantees: TeamAmounts


def key_of(team: str) -> str:
    """Return the key of a team's record.

    Raises
    ------
    LimitError
        If the name is too long for a key.
    """
    key = LIMIT_PREFIX + quote(team, safe="")
    if not team or len(key) > MAX_KEY_BYTES:
        raise LimitError(f"{team[:40]!r}: not a name of 1 to {MAX_KEY_BYTES - len(LIMIT_PREFIX)} bytes")
    return key


def team_of(key: str) -> str:
    """Return the team whose record has this key."""
    return unquote(key.removeprefix(LIMIT_PREFIX))


def decode_record(value: Any) -> LimitRecord:
    """Check a record.

    Raises
    ------
    LimitError
        If it is broken or of another version.
    """
    try:
        record = msgspec.convert(value, LimitRecord)
    except msgspec.ValidationError as error:
        raise LimitError(str(error)) from error
    if record.version != RECORD_VERSION:
        raise LimitError(f"version {record.version} of the record, we know {RECORD_VERSION}")
    return record


def change(name: str, changes: Any, record: LimitRecord | None, platform: Team | None) -> LimitRecord:
    """Return the record with a change pending. `changes`: some fields of `TeamLimit`, or None for the platform's limit.

    Raises
    ------
    LimitError
        If a field is unknown or wrong, or the limit would be above the platform's.
    """
    in_force = record.in_force if record is not None else None
    if changes is None:
        return LimitRecord(RECORD_VERSION, in_force, TeamLimit.of_team(platform))
    if not isinstance(changes, dict):
        raise LimitError(f"{name}: not an object")
    present = in_force or TeamLimit.of_team(platform)
    base = {} if present.removed else msgspec.to_builtins(present)
    try:
        wanted = msgspec.convert(base | changes, TeamLimit)
    except msgspec.ValidationError as error:
        raise LimitError(f"{name}: {error}") from error
    _check_sense(name, wanted)
    if platform is not None and not wanted.removed:
        _check_platform(name, wanted, platform)
    return LimitRecord(RECORD_VERSION, in_force, wanted)


def _check_sense(name: str, wanted: TeamLimit) -> None:
    for guaranteed, most, field in (
        (wanted.cpus, wanted.cpus_max, "cpus"),
        (wanted.gpus, wanted.gpus_max, "gpus"),
    ):
        if most and guaranteed > most:
            raise LimitError(f"{name}: {field} {guaranteed:g} is more than {field}_max {most:g}")


def _check_platform(name: str, wanted: TeamLimit, platform: Team) -> None:
    for most, allowed, field in (
        (wanted.cpus_max, platform.cpus_max, "cpus_max"),
        (wanted.gpus_max, platform.gpus_max, "gpus_max"),
    ):
        if allowed and (not most or most > allowed):
            raise LimitError(f"{name}: {field} {most:g} is more than the platform's {allowed:g}")


def promote(record: LimitRecord, platform: Team | None) -> LimitRecord | None:
    """Return the record with what was pending in force; None when that is the platform's limit and needs no record."""
    if record.pending is None or record.pending == TeamLimit.of_team(platform):
        return None
    return LimitRecord(RECORD_VERSION, record.pending)


def effective(platform: Mapping[str, Team], records: Mapping[str, LimitRecord]) -> EffectiveLimits:
    """Return what counts now."""
    found = EffectiveLimits({}, {}, {})
    for name in platform.keys() | records.keys():
        record = records.get(name)
        in_force = record.in_force if record is not None else None
        present = in_force or TeamLimit.of_team(platform.get(name))
        pending = record.pending if record is not None and record.pending is not None else present
        _add(found, name, [present, pending])
    return found


def _add(found: EffectiveLimits, name: str, both: Iterable[TeamLimit]) -> None:
    teams = [one.team(name) for one in both]
    if any(one.removed for one in both):
        found.limits[name] = NOTHING
        return
    # The later one, with the lower limits: what is accepted must be able to run under both.
    lower = [min((most for most in limits if most), default=0.0) for limits in _limits(teams)]
    found.teams[name] = Team(name, teams[-1].cpus, lower[0], teams[-1].gpus, lower[1])
    if any(lower):
        found.limits[name] = _lowest([limits_of(team) for team in teams])
    if teams[-1].cpus or teams[-1].gpus:
        found.guarantees[name] = guarantee_of(teams[-1])


def _limits(teams: list[Team]) -> list[list[float]]:
    return [[team.cpus_max for team in teams], [team.gpus_max for team in teams]]


def _lowest(limits: list[Amounts]) -> Amounts:
    return Amounts(min(one.cpus for one in limits), min(one.gpus for one in limits))
