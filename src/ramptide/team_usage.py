"""How the team limits are used and split, as this controller knows it."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ramptide.amounts import NO_LIMIT, NOTHING, Amounts, Grants, add_amounts, amounts_of, limits_of, to_number
from ramptide.job_scheduler import JobScheduler

if TYPE_CHECKING:
    from ramptide.app import Controller


class ResourceUsage(msgspec.Struct, frozen=True):
    """One resource of a team. `limit` and `share` are None where there is no limit."""

    limit: float | None
    #: By all controllers, as far as they are heard.
    used: float
    #: What this controller may use of the limit, and what it uses of that.
    share: float | None
    share_used: float
    #: What the tasks here need that wait because the share lets none of their job run.
    waiting_for_limit: float


class TeamUsage(msgspec.Struct, frozen=True):
    """Both resources that a team's limits are on."""

    cores: ResourceUsage
    gpus: ResourceUsage


@dataclass(frozen=True, slots=True)
class _Totals:
    """Amounts by team."""

    used: Grants
    share_used: Grants
    waiting: Grants


def team_usage(controller: "Controller") -> dict[str, TeamUsage]:
    """Return the use of the team limits, by the teams of the settings.

    Empty on a controller without a place in the view, which decides no starts.
    """
    scheduler = controller.scheduler
    if scheduler is None:
        return {}
    used, share_used = controller.knowledge.team_use(), scheduler.usage_with_transfers()
    totals = _Totals(used, share_used, waiting_for_limits(controller, scheduler))
    return {name: _usage_of(controller, name, totals) for name in controller.teams}


def _usage_of(controller: "Controller", team: str, totals: _Totals) -> TeamUsage:
    limit = limits_of(controller.teams[team])
    share = controller.grants.get(team, NOTHING)

    def resource(side: int) -> ResourceUsage:
        limited = limit[side] != NO_LIMIT
        return ResourceUsage(
            limit=to_number(limit[side]) if limited else None,
            used=to_number(totals.used.get(team, NOTHING)[side]),
            share=to_number(share[side]) if limited else None,
            share_used=to_number(totals.share_used.get(team, NOTHING)[side]),
            waiting_for_limit=to_number(totals.waiting.get(team, NOTHING)[side]),
        )

    return TeamUsage(cores=resource(0), gpus=resource(1))


def waiting_for_limits(controller: "Controller", scheduler: JobScheduler) -> dict[str, Amounts]:
    """Return what waiting tasks need, by team, of jobs of which the team's share lets no task run."""
    now, held = controller.context.now, scheduler.usage_with_transfers()
    waiting: Grants = {}
    for job_state in scheduler.with_pending_tasks.values():
        spec = job_state.job.spec
        if job_state.retry_at > now or not job_state.startable:
            continue
        share = controller.grants.get(spec.team, NOTHING)
        if controller.starter.headroom(spec, held.get(spec.team, NOTHING), share) == 0:
            add_amounts(waiting, spec.team, amounts_of(spec).times(job_state.startable))
    return waiting
