"""Policies of the leader's split, which decide how much of a team's limit each member should have."""

from collections.abc import Hashable, Mapping
from typing import Protocol

from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, TeamAmounts

__all__ = ["ProportionalSplit", "SplitPolicy"]


class SplitPolicy(Protocol):
    """Decides how much of a team's limit each member should have."""

    def targets(self, team: str, limit: Amounts, usage: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return what each member should have, given what each uses.

        The sum is no more than the limit, or the usage where that is higher.
        """

    def basis(self, team: str) -> Hashable:
        """Return all inputs that the targets of a team depend on besides its limit and usage."""


class ProportionalSplit:
    """Gives each member what it uses, and divides the rest in proportion to the members' waiting demand.

    No member gets more of the rest than its waiting demand.
    """

    def __init__(self, waiting: Mapping[str, TeamAmounts]) -> None:
        self._waiting = waiting

    def targets(self, team: str, limit: Amounts, usage: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return the targets by member, computed for each resource separately."""
        by_resource = [self._resource_targets(team, resource, limit[resource], usage) for resource in (0, 1)]
        return {member: Amounts(by_resource[0][member], by_resource[1][member]) for member in usage}

    def basis(self, team: str) -> Hashable:
        """Return the waiting demand of the team, by member."""
        return tuple((member, waiting[team]) for member, waiting in self._waiting.items() if team in waiting)

    def _resource_targets(self, team: str, resource: int, limit: int, usage: Mapping[str, Amounts]) -> dict[str, int]:
        unused = max(0, limit - sum(used[resource] for used in usage.values()))
        waiting = {member: self._waiting.get(member, {}).get(team, ZERO_AMOUNTS)[resource] for member in usage}
        total_waiting = sum(waiting.values())
        available = min(unused, total_waiting)
        return {
            member: used[resource] + (waiting[member] * available // total_waiting if total_waiting > 0 else 0)
            for member, used in usage.items()
        }
