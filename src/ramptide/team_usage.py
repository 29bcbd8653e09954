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
    home = controller.scheduler
    if home is None:
        return {}
    totals = _Totals(controller.knowledge.team_use(), home.usage_with_transfers(), waiting_for_limits(controller, home))
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


def waiting_for_limits(controller: "Controller", home: JobScheduler) -> dict[str, Amounts]:
    """Return what waiting tasks need, by team, of jobs of which the team's share lets no task run."""
    now, held = controller.context.now, home.usage_with_transfers()
    waiting: Grants = {}
    for work in home.with_pending_tasks.values():
        run = work.job.run
        if work.retry_at > now or not work.startable:
            continue
        share = controller.grants.get(run.team, NOTHING)
        if controller.starter.headroom(run, held.get(run.team, NOTHING), share) == 0:
            add_amounts(waiting, run.team, amounts_of(run).times(work.startable))
    return waiting
