"""How much of a team's limit each member should have: the policy of the leader's split, and the usual one."""

from collections.abc import Hashable, Mapping
from typing import Protocol

from ramptide.state.amounts import NOTHING, Amounts, TeamAmounts

__all__ = ["ProportionalSplit", "SplitPolicy"]


class SplitPolicy(Protocol):
    """Decides how much of a team's limit each member should have."""

    def targets(self, team: str, limit: Amounts, usage: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return what each member should have, given what each uses; together no more than the limit or the usage."""

    def basis(self, team: str) -> Hashable:
        """Return all that the targets of a team rest on beside its limit and usage."""


class ProportionalSplit:
    """Gives each member what it uses, and of the rest as large a part as it has of all that waits."""

    def __init__(self, waiting: Mapping[str, TeamAmounts]) -> None:
        self._waiting = waiting

    def targets(self, team: str, limit: Amounts, usage: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return the targets by member, each resource for itself."""
        sides = [self._side(team, side, limit[side], usage) for side in (0, 1)]
        return {member: Amounts(sides[0][member], sides[1][member]) for member in usage}

    def basis(self, team: str) -> Hashable:
        """Return what waits of the team, by member."""
        return tuple((member, waiting[team]) for member, waiting in self._waiting.items() if team in waiting)

    def _side(self, team: str, side: int, limit: int, usage: Mapping[str, Amounts]) -> dict[str, int]:
        spare = max(0, limit - sum(used[side] for used in usage.values()))
        waiting = {member: self._waiting.get(member, {}).get(team, NOTHING)[side] for member in usage}
        wanted = sum(waiting.values())
        available = min(spare, wanted)
        return {
            member: used[side] + (waiting[member] * available // wanted if wanted > 0 else 0)
            for member, used in usage.items()
        }
