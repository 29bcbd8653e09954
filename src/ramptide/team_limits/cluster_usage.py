"""Sums the teams' usage over all controllers, from the local scheduler and the last messages of the other members."""

from collections.abc import Iterable
from typing import Protocol

from ramptide.cluster.peers import Peers
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import ZERO_AMOUNTS, TeamAmounts, add_amounts, usage_from_wire

__all__ = ["ClusterUsage"]


class SchedulerSource(Protocol):
    """Provides the jobs that this controller schedules."""

    def require_scheduler(self) -> JobScheduler:
        """Return the jobs that this controller schedules; raises without a place in the view."""


class ClusterUsage:
    """Sums the amounts that the attempts of all schedulers hold."""

    def __init__(self, state: SchedulerSource, peers: Peers) -> None:
        self._state = state
        self._peers = peers

    def team_usage(self) -> TeamAmounts:
        """Return the amounts that the attempts of all schedulers hold, by team."""
        usage = self._state.require_scheduler().usage()
        for message in self._peers.last_messages():
            for team, amounts in usage_from_wire(message.usage).items():
                add_amounts(usage, team, amounts)
        return usage

    def usage_of(self, teams: Iterable[str]) -> TeamAmounts:
        """Return the amounts that the attempts of all schedulers hold, for the given teams only."""
        own_usage = self._state.require_scheduler().attempt_index.usage
        messages = self._peers.last_messages()
        usage: TeamAmounts = {}
        for team in teams:
            usage[team] = own_usage.get(team, ZERO_AMOUNTS)
            for message in messages:
                if team in message.usage:
                    add_amounts(usage, team, usage_from_wire({team: message.usage[team]})[team])
        return usage
