"""The demand of one scheduler's waiting jobs, which the controller reports to the leader."""

from datetime import timedelta

from ramptide.cluster.messages import WaitingJobRow
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import TeamAmounts, add_amounts, amounts_of

__all__ = ["own_demand", "waiting_rows"]

NO_TIME = timedelta(0)


def waiting_rows(scheduler: JobScheduler, now: timedelta) -> list[WaitingJobRow]:
    """Return a row for each of the scheduler's jobs that has startable tasks."""
    rows: list[WaitingJobRow] = []
    for job_state in scheduler.jobs_with_pending_tasks.values():
        startable = job_state.startable if job_state.retry_at <= now else 0
        if startable:
            waited = now - job_state.waiting_since if job_state.waiting_since is not None else NO_TIME
            row = WaitingJobRow(
                job_state.job.job_id, startable, waited.total_seconds(), sorted(job_state.avoided_hosts)
            )
            rows.append(row)
    return rows


def own_demand(scheduler: JobScheduler, now: timedelta) -> TeamAmounts:
    """Return the amounts that the scheduler's waiting tasks would use of each team's limit."""
    demand: TeamAmounts = {}
    for job_state in scheduler.jobs_with_pending_tasks.values():
        if job_state.retry_at <= now:
            spec = job_state.job.spec
            add_amounts(demand, spec.team, amounts_of(spec).times(job_state.startable))
    return demand
