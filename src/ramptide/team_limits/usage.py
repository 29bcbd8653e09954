"""Reports the usage and the shares of the team limits, as known to this controller, for the status and the metrics."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from ramptide.protocol.settings_file import Team
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import (
    NO_LIMIT,
    ZERO_AMOUNTS,
    TeamAmounts,
    add_amounts,
    amounts_of,
    limits_of,
    units_to_number,
)
from ramptide.team_limits.cluster_usage import ClusterUsage
from ramptide.transport.runtime import Runtime

__all__ = ["ResourceUsage", "TeamUsage", "TeamUsageReport"]


class ResourceUsage(msgspec.Struct, frozen=True):
    """The usage of one resource by a team. `limit` and `share` are None where there is no limit."""

    limit: float | None
    #: The usage over all controllers, as far as their messages are known.
    used: float
    #: What this controller may use of the limit.
    share: float | None
    #: What this controller counts against its share.
    share_used: float
    #: The demand of this controller's waiting tasks whose job cannot start even one more task within the share.
    waiting_for_limit: float


class TeamUsage(msgspec.Struct, frozen=True, rename={"cpus": "cores"}):
    """The usage of both resources that team limits apply to; an entry of the status."""

    cpus: ResourceUsage
    gpus: ResourceUsage


class UsageState(Protocol):
    """The fields of the controller's state that the report reads."""

    @property
    def teams(self) -> dict[str, Team]:
        """The teams whose jobs are accepted."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """What this controller may use of each limit."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that this controller schedules; None without a place in the view."""


@dataclass(frozen=True, slots=True)
class _Totals:
    """The amounts of all teams that a report is built from."""

    used: TeamAmounts
    share_used: TeamAmounts
    waiting: TeamAmounts


class TeamUsageReport:
    """Reports the usage of the team limits, for the teams whose jobs are accepted."""

    def __init__(self, runtime: Runtime, state: UsageState, cluster_usage: ClusterUsage) -> None:
        self._runtime = runtime
        self._state = state
        self._cluster_usage = cluster_usage

    def by_team(self) -> dict[str, TeamUsage]:
        """Return the usage of each team's limits.

        Empty on a controller without a place in the view, which starts no tasks.
        """
        scheduler = self._state.scheduler
        if scheduler is None:
            return {}
        used, share_used = self._cluster_usage.team_usage(), scheduler.usage_with_transfers()
        totals = _Totals(used, share_used, self.waiting_for_limits(scheduler))
        return {name: self._usage_of(name, totals) for name in self._state.teams}

    def _usage_of(self, team: str, totals: _Totals) -> TeamUsage:
        limit = limits_of(self._state.teams[team])
        share = self._state.quota_shares.get(team, ZERO_AMOUNTS)

        def resource_usage(resource: int) -> ResourceUsage:
            is_limited = limit[resource] != NO_LIMIT
            return ResourceUsage(
                limit=units_to_number(limit[resource]) if is_limited else None,
                used=units_to_number(totals.used.get(team, ZERO_AMOUNTS)[resource]),
                share=units_to_number(share[resource]) if is_limited else None,
                share_used=units_to_number(totals.share_used.get(team, ZERO_AMOUNTS)[resource]),
                waiting_for_limit=units_to_number(totals.waiting.get(team, ZERO_AMOUNTS)[resource]),
            )

        return TeamUsage(cpus=resource_usage(0), gpus=resource_usage(1))

    def waiting_for_limits(self, scheduler: JobScheduler) -> TeamAmounts:
        """Return, by team, the demand of waiting tasks whose job cannot start one more task within the team's share."""
        now, share_used = self._runtime.now, scheduler.usage_with_transfers()
        waiting: TeamAmounts = {}
        for job_state in scheduler.jobs_with_pending_tasks.values():
            spec = job_state.job.spec
            if job_state.retry_at > now or not job_state.startable:
                continue
            share = self._state.quota_shares.get(spec.team, ZERO_AMOUNTS)
            if task_headroom(spec, share_used.get(spec.team, ZERO_AMOUNTS), share, self._state.limits) == 0:
                add_amounts(waiting, spec.team, amounts_of(spec).times(job_state.startable))
        return waiting
