"""Team limits that operators change: records, checks of changes, and the limits in effect. This module does no I/O.

A change is first *pending*: the stricter of the old and the new limit applies. A commit puts the change in force when
every member has acknowledged a share under the new limit. So from that commit on no task starts above the new limit,
however late a member receives the change.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import quote, unquote

import msgspec

from ramptide.protocol.settings_file import Team
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, TeamAmounts, guarantee_of, limits_of
from ramptide.state.records import LIMIT_PREFIX

RECORD_VERSION = 1
MAX_KEY_BYTES = 200

Number = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class LimitError(ValueError):
    """Raised for a change of limits or a record that is refused; the text gives the reason in one line."""


class TeamLimit(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A team's guarantees and limits, 0 for none; no job of a removed team is accepted, and no task is started."""

    cpus: Number = 0.0
    cpus_max: Number = 0.0
    gpus: Number = 0.0
    gpus_max: Number = 0.0
    removed: bool = False

    def to_team(self, name: str) -> Team:
        """Return the limit in the form of the platform's settings."""
        return Team(name, self.cpus, self.cpus_max, self.gpus, self.gpus_max)

    @classmethod
    def of_team(cls, team: Team | None) -> "TeamLimit":
        """Return the platform's limit of a team; a team that is not in the platform's settings counts as removed."""
        if team is None:
            return cls(removed=True)
        return cls(team.cpus, team.cpus_max, team.gpus, team.gpus_max)


class LimitRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored limit of one team; `in_force` is None while the platform's limit is in force."""

    version: int
    in_force: TeamLimit | None = None
    pending: TeamLimit | None = None


@dataclass(frozen=True, slots=True)
class EffectiveLimits:
    """The teams whose jobs are accepted, and all limits and guarantees in effect."""

    teams: dict[str, Team]
    limits: TeamAmounts
    guarantees: TeamAmounts


def key_of(team: str) -> str:
    """Return the key of a team's record.

    Raises
    ------
    LimitError
        If the name is empty or too long for a key.
    """
    key = LIMIT_PREFIX + quote(team, safe="")
    if not team or len(key) > MAX_KEY_BYTES:
        raise LimitError(f"{team[:40]!r}: not a name of 1 to {MAX_KEY_BYTES - len(LIMIT_PREFIX)} bytes")
    return key


def team_of(key: str) -> str:
    """Return the team whose limit record has this key."""
    return unquote(key.removeprefix(LIMIT_PREFIX))


def decode_record(value: Any) -> LimitRecord:
    """Convert a decoded value to a record, and check it.

    Raises
    ------
    LimitError
        If the value is not a record of this version.
    """
    try:
        record = msgspec.convert(value, LimitRecord)
    except msgspec.ValidationError as error:
        raise LimitError(str(error)) from error
    if record.version != RECORD_VERSION:
        raise LimitError(f"version {record.version} of the record, we know {RECORD_VERSION}")
    return record


def with_pending_change(name: str, changes: Any, record: LimitRecord | None, platform: Team | None) -> LimitRecord:
    """Return a team's record with a change pending.

    `changes`: some fields of `TeamLimit`, or None for the platform's limit. `platform`: the team's platform settings.

    Raises
    ------
    LimitError
        If a field is unknown or wrong, a guarantee is above its limit, or a limit is above the platform's.
    """
    in_force = record.in_force if record is not None else None
    if changes is None:
        return LimitRecord(RECORD_VERSION, in_force, TeamLimit.of_team(platform))
    if not isinstance(changes, dict):
        raise LimitError(f"{name}: not an object")
    current = in_force or TeamLimit.of_team(platform)
    base = {} if current.removed else msgspec.to_builtins(current)
    try:
        wanted = msgspec.convert(base | changes, TeamLimit)
    except msgspec.ValidationError as error:
        raise LimitError(f"{name}: {error}") from error
    _check_guarantees(name, wanted)
    if platform is not None and not wanted.removed:
        _check_platform_limits(name, wanted, platform)
    return LimitRecord(RECORD_VERSION, in_force, wanted)


def _check_guarantees(name: str, wanted: TeamLimit) -> None:
    """Check that no guarantee is above the limit of its resource."""
    for guaranteed, maximum, field in (
        (wanted.cpus, wanted.cpus_max, "cpus"),
        (wanted.gpus, wanted.gpus_max, "gpus"),
    ):
        if maximum and guaranteed > maximum:
            raise LimitError(f"{name}: {field} {guaranteed:g} is more than {field}_max {maximum:g}")


def _check_platform_limits(name: str, wanted: TeamLimit, platform: Team) -> None:
    """Check that no limit is above the platform's."""
    for maximum, allowed, field in (
        (wanted.cpus_max, platform.cpus_max, "cpus_max"),
        (wanted.gpus_max, platform.gpus_max, "gpus_max"),
    ):
        if allowed and (not maximum or maximum > allowed):
            raise LimitError(f"{name}: {field} {maximum:g} is more than the platform's {allowed:g}")


def promote(record: LimitRecord, platform: Team | None) -> LimitRecord | None:
    """Return the record with the pending limit in force; None when that is the platform's, which needs no record."""
    if record.pending is None or record.pending == TeamLimit.of_team(platform):
        return None
    return LimitRecord(RECORD_VERSION, record.pending)


def effective_limits(platform: Mapping[str, Team], records: Mapping[str, LimitRecord]) -> EffectiveLimits:
    """Return the limits in effect, given the platform's teams and the operators' records."""
    in_effect = EffectiveLimits({}, {}, {})
    for name in platform.keys() | records.keys():
        record = records.get(name)
        in_force = record.in_force if record is not None else None
        current = in_force or TeamLimit.of_team(platform.get(name))
        pending = record.pending if record is not None and record.pending is not None else current
        _add_team(in_effect, name, [current, pending])
    return in_effect


def _add_team(in_effect: EffectiveLimits, name: str, current_and_pending: Iterable[TeamLimit]) -> None:
    teams = [team_limit.to_team(name) for team_limit in current_and_pending]
    if any(team_limit.removed for team_limit in current_and_pending):
        in_effect.limits[name] = ZERO_AMOUNTS
        return
    # The team gets the pending guarantees and the lower limits, as an accepted job must be able to run under both.
    lower = [min((maximum for maximum in maximums if maximum), default=0.0) for maximums in _maximums(teams)]
    in_effect.teams[name] = Team(name, teams[-1].cpus, lower[0], teams[-1].gpus, lower[1])
    if any(lower):
        in_effect.limits[name] = _lowest([limits_of(team) for team in teams])
    if teams[-1].cpus or teams[-1].gpus:
        in_effect.guarantees[name] = guarantee_of(teams[-1])


def _maximums(teams: list[Team]) -> list[list[float]]:
    """Return the maximums of all given teams for CPUs, then for GPUs; 0 stands for no limit."""
    return [[team.cpus_max for team in teams], [team.gpus_max for team in teams]]


def _lowest(limits: list[Amounts]) -> Amounts:
    return Amounts(min(limit.cpus for limit in limits), min(limit.gpus for limit in limits))
